package limiter_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

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
		// ReportMS is the time after which a leader is told what became of slots, 20 if it is 0. At each of Takeovers, in milliseconds, another node becomes the
		// leader, which knows nothing of its predecessor's grants. Every UnledNode-th node reaches no leader; none if it is 0.
		ReportMS, UnledNode int
		Takeovers           []int
	}
	gomega.Expect(casereader.Read("testdata/brittle_loads.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It("does not turn away more than it bears: "+s.Name, func() {
			const step, seconds, queue, recentMS = 5, 30, 2, 120
			random := rand.New(rand.NewPCG(5, 6))
			nodes := make([]*limiter.Limiter, s.Nodes)
			recent := make([][]int, s.Nodes)
			granter, epoch, clock, announced := limiter.NewSlotGranter(), int64(1), time.Time{}, 0
			type told struct{ tellAt, node int }
			var pending []told
			type heard struct {
				hearAt int
				news   limiter.Brittle
			}
			var news []heard
			nextNews := make([]int64, s.Nodes)
			tells := make([]func(time.Time), s.Nodes)
			if s.ReportMS == 0 {
				s.ReportMS = 20
			}
			at := 0
			for i := range nodes {
				nodes[i] = limiter.New(nil, func() int { return s.Nodes }, func(string) {})
				nodes[i].ReserveBy(limiter.Reservations{
					Reserve: func(_ time.Time, _ string, uses []limiter.SlotUse) (granted bool, retryAt time.Time, err error) {
						if s.UnledNode > 0 && i%s.UnledNode == 0 {
							return false, time.Time{}, errors.New("no leader")
						}
						for _, use := range uses {
							granted, retryAt = granter.Apply(clock, epoch, fmt.Sprint(i), use, announced)
						}
						return granted, retryAt, nil
					},
					Later: func(tell func(time.Time)) {
						tells[i] = tell
						pending = append(pending, told{at + s.ReportMS, i})
					},
				})
			}
			type run struct {
				node, endsAt int
				slot         *limiter.Slot
				acceptAt     int
			}
			var running []run
			var history, rejections []int
			falls, served, offered := 0, 0, 0
			perStep := s.Overload * float64(s.Slots) / float64(s.RunMS) * step
			for ; at < seconds*1000; at += step {
				now := time.Unix(9000, 0).Add(time.Duration(at) * time.Millisecond)
				clock = now
				if lo.Contains(s.Takeovers, at) {
					granter, epoch = limiter.NewSlotGranter(), epoch+1
				}
				for len(pending) > 0 && pending[0].tellAt <= at {
					first := pending[0]
					pending = pending[1:]
					tells[first.node](now)
				}
				for i := range nodes {
					var own []limiter.Brittle
					own, nextNews[i] = nodes[i].BrittleSince(now, nextNews[i], true)
					news = append(news, lo.Map(own, func(b limiter.Brittle, _ int) heard { return heard{at + s.LagMS, b} })...)
				}
				for len(news) > 0 && news[0].hearAt <= at {
					for _, node := range nodes {
						node.LearnBrittle(now, news[0].news)
					}
					news = news[1:]
				}
				kept := running[:0]
				for _, r := range running {
					if at >= r.acceptAt {
						r.slot.Accept()
					}
					if r.endsAt > at {
						kept = append(kept, r)
						continue
					}
					r.slot.End(false)
					nodes[r.node].ObserveBrittle(now, "s", "w", &s.PerSecond)
				}
				running = kept
				history = append(history, len(running))
				announced = history[max(len(history)-1-s.LagMS/step, 0)]
				for arrivals := perStep; arrivals > random.Float64(); arrivals-- {
					node := random.IntN(s.Nodes)
					offered++
					for len(recent[node]) > 0 && at-recent[node][0] >= recentMS {
						recent[node] = recent[node][1:]
					}
					if room, _ := nodes[node].HasRoom(now, "s", "w", announced+len(recent[node]), len(recent[node]), s.Slots); !room {
						continue
					}
					slot, reserved := nodes[node].Reserve(now, limiter.Seat{Service: "s", Zone: "z", Worker: "w", Slots: s.Slots}, now.Add(6*time.Second))
					if !reserved {
						continue
					}
					recent[node] = append(recent[node], at)
					if len(running) < s.Slots+queue {
						served++
						headAt := at + min(int(limiter.SilenceTime.Milliseconds()), s.RunMS/5) // The response begins with the first of some events.
						running = append(running, run{node, at + s.RunMS, slot, headAt})
						continue
					}
					slot.End(true)
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
