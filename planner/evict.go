package planner

import (
	"sort"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/keeper"
)

// makeRoom evicts the least valuable units of one worker, as few as needed.
func (p *Planner) makeRoom(now time.Time, waiting *want) {
	var best *worker
	var bestVictims []string
	for _, id := range p.workerIDs() {
		w := p.workers[id]
		if !p.canHold(w, waiting.spec) {
			continue
		}
		if w.freeing() >= waiting.spec.Memory {
			return
		}
		victims := p.victims(now, w, waiting.spec)
		if victims != nil && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = w, victims
		}
	}
	if best != nil {
		p.unload(best, bestVictims)
	}
}

// freeing returns the bytes that are free once all unloads under way are confirmed.
func (w *worker) freeing() int64 {
	free := w.free()
	for _, charge := range w.row.Charges {
		if charge.Phase == PhaseUnloading {
			free += charge.Memory
		}
	}
	return free
}

// minResidence is how long after its last use a unit cannot be evicted for another.
const minResidence = 2 * time.Second

// victims returns the units to evict from a worker so that a unit fits, or nil.
func (p *Planner) victims(now time.Time, w *worker, spec UnitSpec) []string {
	candidates := p.evictable(now, w, spec.Base)
	needed := spec.Memory - w.freeing()
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

// evictable returns the ready charges of a worker, least valuable first.
func (p *Planner) evictable(now time.Time, w *worker, base string) []Charge {
	var candidates []Charge
	values := map[string]float64{}
	for _, charge := range w.row.Charges {
		if charge.Phase == PhaseReady && charge.Unit != base && now.Sub(p.lastUse(charge.Unit)) > minResidence {
			candidates = append(candidates, charge)
			values[charge.Unit] = p.policy.Value(now, p.resident(charge))
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return values[candidates[i].Unit] < values[candidates[j].Unit] })
	return candidates
}

// resident describes a ready unit for the policy.
func (p *Planner) resident(charge Charge) keeper.Resident {
	reload := unknownReloadSeconds
	if want, known := p.wants[charge.Unit]; known {
		reload = diskTierShare * float64(want.spec.LoadMS) / millisecondsPerSecond
	}
	return keeper.Resident{
		Unit: charge.Unit, LastUse: p.lastUse(charge.Unit), ReloadSeconds: reload, Memory: charge.Memory,
		Elsewhere: p.counts()[charge.Unit] > 1,
	}
}

const (
	millisecondsPerSecond = 1000
	// unknownReloadSeconds stands for a unit that no request has named under this leader.
	unknownReloadSeconds = 1.0
)

// lastUse returns the last use of a unit, or of any adapter on it.
func (p *Planner) lastUse(unit string) time.Time {
	if w, known := p.wants[unit]; known {
		return maxTime(p.startedAt, w.lastUse)
	}
	return p.startedAt
}

// unload marks units, and the adapters on them, as unloading.
func (p *Planner) unload(w *worker, units []string) {
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

// unloadIdle unloads what the policy gives up at workers where nothing happens.
func (p *Planner) unloadIdle(now time.Time) {
	for _, id := range p.workerIDs() {
		w := p.workers[id]
		if !w.adopted || w.gone || w.writing != 0 || w.report.Running+w.report.Queued > 0 {
			continue
		}
		holding, settled := p.holding(now, w)
		if !settled || len(holding.Residents) == 0 {
			continue
		}
		if units := p.policy.Idle(now, holding); len(units) > 0 {
			p.unload(w, units)
		}
	}
}

// holding describes an idle worker for the policy. It is not settled while
// something is loading or unloading there, or was used a moment ago.
func (p *Planner) holding(now time.Time, w *worker) (holding keeper.Holding, settled bool) {
	holding.Accelerators = w.spec.Accelerators
	for _, charge := range w.row.Charges {
		if charge.Phase != PhaseReady || p.isWanted(now, charge.Unit) {
			return holding, false
		}
		holding.Residents = append(holding.Residents, p.resident(charge))
	}
	return holding, true
}

// isWanted reports whether a unit is asked for now or was used a moment ago.
func (p *Planner) isWanted(now time.Time, unit string) bool {
	if want, known := p.wants[unit]; known && want.target > 0 {
		return true
	}
	return now.Sub(p.lastUse(unit)) <= minResidence
}
