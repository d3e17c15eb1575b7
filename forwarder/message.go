package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// Part is one piece of a prompt that requests may share.
type Part struct {
	// ID names the part's content.
	ID string
	// Tokens is its length.
	Tokens int
}

// Request is a caller's request as decoded at the boundary.
type Request struct {
	// ID names the caller's attempt; it is never empty.
	ID string
	// Method, Target and Host are forwarded byte for byte; Target is path and query.
	Method, Target, Host string
	// Header holds the end-to-end headers without those that only the system sets.
	Header http.Header
	Body   []byte
	// Model and Adapter name what must be loaded; both are empty for plain services.
	Model, Adapter string
	// PromptTokens and AnswerTokens are the prompt's length and the largest answer's.
	PromptTokens, AnswerTokens int
	// Parts are the prompt's parts in order; the last belongs to this request or its session.
	Parts []Part
	// LastEvent is the id of the last event that the caller has, when it resumes a stream.
	LastEvent string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Send is one attempt at a worker.
type Send struct {
	Worker *registrar.Worker
	// Deadline is handed to the worker as the time that is left.
	Deadline time.Time
	// Urgency is from 0, the most urgent, to 9; negative when not set.
	Urgency int
	// ResumeAfter is the id of the last event already relayed, or empty.
	ResumeAfter string
	// Once is set when the request must not be repeated, so that only a fresh connection is used.
	Once bool
}

// Load is what a worker says of its load with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Answer is a worker's answer whose body is still to be read.
type Answer struct {
	// Status and Header are passed on unchanged.
	Status int
	Header http.Header
	// Body fails if the answer breaks off; it must be closed.
	Body io.ReadCloser
	// Load is nil when the worker does not tell it.
	Load *Load
}

// Succeeded reports whether the worker answered with success.
func (a *Answer) Succeeded() bool { return a.Status >= 200 && a.Status < 300 }

// Reason says why a worker did not run a request.
type Reason string

// The reasons.
const (
	// ReasonUnreachable means that no connection could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonFull means that the worker's queue is full or the model is being changed.
	ReasonFull Reason = "full"
	// ReasonAbsent means that the model or adapter is not loaded there.
	ReasonAbsent Reason = "absent"
	// ReasonReplaced means that another worker has the address.
	ReasonReplaced Reason = "replaced"
	// ReasonExpired means that the deadline passed in the worker's queue.
	ReasonExpired Reason = "expired"
)

// NotRunError says that a worker surely did not run a request.
type NotRunError struct {
	// worker is its name, reason why it did not run.
	worker string
	reason Reason
	// status is the worker's, or 0 when it did not answer.
	status int
	load   *Load
}

// NewNotRunError returns the error of an attempt that did not run.
func NewNotRunError(worker string, reason Reason, status int, load *Load) *NotRunError {
	return &NotRunError{worker: worker, reason: reason, status: status, load: load}
}

// Error names the worker and the reason.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("worker %q did not run the request: %s (status %d)", e.worker, e.reason, e.status)
}

// Reason returns why the request did not run.
func (e *NotRunError) Reason() Reason { return e.reason }

// Load returns the worker's load, or nil when it did not tell it.
func (e *NotRunError) Load() *Load { return e.load }

// BrokenError says that an attempt may have run and its answer did not arrive whole.
type BrokenError struct {
	// worker is its name, cause what broke.
	worker string
	cause  error
}

// NewBrokenError returns the error of an attempt whose answer broke off.
func NewBrokenError(worker string, cause error) *BrokenError {
	return &BrokenError{worker: worker, cause: cause}
}

// Error names the worker and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer of worker %q did not arrive whole: %v", e.worker, e.cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// BadRequestError says that a caller's request is not well formed.
type BadRequestError struct {
	// field names the part that is wrong, value is as sent.
	field, value string
}

// NewBadRequestError returns the error of a request that is not well formed.
func NewBadRequestError(field, value string) *BadRequestError {
	return &BadRequestError{field: field, value: value}
}

// Error names the field and the value.
func (e *BadRequestError) Error() string { return fmt.Sprintf("%s %q is not valid", e.field, e.value) }
