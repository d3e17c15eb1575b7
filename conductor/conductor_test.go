package conductor

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/viewer"
)

func TestConductor(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "conductor")
}

// Times and sizes of the fake workers.
const (
	fakeLoad   = 20 * time.Millisecond
	fakeUnload = 5 * time.Millisecond
	// fakeStoreLoad is a little longer than the configuration says.
	fakeStoreLoad = (fakeStoreMS + 400) * time.Millisecond
	fakeStoreMS   = 1000
	fakePlaces    = 2 // models that fit
	reportAge     = 30 * time.Millisecond
)

// fakeWorker takes orders as the users' workers do.
type fakeWorker struct {
	// mu guards everything below.
	mu     sync.Mutex
	orders int64
	busy   bool
	held   map[string]bool
	// onDisk are the copies that heartbeats and reports name.
	onDisk map[string]bool
	// past holds older reports, since reports lag.
	past []Report
	// crashed is set when a load did not fit.
	crashed bool
	random  *rand.Rand
	// evicted is set when the worker has no copies any more though its heartbeats say so.
	evicted bool
	// lost and late are the shares of orders whose answer is lost, and of these carried out later.
	lost, late float64
}

func (w *fakeWorker) order(order Order, check func() error) (Outcome, error) {
	if err := check(); err != nil {
		return OutcomeUnknown, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.Float64() < w.lost {
		if w.random.Float64() < w.late {
			time.AfterFunc(time.Duration(w.random.IntN(latestMS))*time.Millisecond, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.carryOut(order)
			})
		} else {
			w.carryOut(order)
		}
		return OutcomeUnknown, errors.New("answer lost")
	}
	return w.carryOut(order), nil
}

func (w *fakeWorker) carryOut(order Order) Outcome {
	switch {
	case w.busy:
		return OutcomeConflict
	case w.held[order.Model] != order.Unload:
		return OutcomeHolds
	case order.Expected != w.orders:
		return OutcomeConflict
	}
	w.orders++
	w.busy = true
	takes := fakeUnload
	if !order.Unload {
		takes = fakeLoad
		if w.evicted {
			takes = fakeStoreLoad
		}
		w.crashed = w.crashed || len(w.held) >= fakePlaces
	}
	time.AfterFunc(takes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy = false
		if order.Unload {
			delete(w.held, order.Model)
		} else {
			w.held[order.Model] = true
		}
		w.remember()
	})
	w.remember()
	return OutcomeAccepted
}

// remember keeps the present state for reports that lag; the caller holds mu.
func (w *fakeWorker) remember() {
	report := Report{Born: 1, Orders: w.orders, Busy: w.busy, Held: map[string][]string{}, OnDisk: w.onDisk}
	for model := range w.held {
		report.Held[model] = nil
	}
	time.AfterFunc(reportAge, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.past = append(w.past, report)
	})
}

func (w *fakeWorker) report() Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.past) == 0 {
		return Report{Born: 1, Held: map[string][]string{}, OnDisk: w.onDisk}
	}
	return w.past[len(w.past)-1]
}

// fakeZone is a conductor with fake workers.
type fakeZone struct {
	conductor *Conductor
	workers   map[string]*fakeWorker
	// mu guards everything below.
	mu      sync.Mutex
	leading bool
	quiet   bool
	given   int
}

func (z *fakeZone) quietLeft() time.Duration {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.quiet {
		return time.Second
	}
	return 0
}

func newFakeZone(count int, lost, late float64) *fakeZone {
	z := &fakeZone{workers: map[string]*fakeWorker{}, leading: true}
	models := map[string]cataloger.Model{}
	onDisk := map[string]bool{}
	for i := range 6 {
		name := fmt.Sprintf("m%d", i)
		models[name] = cataloger.Model{Name: name, MemoryMB: 100, StoreMS: fakeStoreMS, DiskMS: 20, WarmMS: 20}
		onDisk[name] = true
	}
	catalog := cataloger.New(1, nil, []cataloger.Service{{Name: "s", Models: models, MemoryMB: 100*fakePlaces + 50, AdapterSlots: 2, LoadsPerS: 10}}, cataloger.Limits{})
	list := registrar.New()
	for i := range count {
		id := fmt.Sprintf("w%d", i)
		z.workers[id] = &fakeWorker{held: map[string]bool{}, onDisk: onDisk, random: rand.New(rand.NewPCG(uint64(i), 7)), lost: lost, late: late}
		list.Apply(time.Now(), []registrar.Change{{Worker: registrar.Worker{ID: id, Service: "s", Zone: "z", Slots: 8, Born: 1, OnDisk: onDisk, RowVersion: 1}}})
	}
	z.conductor = New(Parts{
		Node: "n", Zone: "z", Catalog: func() *cataloger.Catalog { return catalog }, List: list, View: viewer.New(list), Fresh: readNow, Recorder: recorder.New(),
		Lease: Lease{Leading: z.lead, Quiet: z.quietLeft, Known: func() []*nodewire.LeaseView { return nil }, CheckOrder: z.check},
		Order: func(_ context.Context, w *registrar.Worker, order Order, check func() error) (Outcome, error) {
			return z.workers[w.ID].order(order, check)
		},
		Report: func(_ context.Context, w *registrar.Worker) (Report, error) { return z.workers[w.ID].report(), nil },
	})
	return z
}

// readNow is the freshness of a list that was read just now.
func readNow(now time.Time) Freshness { return Freshness{ReadAt: now} }

// subscribe returns the subscription of node "n", which wants nothing yet.
func (z *fakeZone) subscribe() *Subscription {
	var subscription *Subscription
	gomega.Eventually(func() bool { subscription = z.conductor.Subscribe(); return subscription != nil }, time.Second).Should(gomega.BeTrue())
	subscription.Take(&nodewire.Demand{Node: "n", Zone: "z", Whole: true})
	return subscription
}

func (z *fakeZone) lead() (int64, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return 1, z.leading
}

func (z *fakeZone) check(int64) error {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !z.leading {
		return errors.New("lease lost")
	}
	z.given++
	return nil
}

// want sends the demand of a node: requests wait for models.
func (z *fakeZone) want(models ...string) {
	message := &nodewire.Demand{Node: "n", Zone: "z", Whole: true}
	for _, model := range models {
		message.Models = append(message.Models, &nodewire.ModelDemand{Service: "s", Model: model, Waiting: 1, DueMs: 2000, Asked: 1})
	}
	z.conductor.Take(message)
}

func (z *fakeZone) holds(model string) bool {
	for _, w := range z.workers {
		w.mu.Lock()
		held := w.held[model]
		w.mu.Unlock()
		if held {
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
	ginkgo.It("loads what waits, unloading what nobody asks for", func() {
		z := newFakeZone(1, 0, 0)
		z.conductor.Run()
		defer z.conductor.Stop()
		for _, model := range []string{"m0", "m1", "m2", "m3"} {
			gomega.Eventually(func() bool { z.want(model); return z.holds(model) }, 3*time.Second, 10*time.Millisecond).Should(gomega.BeTrue(), model)
		}
		gomega.Expect(z.crashed()).To(gomega.BeFalse())
	})
	ginkgo.It("gives no order after its lease is lost, also in the middle of a swap", func() {
		z := newFakeZone(2, 0, 0)
		z.conductor.Run()
		defer z.conductor.Stop()
		gomega.Eventually(func() int { z.want("m0", "m1", "m2"); z.mu.Lock(); defer z.mu.Unlock(); return z.given }, 3*time.Second, 5*time.Millisecond).Should(gomega.BeNumerically(">", 0))
		z.mu.Lock()
		z.leading = false
		given := z.given
		z.mu.Unlock()
		gomega.Consistently(func() int { z.want("m3", "m4"); z.mu.Lock(); defer z.mu.Unlock(); return z.given }, 400*time.Millisecond).Should(gomega.Equal(given))
	})
	ginkgo.It("tells what its predecessor had loaded while it must give no orders itself", func() {
		z := newFakeZone(1, 0, 0)
		z.quiet = true
		w := z.workers["w0"]
		w.mu.Lock()
		gomega.Expect(w.carryOut(Order{Model: "m5"})).To(gomega.Equal(OutcomeAccepted))
		w.mu.Unlock()
		z.conductor.Run()
		defer z.conductor.Stop()
		subscription := z.subscribe()
		defer subscription.End()
		told := func() bool {
			for _, worker := range subscription.Next(nil).GetWorkers() {
				gomega.Expect(worker.GetBusyMs()).To(gomega.BeNumerically(">", 0), "other zones plan without a quiet leader's workers")
				for _, unit := range worker.GetUnits() {
					if unit.GetModel() == "m5" && unit.GetReadyMs() == 0 {
						return true
					}
				}
			}
			return false
		}
		gomega.Eventually(told, 2*time.Second, time.Millisecond).Should(gomega.BeTrue())
		gomega.Expect(z.given).To(gomega.BeZero())
	})
	ginkgo.It("waits for a load that turns out to come from the store, and tells when it will end", func() {
		z := newFakeZone(1, 0, 0)
		z.workers["w0"].evicted = true
		z.conductor.Run()
		defer z.conductor.Stop()
		subscription := z.subscribe()
		defer subscription.End()
		z.want("m0")
		told := int64(0)
		for deadline := time.Now().Add(3 * time.Second); !z.holds("m0") && time.Now().Before(deadline); {
			for _, worker := range subscription.Next(nil).GetWorkers() {
				for _, unit := range worker.GetUnits() {
					told = max(told, unit.GetReadyMs())
				}
			}
		}
		gomega.Expect(z.holds("m0")).To(gomega.BeTrue())
		gomega.Expect(told).To(gomega.BeNumerically(">", fakeStoreMS/4), "the end of a load from the store")
		z.conductor.mu.Lock()
		defer z.conductor.mu.Unlock()
		gomega.Expect(z.conductor.workers["w0"].failures).To(gomega.BeZero())
	})
	ginkgo.It("tells followers at once what is coming, and then what is there", func() {
		z := newFakeZone(1, 0, 0)
		z.conductor.Run()
		defer z.conductor.Stop()
		subscription := z.subscribe()
		defer subscription.End()
		z.want("m0")
		coming, ready := false, false
		for deadline := time.Now().Add(3 * time.Second); !ready && time.Now().Before(deadline); z.want("m0") {
			for _, worker := range subscription.Next(nil).GetWorkers() {
				for _, unit := range worker.GetUnits() {
					coming = coming || unit.GetReadyMs() > 0
					ready = ready || unit.GetModel() == "m0" && unit.GetReadyMs() == 0
				}
			}
		}
		gomega.Expect([]bool{coming, ready}).To(gomega.Equal([]bool{true, true}))
	})
})

// Random runs: each seed is a zone of its own, and all run beside each other.
const (
	randomSeeds = 24
	randomTime  = 3 * time.Second
	latestMS    = 900
)

var _ = ginkgo.Describe("memory", func() {
	ginkgo.It("is never overcommitted by workers that lose answers and carry orders out late", func() {
		var all sync.WaitGroup
		crashed := make(chan uint64, randomSeeds)
		for seed := range uint64(randomSeeds) {
			all.Add(1)
			go func() {
				defer all.Done()
				if playRandom(rand.New(rand.NewPCG(seed, 3))) {
					crashed <- seed
				}
			}()
		}
		all.Wait()
		gomega.Expect(crashed).To(gomega.BeEmpty(), "a worker was ordered to load more than it holds")
	})
})

// playRandom gives random demand to a zone and reports whether a worker was overcommitted.
func playRandom(random *rand.Rand) bool {
	z := newFakeZone(2, random.Float64()*0.5, 0.5+random.Float64()/2)
	z.conductor.Run()
	defer z.conductor.Stop()
	for deadline := time.Now().Add(randomTime); time.Now().Before(deadline); {
		z.want(fmt.Sprintf("m%d", random.IntN(6)))
		time.Sleep(time.Duration(5+random.IntN(40)) * time.Millisecond)
	}
	return z.crashed()
}
