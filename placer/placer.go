// Package placer decides which worker loads which model, and what makes way
// for it, from the demand of all nodes and the state of all workers.
//
// Every zone's leader plans for all zones with the same rules, and carries out
// only the moves of its own workers; so zones agree without asking each other.
// The package holds no clock and does no I/O: a Plan is a function of its input.
package placer

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// state is a plan in the making.
type state struct {
	input   Input
	demands map[string]*Demand
	// holders counts the usable places where a model is ready, coming those where it is being loaded.
	holders, coming map[string]int
	// reached counts the holders in zones that do not seem cut off.
	reached map[string]int
	// usable counts the places that requests may go to.
	usable int
	// open are the places that could take a move when the plan began.
	open []*Place
	// taken marks the places that already have a move in this plan.
	taken      map[string]bool
	storeLoads int
	// leastMB is the size of the smallest model.
	leastMB float64
	moves   []Move
	waits   []Wait
	// storeQueue and swapQueue count the waits for the weight store and for workers with copies.
	storeQueue, swapQueue int
}

// Plan returns what to load now, and when what must wait is likely to be loaded.
func Plan(input Input) Decision {
	s := &state{
		input: input, demands: map[string]*Demand{}, holders: map[string]int{}, coming: map[string]int{}, reached: map[string]int{}, taken: map[string]bool{},
		storeLoads: input.Limits.StoreLoads,
	}
	for i := range input.Demands {
		s.demands[input.Demands[i].Model] = &input.Demands[i]
	}
	s.leastMB = math.Inf(1)
	for _, model := range input.Models {
		s.leastMB = min(s.leastMB, model.MemoryMB)
	}
	s.count()
	for _, want := range s.wants() {
		if !s.place(want) && !want.replica && want.demand.Waiting > 0 {
			s.wait(want)
		}
	}
	s.fill()
	return Decision{Moves: s.moves, Waits: s.waits}
}

// count counts the holders of every model.
func (s *state) count() {
	for i := range s.input.Places {
		place := &s.input.Places[i]
		if !place.Usable {
			continue
		}
		s.usable++
		if s.isOpen(place) {
			s.open = append(s.open, place)
		}
		for _, unit := range place.Units {
			s.holders[unit.Model]++
			if !place.CutOff {
				s.reached[unit.Model]++
			}
		}
		if place.Loading != "" {
			s.coming[place.Loading]++
		}
	}
}

// place finds the cheapest place for a want and adds the move. It reports whether there is one.
func (s *state) place(w want) bool {
	var best *Move
	bestCost := math.Inf(1)
	// The weight store is only for models without a copy at any usable worker.
	mayUseStore := w.nearest == TierStore && (!w.replica || w.pressure > overloaded)
	for _, place := range s.open {
		if s.taken[place.ID] || holds(place, w.model.Name) {
			continue
		}
		if place.tier(w.model.Name) == TierStore && (!mayUseStore || place.Mine && s.storeLoads <= 0) {
			continue
		}
		move, cost, possible := s.cost(place, w)
		if possible && (cost < bestCost || cost == bestCost && tieBreak(place.ID, w.model.Name) < tieBreak(best.Worker, w.model.Name)) {
			best, bestCost = &move, cost
		}
	}
	if best == nil {
		return false
	}
	s.add(*best)
	return true
}

// wait adds when a want without a move is likely to be loaded.
func (s *state) wait(w want) {
	ends := w.model.TierMS[w.nearest]
	if w.nearest == TierStore {
		// Loads under way are taken to be half done.
		ends *= 1 + (float64(s.input.Limits.StoreUnderWay)/2+float64(s.storeQueue))/float64(max(s.input.Limits.StoreAtOnce, 1))
		if beyond := s.nearest(w.model.Name, true); beyond != TierStore {
			ends = min(ends, beyondMS+w.model.TierMS[beyond])
		}
		s.storeQueue++
	} else {
		ends = (ends + unloadMS) * (1 + float64(s.swapQueue)/float64(max(s.usable, 1)))
		s.swapQueue++
	}
	s.waits = append(s.waits, Wait{Model: w.model.Name, EndsMS: ends})
}

// add takes in a move that is decided.
func (s *state) add(move Move) {
	if move.Tier == TierStore {
		move.StoreUnderWay = s.input.Limits.StoreUnderWay
		s.input.Limits.StoreUnderWay++
		if move.Mine {
			s.storeLoads--
		}
	}
	s.taken[move.Worker] = true
	s.coming[move.Model]++
	for _, victim := range move.Victims {
		s.holders[victim]--
		s.reached[victim]--
	}
	s.moves = append(s.moves, move)
}

// isOpen reports whether a place can take a move in this plan.
func (s *state) isOpen(place *Place) bool {
	return place.Open && place.Usable && !s.taken[place.ID] && !s.input.Passed[place.ID]
}

// freeMB returns the memory of a place that no unit uses.
func (s *state) freeMB(place *Place) float64 {
	free := place.MemoryMB
	for i := range place.Units {
		free -= place.Units[i].AdapterMB + s.input.Models[place.Units[i].Model].MemoryMB
	}
	return free
}

// tieBreak orders places of equal cost differently for each model.
func tieBreak(place, model string) uint64 { return xxhash.Sum64String(place + "\x00" + model) }

// beyondMS is in how long a zone that seems cut off may load again: its next leader's lease and quiet time.
const beyondMS = 5000

// nearest returns the nearest tier from which a usable worker that does not hold
// a model could load it. Workers of zones that seem cut off count only beyond the cut.
func (s *state) nearest(model string, beyond bool) Tier {
	nearest := TierStore
	for i := range s.input.Places {
		place := &s.input.Places[i]
		if place.Usable && place.CutOff == beyond && !holds(place, model) {
			nearest = min(nearest, place.tier(model))
		}
	}
	return nearest
}
