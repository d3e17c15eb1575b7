package fleetleader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

func TestFleetLeader(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fleetleader")
}

// Durations and sizes of the fake workers.
const (
	fakeLoad   = 20 * time.Millisecond
	fakeUnload = 5 * time.Millisecond
	// fakeStoreLoad is longer than the configured fakeStoreMS.
	fakeStoreLoad = (fakeStoreMS + 400) * time.Millisecond
	fakeStoreMS   = 1000
	fakeCapacity  = 2 // Models that fit into memory.
	fakeReportAge = 30 * time.Millisecond
	// fakeModelMB, fakeAdapterMB and fakeMemoryMB are sizes of models, adapters and of a worker's memory, fakeAdapterSlots its adapter slots.
	fakeModelMB      = 100
	fakeAdapterMB    = 30
	fakeMemoryMB     = fakeModelMB*fakeCapacity + 50
	fakeAdapterSlots = 2
	fakeAdapterLoad  = 10 * time.Millisecond
)

// fakeWorker handles orders as the users' workers do.
type fakeWorker struct {
	// mu guards everything below.
	mu         sync.Mutex
	orderCount int64
	busy       bool
	loaded     map[string]bool
	// adapters are those that are loaded or, if set, still loading, by model and name.
	adapters map[string]map[string]bool
	// onDisk are the models with a copy on disk according to heartbeats and reports.
	onDisk map[string]bool
	// reports are the reports made up to now, each fakeReportAge after the state it shows.
	reports []Report
	// crashed is set once a load did not fit into memory or adapter slots.
	crashed bool
	random  *rand.Rand
	// evicted is set if the worker has lost the copies that its heartbeats still list.
	evicted bool
	// loadTime and unloadTime are how long loads and unloads take; orderCalls counts the orders that arrived, executedAt is
	// when the last one was executed.
	loadTime, unloadTime time.Duration
	orderCalls           int
	executedAt           time.Time
	// lostShare is the share of orders whose response is lost, lateShare the share of those that are executed late.
	lostShare, lateShare float64
	// loads counts the accepted loads of models, reportReads the reports that were read.
	loads, reportReads int
	// fates are what happens to the orders, repeated from the first on after the last; empty without a script.
	fates []fate
}

// fate is what happens to one order. A lost response is awaited until the sender's deadline.
type fate struct {
	// Lost is set if no response arrives, Executed if the worker handles the order nevertheless, LateMS milliseconds after it was sent. Closed is set if
	// the worker closes the connection without a response, Refused if no connection can be opened. DelayMS is the time until a response that is not lost.
	Lost, Executed, Closed, Refused bool
	LateMS, DelayMS                 int
}

// handleOrder handles an order as the script of fates or the shares of lost and late orders say.
func (w *fakeWorker) handleOrder(ctx context.Context, order Order, check func() error) (Outcome, error) {
	w.mu.Lock()
	next := fate{}
	if len(w.fates) > 0 {
		next = w.fates[w.orderCalls%len(w.fates)]
	}
	if !next.Lost {
		outcome, err := w.handleAnswered(order, check)
		w.mu.Unlock()
		if next.DelayMS == 0 {
			return outcome, err
		}
		select {
		case <-ctx.Done():
			return OutcomeUnknown, ctx.Err()
		case <-time.After(time.Duration(next.DelayMS) * time.Millisecond):
			return outcome, err
		}
	}
	if next.Refused {
		w.orderCalls++
		w.mu.Unlock()
		return OutcomeUnknown, errors.New("connection refused")
	}
	if err := check(); err != nil {
		w.mu.Unlock()
		return OutcomeUnknown, err
	}
	w.orderCalls++
	w.mu.Unlock()
	if next.Executed {
		time.AfterFunc(time.Duration(next.LateMS)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.execute(order)
		})
	}
	if !next.Closed {
		<-ctx.Done()
	}
	return OutcomeUnknown, errors.New("answer lost")
}

// handleAnswered handles an order whose response is lost only by the shares; the caller holds mu.
func (w *fakeWorker) handleAnswered(order Order, check func() error) (Outcome, error) {
	if err := check(); err != nil {
		return OutcomeUnknown, err
	}
	w.orderCalls++
	if w.random.Float64() < w.lostShare {
		if w.random.Float64() < w.lateShare {
			time.AfterFunc(time.Duration(w.random.IntN(maxLateMS))*time.Millisecond, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.execute(order)
			})
		} else {
			w.execute(order)
		}
		return OutcomeUnknown, errors.New("answer lost")
	}
	return w.execute(order), nil
}

// freeMB returns the memory that neither models nor adapters take, and the number of adapters. The caller holds mu.
func (w *fakeWorker) freeMB() (free, adapters int) {
	for _, names := range w.adapters {
		adapters += len(names)
	}
	return fakeMemoryMB - fakeModelMB*len(w.loaded) - fakeAdapterMB*adapters, adapters
}

// executeAdapter executes an order for an adapter: an unload at once, a load in fakeAdapterLoad, in which other orders are accepted.
func (w *fakeWorker) executeAdapter(order Order) Outcome {
	names := w.adapters[order.Model]
	loading, known := names[order.Adapter]
	switch {
	case !order.Unload && known && !loading || order.Unload && !known:
		return OutcomeAlreadyDone
	case w.busy || known && loading || order.ExpectedOrderCount != w.orderCount:
		return OutcomeConflict
	case !w.loaded[order.Model]:
		return OutcomeRefused
	}
	w.orderCount++
	defer w.recordReport()
	if order.Unload {
		delete(names, order.Adapter)
		return OutcomeAlreadyDone
	}
	free, adapters := w.freeMB()
	w.crashed = w.crashed || free < fakeAdapterMB || adapters >= fakeAdapterSlots
	if names == nil {
		names = map[string]bool{}
		w.adapters[order.Model] = names
	}
	names[order.Adapter] = true
	time.AfterFunc(fakeAdapterLoad, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if _, known := names[order.Adapter]; known {
			names[order.Adapter] = false
		}
		w.recordReport()
	})
	return OutcomeAccepted
}

func (w *fakeWorker) execute(order Order) Outcome {
	if order.Adapter != "" {
		return w.executeAdapter(order)
	}
	switch {
	case w.busy:
		return OutcomeConflict
	case w.loaded[order.Model] != order.Unload:
		return OutcomeAlreadyDone
	case order.ExpectedOrderCount != w.orderCount:
		return OutcomeConflict
	}
	w.orderCount++
	w.busy = true
	duration := w.unloadTime
	if !order.Unload {
		w.loads++
		duration = w.loadTime
		if w.evicted {
			duration = fakeStoreLoad
		}
		free, _ := w.freeMB()
		w.crashed = w.crashed || free < fakeModelMB
	}
	time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy = false
		w.executedAt = time.Now()
		if order.Unload {
			delete(w.loaded, order.Model)
			delete(w.adapters, order.Model)
		} else {
			w.loaded[order.Model] = true
		}
		w.recordReport()
	})
	w.recordReport()
	return OutcomeAccepted
}

// recordReport makes the current state the latest report after fakeReportAge; the caller holds mu.
func (w *fakeWorker) recordReport() {
	report := Report{Incarnation: 1, OrderCount: w.orderCount, Busy: w.busy, Loaded: map[string][]string{}, OnDisk: w.onDisk}
	for model := range w.loaded {
		report.Loaded[model] = nil
		for name, loading := range w.adapters[model] {
			if loading {
				report.LoadingAdapters = append(report.LoadingAdapters, model+"/"+name)
			} else {
				report.Loaded[model] = append(report.Loaded[model], name)
			}
		}
	}
	time.AfterFunc(fakeReportAge, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.reports = append(w.reports, report)
	})
}

func (w *fakeWorker) report() Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportReads++
	if len(w.reports) == 0 {
		return Report{Incarnation: 1, Loaded: map[string][]string{}, OnDisk: w.onDisk}
	}
	return w.reports[len(w.reports)-1]
}

// fakeZone is a Leader with fake workers and a fake lease.
type fakeZone struct {
	leader  *Leader
	workers map[string]*fakeWorker
	// heartbeats counts the calls of writeHeartbeats.
	heartbeats int64
	// mu guards everything below.
	mu         sync.Mutex
	leading    bool
	quiet      bool
	ordersSent int
}

func (z *fakeZone) quietRemaining() time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.quiet {
		return time.Second
	}
	return 0
}

func newFakeZone(count int, lostShare, lateShare float64) *fakeZone {
	z := &fakeZone{workers: map[string]*fakeWorker{}, leading: true}
	catalog := fakeCatalog(20)
	onDisk := map[string]bool{}
	for name := range catalog.Services()[0].Models {
		onDisk[name] = true
	}
	list := registrar.New()
	for i := range count {
		id := fmt.Sprintf("w%d", i)
		z.workers[id] = &fakeWorker{loaded: map[string]bool{}, adapters: map[string]map[string]bool{}, onDisk: onDisk, loadTime: fakeLoad, unloadTime: fakeUnload, random: rand.New(rand.NewPCG(uint64(i), 7)), lostShare: lostShare, lateShare: lateShare}
		list.Apply(time.Now(), []registrar.Change{{Worker: registrar.Worker{ID: id, Service: "s", Zone: "z", Slots: 8, Incarnation: 1, OnDisk: onDisk, RowVersion: 1}}})
	}
	z.leader = New(Dependencies{
		CrashesSince:    func(first int64) ([]*nodewire.Suspicion, int64) { return nil, first },
		BrittleSince:    func(first int64) ([]*nodewire.BrittleService, int64) { return nil, first },
		DeparturesSince: func(first int64) ([]*nodewire.Departure, int64) { return nil, first },
		LimitsSince:     func(first int64) ([]*nodewire.WorkerLimit, int64) { return nil, first }, Limited: func(string, int64) bool { return false },
		Node: "n", Zone: "z", Catalog: func() *cataloger.Catalog { return catalog }, Workers: list, Tracker: fleettracker.New(list), ListFreshness: readNow, Recorder: recorder.New(),
		Lease: Lease{Leading: z.leaseState, QuietRemaining: z.quietRemaining, Leases: func() []*nodewire.LeaseView { return nil }, CheckOrder: z.checkOrder},
		SendOrder: func(ctx context.Context, w *registrar.Worker, order Order, check func() error) (Outcome, error) {
			return z.workers[w.ID].handleOrder(ctx, order, check)
		},
		ReadReport: func(_ context.Context, w *registrar.Worker) (Report, error) { return z.workers[w.ID].report(), nil },
	})
	return z
}

// fakeCatalog returns the catalog of a service with models whose loads from a copy should take a time.
func fakeCatalog(copyMS float64) *cataloger.Catalog {
	models := map[string]cataloger.Model{}
	for i := range 6 {
		name := fmt.Sprintf("m%d", i)
		models[name] = cataloger.Model{Name: name, MemoryMB: fakeModelMB, AdapterMB: fakeAdapterMB, StoreMS: fakeStoreMS, DiskMS: copyMS, MemoryMS: copyMS}
	}
	service := cataloger.Service{Name: "s", Models: models, MemoryMB: fakeMemoryMB, AdapterSlots: fakeAdapterSlots, LoadsPerS: 10}
	return cataloger.New(1, nil, []cataloger.Service{service}, cataloger.Limits{})
}

// readNow returns the freshness of a list that was read just now.
func readNow(now time.Time) Freshness { return Freshness{ReadAt: now} }

// subscribe returns a subscription of node "n", which has no demand yet.
func (z *fakeZone) subscribe() *Subscription {
	var subscription *Subscription
	gomega.Eventually(func() bool { subscription = z.leader.Subscribe(); return subscription != nil }, time.Second).Should(gomega.BeTrue())
	subscription.ReceiveDemand(&nodewire.Demand{Node: "n", Zone: "z", Whole: true})
	return subscription
}

func (z *fakeZone) leaseState() (int64, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return 1, z.leading
}

func (z *fakeZone) checkOrder(int64) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.leading {
		return errors.New("lease lost")
	}
	z.ordersSent++
	return nil
}

// sendDemand sends the demand of node "n": one request waits for each model, or for each adapter of a model as MODEL/ADAPTER.
func (z *fakeZone) sendDemand(units ...string) {
	message := &nodewire.Demand{Node: "n", Zone: "z", Whole: true}
	for _, unit := range units {
		model, adapter, _ := strings.Cut(unit, "/")
		message.Models = append(message.Models, &nodewire.ModelDemand{Service: "s", Model: model, Adapter: adapter, Waiting: 1, DueMs: 2000, Asked: 1})
	}
	z.leader.ReceiveDemand(message)
}

// writeHeartbeats writes the entries of all workers, under a version that is later than the last.
func (z *fakeZone) writeHeartbeats() {
	z.heartbeats++
	for id, w := range z.workers {
		w.mu.Lock()
		z.writeHeartbeat(id, z.heartbeats+1)
		w.mu.Unlock()
	}
	z.leader.dependencies.Tracker.MarkWorkersChanged()
}

func (z *fakeZone) isLoaded(model string) bool {
	for _, w := range z.workers {
		w.mu.Lock()
		loaded := w.loaded[model]
		w.mu.Unlock()
		if loaded {
			return true
		}
	}
	return false
}

func (z *fakeZone) crashed() bool {
	for _, w := range z.workers {
		w.mu.Lock()
		crashed := w.crashed
		w.mu.Unlock()
		if crashed {
			return true
		}
	}
	return false
}

var _ = ginkgo.Describe("a zone's leader", func() {
	ginkgo.It("loads models for which requests wait and unloads models without demand", func() {
		z := newFakeZone(1, 0, 0)
		z.leader.Run()
		defer z.leader.Stop()
		for _, model := range []string{"m0", "m1", "m2", "m3"} {
			gomega.Eventually(func() bool { z.sendDemand(model); return z.isLoaded(model) }, 3*time.Second, 10*time.Millisecond).Should(gomega.BeTrue(), model)
		}
		gomega.Expect(z.crashed()).To(gomega.BeFalse())
	})
	// Guards against adapters that are ordered beyond a worker's memory.
	ginkgo.It("loads the adapters for which requests wait one after the other if only one fits", func() {
		z := newFakeZone(1, 0, 0)
		z.leader.Run()
		defer z.leader.Stop()
		for _, unit := range []string{"m0", "m1"} {
			gomega.Eventually(func() bool { z.sendDemand(unit); return z.isLoaded(unit) }, 3*time.Second, 10*time.Millisecond).Should(gomega.BeTrue(), unit)
		}
		w := z.workers["w0"]
		for _, adapter := range []string{"a1", "a2", "a3"} {
			gomega.Eventually(func() bool {
				z.writeHeartbeats()
				z.sendDemand("m0/" + adapter)
				w.mu.Lock()
				defer w.mu.Unlock()
				loading, known := w.adapters["m0"][adapter]
				return known && !loading
			}, 3*time.Second, 10*time.Millisecond).Should(gomega.BeTrue(), adapter)
		}
		gomega.Expect(z.crashed()).To(gomega.BeFalse())
	})
	ginkgo.It("sends no order after its lease is lost, also in the middle of a move", func() {
		z := newFakeZone(2, 0, 0)
		z.leader.Run()
		defer z.leader.Stop()
		gomega.Eventually(func() int { z.sendDemand("m0", "m1", "m2"); z.mu.Lock(); defer z.mu.Unlock(); return z.ordersSent }, 3*time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">", 0))
		z.mu.Lock()
		z.leading = false
		ordersSent := z.ordersSent
		z.mu.Unlock()
		gomega.Consistently(func() int { z.sendDemand("m3", "m4"); z.mu.Lock(); defer z.mu.Unlock(); return z.ordersSent }, 400*time.Millisecond).Should(gomega.Equal(ordersSent))
	})
	ginkgo.It("publishes the models that its predecessor loaded, also during the quiet period", func() {
		z := newFakeZone(1, 0, 0)
		z.quiet = true
		w := z.workers["w0"]
		w.mu.Lock()
		gomega.Expect(w.execute(Order{Model: "m5"})).To(gomega.Equal(OutcomeAccepted))
		w.mu.Unlock()
		z.leader.Run()
		defer z.leader.Stop()
		subscription := z.subscribe()
		defer subscription.Close()
		announced := func() bool {
			for _, worker := range subscription.Next(nil).GetWorkers() {
				gomega.Expect(worker.GetBusyMs()).To(gomega.BeNumerically(">", 0), "the workers are reported busy in the quiet period, so that other zones plan without them")
				for _, unit := range worker.GetUnits() {
					if unit.GetModel() == "m5" && unit.GetReadyMs() == 0 {
						return true
					}
				}
			}
			return false
		}
		gomega.Eventually(announced, 2*time.Second, time.Millisecond).Should(gomega.BeTrue())
		gomega.Expect(z.ordersSent).To(gomega.BeZero())
	})
	ginkgo.It("waits for a load that falls back to the weight store and publishes its new expected end", func() {
		z := newFakeZone(1, 0, 0)
		z.workers["w0"].evicted = true
		z.leader.Run()
		defer z.leader.Stop()
		subscription := z.subscribe()
		defer subscription.Close()
		z.sendDemand("m0")
		announced := int64(0)
		for deadline := time.Now().Add(3 * time.Second); !z.isLoaded("m0") && time.Now().Before(deadline); {
			for _, worker := range subscription.Next(nil).GetWorkers() {
				for _, unit := range worker.GetUnits() {
					announced = max(announced, unit.GetReadyMs())
				}
			}
		}
		gomega.Expect(z.isLoaded("m0")).To(gomega.BeTrue())
		gomega.Expect(announced).To(gomega.BeNumerically(">", fakeStoreMS/4), "milliseconds until the end of a load from the weight store")
		z.leader.mu.Lock()
		defer z.leader.mu.Unlock()
		gomega.Expect(z.leader.workers["w0"].failures).To(gomega.BeZero())
	})
	// Guards against requests that are held until their deadline for a load whose announced end has passed.
	ginkgo.It("publishes a later end of a load from the weight store that takes twice as long as one alone", func() {
		z := newFakeZone(1, 0, 0)
		w := z.workers["w0"]
		w.mu.Lock()
		w.onDisk, w.loadTime = nil, 2*fakeStoreMS*time.Millisecond
		z.writeHeartbeat("w0", 2)
		w.mu.Unlock()
		z.leader.Run()
		defer z.leader.Stop()
		subscription := z.subscribe()
		defer subscription.Close()
		z.sendDemand("m0")
		started := time.Time{}
		announced := int64(0)
		for deadline := time.Now().Add(4 * time.Second); !z.isLoaded("m0") && time.Now().Before(deadline); {
			for _, worker := range subscription.Next(nil).GetWorkers() {
				for _, unit := range worker.GetUnits() {
					if started.IsZero() && unit.GetReadyMs() > 0 {
						started = time.Now()
					}
					if !started.IsZero() && time.Since(started) > fakeStoreMS*time.Millisecond {
						announced = max(announced, unit.GetReadyMs())
					}
				}
			}
		}
		gomega.Expect(announced).To(gomega.BeNumerically(">", fakeStoreMS/5), "milliseconds from the first announced end to the next")
	})
	ginkgo.It("publishes a model immediately when its load starts and when it is loaded", func() {
		z := newFakeZone(1, 0, 0)
		z.leader.Run()
		defer z.leader.Stop()
		subscription := z.subscribe()
		defer subscription.Close()
		z.sendDemand("m0")
		loading, ready := false, false
		for deadline := time.Now().Add(3 * time.Second); !ready && time.Now().Before(deadline); z.sendDemand("m0") {
			for _, worker := range subscription.Next(nil).GetWorkers() {
				for _, unit := range worker.GetUnits() {
					loading = loading || unit.GetReadyMs() > 0
					ready = ready || unit.GetModel() == "m0" && unit.GetReadyMs() == 0
				}
			}
		}
		gomega.Expect([]bool{loading, ready}).To(gomega.Equal([]bool{true, true}))
	})
})

// Limits of the random runs. Each seed has a zone of its own; all zones run concurrently.
const (
	randomSeeds    = 24
	randomDuration = 3 * time.Second
	maxLateMS      = 900
)

var _ = ginkgo.Describe("memory", func() {
	ginkgo.It("is never overcommitted if responses of workers are lost and orders are executed late", func() {
		var all sync.WaitGroup
		crashed := make(chan uint64, randomSeeds)
		for seed := range uint64(randomSeeds) {
			all.Add(1)
			go func() {
				defer all.Done()
				if runRandomDemand(rand.New(rand.NewPCG(seed, 3))) {
					crashed <- seed
				}
			}()
		}
		all.Wait()
		gomega.Expect(crashed).To(gomega.BeEmpty(), "seeds with a worker that was ordered to load more models than fit into its memory")
	})
})

// runRandomDemand sends random demand to a zone and reports whether a worker's memory was overcommitted.
func runRandomDemand(random *rand.Rand) bool {
	return newFakeZone(2, random.Float64()*0.5, 0.5+random.Float64()/2).playRandomDemand(random)
}

// playRandomDemand runs the zone's leader with random demand and reports whether a worker's memory was overcommitted.
func (z *fakeZone) playRandomDemand(random *rand.Rand) bool {
	z.leader.Run()
	defer z.leader.Stop()
	for deadline := time.Now().Add(randomDuration); time.Now().Before(deadline); {
		unit := fmt.Sprintf("m%d", random.IntN(6))
		if random.IntN(2) == 0 {
			unit += fmt.Sprintf("/a%d", random.IntN(3))
		}
		if random.IntN(8) == 0 {
			z.writeHeartbeats()
		}
		z.sendDemand(unit)
		time.Sleep(time.Duration(5+random.IntN(40)) * time.Millisecond)
	}
	return z.crashed()
}
