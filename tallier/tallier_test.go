package tallier_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/tallier"
)

func TestTallier(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "tallier")
}

var _ = ginkgo.Describe("counts", func() {
	ginkgo.It("contain waiting and running requests until they end, and arrived requests forever", func() {
		tally := tallier.New()
		key := tallier.Key{Service: "s", Model: "m"}
		changed := tally.Changed()
		tally.CountArrival(key)
		due := time.Now().Add(time.Second)
		endLate := tally.StartWaiting(key, due.Add(time.Second))
		endFirst := tally.StartWaiting(key, due)
		gomega.Expect(changed).To(gomega.BeClosed())
		demands, _ := tally.Snapshot()
		gomega.Expect(demands[key].Waiting).To(gomega.Equal(2))
		gomega.Expect(demands[key].EarliestDue).To(gomega.Equal(due))
		endFirst()
		endFirst() // A second call has no effect.
		demands, _ = tally.Snapshot()
		gomega.Expect(demands[key].Waiting).To(gomega.Equal(1))
		endLate()
		endRun := tally.StartRunning(tallier.RunKey{Worker: "w", Model: "m"})
		_, running := tally.Snapshot()
		gomega.Expect(running).To(gomega.Equal(map[tallier.RunKey]int{{Worker: "w", Model: "m"}: 1}))
		endRun()
		demands, runs := tally.Snapshot()
		gomega.Expect(demands[key]).To(gomega.Equal(tallier.Demand{Requests: 1}))
		gomega.Expect(runs).To(gomega.BeEmpty())
	})
})
