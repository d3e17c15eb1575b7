package planner

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/evictor"
)

// fitsAnyWorker reports whether any worker has the memory for the unit if nothing
// else is loaded. Until discoveryUntil a new leader assumes that one has.
func (p *Planner) fitsAnyWorker(now time.Time, spec UnitSpec) bool {
	for _, w := range p.workers {
		if (w.usable() || !w.adopted) && w.spec.Memory >= spec.Memory {
			return true
		}
	}
	return now.Before(p.discoveryUntil)
}

// withinStoreLimits reports whether the zone's share of the weight store's limits allows a load now.
func (p *Planner) withinStoreLimits(now time.Time, spec UnitSpec) bool {
	if spec.Adapter() {
		return p.countLoading(true) < p.limits.ParallelAdapterLoads
	}
	return !now.Before(p.nextLoadAt) && p.countLoading(false) < p.limits.ParallelLoads
}

// cheapestWorker returns the worker with free memory that can load a unit at the
// least cost, or nil. Among equals it is the one with the least free memory, so
// that rarely used units share workers and others stay empty.
func (p *Planner) cheapestWorker(spec UnitSpec) *worker {
	var best *worker
	for _, id := range p.workerIDs() {
		w := p.workers[id]
		if !p.canLoad(w, spec) || w.freeMemory() < spec.Memory {
			continue
		}
		if best == nil || p.isCheaper(w, best, spec) {
			best = w
		}
	}
	return best
}

// canLoad reports whether a unit may be loaded on a worker, regardless of memory.
// The units that the worker had at the takeover must be known first, because the
// decision row that names them may have been lost.
func (p *Planner) canLoad(w *worker, spec UnitSpec) bool {
	if !w.usable() || !w.unitsAdopted || w.row.chargeIndex(spec.Unit) >= 0 {
		return false
	}
	if spec.Base == "" {
		return true
	}
	index := w.row.chargeIndex(spec.Base)
	return index >= 0 && w.row.Charges[index].Phase == PhaseReady
}

func (p *Planner) isCheaper(a, b *worker, spec UnitSpec) bool {
	costA, costB := p.loadCost(spec, a), p.loadCost(spec, b)
	if costA != costB {
		return costA < costB
	}
	return a.freeMemory() < b.freeMemory()
}

// expectedHoldSeconds is how long a load is expected to keep the accelerators of
// an empty worker in use.
const expectedHoldSeconds = 30

// loadCost returns the cost of a load on a worker: that of the wait for the load,
// plus that of the accelerators if the worker is empty now.
func (p *Planner) loadCost(spec UnitSpec, w *worker) float64 {
	cost := p.policy.ColdWeight * p.loadTime(spec, w).Seconds()
	if len(w.row.Charges) == 0 {
		cost += p.policy.IdleWeight * evictor.IdleCostScale * float64(w.spec.Accelerators) * expectedHoldSeconds
	}
	return cost
}

// Load times from the nearer tiers as shares of that from the weight store.
const (
	memoryTierShare = 0.1
	diskTierShare   = 0.35
)

// loadTime estimates the time of a load on a worker, by the tier that has the
// checkpoint there, or from the weight store if w is nil.
func (p *Planner) loadTime(spec UnitSpec, w *worker) time.Duration {
	fromStore := time.Duration(spec.LoadMS) * time.Millisecond
	if w == nil {
		return fromStore
	}
	switch w.report.Caches[spec.Unit] {
	case "memory":
		return time.Duration(float64(fromStore) * memoryTierShare)
	case "disk":
		return time.Duration(float64(fromStore) * diskTierShare)
	default:
		return fromStore
	}
}

// nearestLoadTime estimates the time of a load on the usable worker where it is shortest.
func (p *Planner) nearestLoadTime(spec UnitSpec) time.Duration {
	shortest := p.loadTime(spec, nil)
	for _, w := range p.workers {
		if w.usable() {
			shortest = min(shortest, p.loadTime(spec, w))
		}
	}
	return shortest
}
