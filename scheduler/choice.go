package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// costScale is the cost in milliseconds that lowers the chance of a worker to 1/e: differences below it are outweighed by free places, those of
// some times as much exclude a worker while another one has places.
const costScale = 20.0

// turnover is the time in which most of the requests of a worker end, about that of a short response.
const turnover = 450 * time.Millisecond

// Candidate is a worker that may be sent a request.
type Candidate struct {
	// Load is the estimated number of requests that the worker has, Slots how many it runs at the same time.
	Load, Slots int
	// Cost is what speaks against the worker besides its load, in milliseconds until the first byte.
	Cost float64
	// KnownAt is the time to which the figure of the load belongs.
	KnownAt time.Time
	// Closed is set if the worker must not be sent requests although it may have places, Passed if a request of this node that ended just now has
	// left its place to the next one.
	Closed, Passed bool
}

// use returns the part of the slots of all candidates that is in use.
func use(candidates []Candidate) float64 {
	load, slots := 0, 0
	for i := range candidates {
		load, slots = load+candidates[i].Load, slots+candidates[i].Slots
	}
	return float64(load) / float64(max(slots, 1))
}

// free returns the expected number of free places. The older the figure of the load, the more of the requests that it counts have ended and were
// replaced by others, of which the worker has as many as the average one. A worker that was full less than turnover ago is taken to be full.
func (c *Candidate) free(now time.Time, averageUse float64) float64 {
	age := now.Sub(c.KnownAt)
	if c.Closed || c.Load >= c.Slots && age < turnover {
		return 0
	}
	old := 1 - math.Exp(-age.Seconds()/turnover.Seconds())
	free := float64(c.Slots) - (1-old)*float64(c.Load) - old*averageUse*float64(c.Slots)
	return lo.Ternary(free < 1, 0, free)
}

// Choose returns the index of the worker for a request, or -1 if all are full. Each worker's chance is proportional to its expected free places, so
// that nodes with the same stale figures spread their requests as the workers have places. Draw is a random number in [0, 1).
func Choose(now time.Time, candidates []Candidate, draw float64) int {
	weights := Weights(now, candidates)
	last := -1
	draw *= lo.Sum(weights)
	for i, weight := range weights {
		if weight == 0 {
			continue
		}
		last = i
		if draw < weight {
			return i
		}
		draw -= weight
	}
	return last
}

// Weights returns the weights by which Choose draws; that of a worker that is full is 0.
func Weights(now time.Time, candidates []Candidate) []float64 {
	least, averageUse := math.Inf(1), use(candidates)
	weights := make([]float64, len(candidates))
	for i := range candidates {
		if weights[i] = candidates[i].free(now, averageUse); weights[i] > 0 {
			least = min(least, candidates[i].Cost)
		}
	}
	for i := range candidates {
		if weights[i] > 0 {
			weights[i] *= math.Exp((least - candidates[i].Cost) / costScale)
		}
	}
	return weights
}

// ChoosePassed returns the index of a worker at which a request of this node has left its place, or -1.
func ChoosePassed(_ time.Time, candidates []Candidate, _ float64) int {
	return slices.IndexFunc(candidates, func(c Candidate) bool { return c.Passed && !c.Closed })
}

// ChooseFull returns the index of the worker for a request that is sent although all seem full, since the figures may be old: the one with the
// least load in proportion to its slots that is not closed; -1 if there is none. Draw, a random number in [0, 1), decides between equal ones.
func ChooseFull(_ time.Time, candidates []Candidate, draw float64) int {
	best, bestLoad := -1, 0.0
	first := int(draw * float64(len(candidates)))
	for n := range candidates {
		i := (first + n) % len(candidates)
		c := &candidates[i]
		if c.Closed {
			continue
		}
		load := float64(c.Load)/float64(max(c.Slots, 1)) + c.Cost/costScale
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}
