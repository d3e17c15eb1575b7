// Package budgeter keeps the sends beyond the first of each request within a
// budget that all nodes share: each node takes a share by its own traffic.
//
// The package holds no clock and does no I/O.
package budgeter

import (
	"sync"
	"time"
)

// Limits are those of the budget over all nodes.
type Limits struct {
	// Ratio is the repeats for each request, Slack the repeats that are free in a window.
	Ratio, Slack float64
	// WindowS is the length of the sliding window in seconds.
	WindowS int
}

const (
	// safety is the part of the budget that nodes use, since their windows and counts are not the judge's.
	safety = 0.7
	// fewestNodes is assumed while the number of nodes is not known.
	fewestNodes = 16
)

// second is what was counted in one second.
type second struct {
	at                int64 // Unix seconds
	requests, repeats int
}

// Budgeter is safe for use by several goroutines.
type Budgeter struct {
	limits Limits
	// nodes returns how many nodes share the budget; 0 when not known.
	nodes func() int
	// mu guards services.
	mu       sync.Mutex
	services map[string][]second
}

// New returns a budget that nothing was spent of.
func New(limits Limits, nodes func() int) *Budgeter {
	return &Budgeter{limits: limits, nodes: nodes, services: map[string][]second{}}
}

// Earn counts a request for a service.
func (b *Budgeter) Earn(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current(now, service).requests++
}

// Spend reports whether one more repeat is within the budget, and counts it.
func (b *Budgeter) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current(now, service)
	requests, repeats := 0, 0
	for _, counted := range b.services[service] {
		requests += counted.requests
		repeats += counted.repeats
	}
	nodes := b.nodes()
	if nodes <= 0 {
		nodes = fewestNodes
	}
	allowed := safety * (b.limits.Ratio*float64(requests) + b.limits.Slack/float64(nodes))
	if float64(repeats+1) > allowed {
		return false
	}
	current.repeats++
	return true
}

// current returns the count of this second and forgets those before the window; the caller holds mu.
func (b *Budgeter) current(now time.Time, service string) *second {
	at := now.Unix()
	counts := b.services[service]
	for len(counts) > 0 && counts[0].at <= at-int64(b.limits.WindowS) {
		counts = counts[1:]
	}
	if len(counts) == 0 || counts[len(counts)-1].at != at {
		counts = append(counts, second{at: at})
	}
	b.services[service] = counts
	return &counts[len(counts)-1]
}
