package placer

import (
	"sort"
)

// Weights of the costs. A cost of 1 is one request that is answered late.
const (
	// unloadMS is the time that the unload of a model without running requests takes.
	unloadMS = 100
	// drainMS is the time until the running requests of a victim have ended.
	drainMS = 500
	// lossHorizonS is how many seconds of a victim's requests count as lost; about the time until it could be loaded again.
	lossHorizonS = 2.5
	// minLastHolderLoss is the least loss of a model's last holder, so that spare replicas are unloaded first.
	minLastHolderLoss = 0.05
	// recentUseMS is the time since the last use below which a model is likely to be requested again immediately.
	recentUseMS = 400
	// recentUseLoss is the loss added for such a model.
	recentUseLoss = 0.5
	// runningLoss is the loss for each running request of a victim.
	runningLoss = 0.2
	// waitLossPerS is the loss for each second that one waiting request waits longer.
	waitLossPerS = 0.25
	// maxVictimLoss is the loss above which no victims are unloaded for a model that requests wait for, unless the value of
	// its load is higher.
	maxVictimLoss = 3.0
	// maxReplicaVictimLoss is the same for a replica; it is multiplied by the utilization, which counts up to maxVictimLoss.
	maxReplicaVictimLoss = 1.0
	// maxRemainingUtilization is the utilization of a victim's remaining holders above which they count as overloaded.
	maxRemainingUtilization = 1.3
)

// moveCost returns the move that fulfils a desired load on a worker, its cost, and whether it is possible.
func (b *builder) moveCost(worker *Worker, load desiredLoad) (Move, float64, bool) {
	tier := worker.tier(load.model.Name)
	move := Move{
		Worker: worker.ID, Model: load.model.Name, Tier: tier, DurationMS: load.model.TierMS[tier], Own: worker.Own,
		Reason: "waiting", DueMS: load.demand.DueMS, Waiting: load.demand.Waiting,
	}
	if load.isReplica {
		move.Reason = "replica"
	}
	if tier == TierStore {
		move.DurationMS = b.storeLoadMS(load.model)
	}
	move.LoadMS = move.DurationMS
	victims, loss, drains, possible := b.victims(worker, load.model.MemoryMB)
	if !possible {
		return move, 0, false
	}
	maxLoss := max(maxVictimLoss, load.value())
	if load.isReplica {
		maxLoss = maxReplicaVictimLoss * min(load.utilization, maxVictimLoss)
	}
	if loss > maxLoss {
		return move, 0, false
	}
	move.Victims, move.Loss = victims, loss
	if len(victims) > 0 {
		move.DurationMS += unloadMS
	}
	if drains {
		move.DurationMS += drainMS
	}
	waiting := float64(max(load.demand.Waiting, 1))
	cost := loss + waitLossPerS*waiting*move.DurationMS/1000 + float64(worker.Running)*sharedBatchLoss + (b.adapterLossPerS(worker)+b.copyLossPerS(worker, load.model.Name))*move.DurationMS/1000
	return move, cost, true
}

// adapterDelayLoss is the loss for each request for an adapter that arrives while
// its worker loads a model, since a worker executes one order at a time.
const adapterDelayLoss = 0.1

// adapterLossPerS returns the loss for each second of a load on a worker, from requests for adapters that the worker
// cannot load meanwhile.
func (b *builder) adapterLossPerS(worker *Worker) float64 {
	loss := 0.0
	for _, unit := range worker.Units {
		if demand := b.demands[unit.Model]; demand != nil {
			loss += demand.AdapterRate * adapterDelayLoss / float64(max(b.holders[unit.Model], 1))
		}
	}
	return loss
}

// blockedCopyLoss is the loss for each request that arrives for a model which is loaded nowhere while a worker with a copy of it
// executes another order; it is divided by the number of such workers.
const blockedCopyLoss = 1

// copyLossPerS returns the loss for each second of a load on a worker, from requests for models that the worker could load
// from its copies instead. The loaded model itself does not count.
func (b *builder) copyLossPerS(worker *Worker, loaded string) float64 {
	total, known := b.copyLosses[worker.ID]
	if !known {
		for model := range worker.OnDisk {
			total += b.blockedLossPerS(model)
		}
		for model := range worker.InMemory {
			if !worker.OnDisk[model] {
				total += b.blockedLossPerS(model)
			}
		}
		b.copyLosses[worker.ID] = total
	}
	if worker.tier(loaded) == TierStore {
		return total
	}
	return max(total-b.blockedLossPerS(loaded), 0)
}

// blockedLossPerS returns the loss for each second in which a worker with a copy of a model cannot load it.
func (b *builder) blockedLossPerS(model string) float64 {
	demand := b.demands[model]
	if demand == nil || b.holders[model]+b.loading[model] > 0 {
		return 0
	}
	return (demand.Rate + float64(demand.Waiting)/valueHorizonS) * blockedCopyLoss / float64(max(b.copies(model), 1))
}

// sharedBatchLoss is the loss for each request that runs on a worker, since the new model shares its batch.
const sharedBatchLoss = 0.004

// victims returns the models with the least loss to unload from a worker so that neededMB are free,
// the sum of their losses, whether any of them has running requests, and whether the memory suffices.
func (b *builder) victims(worker *Worker, neededMB float64) (names []string, loss float64, drains, possible bool) {
	free := b.freeMB(worker)
	type candidate struct {
		unit Unit
		loss float64
	}
	candidates := make([]candidate, 0, len(worker.Units))
	for _, unit := range worker.Units {
		if unitLoss, allowed := b.unloadLoss(unit); allowed {
			candidates = append(candidates, candidate{unit, unitLoss})
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].loss < candidates[j].loss })
	for _, next := range candidates {
		if free >= neededMB {
			break
		}
		free += b.input.Models[next.unit.Model].MemoryMB + next.unit.AdapterMB
		names = append(names, next.unit.Model)
		loss += next.loss
		drains = drains || next.unit.Running > 0
	}
	return names, loss, drains, free >= neededMB
}

// unloadLoss returns the loss caused by the unload of a unit, and whether the unload is allowed; a model that requests
// wait for stays loaded.
func (b *builder) unloadLoss(unit Unit) (float64, bool) {
	demand := b.demands[unit.Model]
	if demand == nil {
		return 0, true
	}
	loss := float64(unit.Running) * runningLoss
	otherHolders := b.reachable[unit.Model] - 1
	if otherHolders > 0 {
		if remaining := b.utilization(demand, otherHolders); remaining > maxRemainingUtilization {
			loss += remaining + min(remaining-maxRemainingUtilization, 1)*demand.Rate*lossHorizonS
		}
		return loss + demand.Rate*spareHolderLoss/float64(otherHolders), demand.Waiting == 0
	}
	if unit.IdleMS < recentUseMS && demand.Rate > 0 {
		loss += recentUseLoss
	}
	return loss + minLastHolderLoss + demand.Rate*lossHorizonS, demand.Waiting == 0
}

// spareHolderLoss is the loss for each request a second of a model that keeps one other holder; it is divided by the
// number of other holders.
const spareHolderLoss = 0.01
