package planner

import (
	"sort"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/keeper"
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
		if now.Sub(w.lastUse) > wantMemory && p.replicas(unit) == 0 && w.spec.Least == 0 {
			delete(p.wants, unit)
		}
	}
}

// holdLeast keeps the configured least number of replicas.
func (p *Planner) holdLeast(now time.Time) {
	for _, w := range p.wants {
		if w.spec.Least > w.target {
			w.target = w.spec.Least
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

func (p *Planner) canHold(w *worker, spec UnitSpec) bool {
	if !w.usable() || !w.reported || w.row.find(spec.Unit) >= 0 {
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

func (w *worker) free() int64 { return w.spec.Memory - w.row.memory() }

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
	reload := 0.0
	if want, known := p.wants[charge.Unit]; known {
		reload = diskTierShare * float64(want.spec.LoadMS) / millisecondsPerSecond
	}
	return keeper.Resident{
		Unit: charge.Unit, LastUse: p.lastUse(charge.Unit), ReloadSeconds: reload, Memory: charge.Memory,
		Elsewhere: p.counts()[charge.Unit] > 1,
	}
}

const millisecondsPerSecond = 1000

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
