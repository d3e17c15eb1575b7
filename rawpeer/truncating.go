package rawpeer

import (
	"bytes"
	"fmt"
	"net"
	"time"
)

// Truncation is how a TruncatingWorker responds to every request.
type Truncation struct {
	// Head is the status line and further headers, without the last line end. BodyBytes is the size of the body that follows.
	Head      string
	BodyBytes int
	// Reads is how many bytes of the request are read before the response is written.
	Reads int
	// Ends is how the connection ends: "reset", "late reset" after 30 ms, "close" of the sending side only, "stays" open, or "whole" without a reset.
	Ends string
}

// TruncatingWorker is a worker whose responses may break off. It is safe for concurrent use.
type TruncatingWorker struct {
	listener   net.Listener
	truncation Truncation
	// idHeader is the name of the header that identifies requests; it is sent back.
	idHeader string
	// signature is a further header line of every response, or empty.
	signature string
}

// lateReset is the pause before a late reset, openTime for how long a connection that the worker does not end stays open.
const (
	lateReset = 30 * time.Millisecond
	openTime  = 3 * time.Second
)

// NewTruncatingWorker starts a worker on a loopback address.
func NewTruncatingWorker(truncation Truncation, idHeader, signature string) (*TruncatingWorker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a truncating worker: %w", err)
	}
	w := &TruncatingWorker{listener: listener, truncation: truncation, idHeader: idHeader, signature: signature}
	go w.accept()
	return w, nil
}

// Address returns the IP and port of the worker.
func (w *TruncatingWorker) Address() string { return w.listener.Addr().String() }

// Close stops the worker.
func (w *TruncatingWorker) Close() error { return w.listener.Close() }

func (w *TruncatingWorker) accept() {
	for {
		connection, err := w.listener.Accept()
		if err != nil {
			return // The worker was closed.
		}
		go w.respond(connection.(*net.TCPConn))
	}
}

// respond reads a part of one request, writes the response and ends the connection. Errors need no handling: the client has ended the connection then.
func (w *TruncatingWorker) respond(connection *net.TCPConn) {
	request := make([]byte, 0, w.truncation.Reads+1<<16)
	for len(request) < w.truncation.Reads {
		n, err := connection.Read(request[len(request):cap(request)])
		if err != nil {
			break
		}
		request = request[:len(request)+n]
	}
	id := ""
	if _, rest, found := bytes.Cut(request, []byte("\r\n"+w.idHeader+": ")); found {
		value, _, _ := bytes.Cut(rest, []byte("\r\n"))
		id = string(value)
	}
	head := fmt.Sprintf("%s\r\n%s: %s\r\n", w.truncation.Head, w.idHeader, id)
	if w.signature != "" {
		head += w.signature + "\r\n"
	}
	_, _ = connection.Write(appendFiller([]byte(head+"\r\n"), w.truncation.BodyBytes))
	switch w.truncation.Ends {
	case "late reset":
		time.Sleep(lateReset)
		_ = connection.SetLinger(0)
	case "reset":
		_ = connection.SetLinger(0)
	case "close":
		_ = connection.CloseWrite()
		time.Sleep(openTime)
	case "stays":
		time.Sleep(openTime)
	}
	_ = connection.Close()
}
