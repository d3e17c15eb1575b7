// Package demandcounter counts a node's requests by model: how many arrived, how many
// were refused, and which wait or run now.
package demandcounter

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

// RunKey is a model on a worker, given by the worker's ID and the model's name.
type RunKey struct{ Worker, Model string }

// Demand is the demand for one key.
type Demand struct {
	// Waiting is the number of waiting requests, EarliestDue the time at which the first of them becomes late,
	// EarliestStart the time at which the first of them began to wait; both times are zero if none waits.
	Waiting                    int
	EarliestDue, EarliestStart time.Time
	// Requests counts the requests since the process started, Refused those that were refused because no worker has the
	// model or adapter loaded, or those that have it are full; neither decreases.
	Requests, Refused int64
}

// waitingRequest holds the times of one waiting request.
type waitingRequest struct {
	// due is when the request becomes late, since when it began to wait.
	due, since time.Time
}

// Counter holds the counts. It is safe for concurrent use.
type Counter struct {
	// mu guards everything below.
	mu sync.Mutex
	// requests counts all requests, refused those that were refused because no worker has the model or adapter loaded, or those that
	// have it are full.
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

// New returns a Counter without requests.
func New() *Counter {
	return &Counter{requests: map[Key]int64{}, refused: map[Key]int64{}, waiting: map[Key]map[int64]waitingRequest{}, running: map[RunKey]int{}, changed: make(chan struct{})}
}

// CountArrival counts a request that arrived.
func (c *Counter) CountArrival(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[key]++
}

// CountRefusal counts a request that was refused because no worker has the model or adapter loaded, or those that have it are full.
func (c *Counter) CountRefusal(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[key]++
}

// StartWaiting counts a request as waiting until end is called. The request becomes late at due. Further calls of end have no effect.
func (c *Counter) StartWaiting(key Key, due time.Time) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.requests[key]; !found {
		c.requests[key] = 0 // Arrivals of passed-on requests are counted elsewhere.
	}
	c.lastNumber++
	number := c.lastNumber
	if c.waiting[key] == nil {
		c.waiting[key] = map[int64]waitingRequest{}
	}
	c.waiting[key][number] = waitingRequest{due: due, since: time.Now()}
	c.notify()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.waiting[key], number)
		if len(c.waiting[key]) == 0 {
			delete(c.waiting, key)
		}
	}
}

// notify closes the channel returned by Changed and replaces it; the caller holds mu.
func (c *Counter) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// StartRunning counts a request as running until end is called, which must be called once only.
func (c *Counter) StartRunning(key RunKey) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[key]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.running[key]--
		if c.running[key] == 0 {
			delete(c.running, key)
		}
	}
}

// Changed returns a channel that is closed when the next request begins to wait.
func (c *Counter) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Snapshot returns a copy of all counts. A key is kept once a request for it has arrived or waited, so that a reader of changes sees that none waits
// any more; a RunKey is present only while requests run.
func (c *Counter) Snapshot() (map[Key]Demand, map[RunKey]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	demands := make(map[Key]Demand, len(c.requests))
	for key, count := range c.requests {
		demands[key] = Demand{Requests: count, Refused: c.refused[key]}
	}
	for key, requests := range c.waiting {
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
	running := make(map[RunKey]int, len(c.running))
	for key, count := range c.running {
		running[key] = count
	}
	return demands, running
}
