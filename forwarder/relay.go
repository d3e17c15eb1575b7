package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// relay passes one answer on, possibly from several workers in turn.
type relay struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	call      *call
	// started is set once the answer's head was passed on.
	started bool
	// pending holds the beginning of an event that is not whole yet.
	pending []byte
}

// relayBuffer is how much is read from a worker at once, in bytes.
const relayBuffer = 4 << 10

var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// ended returns how the call ends after an error: once the head was passed on, the connection is cut.
func (r *relay) ended(err error) error {
	if r.started {
		return &abortError{cause: err}
	}
	return err
}

// pass passes a worker's answer on. The error is a *BrokenError; it is nil when
// the whole answer was passed on.
func (r *relay) pass(answer *Answer, worker *registrar.Worker) error {
	defer func() { _ = answer.Body.Close() }() // Whatever is left unread belongs to nobody.
	if !answer.Succeeded() || !isEventStream(answer.Header) {
		return r.passWhole(answer, worker)
	}
	r.pending = r.pending[:0]
	if !r.started {
		r.started = true
		copyHeader(r.writer.Header(), answer.Header)
		r.writer.WriteHeader(answer.Status)
	}
	return r.passEvents(answer.Body, worker)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// passWhole reads an answer that is no stream of events and passes it on.
func (r *relay) passWhole(answer *Answer, worker *registrar.Worker) error {
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return NewBrokenError(worker.ID, err)
	}
	if r.started {
		return NewBrokenError(worker.ID, &resumeError{status: answer.Status})
	}
	r.started = true
	copyHeader(r.writer.Header(), answer.Header)
	r.writer.WriteHeader(answer.Status)
	_, _ = r.writer.Write(body) // A caller that left is seen by its context.
	return nil
}

// resumeError says that a worker did not go on with a stream.
type resumeError struct {
	// status is the worker's.
	status int
}

// Error names the status.
func (e *resumeError) Error() string {
	return "the worker answered a resumed stream with status " + http.StatusText(e.status)
}

// passEvents passes whole events on as they arrive.
func (r *relay) passEvents(body io.Reader, worker *registrar.Worker) error {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := body.Read(buffer)
		r.pending = append(r.pending, buffer[:n]...)
		if flushErr := r.flushEvents(); flushErr != nil {
			return NewBrokenError(worker.ID, flushErr)
		}
		if errors.Is(err, io.EOF) {
			if len(r.pending) > 0 {
				return NewBrokenError(worker.ID, io.ErrUnexpectedEOF)
			}
			return nil
		}
		if err != nil {
			return NewBrokenError(worker.ID, err)
		}
	}
}

// flushEvents passes the whole events among the pending bytes on.
func (r *relay) flushEvents() error {
	whole := bytes.LastIndex(r.pending, eventEnd)
	if whole < 0 {
		return nil
	}
	events := r.pending[:whole+len(eventEnd)]
	r.note(events)
	if _, err := r.writer.Write(events); err != nil {
		return err
	}
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return err
	}
	r.pending = append(r.pending[:0], r.pending[whole+len(eventEnd):]...)
	return nil
}

// note remembers the id of the last event.
func (r *relay) note(events []byte) {
	for _, line := range bytes.Split(events, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, eventID); found {
			r.call.lastEvent = string(bytes.TrimSpace(id))
		}
	}
}
