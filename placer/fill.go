package placer

const (
	// fillRate is the least rate in requests a second at which a model is loaded into free memory unasked.
	fillRate = 0.02
	// fillStoreLoads is how many loads from the weight store must be free for one that nobody waits for.
	fillStoreLoads = 2
)

// fill loads models into memory that nothing uses, as after a restart or on a
// new worker: first those that have no holder, then the busiest ones.
func (s *state) fill() {
	for _, place := range s.open {
		if s.taken[place.ID] {
			continue
		}
		if demand := s.fillDemand(place, s.freeMB(place)); demand != nil {
			s.fillPlace(place, demand)
		}
	}
}

// fillDemand returns the demand for the model that should fill a place, or nil.
func (s *state) fillDemand(place *Place, free float64) *Demand {
	if free < s.leastMB {
		return nil
	}
	var best *Demand
	bestValue := 0.0
	for i := range s.input.Demands {
		demand := &s.input.Demands[i]
		model, known := s.input.Models[demand.Model]
		if !known || demand.Rate < fillRate || model.MemoryMB > free || holds(place, demand.Model) || place.Loading == demand.Model {
			continue
		}
		held := s.holders[demand.Model] + s.coming[demand.Model]
		if place.tier(demand.Model) == TierStore && !s.mayFillFromStore(place, demand, held) {
			continue
		}
		value := demand.Rate / float64(1+held*held)
		if best == nil || value > bestValue {
			best, bestValue = demand, value
		}
	}
	return best
}

// mayFillFromStore reports whether a model may be loaded from the weight store
// unasked, while the store is idle: a busy one with at most one holder, or one
// that no worker has a copy of.
func (s *state) mayFillFromStore(place *Place, demand *Demand, held int) bool {
	if place.Mine && s.storeLoads < fillStoreLoads {
		return false
	}
	return held <= 1 && demand.Rate*valueS >= hotValue || held == 0 && s.nearest(demand.Model, false) == TierStore
}

// fillPlace adds the move that fills a place.
func (s *state) fillPlace(place *Place, demand *Demand) {
	model := s.input.Models[demand.Model]
	tier := place.tier(demand.Model)
	s.add(Move{
		Worker: place.ID, Model: demand.Model, Tier: tier, TakesMS: model.TierMS[tier], Mine: place.Mine, Reason: "fill",
		DueMS: demand.DueMS, Waiting: demand.Waiting,
	})
}
