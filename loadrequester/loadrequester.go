// Package loadrequester asks zone leaders to load units that no worker of the zone has ready,
// with the Ask call. All requests of a node that wait for the same unit share one call
// at a time.
//
// Each unit has a home zone whose leader is asked first. The leader of the local
// zone is asked if the home zone's leader does not reply, or refuses a unit that
// another zone may load.
package loadrequester

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// Times of Ask calls.
const (
	// localTimeout limits a call to the local zone's leader; a leader replies within 250 ms.
	localTimeout = 750 * time.Millisecond
	// askInterval is the shortest time from the start of one call to that of the next.
	askInterval = 50 * time.Millisecond
	// homeTimeout limits a call to the leader of the home zone, which may be unreachable; a leader replies within 250 ms.
	homeTimeout = 500 * time.Millisecond
	// peekTimeout limits the first call, to the local zone's leader, which replies from memory without waiting.
	peekTimeout = 100 * time.Millisecond
	// noLeaderTimeout is how long requests wait for a zone to have a leader. A new
	// leader needs a term of 3 s and three polls of half a second at most.
	noLeaderTimeout = 8 * time.Second
	// noLeaderRetryAfter is the time after which a request that was refused for lack of a leader may be retried.
	noLeaderRetryAfter = 3 * time.Second
)

// RefusedError says that a unit will not be ready by a request's deadline.
type RefusedError struct {
	// reason is part of the message to the caller.
	reason string
	// retryAt is the earliest time at which the request may be retried.
	retryAt time.Time
}

// NewRefusedError returns a *RefusedError with a reason and the earliest time of a retry.
func NewRefusedError(reason string, retryAt time.Time) error {
	return &RefusedError{reason: reason, retryAt: retryAt}
}

// Error returns the message to the caller, with the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("not loaded in time: %s", e.reason) }

// Reason returns why the unit will not be ready in time.
func (e *RefusedError) Reason() string { return e.reason }

// RetryAt returns the earliest time at which the request may be retried.
func (e *RefusedError) RetryAt() time.Time { return e.retryAt }

// waiter is one request that waits for a unit.
type waiter struct {
	deadline time.Time
	class    string
	// requestID is the ID of the request.
	requestID string
	// result receives nil or a *RefusedError. It has room for the one result that is sent, so that sending never blocks.
	result chan error
}

// sharedCall is the series of Ask calls that requests waiting for the same unit share.
type sharedCall struct {
	// waiters are the waiting requests; Requester.mu guards them.
	waiters map[*waiter]bool
	// leaderSeenAt is when a leader last replied; it starts at the time of the first request.
	leaderSeenAt time.Time
	// localLeaderDecides is set once the home zone's leader did not reply, or refused a unit that another zone may load;
	// the local zone's leader is asked from then on. It is set from the start for requests that need a certain worker.
	localLeaderDecides bool
}

// Requester waits for units on behalf of requests. It is safe for concurrent use.
type Requester struct {
	// node is the name of this node.
	node string
	// localLeader returns the client of the local zone's leader, and homeLeader that of the
	// leader of a unit's home zone; both return an error if there is no leader.
	localLeader func() (nodewire.NodeClient, error)
	homeLeader  func(unit string) (nodewire.NodeClient, error)
	// onReady is called with the workers that have a unit ready.
	onReady func(unit string, workers []string)
	// configVersion returns the configuration version in force.
	configVersion func() int64
	// mu guards calls and their waiters.
	mu sync.Mutex
	// calls maps targets to the shared calls that have waiters.
	calls map[target]*sharedCall
}

// New returns a requester for a node. localLeader and homeLeader return the client of the
// leader of the local zone and of a unit's home zone, or an error if there is no leader;
// onReady is called with the workers that have a unit ready; configVersion returns the
// configuration version in force.
func New(node string, localLeader func() (nodewire.NodeClient, error), homeLeader func(unit string) (nodewire.NodeClient, error), onReady func(unit string, workers []string), configVersion func() int64) *Requester {
	return &Requester{node: node, localLeader: localLeader, homeLeader: homeLeader, onReady: onReady, configVersion: configVersion, calls: map[target]*sharedCall{}}
}

// Request is a request that waits for a unit.
type Request struct {
	Unit     string
	Class    string
	ID       string
	Deadline time.Time
	// Worker is the only worker that may serve the request, or empty for any.
	Worker string
}

// target is what an Ask call asks for; worker is empty for any worker.
type target struct {
	unit, worker string
}

// Wait returns nil once the unit is ready on a worker of the local or the home zone, or
// a *RefusedError as soon as it is certain that the unit will not be ready in time.
func (r *Requester) Wait(request Request) error {
	w := &waiter{deadline: request.Deadline, class: request.Class, requestID: request.ID, result: make(chan error, 1)}
	r.mu.Lock()
	requested := target{unit: request.Unit, worker: request.Worker}
	call, running := r.calls[requested]
	if !running {
		call = &sharedCall{waiters: map[*waiter]bool{}, leaderSeenAt: time.Now()}
		r.calls[requested] = call
	}
	call.waiters[w] = true
	r.mu.Unlock()
	if !running {
		go r.askUntilDone(requested, call)
	}
	select {
	case err := <-w.result:
		return err
	case <-time.After(time.Until(request.Deadline)):
		r.mu.Lock()
		delete(call.waiters, w)
		r.mu.Unlock()
		return NewRefusedError("deadline passed while loading", time.Now().Add(time.Second))
	}
}

// askUntilDone asks leaders until no request waits for the unit.
func (r *Requester) askUntilDone(requested target, call *sharedCall) {
	call.localLeaderDecides = requested.worker != ""
	if !call.localLeaderDecides && r.readyInLocalZone(requested, call) {
		return
	}
	for {
		latest, class, requestID, waiting := r.latestWaiter(requested, call)
		if !waiting {
			return
		}
		sentAt := time.Now()
		reply, err := r.ask(requested, call, latest, class, requestID)
		if !call.localLeaderDecides && (err != nil || reply.GetVerdict() == nodewire.Verdict_VERDICT_NOT_LEADING || reply.GetElsewhere()) {
			call.localLeaderDecides = true
			continue
		}
		r.handleReply(requested.unit, call, reply, err)
		time.Sleep(askInterval - time.Since(sentAt))
	}
}

// readyInLocalZone asks the local zone's leader whether the unit is ready in the zone,
// which this node may not know yet, so that the home zone does not load it a second
// time. If it is ready, all waiters get their result and the shared call ends.
func (r *Requester) readyInLocalZone(requested target, call *sharedCall) bool {
	client, err := r.localLeader()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), peekTimeout)
	defer cancel()
	reply, err := client.Ask(ctx, &nodewire.AskRequest{Unit: requested.unit, Node: r.node, Peek: true, Config: r.configVersion()})
	if err != nil || reply.GetVerdict() != nodewire.Verdict_VERDICT_READY {
		return false
	}
	r.onReady(requested.unit, reply.GetWorkers())
	r.mu.Lock()
	delete(r.calls, requested)
	r.mu.Unlock()
	r.finish(call, func(*waiter) bool { return true }, nil)
	return true
}

// latestWaiter returns the deadline, class and ID of the waiting request with the latest
// deadline. It ends the shared call if no request waits.
func (r *Requester) latestWaiter(requested target, call *sharedCall) (latest time.Time, class, requestID string, waiting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(call.waiters) == 0 {
		delete(r.calls, requested)
		return latest, "", "", false
	}
	for w := range call.waiters {
		if w.deadline.After(latest) {
			latest, class, requestID = w.deadline, w.class, w.requestID
		}
	}
	return latest, class, requestID, true
}

// ask asks the leader of the unit's home zone, or that of the local zone if it decides.
func (r *Requester) ask(requested target, call *sharedCall, deadline time.Time, class, requestID string) (*nodewire.AskReply, error) {
	client, err := r.localLeader()
	timeout := localTimeout
	if !call.localLeaderDecides {
		client, err = r.homeLeader(requested.unit)
		timeout = homeTimeout
	}
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return client.Ask(ctx, &nodewire.AskRequest{
		Unit: requested.unit, Worker: requested.worker, Node: r.node, RemainingMs: time.Until(deadline).Milliseconds(),
		Class: class, Request: requestID, Config: r.configVersion(),
	})
}

// handleReply passes a leader's reply to the waiters whose wait it ends.
func (r *Requester) handleReply(unit string, call *sharedCall, reply *nodewire.AskReply, err error) {
	now := time.Now()
	if err != nil || reply.GetVerdict() == nodewire.Verdict_VERDICT_NOT_LEADING {
		if now.Sub(call.leaderSeenAt) > noLeaderTimeout {
			r.refuse(call, func(*waiter) bool { return true }, "zone has no leader", now.Add(noLeaderRetryAfter))
		}
		return
	}
	call.leaderSeenAt = now
	retryAt := now.Add(time.Duration(reply.GetRetryMs()) * time.Millisecond)
	switch reply.GetVerdict() {
	case nodewire.Verdict_VERDICT_READY:
		r.onReady(unit, reply.GetWorkers())
		r.finish(call, func(*waiter) bool { return true }, nil)
	case nodewire.Verdict_VERDICT_REFUSED:
		r.refuse(call, func(*waiter) bool { return true }, reply.GetReason(), retryAt)
	case nodewire.Verdict_VERDICT_WAIT:
		r.refuse(call, func(w *waiter) bool { return retryAt.After(w.deadline) }, "load would end too late", retryAt)
	}
}

// refuse ends the wait of the matching waiters with a *RefusedError.
func (r *Requester) refuse(call *sharedCall, matches func(*waiter) bool, reason string, retryAt time.Time) {
	r.finish(call, matches, NewRefusedError(reason, retryAt))
}

// finish ends the wait of the matching waiters with a result.
func (r *Requester) finish(call *sharedCall, matches func(*waiter) bool, result error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range call.waiters {
		if matches(w) {
			w.result <- result
			delete(call.waiters, w)
		}
	}
}
