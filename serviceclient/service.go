// Package serviceclient is the HTTP client of plain services, which load no models.
package serviceclient

import (
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/dialer"
	"github.com/acaciaproxy/acaciaproxy/logger"
)

// readTimeout bounds the wait for the next byte from a service.
const readTimeout = 10 * time.Second

// NotRunError reports that the request was never sent to the service.
type NotRunError struct {
	// cause is why it was not sent, never nil.
	cause error
}

// Error describes the failure with its cause.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("service did not run the request: %v", e.cause)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.cause }

// BrokenError reports that the request may have run and its response is missing or
// incomplete.
type BrokenError struct {
	// cause is what is wrong with the response, never nil.
	cause error
}

// Error describes the failure with its cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("service answer is not whole: %v", e.cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// Client sends requests to one endpoint of a service. It is safe for concurrent use.
type Client struct {
	// address is the endpoint's IP and port.
	address string
	// pooled has the connections that idempotent requests share.
	pooled *fasthttp.HostClient
}

// New returns a client for the endpoint at an IP and port.
func New(address string) *Client {
	return &Client{address: address, pooled: dialer.NewNamed(address, readTimeout, dialer.MaxBodyBytes)}
}

// SendIdempotent sends a request that may run twice, over a pooled connection if the service names requests in its responses, else over a
// connection of its own, and reads the body of the response with readBody. The error is a *NotRunError or a *BrokenError.
func (c *Client) SendIdempotent(request *fasthttp.Request, response *fasthttp.Response, deadline time.Time, readBody func(io.Reader) error) error {
	err := send(c.pooled, request, response, deadline, readBody)
	if err != nil {
		c.pooled.CloseIdleConnections()
	}
	return err
}

// SendOnce sends a request that must not run twice, over a dedicated connection. It first probes the endpoint at the
// URL path probe, so that the request is sent neither over
// an unresponsive connection nor to a frozen endpoint. It reads the body of the response with readBody. The error is a
// *NotRunError or a *BrokenError.
func (c *Client) SendOnce(request *fasthttp.Request, response *fasthttp.Response, probe string, deadline time.Time, readBody func(io.Reader) error) error {
	dedicated, err := dialer.NewProbed(c.address, probe, readTimeout, deadline)
	if err != nil {
		return &NotRunError{cause: err}
	}
	defer dedicated.CloseIdleConnections()
	return send(dedicated, request, response, deadline, readBody)
}

// send sends a request and reads the body of the response, if it has one, with readBody. The rest of a body that readBody does not read to its end
// is not read, and the connection is closed.
func send(client *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time, readBody func(io.Reader) error) error {
	response.StreamBody = true
	if err := client.DoDeadline(request, response, deadline); err != nil {
		if dialer.NothingSent(err) {
			return &NotRunError{cause: err}
		}
		return &BrokenError{cause: err}
	}
	err := dialer.CheckStatus(response.StatusCode())
	if err != nil {
		response.SetConnectionClose()
		logger.Warn("response with an invalid status").Int("status", response.StatusCode()).Msg("response with an invalid status")
	} else {
		err = dialer.Accept(response, string(request.Header.Peek(dialer.HeaderRequestID)))
	}
	if err != nil {
		_ = response.CloseBodyStream() // The connection is closed; nothing else is lost.
		return &BrokenError{cause: err}
	}
	if response.BodyStream() == nil {
		return nil
	}
	err = readBody(response.BodyStream())
	if closeErr := response.CloseBodyStream(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &BrokenError{cause: err}
	}
	return nil
}
