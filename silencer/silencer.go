// Package silencer provides the stand-ins with a listener whose open connections
// can permanently stop carrying data without being closed, while new connections
// work. The same happens when a stateful network device between two hosts, such
// as a firewall, loses its entry for a connection.
package silencer

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener wraps a listener and keeps track of the open connections that it has accepted. It is safe for concurrent use.
type Listener struct {
	net.Listener
	// mu guards conns.
	mu sync.Mutex
	// conns holds the accepted connections that this side has not closed.
	conns map[*conn]struct{}
}

// New returns a Listener that accepts its connections from inner.
func New(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection and returns it. Its errors are those of the wrapped listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{Conn: inner, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[accepted] = struct{}{}
	l.mu.Unlock()
	return accepted, nil
}

// Silence makes every open connection silent: reads block until the connection is closed, and written data is dropped.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// Reset closes every open connection with a TCP reset.
func (l *Listener) Reset() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// conn is an accepted connection that can be made silent.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
	// closeOnce guards the closing of closed, since Close may be called more than once.
	closeOnce sync.Once
	// closed is closed by Close; it ends reads that block because the connection is silent.
	closed chan struct{}
}

// Read reads from the connection. If the connection is silent, Read discards what it has read, waits until the connection is
// closed and returns net.ErrClosed; read errors are returned as they are.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection. If the connection is silent, it sends nothing and reports success.
func (c *conn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection and removes it from the listener's open connections.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
