package forwarder

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/prover"
)

// FailureError is the error response to a request that ends without a worker's response.
type FailureError struct {
	// status is the HTTP status. One that promises that the request has not run and never will is sent only with a promise that was given.
	status  int
	promise prover.Promise
	// code identifies the failure for programs; message describes it in one sentence.
	code, message string
	// retryMS is the delay in milliseconds after which the caller may retry; 0 when unknown.
	retryMS int64
}

// Error returns the message that the caller gets.
func (e *FailureError) Error() string { return e.message }

// newFailure returns a failure without a retry delay, whose status promises nothing.
func newFailure(status int, code, message string) *FailureError {
	return &FailureError{status: status, code: code, message: message}
}

// refuse returns a 503 for a call that has not run and may be retried after a delay, or a 502 if a send of it may have run.
func (c *call) refuse(code, message string, retry time.Duration) *FailureError {
	promise, err := c.ledger.Promise()
	if err != nil {
		return newFailure(http.StatusBadGateway, "broken", "an earlier attempt may have run: "+message)
	}
	return &FailureError{status: http.StatusServiceUnavailable, promise: promise, code: code, message: message, retryMS: max(retry.Milliseconds(), 1)}
}

// withoutFalsePromise returns the failure, or a 502 in place of a status that promises what no ledger has shown.
func (e *FailureError) withoutFalsePromise() *FailureError {
	if !prover.Promises(e.status) || e.promise.Given() {
		return e
	}
	return newFailure(http.StatusBadGateway, e.code, e.message)
}

// Delays after which refused callers may retry.
const (
	// configurationRetry applies while the node's configuration is missing or too old; another node may have a newer one.
	configurationRetry = 300 * time.Millisecond
	// drainRetry applies while the node drains; other nodes accept the request immediately.
	drainRetry = 20 * time.Millisecond
	// isolatedRetry applies while the node is isolated; another one may serve the request immediately.
	isolatedRetry = 30 * time.Millisecond
	// busyRetry applies when workers are full; it is about the time that a short response takes.
	busyRetry = 400 * time.Millisecond
	// cutRetry applies while the node reaches no worker and no other node takes its requests.
	cutRetry = 200 * time.Millisecond
	// notLoadedRetry applies when a model is not loaded in time; it is about the time that a worker takes to swap models.
	notLoadedRetry = 1500 * time.Millisecond
)

// asFailure converts an error to the failure that the caller gets.
func asFailure(err error) *FailureError {
	var failure *FailureError
	if errors.As(err, &failure) {
		return failure
	}
	var badRequest *BadRequestError
	if errors.As(err, &badRequest) {
		return newFailure(http.StatusBadRequest, "bad_request", badRequest.Error())
	}
	return newFailure(http.StatusBadGateway, "broken", err.Error())
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// fail sends the error response to a failed request, or closes the connection if a response has begun or the caller left.
func (f *Forwarder) fail(w http.ResponseWriter, r *http.Request, c *call, err error) {
	var aborted *abortError
	failure := asFailure(err).withoutFalsePromise()
	// A read of the body that fails at its deadline ends the context too.
	callerLeft := r.Context().Err() != nil && failure.status != http.StatusRequestTimeout
	f.logFailure(c, failure, callerLeft)
	f.dependencies.Recorder.Count("ended " + failure.code)
	if errors.As(err, &aborted) || callerLeft {
		panic(http.ErrAbortHandler) // Closes the connection, so that the caller does not take the response as complete.
	}
	if outcome := carried(r).outcome; outcome != nil {
		// Without a route, this node's configuration may be older than that of the node that passed the request on.
		outcome.refused = failure.promise.Given() || failure.status == http.StatusNotFound
		outcome.untried = !c.reached
	}
	if c.Request != nil {
		f.dependencies.SetAttemptID(w.Header(), c.ID)
	}
	w.Header().Set("Content-Type", "application/json")
	if failure.retryMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(failure.retryMS)/1000, 'f', 3, 64))
	}
	body, encodeErr := json.Marshal(errorBody{Code: failure.code, Message: failure.message})
	if encodeErr != nil {
		body = nil // The status alone is sent.
	}
	early := r.ContentLength != 0 && (c.Request == nil || c.Body == nil)
	if early {
		prepareEarlyResponse(w, r)
	}
	f.writeHead(w, failure.status)
	_, _ = w.Write(body) // A write fails only if the caller left; nothing remains to be done.
	if early {
		dropBody(w, r)
	}
}

// abortError reports that a response failed after its first bytes were sent to the caller.
type abortError struct {
	cause error
}

// Error names the cause.
func (e *abortError) Error() string {
	return "response aborted after its first bytes were sent: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *abortError) Unwrap() error { return e.cause }

// hashFraction maps an id to a number in [0, 1), always the same one.
func hashFraction(id string) float64 {
	const steps = 1 << 20
	return float64(xxhash.Sum64String(id)%steps) / steps
}

// logFailure logs a request that ended without a complete response of a worker.
func (f *Forwarder) logFailure(c *call, failure *FailureError, callerLeft bool) {
	kind := "request not answered"
	if c.sends > 0 || c.carryTried {
		kind = "request not answered after tries" // A crowd of requests that were never sent does not displace it.
	}
	entry := logger.Info(kind).Str("request", requestID(c)).Str("code", failure.code).Int("status", failure.status).
		Int64("retry_ms", failure.retryMS).Bool("caller_left", callerLeft).Int64("after_ms", time.Since(c.arrived).Milliseconds())
	if c.route != nil {
		entry = entry.Str("route", c.route.Name).Int64("config", c.catalog.Version())
	}
	if c.Request != nil && c.Tenant != "" {
		entry = entry.Str("tenant", c.Tenant)
	}
	if c.Request != nil && c.Model != "" {
		entry = entry.Str("model", c.Model).Str("adapter", c.Adapter)
	}
	entry.Bool("passed_on", c.carryTried).Bool("for_other", c.isCarried).Str("from_node", c.tries.from).Int("sends", c.sends).Strs("tries", c.tries.list()).Str("hedge", c.hedge).Int("runs", c.ledger.MayHaveRun()).Bool("promised", prover.Promises(failure.status)).Str("why", failure.message).Msg("request not answered")
}

func requestID(c *call) string {
	if c.Request == nil {
		return ""
	}
	return c.ID
}
