// Package demandcounter counts a node's requests by model: how many arrived, how many
// were refused, and which wait or run now.
package demandcounter

import (
	"cmp"
	"container/list"
	"slices"
	"sync"
	"time"
)

const (
	// maxAdapters is the largest number of adapters whose requests are counted. Callers choose the names of adapters, which the configuration may not list.
	maxAdapters = 4096
	// maxUnknown is the largest number of adapters not known to exist that a snapshot contains while requests wait for them.
	maxUnknown = 64
	// idleTime is how long the counts of a key stay after its last request. The leaders' rates have decayed by then.
	idleTime = time.Minute
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
	// Requests counts the requests since the key was first counted, Refused those that were refused because no worker has the
	// model or adapter loaded, or those that have it are full; neither decreases while snapshots contain the key.
	Requests, Refused int64
}

// counts are those of the requests for one key.
type counts struct {
	// requests and refused do not decrease.
	requests, refused int64
	// lastAt is when the counts were last used.
	lastAt time.Time
	// place is that in Counter.adapters, or nil for a key without an adapter.
	place *list.Element
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
	// counts holds the counts of models, and of adapters that are known to exist.
	counts map[Key]*counts
	// adapters holds the adapters in counts, as Key, the one with the oldest request first. It has at most maxAdapters entries.
	adapters *list.List
	// now returns the current time.
	now func() time.Time
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
func New() *Counter { return NewAt(time.Now) }

// NewAt returns a Counter without requests that reads the time from now.
func NewAt(now func() time.Time) *Counter {
	return &Counter{counts: map[Key]*counts{}, adapters: list.New(), now: now, waiting: map[Key]map[int64]waitingRequest{}, running: map[RunKey]int{}, changed: make(chan struct{})}
}

// Admit makes the counter count the requests for an adapter, which is known to exist. It has no effect on a key without an adapter.
func (c *Counter) Admit(key Key) {
	if key.Adapter == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[key] == nil {
		if c.adapters.Len() >= maxAdapters {
			c.drop(c.adapters.Front().Value.(Key))
		}
		c.counts[key] = &counts{place: c.adapters.PushBack(key)}
	}
	c.use(key)
}

// CountArrival counts a request that arrived, unless it is for an adapter that was not admitted.
func (c *Counter) CountArrival(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counted := c.use(key); counted != nil {
		counted.requests++
	}
}

// CountRefusal counts a request that was refused because no worker has the model or adapter loaded, or those that have it are full, unless it is for an
// adapter that was not admitted.
func (c *Counter) CountRefusal(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counted := c.use(key); counted != nil {
		counted.refused++
	}
}

// use returns the counts of a key and records their use, or returns nil for an adapter that was not admitted; the caller holds mu.
func (c *Counter) use(key Key) *counts {
	counted := c.counts[key]
	if counted == nil {
		if key.Adapter != "" {
			return nil
		}
		counted = &counts{}
		c.counts[key] = counted
	}
	counted.lastAt = c.now()
	if counted.place != nil {
		c.adapters.MoveToBack(counted.place)
	}
	return counted
}

// drop removes the counts of a key; the caller holds mu.
func (c *Counter) drop(key Key) {
	if place := c.counts[key].place; place != nil {
		c.adapters.Remove(place)
	}
	delete(c.counts, key)
}

// StartWaiting counts a request as waiting until end is called. The request becomes late at due. Further calls of end have no effect.
func (c *Counter) StartWaiting(key Key, due time.Time) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use(key) // Arrivals of passed-on requests are counted elsewhere.
	c.lastNumber++
	number := c.lastNumber
	if c.waiting[key] == nil {
		c.waiting[key] = map[int64]waitingRequest{}
	}
	c.waiting[key][number] = waitingRequest{due: due, since: c.now()}
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

// Snapshot returns a copy of all counts. A model or an admitted adapter is kept for idleTime after its last request, any other adapter only while requests
// wait for it: of these, the maxUnknown with the most requests, then those that wait for the longest time. A RunKey is present only while requests run.
func (c *Counter) Snapshot() (map[Key]Demand, map[RunKey]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	demands := make(map[Key]Demand, len(c.counts))
	now := c.now()
	for key, counted := range c.counts {
		if now.Sub(counted.lastAt) > idleTime && len(c.waiting[key]) == 0 {
			c.drop(key)
			continue
		}
		demands[key] = Demand{Requests: counted.requests, Refused: counted.refused}
	}
	var unknown []waitingKey
	for key, requests := range c.waiting {
		demand, counted := demands[key]
		demand.add(requests)
		if counted {
			demands[key] = demand
		} else {
			unknown = append(unknown, waitingKey{key, demand})
		}
	}
	if len(unknown) > maxUnknown {
		slices.SortFunc(unknown, func(a, b waitingKey) int {
			return cmp.Or(cmp.Compare(b.demand.Waiting, a.demand.Waiting), a.demand.EarliestStart.Compare(b.demand.EarliestStart))
		})
		unknown = unknown[:maxUnknown]
	}
	for _, entry := range unknown {
		demands[entry.key] = entry.demand
	}
	running := make(map[RunKey]int, len(c.running))
	for key, count := range c.running {
		running[key] = count
	}
	return demands, running
}

// waitingKey is a key with the requests that wait for it.
type waitingKey struct {
	key    Key
	demand Demand
}

// add adds waiting requests.
func (d *Demand) add(requests map[int64]waitingRequest) {
	d.Waiting = len(requests)
	for _, request := range requests {
		if d.EarliestDue.IsZero() || request.due.Before(d.EarliestDue) {
			d.EarliestDue = request.due
		}
		if d.EarliestStart.IsZero() || request.since.Before(d.EarliestStart) {
			d.EarliestStart = request.since
		}
	}
}
