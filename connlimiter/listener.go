package connlimiter

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Port describes what a listener is for.
type Port struct {
	// Name is its name in metrics and log lines.
	Name string
	// Connections is the largest number of open connections.
	Connections int
	// HTTP is set if the connections carry HTTP/1; only their number is bounded otherwise.
	HTTP bool
	// BodyLimit is set for servers that read bodies before they call a handler, which makes the connections take the space for these. Bodies that are
	// larger need none, since the server refuses them.
	BodyLimit int
}

// firstTime is how long a new connection may take to bring its first request before it is closed in favour of others.
const firstTime = time.Second

// Listener accepts connections within the limits. It is safe for concurrent use.
type Listener struct {
	net.Listener
	limiter *Limiter
	port    Port
	// mu guards everything below.
	mu   sync.Mutex
	open int
	// fresh holds the connections that have brought no complete head yet, waiting those that had a request and have brought no complete head since,
	// both as *connection with the one that has waited longest first.
	fresh, waiting *list.List
}

// Listen returns a listener for the connections of inner.
func (l *Limiter) Listen(inner net.Listener, port Port) *Listener {
	listener := &Listener{Listener: inner, limiter: l, port: port, fresh: list.New(), waiting: list.New()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners = append(l.listeners, listener)
	return listener
}

// Accept waits for the next connection. When too many are open, one without a request is closed in favour of the new one, or else the new one is
// closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConnection(accepted, l)
		evicted, admitted := l.admit(c)
		if evicted != nil {
			l.limiter.report(l.port.Name, "displaced", evicted.RemoteAddr().String())
			_ = evicted.Conn.Close() // Its server finds it closed, and closes it too.
		}
		if admitted {
			return c, nil
		}
		l.limiter.bodies.EndStalled() // Makes room for the next one.
		l.limiter.report(l.port.Name, "connections", accepted.RemoteAddr().String())
		_ = accepted.Close() // Nothing was read from it.
	}
}

// admit adds a new connection. If there are too many, it takes one out that must be closed, or does not add the new one.
func (l *Listener) admit(c *connection) (evicted *connection, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.port.Connections {
		place := l.longest(c.since)
		if place == nil { // All have a request, or none carries HTTP/1.
			return nil, false
		}
		evicted = place.Value.(*connection)
		evicted.remove()
	}
	l.open++
	if !l.port.HTTP {
		return evicted, true
	}
	c.list = l.fresh
	c.place = l.fresh.PushBack(c)
	return evicted, true
}

// longest returns the place of the connection that should be closed in favour of another. The lock is held.
func (l *Listener) longest(now time.Time) *list.Element {
	first := l.fresh.Front()
	if first != nil && now.Sub(first.Value.(*connection).since) >= firstTime {
		return first
	}
	if waiting := l.waiting.Front(); waiting != nil {
		return waiting
	}
	return first
}

// remove removes a connection from the open ones, once. The listener's lock is held.
func (c *connection) remove() {
	if c.removed {
		return
	}
	c.removed = true
	c.listener.open--
	c.unlist()
}

// unlist takes a connection from the list that it is in. The listener's lock is held.
func (c *connection) unlist() {
	if c.place != nil {
		c.list.Remove(c.place)
		c.place = nil
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// ObserveState is the ConnState of an http.Server whose listener is a Listener.
func ObserveState(accepted net.Conn, state http.ConnState) {
	if c, known := accepted.(*connection); known && state == http.StateIdle {
		c.setIdle()
	}
}

// ObserveFastState is the ConnState of a fasthttp.Server whose listener is a Listener.
func ObserveFastState(accepted net.Conn, state fasthttp.ConnState) {
	if c, known := accepted.(*connection); known && state == fasthttp.StateIdle {
		c.setIdle()
	}
}
