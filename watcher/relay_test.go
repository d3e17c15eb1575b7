package watcher_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

var _ = ginkgo.Describe("a node whose leader tells what it read", func() {
	var s *store
	var list *registrar.Registrar
	var w *watcher.Watcher
	calls := func() int64 { made, _ := w.Calls(); return made }
	relay := func(changes ...registrar.Change) {
		now := time.Now()
		w.TakeRelay(now, watcher.Relay{Version: 20, ReadAt: now, Changes: changes})
	}
	ginkgo.BeforeEach(func() {
		s = &store{version: 10, workers: []string{"a"}}
		list = registrar.New()
		w = watcher.New(s.source(), list, func() {})
		w.Run()
		ginkgo.DeferCleanup(w.Stop)
		gomega.Eventually(w.Ready, time.Second).Should(gomega.BeTrue())
		relay()
		time.Sleep(700 * time.Millisecond) // The calls that were under way end.
	})

	ginkgo.It("does not read the store", func() {
		before := calls()
		gomega.Consistently(func() int64 { relay(); return calls() }, 2*time.Second, 100*time.Millisecond).Should(gomega.Equal(before))
		gomega.Expect(w.ReadAt(time.Now())).To(gomega.BeZero(), "others cannot be told what this node did not read")
	})
	ginkgo.It("takes in the workers that come and go", func() {
		relay(registrar.Change{Worker: registrar.Worker{ID: "b", Service: "s", RowVersion: 19}}, registrar.Change{Worker: registrar.Worker{ID: "a", RowVersion: 20}, Removed: true})
		_, found := list.Fleet().Worker("b")
		gomega.Expect(found).To(gomega.BeTrue())
		_, found = list.Fleet().Worker("a")
		gomega.Expect(found).To(gomega.BeFalse())
		gomega.Expect(w.ListVersion()).To(gomega.Equal(int64(20)))
	})
	ginkgo.It("reads by itself at once when its leader is lost", func() {
		relay()
		before := calls()
		w.EndRelay()
		gomega.Eventually(calls, 200*time.Millisecond, 5*time.Millisecond).Should(gomega.BeNumerically(">", before))
	})
	ginkgo.It("takes in at once what it reads by itself, though its leader lost the store", func() {
		relay()
		s.set(func() { s.workers, s.version = nil, 21 })
		w.EndRelay()
		gomega.Eventually(func() int { return list.Fleet().Size() }, 300*time.Millisecond, 10*time.Millisecond).Should(gomega.BeZero())
	})
	ginkgo.It("reads by itself when what its leader read is old", func() {
		before := calls()
		old := time.Now().Add(-2 * time.Second)
		w.TakeRelay(time.Now(), watcher.Relay{Version: 21, ReadAt: old})
		gomega.Eventually(calls, time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">", before))
	})
})
