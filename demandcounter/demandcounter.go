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
	// maxServed is the largest number of adapters whose requests are counted one by one. Callers choose the names of adapters, which the configuration
	// may not list.
	maxServed = 1024
	// maxUnserved is the largest number of adapters that a snapshot contains only since requests wait for them.
	maxUnserved = 64
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
	// lastAt is when a request last arrived, was refused, began to wait or was served.
	lastAt time.Time
	// place is that in Counter.served, or nil for a key without an adapter.
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
	// counts holds the counts of models, and of adapters that a worker has served.
	counts map[Key]*counts
	// served holds the adapters in counts, as Key, the one with the oldest request first. It has at most maxServed entries.
	served *list.List
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
	return &Counter{counts: map[Key]*counts{}, served: list.New(), now: now, waiting: map[Key]map[int64]waitingRequest{}, running: map[RunKey]int{}, changed: make(chan struct{})}
}

// CountArrival counts a request that arrived. One for an adapter that no worker has served lately counts for the adapter's model.
func (c *Counter) CountArrival(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countsOf(key).requests++
}

// CountRefusal counts a request that was refused because no worker has the model or adapter loaded, or those that have it are full. It counts
// nothing for an adapter that no worker has served lately.
func (c *Counter) CountRefusal(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if key.Adapter == "" || c.counts[key] != nil {
		c.countsOf(key).refused++
	}
}

// MarkServed records that a worker has answered a request for a key with success, so that its adapter exists.
func (c *Counter) MarkServed(key Key) {
	if key.Adapter == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[key] == nil {
		if c.served.Len() >= maxServed {
			c.drop(c.served.Front().Value.(Key))
		}
		c.counts[key] = &counts{place: c.served.PushBack(key)}
	}
	c.countsOf(key)
}

// countsOf returns the counts of a key, or those of its model for an adapter that has none, and records their use; the caller holds mu.
func (c *Counter) countsOf(key Key) *counts {
	counted := c.counts[key]
	if counted == nil {
		key.Adapter = ""
		if counted = c.counts[key]; counted == nil {
			counted = &counts{}
			c.counts[key] = counted
		}
	}
	counted.lastAt = c.now()
	if counted.place != nil {
		c.served.MoveToBack(counted.place)
	}
	return counted
}

// drop removes the counts of a key; the caller holds mu.
func (c *Counter) drop(key Key) {
	if place := c.counts[key].place; place != nil {
		c.served.Remove(place)
	}
	delete(c.counts, key)
}

// StartWaiting counts a request as waiting until end is called. The request becomes late at due. Further calls of end have no effect.
func (c *Counter) StartWaiting(key Key, due time.Time) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countsOf(key) // Arrivals of passed-on requests are counted elsewhere.
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

// Snapshot returns a copy of all counts. A model is kept for idleTime after its last request, an adapter that a worker has served too, any other
// adapter only while requests wait for it: of these, the maxUnserved with the most requests, then those that wait for the longest time. A RunKey is
// present only while requests run.
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
	var unserved []waitingKey
	for key, requests := range c.waiting {
		demand, counted := demands[key]
		demand.add(requests)
		if counted {
			demands[key] = demand
		} else {
			unserved = append(unserved, waitingKey{key, demand})
		}
	}
	if len(unserved) > maxUnserved {
		slices.SortFunc(unserved, func(a, b waitingKey) int {
			return cmp.Or(cmp.Compare(b.demand.Waiting, a.demand.Waiting), a.demand.EarliestStart.Compare(b.demand.EarliestStart))
		})
		unserved = unserved[:maxUnserved]
	}
	for _, entry := range unserved {
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
