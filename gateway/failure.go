package gateway

import (
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
)

// FailureError is an end of a request other than an answer.
type FailureError struct {
	// status is the HTTP status.
	status int
	// code is a short name for programs.
	code string
	// message is one sentence for people.
	message string
	// outcome is OutcomeRefused or OutcomeUnknown.
	outcome string
	// retryAt is when the caller may come back; zero when it makes no sense.
	retryAt time.Time
}

// Error returns the message.
func (e *FailureError) Error() string { return e.message }

// Code returns the short name for programs.
func (e *FailureError) Code() string { return e.code }

// Outcome returns OutcomeRefused or OutcomeUnknown.
func (e *FailureError) Outcome() string { return e.outcome }

// newRefusal returns the end of a request that did not run and may come back.
func newRefusal(status int, code, message string, retryAt time.Time) error {
	return &FailureError{status: status, code: code, message: message, outcome: OutcomeRefused, retryAt: retryAt}
}

// newRejection returns the end of a request that did not run and is itself wrong.
func newRejection(status int, code, message string) error {
	return &FailureError{status: status, code: code, message: message, outcome: OutcomeRefused}
}

// newUnknown returns the end of a request that may have run.
func newUnknown(code, message string) error {
	return &FailureError{status: fiber.StatusBadGateway, code: code, message: message, outcome: OutcomeUnknown}
}

// errorBody is the JSON form of every failure.
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

// sendFailure answers a request that failed.
func (g *Gateway) sendFailure(c fiber.Ctx, request *call, err error) error {
	failure := asFailure(err)
	body := failure.body(request.id)
	c.Set(HeaderRequestID, request.id)
	c.Set(HeaderOutcome, failure.outcome)
	if body.Error.RetryAfterMS > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(float64(body.Error.RetryAfterMS)/1000))))
	}
	g.finished(request, failure.outcome)
	log.Info().Str("request", request.id).Str("zone", g.parts.Settings.Zone()).Str("code", failure.code).
		Str("outcome", failure.outcome).Str("message", failure.message).Int64("retry_ms", body.Error.RetryAfterMS).Msg("request failed")
	return c.Status(failure.status).JSON(body)
}
