package placer

import (
	"sort"
)

// desiredLoad is a model that should get one more holder.
type desiredLoad struct {
	demand *Demand
	model  Model
	// isReplica is set when the model has holders already.
	isReplica bool
	// nearestTier is the tier from which a reachable worker could load it soonest; copyBusyMS is how long that worker still
	// executes another order, in milliseconds.
	nearestTier Tier
	copyBusyMS  float64
	// utilization is the expected utilization of each holder, workers that are loading the model included; 0 unless
	// isReplica is set.
	utilization float64
	// isHot is set for a replica whose holders are certain to be overloaded; only such a replica is loaded from the weight store.
	isHot bool
}

// desiredLoads returns the models to load, in the order of their ranks, most urgent first.
func (b *builder) desiredLoads() []desiredLoad {
	var loads []desiredLoad
	for i := range b.input.Demands {
		demand := &b.input.Demands[i]
		model, known := b.input.Models[demand.Model]
		if !known {
			continue
		}
		holders := b.holders[demand.Model] + b.loading[demand.Model]
		if holders == 0 {
			if demand.isRequested() {
				loads = append(loads, b.newDesiredLoad(demand, model))
			}
			continue
		}
		if demand.Waiting > 0 && demand.WaitedMS > unreachableWaitMS && b.reachable[demand.Model]+b.loading[demand.Model] == 0 {
			loads = append(loads, b.newDesiredLoad(demand, model))
			continue
		}
		if utilization := b.utilization(demand, holders); utilization > 1 {
			replica := b.newDesiredLoad(demand, model)
			replica.isReplica, replica.utilization = true, utilization
			replica.isHot = b.certainUtilization(demand, holders) > hotUtilization
			loads = append(loads, replica)
		}
	}
	sort.SliceStable(loads, func(i, j int) bool { return loads[i].isBefore(&loads[j]) })
	return loads
}

// newDesiredLoad returns the load of a model that no worker has loaded, from where it can be loaded soonest.
func (b *builder) newDesiredLoad(demand *Demand, model Model) desiredLoad {
	source := b.nearestCopy(model, false)
	return desiredLoad{demand: demand, model: model, nearestTier: source.tier, copyBusyMS: source.busyMS}
}

// unreachableWaitMS is how long requests must have waited, in milliseconds, before
// a model whose holders are all in zones that seem cut off is loaded once more.
const unreachableWaitMS = 300

// isBefore orders desired loads by their urgency.
func (l *desiredLoad) isBefore(other *desiredLoad) bool {
	if rank, otherRank := l.rank(), other.rank(); rank != otherRank {
		return rank < otherRank
	}
	if l.rank() != rankInTime {
		if value, otherValue := l.value(), other.value(); value != otherValue {
			return value > otherValue
		}
	}
	if l.demand.DueMS != other.demand.DueMS {
		return l.demand.DueMS < other.demand.DueMS
	}
	return l.demand.Model < other.demand.Model
}

// Ranks of desired loads, most urgent first.
const (
	// rankHot is for models in high demand that are loaded nowhere or whose holders are overloaded.
	rankHot = iota
	// rankInTime is for models whose first waiting request can still be answered in time.
	rankInTime
	// rankReplica is for other replicas.
	rankReplica
	// rankLate is for models whose first waiting request is late in any case.
	rankLate
)

const (
	// hotUtilization is the utilization of a model's holders above which its replica is hot.
	hotUtilization = 2
	// hotValue is the value from which a model that is loaded nowhere is hot, in requests answered in time.
	hotValue = 6
	// lateResponseWeight is the value of a late response as a share of that of one in time.
	lateResponseWeight = 0.15
	// unservedDoublingMS is the time without a holder after which the value of a model's load is doubled, which prevents
	// starvation.
	unservedDoublingMS = 4000
	// valueHorizonS is how many seconds of future requests count into a value.
	valueHorizonS = 2.5
)

// value returns how many requests the load would serve, late ones at lateResponseWeight.
func (l *desiredLoad) value() float64 {
	if l.isReplica {
		return l.utilization * (l.demand.Rate + l.demand.Recent) / 2
	}
	waiting := float64(l.demand.Waiting)
	if !l.isInTime() {
		waiting *= lateResponseWeight
	}
	return (waiting + l.demand.Rate*valueHorizonS) * (1 + l.demand.UnservedMS/unservedDoublingMS)
}

// isInTime reports whether the first waiting request can still be answered in time.
func (l *desiredLoad) isInTime() bool {
	return l.demand.Waiting > 0 && l.demand.DueMS >= l.copyBusyMS+l.model.TierMS[l.nearestTier]
}

func (l *desiredLoad) rank() int {
	switch {
	case l.isReplica && l.isHot, !l.isReplica && l.value() >= hotValue:
		return rankHot
	case l.isReplica:
		return rankReplica
	case l.isInTime():
		return rankInTime
	default:
		return rankLate
	}
}

// isUnservedFromStore reports whether the load is for a model in high demand that no worker has, nor a copy of it.
func (l *desiredLoad) isUnservedFromStore() bool {
	return !l.isReplica && l.rank() == rankHot && l.nearestTier == TierStore
}

// Forecast of the running requests of a model.
const (
	// forecastS is how far a rising rate is extrapolated, in seconds; about the duration of a move.
	forecastS = 1.5
	// defaultRunS is the assumed duration of a request while a model's rate is too low to derive it, in seconds.
	defaultRunS = 0.4
	// rateWindowGapS is the difference between the averaging windows of Rate and Recent, in seconds.
	rateWindowGapS = 4.0
)

// utilization returns the expected number of running requests of each of a number of holders as a share of
// Limits.TargetRunsPerHolder.
//
// While demand rises, Rate lags behind the requests that run, so that runs seem longer than they are and holders are foreseen early.
func (b *builder) utilization(demand *Demand, holders int) float64 {
	return b.forecast(demand, holders, demand.Rate)
}

// certainUtilization is utilization as far as it does not rest on the lag of Rate.
func (b *builder) certainUtilization(demand *Demand, holders int) float64 {
	return b.forecast(demand, holders, max(demand.Rate, demand.Recent))
}

// forecast returns the utilization if the running requests arrived at a rate.
func (b *builder) forecast(demand *Demand, holders int, rate float64) float64 {
	rise := max(demand.Recent-demand.Rate, 0) / rateWindowGapS * forecastS
	expectedRate := demand.Recent + rise
	runS := defaultRunS
	if demand.Rate > 1 && demand.Running > 0 {
		runS = min(max(float64(demand.Running)/rate, defaultRunS/2), 4*defaultRunS)
	}
	expectedRuns := max(float64(demand.Running+demand.Waiting), expectedRate*runS)
	return expectedRuns / (float64(holders) * b.input.Limits.TargetRunsPerHolder)
}
