package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

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
	connection := c.RequestCtx().Conn()
	c.RequestCtx().Response.ImmediateHeaderFlush = true
	c.RequestCtx().SetBodyStreamWriter(fasthttp.StreamWriter(func(w *bufio.Writer) {
		defer finish()
		r := &relay{gateway: g, attempt: a, writer: w, connection: connection, last: time.Now()}
		r.run(answer)
	}))
}

// relay copies one stream to one caller.
type relay struct {
	gateway    *Gateway
	attempt    *attempt
	writer     *bufio.Writer
	connection net.Conn
	// tokens counts the token events that the caller has got.
	tokens int
	// done is set once [DONE] was sent.
	done bool
	// gone is set once the caller has left.
	gone bool
	// last is when the last token came.
	last time.Time
	// gaps are times between tokens that are not recorded yet.
	gaps []time.Duration
	// kept is the text sent so far, for requests with an idempotency key.
	kept []byte
}

// run relays until the answer is whole, the caller leaves, or no worker goes on.
func (r *relay) run(answer *engineclient.Answer) {
	defer r.recordGaps()
	for {
		err := r.copy(answer)
		answer.Close()
		r.gateway.end(r.attempt, err != nil && !r.gone)
		if r.gone {
			r.gateway.endClaim(r.attempt.request, newUnknown("caller_left", "the caller left before the end of the answer"))
			r.gateway.finished(r.attempt.request, OutcomeUnknown)
			return
		}
		if r.done {
			r.gateway.recordAnswer(r.attempt.request, claimer.Answer{Status: fiber.StatusOK, ContentType: "text/event-stream", Body: r.kept})
			r.gateway.finished(r.attempt.request, OutcomeAnswered)
			return
		}
		if answer, err = r.resume(err); err != nil {
			r.fail(err)
			return
		}
	}
}

// resume sends the request again, from the token after the last one sent.
func (r *relay) resume(cause error) (*engineclient.Answer, error) {
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

// fail ends the stream with an error event and closes the connection, so that
// no client takes the answer for whole.
func (r *relay) fail(err error) {
	failure := asFailure(err)
	failure.outcome = OutcomeUnknown
	body, encodeErr := json.Marshal(failure.body(r.attempt.request.id))
	if encodeErr == nil {
		fmt.Fprintf(r.writer, "event: error\ndata: %s\n\n", body)
		_ = r.writer.Flush()
	}
	r.gateway.endClaim(r.attempt.request, failure)
	r.gateway.finished(r.attempt.request, OutcomeUnknown)
	_ = r.connection.Close()
}

// streamBuffer is the size of the buffer between engine and caller in bytes.
const streamBuffer = 16 << 10

var (
	eventEnd  = []byte("\n\n")
	doneEvent = []byte("data: [DONE]")
	lastChunk = []byte(`"finish_reason":"stop"`)
	idKey     = []byte(`"id":"`)
)

// copy relays whole events until the stream ends; nil means that it ended with [DONE].
func (r *relay) copy(answer *engineclient.Answer) error {
	buffer := make([]byte, 0, streamBuffer)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, make([]byte, cap(buffer))...)[:len(buffer)]
		}
		n, err := answer.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		whole := bytes.LastIndex(buffer, eventEnd) + len(eventEnd)
		if whole >= len(eventEnd) {
			if err := r.forward(buffer[:whole]); err != nil {
				return err
			}
			buffer = append(buffer[:0], buffer[whole:]...)
		}
		if r.gone || r.done {
			drain(answer, err)
			return nil
		}
		if err != nil {
			return engineclient.NewBrokenError(err)
		}
	}
}

// drain reads the end of a finished stream, so that its connection can be used again.
func drain(answer *engineclient.Answer, err error) {
	var rest [64]byte
	for err == nil {
		_, err = answer.Read(rest[:])
	}
}

// forward sends whole events to the caller.
func (r *relay) forward(events []byte) error {
	tokens := 0
	for rest := events; len(rest) > 0; {
		at := bytes.Index(rest, eventEnd)
		isToken, err := r.inspect(rest[:at])
		if err != nil {
			return engineclient.NewBrokenError(err)
		}
		if isToken {
			tokens++
		}
		rest = rest[at+len(eventEnd):]
	}
	if r.attempt.request.claim != nil {
		r.kept = append(r.kept, events...)
	}
	_, _ = r.writer.Write(events)
	if err := r.writer.Flush(); err != nil {
		r.gone = true
		return nil
	}
	r.countTokens(tokens)
	return nil
}

// inspect checks one event and reports whether it carries a token.
func (r *relay) inspect(event []byte) (isToken bool, err error) {
	if bytes.HasPrefix(event, doneEvent) {
		r.done = true
		return false, nil
	}
	if !bytes.HasPrefix(event, []byte("data: {")) {
		return false, nil
	}
	id := r.attempt.request.id
	at := bytes.Index(event, idKey)
	own := at >= 0 && bytes.HasPrefix(event[at+len(idKey):], []byte(id+`"`))
	if !own {
		return false, fmt.Errorf("event of another request in the stream of %q", id)
	}
	return !bytes.Contains(event, lastChunk), nil
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
