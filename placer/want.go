package placer

import (
	"sort"
)

// want is a model that should have one more holder.
type want struct {
	demand *Demand
	model  Model
	// replica is set when the model has holders already.
	replica bool
	// nearest is the nearest tier from which any worker could load it.
	nearest Tier
	// pressure orders replicas: the load of each holder as a share of the wanted one.
	pressure float64
}

// wants returns what should be loaded, most urgent first: models that are
// overloaded, then waiting ones that can still be in time, then the rest.
func (s *state) wants() []want {
	var wants []want
	for i := range s.input.Demands {
		demand := &s.input.Demands[i]
		model, known := s.input.Models[demand.Model]
		if !known {
			continue
		}
		held := s.holders[demand.Model] + s.coming[demand.Model]
		if held == 0 {
			if demand.isWanted() {
				wants = append(wants, want{demand: demand, model: model, nearest: s.nearest(model.Name, false)})
			}
			continue
		}
		if demand.Waiting > 0 && demand.WaitedMS > unreachedMS && s.reached[demand.Model]+s.coming[demand.Model] == 0 {
			wants = append(wants, want{demand: demand, model: model, nearest: s.nearest(model.Name, false)})
			continue
		}
		if pressure := s.pressure(demand, held); pressure > 1 {
			wants = append(wants, want{demand: demand, model: model, replica: true, pressure: pressure, nearest: s.nearest(model.Name, false)})
		}
	}
	sort.SliceStable(wants, func(i, j int) bool { return wants[i].before(&wants[j]) })
	return wants
}

// unreachedMS is how long requests must wait beside a holder, in milliseconds, before another is loaded for them.
const unreachedMS = 300

// before orders wants by their urgency.
func (w *want) before(other *want) bool {
	if rank, otherRank := w.rank(), other.rank(); rank != otherRank {
		return rank < otherRank
	}
	if w.rank() != rankTimely {
		if value, otherValue := w.value(), other.value(); value != otherValue {
			return value > otherValue
		}
	}
	if w.demand.DueMS != other.demand.DueMS {
		return w.demand.DueMS < other.demand.DueMS
	}
	return w.demand.Model < other.demand.Model
}

// Ranks of wants, most urgent first.
const (
	// rankHot is for models that many callers need: busy ones that are loaded nowhere, or overloaded.
	rankHot = iota
	// rankTimely is for waiting models that can still be in time.
	rankTimely
	// rankReplica is for other replicas.
	rankReplica
	// rankLate is for waiting models that are late.
	rankLate
)

const (
	// overloaded is the pressure from which a replica is hot.
	overloaded = 2
	// hotValue is the value from which a model that is loaded nowhere is hot, in requests answered in time.
	hotValue = 6
	// lateShare is what a late answer is worth, as a share of one in time.
	lateShare = 0.15
	// ageMS is the time without any holder that doubles a model's value, so that none is passed over for good.
	ageMS = 4000
	// valueS is for how long the requests to come count, in seconds.
	valueS = 2.5
)

// value returns how many requests a move would serve in time.
func (w *want) value() float64 {
	if w.replica {
		return w.pressure * (w.demand.Rate + w.demand.Recent) / 2
	}
	waiting := float64(w.demand.Waiting)
	if !w.timely() {
		waiting *= lateShare
	}
	return (waiting + w.demand.Rate*valueS) * (1 + w.demand.UnservedMS/ageMS)
}

// timely reports whether the first waiting request can still be in time.
func (w *want) timely() bool {
	return w.demand.Waiting > 0 && w.demand.DueMS >= w.model.TierMS[w.nearest]
}

func (w *want) rank() int {
	switch {
	case w.replica && w.pressure > overloaded, !w.replica && w.value() >= hotValue:
		return rankHot
	case w.replica:
		return rankReplica
	case w.timely():
		return rankTimely
	default:
		return rankLate
	}
}

// Forecast of the load of a model.
const (
	// forecastS is how far a rising rate is extended, in seconds; about the time of a swap.
	forecastS = 1.5
	// runS is how long a request runs when nothing is known of the model's runs, in seconds.
	runS = 0.4
	// rateMemoryS is the difference of the memories of Rate and Recent, in seconds.
	rateMemoryS = 4.0
)

// pressure returns the expected load of each holder as a share of the wanted one.
func (s *state) pressure(demand *Demand, held int) float64 {
	rising := max(demand.Recent-demand.Rate, 0) / rateMemoryS * forecastS
	expected := demand.Recent + rising
	perRequest := runS
	if demand.Rate > 1 && demand.Running > 0 {
		perRequest = min(max(float64(demand.Running)/demand.Rate, runS/2), 4*runS)
	}
	load := max(float64(demand.Running+demand.Waiting), expected*perRequest)
	return load / (float64(held) * s.input.Limits.RunsPerHolder)
}
