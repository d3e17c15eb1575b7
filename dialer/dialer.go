// Package dialer creates HTTP clients whose connections have a timeout for every
// read, so that a connection on which nothing arrives any more is closed.
package dialer

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/prover"
)

// Limits of every client and its connections.
const (
	connectTimeout = 1 * time.Second
	idleTimeout    = 30 * time.Second
	maxConnections = 4096
	bufferBytes    = 16 << 10
	// MaxBodyBytes bounds the body of a response that is not read as a stream; the largest one needed is a snapshot of the configuration, 2.3 MB at 19,000 adapters.
	MaxBodyBytes = 16 << 20
)

// DialError says that no connection could be opened, so that the request was not sent.
type DialError struct {
	// address is the IP and port that was dialed.
	address string
	// cause is the error of net.DialTimeout; it is never nil.
	cause error
}

// Error returns the address and the cause.
func (e *DialError) Error() string { return fmt.Sprintf("connect to %s: %v", e.address, e.cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.cause }

// NothingSent reports whether err proves that no part of the request was sent.
func NothingSent(err error) bool {
	var dialError *DialError
	var carried *prover.CarriedError
	return errors.As(err, &dialError) || errors.As(err, &carried) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// New returns a client for one address (host:port). A read fails when nothing
// arrives for readTimeout, and connecting when it takes longer than that or than connectTimeout. The client never
// retries a request by itself.
func New(address string, readTimeout time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConnections,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		ReadBufferSize:            bufferBytes,
		MaxResponseBodySize:       MaxBodyBytes,
		WriteBufferSize:           bufferBytes,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		Dial: func(address string) (net.Conn, error) {
			connection, err := net.DialTimeout("tcp", address, min(connectTimeout, readTimeout))
			if err != nil {
				return nil, &DialError{address: address, cause: err}
			}
			return &timeoutConn{Conn: ReadAfterReset(connection), readTimeout: readTimeout}, nil
		},
	}
}

// probeTimeout limits the probe before a request that must not run twice.
const probeTimeout = 1 * time.Second

// NewProbed returns a client like that of NewNamed, for one request that must not run twice, after the address has responded to a GET request for
// path with status 200. The request goes over a new connection, so that it is neither sent on a dead one nor to a frozen process, and a second
// response to the probe, which has a connection of its own, cannot be taken for the request's. The caller closes the client's idle connections.
func NewProbed(address, path string, readTimeout time.Duration, deadline time.Time) (*fasthttp.HostClient, error) {
	prober := New(address, readTimeout)
	defer prober.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.SetConnectionClose()
	if probeDeadline := time.Now().Add(probeTimeout); probeDeadline.Before(deadline) {
		deadline = probeDeadline
	}
	err := prober.DoDeadline(request, response, deadline)
	if err == nil && response.StatusCode() != fasthttp.StatusOK {
		err = fmt.Errorf("status %d, want 200", response.StatusCode())
	}
	if err != nil {
		return nil, fmt.Errorf("probe %s%s: %w", address, path, err)
	}
	client := NewNamed(address, readTimeout, MaxBodyBytes)
	client.MaxConns = 1
	return client, nil
}

// timeoutConn limits every read by readTimeout and by the deadline given to
// SetReadDeadline. The deadline of the underlying connection is set again only once
// the new one is later by more than a tenth of readTimeout, since setting it costs
// more than a read.
type timeoutConn struct {
	net.Conn
	readTimeout time.Duration
	// callerDeadline is the deadline given to SetReadDeadline, in Unix nanoseconds; 0 means none.
	callerDeadline atomic.Int64
	// appliedDeadline is the deadline last set on Conn, in Unix nanoseconds; 0 makes the next read set it again.
	appliedDeadline atomic.Int64
}

// SetReadDeadline stores the deadline for later reads; a read in progress is not
// affected. It never fails.
func (c *timeoutConn) SetReadDeadline(deadline time.Time) error {
	nanoseconds := int64(0)
	if !deadline.IsZero() {
		nanoseconds = deadline.UnixNano()
	}
	c.callerDeadline.Store(nanoseconds)
	c.appliedDeadline.Store(0)
	return nil
}

// toleranceDivisor is the divisor of readTimeout that gives the time by which the
// applied deadline may be too early.
const toleranceDivisor = 10

// Read waits at most readTimeout, and not past the deadline given to SetReadDeadline.
func (c *timeoutConn) Read(buffer []byte) (int, error) {
	deadline := time.Now().Add(c.readTimeout).UnixNano()
	if callerDeadline := c.callerDeadline.Load(); callerDeadline != 0 {
		deadline = min(deadline, callerDeadline)
	}
	if applied := c.appliedDeadline.Load(); applied == 0 || deadline-applied > int64(c.readTimeout)/toleranceDivisor {
		if err := c.Conn.SetReadDeadline(time.Unix(0, deadline)); err != nil {
			return 0, err
		}
		c.appliedDeadline.Store(deadline)
	}
	return c.Conn.Read(buffer)
}
