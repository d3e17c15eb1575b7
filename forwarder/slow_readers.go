package forwarder

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"
)

// slowReaderReserve is how long after a call's deadline its caller may still read what was relayed in time.
const slowReaderReserve = 1 * time.Second

// boundWrites ends writes to a caller that reads so slowly that its response is not written soon after the call's deadline, and returns the
// function that lifts that bound. Without it, such a caller keeps its call and its place at the worker for as long as its connection lasts. What a
// node holds for a slow reader is bounded all the time: the worker's stream is read only when the part before was written, and a whole response takes the
// space that all responses share, which its caller must not keep either.
func (f *Forwarder) boundWrites(w http.ResponseWriter, c *call) (lift func()) {
	if f.room == nil {
		return func() {}
	}
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(c.deadline.Add(slowReaderReserve)); err != nil {
		return func() {} // The response goes to another node, whose caller is bounded there.
	}
	return func() { _ = controller.SetWriteDeadline(time.Time{}) } // The connection is unusable then anyway.
}

// SlowReaderError reports that a caller did not read its response in time. It unwraps to context.Canceled too: it is no fault of the worker.
type SlowReaderError struct {
	// cause is the error of the write.
	cause error
}

// Error names the cause.
func (e *SlowReaderError) Error() string {
	return "caller did not read its response in time: " + e.cause.Error()
}

// Unwrap returns the cause and context.Canceled.
func (e *SlowReaderError) Unwrap() []error { return []error{e.cause, context.Canceled} }

// callerError returns the error of a write to the caller, a *SlowReaderError if it took too long.
func (r *relay) callerError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	r.forwarder.dependencies.Recorder.Count("slow readers")
	return &SlowReaderError{cause: err}
}
