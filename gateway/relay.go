package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/claimer"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/recorder"
)

// relayWhole reads a whole answer, trying again elsewhere when it breaks, and sends it.
func (g *Gateway) relayWhole(c fiber.Ctx, a *attempt, answer *engineclient.Answer) error {
	for {
		body, status, contentType, err := readWhole(a, answer)
		g.end(a, err != nil)
		if err == nil {
			g.recordAnswer(a.request, claimer.Answer{Status: status, ContentType: contentType, Body: body})
			c.Set(fiber.HeaderContentType, contentType)
			return c.Status(status).Send(body)
		}
		if err := g.afterFailure(a, err); err != nil {
			return err
		}
		if answer, err = g.send(a); err != nil {
			return err
		}
	}
}

// readWhole reads an answer to its end and checks that it belongs to the request.
func readWhole(a *attempt, answer *engineclient.Answer) (body []byte, status int, contentType string, err error) {
	defer answer.Close()
	body, err = io.ReadAll(answer)
	if err != nil {
		return nil, 0, "", engineclient.NewBrokenError(err)
	}
	if answer.Status() != fiber.StatusOK {
		return body, answer.Status(), answer.ContentType(), nil
	}
	var identified struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(body, &identified); err != nil {
		return nil, 0, "", engineclient.NewBrokenError(err)
	}
	if identified.ID != a.request.id {
		return nil, 0, "", engineclient.NewBrokenError(fmt.Errorf("answer has id %q, not %q", identified.ID, a.request.id))
	}
	return body, answer.Status(), answer.ContentType(), nil
}

// relayStream sends an answer event by event. A stream that is cut goes on
// from another worker, or ends in an error event and without [DONE].
func (g *Gateway) relayStream(c fiber.Ctx, a *attempt, answer *engineclient.Answer, finish func()) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(HeaderOutcome, OutcomeStreaming)
	c.RequestCtx().Response.ImmediateHeaderFlush = true
	c.RequestCtx().SetBodyStream(&relay{gateway: g, attempt: a, answer: answer, finish: finish, last: time.Now()}, -1)
}

// relay is the body of one streamed answer: each Read returns events that came
// from the engine. The server closes it at the end or when the caller has left.
type relay struct {
	gateway *Gateway
	attempt *attempt
	// answer is the engine's answer being read, or nil between attempts.
	answer *engineclient.Answer
	// finish is called once, when the request has ended.
	finish func()
	// buffer holds what came from the engine; the first ready bytes are whole events to send.
	buffer []byte
	ready  int
	// tokens counts the token events that were handed out.
	tokens int
	// done is set once [DONE] was handed out.
	done bool
	// failure is set once an error event was handed out.
	failure error
	// ended is set once the end is recorded.
	ended bool
	// last is when the last token came.
	last time.Time
	// gaps are times between tokens that are not recorded yet.
	gaps []time.Duration
	// kept is the text sent so far, for requests with an idempotency key.
	kept []byte
}

// Read returns the next events. It fails after an error event, so that the
// connection is cut and no client takes the answer for whole.
func (r *relay) Read(into []byte) (int, error) {
	for r.ready == 0 {
		switch {
		case r.failure != nil:
			return 0, r.failure
		case r.done:
			r.complete()
			return 0, io.EOF
		}
		if err := r.fill(); err != nil {
			r.goOn(err)
		}
	}
	n := copy(into, r.buffer[:r.ready])
	r.buffer = append(r.buffer[:0], r.buffer[n:]...)
	r.ready -= n
	return n, nil
}

// Close ends the relay. Before the end of the answer it means that the caller has left.
func (r *relay) Close() error {
	if r.ended {
		return nil
	}
	r.endAttempt(nil)
	r.end(newUnknown("caller_left", "the caller left before the end of the answer"))
	return nil
}

// complete records the end of a whole answer.
func (r *relay) complete() {
	drain(r.answer)
	r.endAttempt(nil)
	r.gateway.recordAnswer(r.attempt.request, claimer.Answer{Status: fiber.StatusOK, ContentType: "text/event-stream", Body: r.kept})
	r.end(nil)
}

// end records the request's end; nil means that it was answered.
func (r *relay) end(failure error) {
	r.ended = true
	r.recordGaps()
	outcome := OutcomeAnswered
	if failure != nil {
		outcome = OutcomeUnknown
		r.gateway.endClaim(r.attempt.request, failure)
	}
	r.gateway.finished(r.attempt.request, outcome)
	r.finish()
}

// endAttempt closes the engine's answer, if one is open.
func (r *relay) endAttempt(err error) {
	if r.answer == nil {
		return
	}
	r.answer.Close()
	r.answer = nil
	r.gateway.end(r.attempt, err != nil)
}

// goOn continues a broken stream on another worker, or hands out an error event.
func (r *relay) goOn(cause error) {
	r.endAttempt(cause)
	answer, err := r.resume(cause)
	if err == nil {
		r.answer = answer
		return
	}
	failure := asFailure(err)
	failure.outcome = OutcomeUnknown
	body, encodeErr := json.Marshal(failure.body(r.attempt.request.id))
	if encodeErr == nil {
		r.buffer = fmt.Appendf(r.buffer[:0], "event: error\ndata: %s\n\n", body)
		r.ready = len(r.buffer)
	}
	r.failure = failure
	r.end(failure)
}

// resume sends the request again, from the token after the last one sent.
func (r *relay) resume(cause error) (*engineclient.Answer, error) {
	r.buffer = r.buffer[:0]
	if err := r.gateway.afterFailure(r.attempt, cause); err != nil {
		return nil, err
	}
	for {
		if err := r.gateway.chooseWorker(r.attempt); err != nil {
			return nil, err
		}
		answer, err := r.gateway.sendOnce(r.attempt, r.tokens)
		if err == nil {
			r.gateway.parts.Recorder.Count("resumed streams")
			return answer, nil
		}
		if err := r.gateway.afterFailure(r.attempt, err); err != nil {
			return nil, err
		}
	}
}

// streamBuffer is the first size of the buffer between engine and caller in bytes.
const streamBuffer = 4 << 10

var (
	eventEnd  = []byte("\n\n")
	eventHead = []byte("data: {")
	doneEvent = []byte("data: [DONE]")
	lastChunk = []byte(`"finish_reason":"stop"`)
	idKey     = []byte(`"id":"`)
)

// fill reads from the engine until the buffer begins with whole events.
func (r *relay) fill() error {
	for r.ready == 0 {
		r.buffer = slices.Grow(r.buffer, streamBuffer)
		n, err := r.answer.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if whole := bytes.LastIndex(r.buffer, eventEnd); whole >= 0 {
			if err := r.accept(r.buffer[:whole+len(eventEnd)]); err != nil {
				return err
			}
			return nil
		}
		if err != nil {
			return engineclient.NewBrokenError(err)
		}
	}
	return nil
}

// drain reads the end of a finished stream, so that its connection can be used again.
func drain(answer *engineclient.Answer) {
	var rest [64]byte
	for {
		if _, err := answer.Read(rest[:]); err != nil {
			return
		}
	}
}

// accept checks whole events and makes them ready to send.
func (r *relay) accept(events []byte) error {
	tokens := 0
	for rest := events; len(rest) > 0; {
		var event []byte
		event, rest, _ = bytes.Cut(rest, eventEnd)
		isToken, err := r.inspect(event)
		if err != nil {
			return engineclient.NewBrokenError(err)
		}
		if isToken {
			tokens++
		}
	}
	if r.attempt.request.claim != nil {
		r.kept = append(r.kept, events...)
	}
	r.ready = len(events)
	r.countTokens(tokens)
	return nil
}

// inspect checks one event and reports whether it carries a token.
func (r *relay) inspect(event []byte) (isToken bool, err error) {
	if bytes.HasPrefix(event, doneEvent) {
		r.done = true
		return false, nil
	}
	if !bytes.HasPrefix(event, eventHead) {
		return false, nil
	}
	id := r.attempt.request.id
	at := bytes.Index(event, idKey)
	if at < 0 || !hasID(event[at+len(idKey):], id) {
		return false, fmt.Errorf("event of another request in the stream of %q", id)
	}
	return !bytes.Contains(event, lastChunk), nil
}

// hasID reports whether a JSON string that starts the text equals an id.
func hasID(text []byte, id string) bool {
	return len(text) > len(id) && string(text[:len(id)]) == id && text[len(id)] == '"'
}

// gapBatch is how many times between tokens are recorded at once.
const gapBatch = 64

// countTokens records the times of tokens that were sent.
func (r *relay) countTokens(tokens int) {
	if tokens == 0 {
		return
	}
	now := time.Now()
	request := r.attempt.request
	if r.tokens == 0 {
		r.gateway.observe(request, recorder.MeasureFirst, now.Sub(request.arrived))
	} else {
		r.gaps = append(r.gaps, now.Sub(r.last))
	}
	r.tokens += tokens
	r.last = now
	if len(r.gaps) >= gapBatch {
		r.recordGaps()
	}
}

func (r *relay) recordGaps() {
	r.gateway.observe(r.attempt.request, recorder.MeasureBetween, r.gaps...)
	r.gaps = r.gaps[:0]
}
