package planner

import (
	"sort"
	"strings"
	"time"
)

// Tick decides what is due: fence orders, loads, evictions and unloads.
func (p *Planner) Tick(now time.Time) {
	p.replicaCounts = nil
	p.forget(now)
	for _, id := range p.workerIDs() {
		p.tickWorker(now, p.workers[id])
	}
	p.holdLeast(now)
	for _, w := range p.queue() {
		p.tryLoad(now, w)
	}
	p.loadPinned(now)
	p.unloadIdle(now)
}

// forget ends demands whose time is over and drops those long unused.
func (p *Planner) forget(now time.Time) {
	for unit, w := range p.wants {
		if now.After(w.targetUntil) {
			w.target = min(w.target, 1)
		}
		if now.After(w.until) {
			w.target = 0
			w.weight = 0
		}
		if now.Sub(w.lastUse) > wantMemory && p.replicas(unit) == 0 && w.spec.MinReplicas == 0 {
			delete(p.wants, unit)
		}
	}
}

// holdLeast keeps the configured least number of replicas.
func (p *Planner) holdLeast(now time.Time) {
	for _, w := range p.wants {
		if w.spec.MinReplicas > w.target {
			w.target = w.spec.MinReplicas
			w.until = now.Add(pressureHold)
			w.targetUntil = w.until
			w.deadline = maxTime(w.deadline, w.until)
		}
	}
}

func (p *Planner) tickWorker(now time.Time, w *worker) {
	if !w.adopted || w.gone {
		return
	}
	p.writeNext(w)
	if (!w.fenced || w.awaitsProof()) && !now.Before(w.fenceAt) {
		p.sendFence(now, w)
	}
	for i := range w.row.Charges {
		charge := &w.row.Charges[i]
		if charge.Phase == PhaseUnloading && !now.Before(w.retryAt[charge.Unit]) && w.row.Sequence == w.persisted {
			w.retryAt[charge.Unit] = now.Add(OrderTimeout)
			order := p.newOrder(w, VerbUnload)
			order.Unit = charge.Unit
			p.send(order)
		}
	}
}

// awaitsProof reports whether the newest report is too old to free the memory
// of an absent unit, as after a restart of the worker.
func (w *worker) awaitsProof() bool {
	for _, charge := range w.row.Charges {
		if charge.Settled && w.proofs[charge.Unit] > w.listedUpTo {
			return true
		}
	}
	return w.listedUpTo < w.firstOrder
}

// holders returns the workers that have a unit in a phase and may get work.
func (p *Planner) holders(unit, phase string) []string {
	var ids []string
	for id, w := range p.workers {
		at := w.row.find(unit)
		if at >= 0 && w.row.Charges[at].Phase == phase && w.usable() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (w *worker) usable() bool {
	return w.adopted && !w.gone && !w.spec.Leaving && !w.report.Leaving
}

// replicas counts the usable workers where a unit is loading or ready.
func (p *Planner) replicas(unit string) int { return p.counts()[unit] }

// counts returns the replicas of every unit. They are counted once and again
// after each change of a row or of the workers.
func (p *Planner) counts() map[string]int {
	if p.replicaCounts != nil {
		return p.replicaCounts
	}
	p.replicaCounts = map[string]int{}
	for _, w := range p.workers {
		if !w.usable() {
			continue
		}
		for _, charge := range w.row.Charges {
			if charge.Phase != PhaseUnloading {
				p.replicaCounts[charge.Unit]++
			}
		}
	}
	return p.replicaCounts
}

// loading counts the loads under way, of adapters or of models.
func (p *Planner) loading(adapters bool) int {
	count := 0
	for _, w := range p.workers {
		for _, charge := range w.row.Charges {
			if charge.Phase == PhaseLoading && strings.Contains(charge.Unit, "/") == adapters {
				count++
			}
		}
	}
	return count
}

// tryLoad decides one load of a wanted unit if it is possible now.
func (p *Planner) tryLoad(now time.Time, w *want) {
	if now.Before(w.retryAt) || !p.storeAllows(now, w.spec) {
		return
	}
	if chosen := p.choose(w.spec); chosen != nil {
		p.load(now, chosen, w.spec)
		return
	}
	p.makeRoom(now, w)
}

// loadPinned loads units at the workers where a request needs them.
func (p *Planner) loadPinned(now time.Time) {
	for _, unit := range p.wantedUnits() {
		w := p.wants[unit]
		for id, until := range w.pins {
			target, known := p.workers[id]
			if now.After(until) || !known {
				delete(w.pins, id)
				continue
			}
			if !p.storeAllows(now, w.spec) || !p.canHold(target, w.spec) {
				continue
			}
			if target.free() >= w.spec.Memory {
				p.load(now, target, w.spec)
			} else if victims := p.victims(now, target, w.spec); len(victims) > 0 {
				p.unload(target, victims)
			}
		}
	}
}

// wantedUnits returns the units with a want in a fixed order.
func (p *Planner) wantedUnits() []string {
	units := make([]string, 0, len(p.wants))
	for unit := range p.wants {
		units = append(units, unit)
	}
	sort.Strings(units)
	return units
}

func (w *worker) free() int64 { return w.spec.Memory - w.row.memory() }

func (p *Planner) load(now time.Time, w *worker, spec UnitSpec) {
	order := p.newOrder(w, VerbLoad)
	order.Unit, order.Checkpoint, order.Adapter = spec.Unit, spec.Checkpoint, spec.Adapter()
	order.Memory, order.LoadMS = spec.Memory, spec.LoadMS
	row := w.row.clone()
	row.Charges = append(row.Charges, Charge{Unit: spec.Unit, Memory: spec.Memory, Phase: PhaseLoading, Order: order.ID, Issuer: p.issuer})
	if p.checkMemory(w, row) != nil {
		return
	}
	w.row = row
	p.replicaCounts = nil
	w.proofs[spec.Unit] = p.orders
	p.wants[spec.Unit].loadStartedAt = now
	p.decided++
	if now.Sub(p.unloadedAt[spec.Unit]) < reloadWindow {
		p.reloads++
	}
	if !spec.Adapter() {
		p.loadAt = maxTime(now, p.loadAt).Add(time.Duration(float64(time.Second) / p.limits.Rate))
	}
	p.persist(w)
	w.pending = append(w.pending, pendingOrder{order: order, sequence: w.row.Sequence})
}

// reloadWindow is the age of an unload within which a load counts as a reload.
const reloadWindow = time.Minute
