// Package asker asks the zone's leader for units that are loaded nowhere. All
// requests of a node that wait for one unit share one question at a time.
package asker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// Limits of one question.
const (
	questionTime = 750 * time.Millisecond // A leader answers within 250 ms.
	questionGap  = 50 * time.Millisecond
	// homeTime bounds a question to another zone, which may be cut off; a leader answers within 250 ms.
	homeTime = 500 * time.Millisecond
	// peekTime bounds the question to the own zone's leader that comes first; it answers from memory.
	peekTime = 100 * time.Millisecond
	// leaderlessTime is how long requests wait for a zone to have a leader. A
	// successor needs a term of 3 s and three polls of half a second at most.
	leaderlessTime = 8 * time.Second
	// leaderlessRetry is when a request refused for want of a leader may come back.
	leaderlessRetry = 3 * time.Second
)

// RefusedError says that a unit will not be ready by a request's deadline.
type RefusedError struct {
	// reason says why.
	reason string
	// retryAt is when the request may come back.
	retryAt time.Time
}

// NewRefusedError returns a refusal.
func NewRefusedError(reason string, retryAt time.Time) error {
	return &RefusedError{reason: reason, retryAt: retryAt}
}

// Error returns the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("not loaded in time: %s", e.reason) }

// Reason returns why the request is refused.
func (e *RefusedError) Reason() string { return e.reason }

// RetryAt returns when the request may come back.
func (e *RefusedError) RetryAt() time.Time { return e.retryAt }

// waiter is one request that waits for a unit.
type waiter struct {
	deadline time.Time
	class    string
	request  string
	// result receives nil or a *RefusedError; it has room for one.
	result chan error
}

// flight is the shared question for one unit.
type flight struct {
	waiters map[*waiter]bool
	// leaderSeenAt is when a leader last answered.
	leaderSeenAt time.Time
	// alone is set once the home zone's leader did not answer, or refused; the own zone's leader decides then.
	alone bool
}

// Asker is safe for use by several goroutines.
type Asker struct {
	node string
	// own returns the client of the own zone's leader, and home that of the leader
	// of a unit's home zone; both return an error when there is none.
	own  func() (nodewire.NodeClient, error)
	home func(unit string) (nodewire.NodeClient, error)
	// ready is told which workers have a unit ready.
	ready func(unit string, workers []string)
	// version returns the configuration version in force.
	version func() int64
	// mu guards flights.
	mu      sync.Mutex
	flights map[target]*flight
}

// New returns an asker for a node.
func New(node string, own func() (nodewire.NodeClient, error), home func(unit string) (nodewire.NodeClient, error), ready func(unit string, workers []string), version func() int64) *Asker {
	return &Asker{node: node, own: own, home: home, ready: ready, version: version, flights: map[target]*flight{}}
}

// Request describes a request that waits.
type Request struct {
	Unit     string
	Class    string
	ID       string
	Deadline time.Time
	// Worker is the only worker that will do, or empty for any.
	Worker string
}

// target is what a question is about.
type target struct {
	unit, worker string
}

// Wait returns once the unit is ready somewhere in the zone, or with a
// *RefusedError as soon as it is certain that it will not be in time.
func (a *Asker) Wait(request Request) error {
	w := &waiter{deadline: request.Deadline, class: request.Class, request: request.ID, result: make(chan error, 1)}
	a.mu.Lock()
	about := target{unit: request.Unit, worker: request.Worker}
	f, running := a.flights[about]
	if !running {
		f = &flight{waiters: map[*waiter]bool{}, leaderSeenAt: time.Now()}
		a.flights[about] = f
	}
	f.waiters[w] = true
	a.mu.Unlock()
	if !running {
		go a.fly(about, f)
	}
	select {
	case err := <-w.result:
		return err
	case <-time.After(time.Until(request.Deadline)):
		a.mu.Lock()
		delete(f.waiters, w)
		a.mu.Unlock()
		return NewRefusedError("deadline passed while loading", time.Now().Add(time.Second))
	}
}

// fly asks until no request waits for the unit.
func (a *Asker) fly(about target, f *flight) {
	f.alone = about.worker != ""
	if !f.alone && a.isReadyHere(about, f) {
		return
	}
	for {
		latest, class, id, waiting := a.furthest(about, f)
		if !waiting {
			return
		}
		asked := time.Now()
		reply, err := a.ask(about, f, latest, class, id)
		if !f.alone && (err != nil || reply.GetVerdict() == nodewire.Verdict_VERDICT_NOT_LEADING || reply.GetElsewhere()) {
			f.alone = true
			continue
		}
		a.take(about.unit, f, reply, err)
		time.Sleep(questionGap - time.Since(asked))
	}
}

// isReadyHere asks the own zone's leader whether the unit is ready in the zone,
// which this node may not have heard yet, before another zone loads it once more.
// It ends the flight if so.
func (a *Asker) isReadyHere(about target, f *flight) bool {
	client, err := a.own()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), peekTime)
	defer cancel()
	reply, err := client.Ask(ctx, &nodewire.AskRequest{Unit: about.unit, Node: a.node, Peek: true, Config: a.version()})
	if err != nil || reply.GetVerdict() != nodewire.Verdict_VERDICT_READY {
		return false
	}
	a.ready(about.unit, reply.GetWorkers())
	a.mu.Lock()
	delete(a.flights, about)
	a.mu.Unlock()
	a.finish(f, func(*waiter) bool { return true }, nil)
	return true
}

// furthest returns the latest deadline among the waiters and the most urgent
// class, and ends the flight when nobody waits.
func (a *Asker) furthest(about target, f *flight) (latest time.Time, class, id string, waiting bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(f.waiters) == 0 {
		delete(a.flights, about)
		return latest, "", "", false
	}
	for w := range f.waiters {
		if w.deadline.After(latest) {
			latest, class, id = w.deadline, w.class, w.request
		}
	}
	return latest, class, id, true
}

// ask puts the question to the leader of the unit's home zone, or to the own zone's.
func (a *Asker) ask(about target, f *flight, deadline time.Time, class, id string) (*nodewire.AskReply, error) {
	client, err := a.own()
	limit := questionTime
	if !f.alone {
		client, err = a.home(about.unit)
		limit = homeTime
	}
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return client.Ask(ctx, &nodewire.AskRequest{
		Unit: about.unit, Worker: about.worker, Node: a.node, RemainingMs: time.Until(deadline).Milliseconds(),
		Class: class, Request: id, Config: a.version(),
	})
}

// take hands a reply to the waiters that it decides.
func (a *Asker) take(unit string, f *flight, reply *nodewire.AskReply, err error) {
	now := time.Now()
	if err != nil || reply.GetVerdict() == nodewire.Verdict_VERDICT_NOT_LEADING {
		if now.Sub(f.leaderSeenAt) > leaderlessTime {
			a.refuse(f, func(*waiter) bool { return true }, "zone has no leader", now.Add(leaderlessRetry))
		}
		return
	}
	f.leaderSeenAt = now
	retryAt := now.Add(time.Duration(reply.GetRetryMs()) * time.Millisecond)
	switch reply.GetVerdict() {
	case nodewire.Verdict_VERDICT_READY:
		a.ready(unit, reply.GetWorkers())
		a.finish(f, func(*waiter) bool { return true }, nil)
	case nodewire.Verdict_VERDICT_REFUSED:
		a.refuse(f, func(*waiter) bool { return true }, reply.GetReason(), retryAt)
	case nodewire.Verdict_VERDICT_WAIT:
		a.refuse(f, func(w *waiter) bool { return retryAt.After(w.deadline) }, "load would end too late", retryAt)
	}
}

func (a *Asker) refuse(f *flight, concerns func(*waiter) bool, reason string, retryAt time.Time) {
	a.finish(f, concerns, NewRefusedError(reason, retryAt))
}

func (a *Asker) finish(f *flight, concerns func(*waiter) bool, result error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range f.waiters {
		if concerns(w) {
			w.result <- result
			delete(f.waiters, w)
		}
	}
}
