package planner

import (
	"sort"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/evictor"
)

// evictFor unloads the least valuable units of the worker that needs the fewest
// evictions. It does nothing if the unloads in progress on a worker free enough memory.
func (p *Planner) evictFor(now time.Time, waiting *unitDemand) {
	var best *worker
	var bestVictims []string
	for _, id := range p.workerIDs() {
		w := p.workers[id]
		if !p.canLoad(w, waiting.spec) {
			continue
		}
		if w.freeAfterUnloads() >= waiting.spec.Memory {
			return
		}
		victims := p.victims(now, w, waiting.spec)
		if victims != nil && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = w, victims
		}
	}
	if best != nil {
		p.decideUnload(best, bestVictims)
	}
}

// freeAfterUnloads returns the bytes without a charge once all unloads in progress are confirmed.
func (w *worker) freeAfterUnloads() int64 {
	free := w.freeMemory()
	for _, charge := range w.row.Charges {
		if charge.Phase == PhaseUnloading {
			free += charge.Memory
		}
	}
	return free
}

// minUnusedTime is the shortest time that a unit stays loaded after its last use.
const minUnusedTime = 2 * time.Second

// victims returns the units to evict from a worker so that a unit fits, or nil
// if evictions cannot free enough memory.
func (p *Planner) victims(now time.Time, w *worker, spec UnitSpec) []string {
	candidates := p.evictable(now, w, spec.Base)
	needed := spec.Memory - w.freeAfterUnloads()
	var victims []string
	for _, charge := range candidates {
		if needed <= 0 {
			break
		}
		victims = append(victims, charge.Unit)
		needed -= charge.Memory
	}
	if needed > 0 {
		return nil
	}
	return victims
}

// evictable returns the charges of a worker that may be evicted, least valuable
// first. Base, the model that the new unit needs, is not one of them.
func (p *Planner) evictable(now time.Time, w *worker, base string) []Charge {
	var candidates []Charge
	values := map[string]float64{}
	for _, charge := range w.row.Charges {
		if charge.Phase == PhaseReady && charge.Unit != base && now.Sub(p.lastUse(charge.Unit)) > minUnusedTime {
			candidates = append(candidates, charge)
			values[charge.Unit] = p.policy.EvictionValue(now, p.resident(charge))
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return values[candidates[i].Unit] < values[candidates[j].Unit] })
	return candidates
}

// resident describes a ready unit for the policy.
func (p *Planner) resident(charge Charge) evictor.Resident {
	reload := defaultReloadSeconds
	if demand, known := p.demands[charge.Unit]; known {
		reload = diskTierShare * float64(demand.spec.LoadMS) / millisecondsPerSecond
	}
	return evictor.Resident{
		Unit: charge.Unit, LastUse: p.lastUse(charge.Unit), ReloadSeconds: reload, Memory: charge.Memory,
		Elsewhere: p.countReplicas()[charge.Unit] > 1,
	}
}

const (
	millisecondsPerSecond = 1000
	// defaultReloadSeconds is assumed for a unit that no request has named under this leader.
	defaultReloadSeconds = 1.0
)

// lastUse returns the time of the last use of a unit or of an adapter on it, but
// not before firstAdoptedAt.
func (p *Planner) lastUse(unit string) time.Time {
	if demand, known := p.demands[unit]; known {
		return maxTime(p.firstAdoptedAt, demand.lastUse)
	}
	return p.firstAdoptedAt
}

// decideUnload marks units, and the adapters on them, as unloading. The next tick
// sends the orders once the row is persisted.
func (p *Planner) decideUnload(w *worker, units []string) {
	p.replicaCounts = nil
	for i := range w.row.Charges {
		charge := &w.row.Charges[i]
		for _, unit := range units {
			if charge.Unit == unit || strings.HasPrefix(charge.Unit, unit+"/") {
				charge.Phase = PhaseUnloading
			}
		}
	}
	p.persist(w)
}

// unloadIdle unloads the units that the policy selects on idle workers.
func (p *Planner) unloadIdle(now time.Time) {
	for _, id := range p.workerIDs() {
		w := p.workers[id]
		if !w.adopted || w.unlisted || w.writing != 0 || w.report.Running+w.report.Queued > 0 {
			continue
		}
		idleWorker, idle := p.idleWorker(now, w)
		if !idle || len(idleWorker.Residents) == 0 {
			continue
		}
		if units := p.policy.IdleUnloads(now, idleWorker); len(units) > 0 {
			p.decideUnload(w, units)
		}
	}
}

// idleWorker describes a worker for the policy. The worker is not idle while a unit
// is loading, unloading or in demand there.
func (p *Planner) idleWorker(now time.Time, w *worker) (idleWorker evictor.IdleWorker, idle bool) {
	idleWorker.Accelerators = w.spec.Accelerators
	for _, charge := range w.row.Charges {
		if charge.Phase != PhaseReady || p.inDemand(now, charge.Unit) {
			return idleWorker, false
		}
		idleWorker.Residents = append(idleWorker.Residents, p.resident(charge))
	}
	return idleWorker, true
}

// inDemand reports whether a unit has a target above 0 or was used within minUnusedTime.
func (p *Planner) inDemand(now time.Time, unit string) bool {
	if demand, known := p.demands[unit]; known && demand.target > 0 {
		return true
	}
	return now.Sub(p.lastUse(unit)) <= minUnusedTime
}
