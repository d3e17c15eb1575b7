package fleetleader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// moveScript is one entry of testdata/orders.json.
type moveScript struct {
	Name string
	// Wants are the models for which a request waits, one after the other; the orders of the last one are counted.
	Wants []string
	// Copies is set if the worker has copies of all models on its disk.
	Copies bool
	// LoadMS and UnloadMS are how long a load and an unload take.
	LoadMS, UnloadMS int
	// Heartbeats is set if the worker's entry is written when a load ends.
	Heartbeats bool
	// MostOrders bounds the orders of the last move, SeenWithinMS the time from the end of its load to the leader's knowledge of it.
	MostOrders, SeenWithinMS int
}

// Guards against orders that are repeated every few milliseconds until a load of many seconds has ended, and against ends of loads that are seen
// late. The clock is fake: on a busy machine the fake worker's own timers were late by more than the bounds.
func TestOrdersOfAMove(t *testing.T) {
	var scripts []moveScript
	if err := casereader.Read("testdata/orders.json", &scripts); err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { script.play(gomega.NewWithT(t)) })
		})
	}
}

// play lets a worker load the models that the script wants, and checks the orders of the last one.
func (s *moveScript) play(g *gomega.WithT) {
	z := newFakeZone(1, 0, 0)
	w := z.workers["w0"]
	w.mu.Lock()
	w.loadTime = time.Duration(s.LoadMS) * time.Millisecond
	if s.UnloadMS > 0 {
		w.unloadTime = time.Duration(s.UnloadMS) * time.Millisecond
	}
	if !s.Copies {
		w.onDisk = nil
		z.writeHeartbeat("w0", 2)
	}
	w.mu.Unlock()
	z.leader.Run()
	defer time.Sleep(time.Second) // All goroutines must have ended when play returns.
	defer z.leader.Stop()
	callsBefore := 0
	for i, model := range s.Wants {
		w.mu.Lock()
		callsBefore = w.orderCalls
		w.mu.Unlock()
		g.Eventually(func() bool {
			if !z.isLoaded(model) {
				z.sendDemand(model)
				return false
			}
			return true
		}, 10*time.Second, 10*time.Millisecond).Should(gomega.BeTrue(), model)
		if s.Heartbeats {
			w.mu.Lock()
			z.writeHeartbeat("w0", int64(i+3))
			w.mu.Unlock()
			z.leader.Wake()
		}
		g.Eventually(func() bool { return z.knowsLoaded("w0", model) }, 3*time.Second, time.Millisecond).Should(gomega.BeTrue(), model)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	g.Expect(time.Since(w.executedAt)).To(gomega.BeNumerically("<", time.Duration(s.SeenWithinMS)*time.Millisecond), "time until the end of the load was seen")
	g.Expect(w.orderCalls-callsBefore).To(gomega.BeNumerically("<=", s.MostOrders), "orders of the last move")
}

// knowsLoaded reports whether the leader knows that a worker has a model loaded.
func (z *fakeZone) knowsLoaded(worker, model string) bool {
	z.leader.mu.Lock()
	defer z.leader.mu.Unlock()
	state, found := z.leader.workers[worker]
	return found && state.loadedModels[model] != nil
}

// writeHeartbeat lists the entry that a worker writes, under a version of the store; the caller holds the worker's mu.
func (z *fakeZone) writeHeartbeat(id string, version int64) {
	w := z.workers[id]
	entry := registrar.Worker{ID: id, Service: "s", Zone: "z", Slots: 8, Incarnation: 1, OnDisk: w.onDisk, RowVersion: version, Loaded: map[string][]string{}}
	for model := range w.loaded {
		entry.Loaded[model] = nil
		for name, loading := range w.adapters[model] {
			if !loading {
				entry.Loaded[model] = append(entry.Loaded[model], name)
			}
		}
	}
	z.leader.dependencies.Workers.Apply(time.Now(), []registrar.Change{{Worker: entry}})
}
