package limiter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/limiter"
)

// Guards against brittle workers that fall over since many nodes see the same free slot.
var _ = ginkgo.Describe("a brittle worker under more requests than it has room for", func() {
	var scripts []struct {
		Name                       string
		Nodes, Slots, RunMS, LagMS int
		Overload, PerSecond        float64
		ServedShare                float64
	}
	gomega.Expect(casereader.Read("testdata/brittle_loads.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It("does not turn away more than it bears: "+s.Name, func() {
			const step, seconds, queue, recentMS = 5, 30, 2, 120
			random := rand.New(rand.NewPCG(5, 6))
			nodes := make([]*limiter.Limiter, s.Nodes)
			recent := make([][]int, s.Nodes)
			for i := range nodes {
				nodes[i] = limiter.New(nil, func() int { return s.Nodes }, func(string) {})
			}
			type run struct{ node, endsAt int }
			var running []run
			var history, rejections []int
			falls, served, offered := 0, 0, 0
			perStep := s.Overload * float64(s.Slots) / float64(s.RunMS) * step
			for at := 0; at < seconds*1000; at += step {
				now := time.Unix(9000, 0).Add(time.Duration(at) * time.Millisecond)
				kept := running[:0]
				for _, r := range running {
					if r.endsAt > at {
						kept = append(kept, r)
						continue
					}
					nodes[r.node].ObserveBrittle(now, "s", "w", &s.PerSecond)
				}
				running = kept
				history = append(history, len(running))
				announced := history[max(len(history)-1-s.LagMS/step, 0)]
				for arrivals := perStep; arrivals > random.Float64(); arrivals-- {
					node := random.IntN(s.Nodes)
					offered++
					for len(recent[node]) > 0 && at-recent[node][0] >= recentMS {
						recent[node] = recent[node][1:]
					}
					if room, _ := nodes[node].HasRoom(now, "s", "w", announced+len(recent[node]), len(recent[node]), s.Slots); !room {
						continue
					}
					recent[node] = append(recent[node], at)
					if len(running) < s.Slots+queue {
						served++
						running = append(running, run{node, at + s.RunMS})
						continue
					}
					nodes[node].ObserveBrittle(now, "s", "w", &s.PerSecond)
					nodes[node].Rejected(now, "s", "w")
					if at < 3000 {
						continue // Until then, the worker bears any number.
					}
					rejections = append(rejections, at)
					for at-rejections[0] >= 1000 {
						rejections = rejections[1:]
					}
					if float64(len(rejections)) > s.PerSecond {
						falls++
						rejections = nil
					}
				}
			}
			gomega.Expect(falls).To(gomega.BeNumerically("<=", 2), fmt.Sprintf("times that the worker fell over; served %d of %d", served, offered))
			gomega.Expect(float64(served)).To(gomega.BeNumerically(">=", s.ServedShare*float64(offered)))
		})
	}
})
