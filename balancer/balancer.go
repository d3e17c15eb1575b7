// Package balancer chooses a worker for each request: by prompt prefix affinity, else
// by the lower cost of two random candidates. It also assigns home zones to units; a
// unit is a model version, or an adapter on one.
//
// The package reads no clock and does no I/O.
package balancer

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a worker that can run the request.
type Candidate struct {
	// ID is the worker's host name.
	ID string
	// Load is the number of requests that run or wait on the worker according to its last report, plus those sent since; at least 0.
	Load int
	// Slots is how many requests the worker runs concurrently; at least 1.
	Slots int
	// Penalty is the fraction of the traffic withheld from the worker for slow or failed responses, from 0 to 1.
	Penalty float64
	// Remote is set when the worker is in another availability zone than the node.
	Remote bool
}

// affinityLoadFactor is the multiple of the mean load up to which a worker is chosen by
// affinity, as in consistent hashing with bounded loads.
const affinityLoadFactor = 1.25

// affinityLoadSlack is added to that bound, so that affinity also decides at low loads.
const affinityLoadSlack = 2

// maxLoadPerSlot is the load per slot from which a worker counts as saturated.
const maxLoadPerSlot = 2

// Choose returns the index of the chosen candidate, or -1 when all are saturated.
// prefixHash assigns the prompt to a worker that likely has its prefix cached; it is
// 0 for no affinity. seed selects the two random candidates and should differ between
// nodes and between requests.
func Choose(candidates []Candidate, prefixHash, seed uint64) int {
	available := availableCandidates(candidates)
	if len(available) == 0 {
		return -1
	}
	if preferred := affinityCandidate(candidates, available, prefixHash); preferred >= 0 {
		return preferred
	}
	return lessLoadedOfTwo(candidates, available, seed)
}

// availableCandidates returns the indexes of the candidates that are not saturated:
// those in the local zone, or when there are none, those in other zones.
func availableCandidates(candidates []Candidate) []int {
	var local, remote []int
	for i, candidate := range candidates {
		if candidate.Load >= candidate.Slots*maxLoadPerSlot {
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

// affinityCandidate returns the index of the candidate that rendezvous hashing assigns
// to the prefix hash, or -1 when it has a penalty or its load is above the bound.
func affinityCandidate(candidates []Candidate, available []int, prefixHash uint64) int {
	if prefixHash == 0 {
		return -1
	}
	best, bestScore, totalLoad := -1, uint64(0), 0
	for _, i := range available {
		totalLoad += candidates[i].Load
		if score := rendezvousScore(candidates[i].ID, prefixHash); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	meanLoad := float64(totalLoad) / float64(len(available))
	chosen := candidates[best]
	if chosen.Penalty > 0 || float64(chosen.Load) > affinityLoadSlack+affinityLoadFactor*meanLoad {
		return -1
	}
	return best
}

// HomeZone returns the home zone of a unit, which rendezvous hashing selects, or "" when
// zones is empty.
func HomeZone(zones []string, unit string) string {
	hash := xxhash.Sum64String(unit)
	home, bestScore := "", uint64(0)
	for _, zone := range zones {
		if score := rendezvousScore(zone, hash); home == "" || score > bestScore {
			home, bestScore = zone, score
		}
	}
	return home
}

// rendezvousScore returns the score of a worker or zone for a key; the key is assigned
// to the one with the highest score.
func rendezvousScore(id string, key uint64) uint64 {
	return xxhash.Sum64String(id + strconv.FormatUint(key, 16))
}

// lessLoadedOfTwo draws two of the available candidates and returns the index of the
// one with the lower cost (power of two choices). All nodes see the same stale loads,
// so choosing the least loaded worker would send every node's requests to the same one.
func lessLoadedOfTwo(candidates []Candidate, available []int, seed uint64) int {
	count := uint64(len(available))
	if count == 1 {
		return available[0]
	}
	first := available[seed%count]
	second := available[(seed%count+1+(seed/count)%(count-1))%count]
	if cost(candidates[second]) < cost(candidates[first]) {
		return second
	}
	return first
}

// penaltyWeight is the load per slot that a penalty of 1 is equivalent to.
const penaltyWeight = 4

// cost returns the load per slot plus the weighted penalty.
func cost(candidate Candidate) float64 {
	return float64(candidate.Load)/float64(candidate.Slots) + penaltyWeight*candidate.Penalty
}

// PrefixHash returns the hash of a unit and the first prefixBytes of a prompt; it is
// never 0.
func PrefixHash(unit string, prompt []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(unit)
	_, _ = digest.Write(prompt[:min(len(prompt), prefixBytes)])
	return max(digest.Sum64(), 1)
}

// prefixBytes is the number of bytes of a prompt that decide affinity.
const prefixBytes = 256
