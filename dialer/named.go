package dialer

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/prover"
)

// HeaderRequestID names a request, and in a response the request that it belongs to.
const HeaderRequestID = "X-Request-Id"

// NewNamed returns a client like that of New, whose requests name themselves in HeaderRequestID. A request is not sent over a connection that has
// carried it before, or a response that named no request: then another connection is used, and no byte was written to this one. Exchange gives the
// account of a response. MaxBodyBytes bounds the body of a response that is not read as a stream.
func NewNamed(address string, readTimeout time.Duration, maxBodyBytes int) *fasthttp.HostClient {
	client := newNamedPool(address, readTimeout, maxBodyBytes)
	client.Transport = &namedTransport{single: newNamedPool(address, readTimeout, maxBodyBytes)}
	client.MaxIdemponentCallAttempts = maxConnections // Each attempt but the last closes a connection.
	client.RetryIfErr = func(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
		var carried *prover.CarriedError
		return false, errors.As(err, &carried)
	}
	return client
}

// newNamedPool returns a client whose connections are of type namedConn.
func newNamedPool(address string, readTimeout time.Duration, maxBodyBytes int) *fasthttp.HostClient {
	client := New(address, readTimeout)
	client.MaxResponseBodySize = maxBodyBytes
	dial := client.Dial
	client.Dial = func(address string) (net.Conn, error) {
		connection, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &namedConn{Conn: connection, account: prover.NewConnection(address)}, nil
	}
	return client
}

// namedConn begins an exchange on the account of a connection when the first bytes of a request are written.
type namedConn struct {
	net.Conn
	account *prover.Connection
	// next is the address that the client asked for last, until the first bytes of its request are written.
	next *namedAddr
	// statusLine is the beginning of the first line of the response that is due, up to the status; inStatusLine is set until that has arrived.
	statusLine   []byte
	inStatusLine bool
}

// statusEnd is the length of the first line of a response up to the end of the status.
const statusEnd = len("HTTP/1.1 200")

// Read reads a part of a response. It fails with a *StatusError at status 000, which the client would take for 200.
func (c *namedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.inStatusLine {
		c.statusLine = append(c.statusLine, buffer[:min(n, statusEnd-len(c.statusLine))]...)
		if c.inStatusLine = len(c.statusLine) < statusEnd; !c.inStatusLine && bytes.HasSuffix(c.statusLine, []byte(" 000")) {
			return 0, &StatusError{}
		}
	}
	return n, err
}

// namedAddr is the local address of a connection as one response keeps it.
type namedAddr struct {
	net.Addr
	exchange *prover.Exchange
	// unnamed is set if the request's ID was not found, so that its exchange has none.
	unnamed bool
}

// LocalAddr returns a *namedAddr. The client asks for it once for each request, before it writes the first bytes.
func (c *namedConn) LocalAddr() net.Addr {
	c.next = &namedAddr{Addr: c.Conn.LocalAddr()}
	return c.next
}

// Write writes a part of a request. It fails with a *prover.CarriedError before the first byte of one that the connection may not carry.
func (c *namedConn) Write(data []byte) (int, error) {
	if c.next != nil {
		id := requestID(data)
		exchange, err := c.account.Begin(id)
		if err != nil {
			return 0, err
		}
		c.next.exchange, c.next.unnamed, c.next = exchange, id == "", nil
		c.statusLine, c.inStatusLine = c.statusLine[:0], true
	}
	return c.Conn.Write(data)
}

// requestID returns the ID in the first bytes of a request, or an empty string. The client tells a connection nothing of the request but its bytes.
func requestID(data []byte) string {
	head, _, ended := bytes.Cut(data, []byte("\r\n\r\n"))
	_, rest, _ := bytes.Cut(head, []byte("\r\n"+HeaderRequestID+": "))
	id, _, followed := bytes.Cut(rest, []byte("\r\n"))
	if !ended && !followed {
		return "" // It may be longer.
	}
	return string(id)
}

// Exchange returns the exchange that a response over a client of NewNamed belongs to, and the ID that the response gives for it. Known is unset
// for other responses.
func Exchange(response *fasthttp.Response) (exchange *prover.Exchange, receivedID string, known bool) {
	address, known := response.LocalAddr().(*namedAddr)
	if !known || address.exchange == nil {
		return nil, "", false
	}
	if address.unnamed {
		return address.exchange, "", true // It is the only one on its connection.
	}
	return address.exchange, string(response.Header.Peek(HeaderRequestID)), true
}

// UnknownConnectionError reports a response whose connection is not one of a client of NewNamed.
type UnknownConnectionError struct {
	// request is the ID of the request.
	request string
}

// NewUnknownConnectionError returns the error for the response to the request with an ID.
func NewUnknownConnectionError(request string) error {
	return &UnknownConnectionError{request: request}
}

// Error names the request.
func (e *UnknownConnectionError) Error() string {
	return fmt.Sprintf("connection of the response to request %q is not known", e.request)
}

// Accept records the response to the request with an ID, of a server that need not name requests: another ID than the request's counts as none.
// The error says that the response may belong to another request; its connection is then not used again.
func Accept(response *fasthttp.Response, id string) error {
	exchange, receivedID, known := Exchange(response)
	if !known {
		return NewUnknownConnectionError(id)
	}
	if receivedID != id {
		receivedID = ""
	}
	err := exchange.Receive(receivedID)
	if err == nil && !prover.Promises(response.StatusCode()) {
		err = exchange.Answer(receivedID)
	}
	if err != nil {
		response.SetConnectionClose()
	}
	return err
}

// singleDuration is for how long each request has a connection of its own after a response that did not name its request.
const singleDuration = 30 * time.Second

// maxHeadBytes is the size of a request's head up to which its ID is sure to be in the first bytes that are written.
const maxHeadBytes = bufferBytes - 1<<10

// namedTransport is the transport of one client. A server that does not name requests in its responses may send one too many on a kept connection,
// which cannot be told from the response that is due: such a connection is not used again.
type namedTransport struct {
	// single has no idle connections: it is for requests that have a connection of their own.
	single *fasthttp.HostClient
	// singleUntil is the time until which all requests have one, in Unix nanoseconds.
	singleUntil atomic.Int64
}

// RoundTrip sends a request and reads the response.
func (t *namedTransport) RoundTrip(client *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response) (retry bool, err error) {
	pool := client
	if time.Now().UnixNano() < t.singleUntil.Load() || headBytes(request) > maxHeadBytes {
		pool = t.single
		if !request.ConnectionClose() {
			request.SetConnectionClose() // The server closes the connection first, so that no port waits at this end.
			defer request.Header.ResetConnectionClose()
		}
	}
	if retry, err := fasthttp.DefaultTransport.RoundTrip(pool, request, response); err != nil {
		return retry, err
	}
	name := response.Header.Peek(HeaderRequestID)
	if len(name) == 0 || !bytes.Equal(name, request.Header.Peek(HeaderRequestID)) {
		t.singleUntil.Store(time.Now().Add(singleDuration).UnixNano())
		response.SetConnectionClose()
		client.CloseIdleConnections()
	}
	return false, nil
}

// headBytes returns about the size of a request's head.
func headBytes(request *fasthttp.Request) int {
	size := len(request.URI().RequestURI())
	for key, value := range request.Header.All() {
		size += len(key) + len(value) + len(": \r\n")
	}
	return size
}
