// Package engineclient speaks with one model engine: completions in the
// OpenAI form, orders with fencing numbers, and load reports.
package engineclient

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/dialer"
)

// NotRunError says that the engine did not run a request and will not.
type NotRunError struct {
	// reason is the engine's word for why, such as "not loaded" or "leaving".
	reason string
	// cause is the network's error, or nil when the engine answered.
	cause error
}

// Error returns the reason and the cause.
func (e *NotRunError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("engine did not run the request: %s: %v", e.reason, e.cause)
	}
	return "engine did not run the request: " + e.reason
}

// Reason returns the engine's word for why the request did not run.
func (e *NotRunError) Reason() string { return e.reason }

// Answered reports whether the engine itself said so.
func (e *NotRunError) Answered() bool { return e.cause == nil }

// BrokenError says that a request may have run and its answer is not whole.
type BrokenError struct {
	// cause is what was wrong with the answer, never nil.
	cause error
	// crashed is set when the connection was reset or closed, not merely silent.
	crashed bool
}

// NewBrokenError returns the error for an answer that is not whole.
func NewBrokenError(cause error) error {
	var timeout interface{ Timeout() bool }
	silent := errors.As(cause, &timeout) && timeout.Timeout() || errors.Is(cause, fasthttp.ErrTimeout)
	return &BrokenError{cause: cause, crashed: !silent}
}

// Error returns the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("answer is not whole: %v", e.cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// Crashed reports whether the connection ended, which a crash of the engine explains.
func (e *BrokenError) Crashed() bool { return e.crashed }

// MismatchError says that an answer belongs to another request.
type MismatchError struct {
	// wanted and got are request ids.
	wanted, got string
}

// Error names both request ids.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not to %q", e.got, e.wanted)
}

// Headers of the engine's protocol.
const (
	headerRequestID = "X-Request-Id"
	headerNotRun    = "X-Not-Run"
)

// progressTime bounds the wait for an engine's next byte.
const progressTime = 3 * time.Second

// Client speaks with one engine. It is safe for use by several goroutines.
type Client struct {
	// address is IP and port.
	address string
	http    *fasthttp.HostClient
	// control carries orders and reports, apart from the requests' connections.
	control *fasthttp.HostClient
}

// New returns a client for the engine at an address.
func New(address string) *Client {
	return &Client{address: address, http: dialer.New(address, progressTime), control: dialer.New(address, progressTime)}
}

// Address returns the engine's IP and port.
func (c *Client) Address() string { return c.address }

// ForgetIdle closes the idle connections, after one of them was found silent.
func (c *Client) ForgetIdle() {
	c.http.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Call is one completion request.
type Call struct {
	// ID is the request id that every part of the answer must carry.
	ID string
	// Path is the OpenAI path.
	Path string
	// Body is the JSON body as the engine should get it.
	Body []byte
	// Deadline bounds the whole answer.
	Deadline time.Time
	// Priority is the request's class, for the engine's own queue.
	Priority string
	// Once is set for a request that must not run twice: it gets a connection of
	// its own, over which the engine is probed first.
	Once bool
}

// Answer is an engine's answer whose body is still to be read.
type Answer struct {
	status      int
	contentType string
	stream      io.Reader
	id          string
	request     *fasthttp.Request
	response    *fasthttp.Response
	// own is the client of this answer alone, or nil.
	own *fasthttp.HostClient
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// ContentType returns the Content-Type header.
func (a *Answer) ContentType() string { return a.contentType }

// Read reads the body.
func (a *Answer) Read(buffer []byte) (int, error) { return a.stream.Read(buffer) }

// Close ends the answer. Unless the body was read to its end, the connection
// is closed, which tells the engine to cancel.
func (a *Answer) Close() {
	_ = a.response.CloseBodyStream()
	fasthttp.ReleaseResponse(a.response)
	fasthttp.ReleaseRequest(a.request)
	if a.own != nil {
		a.own.CloseIdleConnections()
	}
}

// Complete sends a completion and returns its answer once the header is here.
func (c *Client) Complete(call Call) (*Answer, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + c.address + call.Path)
	request.Header.SetContentType("application/json")
	request.Header.Set(headerRequestID, call.ID)
	request.Header.Set("X-Priority", call.Priority)
	request.SetBodyRaw(call.Body)
	response.StreamBody = true
	answer := &Answer{id: call.ID, request: request, response: response}
	client := c.http
	if call.Once {
		own, err := dialer.NewProbed(c.address, "/health", progressTime, call.Deadline)
		if err != nil {
			answer.Close()
			return nil, &NotRunError{reason: "probe failed", cause: err}
		}
		client, answer.own = own, own
	}
	if err := client.DoDeadline(request, response, call.Deadline); err != nil {
		answer.Close()
		return nil, sendError(err)
	}
	if err := checkHeader(response, call.ID); err != nil {
		answer.Close()
		return nil, err
	}
	answer.status = response.StatusCode()
	answer.contentType = string(response.Header.ContentType())
	answer.stream = response.BodyStream()
	return answer, nil
}

func sendError(err error) error {
	if dialer.NothingSent(err) {
		return &NotRunError{reason: "unreachable", cause: err}
	}
	return NewBrokenError(err)
}

func checkHeader(response *fasthttp.Response, id string) error {
	if reason := response.Header.Peek(headerNotRun); len(reason) > 0 {
		return &NotRunError{reason: string(reason)}
	}
	if got := string(response.Header.Peek(headerRequestID)); got != id && response.StatusCode() == fasthttp.StatusOK {
		return NewBrokenError(&MismatchError{wanted: id, got: got})
	}
	return nil
}

// Unit is one loaded unit in a report.
type Unit struct {
	Unit   string `json:"unit"`
	Phase  string `json:"phase"`
	Memory int64  `json:"memory"`
}

// Report is an engine's account of itself.
type Report struct {
	ID          string            `json:"id"`
	Incarnation int64             `json:"incarnation"`
	Sequence    int64             `json:"sequence"`
	Units       []Unit            `json:"units"`
	Caches      map[string]string `json:"caches"`
	Running     int               `json:"running"`
	Queued      int               `json:"queued"`
	Leaving     bool              `json:"leaving"`
	Orders      []string          `json:"orders"`
}

// Control is what a leader needs of an engine. Its fields are seams: a test
// puts an engine without a network in their place.
type Control struct {
	// Address is the engine's IP and port.
	Address string
	// Report returns the engine's load report.
	Report func(deadline time.Time) (Report, error)
	// Order sends an order once.
	Order func(deadline time.Time, order Order) (OrderAnswer, error)
}

// NewControl returns the control of the engine at an address.
func NewControl(address string) *Control {
	client := New(address)
	return &Control{Address: address, Report: client.Report, Order: client.Order}
}

// Report returns the engine's load report.
func (c *Client) Report(deadline time.Time) (Report, error) {
	var report Report
	_, err := c.exchange(deadline, fasthttp.MethodGet, "/report", nil, &report)
	return report, err
}

// Order is a command to an engine.
type Order struct {
	ID         string `json:"id"`
	Fence      int64  `json:"fence"`
	Verb       string `json:"verb"`
	Unit       string `json:"unit,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Adapter    bool   `json:"adapter,omitempty"`
	Memory     int64  `json:"memory,omitempty"`
	LoadMS     int64  `json:"load_ms,omitempty"`
}

// OrderAnswer says what became of an order.
type OrderAnswer struct {
	Accepted    bool   `json:"accepted"`
	Reason      string `json:"reason"`
	Incarnation int64  `json:"incarnation"`
}

// Order sends an order once. A *NotRunError means that it was never sent, a
// *BrokenError that it may still take effect.
func (c *Client) Order(deadline time.Time, order Order) (OrderAnswer, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return OrderAnswer{}, fmt.Errorf("encode order %q: %w", order.ID, err)
	}
	var answer OrderAnswer
	status, err := c.exchange(deadline, fasthttp.MethodPost, "/orders", body, &answer)
	if err == nil && status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return answer, NewBrokenError(fmt.Errorf("status %d", status))
	}
	return answer, err
}

func (c *Client) exchange(deadline time.Time, method, path string, body []byte, result any) (int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.address + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := c.control.DoDeadline(request, response, deadline); err != nil {
		c.control.CloseIdleConnections()
		return 0, sendError(err)
	}
	if err := json.Unmarshal(response.Body(), result); err != nil {
		return response.StatusCode(), NewBrokenError(fmt.Errorf("engine answer to %s: %w", path, err))
	}
	return response.StatusCode(), nil
}
