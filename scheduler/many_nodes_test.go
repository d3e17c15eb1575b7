package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/scheduler"
)

// bounds are the share of sends that workers reject, and the load of the busiest worker divided by the mean.
type bounds struct{ Rejected, BusiestToMean float64 }

// crowd is a load of one model at many nodes; testdata/many_nodes.json describes the fields.
type crowd struct {
	Name  string
	Slots []int
	PerS  float64
	bounds
	Before          bounds
	rng             *rand.Rand
	nodes           []*crowdNode
	runs            []crowdRun
	load            []int // Of each worker.
	sends, rejected int
}

// crowdRun is a request that runs.
type crowdRun struct{ node, worker, begun, end int }

// crowdNode is a node with the figures that it has of each worker.
type crowdNode struct {
	phase                              int
	reported, announced, seen, running []int // The sends that it last reported; what was announced; what the worker last said; its sends.
	announcedAt                        int
	seenAt                             []int
	places                             *scheduler.Places
}

const (
	crowdNodes  = 62
	figureEvery = 400  // ms between two reports of a node, and between two announcements to it.
	waitRoom    = 4    // Requests that wait at a worker.
	crowdSpan   = 8000 // ms
)

// play returns what the choice by the scheduler, or that of the least load, leads to.
func (c *crowd) play(spread bool) bounds {
	c.rng, c.nodes, c.runs, c.load, c.sends, c.rejected = rand.New(rand.NewPCG(1, 2)), nil, nil, make([]int, len(c.Slots)), 0, 0
	row := func() []int { return make([]int, len(c.Slots)) }
	for range crowdNodes {
		c.nodes = append(c.nodes, &crowdNode{
			phase: c.rng.IntN(figureEvery), reported: row(), announced: row(), seen: row(), running: row(), seenAt: row(),
			places: scheduler.NewPlaces(),
		})
	}
	busiest := 0.0
	for now := range crowdSpan {
		c.runs = slices.DeleteFunc(c.runs, func(run crowdRun) bool {
			if run.end <= now {
				c.load[run.worker]--
				c.nodes[run.node].running[run.worker]--
				c.nodes[run.node].places.End(at(now), strconv.Itoa(run.worker), at(run.begun))
			}
			return run.end <= now
		})
		for i, node := range c.nodes {
			if now%figureEvery == node.phase {
				copy(node.reported, node.running)
			}
			if (now+figureEvery/3)%figureEvery == node.phase {
				node.announcedAt = now
				for worker := range c.Slots {
					node.announced[worker] = lo.SumBy(c.nodes, func(other *crowdNode) int { return other.reported[worker] })
				}
			}
			if c.rng.Float64() < c.PerS/1000/crowdNodes {
				tried := map[int]bool{}
				for worker := -1; len(tried) < len(c.Slots); tried[worker] = true {
					if worker = c.choose(now, node); !spread {
						worker = c.leastLoaded(node, tried)
					}
					if worker < 0 || c.send(now, i, worker) {
						break
					}
				}
			}
		}
		busiest += float64(slices.Max(c.load)) / max(float64(lo.Sum(c.load))/float64(len(c.load)), 1) / crowdSpan
	}
	return bounds{float64(c.rejected) / float64(c.sends), busiest}
}

// send sends a request of a node to a worker, and reports whether that took it.
func (c *crowd) send(now, node, worker int) bool {
	c.sends++
	taken, id := c.load[worker] < c.Slots[worker]+waitRoom, strconv.Itoa(worker)
	c.nodes[node].places.Begin(at(now), id)
	if taken {
		c.load[worker]++
		c.nodes[node].running[worker]++
		c.nodes[node].places.Accepted(id)
		c.runs = append(c.runs, crowdRun{node, worker, now, now + 225 + int(225*c.rng.ExpFloat64())})
	} else {
		c.rejected++
		c.nodes[node].places.Cancel(at(now), id, at(now), true, c.rng.Float64())
	}
	c.nodes[node].seen[worker], c.nodes[node].seenAt[worker] = c.load[worker], now
	return taken
}

// leastLoaded chooses as nodes did before: the least announced load with a small random term.
func (c *crowd) leastLoaded(node *crowdNode, tried map[int]bool) int {
	costs := lo.Map(c.Slots, func(slots, worker int) float64 {
		full := lo.Ternary(node.announced[worker] >= slots, 1000.0, 0) + lo.Ternary(tried[worker], 1e6, 0)
		return 4*float64(max(node.announced[worker], node.running[worker])) + 8*c.rng.Float64() + full
	})
	return slices.Index(costs, slices.Min(costs))
}

// choose chooses as nodes do now.
func (c *crowd) choose(now int, node *crowdNode) int {
	t, draw := at(now), c.rng.Float64()
	candidates := lo.Map(c.Slots, func(slots, worker int) scheduler.Candidate {
		id := strconv.Itoa(worker)
		load, knownAt := node.places.Load(id, scheduler.Known{
			Announced: node.announced[worker], AnnouncedAt: at(node.announcedAt), Reported: node.seen[worker], ReportedAt: at(node.seenAt[worker]),
		})
		return scheduler.Candidate{Load: load, Slots: slots, KnownAt: knownAt, Closed: node.places.Closed(t, id)}
	})
	if worker := scheduler.Choose(t, candidates, draw); worker >= 0 {
		return worker
	}
	return scheduler.ChooseFull(t, candidates, draw)
}

// Guards against nodes with the same stale figures that all choose the same worker.
var _ = ginkgo.Describe("many nodes with stale figures", func() {
	var crowds []*crowd
	gomega.Expect(casereader.Read("testdata/many_nodes.json", &crowds)).To(gomega.Succeed())
	for _, c := range crowds {
		ginkgo.It("spread their requests over "+c.Name, func() {
			before, now := c.play(false), c.play(true)
			ginkgo.GinkgoWriter.Println(c.Name, "before", before, "now", now)
			gomega.Expect(now.Rejected).To(gomega.BeNumerically("<=", c.Rejected), "rejected now")
			gomega.Expect(now.BusiestToMean).To(gomega.BeNumerically("<=", c.BusiestToMean), "busiest to mean now")
			gomega.Expect(before.Rejected).To(gomega.BeNumerically(">=", c.Before.Rejected), "rejected before")
			gomega.Expect(before.BusiestToMean).To(gomega.BeNumerically(">=", c.Before.BusiestToMean), "busiest to mean before")
		})
	}
})
