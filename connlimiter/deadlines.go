package connlimiter

import (
	"errors"
	"os"
	"time"
)

// Write writes to the caller, who must take every writeBytes within writeTimeout. It drops what a server writes to a refused connection.
func (c *connection) Write(data []byte) (int, error) {
	if c.refused {
		return len(data), nil
	}
	if !c.listener.port.HTTP {
		return c.Conn.Write(data)
	}
	written := 0
	for {
		now := time.Now()
		deadline := now.Add(writeTimeout)
		if !c.serverWriteDeadline.IsZero() && c.serverWriteDeadline.Before(deadline) {
			deadline = c.serverWriteDeadline
		}
		// Setting it at each write would cost more.
		if !deadline.Equal(c.writeDeadline) && c.writeDeadline.Sub(now) < writeTimeout*3/4 {
			c.writeDeadline = deadline
			if err := c.Conn.SetWriteDeadline(c.writeDeadline); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(data[written:min(len(data), written+writeBytes)])
		written += n
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			c.listener.limiter.report(c.listener.port.Name, "response not read", c.RemoteAddr().String())
		}
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// SetWriteDeadline sets the deadline of the server's writes. The connection's own deadline applies if it is earlier.
func (c *connection) SetWriteDeadline(deadline time.Time) error {
	if !c.listener.port.HTTP {
		return c.Conn.SetWriteDeadline(deadline)
	}
	if !deadline.Equal(c.serverWriteDeadline) {
		c.serverWriteDeadline, c.writeDeadline = deadline, time.Time{}
	}
	return nil
}

// SetReadDeadline sets the deadline of the server's reads. The connection's own deadline applies if it is earlier.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = deadline
	return c.applyDeadline()
}

// SetDeadline sets the deadline of reads, and that of writes as SetWriteDeadline does.
func (c *connection) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// setOwnDeadline sets the time by which the head or the next request must have arrived; zero for none.
func (c *connection) setOwnDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownDeadline = deadline
	_ = c.applyDeadline() // Fails only if the connection has ended, which the next read finds.
}

// applyDeadline sets the earlier one of the two deadlines. The lock is held.
func (c *connection) applyDeadline() error {
	deadline := c.serverDeadline
	if deadline.IsZero() || !c.ownDeadline.IsZero() && c.ownDeadline.Before(deadline) {
		deadline = c.ownDeadline
	}
	if c.stopped {
		deadline = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(deadline)
}
