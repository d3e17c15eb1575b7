package fleetleader

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
)

// silentSeeds is the number of random runs with workers that leave a third of the orders without a response.
const silentSeeds = 60

// unansweredScript is one entry of testdata/unanswered.json.
type unansweredScript struct {
	Name                               string
	Fates                              []fate
	Phases                             [][]string
	LoadMS, UnloadMS                   int
	MostIdleMS, MostFailed, MostOrders int
	// MostReports bounds the reports that are read from w0, unless it is 0.
	MostReports int
	// Counts are counters that must rise, Lines patterns of log lines that must be written.
	Counts, Lines []string
}

// Guards against workers that stay idle, and moves that are abandoned, since the response to an order was lost.
func TestUnansweredOrders(t *testing.T) {
	var scripts []unansweredScript
	if err := casereader.Read("testdata/unanswered.json", &scripts); err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { script.play(t) })
		})
	}
}

func (s *unansweredScript) play(t *testing.T) {
	g := gomega.NewWithT(t)
	logged := casereader.NewCapture()
	defer logged.Close()
	z := newFakeZone(2, 0, 0)
	w := z.workers["w0"]
	loadMS, unloadMS := 420, 50
	if s.LoadMS > 0 {
		loadMS, unloadMS = s.LoadMS, s.UnloadMS
	}
	for _, each := range z.workers {
		each.loadTime, each.unloadTime = time.Duration(loadMS)*time.Millisecond, time.Duration(unloadMS)*time.Millisecond
	}
	catalog := fakeCatalog(float64(loadMS))
	z.leader.dependencies.Catalog = func() *cataloger.Catalog { return catalog }
	w.fates = s.Fates
	recorder := z.leader.dependencies.Recorder
	before := map[string]int64{}
	for _, name := range append(s.Counts, "loads failed", "loads disk") {
		before[name] = recorder.CounterValue(name)
	}
	z.leader.Run()
	defer time.Sleep(2 * time.Second) // All goroutines must have ended when play returns.
	defer z.leader.Stop()
	time.Sleep(500 * time.Millisecond) // Until the first reports are read.
	idleMS := 0
	for _, phase := range s.Phases {
		deadline := time.Now().Add(15 * time.Second)
		for z.lacksAny(phase) {
			g.Expect(time.Now().Before(deadline)).To(gomega.BeTrue(), "%v in 15 s", phase)
			z.sendDemand(phase...)
			z.writeHeartbeats()
			for range 10 {
				time.Sleep(time.Millisecond)
				w.mu.Lock()
				if !w.busy {
					idleMS++
				}
				w.mu.Unlock()
			}
		}
	}
	time.Sleep(time.Second) // Until late orders have arrived.
	failed := int(recorder.CounterValue("loads failed") - before["loads failed"])
	decided, loads := int(recorder.CounterValue("loads disk")-before["loads disk"]), 0
	for _, each := range z.workers {
		each.mu.Lock()
		loads += each.loads
		each.mu.Unlock()
	}
	g.Expect(loads).To(gomega.BeNumerically("<=", decided), "loads that workers accepted, of those decided")
	t.Logf("w0 idle for %d ms, %d orders, %d moves failed, %d reports", idleMS, w.orderCalls, failed, w.reportReads)
	g.Expect(z.crashed()).To(gomega.BeFalse(), "memory overcommitted")
	w.mu.Lock()
	defer w.mu.Unlock()
	g.Expect(idleMS).To(gomega.BeNumerically("<=", s.MostIdleMS), "milliseconds that w0 was idle while requests waited")
	g.Expect(failed).To(gomega.BeNumerically("<=", s.MostFailed), "abandoned moves")
	g.Expect(w.orderCalls).To(gomega.BeNumerically("<=", s.MostOrders), "orders sent to w0")
	if s.MostReports > 0 {
		g.Expect(w.reportReads).To(gomega.BeNumerically("<=", s.MostReports), "reports read from w0")
	}
	g.Expect(logged.Missing(s.Lines)).To(gomega.BeEmpty(), "log lines")
	for _, name := range s.Counts {
		g.Expect(recorder.CounterValue(name)).To(gomega.BeNumerically(">", before[name]), name)
	}
}

// lacksAny reports whether a model or an adapter, as MODEL/ADAPTER, is loaded on no worker.
func (z *fakeZone) lacksAny(units []string) bool {
	for _, unit := range units {
		model, adapter, _ := strings.Cut(unit, "/")
		found := false
		for _, w := range z.workers {
			w.mu.Lock()
			loading, known := w.adapters[model][adapter]
			found = found || w.loaded[model] && (adapter == "" || known && !loading)
			w.mu.Unlock()
		}
		if !found {
			return true
		}
	}
	return false
}

// Guards against repetitions after the lease has expired: another node may give orders then.
func TestRepetitionsEndWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		z := newFakeZone(1, 0, 0)
		w := z.workers["w0"]
		w.fates = []fate{{Lost: true}}
		before := z.leader.dependencies.Recorder.CounterValue("orders repeated")
		z.leader.Run()
		defer time.Sleep(2 * time.Second) // All goroutines must have ended when the test returns.
		defer z.leader.Stop()
		g.Eventually(func() int { z.sendDemand("m0"); return w.calls() }, 3*time.Second, time.Millisecond).Should(gomega.Equal(2))
		g.Expect(z.leader.dependencies.Recorder.CounterValue("orders repeated")).To(gomega.BeNumerically(">", before))
		z.mu.Lock()
		z.leading = false
		z.mu.Unlock()
		time.Sleep(2 * orderTimeout)
		g.Expect(w.calls()).To(gomega.Equal(2), "orders that were written")
	})
}

// calls returns how many orders have arrived.
func (w *fakeWorker) calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.orderCalls
}

// Guards against a load that counts as accepted since a late order of an abandoned move was: its repetitions would be accepted when that one has
// ended, and take memory that is not there.
func TestLateOrderOfAnAbandonedMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		z := newFakeZone(1, 0, 0)
		w := z.workers["w0"]
		w.loadTime = 420 * time.Millisecond
		recorder := z.leader.dependencies.Recorder
		before := recorder.CounterValue("repeated orders proven accepted")
		z.leader.Run()
		defer time.Sleep(2 * time.Second) // All goroutines must have ended when the test returns.
		defer z.leader.Stop()
		loads := func(model string) func() bool {
			return func() bool { z.sendDemand(model); return z.knowsLoaded("w0", model) }
		}
		g.Eventually(loads("m5"), 5*time.Second, 10*time.Millisecond).Should(gomega.BeTrue())
		w.mu.Lock()
		// All attempts to load m0 are lost, but the first is executed between the first attempt to load m1 and its repetition.
		w.orderCalls, w.fates = 0, []fate{{Lost: true, Executed: true, LateMS: 1150}, {Lost: true}, {Lost: true}, {Lost: true}, {Lost: true}, {Lost: true}}
		for range 100 {
			w.fates = append(w.fates, fate{})
		}
		w.mu.Unlock()
		g.Eventually(func() int { z.sendDemand("m0"); return w.calls() }, time.Second, time.Millisecond).Should(gomega.Equal(1))
		g.Eventually(loads("m1"), 10*time.Second, 10*time.Millisecond).Should(gomega.BeTrue())
		g.Expect(z.crashed()).To(gomega.BeFalse(), "memory overcommitted")
		g.Expect(recorder.CounterValue("repeated orders proven accepted")).To(gomega.BeNumerically(">", before), "a report showed one order more")
	})
}

// Guards against a second order that a worker accepts since the leader took another, late one for it: the worker's memory would be overcommitted.
func TestMemoryWithSilentWorkers(t *testing.T) {
	for seed := range uint64(silentSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 5))
				z := newFakeZone(2, 0, 0)
				for _, id := range []string{"w0", "w1"} {
					w := z.workers[id]
					w.loadTime, w.unloadTime = time.Duration(random.IntN(500))*time.Millisecond, time.Duration(random.IntN(300))*time.Millisecond
					for range 997 {
						w.fates = append(w.fates, fate{
							Lost: random.IntN(3) == 0, Executed: random.IntN(3) > 0, LateMS: random.IntN(2) * random.IntN(2000), Closed: random.IntN(8) == 0,
						})
					}
				}
				defer time.Sleep(20 * time.Second) // All goroutines must have ended when the test returns.
				if z.playRandomDemand(random) {
					t.Error("a worker was ordered to load more than fits into its memory")
				}
			})
		})
	}
}
