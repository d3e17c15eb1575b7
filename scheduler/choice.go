package scheduler

import "math"

// costScale is the cost in milliseconds that lowers the chance of a worker to 1/e: differences below it are outweighed by free places, those of
// some times as much exclude a worker while another one has places.
const costScale = 20.0

// Candidate is a worker that may be sent a request.
type Candidate struct {
	// Load is the estimated number of requests that the worker has, Slots how many it runs at the same time.
	Load, Slots int
	// Cost is what speaks against the worker besides its load, in milliseconds until the first byte.
	Cost float64
	// Closed is set if the worker must not be sent requests although it may have places.
	Closed bool
}

// free returns the number of free places.
func (c *Candidate) free() int {
	if c.Closed {
		return 0
	}
	return max(c.Slots-c.Load, 0)
}

// Choose returns the index of the worker for a request, or -1 if all are full. Each worker's chance is proportional to the square of its free
// places, so that nodes with the same stale figures spread their requests as the workers have places. Draw is a random number in [0, 1).
func Choose(candidates []Candidate, draw float64) int {
	least := math.Inf(1)
	for i := range candidates {
		if candidates[i].free() > 0 {
			least = min(least, candidates[i].Cost)
		}
	}
	total := 0.0
	weights := make([]float64, len(candidates))
	for i := range candidates {
		free := float64(candidates[i].free())
		weights[i] = free * free * math.Exp((least-candidates[i].Cost)/costScale)
		if free == 0 {
			weights[i] = 0
		}
		total += weights[i]
	}
	last := -1
	draw *= total
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

// ChooseFull returns the index of the worker for a request that is sent although all seem full, since the figures may be old: the one with the
// least load in proportion to its slots that is not closed; -1 if there is none. Draw, a random number in [0, 1), decides between equal ones.
func ChooseFull(candidates []Candidate, draw float64) int {
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
