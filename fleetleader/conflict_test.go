package fleetleader

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("an order past its deadline", func() {
	ginkgo.It("counts as in progress if the first report, read after the deadline, shows the worker busy", func() {
		z := newFakeZone(1, 0, 0)
		z.leader.step()
		state := z.leader.workers["w0"]
		z.leader.mu.Lock()
		state.incarnation = 1
		z.leader.mu.Unlock()
		w := z.workers["w0"]
		w.mu.Lock()
		w.reports = []Report{{Incarnation: 1, OrderCount: 0, Busy: true}}
		w.mu.Unlock()
		past := time.Now().Add(-time.Second)
		asking := &inquiry{deadline: past, reportAt: past}
		err := z.leader.waitAfterConflict(state, state.worker, newDelivery(Order{Model: "m0"}), asking)
		var failed *OrderError
		gomega.Expect(errors.As(err, &failed)).To(gomega.BeTrue())
		gomega.Expect(failed.stillBusy).To(gomega.BeTrue())
	})
})
