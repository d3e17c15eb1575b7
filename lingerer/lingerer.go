// Package lingerer closes TCP connections of callers so that a caller that still sends its request receives the response that it already
// got. A socket that is closed with unread bytes is reset, and the reset destroys a response that the caller has not read yet. A connection
// of this package is closed in stages (RFC 9112, 9.6): its sending side, then, once the caller has stopped sending, the rest. The bytes that
// arrive meanwhile are dropped.
package lingerer

import (
	"container/list"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

// Limits bound what the connections of a listener cost after they were closed.
type Limits struct {
	// Total is the longest time from the close of a connection to its end, Idle the longest time in which nothing arrives
	// while the process runs.
	Total, Idle time.Duration
	// Bytes is how many bytes of one connection are dropped at most.
	Bytes int64
	// BytesPerSecond is how many bytes of all connections are dropped a second.
	BytesPerSecond int64
	// Connections is how many closed connections wait for their callers at once; beyond it, the one that has waited longest ends.
	Connections int
}

// DefaultLimits returns the limits of a node. Bytes is twice the largest body that a node accepts by default.
func DefaultLimits() Limits {
	return Limits{Total: 10 * time.Second, Idle: 2 * time.Second, Bytes: 16 << 20, BytesPerSecond: 256 << 20, Connections: 1024}
}

// bufferBytes is the size of the buffer that dropped bytes are read into.
const bufferBytes = 8 << 10

// burstDivisor gives the bytes that may be dropped at once, as a part of those of a second. With a burst of one buffer, nearly each read was
// followed by a sleep, which takes milliseconds on a busy machine: callers with 10 MB were cut off at Total, long before BytesPerSecond was reached.
const burstDivisor = 50

// idleParts is the number of reads in a row that find nothing, each after an equal part of Limits.Idle, before a connection counts as idle. While the
// process stands still, what its callers send is not read, and one deadline at most passes.
const idleParts = 8

// Listener accepts connections that are closed in stages. It is safe for concurrent use.
type Listener struct {
	net.Listener
	limits Limits
	// rate limits the reads of closed connections.
	rate *rate.Limiter
	// buffers holds buffers of bufferBytes.
	buffers sync.Pool
	// mu guards the fields below.
	mu sync.Mutex
	// waiting holds the closed connections that have not ended, as *connection, the longest closed first; at most limits.Connections.
	waiting *list.List
	// emptied is closed, and then nil, when waiting is empty; nil while nobody waits for it.
	emptied chan struct{}
	// held is the number of closed connections whose descriptors are still open, those that were displaced included. Accept waits while it is at its bound.
	held int
	// released is closed, and then nil, when held decreases; nil while Accept does not wait for that.
	released chan struct{}
}

// spareDivisor gives the part of Limits.Connections that may be held beyond it: displaced connections whose goroutines have not run since.
const spareDivisor = 4

// New returns a listener for the connections of inner.
func New(inner net.Listener, limits Limits) *Listener {
	burst := max(int(limits.BytesPerSecond/burstDivisor), bufferBytes)
	return &Listener{
		Listener: inner, limits: limits, waiting: list.New(), rate: rate.NewLimiter(rate.Limit(limits.BytesPerSecond), burst),
		buffers: sync.Pool{New: func() any { return new([bufferBytes]byte) }},
	}
}

// Accept waits for the next connection. A connection that is not TCP is returned as it is.
func (l *Listener) Accept() (net.Conn, error) {
	l.awaitReleases()
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, isTCP := accepted.(*net.TCPConn)
	if !isTCP {
		return accepted, nil
	}
	return &connection{TCPConn: tcp, listener: l}, nil
}

// Wait returns when no closed connection waits for its caller any more, or at the deadline.
func (l *Listener) Wait(deadline time.Time) {
	l.mu.Lock()
	if l.waiting.Len() == 0 {
		l.mu.Unlock()
		return
	}
	if l.emptied == nil {
		l.emptied = make(chan struct{})
	}
	emptied := l.emptied
	l.mu.Unlock()
	select {
	case <-emptied:
	case <-time.After(time.Until(deadline)):
	}
}

// Waiting returns the number of closed connections that wait for their callers.
func (l *Listener) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting.Len()
}

// add records that a connection was closed, and returns its place among those that wait.
func (l *Listener) add(c *connection) *list.Element {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting.Len() >= l.limits.Connections {
		longest := l.waiting.Remove(l.waiting.Front()).(*connection)
		longest.displaced.Store(true)
		_ = longest.TCPConn.Close() // Ends its linger, which removes nothing then.
	}
	l.held++
	return l.waiting.PushBack(c)
}

// awaitReleases waits until the descriptors of displaced connections have been closed, if there are many: where processors are short, connections can be
// displaced faster than their goroutines run, and no limit of descriptors would hold.
func (l *Listener) awaitReleases() {
	for {
		l.mu.Lock()
		if l.held <= l.limits.Connections+l.limits.Connections/spareDivisor {
			l.mu.Unlock()
			return
		}
		if l.released == nil {
			l.released = make(chan struct{})
		}
		released := l.released
		l.mu.Unlock()
		<-released // A displaced connection ends at once.
	}
}

// release records that the descriptor of a closed connection has been closed.
func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held--
	if l.released != nil {
		close(l.released)
		l.released = nil
	}
}

// remove records that a closed connection has ended.
func (l *Listener) remove(place *list.Element) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting.Remove(place)
	if l.waiting.Len() == 0 && l.emptied != nil {
		close(l.emptied)
		l.emptied = nil
	}
}

// connection is a caller's connection. It is safe for concurrent use.
type connection struct {
	*net.TCPConn
	listener *Listener
	// ended is set once the caller has closed its sending side or the connection has failed, so that nothing can be lost by a close.
	ended atomic.Bool
	// displaced is set when the connection ends early because too many wait.
	displaced atomic.Bool
	// reading is held during a read.
	reading sync.Mutex
	// mu guards closing and the read deadline of TCPConn.
	mu sync.Mutex
	// closing is set by the first call of CloseWrite or Close; from then on only linger reads.
	closing bool
}

// Read reads what the caller sends. It fails once the connection is being closed.
func (c *connection) Read(data []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosing() {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(data)
	c.noteError(err)
	return n, err
}

// Write sends to the caller.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.TCPConn.Write(data)
	c.noteError(err)
	return n, err
}

// noteError sets ended if a read or write failed for another reason than its deadline.
func (c *connection) noteError(err error) {
	if err == nil {
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.ended.Store(true)
}

func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// SetReadDeadline sets the deadline of reads. It fails once the connection is being closed.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// SetDeadline sets the deadline of reads and writes. It fails once the connection is being closed.
func (c *connection) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// CloseWrite closes the sending side and starts to drop what the caller still sends.
func (c *connection) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	c.closing = true
	if c.ended.Load() {
		return c.TCPConn.Close()
	}
	if err := c.TCPConn.CloseWrite(); err != nil {
		_ = c.TCPConn.Close() // The connection has failed.
		return fmt.Errorf("close the sending side: %w", err)
	}
	// Ends a read in progress, so that linger can read.
	if err := c.TCPConn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		_ = c.TCPConn.Close() // The connection has failed.
		return fmt.Errorf("end a read in progress: %w", err)
	}
	place := c.listener.add(c)
	go c.linger(place, time.Now())
	return nil
}

// Close closes the connection without waiting: like CloseWrite, which also closes the rest once the caller has stopped sending.
func (c *connection) Close() error { return c.CloseWrite() }

// linger drops what the caller sends until it stops or a limit is reached, and then closes the connection.
func (c *connection) linger(place *list.Element, closedAt time.Time) {
	defer c.listener.release()
	c.reading.Lock()
	defer c.reading.Unlock()
	defer c.listener.remove(place)
	buffer := c.listener.buffers.Get().(*[bufferBytes]byte)
	defer c.listener.buffers.Put(buffer)
	limits := c.listener.limits
	deadline := closedAt.Add(limits.Total)
	dropped, emptyReads, cause := int64(0), 0, ""
	for cause == "" {
		readDeadline := time.Now().Add(limits.Idle / idleParts)
		if readDeadline.After(deadline) {
			readDeadline = deadline
		}
		if err := c.TCPConn.SetReadDeadline(readDeadline); err != nil {
			break // The connection was displaced.
		}
		n, err := c.TCPConn.Read(buffer[:])
		dropped += int64(n)
		time.Sleep(c.listener.rate.ReserveN(time.Now(), n).Delay())
		if n > 0 {
			emptyReads = 0
		} else {
			emptyReads++
		}
		switch {
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			cause = "stopped" // The caller closed the connection.
		case err != nil && !time.Now().Before(deadline):
			cause = "deadline"
		case emptyReads >= idleParts:
			cause = "idle"
		case dropped >= limits.Bytes:
			cause = "bytes"
		}
	}
	_ = c.TCPConn.Close() // Fails only if the connection was displaced.
	if c.displaced.Load() {
		cause = "displaced"
	}
	switch cause {
	case "stopped":
	case "idle":
		logger.Info("connection ended quiet").Str("caller", c.RemoteAddr().String()).Int64("dropped", dropped).
			Int64("after_ms", time.Since(closedAt).Milliseconds()).Msg("connection ended that its caller left open")
	default:
		logger.Info("connection cut off").Str("caller", c.RemoteAddr().String()).Str("cause", cause).Int64("dropped", dropped).
			Int64("after_ms", time.Since(closedAt).Milliseconds()).Msg("connection cut off while its caller was sending")
	}
}
