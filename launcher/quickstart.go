package launcher

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Response is a node's response as the caller receives it.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Took is the time from the sending of the request to the end of the response body.
	Took time.Duration
}

// requestTimeout bounds the time from the start of a request to the end of its response.
const requestTimeout = time.Minute

// Send sends a request with a JSON body to a node. If the response body is incomplete, it returns the part that was
// received, together with the error.
func Send(address, method, path string, body any, headers map[string]string) (Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return Response{}, fmt.Errorf("encode body for %s: %w", path, err)
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return Response{}, fmt.Errorf("%s %s: %w", method, path, err)
	}
	request.Header.Set("Content-Type", "application/json")
	for key, value := range headers {
		request.Header.Set(key, value)
	}
	began := time.Now()
	client := http.Client{Timeout: requestTimeout}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Header: response.Header, Body: content, Took: time.Since(began)}, err
}

// CompletionBody returns the body of a chat completion request with one user message.
func CompletionBody(route, prompt string, stream bool) map[string]any {
	return map[string]any{"model": route, "stream": stream, "max_tokens": 8, "messages": []map[string]string{{"role": "user", "content": prompt}}}
}

// quickStep is one step of the quick start.
type quickStep struct {
	title string
	run   func(s *Set, out io.Writer) error
}

// QuickStart runs the steps of the quick start and prints the responses. It returns an error at the first response that is
// not the expected one. The set must have two zones with two nodes each.
func QuickStart(s *Set, out io.Writer) error {
	steps := []quickStep{
		{"Cold answer: the model is loaded nowhere in the zone", requestCold},
		{"Warm answer: the model is loaded now, asked at the zone's other node", requestWarm},
		{"Streamed answer from an adapter", requestStream},
		{"Code assignment, and its repeat at another node", requestAssignment},
		{"Refusal: the deadline is shorter than the load", requestRefused},
		{"Status of all nodes", printStatus},
	}
	for i, step := range steps {
		fmt.Fprintf(out, "\n%d. %s\n", i+1, step.title)
		if err := step.run(s, out); err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
	}
	return nil
}

func expect(response Response, status int, outcome string) error {
	if response.Status != status || response.Header.Get("Acacia-Outcome") != outcome {
		return fmt.Errorf("got status %d and outcome %q, not %d and %q: %s", response.Status, response.Header.Get("Acacia-Outcome"), status, outcome, response.Body)
	}
	return nil
}

func printResponse(out io.Writer, label string, response Response) {
	fmt.Fprintf(out, "   %s: status %d, outcome %s, %d ms, version %s\n   %s\n", label, response.Status, response.Header.Get("Acacia-Outcome"),
		response.Took.Milliseconds(), response.Header.Get("Acacia-Config-Version"), bytes.TrimSpace(response.Body))
}

func requestCold(s *Set, out io.Writer) error {
	response, err := Send(s.Nodes()[0].address, http.MethodPost, "/v1/chat/completions", CompletionBody("occupations", "goat herder", false), nil)
	if err != nil {
		return err
	}
	printResponse(out, "cold", response)
	return expect(response, http.StatusOK, "answered")
}

func requestWarm(s *Set, out io.Writer) error {
	response, err := Send(s.Nodes()[1].address, http.MethodPost, "/v1/chat/completions", CompletionBody("occupations", "sign painter", false), nil)
	if err != nil {
		return err
	}
	printResponse(out, "warm", response)
	return expect(response, http.StatusOK, "answered")
}

func requestStream(s *Set, out io.Writer) error {
	response, err := Send(s.Nodes()[2].address, http.MethodPost, "/v1/chat/completions", CompletionBody("activities-retail", "corner shop", true), nil)
	if err != nil {
		return err
	}
	events := 0
	last := ""
	for scanner := bufio.NewScanner(bytes.NewReader(response.Body)); scanner.Scan(); {
		if line := scanner.Text(); strings.HasPrefix(line, "data: ") {
			events++
			last = line
		}
	}
	fmt.Fprintf(out, "   streamed: status %d, %d events in %d ms, the last is %q\n", response.Status, events, response.Took.Milliseconds(), last)
	if last != "data: [DONE]" {
		return fmt.Errorf("the last event of the stream is %q, not [DONE]", last)
	}
	return expect(response, http.StatusOK, "streaming")
}

func requestAssignment(s *Set, out io.Writer) error {
	body := map[string]string{"company": "SIA Example", "code": "47.11"}
	headers := map[string]string{"Idempotency-Key": fmt.Sprintf("filing-%d", time.Now().UnixNano())}
	first, err := Send(s.Nodes()[0].address, http.MethodPost, "/register/assign", body, headers)
	if err != nil {
		return err
	}
	printResponse(out, "first", first)
	if err := expect(first, http.StatusOK, "answered"); err != nil {
		return err
	}
	second, err := Send(s.Nodes()[3].address, http.MethodPost, "/register/assign", body, headers)
	if err != nil {
		return err
	}
	printResponse(out, "repeat", second)
	if !bytes.Equal(first.Body, second.Body) || second.Header.Get("Acacia-Replayed") != "true" {
		return fmt.Errorf("the repeated assignment got another answer, or one not marked as replayed: %s", second.Body)
	}
	return expect(second, http.StatusOK, "answered")
}

func requestRefused(s *Set, out io.Writer) error {
	headers := map[string]string{"Acacia-Timeout-Ms": "400"}
	response, err := Send(s.Nodes()[0].address, http.MethodPost, "/v1/chat/completions", CompletionBody("products", "oak table", false), headers)
	if err != nil {
		return err
	}
	printResponse(out, "refused", response)
	fmt.Fprintf(out, "   Retry-After: %s s\n", response.Header.Get("Retry-After"))
	if response.Header.Get("Retry-After") == "" {
		return fmt.Errorf("the refusal has no Retry-After header")
	}
	return expect(response, http.StatusServiceUnavailable, "refused")
}

func printStatus(s *Set, out io.Writer) error {
	addresses := make([]string, 0, len(s.Nodes()))
	for _, node := range s.Nodes() {
		addresses = append(addresses, node.operatorAddress)
	}
	output, err := s.Run("status", "-operators", strings.Join(addresses, ","))
	fmt.Fprint(out, indent(output))
	return err
}

func indent(text string) string {
	return "   " + strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n   ") + "\n"
}
