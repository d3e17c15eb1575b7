// Package silencer gives the stand-ins a listener whose open connections can
// be made silent for good while new connections work, as when a stateful
// device between two hosts has lost its entry for a connection.
package silencer

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener wraps a listener and remembers its open connections.
type Listener struct {
	net.Listener
	// mu guards conns.
	mu sync.Mutex
	// conns holds every accepted connection that is not closed.
	conns map[*conn]struct{}
}

// New wraps a listener.
func New(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: map[*conn]struct{}{}}
}

// Accept returns the next connection.
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

// Silence makes every open connection silent: what arrives is ignored and what is written is lost.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// Cut closes every open connection without a goodbye.
func (l *Listener) Cut() {
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

// conn is a connection that can go silent.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
	once     sync.Once
	// closed is closed together with the connection.
	closed chan struct{}
}

// Read blocks until the connection is closed once it is silent.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write claims success and sends nothing once the connection is silent.
func (c *conn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
