package hedger_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/hedger"
)

// TestWaits guards against a hedged send by few or old latencies, and one that comes while the first send is as fast as usual.
func TestWaits(t *testing.T) {
	var cases []struct {
		Name string
		// Steps are groups of latencies at a time in seconds; WaitMS is the wait after the group, 0 for none.
		Steps []struct {
			At        float64
			MS        []float64
			Times     int
			MinWaitMS float64
			MaxWaitMS float64
		}
	}
	g := gomega.NewWithT(t)
	g.Expect(casereader.Read("testdata/waits.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		h := hedger.New(1)
		for _, step := range test.Steps {
			now := time.Unix(9000, 0).Add(time.Duration(step.At * float64(time.Second)))
			for range step.Times {
				for _, ms := range step.MS {
					h.Observe(now, "s", "r", time.Duration(ms*float64(time.Millisecond)))
				}
			}
			wait, known := h.Wait(now, "s", "r")
			g.Expect(known).To(gomega.Equal(step.MaxWaitMS > 0), "%s: at %v s", test.Name, step.At)
			g.Expect(wait.Seconds()*1000).To(gomega.BeNumerically(">=", step.MinWaitMS), "%s: at %v s", test.Name, step.At)
			g.Expect(wait.Seconds()*1000).To(gomega.BeNumerically("<=", step.MaxWaitMS), "%s: at %v s", test.Name, step.At)
			_, known = h.Wait(now, "s", "other")
			g.Expect(known).To(gomega.BeFalse(), test.Name)
		}
	}
}

// TestDecisions guards against more hedged sends than the share, a share that is lost by denied ones, and a denial for another reason than the first.
func TestDecisions(t *testing.T) {
	var cases []struct {
		Name    string
		Percent float64
		// Requests are counted and then Asked decisions made, and that Rounds times. Denies are the checks that deny all.
		Requests, Asked, Rounds int
		MayHaveRun, LeftMS      int
		Denies                  []string
		// Sent is the number of hedged sends, Reasons the numbers of denials.
		Sent    int
		Reasons map[string]int
	}
	g := gomega.NewWithT(t)
	g.Expect(casereader.Read("testdata/decisions.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		h := hedger.New(test.Percent)
		now := time.Unix(9000, 0)
		results := map[string]int{}
		decide := func(denies ...string) string {
			return h.Decide(now, hedger.Situation{
				Service: "s", MayHaveRun: test.MayHaveRun, MaxAttempts: 2, Deadline: now.Add(time.Duration(test.LeftMS) * time.Millisecond),
				Checks: lo.Map(denies, func(reason string, _ int) hedger.Check {
					return hedger.Check{Reason: reason, Allows: func() bool { return false }}
				}),
			})
		}
		for range test.Rounds {
			for range test.Requests {
				h.CountRequest("s")
			}
			for range test.Asked {
				results[decide(test.Denies...)]++
			}
		}
		sent := results[""]
		delete(results, "")
		g.Expect(sent).To(gomega.Equal(test.Sent), test.Name)
		g.Expect(results).To(gomega.Equal(test.Reasons), test.Name)
		if len(test.Denies) > 0 {
			g.Expect(decide()).To(gomega.BeEmpty(), "%s: the share must not be used", test.Name)
		}
	}
}
