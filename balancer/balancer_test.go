package balancer

import (
	"fmt"
	"math/rand"
	"testing"
)

func candidates(loads ...int) []Candidate {
	var list []Candidate
	for i, load := range loads {
		list = append(list, Candidate{ID: fmt.Sprint("w", i), Load: load, Slots: 10})
	}
	return list
}

// TestNoHerd lets each of 50 nodes choose once by the same stale loads of eight workers.
// If each chose the least loaded worker, it would get all 50 requests.
func TestNoHerd(t *testing.T) {
	list := candidates(0, 5, 5, 5, 5, 5, 5, 5)
	random := rand.New(rand.NewSource(1))
	counts := make([]int, len(list))
	for range 50 {
		counts[Choose(list, 0, random.Uint64())]++
	}
	for i, count := range counts {
		if count > 25 {
			t.Fatalf("worker %d got %d of 50 requests, expected at most 25", i, count)
		}
	}
	if counts[0] < 5 {
		t.Fatalf("the least loaded worker got %d of 50 requests, expected at least 5", counts[0])
	}
}

func TestChoose(t *testing.T) {
	penalised := candidates(1, 1)
	penalised[0].Penalty = 1
	remote := candidates(3, 0)
	remote[1].Remote = true
	preferred := Choose(candidates(1, 1, 1), 42, 0)
	overloaded := candidates(1, 1, 1)
	overloaded[preferred].Load = 9
	cases := []struct {
		name       string
		candidates []Candidate
		prefixHash uint64
		allowed    []int
	}{
		{"no candidates", nil, 0, []int{-1}},
		{"all saturated", candidates(20, 20), 0, []int{-1}},
		{"saturated worker is skipped", candidates(20, 3), 0, []int{1}},
		{"penalised worker is skipped", penalised, 0, []int{1}},
		{"local zone is preferred", remote, 0, []int{0}},
		{"same prefix goes to the same worker", candidates(1, 1, 1), 42, []int{preferred}},
		{"affinity is ignored for an overloaded worker", overloaded, 42, without(3, preferred)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				chosen := Choose(c.candidates, c.prefixHash, seed)
				found := false
				for _, allowed := range c.allowed {
					found = found || chosen == allowed
				}
				if !found {
					t.Fatalf("seed %d chose candidate %d, expected one of %v", seed, chosen, c.allowed)
				}
			}
		})
	}
}

func without(count, excluded int) []int {
	var rest []int
	for i := range count {
		if i != excluded {
			rest = append(rest, i)
		}
	}
	return rest
}
