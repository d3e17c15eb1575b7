package fleetleader

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// Guards against orders that are planned by what a worker held before it restarted: its report was under way when its new entry arrived.
var _ = ginkgo.Describe("a worker's report", func() {
	var cases []struct {
		Name   string
		Report Report
		// EntryBorn is that of the worker's entry when the report arrives. KnownCount is the order count known before.
		EntryBorn, KnownCount int64
		// Believed is set if the report replaces what is known.
		Believed bool
	}
	gomega.Expect(casereader.Read("testdata/reports.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		ginkgo.It(test.Name, func() {
			z := newFakeZone(1, 0, 0)
			z.leader.mu.Lock()
			state := &workerState{news: make(chan struct{}, 1)}
			state.applyHeartbeat(time.Now(), &registrar.Worker{ID: "w0", Incarnation: 1})
			state.orderCount, state.readingReport = test.KnownCount, true
			z.leader.mu.Unlock()
			z.leader.dependencies.ReadReport = func(context.Context, *registrar.Worker) (Report, error) {
				z.leader.mu.Lock()
				defer z.leader.mu.Unlock()
				state.applyHeartbeat(time.Now(), &registrar.Worker{ID: "w0", Incarnation: test.EntryBorn})
				return test.Report, nil
			}
			z.leader.readReport(z.leader.epoch, state)
			z.leader.mu.Lock()
			defer z.leader.mu.Unlock()
			if !test.Believed {
				gomega.Expect(state.incarnation).To(gomega.Equal(test.EntryBorn))
				gomega.Expect(state.loadedModels).To(gomega.BeEmpty())
				gomega.Expect(state.needsReport).To(gomega.BeTrue(), "another report is read")
				return
			}
			gomega.Expect([]int64{state.incarnation, state.orderCount}).To(gomega.Equal([]int64{test.Report.Incarnation, test.Report.OrderCount}))
			gomega.Expect(state.modelNames()).To(gomega.HaveLen(len(test.Report.Loaded)))
			gomega.Expect(state.needsReport).To(gomega.BeFalse())
		})
	}
})
