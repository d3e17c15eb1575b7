package budgeter_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/budgeter"
	"github.com/acaciaproxy/acaciaproxy/scripter"
)

func TestBudgeter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "budgeter")
}

// script is a load on several nodes that repeat whatever they are allowed to.
type script struct {
	Name   string
	Limits budgeter.Limits
	Nodes  int
	// Loads is the requests a second of each node; Seconds is for how long.
	Loads   []int
	Seconds int
	// Tries is how often each request asks to be repeated.
	Tries int
}

var _ = ginkgo.Describe("repeats of all nodes together", func() {
	var scripts []script
	gomega.Expect(scripter.Read("testdata/loads.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It("stay within the budget in every window: "+s.Name, func() { run(s) })
	}
})

func run(s script) {
	budgets := make([]*budgeter.Budgeter, s.Nodes)
	for i := range budgets {
		budgets[i] = budgeter.New(s.Limits, func() int { return s.Nodes })
	}
	start := time.Unix(5000, 0)
	requests, repeats := make([]int, s.Seconds), make([]int, s.Seconds)
	for second := range s.Seconds {
		for node, budget := range budgets {
			for i := range s.Loads[node%len(s.Loads)] {
				now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Millisecond)
				budget.Earn(now, "service")
				requests[second]++
				for range s.Tries {
					if budget.Spend(now, "service") {
						repeats[second]++
					}
				}
			}
		}
	}
	spent := 0
	for from := 0; from+s.Limits.WindowS <= s.Seconds; from++ {
		asked, repeated := 0, 0
		for second := from; second < from+s.Limits.WindowS; second++ {
			asked += requests[second]
			repeated += repeats[second]
		}
		gomega.Expect(float64(repeated)).To(gomega.BeNumerically("<=", s.Limits.Ratio*float64(asked)+s.Limits.Slack), "window from second %d", from)
		spent += repeated
	}
	gomega.Expect(spent).To(gomega.BeNumerically(">", 0))
}
