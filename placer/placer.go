// Package placer decides which worker loads which model, and which models it
// unloads for that, from the demand of all nodes and the state of all workers.
//
// Every zone's leader plans for all zones with the same rules and executes
// only the moves of its own workers, so zones agree without messages between
// them. The package reads no clock and does no I/O: a plan depends on its input alone.
package placer

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// builder holds the intermediate results of one call of Plan.
type builder struct {
	input   Input
	demands map[string]*Demand
	// holders counts, by model, the usable workers that have it loaded, loading those that are loading it.
	holders, loading map[string]int
	// reachable counts, by model, the holders in zones that do not seem cut off.
	reachable map[string]int
	// usableWorkers is the number of workers that requests may be sent to.
	usableWorkers int
	// available are the workers that could take a move when the plan began.
	available []*Worker
	// assigned marks the workers that already have a move in this plan, by ID.
	assigned map[string]bool
	// storeLoadsLeft is how many more loads from the weight store this leader may start, storeSlotsLeft how many all leaders may.
	storeLoadsLeft, storeSlotsLeft int
	// unservedStoreLoads is how many models in high demand that no worker has loaded, and that have no move yet, must come from the weight store.
	unservedStoreLoads int
	// copyCounts holds how many usable workers have a copy of each model that was asked for.
	copyCounts map[string]int
	// copyLosses holds what copyLossPerS returns for each worker that was asked for, by ID, as it was when first asked.
	copyLosses map[string]float64
	// smallestModelMB is the size of the smallest model; infinite without models.
	smallestModelMB float64
	moves           []Move
	waits           []Wait
	// storeQueue and copyQueue count the waits for the weight store and those for a worker with a copy.
	storeQueue, copyQueue int
}

// Plan returns the moves to start now, and when the models that must wait are likely to be loaded.
func Plan(input Input) Decision {
	b := &builder{
		input: input, demands: map[string]*Demand{}, holders: map[string]int{}, loading: map[string]int{}, reachable: map[string]int{}, assigned: map[string]bool{}, copyCounts: map[string]int{}, copyLosses: map[string]float64{},
		storeLoadsLeft: input.Limits.AllowedStoreLoads, storeSlotsLeft: input.Limits.MaxConcurrentStoreLoads - input.Limits.StoreLoadsInProgress,
	}
	for i := range input.Demands {
		b.demands[input.Demands[i].Model] = &input.Demands[i]
	}
	b.smallestModelMB = math.Inf(1)
	for _, model := range input.Models {
		b.smallestModelMB = min(b.smallestModelMB, model.MemoryMB)
	}
	b.countHolders()
	loads := b.desiredLoads()
	b.unservedStoreLoads = lo.CountBy(loads, func(load desiredLoad) bool { return load.isUnservedFromStore() })
	for _, load := range loads {
		switch assigned := b.assign(load); {
		case assigned && load.isUnservedFromStore():
			b.unservedStoreLoads-- // Its load has taken its slot.
		case !assigned && !load.isReplica && load.demand.Waiting > 0:
			b.addWait(load)
		}
	}
	b.fillFreeMemory()
	return Decision{Moves: b.moves, Waits: b.waits}
}

// countHolders counts the holders of every model and collects the available workers.
func (b *builder) countHolders() {
	for i := range b.input.Workers {
		worker := &b.input.Workers[i]
		if !worker.Usable {
			continue
		}
		b.usableWorkers++
		if b.isAvailable(worker) {
			b.available = append(b.available, worker)
		}
		for _, unit := range worker.Units {
			b.holders[unit.Model]++
			if !worker.CutOff && !worker.Limited {
				b.reachable[unit.Model]++
			}
		}
		if worker.Loading != "" {
			b.loading[worker.Loading]++
		}
	}
}

// assign adds the cheapest move that fulfils a desired load. It reports whether there is one.
func (b *builder) assign(load desiredLoad) bool {
	var best *Move
	bestCost := math.Inf(1)
	mayUseStore := b.mayUseStore(&load) && b.storeSlots(&load) > 0
	for _, worker := range b.available {
		if b.assigned[worker.ID] || hasLoaded(worker, load.model.Name) {
			continue
		}
		if worker.tier(load.model.Name) == TierStore && (!mayUseStore || worker.Own && b.storeLoadsLeft <= 0) {
			continue
		}
		move, cost, possible := b.moveCost(worker, load)
		if possible && (cost < bestCost || cost == bestCost && tieBreak(worker.ID, load.model.Name) < tieBreak(best.Worker, load.model.Name)) {
			best, bestCost = &move, cost
		}
	}
	if best == nil {
		return false
	}
	b.addMove(*best)
	return true
}

// extraStoreLoads is how many loads beyond the limit models in high demand that no worker has may start. The time of a load is fixed when it starts,
// by the loads in progress then: one that starts as the third of a store that serves two at full speed ends before one that waits for half a load.
const extraStoreLoads = 1

// storeSlots returns how many loads from the weight store all leaders may start for desired loads like this one.
func (b *builder) storeSlots(load *desiredLoad) int {
	if load.isReplica || load.rank() != rankHot {
		return b.storeSlotsLeft
	}
	return b.storeSlotsLeft + extraStoreLoads
}

// storePatience is how long a model waits for a copy, or for models in higher demand, before the weight store is occupied for it, as
// a share of the time that the store takes for it.
const storePatience = 1.0 / 8

// mayUseStore reports whether a desired load may start from the weight store. One in high demand may if no reachable worker
// can load a copy soon. Any other must have waited for a worker with a copy, and leaves the last of several
// concurrent loads to models in high demand; a replica that is not in high demand is never loaded from there. A replica in high demand leaves
// a load to each model in high demand that no worker has, whose requests are all refused meanwhile, and the last of several in any case.
func (b *builder) mayUseStore(load *desiredLoad) bool {
	patienceMS := storePatience * load.model.TierMS[TierStore]
	reserved := min(b.input.Limits.MaxConcurrentStoreLoads-1, 1)
	if load.rank() == rankHot {
		if load.isReplica && b.storeSlotsLeft <= max(reserved, b.unservedStoreLoads) {
			return false
		}
		return load.nearestTier == TierStore || load.copyBusyMS > patienceMS
	}
	return load.nearestTier == TierStore && !load.isReplica && max(load.demand.WaitedMS, load.demand.UnservedMS) >= patienceMS && b.storeSlotsLeft > reserved
}

// addWait adds the estimate of when a desired load without a move ends; it is queued behind the earlier ones.
func (b *builder) addWait(load desiredLoad) {
	readyMS := load.model.TierMS[TierStore]
	if load.nearestTier == TierStore {
		// Loads in progress are assumed to be half done.
		readyMS *= 1 + (float64(b.input.Limits.StoreLoadsInProgress)/2+float64(b.storeQueue))/float64(max(b.input.Limits.MaxConcurrentStoreLoads, 1))
		if cutOffCopy := b.nearestCopy(load.model, true); cutOffCopy.tier != TierStore {
			readyMS = min(readyMS, cutOffRecoveryMS+load.model.TierMS[cutOffCopy.tier])
		}
		b.storeQueue++
	} else {
		readyMS = load.copyBusyMS + (load.model.TierMS[load.nearestTier]+unloadMS)*(1+float64(b.copyQueue)/float64(max(b.usableWorkers, 1)))
		b.copyQueue++
	}
	b.waits = append(b.waits, Wait{Model: load.model.Name, ReadyMS: readyMS})
}

// addMove adds a move to the plan and updates the counts for the moves that follow.
func (b *builder) addMove(move Move) {
	if move.Tier == TierStore {
		move.StoreLoadsInProgress = b.input.Limits.StoreLoadsInProgress
		b.input.Limits.StoreLoadsInProgress++
		b.storeSlotsLeft--
		if move.Own {
			b.storeLoadsLeft--
		}
	}
	b.assigned[move.Worker] = true
	b.loading[move.Model]++
	for _, victim := range move.Victims {
		b.holders[victim]--
		b.reachable[victim]--
	}
	b.moves = append(b.moves, move)
}

// isAvailable reports whether a worker can take a move in this plan.
func (b *builder) isAvailable(worker *Worker) bool {
	return worker.AcceptsOrder && worker.Usable && !b.assigned[worker.ID] && !b.input.Skipped[worker.ID]
}

// freeMB returns the memory of a worker that neither models nor adapters use.
func (b *builder) freeMB(worker *Worker) float64 {
	free := worker.MemoryMB
	for i := range worker.Units {
		free -= worker.Units[i].AdapterMB + b.input.Models[worker.Units[i].Model].MemoryMB
	}
	return free
}

// tieBreak orders workers of equal cost differently for each model, so that ties don't favor one worker.
func tieBreak(workerID, model string) uint64 { return xxhash.Sum64String(workerID + "\x00" + model) }

// cutOffRecoveryMS is the estimated time until a zone that seems cut off can load
// again, in milliseconds: the duration of the lease and the quiet period of its next leader.
const cutOffRecoveryMS = 5000

// copySource is where a model can be loaded from soonest.
type copySource struct {
	// tier is TierStore if no worker has a copy, or if those that do are busy for longer than a load from the weight store takes.
	tier Tier
	// busyMS is the time until the worker with the copy can be given an order, in milliseconds.
	busyMS float64
}

// nearestCopy returns from where a usable worker that does not have a model loaded could load it soonest. It considers only
// the workers of zones that seem cut off if cutOff is set, and only all others if not.
func (b *builder) nearestCopy(model Model, cutOff bool) copySource {
	nearest := copySource{tier: TierStore}
	soonestMS := b.storeLoadMS(model)
	for i := range b.input.Workers {
		worker := &b.input.Workers[i]
		if !worker.Usable || worker.CutOff != cutOff || hasLoaded(worker, model.Name) {
			continue
		}
		tier := worker.tier(model.Name)
		if readyMS := worker.BusyMS + model.TierMS[tier]; tier != TierStore && readyMS < soonestMS {
			nearest, soonestMS = copySource{tier: tier, busyMS: worker.BusyMS}, readyMS
		}
	}
	return nearest
}

// copies returns how many usable workers have a copy of a model.
func (b *builder) copies(model string) int {
	count, known := b.copyCounts[model]
	if known {
		return count
	}
	for i := range b.input.Workers {
		if worker := &b.input.Workers[i]; worker.Usable && worker.tier(model) != TierStore {
			count++
		}
	}
	b.copyCounts[model] = count
	return count
}

// storeLoadMS returns how long a load from the weight store takes that starts now. The time is fixed when a load starts: n
// loads at once take n times as long as one if the store serves one at full speed.
func (b *builder) storeLoadMS(model Model) float64 {
	loads := float64(b.input.Limits.StoreLoadsInProgress + 1)
	return model.TierMS[TierStore] * max(loads/float64(max(b.input.Limits.MaxConcurrentStoreLoads, 1)), 1)
}
