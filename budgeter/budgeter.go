// Package budgeter limits retries, the sends beyond the first of each request, to
// a budget that all nodes share. Each node spends a share that it computes from
// its own requests and the number of nodes, without asking the others.
//
// The package reads no clock and does no I/O; callers pass the time.
package budgeter

import (
	"sync"
	"time"
)

// Limits are the limits of the retry budget of one service over all nodes.
type Limits struct {
	// Ratio is the number of retries allowed per request, Slack the number allowed in each window in addition.
	Ratio, Slack float64
	// WindowS is the length of the sliding window in seconds, by which the retries of all nodes are checked.
	WindowS int
}

const (
	// usedFraction is the fraction of the budget that nodes use. The rest covers that a request is counted by its node later
	// than it was sent, and a retry earlier than it arrives.
	usedFraction = 0.9
	// minCapacity is the least number of retries that a node may save up: with less, it could never send one.
	minCapacity = 1
	// nodesMemory is how long nodes count after they were heard of. A new leader has heard of few nodes, and a cut-off one of those of its
	// zone, while the others go on to use their shares.
	nodesMemory = 10 * time.Minute
)

// Budgeter holds a bucket of retries for each service. Each request adds its share of a retry. A bucket holds at most this node's share of the slack and is
// empty at the start of a process, so that in any window the node sends at most that share and what the window's requests add, also after a burst and over
// several starts. It is safe for concurrent use.
type Budgeter struct {
	limits Limits
	// nodes returns the number of nodes that share the budget; 0 when not known.
	nodes func() int
	// mu guards everything below.
	mu sync.Mutex
	// mostNodes is the largest number of nodes known since nodesMemory before mostNodesUntil; 0 before the first is known.
	mostNodes      int
	mostNodesUntil time.Time
	// retries holds the number of retries that may be sent now, by service; it is not negative and may be a fraction.
	retries map[string]float64
}

// New returns a budgeter whose buckets are empty. The function nodes returns the number of nodes that share the budget, or 0 when that is
// not known.
func New(limits Limits, nodes func() int) *Budgeter {
	return &Budgeter{limits: limits, nodes: nodes, retries: map[string]float64{}}
}

// CountRequest counts a request for a service, which allows Ratio more retries, and notes how many nodes are known.
func (b *Budgeter) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries[service] = min(b.retries[service]+usedFraction*b.limits.Ratio, b.capacity(now))
}

// AllowRetry reports whether one more retry is within the budget, and counts it if so. Left is the number of retries that this node may still
// send after it, which may be a fraction.
func (b *Budgeter) AllowRetry(now time.Time, service string) (allowed bool, left float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left = min(b.retries[service], b.capacity(now))
	if left < 1 {
		return false, left
	}
	b.retries[service] = left - 1
	return true, left - 1
}

// ReturnRetry gives back a retry that AllowRetry has counted and that was not sent.
func (b *Budgeter) ReturnRetry(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries[service] = min(b.retries[service]+1, b.capacity(now))
}

// capacity returns the number of retries that a bucket holds at most: this node's share of the slack, which is taken as small while the number
// of nodes is not known. The caller holds mu.
func (b *Budgeter) capacity(now time.Time) float64 {
	if nodes := b.nodes(); nodes > 0 && (nodes >= b.mostNodes || now.After(b.mostNodesUntil)) {
		b.mostNodes, b.mostNodesUntil = nodes, now.Add(nodesMemory)
	}
	if b.mostNodes <= 0 {
		return minCapacity
	}
	return max(usedFraction*b.limits.Slack/float64(b.mostNodes), minCapacity)
}
