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
	// WindowS is the length of the sliding window in seconds.
	WindowS int
}

const (
	// usedFraction is the fraction of the budget that nodes use. The rest is a margin, since their windows
	// and counts differ from those by which the retries of all nodes are checked.
	usedFraction = 0.7
	// assumedNodes is used as the number of nodes while that is not known.
	assumedNodes = 16
	// nodesMemory is how long nodes count after they were heard of. A new leader has heard of few nodes, and a cut-off one of those of its
	// zone, while the others go on to use their shares.
	nodesMemory = 10 * time.Minute
)

// secondCounts are the counts of one second.
type secondCounts struct {
	// second is the time since the budgeter was made, in whole seconds.
	second            int64
	requests, retries int
}

// Budgeter counts requests and retries by service. It is safe for concurrent use.
type Budgeter struct {
	limits Limits
	// startedAt is when the process started; an earlier process of the same node may have used the slack of the window before.
	startedAt time.Time
	// nodes returns the number of nodes that share the budget; 0 when not known.
	nodes func() int
	// mu guards everything below.
	mu sync.Mutex
	// mostNodes is the largest number of nodes known since nodesMemory before mostNodesUntil; 0 before the first is known.
	mostNodes      int
	mostNodesUntil time.Time
	// services maps services to the counts within the window, oldest first.
	services map[string][]secondCounts
}

// New returns a budgeter without any counts for a process that starts now. The function nodes returns the number of nodes that share the
// budget, or 0 when that is not known.
func New(now time.Time, limits Limits, nodes func() int) *Budgeter {
	return &Budgeter{limits: limits, startedAt: now, nodes: nodes, services: map[string][]secondCounts{}}
}

// CountRequest counts a request for a service, which allows Ratio more retries, and notes how many nodes are known.
func (b *Budgeter) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharingNodes(now)
	b.current(now, service).requests++
}

// AllowRetry reports whether one more retry is within the budget, and counts it if so. Left is the number of retries that this node may still
// send after it, which may be a fraction.
func (b *Budgeter) AllowRetry(now time.Time, service string) (allowed bool, left float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current(now, service)
	requests, retries := 0, 0
	for _, counts := range b.services[service] {
		requests += counts.requests
		retries += counts.retries
	}
	left = usedFraction*b.limits.Ratio*float64(requests) - float64(retries)
	if b.second(now) >= int64(b.limits.WindowS) {
		left += usedFraction * b.limits.Slack / float64(b.sharingNodes(now))
	}
	if left < 1 {
		return false, left
	}
	current.retries++
	return true, left - 1
}

// sharingNodes returns the largest number of nodes known within nodesMemory; the caller holds mu.
func (b *Budgeter) sharingNodes(now time.Time) int {
	if nodes := b.nodes(); nodes >= b.mostNodes || now.After(b.mostNodesUntil) {
		b.mostNodes, b.mostNodesUntil = nodes, now.Add(nodesMemory)
	}
	if b.mostNodes <= 0 {
		return assumedNodes
	}
	return b.mostNodes
}

// second returns the whole seconds since the process started, which a change of the time of day does not alter.
func (b *Budgeter) second(now time.Time) int64 { return int64(now.Sub(b.startedAt) / time.Second) }

// current returns the counts of the second of now and drops those before the window. The caller holds mu.
func (b *Budgeter) current(now time.Time, service string) *secondCounts {
	second := b.second(now)
	counts := b.services[service]
	for len(counts) > 0 && counts[0].second <= second-int64(b.limits.WindowS) {
		counts = counts[1:]
	}
	if len(counts) == 0 || counts[len(counts)-1].second != second {
		counts = append(counts, secondCounts{second: second})
	}
	b.services[service] = counts
	return &counts[len(counts)-1]
}
