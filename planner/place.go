package planner

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/keeper"
)

// fits reports whether any worker could hold the unit if it were empty. A new
// leader does not yet know all workers, and assumes that one could.
func (p *Planner) fits(now time.Time, spec UnitSpec) bool {
	for _, w := range p.workers {
		if (w.usable() || !w.adopted) && w.spec.Memory >= spec.Memory {
			return true
		}
	}
	return now.Before(p.warmUntil)
}

// storeAllows reports whether the weight store's limits allow a load now.
func (p *Planner) storeAllows(now time.Time, spec UnitSpec) bool {
	if spec.Adapter() {
		return p.loading(true) < p.limits.Transit
	}
	return !now.Before(p.loadAt) && p.loading(false) < p.limits.Parallel
}

// choose returns the worker that can load a unit at the least cost, or nil.
// Among equals it is the fullest one, so that rarely used units share workers
// and others stay empty.
func (p *Planner) choose(spec UnitSpec) *worker {
	var best *worker
	for _, id := range p.workerIDs() {
		w := p.workers[id]
		if !p.canHold(w, spec) || w.free() < spec.Memory {
			continue
		}
		if best == nil || p.better(w, best, spec) {
			best = w
		}
	}
	return best
}

// canHold reports whether a unit may be loaded at a worker. What the worker held
// at the takeover must be known first, since a row may have been lost.
func (p *Planner) canHold(w *worker, spec UnitSpec) bool {
	if !w.usable() || !w.unitsAdopted || w.row.find(spec.Unit) >= 0 {
		return false
	}
	if spec.Base == "" {
		return true
	}
	at := w.row.find(spec.Base)
	return at >= 0 && w.row.Charges[at].Phase == PhaseReady
}

func (p *Planner) better(a, b *worker, spec UnitSpec) bool {
	costA, costB := p.loadCost(spec, a), p.loadCost(spec, b)
	if costA != costB {
		return costA < costB
	}
	return a.free() < b.free()
}

// openSeconds is how long a worker that holds nothing is expected to be held
// after a load there.
const openSeconds = 30

// loadCost weighs the time of a load at a worker against the accelerators that
// it would hold and that are free now.
func (p *Planner) loadCost(spec UnitSpec, w *worker) float64 {
	cost := p.policy.ColdWeight * p.loadTime(spec, w).Seconds()
	if len(w.row.Charges) == 0 {
		cost += p.policy.IdleWeight * keeper.IdleCostScale * float64(w.spec.Accelerators) * openSeconds
	}
	return cost
}

// Shares of the remote load time that a load from a nearer tier takes.
const (
	memoryTierShare = 0.1
	diskTierShare   = 0.35
)

// loadTime estimates a load at a worker, or from the weight store if w is nil.
func (p *Planner) loadTime(spec UnitSpec, w *worker) time.Duration {
	remote := time.Duration(spec.LoadMS) * time.Millisecond
	if w == nil {
		return remote
	}
	switch w.report.Caches[spec.Unit] {
	case "memory":
		return time.Duration(float64(remote) * memoryTierShare)
	case "disk":
		return time.Duration(float64(remote) * diskTierShare)
	default:
		return remote
	}
}

// nearestLoadTime estimates a load at the usable worker nearest to the checkpoint.
func (p *Planner) nearestLoadTime(spec UnitSpec) time.Duration {
	least := p.loadTime(spec, nil)
	for _, w := range p.workers {
		if w.usable() {
			least = min(least, p.loadTime(spec, w))
		}
	}
	return least
}
