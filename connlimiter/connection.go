package connlimiter

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// writeTimeout is the time in which a caller must take writeBytes of a response.
	writeTimeout = 30 * time.Second
	writeBytes   = 64 << 10
	// refusalTimeout bounds the write of a refusal, which fits into an empty socket buffer. 100 ms lost refusals where the process waited for a processor
	// between setting the deadline and the write.
	refusalTimeout = 2 * time.Second
	// lateTime is granted once after a timeout, to read what has arrived while the process did not run.
	lateTime = 20 * time.Millisecond
	// freeHeadBytes and freeHeadLines of each head need no space of the account of heads. Ordinary heads have less.
	freeHeadBytes, freeHeadLines = 1 << 10, 16
	// byteCost and lineCost are the bytes that a server holds for a byte and for a line of a head while it parses it, as measured with net/http and
	// fasthttp.
	byteCost, lineCost = 3, 256
	// headStep is the step in which space for a head is taken.
	headStep = 2 << 10
	// chunkCost is what a byte of a chunked body costs while a server lets its buffer grow.
	chunkCost = 3
)

// connection is a connection of a caller. Reads are sequential; everything else is safe for concurrent use.
type connection struct {
	net.Conn
	listener *Listener
	// The fields up to spaceMu are used by Read only, and by setIdle, which is called between reads.
	scanner scanner
	// refused is set once the connection is refused: it reads nothing more, and what the server writes is dropped.
	refused bool
	// inProgress is the number of heads that have ended and whose requests the server has not.
	inProgress int
	// pipelined is set when a head began before the request before it had ended.
	pipelined bool
	// doomed is set by a violation, or for lack of space, after a head that has ended, whose request must not get an answer from here. Nothing more is
	// read then. broken is set if the violation is in a body, whose handler must get io.EOF once the request is served: it would read on for good if it
	// got no bytes and no error.
	doomed, broken bool
	// headSize is the space of the current head, servedSize that of the largest head whose request is in progress.
	headSize, servedSize int64
	// bodyBytes is the number of bytes of the current body, progress that of those since it was recorded.
	bodyBytes, progress int
	// spaceMu guards head and body, the spaces that were taken, or nil.
	spaceMu    sync.Mutex
	head, body *Holding
	// writeDeadline is the deadline of writes that was set last, serverWriteDeadline the one that the server has asked for; both are used by
	// the goroutine that writes only.
	writeDeadline, serverWriteDeadline time.Time
	// mu guards the three deadlines and stopped, which is set when a holding was ended.
	mu                          sync.Mutex
	serverDeadline, ownDeadline time.Time
	stopped                     bool
	// The fields below are guarded by the listener's lock. since is when the connection began to wait for a request.
	since   time.Time
	list    *list.List
	place   *list.Element
	removed bool
}

func newConnection(accepted net.Conn, l *Listener) *connection {
	c := &connection{Conn: accepted, listener: l, since: time.Now()}
	if l.port.HTTP {
		_, _, idle := l.limiter.headLimits()
		c.setOwnDeadline(c.since.Add(idle))
	}
	return c
}

// Read reads what the caller sends. It returns io.EOF once the connection is refused.
func (c *connection) Read(buffer []byte) (int, error) {
	if !c.listener.port.HTTP {
		return c.Conn.Read(buffer)
	}
	if c.doomed && c.servesBeside() && !(c.broken && c.inProgress == 1) {
		return 0, nil // The server would take io.EOF for the end of the caller, and end the request in progress.
	}
	if c.refused || c.doomed {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) && n == 0 {
		n, err = c.readLate(buffer)
	}
	if n == 0 {
		return 0, err
	}
	n, refusal := c.follow(buffer[:n])
	if refusal != nil {
		return 0, refusal
	}
	return n, err
}

// servesBeside reports whether the server serves a request while it reads what follows, as net/http does to notice that the caller leaves.
func (c *connection) servesBeside() bool { return c.listener.port.BodyLimit == 0 && c.inProgress > 0 }

// readLate reads once more after a timeout of the connection's own, since bytes may have arrived while the process did not run. It ends the
// connection if none have.
func (c *connection) readLate(buffer []byte) (int, error) {
	now := time.Now()
	c.mu.Lock()
	stopped := c.stopped
	late := !c.ownDeadline.IsZero() && !now.Before(c.ownDeadline) && (c.serverDeadline.IsZero() || now.Before(c.serverDeadline))
	var err error
	if late && !stopped {
		err = c.Conn.SetReadDeadline(now.Add(lateTime))
	}
	c.mu.Unlock()
	if stopped && c.servesBeside() {
		c.doom("stalled")
		return 0, nil
	}
	if stopped {
		return 0, c.refuse(http.StatusRequestTimeout, "stalled")
	}
	if !late || err != nil {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(buffer)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.scanner.phase != phaseBetween {
		c.listener.limiter.report(c.listener.port.Name, "head late", c.RemoteAddr().String())
	}
	return n, err
}

// follow counts bytes that were read, and takes the space for them. It returns how many of them the server gets. The error is that of Read if the
// request is refused.
func (c *connection) follow(data []byte) (passed int, err error) {
	for passed < len(data) {
		before := c.scanner.phase
		if before == phaseBetween {
			c.scanner.maxBytes, _, _ = c.listener.limiter.headLimits()
		}
		n, body, headEnds, v := c.scanner.scan(data[passed:])
		if before == phaseBetween && c.scanner.phase != phaseBetween {
			c.beginHead()
		}
		if v != 0 && !c.mayAnswer() {
			c.broken = c.scanner.inBody()
			c.doom(causeOf(v))
			return passed + n, nil
		}
		if v != 0 {
			return 0, c.refuse(int(v), causeOf(v))
		}
		err = c.takeSpace(body, headEnds)
		if err == nil && headEnds {
			err = c.endHead()
		}
		if c.doomed {
			if headEnds {
				n-- // Without its last byte, the server does not serve the request.
			}
			return passed + n, nil
		}
		if err != nil {
			return 0, err
		}
		passed += n
	}
	return passed, nil
}

// doom makes the current head the last thing that is read, while requests before it are in progress, whose responses are still written.
func (c *connection) doom(cause string) {
	c.doomed = true
	c.spaceMu.Lock()
	c.head.Shrink(c.servedSize)
	c.spaceMu.Unlock()
	c.listener.limiter.report(c.listener.port.Name, cause, c.RemoteAddr().String())
}

// mayAnswer reports whether an answer now can only be taken for that to the request that is being read. Servers that read bodies by themselves have
// not begun to serve it then.
func (c *connection) mayAnswer() bool {
	if c.listener.port.BodyLimit > 0 && c.scanner.inBody() {
		return !c.pipelined && c.inProgress == 1
	}
	return !c.pipelined && c.inProgress == 0
}

// causeOf returns the name of a violation in metrics and log lines.
func causeOf(v violation) string {
	if v == violationLarge {
		return "head large"
	}
	return "malformed"
}

// beginHead sets the time for a head and returns the space of the one before. While a request is in progress, the time for the next head does not
// run: the server would end that request with it.
func (c *connection) beginHead() {
	c.headSize = 0
	if c.inProgress > 0 {
		c.pipelined = true
		return
	}
	c.release()
	c.servedSize = 0
	_, timeout, _ := c.listener.limiter.headLimits()
	c.setOwnDeadline(time.Now().Add(timeout))
}

// endHead records that the server has a request to serve. The error is that of Read if the request is refused.
func (c *connection) endHead() error {
	if c.head != nil {
		if err := c.head.Keep(); err != nil {
			return c.refuseSpace(err)
		}
	}
	c.servedSize = max(c.servedSize, c.headSize)
	c.inProgress, c.bodyBytes, c.progress = c.inProgress+1, 0, 0
	c.setOwnDeadline(time.Time{})
	c.listener.mu.Lock()
	c.unlist()
	removed := c.removed
	c.listener.mu.Unlock()
	if removed { // It was closed in favour of another one just now; nobody would get the response.
		c.refused = true
		c.release()
		return io.EOF
	}
	return c.takeBodySpace()
}

// setIdle records that the server waits for the next request.
func (c *connection) setIdle() {
	if c.inProgress = max(c.inProgress-1, 0); c.inProgress > 0 {
		return // The head of another request has been read.
	}
	if c.listener.port.BodyLimit == 0 {
		c.pipelined = false // Every response was sent; other servers may still hold one.
	}
	c.release()
	if c.scanner.phase == phaseUnknown {
		c.scanner.endRequest()
	}
	now := time.Now()
	_, head, idle := c.listener.limiter.headLimits()
	if c.scanner.phase == phaseHead {
		idle = head
	}
	c.setOwnDeadline(now.Add(idle))
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.place == nil && !c.removed {
		c.since, c.list = now, c.listener.waiting
		c.place = c.list.PushBack(c)
	}
}

// takeSpace takes the space for the current head and, for servers that read bodies by themselves, for bytes of the body. The error is that of Read if
// the request is refused.
func (c *connection) takeSpace(body int, headEnds bool) error {
	if c.scanner.phase == phaseHead || headEnds {
		cost := int64(max(c.scanner.bytes-freeHeadBytes, 0)*byteCost + max(c.scanner.lines-freeHeadLines, 0)*lineCost)
		if cost == 0 {
			return nil
		}
		if c.head == nil {
			c.setSpace(&c.head, c.listener.limiter.heads.Hold(c.stop))
		}
		c.headSize = (cost + headStep - 1) / headStep * headStep
		if err := c.head.Grow(c.headSize, time.Time{}); err != nil {
			return c.refuseSpace(err)
		}
		if c.servesBeside() { // The server parses the head, and may read the rest of it, only after the response.
			c.head.ReturnBeyond(c.servedSize)
		}
		return nil
	}
	if body == 0 || c.body == nil {
		return nil
	}
	c.bodyBytes, c.progress = c.bodyBytes+body, c.progress+body
	if c.progress < freeBodyBytes && c.scanner.inBody() {
		return nil
	}
	c.progress = 0
	if c.scanner.length < 0 {
		if err := c.body.Grow(int64(max(c.bodyBytes-freeBodyBytes, 0)*chunkCost), time.Time{}); err != nil {
			return c.refuseSpace(err)
		}
	}
	if c.scanner.inBody() {
		c.body.Touch()
		return nil
	}
	if err := c.body.Keep(); err != nil {
		return c.refuseSpace(err)
	}
	return nil
}

// takeBodySpace takes the space for a body whose length the head has told, or for the largest one if the scanner cannot tell the length, for servers
// that read bodies by themselves. The error is that of Read if the request is refused.
func (c *connection) takeBodySpace() error {
	if c.listener.port.BodyLimit == 0 || !c.scanner.inBody() {
		return nil
	}
	if c.body == nil {
		c.setSpace(&c.body, &Holding{account: c.listener.limiter.bodies, stop: c.stop, listener: c.listener})
	}
	size := int64(0)
	if length := c.scanner.length; length > freeBodyBytes && length <= int64(c.listener.port.BodyLimit) {
		size = roundUp(length) // The server allocates it at once.
	}
	if c.scanner.phase == phaseUnknown { // The server may read a length where the scanner does not, such as in a continuation line.
		size = min(roundUp(int64(c.listener.port.BodyLimit)), c.listener.limiter.bodies.size)
	}
	if most := c.listener.limiter.bodies.size; size <= most {
		size = min(size*int64(max(c.listener.port.BodyCopies, 1)), most) // A body that fits once fits by itself.
	}
	if err := c.body.Grow(size, time.Time{}); err != nil {
		return c.refuseSpace(err)
	}
	return nil
}

// setSpace sets head or body.
func (c *connection) setSpace(space **Holding, holding *Holding) {
	c.spaceMu.Lock()
	defer c.spaceMu.Unlock()
	*space = holding
}

// roundUp returns the next power of two, by which fasthttp allocates.
func roundUp(size int64) int64 {
	rounded := int64(1)
	for rounded < size {
		rounded *= 2
	}
	return rounded
}

// stop ends the read in progress because a holding was ended.
func (c *connection) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // Fails only if the connection has ended.
}

// refuseSpace refuses a request for which there is no space. It dooms the connection instead if a request before it is in progress.
func (c *connection) refuseSpace(err error) error {
	status, cause := http.StatusServiceUnavailable, "space"
	var stalled *StalledError
	if errors.As(err, &stalled) {
		status, cause = http.StatusRequestTimeout, "stalled"
	}
	if c.servesBeside() {
		c.doom(cause)
		return io.EOF
	}
	return c.refuse(status, cause)
}

// refuse answers a request that has not been read whole, if the answer cannot be taken for that to another one, and ends the connection for the
// server. It returns the error of Read.
func (c *connection) refuse(status int, cause string) error {
	if c.refused {
		return io.EOF
	}
	if c.mayAnswer() {
		retry := ""
		if status == http.StatusServiceUnavailable {
			retry = fmt.Sprintf("Retry-After: %.3f\r\n", float64(spaceRetryMS)/1000)
		}
		text := fmt.Sprintf("%d %s", status, http.StatusText(status))
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // Fails only if the connection has ended, as the write does.
		_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"+
			"%sContent-Length: %d\r\n\r\n%s", text, retry, len(text), text)
		if err != nil {
			c.listener.limiter.report(c.listener.port.Name, "refusal not written", c.RemoteAddr().String())
		}
	}
	c.refused = true
	c.release()
	c.listener.limiter.report(c.listener.port.Name, cause, c.RemoteAddr().String())
	return io.EOF
}

// release returns the space that was taken.
func (c *connection) release() {
	c.spaceMu.Lock()
	defer c.spaceMu.Unlock()
	c.head.Release()
	c.body.Release()
}

// CloseWrite closes the sending side if the connection can do that.
func (c *connection) CloseWrite() error {
	if inner, can := c.Conn.(interface{ CloseWrite() error }); can {
		return inner.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives its place and its space to others.
func (c *connection) Close() error {
	c.listener.mu.Lock()
	c.remove()
	c.listener.mu.Unlock()
	c.release() // At every call: the last one is that of the server, which reads no more.
	return c.Conn.Close()
}
