// Package engineclient is the HTTP client of a model engine: OpenAI completions, orders
// with fencing numbers, and reports of the engine's units and requests.
//
// A unit is what an engine loads and unloads: a model version, named "version", or an
// adapter of it, named "version/adapter".
package engineclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/dialer"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/prover"
)

// NotRunError reports that the engine did not run a request and will not.
type NotRunError struct {
	// reason is why: from the engine, such as "not loaded" or "leaving", or from this
	// package, "probe failed" or "unreachable".
	reason string
	// cause is the network error, or nil when the engine declined the request.
	cause error
	// proof shows that the request has not run; it is given.
	proof prover.Proof
}

// Error gives the reason, and the cause if there is one.
func (e *NotRunError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("engine did not run the request: %s: %v", e.reason, e.cause)
	}
	return "engine did not run the request: " + e.reason
}

// Reason returns why the request did not run, such as "not loaded".
func (e *NotRunError) Reason() string { return e.reason }

// Proof returns the proof that the request has not run.
func (e *NotRunError) Proof() prover.Proof { return e.proof }

// DeclinedByEngine reports whether the reason came from the engine, and not from a
// network error.
func (e *NotRunError) DeclinedByEngine() bool { return e.cause == nil }

// BrokenError reports that a request may have run and its response is missing,
// incomplete or invalid.
type BrokenError struct {
	// cause is what is wrong with the response, never nil.
	cause error
	// possibleCrash is set unless the cause is a timeout.
	possibleCrash bool
}

// NewBrokenError returns a *BrokenError. A crash of the engine is possible unless the
// cause is a timeout.
func NewBrokenError(cause error) error {
	var timeout interface{ Timeout() bool }
	timedOut := errors.As(cause, &timeout) && timeout.Timeout() || errors.Is(cause, fasthttp.ErrTimeout)
	return &BrokenError{cause: cause, possibleCrash: !timedOut}
}

// Error describes the failure with its cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer is not whole: %v", e.cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// PossibleCrash reports whether a crash of the engine may be the cause: a crash resets or
// closes connections, whereas a timeout shows only that a connection is unresponsive.
func (e *BrokenError) PossibleCrash() bool { return e.possibleCrash }

// MismatchError reports a response that belongs to another request.
type MismatchError struct {
	// wantID and gotID are the request IDs of the request and of the response.
	wantID, gotID string
}

// Error gives both request IDs.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not to %q", e.gotID, e.wantID)
}

// HTTP headers of requests to an engine and of its responses.
const (
	headerRequestID = dialer.HeaderRequestID
	headerNotRun    = "X-Not-Run"
)

// readTimeout bounds the wait for the next byte from an engine.
const readTimeout = 3 * time.Second

// Client sends requests to one engine. It is safe for concurrent use.
type Client struct {
	// address is the engine's IP and port.
	address string
	// completions has the pooled connections for completions.
	completions *fasthttp.HostClient
	// control has separate connections for orders and reports.
	control *fasthttp.HostClient
}

// New returns a client for the engine at an IP and port.
func New(address string) *Client {
	return &Client{
		address: address, completions: dialer.NewNamed(address, readTimeout, dialer.MaxBodyBytes),
		control: dialer.NewNamed(address, readTimeout, maxControlBytes),
	}
}

// maxControlBytes bounds the body of a report or of the response to an order; a report of 1,000 units has less than a tenth of it.
const maxControlBytes = 1 << 20

// Address returns the engine's IP and port.
func (c *Client) Address() string { return c.address }

// CloseIdleConnections closes the idle connections. It is for use after a failure on
// one connection, since the idle ones may be unresponsive too.
func (c *Client) CloseIdleConnections() {
	c.completions.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Call is one completion request.
type Call struct {
	// ID is the request ID, which the response must carry.
	ID string
	// Path is the URL path, such as /v1/completions.
	Path string
	// Body is the JSON body, sent unchanged.
	Body []byte
	// Deadline bounds the request up to the end of the response.
	Deadline time.Time
	// Priority is the request's class, by which the engine orders its queue.
	Priority string
	// Once is set for a request that must not run twice: it is sent on a dedicated
	// connection, after the engine was probed.
	Once bool
}

// Response is an engine's response whose body is read as a stream. The caller closes it.
type Response struct {
	status      int
	contentType string
	stream      io.Reader
	id          string
	request     *fasthttp.Request
	response    *fasthttp.Response
	// dedicated is the client of this response's dedicated connection, or nil.
	dedicated *fasthttp.HostClient
}

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.status }

// ContentType returns the value of the Content-Type header.
func (r *Response) ContentType() string { return r.contentType }

// Read reads from the body. It fails when nothing arrives for readTimeout.
func (r *Response) Read(buffer []byte) (int, error) { return r.stream.Read(buffer) }

// Close releases the response. If the body was not read to its end, the connection is
// closed, upon which the engine cancels the request.
func (r *Response) Close() {
	_ = r.response.CloseBodyStream()
	fasthttp.ReleaseResponse(r.response)
	fasthttp.ReleaseRequest(r.request)
	if r.dedicated != nil {
		r.dedicated.CloseIdleConnections()
	}
}

// Complete sends a completion and returns its response once its headers have arrived.
// The error is a *NotRunError or a *BrokenError.
func (c *Client) Complete(call Call) (*Response, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + c.address + call.Path)
	request.Header.SetContentType("application/json")
	request.Header.Set(headerRequestID, call.ID)
	request.Header.Set("X-Priority", call.Priority)
	request.SetBodyRaw(call.Body)
	response.StreamBody = true
	result := &Response{id: call.ID, request: request, response: response}
	client := c.completions
	if call.Once {
		dedicated, err := dialer.NewProbed(c.address, "/health", readTimeout, call.Deadline)
		if err != nil {
			result.Close()
			return nil, &NotRunError{reason: "probe failed", cause: err, proof: prover.Unsent()}
		}
		client, result.dedicated = dedicated, dedicated
	}
	if err := client.DoDeadline(request, response, call.Deadline); err != nil {
		result.Close()
		return nil, classifySendError(err)
	}
	if err := checkHeaders(response, call); err != nil {
		var notRun *NotRunError
		if !errors.As(err, &notRun) {
			response.SetConnectionClose() // The responses that follow on it may be those of other requests too.
		}
		result.Close()
		return nil, err
	}
	result.status = response.StatusCode()
	result.contentType = string(response.Header.ContentType())
	result.stream = response.BodyStream()
	return result, nil
}

// classifySendError returns a *NotRunError when err proves that nothing was sent, else
// a *BrokenError.
func classifySendError(err error) error {
	if dialer.NothingSent(err) {
		return &NotRunError{reason: "unreachable", cause: err, proof: prover.Unsent()}
	}
	return NewBrokenError(err)
}

// checkHeaders returns an error for a request that the engine declined, and for a
// response that may belong to another send. On a new connection, a response need not
// carry the request's ID, unless it is successful.
func checkHeaders(response *fasthttp.Response, call Call) error {
	exchange, received, known := dialer.Exchange(response)
	if !known {
		return NewBrokenError(dialer.NewUnknownConnectionError(call.ID))
	}
	if err := dialer.CheckStatus(response.StatusCode()); err != nil {
		logger.Warn("response with an invalid status").Str("request", call.ID).Int("status", response.StatusCode()).Msg("response with an invalid status")
		return NewBrokenError(err)
	}
	got := string(response.Header.Peek(headerRequestID))
	if reason := response.Header.Peek(headerNotRun); len(reason) > 0 {
		proof, err := exchange.Refusal(received)
		if err != nil {
			return NewBrokenError(err)
		}
		return &NotRunError{reason: string(reason), proof: proof}
	}
	if got != call.ID && (got != "" || response.StatusCode() == fasthttp.StatusOK) {
		return NewBrokenError(&MismatchError{wantID: call.ID, gotID: got})
	}
	if err := exchange.Answer(received); err != nil {
		return NewBrokenError(err)
	}
	return nil
}

// Unit is one unit in a report, loaded or being loaded.
type Unit struct {
	Unit string `json:"unit"`
	// Phase is "loading" or "ready".
	Phase string `json:"phase"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
}

// Report is an engine's report of its units and requests.
type Report struct {
	ID string `json:"id"`
	// Incarnation changes when the engine restarts.
	Incarnation int64 `json:"incarnation"`
	// Sequence increases with every report of an incarnation.
	Sequence int64  `json:"sequence"`
	Units    []Unit `json:"units"`
	// Caches maps each unloaded unit whose checkpoint is still cached to the storage tier of
	// the cache, "memory" or "disk".
	Caches map[string]string `json:"caches"`
	// Running and Queued are numbers of requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving is set when the engine is about to leave and accepts no more loads.
	Leaving bool `json:"leaving"`
	// Orders lists the IDs of the last orders that the engine accepted.
	Orders []string `json:"orders"`
}

// Control holds the calls that a leader makes to an engine. They are function fields so
// that a test can use an in-process engine without a network.
type Control struct {
	// Address is the engine's IP and port.
	Address string
	// Report fetches the engine's report.
	Report func(deadline time.Time) (Report, error)
	// Order sends an order once, without retries.
	Order func(deadline time.Time, order Order) (OrderResponse, error)
}

// NewControl returns the control of the engine at an IP and port, over HTTP.
func NewControl(address string) *Control {
	client := New(address)
	return &Control{Address: address, Report: client.Report, Order: client.Order}
}

// Report fetches the engine's report. The error is a *NotRunError or a *BrokenError.
func (c *Client) Report(deadline time.Time) (Report, error) {
	var report Report
	status, err := c.sendControl(deadline, fasthttp.MethodGet, "/report", nil, &report)
	if err == nil && status != fasthttp.StatusOK {
		return Report{}, NewBrokenError(fmt.Errorf("engine returned status %d to a request for a report, expected 200", status))
	}
	return report, err
}

// Order is a command to an engine.
type Order struct {
	ID string `json:"id"`
	// Fence is the fencing number: an engine with fencing rejects an order whose number is
	// lower than the highest that it has received.
	Fence int64 `json:"fence"`
	// Verb is "load", "unload" or "fence".
	Verb       string `json:"verb"`
	Unit       string `json:"unit,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Adapter is set when the unit is an adapter.
	Adapter bool `json:"adapter,omitempty"`
	// Memory is the unit's memory in bytes.
	Memory int64 `json:"memory,omitempty"`
	// LoadMS is the time in milliseconds of a load from the weight store at full speed.
	LoadMS int64 `json:"load_ms,omitempty"`
}

// OrderResponse is an engine's response to an order.
type OrderResponse struct {
	Accepted bool `json:"accepted"`
	// Reason is why the order was not accepted, such as "fenced".
	Reason string `json:"reason"`
	// Incarnation is that of the engine that responded.
	Incarnation int64 `json:"incarnation"`
}

// Order sends an order once, without retries. A *NotRunError means that it was never
// sent, a *BrokenError that it may still take effect.
func (c *Client) Order(deadline time.Time, order Order) (OrderResponse, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return OrderResponse{}, fmt.Errorf("encode order %q: %w", order.ID, err)
	}
	var response OrderResponse
	status, err := c.sendControl(deadline, fasthttp.MethodPost, "/orders", body, &response)
	if err == nil && status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return response, NewBrokenError(fmt.Errorf("engine returned status %d to an order, expected 200 or 409", status))
	}
	return response, err
}

// controls counts the orders and requests for reports of the process; it is the source of their IDs.
var controls atomic.Int64

// sendControl sends a request over the control connections, decodes the JSON response
// into result and returns the HTTP status code. Each send has an ID of its own; an engine that
// does not name it in its response has a connection for each send.
func (c *Client) sendControl(deadline time.Time, method, path string, body []byte, result any) (int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	id := "control-" + strconv.FormatInt(controls.Add(1), 36)
	request.Header.Set(headerRequestID, id)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := c.control.DoDeadline(request, response, deadline); err != nil {
		c.control.CloseIdleConnections()
		return 0, classifySendError(err)
	}
	err := dialer.CheckStatus(response.StatusCode())
	if err == nil {
		err = dialer.Accept(response, id)
	}
	if err != nil {
		c.control.CloseIdleConnections()
		return 0, NewBrokenError(err)
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return response.StatusCode(), NewBrokenError(fmt.Errorf("decode engine response to %s: %w", path, err))
	}
	return response.StatusCode(), nil
}
