// Package selector chooses the worker of a service without models for one request, from what the node knows of the workers.
//
// The package reads no clock, draws no random numbers of its own and does no I/O.
package selector

import "github.com/samber/lo"

// Candidate is a worker that may be sent the request.
type Candidate struct {
	// Load is the number of requests that the worker is thought to have, RecentLoad the same with its report decayed by age. Slots is how many it
	// runs at the same time.
	Load       int
	RecentLoad float64
	Slots      int
	// Pace is how long work takes at the worker now in percent of the usual time, decayed by the age of the figure; 0 if none is known, which
	// stands for 100.
	Pace float64
	// Surcharge is the cost of the zone, of failures and of limits, in requests.
	Surcharge float64
}

const (
	// usualPace is the pace of a worker at which work takes as long as usual.
	usualPace = 100.0
	// Spread bounds the random term of Select.
	Spread = 1.0
	// fullCost is added when all slots of the worker are taken; it exceeds the surcharge of another zone, so that a free worker there is preferred.
	fullCost = 8.0
)

// cost returns the cost of a worker in requests: the expected wait and the surcharges.
func (c Candidate) cost(load float64) float64 {
	cost := load + 1
	if c.Pace > 0 {
		cost *= c.Pace / usualPace
	}
	if load >= float64(c.Slots) {
		cost += fullCost
	}
	return cost + c.Surcharge
}

// Select returns the index of the candidate with the least cost, or -1 without candidates. A random term below 1 keeps nodes with the same
// information from all choosing the same worker; the function random returns numbers in [0, 1).
//
// Where a worker names a pace, reports of loads count by their age. Reports that count in full draw requests to a slow worker: its own expire
// first, since its responses are rare, and without one it seems idle.
func Select(candidates []Candidate, random func() float64) int {
	best, bestCost := -1, 0.0
	for i, cost := range Costs(candidates) {
		if cost += random() * Spread; best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Costs returns the costs of the candidates without the random term.
func Costs(candidates []Candidate) []float64 {
	paced := lo.SomeBy(candidates, func(candidate Candidate) bool { return candidate.Pace > 0 })
	return lo.Map(candidates, func(candidate Candidate, _ int) float64 {
		if paced {
			return candidate.cost(candidate.RecentLoad)
		}
		return candidate.cost(float64(candidate.Load))
	})
}
