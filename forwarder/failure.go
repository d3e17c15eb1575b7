package forwarder

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// FailureError is the end of a request other than a worker's answer.
type FailureError struct {
	// status is the HTTP status. 503 and 429 promise that the request has not run and never will.
	status int
	// code is a short name for programs, message one sentence for people.
	code, message string
	// retryMS is in how many milliseconds the caller may come back; 0 when nothing is known.
	retryMS int64
}

// Error returns the message.
func (e *FailureError) Error() string { return e.message }

// newFailure returns an end that is no refusal.
func newFailure(status int, code, message string) *FailureError {
	return &FailureError{status: status, code: code, message: message}
}

// newRefusal returns the end of a request that has not run and may come back.
func newRefusal(code, message string, retry time.Duration) *FailureError {
	return &FailureError{status: http.StatusServiceUnavailable, code: code, message: message, retryMS: max(retry.Milliseconds(), 1)}
}

// Times after which refused callers may come back.
const (
	// startRetry applies while this node knows too little; another one may know more.
	startRetry = 300 * time.Millisecond
	// stopRetry applies while this node stops; others take the request at once.
	stopRetry = 20 * time.Millisecond
	// otherRetry applies while this node is cut off; another one may serve at once.
	otherRetry = 30 * time.Millisecond
	// busyRetry applies when workers are full; it is about the time of a short answer.
	busyRetry = 400 * time.Millisecond
	// swapRetry applies when a model is not loaded in time; it is about the time of a swap.
	swapRetry = 1500 * time.Millisecond
)

// asFailure returns the end that an error stands for.
func asFailure(err error) *FailureError {
	var failure *FailureError
	if errors.As(err, &failure) {
		return failure
	}
	var bad *BadRequestError
	if errors.As(err, &bad) {
		return newFailure(http.StatusBadRequest, "bad_request", bad.Error())
	}
	return newFailure(http.StatusBadGateway, "broken", err.Error())
}

// errorBody is the JSON form of every failure.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// fail answers a request that failed.
func (f *Forwarder) fail(w http.ResponseWriter, r *http.Request, c *call, err error) {
	var broken *abortError
	failure := asFailure(err)
	left := r.Context().Err() != nil
	f.logEnd(c, failure, left)
	f.parts.Recorder.Count("ended " + failure.code)
	if errors.As(err, &broken) || left {
		panic(http.ErrAbortHandler) // Closes the connection, so that nobody takes the answer for whole.
	}
	if c.Request != nil {
		f.parts.Echo(w.Header(), c.ID)
	}
	w.Header().Set("Content-Type", "application/json")
	if failure.retryMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(failure.retryMS)/1000, 'f', 3, 64))
	}
	body, encodeErr := json.Marshal(errorBody{Code: failure.code, Message: failure.message})
	if encodeErr != nil {
		body = nil // The status says enough.
	}
	w.WriteHeader(failure.status)
	_, _ = w.Write(body) // A caller that left is seen by its context.
}

// abortError says that an answer broke off after its first bytes were passed on.
type abortError struct {
	// cause is what broke it.
	cause error
}

// Error names the cause.
func (e *abortError) Error() string { return "answer broken off: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *abortError) Unwrap() error { return e.cause }

// drawOf returns a number in [0, 1) that is always the same for an id.
func drawOf(id string) float64 {
	const steps = 1 << 20
	return float64(xxhash.Sum64String(id)%steps) / steps
}
