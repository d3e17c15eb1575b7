package enginestandin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

// request holds the fields of an OpenAI-style completion request that the engine reads.
type request struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Stream     bool `json:"stream"`
	MaxTokens  int  `json:"max_tokens"`
	ResumeFrom int  `json:"resume_from"`
}

// promptText returns the prompt followed by the content of each message on a line of its own.
func (r request) promptText() string {
	var text strings.Builder
	text.WriteString(r.Prompt)
	for _, message := range r.Messages {
		text.WriteString(message.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// defaultMaxTokens is the number of tokens of a completion when the request sets no max_tokens.
const defaultMaxTokens = 16

func (r request) tokens() int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultMaxTokens
}

// Token returns the token at an index of a unit's completion of a prompt. It
// depends on its arguments only, so that the load generator can verify a complete response.
func Token(unit, prompt string, index int) string {
	hash := xxhash.Sum64String(unit + "\x00" + prompt)
	return fmt.Sprintf("%05x.%d ", hash&0xfffff, index)
}

// Completion returns a unit's completion of a prompt with the given number of tokens.
func Completion(unit, prompt string, tokens int) string {
	var completion strings.Builder
	for i := range tokens {
		completion.WriteString(Token(unit, prompt, i))
	}
	return completion.String()
}

// fetchCheckpoint fetches a checkpoint from the platform's weight store and reports
// whether it succeeded. The fetch takes the given time at full speed. Without a
// platform, fetchCheckpoint sleeps for that time instead.
func (e *Engine) fetchCheckpoint(order Order, milliseconds int64) bool {
	if e.settings.Platform == "" {
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
		return true
	}
	body, _ := json.Marshal(map[string]any{"checkpoint": order.Checkpoint, "adapter": order.Adapter, "milliseconds": milliseconds})
	response, err := http.Post("http://"+e.settings.Platform+"/weights/fetch", fiber.MIMEApplicationJSON, strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

func (e *Engine) handleCompletion(c fiber.Ctx) error {
	var parsed request
	if err := json.Unmarshal(c.Body(), &parsed); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	id := c.Get("X-Request-Id")
	faults := e.currentFaults()
	if faults.CrashMarker != "" && strings.Contains(parsed.promptText(), faults.CrashMarker) {
		e.crash()
		return nil
	}
	if reason := e.admit(parsed, id); reason != "" {
		c.Set("X-Request-Id", id)
		c.Set("X-Not-Run", reason)
		return fiber.NewError(fiber.StatusServiceUnavailable, reason)
	}
	if faults.SilentResponses {
		time.Sleep(time.Hour)
	}
	if faults.Crossed {
		id = "another-" + id
	}
	c.Set("X-Request-Id", id)
	if parsed.Stream {
		return e.streamCompletion(c, parsed, id, faults)
	}
	return e.sendCompletion(c, parsed, id, faults)
}

// admit counts the request as run and queues it. If it refuses the request instead, it
// returns the reason, which is empty otherwise.
func (e *Engine) admit(parsed request, id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Leaving {
		return "leaving"
	}
	unit, present := e.memory.units[parsed.Model]
	if !present || unit.Phase != PhaseReady {
		return "not loaded"
	}
	e.runs[id]++
	e.inFlight[parsed.Model]++
	e.queued++
	return ""
}

// acquireSlot waits for a slot and returns the function that releases it.
func (e *Engine) acquireSlot(unit string) func() {
	e.slots <- struct{}{}
	e.mu.Lock()
	e.queued--
	e.running++
	e.mu.Unlock()
	return func() {
		e.mu.Lock()
		e.running--
		e.inFlight[unit]--
		e.mu.Unlock()
		<-e.slots
	}
}

// sendCompletion responds with the complete text as one JSON body.
func (e *Engine) sendCompletion(c fiber.Ctx, parsed request, id string, faults Faults) error {
	release := e.acquireSlot(parsed.Model)
	defer release()
	tokens := parsed.tokens()
	time.Sleep(time.Duration(e.settings.FirstTokenMS+int64(tokens)*e.settings.TokenMS) * time.Millisecond)
	prompt := parsed.promptText()
	text := Completion(parsed.Model, prompt, tokens)
	body, _ := json.Marshal(map[string]any{
		"id": id, "object": "chat.completion", "model": parsed.Model,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "text": text, "message": map[string]string{"role": "assistant", "content": text}}},
		"usage":   usage(prompt, tokens),
	})
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	if faults.Truncated {
		raw := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
		_, _ = c.RequestCtx().Conn().Write(append([]byte(raw), body[:len(body)/2]...))
		return c.RequestCtx().Conn().Close()
	}
	return c.Send(body)
}

// usage returns the token counts of a completion; each word of the prompt counts as a token.
func usage(prompt string, tokens int) map[string]int {
	words := len(strings.Fields(prompt))
	return map[string]int{"prompt_tokens": words, "completion_tokens": tokens, "total_tokens": words + tokens}
}

// streamCompletion responds with the completion as server-sent events, one for each token.
func (e *Engine) streamCompletion(c fiber.Ctx, parsed request, id string, faults Faults) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	connection := c.RequestCtx().Conn()
	c.RequestCtx().Response.ImmediateHeaderFlush = true
	c.RequestCtx().SetBodyStreamWriter(fasthttp.StreamWriter(func(w *bufio.Writer) {
		release := e.acquireSlot(parsed.Model)
		defer release()
		if !e.writeTokens(w, parsed, id, faults) {
			_ = connection.Close()
		}
	}))
	return nil
}

// writeTokens writes the events of a completion. It returns false if the stream is incomplete, and the
// connection must then be closed.
func (e *Engine) writeTokens(w *bufio.Writer, parsed request, id string, faults Faults) bool {
	prompt := parsed.promptText()
	eventStart := fmt.Sprintf(`data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":"`, id, parsed.Model)
	sleepMS(e.settings.FirstTokenMS)
	tokenPrefix := Token(parsed.Model, prompt, 0)
	tokenPrefix = tokenPrefix[:strings.IndexByte(tokenPrefix, '.')+1]
	sent := int64(0)
	for i := parsed.ResumeFrom; i < parsed.tokens(); i++ {
		if faults.CutAfter > 0 && sent >= faults.CutAfter {
			return false
		}
		w.WriteString(eventStart)
		w.WriteString(tokenPrefix)
		w.WriteString(strconv.Itoa(i))
		w.WriteString(" \"}}]}\n\n")
		if err := w.Flush(); err != nil {
			e.mu.Lock()
			e.cancelled++
			e.mu.Unlock()
			return false
		}
		sent++
		sleepMS(e.settings.TokenMS)
	}
	usageJSON, _ := json.Marshal(usage(prompt, parsed.tokens()))
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":%s}\n\ndata: [DONE]\n\n", id, parsed.Model, usageJSON)
	return w.Flush() == nil
}

func sleepMS(milliseconds int64) {
	if milliseconds > 0 {
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
	}
}
