// Package tallier counts a node's requests by model: how many arrived, how many
// were refused, and which wait or run now.
package tallier

import (
	"sync"
	"time"
)

// Key is a model of a service, or an adapter of that model.
type Key struct {
	Service, Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// RunKey is a model at a worker, given by the worker's ID and the model's name.
type RunKey struct{ Worker, Model string }

// Demand is the demand for one key.
type Demand struct {
	// Waiting is the number of waiting requests, EarliestDue is the first time at which one of them is late,
	// EarliestStart is when the first of them began to wait; both times are zero if none waits.
	Waiting                    int
	EarliestDue, EarliestStart time.Time
	// Requests counts the requests since the process started, Refused those that were refused because the key is loaded
	// nowhere; neither decreases.
	Requests, Refused int64
}

// waitingRequest holds the times of one waiting request.
type waitingRequest struct {
	// due is when the request is late, since when it began to wait.
	due, since time.Time
}

// Tallier holds the counts. It is safe for concurrent use.
type Tallier struct {
	// mu guards everything below.
	mu sync.Mutex
	// requests counts all requests, refused those that were refused because the key is loaded nowhere.
	requests, refused map[Key]int64
	// waiting holds the waiting requests by key and number; no inner map is empty.
	waiting map[Key]map[int64]waitingRequest
	// running counts the running requests; every count is positive.
	running map[RunKey]int
	// lastNumber is the number given to the latest waiting request.
	lastNumber int64
	// changed is closed and replaced when a request begins to wait.
	changed chan struct{}
}

// New returns a Tallier without requests.
func New() *Tallier {
	return &Tallier{requests: map[Key]int64{}, refused: map[Key]int64{}, waiting: map[Key]map[int64]waitingRequest{}, running: map[RunKey]int{}, changed: make(chan struct{})}
}

// CountArrival counts a request that arrived.
func (t *Tallier) CountArrival(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[key]++
}

// CountRefusal counts a request that was refused because the key is loaded nowhere.
func (t *Tallier) CountRefusal(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused[key]++
}

// StartWaiting counts a request as waiting until end is called. The request is late at due. Further calls of end have no effect.
func (t *Tallier) StartWaiting(key Key, due time.Time) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastNumber++
	number := t.lastNumber
	if t.waiting[key] == nil {
		t.waiting[key] = map[int64]waitingRequest{}
	}
	t.waiting[key][number] = waitingRequest{due: due, since: time.Now()}
	t.notify()
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.waiting[key], number)
		if len(t.waiting[key]) == 0 {
			delete(t.waiting, key)
		}
	}
}

// notify closes the channel returned by Changed and replaces it; the caller holds mu.
func (t *Tallier) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// StartRunning counts a request as running until end is called, which must be called once only.
func (t *Tallier) StartRunning(key RunKey) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[key]++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.running[key]--
		if t.running[key] == 0 {
			delete(t.running, key)
		}
	}
}

// Changed returns a channel that is closed when the next request begins to wait.
func (t *Tallier) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Snapshot returns a copy of all counts. A key is kept once a request for it has arrived; a RunKey is present only
// while requests run.
func (t *Tallier) Snapshot() (map[Key]Demand, map[RunKey]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	demands := make(map[Key]Demand, len(t.requests))
	for key, count := range t.requests {
		demands[key] = Demand{Requests: count, Refused: t.refused[key]}
	}
	for key, requests := range t.waiting {
		demand := demands[key]
		demand.Waiting = len(requests)
		for _, request := range requests {
			if demand.EarliestDue.IsZero() || request.due.Before(demand.EarliestDue) {
				demand.EarliestDue = request.due
			}
			if demand.EarliestStart.IsZero() || request.since.Before(demand.EarliestStart) {
				demand.EarliestStart = request.since
			}
		}
		demands[key] = demand
	}
	running := make(map[RunKey]int, len(t.running))
	for key, count := range t.running {
		running[key] = count
	}
	return demands, running
}
