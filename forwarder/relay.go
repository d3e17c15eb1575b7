package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/acaciaproxy/acaciaproxy/bufferer"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// relay writes one response to the caller, resuming it from another worker if need be.
type relay struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	call      *call
	// headSent is set once status and headers were written to the caller.
	headSent bool
	// relayed is set once an event was written to the caller. From then on, continues is set from the head of a response to its first event, which must be a later one.
	relayed, continues bool
	// pending holds bytes read from the worker that do not form a complete event yet.
	pending []byte
}

// relayBufferBytes is the largest number of bytes read from a worker in one call.
const relayBufferBytes = 4 << 10

var (
	eventEnd     = []byte("\n\n")
	eventIDField = []byte("id:")
)

// endError returns the error with which the call ends: once the head was sent, an *abortError, on which the connection is closed.
func (r *relay) endError(err error) error {
	if r.headSent {
		return &abortError{cause: err}
	}
	return err
}

// relayResponse writes a worker's response to the caller. The error is a
// *BrokenError; it is nil when the complete response was relayed.
func (r *relay) relayResponse(response *Response, worker *registrar.Worker) error {
	defer func() { _ = response.Body.Close() }() // Unread bytes are discarded.
	if !response.Succeeded() || !hasEventStream(response.Header) {
		return r.relayBuffered(response, worker)
	}
	r.continues = r.relayed
	if !r.headSent {
		r.headSent = true
		copyHeader(r.writer.Header(), response.Header)
		r.forwarder.writeHead(r.writer, response.Status)
	}
	return r.relayEvents(response, worker)
}

// canContinue reports whether another worker can take up the stream where it broke off: no event was relayed yet, or the last one has an id.
func (r *relay) canContinue() bool { return !r.relayed || r.call.lastEventID != "" }

func hasEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// relayBuffered reads a response that is not an event stream to its end before it writes it to the caller. It
// fails if the head of an earlier response was already sent.
func (r *relay) relayBuffered(response *Response, worker *registrar.Worker) error {
	held := r.forwarder.space.Hold()
	defer held.Release()
	body, err := held.ReadAll(response.Body, bufferer.MaxResponseBytes)
	if err == nil {
		err = r.forwarder.checkEnd(r.call, worker, response, len(body) == 0)
	}
	if err != nil {
		return NewBrokenError(worker.ID, err)
	}
	if r.headSent {
		return NewBrokenError(worker.ID, &resumeError{status: response.Status})
	}
	r.headSent = true
	copyHeader(r.writer.Header(), response.Header)
	r.forwarder.writeHead(r.writer, response.Status)
	_, _ = r.writer.Write(body) // A write fails only if the caller left; nothing remains to be done.
	if response.Succeeded() {
		r.forwarder.recordAnswer(r.call)
	}
	return nil
}

// resumeError reports that a worker did not resume a stream.
type resumeError struct {
	// status is the HTTP status of the worker's response.
	status int
}

// Error gives the text of the status.
func (e *resumeError) Error() string {
	return "worker did not resume the stream; it responded with status " + http.StatusText(e.status)
}

// relayEvents writes complete events to the caller as they arrive.
func (r *relay) relayEvents(response *Response, worker *registrar.Worker) error {
	buffer := make([]byte, relayBufferBytes)
	held := r.forwarder.space.Hold()
	defer func() {
		r.pending = nil // The call may go on; what is released must not be kept.
		held.Release()
	}()
	for {
		n, err := response.Body.Read(buffer)
		searched := max(len(r.pending)-len(eventEnd)+1, 0)
		r.pending = append(r.pending, buffer[:n]...)
		if flushErr := r.flushEvents(worker, searched); flushErr != nil {
			return NewBrokenError(worker.ID, flushErr)
		}
		if growErr := held.Grow(len(r.pending), bufferer.MaxEventBytes); growErr != nil {
			return NewBrokenError(worker.ID, growErr)
		}
		if errors.Is(err, io.EOF) {
			resumed := r.call.lastEventID != "" || r.call.LastEventID != ""
			if len(r.pending) > 0 || r.call.events == 0 && !resumed {
				return NewBrokenError(worker.ID, io.ErrUnexpectedEOF)
			}
			if err := r.forwarder.checkEnd(r.call, worker, response, r.call.events == 0); err != nil {
				return NewBrokenError(worker.ID, err)
			}
			r.forwarder.recordAnswer(r.call)
			return nil
		}
		if err != nil {
			return NewBrokenError(worker.ID, err)
		}
	}
}

// flushEvents writes the complete events among the pending bytes to the caller. No event ends before the position searched.
func (r *relay) flushEvents(worker *registrar.Worker, searched int) error {
	lastEnd := bytes.LastIndex(r.pending[searched:], eventEnd)
	if lastEnd < 0 {
		return nil
	}
	lastEnd += searched
	events := r.pending[:lastEnd+len(eventEnd)]
	if r.continues {
		if id := firstEventID(events); !follows(id, r.call.lastEventID) {
			return &sequenceError{last: r.call.lastEventID, next: id}
		}
		r.continues = false
	}
	r.recordLastEventID(events)
	r.forwarder.recordEvents(r.call, worker, bytes.Count(events, eventEnd))
	r.relayed = true
	if _, err := r.writer.Write(events); err != nil {
		return r.callerError(err)
	}
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return r.callerError(err)
	}
	r.pending = append(r.pending[:0], r.pending[lastEnd+len(eventEnd):]...)
	return nil
}

// sequenceError reports that a worker that was to take up a stream began with something else than a later event.
type sequenceError struct {
	// last is the id of the last event that was relayed, next that of the worker's first, or empty.
	last, next string
}

// Error names both ids.
func (e *sequenceError) Error() string {
	return fmt.Sprintf("worker did not resume the stream after event %q; it began with %q", e.last, e.next)
}

// firstEventID returns the id of the first of the events, or an empty string if it has none.
func firstEventID(events []byte) string {
	first, _, _ := bytes.Cut(events, eventEnd)
	for _, line := range bytes.Split(first, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, eventIDField); found {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// follows reports whether an event may come after another one, by their ids, which increase. Ids that are not numbers are not compared.
func follows(id, last string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	lastNumber, lastErr := strconv.ParseInt(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != "" && id != last
	}
	return number > lastNumber
}

// recordLastEventID records the last id among the events.
func (r *relay) recordLastEventID(events []byte) {
	for _, line := range bytes.Split(events, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, eventIDField); found {
			r.call.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}

// serverHeaders lists the response headers that net/http sets itself.
var serverHeaders = []string{"Content-Length", "Date"}

// copyHeader copies a worker's response headers to the caller's response.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range serverHeaders {
		to.Del(name)
	}
	to["Date"] = nil // Keeps net/http from adding a Date of its own.
}
