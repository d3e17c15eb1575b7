package budgeter_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/budgeter"
	"github.com/acaciaproxy/acaciaproxy/casereader"
)

func TestBudgeter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "budgeter")
}

// script is a load on several nodes, which retry as often as the budget allows.
type script struct {
	Name   string
	Limits budgeter.Limits
	Nodes  int
	// Loads are requests per second, assigned to the nodes in turn; Seconds is the duration.
	Loads   []int
	Seconds int
	// Tries is the number of retries that are attempted for each request.
	Tries int
	// Restarts are the seconds at which all nodes restart. From each second of LeaderChanges on, nodes hear for two seconds of one node only, as
	// from a leader that has just taken over.
	Restarts, LeaderChanges []int
	// Changes replace Loads and Tries from a second on.
	Changes []struct {
		At, Tries int
		Loads     []int
	}
	// Least is the least number of retries in the whole time.
	Least int
}

// loadAt returns the loads and the number of retries that are attempted at a second.
func (s script) loadAt(second int) (loads []int, tries int) {
	loads, tries = s.Loads, s.Tries
	for _, change := range s.Changes {
		if second >= change.At {
			loads, tries = change.Loads, change.Tries
		}
	}
	return loads, tries
}

// knownNodes returns the number of nodes that each node hears of at a second.
func (s script) knownNodes(second int) int {
	if lo.SomeBy(s.LeaderChanges, func(from int) bool { return second >= from && second < from+2 }) {
		return 1
	}
	return s.Nodes
}

var _ = ginkgo.Describe("retries of all nodes together", func() {
	var scripts []script
	gomega.Expect(casereader.Read("testdata/loads.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It("stay within the budget in every window: "+s.Name, func() { checkBudget(s) })
	}
})

// checkBudget runs a script and checks that the retries of all nodes stay within the limits in every window.
func checkBudget(s script) {
	budgets := make([]*budgeter.Budgeter, s.Nodes)
	known := s.Nodes
	start := time.Unix(5000, 0)
	restart := func() {
		for i := range budgets {
			budgets[i] = budgeter.New(s.Limits, func() int { return known })
		}
	}
	restart()
	requests, retries := make([]int, s.Seconds), make([]int, s.Seconds)
	for second := range s.Seconds {
		known = s.knownNodes(second)
		if lo.Contains(s.Restarts, second) {
			restart()
		}
		loads, tries := s.loadAt(second)
		for node, budget := range budgets {
			for i := range loads[node%len(loads)] {
				now := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Millisecond)
				budget.CountRequest(now, "service")
				requests[second]++
				for range tries {
					if allowed, _ := budget.AllowRetry(now, "service"); allowed {
						retries[second]++
					}
				}
			}
		}
	}
	totalRetried := 0
	for from := 0; from+s.Limits.WindowS <= s.Seconds; from++ {
		requested, retried := 0, 0
		for second := from; second < from+s.Limits.WindowS; second++ {
			requested += requests[second]
			retried += retries[second]
		}
		gomega.Expect(float64(retried)).To(gomega.BeNumerically("<=", s.Limits.Ratio*float64(requested)+s.Limits.Slack), "retries in the window from second %d", from)
		totalRetried += retried
	}
	gomega.Expect(totalRetried).To(gomega.BeNumerically(">", 0))
	sum := 0
	for _, retried := range retries {
		sum += retried
	}
	gomega.Expect(sum).To(gomega.BeNumerically(">=", s.Least))
}
