package placer

const (
	// minFillRate is the lowest rate, in requests a second, at which a model is loaded into free memory although no request
	// waits for it.
	minFillRate = 0.02
	// minStoreLoadsForFill is how many loads from the weight store must still be allowed, to this leader and to all, before a fill takes one of them.
	minStoreLoadsForFill = 2
)

// fillFreeMemory loads models into unused memory, as after a restart or on a
// new worker: first those that have no holder, then those with the highest rate.
func (b *builder) fillFreeMemory() {
	for _, worker := range b.available {
		if b.assigned[worker.ID] {
			continue
		}
		if demand := b.bestFill(worker, b.freeMB(worker)); demand != nil {
			b.addFill(worker, demand)
		}
	}
}

// bestFill returns the demand for the model that should fill the free memory of a worker, or nil.
func (b *builder) bestFill(worker *Worker, freeMB float64) *Demand {
	if freeMB < b.smallestModelMB {
		return nil
	}
	var best *Demand
	bestValue := 0.0
	for i := range b.input.Demands {
		demand := &b.input.Demands[i]
		model, known := b.input.Models[demand.Model]
		if !known || demand.Rate < minFillRate || model.MemoryMB > freeMB || hasLoaded(worker, demand.Model) || worker.Loading == demand.Model {
			continue
		}
		holders := b.holders[demand.Model] + b.loading[demand.Model]
		if worker.tier(demand.Model) == TierStore && !b.mayFillFromStore(worker, demand, holders) {
			continue
		}
		value := demand.Rate / float64(1+holders*holders)
		if best == nil || value > bestValue {
			best, bestValue = demand, value
		}
	}
	return best
}

// mayFillFromStore reports whether a model that no request waits for may be loaded
// from the weight store while the store is idle: a hot one with at most one holder,
// or one without a holder of which no reachable worker has a copy.
func (b *builder) mayFillFromStore(worker *Worker, demand *Demand, holders int) bool {
	if b.storeSlotsLeft <= 0 || worker.Own && min(b.storeSlotsLeft, b.storeLoadsLeft) < minStoreLoadsForFill {
		return false
	}
	return holders <= 1 && demand.Rate*valueHorizonS >= hotValue || holders == 0 && b.nearestCopy(b.input.Models[demand.Model], false).tier == TierStore
}

// addFill adds the move that loads a model into the free memory of a worker.
func (b *builder) addFill(worker *Worker, demand *Demand) {
	model := b.input.Models[demand.Model]
	tier := worker.tier(demand.Model)
	loadMS := model.TierMS[tier]
	if tier == TierStore {
		loadMS = b.storeLoadMS(model)
	}
	b.addMove(Move{
		Worker: worker.ID, Model: demand.Model, Tier: tier, DurationMS: loadMS, LoadMS: loadMS, Own: worker.Own, Reason: "fill",
		DueMS: demand.DueMS, Waiting: demand.Waiting,
	})
}
