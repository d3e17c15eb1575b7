package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client gets on its channel.
type answer struct {
	status int
	header http.Header
	body   string
	// whole is set if the answer arrived to its end; endedAt is when it did, or when the channel ended.
	whole   bool
	endedAt time.Time
	err     error
}

func (a answer) String() string {
	switch {
	case a.whole:
		return fmt.Sprintf("%d, whole, %d bytes %q", a.status, len(a.body), clip(a.body))
	case a.status != 0:
		return fmt.Sprintf("%d, then the channel ended in the middle of the answer after %d bytes (%v)", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("no answer (%v)", a.err)
}

func clip(text string) string { return text[:min(len(text), 60)] }

// lastAttempt numbers the attempts.
var lastAttempt atomic.Int64

func newAttempt() string { return fmt.Sprintf("%016x", 0x5eed0000+lastAttempt.Add(1)) }

// request is one attempt of a client.
type request struct {
	method, host, path, id string
	headers                []string
	body                   string
}

// head returns the lines of the request's head.
func (q request) head() string {
	lines := []string{q.method + " " + q.path + " HTTP/1.1", "Host: " + q.host, "X-Acaciaproxy-Attempt-Id: " + q.id, fmt.Sprintf("Content-Length: %d", len(q.body))}
	return strings.Join(append(lines, q.headers...), "\r\n") + "\r\n\r\n"
}

// read reads one answer from a channel by a deadline.
func read(channel net.Conn, reader *bufio.Reader, deadline time.Time) (a answer) {
	_ = channel.SetReadDeadline(deadline)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err, endedAt: time.Now()}
	}
	a.status, a.header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	a.body, a.err, a.whole, a.endedAt = string(body), err, err == nil, time.Now()
	return a
}

// ask sends a request on a new channel and returns the answer.
func (r *rig) ask(n *node, q request, patience time.Duration) answer {
	channel, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		return answer{err: err, endedAt: time.Now()}
	}
	defer channel.Close()
	r.record("client sends %s %s to %s", q.id, q.path, n.name)
	if _, err := io.WriteString(channel, q.head()+q.body); err != nil {
		return answer{err: err, endedAt: time.Now()}
	}
	a := read(channel, bufio.NewReader(channel), time.Now().Add(patience))
	r.record("client gets for %s: %s", q.id, a)
	return a
}

// quiet is ask without a record.
func (r *rig) quiet(n *node, q request, patience time.Duration) answer {
	channel, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return answer{err: err, endedAt: time.Now()}
	}
	defer channel.Close()
	if _, err := io.WriteString(channel, q.head()+q.body); err != nil {
		return answer{err: err, endedAt: time.Now()}
	}
	return read(channel, bufio.NewReader(channel), time.Now().Add(patience))
}
