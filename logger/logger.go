// Package logger bounds what a node logs about requests: each kind of line has
// a budget a second, and the next line of the kind says how many were left out.
// A log that cannot be written never holds up a request.
package logger

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// linesPerSecond is the budget of one kind of line; a host at the users' sizes logs under 30 requests a second.
	linesPerSecond = 60
	// burstLines is how many lines of a kind may come at once.
	burstLines = 120
	// queueLines is how many lines may wait for a slow output before lines are dropped.
	queueLines = 4096
)

// budget is what is left for one kind of line.
type budget struct {
	// left is at most burstLines, as of filledAt.
	left     float64
	filledAt time.Time
	// omitted counts the lines left out since the last one that was not.
	omitted int64
}

// Limiter is safe for use by several goroutines.
type Limiter struct {
	// mu guards kinds.
	mu    sync.Mutex
	kinds map[string]*budget
}

// NewLimiter returns a limiter with full budgets.
func NewLimiter() *Limiter { return &Limiter{kinds: map[string]*budget{}} }

// Allow reports whether a line of a kind is within its budget, and how many
// were left out before it.
func (l *Limiter) Allow(now time.Time, kind string) (omitted int64, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, known := l.kinds[kind]
	if !known {
		b = &budget{left: burstLines, filledAt: now}
		l.kinds[kind] = b
	}
	b.left = min(b.left+now.Sub(b.filledAt).Seconds()*linesPerSecond, burstLines)
	b.filledAt = now
	if b.left < 1 {
		b.omitted++
		return 0, false
	}
	b.left--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

var limiter = NewLimiter()

// Info begins a line of a kind, or returns nil when it is over its budget; the
// methods of a nil entry do nothing. The kind is also the line's message.
func Info(kind string) *log.Entry {
	omitted, allowed := limiter.Allow(time.Now(), kind)
	if !allowed {
		return nil
	}
	entry := log.Info()
	if omitted > 0 {
		entry = entry.Int64("omitted", omitted)
	}
	return entry
}

// Open makes all lines of the process go to an output without ever waiting for it.
func Open(level string, output io.Writer) {
	log.DefaultLogger = log.Logger{
		Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer: &log.AsyncWriter{ChannelSize: queueLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: output}},
	}
}

// Close writes what waits.
func Close() {
	if writer, async := log.DefaultLogger.Writer.(*log.AsyncWriter); async {
		_ = writer.Close() // The process ends; there is nowhere to report it.
	}
}
