// Package rawpeer holds peers of a node that speak HTTP over plain TCP connections, as the simplest callers and workers do. A caller writes
// its whole request, slowly or at once, and reads nothing before that; a worker answers before it has read its request. Tests use them.
package rawpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Request is a request with a filler in its header or its body.
type Request struct {
	// Path and Host are those of the request.
	Path, Host string
	// Headers are further headers.
	Headers map[string]string
	// HeaderBytes and BodyBytes are the sizes of a filling header and of the body; 0 for none.
	HeaderBytes, BodyBytes int
	// Chunks is the number of equal parts in which the request is written, with Pause after each; 1 writes it at once.
	Chunks int
	Pause  time.Duration
}

// Response is a whole response.
type Response struct {
	Status int
	Body   string
}

// responseTimeout bounds the wait for the response once the request has been written.
const responseTimeout = 15 * time.Second

// Send writes a request to an address and then reads the response. It returns an error if a part of the request cannot be written or no
// whole response arrives.
func Send(address string, request Request) (Response, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return Response{}, fmt.Errorf("dial node: %w", err)
	}
	defer func() { _ = connection.Close() }() // The response has been read by then.
	text := request.encode()
	size := (len(text) + request.Chunks - 1) / request.Chunks
	for sent := 0; sent < len(text); sent += size {
		if _, err := connection.Write(text[sent:min(sent+size, len(text))]); err != nil {
			return Response{}, fmt.Errorf("write request after %d of %d bytes: %w", sent, len(text), err)
		}
		time.Sleep(request.Pause)
	}
	if err := connection.SetReadDeadline(time.Now().Add(responseTimeout)); err != nil {
		return Response{}, fmt.Errorf("limit the wait for the response: %w", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return Response{}, fmt.Errorf("read response: %w", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read body of response with status %d: %w", response.StatusCode, err)
	}
	return Response{Status: response.StatusCode, Body: string(body)}, nil
}

// encode returns the bytes of the request.
func (r *Request) encode() []byte {
	text := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", r.Path, r.Host, r.BodyBytes)
	for name, value := range r.Headers {
		text = fmt.Appendf(text, "%s: %s\r\n", name, value)
	}
	if r.HeaderBytes > 0 {
		text = appendFiller(append(text, "X-Fill: "...), r.HeaderBytes)
		text = append(text, "\r\n"...)
	}
	return appendFiller(append(text, "\r\n"...), r.BodyBytes)
}

func appendFiller(text []byte, count int) []byte {
	start := len(text)
	text = append(text, make([]byte, count)...)
	for i := start; i < len(text); i++ {
		text[i] = 'a'
	}
	return text
}

// SendMany sends a request count times, at most concurrency at once, and returns the responses and the errors of those without one.
func SendMany(address string, request Request, count, concurrency int) ([]Response, []error) {
	var mu sync.Mutex
	var responses []Response
	var errs []error
	var callers sync.WaitGroup
	free := make(chan struct{}, concurrency)
	for range count {
		free <- struct{}{}
		callers.Go(func() {
			defer func() { <-free }()
			response, err := Send(address, request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, err)
				return
			}
			responses = append(responses, response)
		})
	}
	callers.Wait()
	return responses, errs
}
