// Package tallier counts what a node's callers ask for: requests that wait,
// requests that run, and how many asked for each model.
package tallier

import (
	"sync"
	"time"
)

// Key is a model of a service, or an adapter of it.
type Key struct {
	Service, Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// RunKey is a model at a worker.
type RunKey struct{ Worker, Model string }

// Demand is the demand for one key.
type Demand struct {
	// Waiting is how many requests wait, Due when the first of them is late, Since when the first of them began.
	Waiting    int
	Due, Since time.Time
	// Asked counts the requests since the process started, Refused those that were refused because it is loaded
	// nowhere; neither falls.
	Asked, Refused int64
}

// wait is one waiting request.
type wait struct {
	// due is when it is late, since when it began to wait.
	due, since time.Time
}

// Tallier is safe for use by several goroutines.
type Tallier struct {
	// mu guards everything below.
	mu sync.Mutex
	// asked counts requests, refused those that were refused because the key is loaded nowhere.
	asked, refused map[Key]int64
	// waiting maps each key to the requests that wait, by ticket.
	waiting map[Key]map[int64]wait
	running map[RunKey]int
	// tickets numbers the waiting requests.
	tickets int64
	// changed is closed and replaced when a request begins to wait.
	changed chan struct{}
}

// New returns an empty count.
func New() *Tallier {
	return &Tallier{asked: map[Key]int64{}, refused: map[Key]int64{}, waiting: map[Key]map[int64]wait{}, running: map[RunKey]int{}, changed: make(chan struct{})}
}

// Ask counts a request.
func (t *Tallier) Ask(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked[key]++
}

// Refuse counts a request that was refused because the key is loaded nowhere.
func (t *Tallier) Refuse(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused[key]++
}

// Wait counts a request as waiting until the returned function is called.
func (t *Tallier) Wait(key Key, due time.Time) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tickets++
	ticket := t.tickets
	if t.waiting[key] == nil {
		t.waiting[key] = map[int64]wait{}
	}
	t.waiting[key][ticket] = wait{due: due, since: time.Now()}
	t.notify()
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.waiting[key], ticket)
		if len(t.waiting[key]) == 0 {
			delete(t.waiting, key)
		}
	}
}

// notify wakes everyone who waits for a change; the caller holds mu.
func (t *Tallier) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Run counts a request as running until the returned function is called.
func (t *Tallier) Run(key RunKey) (end func()) {
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

// Snapshot returns all counts as they are now.
func (t *Tallier) Snapshot() (map[Key]Demand, map[RunKey]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	demands := make(map[Key]Demand, len(t.asked))
	for key, asked := range t.asked {
		demands[key] = Demand{Asked: asked, Refused: t.refused[key]}
	}
	for key, tickets := range t.waiting {
		demand := demands[key]
		demand.Waiting = len(tickets)
		for _, waiting := range tickets {
			if demand.Due.IsZero() || waiting.due.Before(demand.Due) {
				demand.Due = waiting.due
			}
			if demand.Since.IsZero() || waiting.since.Before(demand.Since) {
				demand.Since = waiting.since
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
