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
	// Connections is the largest number of open connections; an eighth more are open while others, whose requests were refused for them, end.
	Connections int
	// HTTP is set if the connections carry HTTP/1; only their number is bounded otherwise.
	HTTP bool
	// BodyLimit is set for servers that read bodies before they call a handler, which makes the connections take the space for these. Bodies that are
	// larger need none, since the server refuses them.
	BodyLimit int
	// HandlersHold is set if the port's handlers take the space for bodies. No more than one port of a limiter has such handlers.
	HandlersHold bool
	// BodyCopies is how many copies of such a body the server and its handlers hold at most; 0 stands for one.
	BodyCopies int
}

// firstTime is how long a new connection may take to bring its first request before it is closed in favour of others.
const firstTime = time.Second

// spareDivisor gives the part of Port.Connections that may be open beyond it.
const spareDivisor = 8

const (
	// leastTime is how long a new connection, or a body, is left to bring its first bytes, or the next ones, when there are too many connections.
	leastTime = 10 * time.Millisecond
	// placeWait bounds the wait of a new connection for another to give way.
	placeWait = 2 * time.Second
	// retryPause is the least pause before a new connection tries again without a change of the others.
	retryPause = time.Millisecond
)

// Listener accepts connections within the limits. It is safe for concurrent use.
type Listener struct {
	net.Listener
	limiter *Limiter
	port    Port
	// mu guards everything below.
	mu   sync.Mutex
	open int
	// changed is closed, and then nil, when a connection closes or has brought a head; nil while Accept does not wait for that.
	changed chan struct{}
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

// Accept waits for the next connection. When too many are open, one that has not sent a whole request gives way: one without a request is closed, or the
// body that has made no progress for the longest time is ended, with a refusal. The new one is closed if all have sent a whole request.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConnection(accepted, l)
		if l.admit(c) {
			return c, nil
		}
		l.limiter.report(l.port.Name, "connections", accepted.RemoteAddr().String())
		_ = accepted.Close() // Nothing was read from it.
	}
}

// admit adds a new connection. If there are too many, it makes another give way and waits until that has happened; callers that come meanwhile wait in the
// order of their arrival. It does not add the new one if no other gives way in time.
func (l *Listener) admit(c *connection) bool {
	bodyEnded := false
	for deadline := time.Now().Add(placeWait); ; {
		evicted, wait, admitted := l.tryAdmit(c, &bodyEnded)
		if evicted != nil {
			l.limiter.report(l.port.Name, "displaced", evicted.RemoteAddr().String())
			_ = evicted.Conn.Close() // Its server finds it closed, and closes it too.
		}
		if admitted {
			return true
		}
		if wait.changed == nil || !time.Now().Before(deadline) {
			return false
		}
		if wait.until.After(deadline) {
			wait.until = deadline
		}
		timer := time.NewTimer(time.Until(wait.until))
		select {
		case <-wait.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// placeWaiting is a wait for a place for a new connection.
type placeWaiting struct {
	// changed is closed when a connection closes or has brought a head; nil if no place can come free. Until is when to try again without a change.
	changed chan struct{}
	until   time.Time
}

// tryAdmit adds a new connection if there is a place, or makes another connection give way: evicted, if not nil, must be closed. BodyEnded is set
// once it has ended a body.
func (l *Listener) tryAdmit(c *connection, bodyEnded *bool) (evicted *connection, wait placeWaiting, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.open >= l.port.Connections && !*bodyEnded && l.port.HTTP {
		var retryAt time.Time
		evicted, *bodyEnded, retryAt = l.displace(now)
		if !retryAt.IsZero() {
			return nil, placeWaiting{changed: l.awaitChange(), until: retryAt}, false
		}
	}
	most := l.port.Connections
	if *bodyEnded {
		most += l.port.Connections / spareDivisor
	}
	if l.open < most {
		l.open++
		if l.port.HTTP {
			c.list = l.fresh
			c.place = l.fresh.PushBack(c)
		}
		return evicted, placeWaiting{}, true
	}
	if *bodyEnded {
		return nil, placeWaiting{changed: l.awaitChange(), until: now.Add(placeWait)}, false
	}
	if evicted != nil { // The connections of ended bodies are still open beyond the port's places, so another one must give way too.
		return evicted, placeWaiting{changed: l.awaitChange(), until: now}, false
	}
	return nil, placeWaiting{}, false
}

// displace makes a connection without a whole request give way: it takes out one that must be closed, or ends the body of one. RetryAt is when one may give
// way if none may yet; it is zero if there is no such connection. The lock is held.
func (l *Listener) displace(now time.Time) (evicted *connection, bodyEnded bool, retryAt time.Time) {
	fresh, freshFor := l.silent(), time.Duration(0)
	if fresh != nil {
		freshFor = now.Sub(fresh.Value.(*connection).since)
	}
	if freshFor >= firstTime {
		return l.takeOut(fresh), false, time.Time{}
	}
	if waiting := l.waiting.Front(); waiting != nil {
		return l.takeOut(waiting), false, time.Time{}
	}
	if ended, _ := l.endBody(now.Add(-stallTime)); ended {
		return nil, true, time.Time{}
	}
	if freshFor >= leastTime {
		return l.takeOut(fresh), false, time.Time{}
	}
	if l.fresh.Len() > 0 {
		return nil, false, now.Add(max(leastTime-freshFor, retryPause))
	}
	ended, growing := l.endBody(now.Add(-leastTime))
	if growing && !ended {
		return nil, false, now.Add(retryPause)
	}
	return nil, ended, time.Time{}
}

// endBody ends the body of this port that has made no progress for the longest time, if its last progress was before a time. It reports whether there was
// one, and whether any body of the port is not whole. The lock is held.
func (l *Listener) endBody(before time.Time) (ended, growing bool) {
	switch {
	case l.port.HandlersHold:
		return l.limiter.bodies.endBefore(nil, before)
	case l.port.BodyLimit > 0:
		return l.limiter.bodies.endBefore(l, before)
	}
	return false, false
}

// silent returns the place of the new connection that has waited longest among those that the server has read all bytes of; nil without one. What the
// others sent waits for a processor only. The lock is held.
func (l *Listener) silent() *list.Element {
	for place := l.fresh.Front(); place != nil; place = place.Next() {
		if !place.Value.(*connection).hasUnread() {
			return place
		}
	}
	return nil
}

// takeOut removes the connection at a place, which must be closed. The lock is held.
func (l *Listener) takeOut(place *list.Element) *connection {
	c := place.Value.(*connection)
	c.remove()
	return c
}

// awaitChange returns a channel that is closed at the next change of the connections. The lock is held.
func (l *Listener) awaitChange() chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// change tells Accept, if it waits, that the connections have changed. The lock is held.
func (l *Listener) change() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// remove removes a connection from the open ones, once. The listener's lock is held.
func (c *connection) remove() {
	if c.removed {
		return
	}
	c.removed = true
	c.listener.open--
	c.listener.change()
	c.unlist()
}

// unlist takes a connection from the list that it is in. The listener's lock is held.
func (c *connection) unlist() {
	if c.place != nil {
		c.list.Remove(c.place)
		c.place = nil
		c.listener.change()
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
