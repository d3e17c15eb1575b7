package budgeter_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/budgeter"
)

// TestReturnRetry guards against retries that were not sent and still use the budget, and against returns that raise it beyond its capacity.
func TestReturnRetry(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	budget := budgeter.New(budgeter.Limits{Ratio: 1, Slack: 2, WindowS: 10}, func() int { return 1 })
	for range 3 {
		budget.CountRequest(now, "service")
	}
	allowed, left := budget.AllowRetry(now, "service")
	g.Expect(allowed).To(gomega.BeTrue())
	g.Expect(left).To(gomega.BeNumerically("~", 0.8, 1e-9)) // Nine tenths of the slack are used.
	for range 2 {
		budget.ReturnRetry(now, "service")
	}
	_, left = budget.AllowRetry(now, "service")
	g.Expect(left).To(gomega.BeNumerically("~", 0.8, 1e-9))
}
