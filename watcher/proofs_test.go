package watcher_test

import (
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/attester"
	"github.com/acaciaproxy/acaciaproxy/freshkeeper"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/timekeeper"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

// Guards against keys that are refused although the store answers, and against proofs by reads that have not returned.
var _ = ginkgo.Describe("a node with a staleness bound of keys", func() {
	const revoke = 3 * time.Second // A proof counts for 2 s.
	var s *fakeStore
	var source watcher.Source
	var keeper *freshkeeper.Keeper
	// waits is the longest wait of a feed of the configuration in milliseconds, feeds the number of feeds; the feeds hang until their deadline while
	// hangs is set.
	var waits, feeds atomic.Int64
	var hangs atomic.Bool
	isFresh := func() bool { return keeper.Fresh(timekeeper.Now()) }
	run := func(bound time.Duration) *watcher.Watcher {
		w := watcher.New(source, registrar.New(), attester.New(time.Now), func() {})
		w.ProveWithin(bound, keeper)
		w.Run()
		ginkgo.DeferCleanup(w.Stop)
		gomega.Eventually(w.Ready, time.Second).Should(gomega.BeTrue())
		return w
	}
	ginkgo.BeforeEach(func() {
		s, keeper = &fakeStore{version: 10, workers: []string{"a"}}, freshkeeper.New(revoke)
		waits.Store(0)
		feeds.Store(0)
		hangs.Store(false)
		source = s.source()
		feed := source.FeedCatalog
		source.FeedCatalog = func(deadline time.Time, after, waitMS int64) (watcher.Configuration, error) {
			waits.Store(max(waits.Load(), waitMS))
			feeds.Add(1)
			if hangs.Load() {
				time.Sleep(time.Until(deadline))
				return watcher.Configuration{}, errUnavailable
			}
			time.Sleep(time.Duration(waitMS) * time.Millisecond)
			return feed(deadline, after, waitMS)
		}
	})
	ginkgo.It("counts each read from when it was sent", func() {
		list := source.ListCatalog
		source.ListCatalog = func(deadline time.Time) (watcher.Configuration, error) {
			configuration, err := list(deadline)
			time.Sleep(300 * time.Millisecond)
			return configuration, err
		}
		run(revoke)
		proven := func() bool { _, proven := keeper.Age(timekeeper.Now()); return proven }
		gomega.Eventually(proven, time.Second).Should(gomega.BeTrue()) // A node may be ready an instant before the first proof is recorded.
		age := func() time.Duration { age, _ := keeper.Age(timekeeper.Now()); return age }
		gomega.Consistently(age, 2*time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">=", 300*time.Millisecond))
	})
	ginkgo.It("waits for a tenth of the bound, and for the usual time without one", func() {
		run(revoke)
		gomega.Eventually(feeds.Load, 2*time.Second).Should(gomega.BeNumerically(">", 2))
		gomega.Expect(waits.Load()).To(gomega.Equal(int64(300)))
		waits.Store(0)
		run(0)
		gomega.Eventually(waits.Load, 2*time.Second).Should(gomega.Equal(int64(2500)))
	})
	ginkgo.It("gives a feed that hangs up in time", func() {
		list := source.ListWorkers
		source.ListWorkers = func(deadline time.Time) ([]registrar.Change, int64, error) {
			if hangs.Load() {
				return nil, 0, errUnavailable // So that no other answer ends the pause after a failed read.
			}
			return list(deadline)
		}
		source.FeedWorkers = func(deadline time.Time, _, _ int64) ([]registrar.Change, int64, error) {
			return source.ListWorkers(deadline)
		}
		run(revoke)
		gomega.Eventually(isFresh, time.Second).Should(gomega.BeTrue()) // A node may be ready an instant before the first proof is recorded.
		hangs.Store(true)
		gomega.Consistently(isFresh, 4*time.Second, 10*time.Millisecond).Should(gomega.BeTrue())
	})
	ginkgo.It("reads the configuration itself while its leader proves nothing, and not while it does", func() {
		w := run(revoke)
		forward := func() { w.ApplyForwardedReads(time.Now(), watcher.ForwardedReads{Version: 20, ReadAt: time.Now()}) }
		gomega.Consistently(func() bool { forward(); return isFresh() }, 4*time.Second, 50*time.Millisecond).Should(gomega.BeTrue())
		s.update(func() { s.catalogReads = 0 })
		before := feeds.Load()
		gomega.Consistently(func() int64 {
			forward()
			now := timekeeper.Now()
			keeper.Learn(now, now, 10)
			return feeds.Load()
		}, 3*time.Second, 50*time.Millisecond).Should(gomega.BeNumerically("<=", before+1))
		s.update(func() {
			gomega.Expect(s.catalogReads).To(gomega.BeNumerically("<=", 1), "one read may have been due when the proofs began")
		})
	})
})
