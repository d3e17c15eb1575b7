// Package router chooses the worker for one request from what a node knows.
//
// The package holds no clock and does no I/O.
package router

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a worker that has the request's unit ready.
type Candidate struct {
	// ID is the worker's host name.
	ID string
	// Load is the requests running and queued by the last report, plus those sent since; at least 0.
	Load int
	// Slots is how many requests the worker runs at once; at least 1.
	Slots int
	// Penalty is the share of its traffic that the worker loses for slow or failed answers, from 0 to 1.
	Penalty float64
	// Remote is set when the worker is in another zone.
	Remote bool
}

// boundedLoad is how far above the mean load a worker with the right prefix may be.
const boundedLoad = 1.25

// affinitySlack is the load up to which a worker with the right prefix is always taken.
const affinitySlack = 2

// saturation is the load for each slot above which a worker gets nothing more.
const saturation = 2

// Choose returns the index of the best candidate, or -1 when all are
// saturated. The prefix hash names the workers that likely have the prompt's
// prefix cached; seed breaks ties differently at every node and request.
func Choose(candidates []Candidate, prefix, seed uint64) int {
	open := openCandidates(candidates)
	if len(open) == 0 {
		return -1
	}
	if preferred := preferredByPrefix(candidates, open, prefix); preferred >= 0 {
		return preferred
	}
	return lessLoadedOfTwo(candidates, open, seed)
}

// openCandidates returns the indexes of the candidates that may get work: the
// ones in the node's own zone, or else the ones in other zones.
func openCandidates(candidates []Candidate) []int {
	var local, remote []int
	for i, candidate := range candidates {
		if candidate.Load >= candidate.Slots*saturation {
			continue
		}
		if candidate.Remote {
			remote = append(remote, i)
		} else {
			local = append(local, i)
		}
	}
	if len(local) > 0 {
		return local
	}
	return remote
}

// preferredByPrefix returns the candidate that rendezvous hashing assigns to
// the prefix, if its load is within the bound, else -1.
func preferredByPrefix(candidates []Candidate, open []int, prefix uint64) int {
	if prefix == 0 {
		return -1
	}
	best, bestScore, total := -1, uint64(0), 0
	for _, i := range open {
		total += candidates[i].Load
		if score := rendezvous(candidates[i].ID, prefix); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	mean := float64(total) / float64(len(open))
	chosen := candidates[best]
	if chosen.Penalty > 0 || float64(chosen.Load) > affinitySlack+boundedLoad*mean {
		return -1
	}
	return best
}

// Home returns the zone that rendezvous hashing assigns to a unit, or "" when there is no zone.
func Home(zones []string, unit string) string {
	hash := xxhash.Sum64String(unit)
	home, bestScore := "", uint64(0)
	for _, zone := range zones {
		if score := rendezvous(zone, hash); home == "" || score > bestScore {
			home, bestScore = zone, score
		}
	}
	return home
}

func rendezvous(id string, prefix uint64) uint64 {
	return xxhash.Sum64String(id + strconv.FormatUint(prefix, 16))
}

// lessLoadedOfTwo draws two candidates and returns the one with less load for
// each slot. All nodes see the same lagging loads, so that always taking the
// least loaded would send every node to the same worker.
func lessLoadedOfTwo(candidates []Candidate, open []int, seed uint64) int {
	count := uint64(len(open))
	if count == 1 {
		return open[0]
	}
	first := open[seed%count]
	second := open[(seed%count+1+(seed/count)%(count-1))%count]
	if cost(candidates[second]) < cost(candidates[first]) {
		return second
	}
	return first
}

// penaltyWeight is the load for each slot that a full penalty adds.
const penaltyWeight = 4

func cost(candidate Candidate) float64 {
	return float64(candidate.Load)/float64(candidate.Slots) + penaltyWeight*candidate.Penalty
}

// Prefix hashes the beginning of a prompt; it is never 0.
func Prefix(unit string, prompt []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(unit)
	_, _ = digest.Write(prompt[:min(len(prompt), prefixBytes)])
	return max(digest.Sum64(), 1)
}

// prefixBytes is how much of a prompt counts for affinity.
const prefixBytes = 256
