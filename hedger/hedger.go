// Package hedger decides when a request is sent to a second worker because the first one takes longer than usual, and keeps the accounts: the
// latencies of each route at each service, and the share of a service's requests that may get a hedged send.
//
// The package reads no clock and does no I/O; callers pass the time.
package hedger

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// quantile is the percentage of latencies that the wait for a hedged send exceeds.
	quantile = 95
	// minWait is the least wait: below it, the second send would mostly be as late as the response to the first.
	minWait = 10 * time.Millisecond
	// minSamples is the number of latencies without which no wait is known.
	minSamples = 50
	// minLeft is the least time until the deadline with which a hedged send can still help.
	minLeft = 20 * time.Millisecond
	// maxSaved is the number of hedged sends that a service saves up. It bounds the extra load when all its workers become slow at once.
	maxSaved = 5
	// percentOfAll is the percentage of all requests.
	percentOfAll = 100
)

// Range and precision of the histograms, and the time that they cover: a part is dropped after each partTime.
const (
	minMicroseconds = 1
	maxMicroseconds = 60_000_000
	precisionDigits = 2
	parts           = 3
	partTime        = 20 * time.Second
	// renewTime is how long a computed wait is used. A quantile takes about as long as a request costs the node, so that it is not computed for each.
	renewTime = 500 * time.Millisecond
	// maxRoutes bounds the memory, 80 KB for each; further routes get no hedged sends.
	maxRoutes = 128
)

// routeKey identifies a route at a service.
type routeKey struct{ service, route string }

// routeLatencies are the latencies of a route at a service.
type routeLatencies struct {
	histogram *hdrhistogram.WindowedHistogram
	// dropAt is when the oldest part is dropped next.
	dropAt time.Time
	// wait is 0 while there are too few samples; it is computed again at renewAt.
	wait    time.Duration
	renewAt time.Time
}

// Hedger holds the accounts of a node. It is safe for concurrent use. A nil Hedger is not enabled and must not be used otherwise.
type Hedger struct {
	// share is the number of hedged sends allowed for each request.
	share float64
	// mu guards everything below.
	mu     sync.Mutex
	routes map[routeKey]*routeLatencies
	// saved is the number of hedged sends that each service may still send now; it may be a fraction.
	saved map[string]float64
}

// New returns a hedger that allows hedged sends for a percentage of a service's requests; 0 allows none.
func New(percent float64) *Hedger {
	return &Hedger{share: percent / percentOfAll, routes: map[routeKey]*routeLatencies{}, saved: map[string]float64{}}
}

// Enabled reports whether there are hedged sends at all.
func (h *Hedger) Enabled() bool { return h != nil && h.share > 0 }

// CountRequest counts a request for a service.
func (h *Hedger) CountRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.saved[service] = min(h.saved[service]+h.share, maxSaved)
}

// Observe records the latency of a send of a route to a service.
func (h *Hedger) Observe(now time.Time, service, route string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := routeKey{service, route}
	latencies, known := h.routes[key]
	if !known {
		if len(h.routes) >= maxRoutes {
			return
		}
		histogram := hdrhistogram.NewWindowed(parts, minMicroseconds, maxMicroseconds, precisionDigits)
		latencies = &routeLatencies{histogram: histogram, dropAt: now.Add(partTime)}
		h.routes[key] = latencies
	}
	latencies.dropOld(now)
	// A value within the range is always recorded.
	_ = latencies.histogram.Current.RecordValue(min(max(latency.Microseconds(), minMicroseconds), maxMicroseconds))
}

// dropOld drops the parts that are too old.
func (l *routeLatencies) dropOld(now time.Time) {
	for range parts {
		if now.Before(l.dropAt) {
			return
		}
		l.histogram.Rotate()
		l.dropAt = l.dropAt.Add(partTime)
	}
	if !now.Before(l.dropAt) { // All parts are empty now.
		l.dropAt = now.Add(partTime)
	}
}

// Wait returns after what time a request of a route has taken longer than usual at a service; known is false with too few samples.
func (h *Hedger) Wait(now time.Time, service, route string) (wait time.Duration, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	latencies, found := h.routes[routeKey{service, route}]
	if !found {
		return 0, false
	}
	if !now.Before(latencies.renewAt) {
		latencies.renewAt = now.Add(renewTime)
		latencies.dropOld(now)
		latencies.wait = 0
		if merged := latencies.histogram.Merge(); merged.TotalCount() >= minSamples {
			latencies.wait = max(time.Duration(merged.ValueAtQuantile(quantile))*time.Microsecond, minWait)
		}
	}
	return latencies.wait, latencies.wait > 0
}

// Check is a condition of a hedged send that the caller knows.
type Check struct {
	// Reason is that of a denial.
	Reason string
	Allows func() bool
}

// Situation is that of a request whose first send has taken longer than usual.
type Situation struct {
	Service string
	// MayHaveRun is the number of its sends that may have run, with the first; MaxAttempts is the most that may.
	MayHaveRun, MaxAttempts int
	Deadline                time.Time
	// Checks are asked in order once the hedger itself allows the send, until one denies it.
	Checks []Check
}

// Decide returns the reason why a request gets no hedged send, or an empty string if it gets one, which is counted then.
func (h *Hedger) Decide(now time.Time, s Situation) (denied string) {
	switch {
	case s.MayHaveRun >= s.MaxAttempts:
		return "attempts"
	case s.Deadline.Sub(now) < minLeft:
		return "deadline"
	case !h.take(s.Service):
		return "percent"
	}
	for _, check := range s.Checks {
		if !check.Allows() {
			h.giveBack(s.Service)
			return check.Reason
		}
	}
	return ""
}

// take takes a hedged send of a service, if one is left.
func (h *Hedger) take(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.saved[service] < 1 {
		return false
	}
	h.saved[service]--
	return true
}

// giveBack gives back a hedged send that was denied after take.
func (h *Hedger) giveBack(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.saved[service] = min(h.saved[service]+1, maxSaved)
}
