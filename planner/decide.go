package planner

import (
	"sort"
	"strings"
	"time"
)

// Tick makes the decisions that are due: fence orders, loads, evictions and
// unloads. Call it often; Actions returns what it decided.
func (p *Planner) Tick(now time.Time) {
	p.replicaCounts = nil
	p.expireDemands(now)
	for _, id := range p.workerIDs() {
		p.tickWorker(now, p.workers[id])
	}
	p.raiseToMinimum(now)
	for _, demand := range p.queue() {
		p.tryLoad(now, demand)
	}
	p.loadPinned(now)
	p.unloadIdle(now)
}

// expireDemands resets the targets of expired demands and deletes the records
// unused for demandRetention.
func (p *Planner) expireDemands(now time.Time) {
	for unit, demand := range p.demands {
		if now.After(demand.targetExpiresAt) {
			demand.target = min(demand.target, 1)
		}
		if now.After(demand.expiresAt) {
			demand.target = 0
			demand.weight = 0
		}
		if now.Sub(demand.lastUse) > demandRetention && p.replicas(unit) == 0 && demand.spec.MinReplicas == 0 {
			delete(p.demands, unit)
		}
	}
}

// raiseToMinimum raises targets to the configured minimum of replicas.
func (p *Planner) raiseToMinimum(now time.Time) {
	for _, demand := range p.demands {
		if demand.spec.MinReplicas > demand.target {
			demand.target = demand.spec.MinReplicas
			demand.expiresAt = now.Add(raisedTargetHold)
			demand.targetExpiresAt = demand.expiresAt
			demand.deadline = maxTime(demand.deadline, demand.expiresAt)
		}
	}
}

func (p *Planner) tickWorker(now time.Time, w *worker) {
	if !w.adopted || w.unlisted {
		return
	}
	p.writeNext(w)
	if (!w.fenced || w.needsNewerReport()) && !now.Before(w.fenceAt) {
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

// needsNewerReport reports whether the newest report is too old to prove that
// units are absent, for example after a restart of the worker, whose reports then
// list no earlier orders. A report that lists the next fence order proves it.
func (w *worker) needsNewerReport() bool {
	for _, charge := range w.row.Charges {
		if charge.Settled && w.provenBy[charge.Unit] > w.lastListedOrder {
			return true
		}
	}
	return w.lastListedOrder < w.firstOrder
}

// workersWith returns the IDs of the usable workers that have a unit in a phase, sorted.
func (p *Planner) workersWith(unit, phase string) []string {
	var ids []string
	for id, w := range p.workers {
		index := w.row.chargeIndex(unit)
		if index >= 0 && w.row.Charges[index].Phase == phase && w.usable() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// usable reports whether a worker may get new work.
func (w *worker) usable() bool {
	return w.adopted && !w.unlisted && !w.spec.Leaving && !w.report.Leaving
}

// replicas returns the number of usable workers where a unit is loading or ready.
func (p *Planner) replicas(unit string) int { return p.countReplicas()[unit] }

// countReplicas returns the number of replicas of every unit. It is cached until
// a row or the list of workers changes.
func (p *Planner) countReplicas() map[string]int {
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

// countLoading returns the number of loads in progress, of adapters or of models.
func (p *Planner) countLoading(adapters bool) int {
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

// tryLoad decides one load of a unit in demand if the limits allow it now, or
// evicts other units for it if no worker has the memory free.
func (p *Planner) tryLoad(now time.Time, demand *unitDemand) {
	if now.Before(demand.retryAt) || !p.withinStoreLimits(now, demand.spec) {
		return
	}
	if chosen := p.cheapestWorker(demand.spec); chosen != nil {
		p.decideLoad(now, chosen, demand.spec)
		return
	}
	p.evictFor(now, demand)
}

// loadPinned loads units on the workers to which requests are pinned.
func (p *Planner) loadPinned(now time.Time) {
	for _, unit := range p.demandedUnits() {
		demand := p.demands[unit]
		for id, until := range demand.pins {
			target, known := p.workers[id]
			if now.After(until) || !known {
				delete(demand.pins, id)
				continue
			}
			if !p.withinStoreLimits(now, demand.spec) || !p.canLoad(target, demand.spec) {
				continue
			}
			if target.freeMemory() >= demand.spec.Memory {
				p.decideLoad(now, target, demand.spec)
			} else if victims := p.victims(now, target, demand.spec); len(victims) > 0 {
				p.decideUnload(target, victims)
			}
		}
	}
}

// demandedUnits returns the units with a demand record, sorted.
func (p *Planner) demandedUnits() []string {
	units := make([]string, 0, len(p.demands))
	for unit := range p.demands {
		units = append(units, unit)
	}
	sort.Strings(units)
	return units
}

// freeMemory returns the bytes without a charge.
func (w *worker) freeMemory() int64 { return w.spec.Memory - w.row.chargedMemory() }

// decideLoad charges the memory of a unit on a worker, and schedules the write of
// the row and the load order.
func (p *Planner) decideLoad(now time.Time, w *worker, spec UnitSpec) {
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
	w.provenBy[spec.Unit] = p.orders
	p.demands[spec.Unit].loadStartedAt = now
	p.loads++
	if now.Sub(p.unloadedAt[spec.Unit]) < reloadWindow {
		p.reloads++
	}
	if !spec.Adapter() {
		p.nextLoadAt = maxTime(now, p.nextLoadAt).Add(time.Duration(float64(time.Second) / p.limits.LoadRate))
	}
	p.persist(w)
	w.pending = append(w.pending, pendingOrder{order: order, sequence: w.row.Sequence})
}

// reloadWindow is the time after an unload within which a load of the same unit counts as a reload.
const reloadWindow = time.Minute
