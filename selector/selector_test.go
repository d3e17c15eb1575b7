package selector_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/selector"
)

// load is one load of testdata/loads.json.
type load struct {
	Name string
	// Nodes send PerS requests a second together. A request takes ServiceMS at the usual pace, exponentially distributed.
	Nodes           int
	PerS, ServiceMS float64
	// Workers run Slots requests and let Queue wait. Paces are theirs; each moves on to the next worker after ChangeMS, or never if that is 0.
	Workers, Slots, Queue int
	Paces                 []float64
	ChangeMS              int
	// MaxRejected bounds the rejected sends in 100, MaxP99MS the latency in 100 of which 99 are as short. Without a pace, the same load
	// brings the figures beside it, so that a choice that ignores the pace fails.
	MaxRejected, MaxP99MS float64
}

// request is one request of a load, sent at began and again at each of its rejections.
type request struct {
	node         *assessor.Assessor
	began, endMS int
	avoid        map[int]bool
}

// play runs a minute of the load in steps of a millisecond.
func (l load) play() (rejected, p99 float64) {
	random := rand.New(rand.NewPCG(1, 2))
	nodes := lo.Times(l.Nodes, func(int) *assessor.Assessor { return assessor.New() })
	running, waiting := make([][]request, l.Workers), make([][]request, l.Workers)
	var latencies []int
	sends, rejects := 0, 0
	for ms := range 60_000 {
		now := time.UnixMilli(int64(ms))
		pace := func(i int) float64 {
			if l.ChangeMS > 0 {
				i += ms / l.ChangeMS
			}
			return l.Paces[i%len(l.Paces)]
		}
		respond := func(r request, i int, failed bool) {
			r.node.ReportLoad(now, fmt.Sprint(i), len(running[i])+len(waiting[i]))
			r.node.ReportPace(now, fmt.Sprint(i), pace(i))
			r.node.EndSend(now, fmt.Sprint(i), failed)
		}
		send := func(r request) (done bool) {
			free := lo.Filter(lo.Range(l.Workers), func(i, _ int) bool { return !r.avoid[i] })
			chosen := selector.Select(lo.Map(free, func(i, _ int) selector.Candidate {
				a := r.node.Assess(now, fmt.Sprint(i))
				return selector.Candidate{
					Load: max(a.ReportedLoad+a.RecentSends, a.Running), Slots: l.Slots,
					RecentLoad: max(a.DecayedLoad+float64(a.RecentSends), float64(a.Running)), Pace: a.Pace, Surcharge: a.Penalty * 40,
				}
			}), random.Float64)
			if chosen < 0 {
				return true
			}
			i := free[chosen]
			sends++
			r.node.BeginSend(now, fmt.Sprint(i))
			if len(running[i])+len(waiting[i]) < l.Slots+l.Queue {
				waiting[i] = append(waiting[i], r)
				return true
			}
			rejects++
			respond(r, i, true)
			r.avoid[i] = true
			return false
		}
		for i := range l.Workers {
			running[i] = lo.Filter(running[i], func(r request, _ int) bool {
				if r.endMS > ms {
					return true
				}
				latencies = append(latencies, ms-r.began)
				respond(r, i, false)
				return false
			})
			for len(waiting[i]) > 0 && len(running[i]) < l.Slots {
				r := waiting[i][0]
				r.endMS = ms + int(random.ExpFloat64()*l.ServiceMS*pace(i)/100)
				running[i], waiting[i] = append(running[i], r), waiting[i][1:]
			}
		}
		if random.Float64() < l.PerS/1000 {
			for r := (request{node: nodes[random.IntN(l.Nodes)], began: ms, avoid: map[int]bool{}}); !send(r); {
			}
		}
	}
	slices.Sort(latencies)
	return 100 * float64(rejects) / float64(sends), float64(latencies[len(latencies)*99/100])
}

// TestLoads guards against a choice that sends more to slow workers than they can run. The assessors are real; there is no network and no clock.
func TestLoads(t *testing.T) {
	var loads []load
	g := gomega.NewWithT(t)
	g.Expect(casereader.Read("testdata/loads.json", &loads)).To(gomega.Succeed())
	for _, l := range loads {
		rejected, p99 := l.play()
		t.Logf("%s: rejected %.1f in 100, 99 in 100 within %.0f ms", l.Name, rejected, p99)
		g.Expect(rejected).To(gomega.BeNumerically("<=", l.MaxRejected), l.Name)
		g.Expect(p99).To(gomega.BeNumerically("<=", l.MaxP99MS), l.Name)
	}
}

// TestSameFigures guards against nodes that all choose the same worker by the same old figures, and against workers that should get nothing.
func TestSameFigures(t *testing.T) {
	var cases []struct {
		Name       string
		Candidates []selector.Candidate
		// MinShares and MaxShares bound the parts of many choices that go to each.
		MinShares, MaxShares []float64
	}
	g := gomega.NewWithT(t)
	g.Expect(casereader.Read("testdata/figures.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		const choices = 6200
		random := rand.New(rand.NewPCG(3, 4))
		shares := make([]float64, len(test.Candidates)+1) // The last is that of no choice.
		for range choices {
			shares[(selector.Select(test.Candidates, random.Float64)+len(shares))%len(shares)] += 1.0 / choices
		}
		for i := range test.MaxShares {
			g.Expect(shares[i]).To(gomega.BeNumerically(">=", test.MinShares[i]), "%s: %v", test.Name, shares)
			g.Expect(shares[i]).To(gomega.BeNumerically("<=", test.MaxShares[i]+1e-9), "%s: %v", test.Name, shares)
		}
	}
}

// Guards against chances that operators are shown and Select does not keep.
func TestChances(t *testing.T) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	candidates := []selector.Candidate{
		{Load: 1, Slots: 8}, {Load: 1, Slots: 8, Surcharge: 0.3}, {Load: 1, Slots: 8, Surcharge: 0.8}, {Load: 3, Slots: 8},
	}
	const draws = 40_000
	chosen := make([]float64, len(candidates))
	for range draws {
		chosen[selector.Select(candidates, random.Float64)] += 1.0 / draws
	}
	for i, chance := range selector.Chances(selector.Costs(candidates), selector.Spread) {
		g.Expect(chance).To(gomega.BeNumerically("~", chosen[i], 0.01), "candidate %d", i)
	}
}
