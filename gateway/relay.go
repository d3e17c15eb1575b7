package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/bufferer"
	"github.com/acaciaproxy/acaciaproxy/claimer"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/recorder"
)

// relayBuffered reads a response to its end and sends it to the caller. When the
// response is incomplete or invalid, it makes further attempts.
func (g *Gateway) relayBuffered(c fiber.Ctx, m *modelRequest, response *engineclient.Response) error {
	for {
		held := &heldBody{holding: g.space.Hold()}
		status, contentType, err := readResponse(m, response, held)
		g.endAttempt(m, err != nil)
		if err == nil {
			g.recordResponse(m.request, claimer.Response{Status: status, ContentType: contentType, Body: held.body})
			c.Set(fiber.HeaderContentType, contentType)
			held.send(c, status)
			return nil
		}
		held.holding.Release()
		if err := g.handleAttemptFailure(m, err); err != nil {
			return err
		}
		if response, err = g.sendWithRetries(m); err != nil {
			return err
		}
	}
}

// readResponse reads a response to its end. If its status is 200, it checks that the
// response carries the request's id. The error is an *engineclient.BrokenError.
func readResponse(m *modelRequest, response *engineclient.Response, held *heldBody) (status int, contentType string, err error) {
	defer response.Close()
	if err := held.read(response); err != nil {
		return 0, "", engineclient.NewBrokenError(err)
	}
	if response.Status() != fiber.StatusOK {
		return response.Status(), response.ContentType(), nil
	}
	var envelope struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(held.body, &envelope); err != nil {
		return 0, "", engineclient.NewBrokenError(err)
	}
	if envelope.ID != m.request.id {
		return 0, "", engineclient.NewBrokenError(fmt.Errorf("answer has id %q, not %q", envelope.ID, m.request.id))
	}
	return response.Status(), response.ContentType(), nil
}

// relayStream relays a response event by event. An interrupted stream is resumed on
// a worker, or ends with an error event and without [DONE].
func (g *Gateway) relayStream(c fiber.Ctx, m *modelRequest, response *engineclient.Response, release func()) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	c.Set(HeaderOutcome, OutcomeStreaming)
	c.RequestCtx().Response.ImmediateHeaderFlush = true
	c.RequestCtx().SetBodyStream(&streamRelay{gateway: g, modelRequest: m, response: response, held: g.space.Hold(), claimed: g.space.Hold(), release: release, lastTokenAt: time.Now()}, -1)
}

// streamRelay is the body of one streamed response; Read returns events from the
// engine. The HTTP server closes it at its end or when the caller disconnects.
type streamRelay struct {
	gateway      *Gateway
	modelRequest *modelRequest
	// response is the engine's response being read, or nil between attempts.
	response *engineclient.Response
	// release is called once, when the request has ended.
	release func()
	// buffer holds bytes from the engine; its first readyBytes bytes are complete,
	// checked events to return from Read.
	buffer     []byte
	readyBytes int
	// held is the space of buffer, claimed that of claimedBody.
	held, claimed *bufferer.Holding
	// relayedTokens counts the events with a token that were accepted from the engine.
	relayedTokens int
	// done is set once [DONE] was accepted.
	done bool
	// failure is set once the stream was ended by an error event.
	failure error
	// ended is set once the request's outcome is recorded.
	ended bool
	// lastTokenAt is when the last token arrived.
	lastTokenAt time.Time
	// tokenIntervals are the times between tokens that are not yet reported to the recorder.
	tokenIntervals []time.Duration
	// claimedBody is the response so far, kept for requests with a claimed idempotency key.
	claimedBody []byte
}

// Read returns the next events. It fails after an error event, so that the
// connection is closed and no caller takes the response for complete.
func (r *streamRelay) Read(into []byte) (int, error) {
	for r.readyBytes == 0 {
		switch {
		case r.failure != nil:
			return 0, r.failure
		case r.done:
			r.complete()
			return 0, io.EOF
		}
		if err := r.readEvents(); err != nil {
			r.resumeOrFail(err)
		}
	}
	n := copy(into, r.buffer[:r.readyBytes])
	r.buffer = append(r.buffer[:0], r.buffer[n:]...)
	r.readyBytes -= n
	return n, nil
}

// Close ends the relay. Before the end of the response it means that the caller disconnected.
func (r *streamRelay) Close() error {
	if r.ended {
		return nil
	}
	r.endAttempt(nil)
	r.finish(newUnknown("caller_left", "the caller closed the connection before the end of the response"))
	return nil
}

// complete records the end of a complete response.
func (r *streamRelay) complete() {
	drainResponse(r.response)
	r.endAttempt(nil)
	r.gateway.recordResponse(r.modelRequest.request, claimer.Response{Status: fiber.StatusOK, ContentType: "text/event-stream", Body: r.claimedBody})
	r.finish(nil)
}

// finish ends the request and records its outcome: answered, or unknown with a failure.
func (r *streamRelay) finish(failure error) {
	r.ended = true
	r.recordTokenIntervals()
	outcome := OutcomeAnswered
	if failure != nil {
		outcome = OutcomeUnknown
		r.gateway.endClaim(r.modelRequest.request, failure)
	}
	r.gateway.recordOutcome(r.modelRequest.request, outcome)
	r.held.Release()
	r.claimed.Release()
	r.release()
}

// endAttempt closes the engine's response and ends the attempt, if one is in flight.
func (r *streamRelay) endAttempt(err error) {
	if r.response == nil {
		return
	}
	r.response.Close()
	r.response = nil
	r.gateway.endAttempt(r.modelRequest, err != nil)
}

// resumeOrFail resumes an interrupted stream, or ends it with an error event.
func (r *streamRelay) resumeOrFail(cause error) {
	r.endAttempt(cause)
	response, err := r.resume(cause)
	if err == nil {
		r.response = response
		return
	}
	failure := asFailure(err)
	failure.outcome = OutcomeUnknown
	body, encodeErr := json.Marshal(failure.body(r.modelRequest.request.id))
	if encodeErr == nil {
		r.buffer = fmt.Appendf(r.buffer[:0], "event: error\ndata: %s\n\n", body)
		r.readyBytes = len(r.buffer)
	}
	r.failure = failure
	r.finish(failure)
}

// resume sends the request again, so that the response starts after the last relayed token.
func (r *streamRelay) resume(cause error) (*engineclient.Response, error) {
	r.buffer = nil
	r.held.Release()
	if err := r.gateway.handleAttemptFailure(r.modelRequest, cause); err != nil {
		return nil, err
	}
	for {
		if err := r.gateway.chooseWorker(r.modelRequest); err != nil {
			return nil, err
		}
		response, err := r.gateway.sendAttempt(r.modelRequest, r.relayedTokens)
		if err == nil {
			r.gateway.dependencies.Recorder.Count("resumed streams")
			return response, nil
		}
		if err := r.gateway.handleAttemptFailure(r.modelRequest, err); err != nil {
			return nil, err
		}
	}
}

// streamBufferBytes is the least free space in a stream's buffer before a read.
const streamBufferBytes = 4 << 10

// Pieces of the event streams that engines send.
var (
	eventDelimiter   = []byte("\n\n")
	dataEventPrefix  = []byte("data: {")
	doneEvent        = []byte("data: [DONE]")
	finishReasonStop = []byte(`"finish_reason":"stop"`)
	idKey            = []byte(`"id":"`)
)

// readEvents reads from the engine until the buffer starts with complete events.
func (r *streamRelay) readEvents() error {
	for r.readyBytes == 0 {
		r.buffer = slices.Grow(r.buffer, streamBufferBytes)
		n, err := r.response.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if end := bytes.LastIndex(r.buffer, eventDelimiter); end >= 0 {
			if err := r.acceptEvents(r.buffer[:end+len(eventDelimiter)]); err != nil {
				return err
			}
			return nil
		}
		if err == nil {
			err = r.held.Grow(len(r.buffer), bufferer.MaxEventBytes)
		}
		if err != nil {
			return engineclient.NewBrokenError(err)
		}
	}
	return nil
}

// maxDrainedBytes bounds what is read after the end of a stream.
const maxDrainedBytes = 4 << 10

// drainResponse reads a finished stream to its end, so that its connection can be reused; it is closed if more follows.
func drainResponse(response *engineclient.Response) {
	_, _ = io.CopyN(io.Discard, response, maxDrainedBytes) // If it fails, the connection is not reused; nothing else is lost.
}

// acceptEvents checks complete events and marks them ready to return from Read.
func (r *streamRelay) acceptEvents(events []byte) error {
	tokens := 0
	for rest := events; len(rest) > 0; {
		var event []byte
		event, rest, _ = bytes.Cut(rest, eventDelimiter)
		carriesToken, err := r.inspectEvent(event)
		if err != nil {
			return engineclient.NewBrokenError(err)
		}
		if carriesToken {
			tokens++
		}
	}
	if r.modelRequest.request.claim != nil {
		if err := r.claimed.Grow(len(r.claimedBody)+len(events), bufferer.MaxResponseBytes); err != nil {
			return engineclient.NewBrokenError(err)
		}
		r.claimedBody = append(r.claimedBody, events...)
	}
	r.readyBytes = len(events)
	r.recordTokens(tokens)
	return nil
}

// inspectEvent checks one event and reports whether it carries a token. It fails for
// an event without the request's id.
func (r *streamRelay) inspectEvent(event []byte) (carriesToken bool, err error) {
	if bytes.HasPrefix(event, doneEvent) {
		r.done = true
		return false, nil
	}
	if !bytes.HasPrefix(event, dataEventPrefix) {
		return false, nil
	}
	id := r.modelRequest.request.id
	keyAt := bytes.Index(event, idKey)
	if keyAt < 0 || !startsWithID(event[keyAt+len(idKey):], id) {
		return false, fmt.Errorf("event of another request in the stream of %q", id)
	}
	return !bytes.Contains(event, finishReasonStop), nil
}

// startsWithID reports whether text starts with id and a closing quote.
func startsWithID(text []byte, id string) bool {
	return len(text) > len(id) && string(text[:len(id)]) == id && text[len(id)] == '"'
}

// intervalBatchSize is the number of token intervals that are recorded together.
const intervalBatchSize = 64

// recordTokens counts tokens that just arrived, and measures the time to the first
// token or the time since the previous tokens.
func (r *streamRelay) recordTokens(tokens int) {
	if tokens == 0 {
		return
	}
	now := time.Now()
	request := r.modelRequest.request
	if r.relayedTokens == 0 {
		r.gateway.observe(request, recorder.MeasureFirstToken, now.Sub(request.arrived))
	} else {
		r.tokenIntervals = append(r.tokenIntervals, now.Sub(r.lastTokenAt))
	}
	r.relayedTokens += tokens
	r.lastTokenAt = now
	if len(r.tokenIntervals) >= intervalBatchSize {
		r.recordTokenIntervals()
	}
}

func (r *streamRelay) recordTokenIntervals() {
	r.gateway.observe(r.modelRequest.request, recorder.MeasureInterToken, r.tokenIntervals...)
	r.tokenIntervals = r.tokenIntervals[:0]
}
