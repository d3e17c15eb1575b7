package watcher_test

import (
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/attester"
	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

// expiryStep is one event of a script of TestMissingEntries. Times are in milliseconds.
type expiryStep struct {
	At int64
	// Away and Back are set when the store becomes unavailable to this node and available again.
	Away, Back bool
	// Entries, if it is not nil, are the IDs of the workers that have entries from now on; the entries of others are removed.
	Entries []string
	// Learn are the times since the first and the last answer of the store to another node.
	Learn []int64
	// Forward is set if the leader forwards what it has just read, with the removal of Gone, if that is not empty.
	Forward bool
	Gone    string
	// Era is the era that the store is in from now on; 0 for no change.
	Era int64
	// Asked is set when the store answers a call of this node that reads no workers.
	Asked bool
	// Listed are the IDs of the workers that must be listed after the step; nil to check nothing.
	Listed []string
	// Unsure is set if the node must be unsure after the step; it is checked with Listed.
	Unsure bool
	// Base is the version from which on the node must know all changes; 0 to check nothing.
	Base int64
}

// TestMissingEntries plays the scripts on a fake clock.
//
// Guards against requests to workers that have left, because a node takes its own trouble for an outage of the store (DRAIN), and against workers that are
// dropped because their entries lapsed in an outage.
func TestMissingEntries(t *testing.T) {
	var scripts []struct {
		Name  string
		Steps []expiryStep
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/expiry.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { playExpiry(t, script.Steps) }) })
	}
}

func playExpiry(t *testing.T, steps []expiryStep) {
	g, started := gomega.NewWithT(t), time.Now()
	s := &fakeStore{version: 10, workers: []string{"a", "b"}}
	list, evidence := registrar.New(), attester.New(time.Now)
	w := watcher.New(s.source(), list, evidence, func() {})
	w.Run()
	defer func() {
		w.Stop()
		time.Sleep(10 * time.Second) // All goroutines end.
	}()
	for _, step := range steps {
		time.Sleep(time.Until(started.Add(time.Duration(step.At) * time.Millisecond)))
		s.update(func() { step.apply(s) })
		if len(step.Learn) == 2 {
			w.LearnAvailability(time.Duration(step.Learn[0])*time.Millisecond, time.Duration(step.Learn[1])*time.Millisecond, "test")
		}
		if step.Asked {
			evidence.RecordAnswer()
		}
		if step.Forward {
			reads := watcher.ForwardedReads{Version: s.version, ReadAt: time.Now()}
			if step.Gone != "" {
				reads.Changes = []registrar.Change{{Worker: registrar.Worker{ID: step.Gone, RowVersion: s.version}, Removed: true}}
			}
			w.ApplyForwardedReads(time.Now(), reads)
		}
		synctest.Wait()
		if step.Base != 0 {
			g.Expect(w.ListBase()).To(gomega.Equal(step.Base), "after %d ms", step.At)
		}
		if step.Listed == nil {
			continue
		}
		ids := lo.Map(list.Fleet().All(), func(w *registrar.Worker, _ int) string { return w.ID })
		sort.Strings(ids)
		g.Expect(ids).To(gomega.Equal(step.Listed), "after %d ms", step.At)
		g.Expect(w.IsUnsure(time.Now())).To(gomega.Equal(step.Unsure), "after %d ms", step.At)
	}
}

// apply applies the parts of a step that change the store.
func (step expiryStep) apply(s *fakeStore) {
	if step.Away {
		s.unavailable = true
	}
	if step.Back {
		s.unavailable = false
	}
	if step.Era != 0 {
		s.version, _ = platformclient.NewVersion(step.Era, platformclient.RowVersion(s.version))
	}
	if step.Entries != nil {
		s.version++
		s.removed = lo.Without(append(s.removed, s.workers...), step.Entries...)
		s.workers = step.Entries
	}
}

// Guards against an index of workers that stays as it was while the list says that a worker leaves: ignored entries are listed without a read of the store.
func TestIgnoredEntriesThatAreListedLater(t *testing.T) {
	g := gomega.NewWithT(t)
	version := func(era, row int64) int64 {
		v, _ := platformclient.NewVersion(era, row)
		return v
	}
	changes := 0
	list := registrar.New()
	w := watcher.New(watcher.Source{}, list, attester.New(time.Now), func() { changes++ })
	list.Replace(time.Now(), []registrar.Worker{{ID: "a", Service: "s", Incarnation: 5, RowVersion: version(0, 8)}}, version(0, 10))
	list.Replace(time.Now(), []registrar.Worker{{ID: "a", Service: "s", Incarnation: 7, Leaving: true, RowVersion: version(1, 38)}}, version(1, 40))
	w.ObserveEra(time.Now().Add(-5*time.Second), version(1, 0))
	worker, _ := list.Fleet().Worker("a")
	g.Expect(worker.Leaving).To(gomega.BeTrue())
	g.Expect(changes).To(gomega.Equal(1))
}
