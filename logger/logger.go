// Package logger limits the rate of a node's log lines about requests. Each kind of
// line has a token bucket; after lines were dropped, the next line of the kind gives
// their number. An output that blocks never delays a request.
package logger

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// linesPerSecond is the rate limit of one kind of line; a host of the size that users run logs under 30 requests per second.
	linesPerSecond = 60
	// burstLines is the capacity of a token bucket: how many lines of a kind may be logged in a burst.
	burstLines = 120
	// queueLines is the capacity of the queue to the output; lines are dropped while it is full.
	queueLines = 4096
)

// tokenBucket is the token bucket of one kind of line; a line takes one token.
type tokenBucket struct {
	// tokens is at most burstLines, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// omitted counts the lines dropped since the last one that was allowed.
	omitted int64
}

// Limiter limits the rate of each kind of line. It is safe for concurrent use.
type Limiter struct {
	// mu guards buckets and their fields.
	mu sync.Mutex
	// buckets maps kinds of lines to their token buckets.
	buckets map[string]*tokenBucket
}

// NewLimiter returns a limiter with full token buckets.
func NewLimiter() *Limiter { return &Limiter{buckets: map[string]*tokenBucket{}} }

// Allow reports whether a line of a kind may be logged now, and if so how many lines
// of the kind were dropped before it.
func (l *Limiter) Allow(now time.Time, kind string) (omitted int64, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket, found := l.buckets[kind]
	if !found {
		bucket = &tokenBucket{tokens: burstLines, refilledAt: now}
		l.buckets[kind] = bucket
	}
	bucket.tokens = min(bucket.tokens+now.Sub(bucket.refilledAt).Seconds()*linesPerSecond, burstLines)
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		bucket.omitted++
		return 0, false
	}
	bucket.tokens--
	omitted, bucket.omitted = bucket.omitted, 0
	return omitted, true
}

var limiter = NewLimiter()

// Info starts a line of a kind at level info, or returns nil if the rate limit of the
// kind is exceeded; the methods of a nil entry do nothing. The caller passes the kind
// as the line's message too, unless some lines of one message are to have a limit of their own.
func Info(kind string) *log.Entry { return start(kind, log.Info) }

// Warn starts a line of a kind at level warn, as Info does.
func Warn(kind string) *log.Entry { return start(kind, log.Warn) }

func start(kind string, level func() *log.Entry) *log.Entry {
	omitted, allowed := limiter.Allow(time.Now(), kind)
	if !allowed {
		return nil
	}
	entry := level()
	if omitted > 0 {
		entry = entry.Int64("omitted", omitted)
	}
	return entry
}

// Open sends all log lines of the process that have at least the given level to an
// output, through a queue that drops lines when it is full instead of blocking.
func Open(level string, output io.Writer) {
	log.DefaultLogger = log.Logger{
		Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer: &log.AsyncWriter{ChannelSize: queueLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: output}},
	}
}

// Close writes the queued lines to the output and ends logging.
func Close() {
	if writer, async := log.DefaultLogger.Writer.(*log.AsyncWriter); async {
		_ = writer.Close() // The process is about to exit, and there is no log left to report the error to.
	}
}
