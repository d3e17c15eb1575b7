package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const host = "ficu95.example"

// channel is a client's channel to a node. One request at a time is sent on it.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{address: address, conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// request is what a client sends.
type request struct {
	method, path, attempt, model, lastEvent, resumes string
	budget                                           time.Duration
}

// answer is what a client gets.
type answer struct {
	sent, began, ended time.Time
	status             int // 0 without a head
	seal               string
	body               string
	whole, closes      bool
	err                error
}

// events returns the ids and the software versions of the whole events.
func (a *answer) events() (ids []int, software []string) {
	for rest := a.body; ; {
		event, next, whole := strings.Cut(rest, "\n\n")
		if !whole {
			return ids, software
		}
		var id, number, count int
		var version string
		if _, err := fmt.Sscanf(event, "id: %d\ndata: piece %d of %d, software %s", &id, &number, &count, &version); err != nil {
			return ids, software
		}
		ids, software, rest = append(ids, id), append(software, version), next
	}
}

// send sends a request and reads its answer until it is whole, the channel ends or the time budget is over.
func (c *channel) send(r request) answer {
	a := answer{sent: time.Now()}
	var text strings.Builder
	body := ""
	if r.method == http.MethodPost {
		body = "body of " + r.attempt
	}
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Acaciaproxy-Attempt-Id: %s\r\nX-Acaciaproxy-Deadline-Ms: %d\r\n", r.method, r.path, host, r.attempt, r.budget.Milliseconds())
	if r.model != "" {
		fmt.Fprintf(&text, "X-Acaciaproxy-Model: %s\r\nX-Acaciaproxy-Token-Count: 491,68\r\nX-Acaciaproxy-Prompt-Prefix: 5c1e07a2:93,91bd3f06:62,%s:491\r\n", r.model, r.attempt)
	}
	if r.lastEvent != "" {
		fmt.Fprintf(&text, "Last-Event-Id: %s\r\n", r.lastEvent)
	}
	if r.resumes != "" {
		fmt.Fprintf(&text, "Resumes: %s\r\n", r.resumes)
	}
	if body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(a.sent.Add(r.budget))
	notes.add("client: %s to %s, %s model %s after event %q", r.attempt, c.address, r.path, r.model, r.lastEvent)
	if _, err := c.conn.Write([]byte(text.String())); err != nil {
		return a.end(r, err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return a.end(r, err)
	}
	a.began, a.status, a.seal, a.closes = time.Now(), response.StatusCode, response.Header.Get("X-Acaciaproxy-Server-Seal"), response.Close
	var received strings.Builder
	_, err = io.Copy(&received, response.Body)
	a.body, a.whole = received.String(), err == nil
	return a.end(r, err)
}

func (a answer) end(r request, err error) answer {
	a.ended, a.err = time.Now(), err
	notes.add("client: %s answered: status %d, whole %t, %d bytes, after %d ms: %v", r.attempt, a.status, a.whole, len(a.body), a.ended.Sub(a.sent).Milliseconds(), err)
	return a
}
