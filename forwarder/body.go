package forwarder

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/acaciaproxy/acaciaproxy/connlimiter"
)

// defaultBodyBytes limits bodies when the configuration sets no limit.
const defaultBodyBytes = 8 << 20

// readBody reads a call's body of at most limit bytes, which arrives by the call's deadline; a limit of 0 or less stands for defaultBodyBytes. The
// space that the body takes is the call's until its end.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, limit int, c *call) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > int64(limit) {
		return nil, bodyTooLarge()
	}
	if r.Body == http.NoBody {
		return []byte{}, nil
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(c.deadline); err != nil {
		return nil, newFailure(http.StatusBadRequest, "body_broken", "the connection failed before the request's body arrived: "+err.Error())
	}
	c.held = f.limiter.Bodies().Hold(func() {
		_ = controller.SetReadDeadline(time.Unix(1, 0)) // Fails only if the connection has failed, which the read finds.
	})
	body, err := c.held.ReadAll(r.Body, r.ContentLength, limit, c.deadline)
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return nil, c.bodyFailure(err)
	}
	return body, nil
}

func bodyTooLarge() *FailureError {
	return newFailure(http.StatusRequestEntityTooLarge, "body_large", "the request's body is larger than the configuration allows")
}

// bodyFailure returns the failure of a call whose body was not read whole.
func (c *call) bodyFailure(err error) error {
	var large *connlimiter.LargeError
	var full *connlimiter.FullError
	var stalled *connlimiter.StalledError
	switch {
	case errors.As(err, &large):
		return bodyTooLarge()
	case errors.As(err, &full):
		return c.refuse("body_space", err.Error(), time.Duration(full.RetryMS())*time.Millisecond)
	case errors.As(err, &stalled):
		return c.refuseLate("body_stalled", "the request's body made no progress while others needed its space")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.refuseLate("body_late", "the request's body did not arrive by its deadline")
	}
	return newFailure(http.StatusBadRequest, "body_broken", "the request's body did not arrive whole: "+err.Error())
}

// refuseLate returns the refusal of a call whose body did not arrive in time.
func (c *call) refuseLate(code, message string) error {
	failure := c.refuse(code, message, 0)
	failure.status, failure.retryMS = http.StatusRequestTimeout, 0
	return failure
}

// writeGrace is how long after its deadline a caller may still take the response.
const writeGrace = 10 * time.Second

// limitWrites bounds how long a response can be held for a caller that does not read it: callers stop to wait at the deadline.
func limitWrites(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace)) // Carried requests have none: their nodes end the call.
}

// holdCarried takes the space for the body of a request that another node passed on, which is in memory. It does not wait, since that node may ask another.
func (f *Forwarder) holdCarried(r *http.Request) (*connlimiter.Holding, error) {
	held := f.limiter.Bodies().Hold(func() {})
	if err := held.Grow(r.ContentLength, time.Now()); err != nil {
		return nil, err
	}
	return held, held.Keep()
}
