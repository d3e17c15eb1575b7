package scheduler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/scheduler"
)

func TestScheduler(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "scheduler")
}

// at returns a time of a script.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// kind is one kind of requests of a load and what must become of them; testdata/loads.json describes the fields.
type kind struct {
	Tenant, Route                   string
	TenantRank, RouteRank, Tokens   int
	PerS                            float64
	TargetMS, StartMS               int
	Served, AtOnce                  float64
	Refused, WaitedMS, RetryMS      int
	arrived, served, refused, early int
	waitedMS, retryMS               int
}

// load is a script of requests at one node.
type load struct {
	Name                  string
	Places, RunMS, SpanMS int
	MoreMS, MorePlaces    int
	Kinds                 []*kind
	queue                 *scheduler.Queue
	waiting               []*scheduler.Ticket
	kinds                 map[*scheduler.Ticket]*kind
	ends                  []int // When the places in use get free.
}

// play runs the script, with one step a millisecond.
func (l *load) play(rng *rand.Rand) {
	l.queue, l.kinds = scheduler.NewQueue(), map[*scheduler.Ticket]*kind{}
	for now := range l.SpanMS {
		var moreAt time.Time
		places := l.Places
		if l.MoreMS > now {
			moreAt = at(l.MoreMS)
		} else {
			places += l.MorePlaces
		}
		for _, k := range l.Kinds {
			if rng.Float64() < k.PerS/1000 {
				k.arrived++
				request := scheduler.Request{
					Tenant: k.Tenant, Route: k.Route, Rank: scheduler.Rank{Tenant: k.TenantRank, Route: k.RouteRank}, PromptTokens: k.Tokens,
					ArrivedAt: at(now), DueAt: at(now + k.TargetMS), LatestStart: at(now + k.StartMS),
				}
				ticket := l.queue.Add(at(now), request, rng.Float64())
				l.kinds[ticket], l.waiting = k, append(l.waiting, ticket)
			}
		}
		l.ends = slices.DeleteFunc(l.ends, func(end int) bool { return end <= now })
		for len(l.ends) < places {
			ticket := l.queue.Next(func(*scheduler.Ticket) bool { return true })
			if ticket == nil {
				break
			}
			k := l.kinds[ticket]
			l.leave(ticket)
			l.queue.Start(at(now), ticket)
			l.queue.Served(at(now), ticket)
			l.ends = append(l.ends, now+rng.IntN(2*l.RunMS)+k.Tokens/30)
			k.served++
			k.waitedMS = max(k.waitedMS, int(at(now).Sub(ticket.Request().ArrivedAt).Milliseconds()))
		}
		for _, ticket := range slices.Clone(l.waiting) {
			k := l.kinds[ticket]
			if retryAt, late := l.queue.Late(at(now), ticket, moreAt, rng.Float64()); late {
				l.leave(ticket)
				k.refused++
				k.retryMS = max(k.retryMS, int(retryAt.Sub(at(now)).Milliseconds()))
				if at(now).Sub(ticket.Request().ArrivedAt) <= 20*time.Millisecond {
					k.early++
				}
			}
		}
	}
}

// leave takes a ticket out of what waits.
func (l *load) leave(ticket *scheduler.Ticket) {
	l.queue.Remove(ticket)
	l.waiting = slices.DeleteFunc(l.waiting, func(other *scheduler.Ticket) bool { return other == ticket })
}

// Guards against loads that starve other requests, and against requests that wait although they cannot be served in time.
var _ = ginkgo.Describe("requests that wait for a model under load", func() {
	var loads []*load
	gomega.Expect(casereader.Read("testdata/loads.json", &loads)).To(gomega.Succeed())
	for _, l := range loads {
		ginkgo.It(l.Name, func() {
			l.play(rand.New(rand.NewPCG(1, 2)))
			for _, k := range l.Kinds {
				ended := max(k.served+k.refused, 1)
				gomega.Expect(float64(k.served)/float64(ended)).To(gomega.BeNumerically(">=", k.Served), "%s%s served of %d", k.Tenant, k.Route, ended)
				gomega.Expect(k.refused).To(gomega.BeNumerically(">=", k.Refused), "%s%s refused", k.Tenant, k.Route)
				gomega.Expect(float64(k.early)).To(gomega.BeNumerically(">=", k.AtOnce*float64(k.refused)), "%s%s refused at once", k.Tenant, k.Route)
				if k.WaitedMS > 0 {
					gomega.Expect(k.waitedMS).To(gomega.BeNumerically("<=", k.WaitedMS), "%s%s waited", k.Tenant, k.Route)
				}
				if k.RetryMS > 0 {
					gomega.Expect(k.retryMS).To(gomega.BeNumerically("<=", k.RetryMS), "%s%s Retry-After", k.Tenant, k.Route)
				}
			}
		})
	}
})

// Guards against figures that forget what this node did itself, and against further sends to a worker that has just rejected one.
var _ = ginkgo.It("a worker's load is what was announced or, if that is newer, reported, with the node's own sends since", func() {
	places := scheduler.NewPlaces()
	load := func(known scheduler.Known) int {
		count, _ := places.Load("w", known)
		return count
	}
	places.Begin(at(0), "w")
	places.Begin(at(900), "w")
	announced := scheduler.Known{Announced: 5, AnnouncedAt: at(1000)}
	gomega.Expect(load(announced)).To(gomega.Equal(6), "the second send is not announced yet")
	places.End(at(1000), "w", at(0))
	gomega.Expect(load(announced)).To(gomega.Equal(5), "the first send is still announced")
	gomega.Expect(load(scheduler.Known{Announced: 5, AnnouncedAt: at(1000), Reported: 9, ReportedAt: at(950)})).To(gomega.Equal(8))
	places.Cancel(at(1100), "w", at(900), true, 0)
	gomega.Expect([]bool{places.Closed(at(1179), "w"), places.Closed(at(1181), "w")}).To(gomega.Equal([]bool{true, false}))
})
