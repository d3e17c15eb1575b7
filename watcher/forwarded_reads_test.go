package watcher_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/attester"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

var _ = ginkgo.Describe("a node whose leader forwards its reads of the store", func() {
	var s *fakeStore
	var list *registrar.Registrar
	var w *watcher.Watcher
	callCount := func() int64 { made, _ := w.Calls(); return made }
	applyReads := func(changes ...registrar.Change) {
		now := time.Now()
		w.ApplyForwardedReads(now, watcher.ForwardedReads{Version: 20, ReadAt: now, Changes: changes})
	}
	ginkgo.BeforeEach(func() {
		s = &fakeStore{version: 10, workers: []string{"a"}}
		list = registrar.New()
		w = watcher.New(s.source(), list, attester.New(time.Now), func() {})
		w.Run()
		ginkgo.DeferCleanup(w.Stop)
		gomega.Eventually(w.Ready, time.Second).Should(gomega.BeTrue())
		applyReads()
		time.Sleep(700 * time.Millisecond) // The calls that were already in progress end.
	})

	ginkgo.It("does not read the store", func() {
		before := callCount()
		gomega.Consistently(func() int64 { applyReads(); return callCount() }, 2*time.Second, 100*time.Millisecond).Should(gomega.Equal(before))
		gomega.Expect(w.ReadAt(time.Now())).To(gomega.BeZero(), "a read of the leader must not be reported as this node's own")
	})
	ginkgo.It("applies forwarded changes of the list of workers", func() {
		applyReads(registrar.Change{Worker: registrar.Worker{ID: "b", Service: "s", RowVersion: 19}}, registrar.Change{Worker: registrar.Worker{ID: "a", RowVersion: 20}, Removed: true})
		_, found := list.Fleet().Worker("b")
		gomega.Expect(found).To(gomega.BeTrue())
		_, found = list.Fleet().Worker("a")
		gomega.Expect(found).To(gomega.BeFalse())
		gomega.Expect(w.ListVersion()).To(gomega.Equal(int64(20)))
	})
	// Guards against requests to workers that have left although the leader's list, which is whole, does not hold them (DRAIN).
	ginkgo.It("removes the workers that are missing from a whole list of the leader", func() {
		now := time.Now()
		w.ApplyForwardedReads(now, watcher.ForwardedReads{Version: 20, ReadAt: now, Whole: true, Changes: []registrar.Change{{Worker: registrar.Worker{ID: "b", Service: "s", RowVersion: 19}}}})
		gomega.Expect(list.Fleet().Size()).To(gomega.Equal(1))
		_, found := list.Fleet().Worker("b")
		gomega.Expect(found).To(gomega.BeTrue())
		gomega.Expect(w.ListBase()).To(gomega.Equal(int64(20)))
	})
	ginkgo.It("reads the store itself immediately when its leader is lost", func() {
		applyReads()
		before := callCount()
		w.EndForwardedReads()
		gomega.Eventually(callCount, 200*time.Millisecond, 5*time.Millisecond).Should(gomega.BeNumerically(">", before))
	})
	ginkgo.It("applies its own reads immediately after its leader lost the store", func() {
		applyReads()
		s.update(func() { s.workers, s.version = nil, 21 })
		w.EndForwardedReads()
		gomega.Eventually(func() int { return list.Fleet().Size() }, 300*time.Millisecond, 10*time.Millisecond).Should(gomega.BeZero())
	})
	// Guards against requests to a worker that has left, because a node takes a failed read of its own for an outage of the store (DRAIN).
	ginkgo.It("removes a worker at once that leaves while only its own reads fail", func() {
		s.update(func() { s.unavailable = true })
		for range 20 {
			applyReads()
			w.NotifyVersion(15)
			time.Sleep(50 * time.Millisecond)
		}
		_, failed := w.Calls()
		gomega.Expect(failed).To(gomega.BeNumerically(">", 0))
		applyReads(registrar.Change{Worker: registrar.Worker{ID: "a", RowVersion: 20}, Removed: true})
		gomega.Expect(list.Fleet().Size()).To(gomega.BeZero())
	})
	ginkgo.It("reads the store itself when the leader's last read is too old", func() {
		before := callCount()
		readAt := time.Now().Add(-2 * time.Second)
		w.ApplyForwardedReads(time.Now(), watcher.ForwardedReads{Version: 21, ReadAt: readAt})
		gomega.Eventually(callCount, time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">", before))
	})
})
