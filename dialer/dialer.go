// Package dialer opens HTTP connections on which every read must make
// progress, so that a connection that went silent is noticed and dropped.
package dialer

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of every connection.
const (
	connectTimeout = 1 * time.Second
	idleTimeout    = 30 * time.Second
	maxConnections = 4096
	bufferBytes    = 16 << 10
)

// DialError says that no connection could be opened, so that nothing was sent.
type DialError struct {
	// address is the IP and port that did not answer.
	address string
	// cause is the network's error, never nil.
	cause error
}

// Error names the address and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.address, e.cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.cause }

// NothingSent reports whether err proves that the request never left.
func NothingSent(err error) bool {
	var dialError *DialError
	return errors.As(err, &dialError) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// New returns a client for one address. Each read fails when nothing arrives
// for the progress time. The client never repeats a request by itself.
func New(address string, progress time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		ReadBufferSize:            bufferBytes,
		WriteBufferSize:           bufferBytes,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		Dial: func(address string) (net.Conn, error) {
			inner, err := net.DialTimeout("tcp", address, connectTimeout)
			if err != nil {
				return nil, &DialError{address: address, cause: err}
			}
			return &progressConn{Conn: inner, progress: progress}, nil
		},
	}
}

// probeTime bounds the probe before a request that must not run twice.
const probeTime = 1 * time.Second

// NewProbed returns a client with one connection of its own, over which the
// address has just answered a probe with status 200. A request that must not
// run twice goes over it, so that neither a connection that went silent nor a
// frozen process gets the request. The caller closes its idle connections.
func NewProbed(address, path string, progress time.Duration, deadline time.Time) (*fasthttp.HostClient, error) {
	client := New(address, progress)
	client.MaxConns = 1
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	if limit := time.Now().Add(probeTime); limit.Before(deadline) {
		deadline = limit
	}
	err := client.DoDeadline(request, response, deadline)
	if err == nil && response.StatusCode() != fasthttp.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode())
	}
	if err != nil {
		client.CloseIdleConnections()
		return nil, fmt.Errorf("probe %s%s: %w", address, path, err)
	}
	return client, nil
}

// progressConn bounds the time of every read by the progress time and by the
// read deadline. The limit is set again only after a tenth of the progress time,
// since setting it costs more than a read.
type progressConn struct {
	net.Conn
	progress time.Duration
	// readDeadline is in Unix nanoseconds; 0 means none.
	readDeadline atomic.Int64
	// limit is what the connection's deadline was last set to, in Unix nanoseconds.
	limit atomic.Int64
}

// SetReadDeadline stores the deadline for later reads.
func (c *progressConn) SetReadDeadline(deadline time.Time) error {
	stored := int64(0)
	if !deadline.IsZero() {
		stored = deadline.UnixNano()
	}
	c.readDeadline.Store(stored)
	c.limit.Store(0)
	return nil
}

// limitTolerance is the part of the progress time by which a limit may be early.
const limitTolerance = 10

// Read waits at most the progress time, and not past the read deadline.
func (c *progressConn) Read(buffer []byte) (int, error) {
	limit := time.Now().Add(c.progress).UnixNano()
	if deadline := c.readDeadline.Load(); deadline != 0 {
		limit = min(limit, deadline)
	}
	if set := c.limit.Load(); set == 0 || limit-set > int64(c.progress)/limitTolerance {
		if err := c.Conn.SetReadDeadline(time.Unix(0, limit)); err != nil {
			return 0, err
		}
		c.limit.Store(limit)
	}
	return c.Conn.Read(buffer)
}
