package dialer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// ReadAfterReset returns a connection for a client. If the server closes it while a request is being written, the rest of the request counts
// as written, so that the client goes on to read: the server may have answered before it read the whole request. Without a response, the
// read fails. The client cannot tell any more that nothing of a request was written.
//
// The system reports a reset once, to whichever half of the connection asks first; the other half sees an orderly end. So once a write has met
// a reset, the end of what is read is an error too: a response that has no length and ends there may be incomplete.
func ReadAfterReset(connection net.Conn) net.Conn {
	return &earlyConn{Conn: connection}
}

// ResetError reports that a connection ended while a request was written, so that what was read may be incomplete.
type ResetError struct {
	// address is the server's.
	address string
}

// Error names the address.
func (e *ResetError) Error() string {
	return fmt.Sprintf("connection to %s ended while the request was written", e.address)
}

// earlyConn implements ReadAfterReset.
type earlyConn struct {
	net.Conn
	// writing is held while a part of a request is written, reset is set before it is released after a write that met a reset.
	writing sync.Mutex
	reset   atomic.Bool
}

// Write writes a part of a request.
func (c *earlyConn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		c.reset.Store(true)
		return len(data), nil
	}
	return n, err
}

// Read reads a part of a response. Its end is a *ResetError if a write has met a reset, or is still in progress: the request was not written whole then.
func (c *earlyConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !c.awaitWrite() || c.reset.Load() {
		return n, &ResetError{address: c.RemoteAddr().String()}
	}
	return n, err
}

const (
	// writeEndTime is how long the end of a connection waits for a write in progress, which fails by itself if it was a reset.
	writeEndTime = 50 * time.Millisecond
	// writePollInterval is the pause between two checks of that write.
	writePollInterval = time.Millisecond
)

// awaitWrite waits for the end of a write in progress, and reports whether it has ended.
func (c *earlyConn) awaitWrite() bool {
	for deadline := time.Now().Add(writeEndTime); ; time.Sleep(writePollInterval) {
		if c.writing.TryLock() {
			c.writing.Unlock()
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// Bounds of the statuses of responses that are passed on: an informational status is not a response, and RFC 9110 defines none from 600 on.
const (
	minStatus = 200
	maxStatus = 599
)

// StatusError reports a response whose status is none.
type StatusError struct {
	// status is the response's.
	status int
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("response has status %d; want %d to %d", e.status, minStatus, maxStatus)
}

// CheckStatus returns a *StatusError unless a response may have the status.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return &StatusError{status: status}
	}
	return nil
}
