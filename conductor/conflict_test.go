package conductor

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("an order whose time is over", func() {
	ginkgo.It("counts as under way if the worker says so, also when nobody had the time to ask before", func() {
		z := newFakeZone(1, 0, 0)
		z.conductor.step()
		known := z.conductor.workers["w0"]
		z.conductor.mu.Lock()
		known.born = 1
		z.conductor.mu.Unlock()
		w := z.workers["w0"]
		w.mu.Lock()
		w.past = []Report{{Born: 1, Orders: 0, Busy: true}}
		w.mu.Unlock()
		past := time.Now().Add(-time.Second)
		tries := &conflicts{deadline: past, reportAt: past}
		err := z.conductor.afterConflict(known, known.worker, Order{Model: "m0"}, tries)
		var failed *SwapError
		gomega.Expect(errors.As(err, &failed)).To(gomega.BeTrue())
		gomega.Expect(failed.underWay).To(gomega.BeTrue())
	})
})
