package demandcounter_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/demandcounter"
)

func TestDemandCounter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "demandcounter")
}

var _ = ginkgo.Describe("counts", func() {
	ginkgo.It("contain waiting and running requests until they end, and arrived requests even after that", func() {
		counter := demandcounter.New()
		key := demandcounter.Key{Service: "s", Model: "m"}
		changed := counter.Changed()
		counter.CountArrival(key)
		due := time.Now().Add(time.Second)
		endLate := counter.StartWaiting(key, due.Add(time.Second))
		endFirst := counter.StartWaiting(key, due)
		gomega.Expect(changed).To(gomega.BeClosed())
		demands, _ := counter.Snapshot()
		gomega.Expect(demands[key].Waiting).To(gomega.Equal(2))
		gomega.Expect(demands[key].EarliestDue).To(gomega.Equal(due))
		endFirst()
		endFirst() // A second call has no effect.
		demands, _ = counter.Snapshot()
		gomega.Expect(demands[key].Waiting).To(gomega.Equal(1))
		endLate()
		endRun := counter.StartRunning(demandcounter.RunKey{Worker: "w", Model: "m"})
		_, running := counter.Snapshot()
		gomega.Expect(running).To(gomega.Equal(map[demandcounter.RunKey]int{{Worker: "w", Model: "m"}: 1}))
		endRun()
		demands, runs := counter.Snapshot()
		gomega.Expect(demands[key]).To(gomega.Equal(demandcounter.Demand{Requests: 1}))
		gomega.Expect(runs).To(gomega.BeEmpty())
	})

	// Guards against a model that counts as wanted for good at the leaders, which are sent changes only, after a passed-on request has waited for it:
	// arrivals of these are counted at the node that the caller reached.
	ginkgo.It("contain a key that was only waited for when nothing waits any more", func() {
		counter := demandcounter.New()
		key := demandcounter.Key{Service: "s", Model: "m"}
		counter.StartWaiting(key, time.Now())()
		demands, _ := counter.Snapshot()
		gomega.Expect(demands).To(gomega.HaveKeyWithValue(key, demandcounter.Demand{}))
	})
})
