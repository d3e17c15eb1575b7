package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/prover"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// PromptPart is one segment of a prompt; requests may share leading segments.
type PromptPart struct {
	// ID identifies the part's content.
	ID string
	// Tokens is its length in tokens.
	Tokens int
}

// Request is a caller's decoded request.
type Request struct {
	// ID identifies the caller's attempt; it is never empty.
	ID string
	// Method, Target and Host are forwarded byte for byte; Target is path and query.
	Method, Target, Host string
	// Header holds the end-to-end headers, without those that callers may not set.
	Header http.Header
	Body   []byte
	// Model and Adapter name what the worker must have loaded; both are empty for services without models.
	Model, Adapter string
	// PromptTokens is the prompt's length, MaxResponseTokens the largest length of the response, both in tokens. TokensCounted is set if the caller named them.
	PromptTokens, MaxResponseTokens int
	TokensCounted                   bool
	// KeyDigest is the digest of the caller's key, zero without one. The key itself is kept nowhere.
	KeyDigest cataloger.Digest
	// Tenant is the name of the tenant that sent the request, which workers get; empty until the key was checked and without tenants.
	Tenant string
	// PromptParts are the prompt's parts in order; the last is specific to this request or its session.
	PromptParts []PromptPart
	// LastEventID is the id of the last event that the caller received, if it resumes a stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of that stream; empty if the caller does not say.
	Resumes string
	// Deadline is when the caller stops waiting; zero when not sent.
	Deadline time.Time
}

// Send is one attempt to run a request on a worker.
type Send struct {
	Worker *registrar.Worker
	// Deadline is sent to the worker as the remaining time.
	Deadline time.Time
	// Urgency ranges from 0, the most urgent, to 9; it is not sent if negative.
	Urgency int
	// ResumeAfter is the id of the last event already relayed to the caller, or empty.
	ResumeAfter string
	// NotRetryable is set when the request must not run twice. It is then sent over a new connection or one that was
	// idle only briefly, since a connection that the worker closes at that moment loses the request.
	NotRetryable bool
	// Check runs just before the first byte is written; nothing is sent if it fails, and the send ends with ReasonUncleared.
	Check func() error
}

// Load is the load that a worker reports with a response, in numbers of requests.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the worker now in percent of the usual time; 0 if it does not say.
	Pace float64
}

// Response is a worker's response whose body is still unread.
type Response struct {
	// Status and Header are relayed unchanged, except for the headers that net/http sets.
	Status int
	Header http.Header
	// Evidence is what is known of the send.
	Evidence prover.Evidence
	// Body returns an error if the response is incomplete; it must be closed.
	Body io.ReadCloser
	// Unframed is set if the response has no length, so that Body ends in the same way when it is complete and when the worker's process has ended.
	Unframed bool
	// Load is nil when the worker did not report it.
	Load *Load
	// PerSecond is how many requests a second the worker takes from all nodes together, or nil if it names no limit.
	PerSecond *float64
	// PauseS is for how many seconds the worker, which turned the request away, wants no more from this node, or nil; NaN for a text that is no
	// number.
	PauseS *float64
	// Brittle is how many requests the worker may turn away in a second without falling over, or nil if it does not say that it is brittle.
	Brittle *float64
}

// Succeeded reports whether the status is 2xx.
func (r *Response) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// Reason is why a worker did not run a request.
type Reason string

// Reasons of a NotRunError.
const (
	// ReasonUnreachable means that no connection could be opened.
	ReasonUnreachable Reason = "unreachable"
	// ReasonFull means that the worker's queue is full or that the worker is swapping models.
	ReasonFull Reason = "full"
	// ReasonNotLoaded means that the model or adapter is not loaded on the worker.
	ReasonNotLoaded Reason = "absent"
	// ReasonReplaced means that another worker now has the address.
	ReasonReplaced Reason = "replaced"
	// ReasonExpired means that the deadline passed while the request was in the worker's queue.
	ReasonExpired Reason = "expired"
	// ReasonUncleared means that nothing was sent because the caller's key was not accepted any more.
	ReasonUncleared Reason = "uncleared"
)

// NotRunError reports that a worker certainly did not run a request.
type NotRunError struct {
	// proof shows that the send has not run; it is given.
	proof prover.Proof
	// evidence is what is known of the send; its zero value is that of a request that another node refused.
	evidence prover.Evidence
	// worker is the worker's ID, reason why it did not run the request.
	worker string
	reason Reason
	// status is the HTTP status of the worker's response, or 0 without one.
	status int
	// load is the worker's load, or nil when it did not report it.
	load *Load
	// perSecond is the worker's limit, as in Response.
	perSecond *float64
	// pauseS is the pause that the worker asks for, as in Response.
	pauseS *float64
	// brittle is as in Response.
	brittle *float64
}

// NewNotRunError returns the error of a send that did not run, which the proof shows; worker is the worker's ID, load may be nil.
func NewNotRunError(proof prover.Proof, worker string, reason Reason, status int, load *Load) *NotRunError {
	return &NotRunError{proof: proof, worker: worker, reason: reason, status: status, load: load}
}

// Evidence returns what is known of the send.
func (e *NotRunError) Evidence() prover.Evidence { return e.evidence }

// WithEvidence sets what is known of the send and returns the error.
func (e *NotRunError) WithEvidence(evidence prover.Evidence) *NotRunError {
	e.evidence = evidence
	return e
}

// PerSecond returns the limit that the worker named, as in Response.
func (e *NotRunError) PerSecond() *float64 { return e.perSecond }

// WithLimit sets the limit that the worker named, as in Response, and returns the error.
func (e *NotRunError) WithLimit(perSecond *float64) *NotRunError {
	e.perSecond = perSecond
	return e
}

// PauseS returns the pause that the worker asks for, as in Response.
func (e *NotRunError) PauseS() *float64 { return e.pauseS }

// WithPause sets the pause that the worker asks for, as in Response, and returns the error.
func (e *NotRunError) WithPause(seconds *float64) *NotRunError {
	e.pauseS = seconds
	return e
}

// WithBrittle sets how many requests the worker may turn away in a second, as in Response, and returns the error.
func (e *NotRunError) WithBrittle(perSecond *float64) *NotRunError {
	e.brittle = perSecond
	return e
}

// Error names the worker and the reason.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("worker %q did not run the request: %s (status %d)", e.worker, e.reason, e.status)
}

// Reason returns why the request did not run.
func (e *NotRunError) Reason() Reason { return e.reason }

// Load returns the worker's load, or nil when it did not report it.
func (e *NotRunError) Load() *Load { return e.load }

// BrokenError reports that a worker may have run a request, but no complete response was received.
type BrokenError struct {
	// worker is the worker's ID.
	worker string
	cause  error
	// evidence is what is known of the send; its zero value is that of a response that broke off.
	evidence prover.Evidence
	// status is the HTTP status of a response that is not used, or 0.
	status int
}

// NewBrokenError returns the error of a send without a complete response; worker is the worker's ID.
func NewBrokenError(worker string, cause error) *BrokenError {
	return &BrokenError{worker: worker, cause: cause}
}

// Evidence returns what is known of the send.
func (e *BrokenError) Evidence() prover.Evidence { return e.evidence }

// WithEvidence sets what is known of the send and returns the error.
func (e *BrokenError) WithEvidence(evidence prover.Evidence) *BrokenError {
	e.evidence = evidence
	return e
}

// WithStatus sets the status of a response that is not used and returns the error.
func (e *BrokenError) WithStatus(status int) *BrokenError {
	e.status = status
	return e
}

// Error names the worker and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer of worker %q did not arrive whole: %v", e.worker, e.cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.cause }

// UnprovedRefusalError reports a response of a worker whose status promises that the request has not run, which nothing else in the response says.
type UnprovedRefusalError struct {
	// status is the HTTP status of the response.
	status int
}

// Error names the status.
func (e *UnprovedRefusalError) Error() string {
	return fmt.Sprintf("response of the worker with status %d does not say that the request has not run", e.status)
}

// evidenceOf returns what is known of a failed send.
func evidenceOf(err error) prover.Evidence {
	var holder interface{ Evidence() prover.Evidence }
	if errors.As(err, &holder) {
		return holder.Evidence()
	}
	return prover.Evidence{}
}

// BadRequestError reports a malformed request of a caller.
type BadRequestError struct {
	// field names the malformed header or part, value is its value as sent.
	field, value string
}

// NewBadRequestError returns the error of a request whose field has a malformed value.
func NewBadRequestError(field, value string) *BadRequestError {
	return &BadRequestError{field: field, value: value}
}

// Error names the field and the value.
func (e *BadRequestError) Error() string {
	return fmt.Sprintf("%s %q is not valid", e.field, e.value)
}
