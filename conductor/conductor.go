// Package conductor leads one zone: it gathers the demand of all nodes, lets
// the placer plan, orders loads and unloads at the zone's workers, and tells
// all nodes at once what is loaded.
//
// A worker takes an order only if its count of orders is the one expected, so
// a decision on an older state is refused by the worker itself, also when it
// arrives late. Memory is charged from the decision on.
package conductor

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/viewer"
)

// Report is a worker's state as it was some hundred milliseconds ago.
type Report struct {
	// Born identifies the start of the worker, Orders counts the orders accepted since.
	Born, Orders int64
	// Busy is set while a model is being loaded or unloaded.
	Busy bool
	// Held maps the models to their adapters.
	Held map[string][]string
	// Coming names adapters being loaded, in the worker's own form.
	Coming []string
	// InMemory and OnDisk name the copies outside the accelerators.
	InMemory, OnDisk map[string]bool
	// Running and Waiting count requests.
	Running, Waiting int
}

// Order is an order to a worker.
type Order struct {
	// Unload is set for an unload, else the order is a load.
	Unload bool
	// Model is never empty; Adapter is empty for the model itself.
	Model, Adapter string
	// Holder names this node, Fence is the lease's epoch.
	Holder string
	Fence  int64
	// Expected is the worker's count of orders before this one.
	Expected int64
}

// Outcome is what became of an order.
type Outcome int

// The outcomes.
const (
	// OutcomeUnknown means that no answer came; the order may still be carried out.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted means that the order is being carried out.
	OutcomeAccepted
	// OutcomeHolds means that what was ordered is so already.
	OutcomeHolds
	// OutcomeConflict means that another order is under way or the count of orders differs.
	OutcomeConflict
	// OutcomeReplaced means that another worker has the address.
	OutcomeReplaced
	// OutcomeRefused means that the worker does not take the order.
	OutcomeRefused
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "replaced", "refused"}[o]
}

// Lease is the lease under which orders are given.
type Lease struct {
	// Leading returns the epoch while the lease is held.
	Leading func() (epoch int64, leading bool)
	// Quiet returns for how long orders must still wait though the lease is held.
	Quiet func() time.Duration
	// Known returns the leases of all zones as this node knows them.
	Known func() []*nodewire.LeaseView
	// CheckOrder returns an error unless an order may leave now.
	CheckOrder func(epoch int64) error
}

// Parts are what a conductor needs from the rest of the node.
type Parts struct {
	Node, Zone string
	Catalog    func() *cataloger.Catalog
	List       *registrar.Registrar
	// Fresh returns how well the list is known by this node's own reads.
	Fresh    func(now time.Time) Freshness
	View     *viewer.Viewer
	Lease    Lease
	Recorder *recorder.Recorder
	// Order gives an order; check runs just before it leaves.
	Order func(ctx context.Context, worker *registrar.Worker, order Order, check func() error) (Outcome, error)
	// Report reads a worker's state.
	Report func(ctx context.Context, worker *registrar.Worker) (Report, error)
}

// Conductor is safe for use by several goroutines.
type Conductor struct {
	parts   Parts
	stopped chan struct{}
	// kicks wakes the plan loop.
	kicks chan struct{}
	// mu guards everything below.
	mu sync.Mutex
	// epoch is that of the lease under which the state below was gathered, or 0.
	epoch int64
	// began is when this node began to lead.
	began   time.Time
	workers map[string]*charge
	demand  *gatherer
	// followers are the nodes that listen, by stream.
	followers map[*follower]bool
	// news names the models of which something changed since the last flush; changed is set when anything did.
	news    map[string]bool
	changed bool
	// told is the version of the configuration that followers were last woken for.
	told int64
	// listed is the version of the list of workers that followers were last woken for.
	listed int64
	// suspicions are passed on to all followers, by fingerprint and worker.
	suspicions map[string]suspicion
	// storeStarts are the times at which loads from the weight store were decided.
	storeStarts []time.Time
	// atOnce bounds those under way.
	atOnce throttle
	// unserved maps the models that are asked for but loaded nowhere to since when.
	unserved map[demandKey]time.Time
	// waits holds when the models that got no move should be ready, in milliseconds, by service and model.
	waits map[string]map[string]float64
	// passed maps workers of other zones to until when plans pass them by.
	passed map[string]time.Time
	// quietUntil is when orders may be given under the lease.
	quietUntil time.Time
	// pending maps a move of another zone to when it was first planned.
	pending map[string]time.Time
}

// New returns a conductor that does not run yet.
func New(parts Parts) *Conductor {
	return &Conductor{
		parts: parts, stopped: make(chan struct{}), kicks: make(chan struct{}, 1),
		workers: map[string]*charge{}, demand: newGatherer(), followers: map[*follower]bool{},
		suspicions: map[string]suspicion{}, passed: map[string]time.Time{}, pending: map[string]time.Time{}, news: map[string]bool{},
		atOnce: throttle{limit: firstAtOnce}, unserved: map[demandKey]time.Time{}, waits: map[string]map[string]float64{},
	}
}

// Times of the plan loop.
const (
	// planInterval is the longest pause between two plans, planPause the shortest.
	planInterval = 100 * time.Millisecond
	planPause    = 10 * time.Millisecond
	// recentRead is how long before the lease the list of workers may have been read for the first plan; the leaders
	// alone read the copies that workers keep.
	recentRead = 1 * time.Second
	// planShare bounds the time spent on plans: a plan that took long is followed by a pause this many times as long.
	planShare = 10
)

// Run starts the plan loop; it ends when Stop is called.
func (c *Conductor) Run() { go c.loop() }

// Stop ends the loop. Orders under way are not awaited.
func (c *Conductor) Stop() { close(c.stopped) }

// Kick makes the next plan come soon.
func (c *Conductor) Kick() {
	select {
	case c.kicks <- struct{}{}:
	default:
	}
}

func (c *Conductor) loop() {
	timer := time.NewTimer(planInterval)
	defer timer.Stop()
	pause := planPause
	for {
		select {
		case <-c.stopped:
			return
		case <-c.kicks:
			time.Sleep(pause)
		case <-timer.C:
		}
		began := time.Now()
		c.step()
		pause = min(max(planShare*time.Since(began), planPause), planInterval)
		timer.Reset(planInterval)
	}
}

// step follows the lease, brings the state up to date and plans.
func (c *Conductor) step() {
	epoch, leading := c.parts.Lease.Leading()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leading {
		c.resignLocked()
		return
	}
	if epoch != c.epoch {
		c.beginLocked(epoch)
	}
	catalog := c.parts.Catalog()
	if catalog == nil {
		return
	}
	now := time.Now()
	c.syncWorkers(now, catalog)
	c.refresh(now)
	c.followQuiet(now)
	if !now.Before(c.quietUntil) && c.parts.Fresh(now).ReadAt.After(c.began.Add(-recentRead)) {
		c.plan(now, catalog)
	}
	c.wakeForReads(catalog)
	c.flush()
}

// wakeForReads wakes all followers when the store has told of another
// configuration or of workers that come or go; the caller holds mu.
func (c *Conductor) wakeForReads(catalog *cataloger.Catalog) {
	listed := c.parts.List.Changed()
	if c.told == catalog.Version() && c.listed == listed {
		return
	}
	c.told, c.listed = catalog.Version(), listed
	for f := range c.followers {
		f.notify()
	}
}

// followQuiet takes in for how long no orders may be given. Followers are told
// that the workers are busy as long, so that other zones plan without them; the
// caller holds mu.
func (c *Conductor) followQuiet(now time.Time) {
	wasQuiet := now.Before(c.quietUntil)
	c.quietUntil = now.Add(c.parts.Lease.Quiet())
	if wasQuiet != now.Before(c.quietUntil) {
		for id, known := range c.workers {
			c.touch(id, known.models()...)
		}
	}
}

// resignLocked ends the leadership; the caller holds mu.
func (c *Conductor) resignLocked() {
	if c.epoch == 0 {
		return
	}
	log.Info().Str("zone", c.parts.Zone).Int64("epoch", c.epoch).Msg("orders end")
	c.epoch = 0
	c.workers = map[string]*charge{}
	c.demand = newGatherer()
	for f := range c.followers {
		f.close()
	}
	c.followers = map[*follower]bool{}
}

// beginLocked begins to lead; the caller holds mu.
func (c *Conductor) beginLocked(epoch int64) {
	c.resignLocked()
	c.epoch, c.began = epoch, time.Now()
	c.passed, c.pending = map[string]time.Time{}, map[string]time.Time{}
	c.unserved, c.waits = map[demandKey]time.Time{}, map[string]map[string]float64{}
	log.Info().Str("zone", c.parts.Zone).Int64("epoch", epoch).Msg("orders begin")
}

// syncWorkers takes in the list of workers; the caller holds mu.
func (c *Conductor) syncWorkers(now time.Time, catalog *cataloger.Catalog) {
	fleet := c.parts.List.Fleet()
	listed := map[string]bool{}
	for _, service := range catalog.Services() {
		if !service.RunsModels() {
			continue
		}
		for _, w := range fleet.Of(service.Name) {
			if w.Zone != c.parts.Zone {
				continue
			}
			listed[w.ID] = true
			known, found := c.workers[w.ID]
			if !found {
				known = &charge{}
				c.workers[w.ID] = known
			}
			if known.observe(now, w) {
				c.touch(w.ID, known.models()...)
			}
		}
	}
	for id := range c.workers {
		if !listed[id] {
			delete(c.workers, id)
			c.touch(id)
		}
	}
}
