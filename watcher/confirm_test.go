package watcher_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/attester"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

// Guards against a list that was read before a node was cut off or stood still being taken for the current one.
var _ = ginkgo.Describe("confirmation of the list of workers", func() {
	var store *fakeStore
	var list *registrar.Registrar
	var w *watcher.Watcher
	confirm := func(since time.Time) bool { return w.Confirm(time.Now().Add(time.Second), since) }
	ginkgo.BeforeEach(func() {
		store, list = &fakeStore{version: 1, workers: []string{"a"}}, registrar.New()
		w = watcher.New(store.source(), list, attester.New(time.Now), func() {})
	})

	ginkgo.It("finds a worker that was listed since the last read, without waiting for the next one", func() {
		ginkgo.DeferCleanup(w.Stop)
		w.Run()
		gomega.Eventually(func() int { return list.Fleet().Size() }, time.Second, 5*time.Millisecond).Should(gomega.Equal(1))
		w.ApplyForwardedReads(time.Now(), watcher.ForwardedReads{Version: 1, ReadAt: time.Now().Add(time.Hour)}) // The leader reads for this node.
		store.update(func() { store.version, store.workers = 2, []string{"a", "b"} })
		gomega.Expect(confirm(time.Now())).To(gomega.BeTrue())
		gomega.Expect(list.Fleet().Size()).To(gomega.Equal(2))
	})
	ginkgo.It("fails while the store does not respond, and before the first read", func() {
		gomega.Expect(confirm(time.Now())).To(gomega.BeFalse(), "before the first read")
		ginkgo.DeferCleanup(w.Stop)
		w.Run()
		gomega.Eventually(func() int { return list.Fleet().Size() }, time.Second, 5*time.Millisecond).Should(gomega.Equal(1))
		store.update(func() { store.unavailable = true })
		gomega.Expect(confirm(time.Now())).To(gomega.BeFalse())
	})
	ginkgo.It("makes one call for all requests that came before it", func() {
		ginkgo.DeferCleanup(w.Stop)
		w.Run()
		gomega.Eventually(func() int { return list.Fleet().Size() }, time.Second, 5*time.Millisecond).Should(gomega.Equal(1))
		w.ApplyForwardedReads(time.Now(), watcher.ForwardedReads{Version: 1, ReadAt: time.Now().Add(time.Hour)})
		time.Sleep(100 * time.Millisecond) // Reads that have begun end.
		arrivedAt := time.Now()
		before, _ := w.Calls()
		for range 20 {
			gomega.Expect(confirm(arrivedAt)).To(gomega.BeTrue())
		}
		after, _ := w.Calls()
		gomega.Expect(after-before).To(gomega.BeNumerically("<", 20), "the reads of the configuration and the crashes go on beside it")
	})
})
