// Package serviceclient speaks with the plain services beside the models.
package serviceclient

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/dialer"
)

// progressTime bounds the wait for a service's next byte.
const progressTime = 10 * time.Second

// NotRunError says that the request was never sent to the service.
type NotRunError struct {
	// cause is what kept it from being sent, never nil.
	cause error
}

// Error returns the cause.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("service did not run the request: %v", e.cause)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.cause }

// BrokenError says that the request may have run and its answer is missing or not whole.
type BrokenError struct {
	// cause is what was wrong, never nil.
	cause error
}

// Error returns the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("service answer is not whole: %v", e.cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// Client speaks with one endpoint of a service.
type Client struct {
	// address is IP and port.
	address string
	pooled  *fasthttp.HostClient
}

// New returns a client for the endpoint at an address.
func New(address string) *Client {
	return &Client{address: address, pooled: dialer.New(address, progressTime)}
}

// SendIdempotent sends a request that may run twice over a pooled connection.
func (c *Client) SendIdempotent(request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error {
	err := c.pooled.DoDeadline(request, response, deadline)
	if err == nil {
		return nil
	}
	c.pooled.CloseIdleConnections()
	if dialer.NothingSent(err) {
		return &NotRunError{cause: err}
	}
	return &BrokenError{cause: err}
}

// SendOnce sends a request that must not run twice. It opens a connection of
// its own and probes the endpoint over it first, so that neither a connection
// that went silent nor a frozen endpoint ever gets the request.
func (c *Client) SendOnce(request *fasthttp.Request, response *fasthttp.Response, probe string, deadline time.Time) error {
	fresh, err := dialer.NewProbed(c.address, probe, progressTime, deadline)
	if err != nil {
		return &NotRunError{cause: err}
	}
	defer fresh.CloseIdleConnections()
	err = fresh.DoDeadline(request, response, deadline)
	if err == nil {
		return nil
	}
	if dialer.NothingSent(err) {
		return &NotRunError{cause: err}
	}
	return &BrokenError{cause: err}
}
