package rawpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Worker answers every request in the same way.
type Worker struct {
	listener net.Listener
	// answer reads from a connection and writes to it; the connection is closed when it returns.
	answer func(connection net.Conn)
	// answering counts the connections that are being answered.
	answering atomic.Int64
}

// Floods returns the number of connections to which the worker is still writing.
func (w *Worker) Floods() int64 { return w.answering.Load() }

// NewWorker starts a worker on a free loopback port that writes a response, as bytes of HTTP, as soon as the first byte of a request has arrived, and
// closes the connection with the rest unread after a pause. The client sees a reset.
func NewWorker(response string, pause time.Duration) (*Worker, error) {
	return newWorker(func(connection net.Conn) {
		if _, err := connection.Read(make([]byte, 1)); err != nil {
			return // The client closed the connection.
		}
		if _, err := connection.Write([]byte(response)); err != nil {
			return // The client has left.
		}
		time.Sleep(pause)
	})
}

// NewRepeatingWorker starts a worker that writes a refusal, as bytes of HTTP, to the first request on the first connection, and a copy of it to each later one
// there, which it runs. On other connections, and to probes (GET), it writes what answer returns.
func NewRepeatingWorker(refusal, repeated string, answer func(request *http.Request) string) (*Worker, error) {
	var connections atomic.Int64
	return newWorker(func(connection net.Conn) {
		first, next := connections.Add(1) == 1, refusal
		for reader := bufio.NewReader(connection); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return // The client closed the connection.
			}
			response := next
			if !first || request.Method == http.MethodGet {
				response = answer(request)
			} else {
				next = repeated
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return // The client has left.
			}
			if _, err := connection.Write([]byte(response)); err != nil {
				return // The client has left.
			}
		}
	})
}

func newWorker(answer func(net.Conn)) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the worker: %w", err)
	}
	w := &Worker{listener: listener, answer: answer}
	go w.serve()
	return w, nil
}

// Address returns the address of the worker, as "host:port".
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close stops the worker.
func (w *Worker) Close() { _ = w.listener.Close() } // Fails only if it is closed already.

func (w *Worker) serve() {
	for {
		connection, err := w.listener.Accept()
		if err != nil {
			return // The listener is closed.
		}
		go func() {
			defer func() { _ = connection.Close() }()
			w.answering.Add(1)
			defer w.answering.Add(-1)
			w.answer(connection)
		}()
	}
}
