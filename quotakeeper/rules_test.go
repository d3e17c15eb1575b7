package quotakeeper_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
)

// take is one call to a leader of one of three zones for a tenant of 30,000 tokens/s; the zone has 10,000/s of them.
type take struct {
	AtMS, Epoch                int64
	Node                       string
	Factor                     float64
	Needed, Expected, Returned int64
	// Granted is what the leader must grant, RetryMS what it must say. Factor 0 stands for 1, -1 for no limit.
	Granted, RetryMS int64
}

var _ = ginkgo.Describe("a leader's buckets", func() {
	var cases []struct {
		Name  string
		Takes []take
	}
	gomega.Expect(casereader.Read("testdata/takes.json", &cases)).To(gomega.Succeed())
	for _, c := range cases {
		ginkgo.It("grant what the zone has: "+c.Name, func() {
			granter := quotakeeper.NewGranter(quotakeeper.NewBounds(3, 8, 0.1, 57_000), func() float64 { return 0.5 })
			for i, step := range c.Takes {
				at := time.UnixMilli(step.AtMS)
				if step.Factor == 0 {
					step.Factor = 1
				}
				allowance := func(string) (quotakeeper.Allowance, bool) {
					return scriptedAllowance(max(step.Factor, 0)), true
				}
				if step.Node == "" {
					granter.Begin(at, step.Epoch)
					continue
				}
				asked := []quotakeeper.Request{{Tenant: "t", Needed: step.Needed, Expected: step.Expected, Returned: step.Returned}}
				grants := granter.Take(at, step.Epoch, step.Node, allowance, asked)
				gomega.Expect(grants).To(gomega.Equal([]quotakeeper.Grant{
					{Tenant: "t", Granted: step.Granted, RetryMS: step.RetryMS, Unlimited: step.Factor < 0},
				}), "step %d", i)
			}
		})
	}
})

// scriptedAllowance returns an allowance with a burst of 30,000 tokens times factor, whose buckets at three zones with a slack of 57,000 gain 10,000 times factor
// a second each: the rate is lower by the part of the tolerance that buckets gain in each window and lifetime.
func scriptedAllowance(factor float64) quotakeeper.Allowance {
	if factor == 0 {
		return quotakeeper.Allowance{}
	}
	const tolerancePart, windowAndLifetimeS = 0.375, 8.8
	burst := 30_000 * factor
	return quotakeeper.Allowance{RatePerS: burst - tolerancePart*(burst*0.1+57_000)/windowAndLifetimeS, Burst: burst}
}

// move is one step of a node: a request that arrives, the calls that it must plan, answers to the last of them, or a refund.
type move struct {
	AtMS int64
	// Admit is the cost of a request, which waits for 100 ms; Refund is the number of the request that is refunded, from 1.
	Admit  int64
	Refund int
	// Plan is set if the calls that are planned must be those of Calls.
	Plan  bool
	Calls []struct {
		Zone                       string
		Needed, Expected, Returned int64
	}
	// Answer is the zone of a call that is answered, or that fails if Fails is set.
	Answer           string
	Fails, Unlimited bool
	Granted, RetryMS int64
	// Results are those of all requests so far, RetryAtMS when the last one may retry.
	Results   []string
	RetryAtMS int64
}

// Also guards against a Look that differs from Admit or changes what the node holds.
var _ = ginkgo.Describe("a node's tokens", func() {
	var cases []struct {
		Name  string
		Moves []move
	}
	gomega.Expect(casereader.Read("testdata/moves.json", &cases)).To(gomega.Succeed())
	for _, c := range cases {
		ginkgo.It("are spent by the rules: "+c.Name, func() {
			keeper := quotakeeper.New(quotakeeper.NewBounds(3, 8, 0.1, 0), "a", []string{"b", "a", "c"}, func(string, int64) {})
			var tickets []*quotakeeper.Ticket
			calls := map[string]*quotakeeper.Call{}
			for i, step := range c.Moves {
				now := time.UnixMilli(step.AtMS)
				if step.Admit > 0 {
					allowance := quotakeeper.Allowance{RatePerS: 30_000, Burst: 30_000}
					latest := now.Add(100 * time.Millisecond)
					keeper.Look(now, "t", allowance, 2*step.Admit, latest)
					foreseen, foreseenAt := keeper.Look(now, "t", allowance, step.Admit, latest)
					ticket := keeper.Admit(now, "t", allowance, step.Admit, latest)
					select {
					case <-ticket.Done():
						result, retryAt := ticket.Result()
						gomega.Expect([]any{foreseen, foreseenAt}).To(gomega.Equal([]any{result, retryAt}), "Look of step %d", i)
					default:
						gomega.Expect(foreseen).To(gomega.Equal(quotakeeper.Waiting), "Look of step %d", i)
					}
					tickets = append(tickets, ticket)
				}
				if step.Refund > 0 {
					keeper.Refund(now, tickets[step.Refund-1])
				}
				if call := calls[step.Answer]; call != nil && step.Fails {
					keeper.Fail(now, call)
				} else if call != nil {
					grant := quotakeeper.Grant{Tenant: "t", Granted: step.Granted, RetryMS: step.RetryMS, Unlimited: step.Unlimited}
					keeper.Apply(now, call, []quotakeeper.Grant{grant})
				}
				if step.Plan {
					planned, _ := keeper.Plan(now)
					gomega.Expect(planned).To(gomega.HaveLen(len(step.Calls)), "calls of step %d", i)
					for n, call := range planned {
						want := step.Calls[n]
						gomega.Expect(call.Zone()).To(gomega.Equal(want.Zone), "step %d", i)
						gomega.Expect(call.Requests()).To(gomega.Equal([]quotakeeper.Request{
							{Tenant: "t", Needed: want.Needed, Expected: want.Expected, Returned: want.Returned},
						}), "step %d", i)
						calls[call.Zone()] = call
					}
				}
				for n, want := range step.Results {
					result, retryAt := quotakeeper.Waiting, time.Time{}
					select {
					case <-tickets[n].Done():
						result, retryAt = tickets[n].Result()
					default:
					}
					gomega.Expect(result.String()).To(gomega.Equal(want), "request %d after step %d", n+1, i)
					if step.RetryAtMS > 0 && n == len(step.Results)-1 {
						gomega.Expect(retryAt.UnixMilli()).To(gomega.Equal(step.RetryAtMS), "step %d", i)
					}
				}
			}
		})
	}
})
