package gateway

import (
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/prover"
)

// FailureError is the error response to a request.
type FailureError struct {
	// status is the HTTP status code.
	status int
	// code is the machine-readable kind of failure.
	code string
	// message is the human-readable description.
	message string
	// outcome is OutcomeRefused, which is sent only with a promise that was given, or OutcomeUnknown.
	outcome string
	// retryAt is when the caller may retry, or zero when a retry would not help.
	retryAt time.Time
}

// Error returns the message.
func (e *FailureError) Error() string { return e.message }

// Code returns the machine-readable kind of failure, such as "no_route".
func (e *FailureError) Code() string { return e.code }

// Outcome returns OutcomeRefused or OutcomeUnknown.
func (e *FailureError) Outcome() string { return e.outcome }

// refuse returns the failure of a request that did not run and may be retried, or one with an unknown outcome if an attempt may have run.
func (c *callerRequest) refuse(status int, code, message string, retryAt time.Time) error {
	if _, err := c.ledger.Promise(); err != nil {
		return newUnknown("broken", "an earlier attempt may have run: "+message)
	}
	return &FailureError{status: status, code: code, message: message, outcome: OutcomeRefused, retryAt: retryAt}
}

// withoutFalsePromise returns the failure, or one with an unknown outcome in place of a refusal if an attempt of the request may have run.
func (e *FailureError) withoutFalsePromise(request *callerRequest) *FailureError {
	if _, err := request.ledger.Promise(); err == nil || e.outcome != OutcomeRefused && !prover.Promises(e.status) {
		return e
	}
	return newUnknown(e.code, e.message)
}

// newRejection returns the failure of an invalid request, which did not run.
func newRejection(status int, code, message string) error {
	return &FailureError{status: status, code: code, message: message, outcome: OutcomeRefused}
}

// newUnknown returns the failure of a request that may have run.
func newUnknown(code, message string) *FailureError {
	return &FailureError{status: fiber.StatusBadGateway, code: code, message: message, outcome: OutcomeUnknown}
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Outcome      string `json:"outcome"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// asFailure returns the FailureError that err wraps. Any other error becomes an
// internal failure with an unknown outcome.
func asFailure(err error) *FailureError {
	var failure *FailureError
	if errors.As(err, &failure) {
		return failure
	}
	return &FailureError{status: fiber.StatusBadGateway, code: "internal", message: err.Error(), outcome: OutcomeUnknown}
}

func (e *FailureError) body(id string) errorBody {
	detail := errorDetail{Code: e.code, Message: e.message, Outcome: e.outcome, RequestID: id}
	if !e.retryAt.IsZero() {
		detail.RetryAfterMS = max(time.Until(e.retryAt).Milliseconds(), 1)
	}
	return errorBody{Error: detail}
}

// sendFailure records a failed request and sends its error response.
func (g *Gateway) sendFailure(c fiber.Ctx, request *callerRequest, err error) error {
	failure := asFailure(err).withoutFalsePromise(request)
	body := failure.body(request.id)
	c.Set(HeaderRequestID, request.id)
	c.Set(HeaderOutcome, failure.outcome)
	if body.Error.RetryAfterMS > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(float64(body.Error.RetryAfterMS)/1000))))
	}
	g.recordOutcome(request, failure.outcome)
	log.Info().Str("request", request.id).Str("zone", g.dependencies.Settings.Zone()).Str("code", failure.code).
		Str("outcome", failure.outcome).Str("message", failure.message).Int64("retry_ms", body.Error.RetryAfterMS).Msg("request failed")
	return c.Status(failure.status).JSON(body)
}
