package planner

import (
	"sort"
	"time"

	"github.com/samber/lo"
)

// want is the demand for one unit.
type want struct {
	spec UnitSpec
	// deadline is the earliest deadline among the requests that wait.
	deadline time.Time
	// weight is the weight of the most urgent class that waits.
	weight float64
	// lastUse is when a request last named the unit.
	lastUse time.Time
	// until is when the demand ends unless it is renewed; the unit is loaded before then.
	until time.Time
	// failures counts the loads that failed since the last success.
	failures int
	// retryAt is when the next load may start after a failure.
	retryAt time.Time
	// target is the number of replicas wanted, at least 1 while demand lasts.
	target int
	// targetUntil is when a target above 1 falls back.
	targetUntil time.Time
	// pins maps workers to until when the unit must be there too.
	pins map[string]time.Time
	// loadStartedAt is when the last load was decided.
	loadStartedAt time.Time
}

// demandHold is how long a unit is wanted after a waiting request was last
// heard of. Nodes ask again well within it while a request waits.
const demandHold = 2 * time.Second

// wantMemory is how long an unused want is remembered.
const wantMemory = 2 * time.Hour

// Use takes in that requests named a unit, which need not be loaded for them.
// A request for an adapter is one for its model too.
func (p *Planner) Use(spec UnitSpec, at time.Time, requests int) {
	w := p.wantOf(spec)
	w.lastUse = maxTime(w.lastUse, at)
	p.policy.Used(spec.Unit, at, requests)
	if base, known := p.wants[spec.Base]; known {
		base.lastUse = maxTime(base.lastUse, at)
		p.policy.Used(spec.Base, at, requests)
	}
}

// Want takes in that a request waits for a unit until a deadline.
func (p *Planner) Want(now time.Time, spec UnitSpec, deadline time.Time, weight float64) {
	w := p.wantOf(spec)
	w.lastUse = now
	if !now.Before(w.until) {
		w.deadline = deadline
		w.weight = weight
	}
	if deadline.Before(w.deadline) {
		w.deadline = deadline
	}
	w.weight = max(w.weight, weight)
	w.target = max(w.target, 1)
	w.until = maxTime(w.until, now.Add(demandHold))
	if spec.Base != "" {
		p.extendBase(now, spec.Base, deadline, weight)
	}
}

// extendBase renews the demand for the model that a wanted adapter needs.
func (p *Planner) extendBase(now time.Time, base string, deadline time.Time, weight float64) {
	if w, known := p.wants[base]; known {
		p.Want(now, w.spec, deadline, weight)
	}
}

// MarkSaturated takes in that the ready replicas of a unit are saturated.
func (p *Planner) MarkSaturated(now time.Time, spec UnitSpec) {
	w := p.wantOf(spec)
	ready := len(p.holders(spec.Unit, PhaseReady))
	loading := len(p.holders(spec.Unit, PhaseLoading))
	if loading > 0 || ready >= spec.MaxReplicas {
		return
	}
	w.target = max(w.target, ready+1)
	w.targetUntil = now.Add(pressureHold)
	if until := now.Add(pressureHold); until.After(w.until) {
		w.until = until
		w.deadline = until
	}
}

// pressureHold is how long a target raised by pressure lasts.
const pressureHold = 30 * time.Second

func (p *Planner) wantOf(spec UnitSpec) *want {
	w, known := p.wants[spec.Unit]
	if !known {
		w = &want{}
		p.wants[spec.Unit] = w
	}
	w.spec = spec
	return w
}

// Times after failed loads.
const (
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second
)

func (p *Planner) loadFailed(now time.Time, unit string) {
	w, known := p.wants[unit]
	if !known {
		return
	}
	backoff := min(firstBackoff<<min(w.failures, 10), maxBackoff)
	w.failures++
	w.retryAt = now.Add(backoff)
}

func (p *Planner) loadDone(unit string) {
	if w, known := p.wants[unit]; known {
		w.failures = 0
	}
}

// VerdictKind tells what a waiting request may expect.
type VerdictKind int

// The kinds of verdict.
const (
	// VerdictWait means that the unit is being loaded or about to be.
	VerdictWait VerdictKind = iota
	// VerdictReady means that at least one worker has the unit ready.
	VerdictReady
	// VerdictRefuse means that the unit cannot be ready in time.
	VerdictRefuse
)

// Verdict is what a request that waits for a unit may expect.
type Verdict struct {
	Kind VerdictKind
	// Workers have the unit ready.
	Workers []string
	// RetryAt is when a refused request may come back, or a waiting one may expect the unit.
	RetryAt time.Time
	// Reason says why the request is refused.
	Reason string
	// Elsewhere is set when another zone may do what this one refuses.
	Elsewhere bool
}

// returnGrace is how long a unit stays wanted for a refused request to come back.
const returnGrace = 10 * time.Second

// maxFailures is how many loads may fail before waiting requests are refused.
const maxFailures = 2

// Pin takes in that a request may run only at one worker.
func (p *Planner) Pin(now time.Time, spec UnitSpec, worker string) {
	w := p.wantOf(spec)
	if w.pins == nil {
		w.pins = map[string]time.Time{}
	}
	w.pins[worker] = now.Add(demandHold)
}

// Ready returns the workers that have a unit ready.
func (p *Planner) Ready(unit string) []string { return p.holders(unit, PhaseReady) }

// Ask returns what a request that waits for a unit until a deadline may
// expect. Worker is the only one that will do, or empty for any.
func (p *Planner) Ask(now time.Time, unit, worker string, deadline time.Time) Verdict {
	ready := p.holders(unit, PhaseReady)
	if worker != "" {
		ready = lo.Filter(ready, func(id string, _ int) bool { return id == worker })
	}
	if len(ready) > 0 {
		return Verdict{Kind: VerdictReady, Workers: ready}
	}
	w, known := p.wants[unit]
	if !known {
		return Verdict{Kind: VerdictRefuse, RetryAt: now.Add(time.Second), Reason: "unit is not wanted"}
	}
	if w.failures >= maxFailures && now.Before(w.retryAt) {
		return Verdict{Kind: VerdictRefuse, RetryAt: w.retryAt.Add(p.loadTime(w.spec, nil)), Reason: "loads keep failing", Elsewhere: true}
	}
	estimate, reason := p.estimate(now, w)
	if estimate.After(deadline) {
		w.until = maxTime(w.until, estimate.Add(returnGrace))
		return Verdict{Kind: VerdictRefuse, RetryAt: estimate, Reason: reason, Elsewhere: !p.fits(now, w.spec)}
	}
	return Verdict{Kind: VerdictWait, RetryAt: estimate}
}

// estimate returns when a wanted unit will be ready, and what it waits for.
func (p *Planner) estimate(now time.Time, w *want) (time.Time, string) {
	if !p.fits(now, w.spec) {
		return now.Add(maxBackoff), "no worker has the memory"
	}
	if loading := p.holders(w.spec.Unit, PhaseLoading); len(loading) > 0 {
		return maxTime(now, w.loadStartedAt.Add(p.nearestLoadTime(w.spec))), "load under way would end too late"
	}
	start := maxTime(now, w.retryAt)
	ahead := p.loadsAhead(w)
	perLoad := time.Duration(float64(time.Second) / p.limits.Rate)
	shared := p.loadTime(w.spec, nil) * time.Duration(ahead) / time.Duration(max(p.limits.Parallel, 1))
	wait := max(perLoad*time.Duration(ahead), shared)
	ready := start.Add(wait).Add(p.nearestLoadTime(w.spec))
	if w.spec.Base != "" && len(p.holders(w.spec.Base, PhaseReady)) == 0 {
		if base, known := p.wants[w.spec.Base]; known {
			ready = ready.Add(p.nearestLoadTime(base.spec))
		}
	}
	return ready, "load would end too late"
}

// loadsAhead counts the loads that run or come before a want.
func (p *Planner) loadsAhead(w *want) int {
	ahead := p.loading(w.spec.Adapter())
	for _, other := range p.queue() {
		if other == w {
			break
		}
		if other.spec.Adapter() == w.spec.Adapter() {
			ahead++
		}
	}
	return ahead
}

// queue returns the wants that need a load, in the order in which they get it.
func (p *Planner) queue() []*want {
	var queue []*want
	for _, w := range p.wants {
		if p.replicas(w.spec.Unit) < w.target {
			queue = append(queue, w)
		}
	}
	sort.Slice(queue, func(i, j int) bool {
		a, b := queue[i], queue[j]
		if a.weight != b.weight {
			return a.weight > b.weight
		}
		if !a.deadline.Equal(b.deadline) {
			return a.deadline.Before(b.deadline)
		}
		return a.spec.Unit < b.spec.Unit
	})
	return queue
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
