package placer

import (
	"sort"
)

// Weights of the costs. A cost of 1 is one request that is answered late.
const (
	// unloadMS is the time of an unload without runs, by trials on both sites.
	unloadMS = 100
	// drainMS is the time that running requests of a victim take to end.
	drainMS = 500
	// horizonS is for how long the loss of the last holder counts, in seconds; it is about the time until the model could be back.
	horizonS = 2.5
	// lastHolderFloor is the least loss of a model's last holder, so that spare replicas go first.
	lastHolderFloor = 0.05
	// freshMS is the age of the last use below which a model is likely to be asked for again at once.
	freshMS = 400
	// freshLoss is the loss added for such a model.
	freshLoss = 0.5
	// runningLoss is the loss for each request that runs on a victim.
	runningLoss = 0.2
	// waitLoss is the loss for each second that one waiting request waits longer.
	waitLoss = 0.25
	// maxLoss is the loss above which a waiting model is not worth its victims, unless its own value is above it.
	maxLoss = 3.0
	// replicaMaxLoss is the same for a replica.
	replicaMaxLoss = 1.0
	// overfull is how far above the wanted load the remaining holders of a victim may get.
	overfull = 1.3
	// storeWaitMS is how much longer a load from the weight store is taken to last, since several slow each other.
	storeWaitMS = 1500
)

// cost returns the move for a want at a place, and what it costs.
func (s *state) cost(place *Place, w want) (Move, float64, bool) {
	tier := place.tier(w.model.Name)
	move := Move{
		Worker: place.ID, Model: w.model.Name, Tier: tier, TakesMS: w.model.TierMS[tier], Mine: place.Mine,
		Reason: "waiting", DueMS: w.demand.DueMS, Waiting: w.demand.Waiting,
	}
	if w.replica {
		move.Reason = "replica"
	}
	if tier == TierStore {
		move.TakesMS += storeWaitMS
	}
	victims, loss, drains, possible := s.victims(place, w.model.MemoryMB)
	if !possible {
		return move, 0, false
	}
	limit := max(maxLoss, w.value())
	if w.replica {
		limit = replicaMaxLoss * min(w.pressure, maxLoss)
	}
	if loss > limit {
		return move, 0, false
	}
	move.Victims, move.Loss = victims, loss
	if len(victims) > 0 {
		move.TakesMS += unloadMS
	}
	if drains {
		move.TakesMS += drainMS
	}
	waiters := float64(max(w.demand.Waiting, 1))
	cost := loss + waitLoss*waiters*move.TakesMS/1000 + float64(place.Running)*crowdLoss + s.blocked(place)*move.TakesMS/1000
	return move, cost, true
}

// blockedLoss is the cost of each request for an adapter that comes while a
// worker loads a model, since it takes one order at a time.
const blockedLoss = 0.1

// blocked returns what each second of a load at a place costs by adapters that cannot be loaded meanwhile.
func (s *state) blocked(place *Place) float64 {
	cost := 0.0
	for _, unit := range place.Units {
		if demand := s.demands[unit.Model]; demand != nil {
			cost += demand.AdapterRate * blockedLoss / float64(max(s.holders[unit.Model], 1))
		}
	}
	return cost
}

// crowdLoss is the cost of each request that runs at a place, whose batch the new model shares.
const crowdLoss = 0.004

// victims returns the cheapest models to unload so that the memory fits.
func (s *state) victims(place *Place, neededMB float64) (names []string, loss float64, drains, possible bool) {
	free := s.freeMB(place)
	type candidate struct {
		unit Unit
		loss float64
	}
	candidates := make([]candidate, 0, len(place.Units))
	for _, unit := range place.Units {
		if unitLoss, allowed := s.loss(unit); allowed {
			candidates = append(candidates, candidate{unit, unitLoss})
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].loss < candidates[j].loss })
	for _, next := range candidates {
		if free >= neededMB {
			break
		}
		free += s.input.Models[next.unit.Model].MemoryMB + next.unit.AdapterMB
		names = append(names, next.unit.Model)
		loss += next.loss
		drains = drains || next.unit.Running > 0
	}
	return names, loss, drains, free >= neededMB
}

// loss returns what it costs to unload a unit; a model that callers wait for is never unloaded.
func (s *state) loss(unit Unit) (float64, bool) {
	demand := s.demands[unit.Model]
	if demand == nil {
		return 0, true
	}
	loss := float64(unit.Running) * runningLoss
	others := s.reached[unit.Model] - 1
	if others > 0 {
		if remaining := s.pressure(demand, others); remaining > overfull {
			loss += remaining + min(remaining-overfull, 1)*demand.Rate*horizonS
		}
		return loss + demand.Rate*spareLoss/float64(others), demand.Waiting == 0
	}
	if unit.IdleMS < freshMS && demand.Rate > 0 {
		loss += freshLoss
	}
	return loss + lastHolderFloor + demand.Rate*horizonS, demand.Waiting == 0
}

// spareLoss weighs the requests of a model that has other holders.
const spareLoss = 0.01
