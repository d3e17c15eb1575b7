package watcher_test

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

func TestWatcher(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "watcher")
}

// store is a fake store with switches for its faults.
type store struct {
	// mu guards everything below.
	mu      sync.Mutex
	version int64
	// compacted makes the next feeds fail, away makes all calls fail, stale makes lists tell an old version.
	compacted, away, stale bool
	// silent makes feeds of the configuration say nothing.
	silent  bool
	workers []string
	lists   int
}

var errAway = errors.New("the store is away")

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *store) document() (watcher.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return watcher.Document{}, errAway
	}
	version := s.version
	if s.stale {
		version -= 5
	}
	return watcher.Document{Catalog: cataloger.New(version, nil, nil, cataloger.Limits{}), After: s.version}, nil
}

func (s *store) source() watcher.Source {
	return watcher.Source{
		ListCatalog: func(time.Time) (watcher.Document, error) {
			s.mu.Lock()
			s.lists++
			s.mu.Unlock()
			return s.document()
		},
		FeedCatalog: func(_ time.Time, after, _ int64) (watcher.Document, error) {
			time.Sleep(10 * time.Millisecond)
			for s.isSilent() {
				time.Sleep(10 * time.Millisecond)
			}
			s.mu.Lock()
			compacted, news := s.compacted, s.version > after
			s.compacted = false
			s.mu.Unlock()
			if compacted {
				return watcher.Document{}, watcher.NewCompactedError("t", after)
			}
			document, err := s.document()
			if !news {
				document.Catalog = nil
			}
			return document, err
		},
		ListWorkers: s.list,
		FeedWorkers: func(time.Time, int64, int64) ([]registrar.Change, int64, error) { return s.list(time.Time{}) },
	}
}

func (s *store) list(time.Time) ([]registrar.Change, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, 0, errAway
	}
	var changes []registrar.Change
	for _, id := range s.workers {
		changes = append(changes, registrar.Change{Worker: registrar.Worker{ID: id, Service: "s", RowVersion: s.version}})
	}
	return changes, s.version, nil
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

var _ = ginkgo.Describe("the configuration in force", func() {
	var s *store
	var w *watcher.Watcher
	ginkgo.BeforeEach(func() {
		s = &store{version: 10, workers: []string{"a"}}
		w = watcher.New(s.source(), registrar.New(), func() {})
		w.Run()
		ginkgo.DeferCleanup(w.Stop)
		gomega.Eventually(w.Ready, time.Second).Should(gomega.BeTrue())
	})
	version := func() int64 { return w.Catalog().Version() }

	ginkgo.It("follows changes", func() {
		s.set(func() { s.version = 12 })
		gomega.Eventually(version, time.Second).Should(gomega.Equal(int64(12)))
	})
	ginkgo.It("is read whole after the store dropped its history", func() {
		s.set(func() { s.version, s.compacted = 13, true })
		gomega.Eventually(version, time.Second).Should(gomega.Equal(int64(13)))
		s.set(func() { gomega.Expect(s.lists).To(gomega.BeNumerically(">=", 2)) })
	})
	ginkgo.It("is read at once when a peer has a newer one and the own feed is silent", func() {
		s.set(func() { s.version, s.silent = 15, true })
		gomega.Consistently(version, 200*time.Millisecond).Should(gomega.Equal(int64(10)))
		w.Hear(15)
		gomega.Eventually(version, 500*time.Millisecond).Should(gomega.Equal(int64(15)))
		s.set(func() { s.silent = false })
	})
	ginkgo.It("is not asked for again and again while the store refuses and peers tell of a newer one", func() {
		s.set(func() { s.away = true })
		time.Sleep(50 * time.Millisecond)
		before, _ := w.Calls()
		gomega.Consistently(func() int64 { w.Hear(15); made, _ := w.Calls(); return made - before }, time.Second, 5*time.Millisecond).
			Should(gomega.BeNumerically("<=", 16), "calls in a second: the two feeds and the peers' hints, each four times")
	})
	ginkgo.It("never goes back", func() {
		s.set(func() { s.stale, s.compacted = true, true })
		gomega.Consistently(version, 300*time.Millisecond).Should(gomega.Equal(int64(10)))
	})
	ginkgo.It("stays while the store is away, and follows it after", func() {
		s.set(func() { s.away, s.version = true, 14 })
		gomega.Consistently(version, 300*time.Millisecond).Should(gomega.Equal(int64(10)))
		s.set(func() { s.away = false })
		gomega.Eventually(version, 2*time.Second).Should(gomega.Equal(int64(14)))
	})
})
