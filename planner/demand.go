package planner

import (
	"sort"
	"time"

	"github.com/samber/lo"
)

// unitDemand is the demand for one unit, with what is known of its loads.
type unitDemand struct {
	spec UnitSpec
	// deadline is the earliest deadline of the waiting requests.
	deadline time.Time
	// weight is the highest class weight of the waiting requests.
	weight float64
	// lastUse is when a request last named the unit.
	lastUse time.Time
	// expiresAt is when the demand ends and the target becomes 0, unless it is renewed.
	expiresAt time.Time
	// failures counts the failed loads since the last successful one.
	failures int
	// retryAt is the earliest time of the next load after a failure.
	retryAt time.Time
	// target is the number of replicas to have: at least 1 while the demand lasts.
	target int
	// targetExpiresAt is when a target above 1 falls back to 1.
	targetExpiresAt time.Time
	// pins maps workers that must have the unit to when that need expires.
	pins map[string]time.Time
	// loadStartedAt is when the last load of the unit was decided.
	loadStartedAt time.Time
}

// demandHold is how long demand lasts after the last call of AddDemand or Pin. While a
// request waits, its node repeats the Ask call well within this time.
const demandHold = 2 * time.Second

// demandRetention is how long the record of an unused unit is kept.
const demandRetention = 2 * time.Hour

// RecordUse records that requests named a unit, without adding demand for it. A use of
// an adapter counts as one of its model too.
func (p *Planner) RecordUse(spec UnitSpec, at time.Time, requests int) {
	demand := p.demandFor(spec)
	demand.lastUse = maxTime(demand.lastUse, at)
	p.policy.RecordUse(spec.Unit, at, requests)
	if base, known := p.demands[spec.Base]; known {
		base.lastUse = maxTime(base.lastUse, at)
		p.policy.RecordUse(spec.Base, at, requests)
	}
}

// AddDemand adds or renews demand for a unit for which a request waits until a
// deadline. Weight orders the loads of different units; the highest goes first.
func (p *Planner) AddDemand(now time.Time, spec UnitSpec, deadline time.Time, weight float64) {
	demand := p.demandFor(spec)
	demand.lastUse = now
	if !now.Before(demand.expiresAt) {
		demand.deadline = deadline
		demand.weight = weight
	}
	if deadline.Before(demand.deadline) {
		demand.deadline = deadline
	}
	demand.weight = max(demand.weight, weight)
	demand.target = max(demand.target, 1)
	demand.expiresAt = maxTime(demand.expiresAt, now.Add(demandHold))
	if spec.Base != "" {
		p.renewBaseDemand(now, spec.Base, deadline, weight)
	}
}

// renewBaseDemand adds or renews the demand for the model of an adapter in demand.
func (p *Planner) renewBaseDemand(now time.Time, base string, deadline time.Time, weight float64) {
	if demand, known := p.demands[base]; known {
		p.AddDemand(now, demand.spec, deadline, weight)
	}
}

// MarkSaturated records that the ready replicas of a unit are saturated, and
// raises the target by one replica unless one is loading or the maximum is reached.
func (p *Planner) MarkSaturated(now time.Time, spec UnitSpec) {
	demand := p.demandFor(spec)
	ready := len(p.workersWith(spec.Unit, PhaseReady))
	loading := len(p.workersWith(spec.Unit, PhaseLoading))
	if loading > 0 || ready >= spec.MaxReplicas {
		return
	}
	demand.target = max(demand.target, ready+1)
	demand.targetExpiresAt = now.Add(raisedTargetHold)
	if until := now.Add(raisedTargetHold); until.After(demand.expiresAt) {
		demand.expiresAt = until
		demand.deadline = until
	}
}

// raisedTargetHold is how long a target lasts that was raised by saturation or
// to the configured minimum.
const raisedTargetHold = 30 * time.Second

func (p *Planner) demandFor(spec UnitSpec) *unitDemand {
	demand, known := p.demands[spec.Unit]
	if !known {
		demand = &unitDemand{}
		p.demands[spec.Unit] = demand
	}
	demand.spec = spec
	return demand
}

// Shortest and longest delay before the next load after a failure; the delay
// doubles with each failure.
const (
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second
)

func (p *Planner) loadFailed(now time.Time, unit string) {
	demand, known := p.demands[unit]
	if !known {
		return
	}
	backoff := min(firstBackoff<<min(demand.failures, 10), maxBackoff)
	demand.failures++
	demand.retryAt = now.Add(backoff)
}

func (p *Planner) loadDone(unit string) {
	if demand, known := p.demands[unit]; known {
		demand.failures = 0
	}
}

// VerdictKind says whether a unit is ready, or can be in time.
type VerdictKind int

// The kinds of verdict.
const (
	// VerdictWait means that the unit is loading or queued to be loaded in time.
	VerdictWait VerdictKind = iota
	// VerdictReady means that at least one worker has the unit ready.
	VerdictReady
	// VerdictRefuse means that the unit cannot be ready in time.
	VerdictRefuse
)

// Verdict says whether a request that waits for a unit can be served in time.
type Verdict struct {
	Kind VerdictKind
	// Workers are the IDs of the workers that have the unit ready, if the kind is VerdictReady.
	Workers []string
	// RetryAt is when a refused request may be retried, or when the unit is expected to be ready.
	RetryAt time.Time
	// Reason says why the request is refused; nodes receive it as it is.
	Reason string
	// Elsewhere is true if another zone may serve a request that this one refuses.
	Elsewhere bool
}

// refusedDemandHold is how long after the estimated end of a load the demand
// lasts, so that a refused request finds the unit when it is retried.
const refusedDemandHold = 10 * time.Second

// maxFailures is the number of consecutive failed loads from which waiting
// requests are refused until the next load may start.
const maxFailures = 2

// Pin records that a request for a unit may run only on one worker, so that the
// unit is loaded there even if another worker has it ready.
func (p *Planner) Pin(now time.Time, spec UnitSpec, worker string) {
	demand := p.demandFor(spec)
	if demand.pins == nil {
		demand.pins = map[string]time.Time{}
	}
	demand.pins[worker] = now.Add(demandHold)
}

// Ready returns the IDs of the usable workers that have a unit ready, sorted.
func (p *Planner) Ready(unit string) []string { return p.workersWith(unit, PhaseReady) }

// Ask returns the verdict for a request that waits for a unit until a deadline.
// Worker is the only one that may run the request, or empty for any.
func (p *Planner) Ask(now time.Time, unit, worker string, deadline time.Time) Verdict {
	ready := p.workersWith(unit, PhaseReady)
	if worker != "" {
		ready = lo.Filter(ready, func(id string, _ int) bool { return id == worker })
	}
	if len(ready) > 0 {
		return Verdict{Kind: VerdictReady, Workers: ready}
	}
	demand, known := p.demands[unit]
	if !known {
		return Verdict{Kind: VerdictRefuse, RetryAt: now.Add(time.Second), Reason: "unit is not wanted"}
	}
	if demand.failures >= maxFailures && now.Before(demand.retryAt) {
		return Verdict{Kind: VerdictRefuse, RetryAt: demand.retryAt.Add(p.loadTime(demand.spec, nil)), Reason: "loads keep failing", Elsewhere: true}
	}
	estimate, reason := p.estimate(now, demand)
	if estimate.After(deadline) {
		demand.expiresAt = maxTime(demand.expiresAt, estimate.Add(refusedDemandHold))
		return Verdict{Kind: VerdictRefuse, RetryAt: estimate, Reason: reason, Elsewhere: !p.fitsAnyWorker(now, demand.spec)}
	}
	return Verdict{Kind: VerdictWait, RetryAt: estimate}
}

// estimate returns when a unit in demand is expected to be ready, and the reason
// for refusal if that is too late.
func (p *Planner) estimate(now time.Time, demand *unitDemand) (time.Time, string) {
	if !p.fitsAnyWorker(now, demand.spec) {
		return now.Add(maxBackoff), "no worker has the memory"
	}
	if loading := p.workersWith(demand.spec.Unit, PhaseLoading); len(loading) > 0 {
		return maxTime(now, demand.loadStartedAt.Add(p.nearestLoadTime(demand.spec))), "load under way would end too late"
	}
	start := maxTime(now, demand.retryAt)
	ahead := p.loadsAhead(demand)
	loadInterval := time.Duration(float64(time.Second) / p.limits.LoadRate)
	queuedTime := p.loadTime(demand.spec, nil) * time.Duration(ahead) / time.Duration(max(p.limits.ParallelLoads, 1))
	wait := max(loadInterval*time.Duration(ahead), queuedTime)
	ready := start.Add(wait).Add(p.nearestLoadTime(demand.spec))
	if demand.spec.Base != "" && len(p.workersWith(demand.spec.Base, PhaseReady)) == 0 {
		if base, known := p.demands[demand.spec.Base]; known {
			ready = ready.Add(p.nearestLoadTime(base.spec))
		}
	}
	return ready, "load would end too late"
}

// loadsAhead counts the loads of the same kind, model or adapter, that are in
// progress or queued before the load of a unit.
func (p *Planner) loadsAhead(demand *unitDemand) int {
	ahead := p.countLoading(demand.spec.Adapter())
	for _, other := range p.queue() {
		if other == demand {
			break
		}
		if other.spec.Adapter() == demand.spec.Adapter() {
			ahead++
		}
	}
	return ahead
}

// queue returns the demands that need a load, ordered by weight, deadline and unit.
func (p *Planner) queue() []*unitDemand {
	var queue []*unitDemand
	for _, demand := range p.demands {
		if p.replicas(demand.spec.Unit) < demand.target {
			queue = append(queue, demand)
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
