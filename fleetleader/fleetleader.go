// Package fleetleader runs on the node that leads a zone. It aggregates the demand
// of all nodes, plans model placement with the placer, sends load and unload
// orders to the zone's workers and publishes their state to all nodes.
//
// A worker accepts an order only if the order names the worker's current order
// count. The worker itself thus rejects an order that was decided on an outdated
// state, even if the order arrives late. A model's memory counts as used from
// the moment its load is decided.
package fleetleader

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/freshkeeper"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// Report is the state of a worker as the worker reports it. It may be a few hundred milliseconds old.
type Report struct {
	// Incarnation identifies the start of the worker's process; OrderCount counts the orders accepted since then.
	Incarnation, OrderCount int64
	// Busy is set while a model is being loaded or unloaded.
	Busy bool
	// Loaded maps each loaded model to its loaded adapters.
	Loaded map[string][]string
	// LoadingAdapters lists the adapters being loaded, each as "model/adapter", optionally followed by "@" and the
	// adapter's version.
	LoadingAdapters []string
	// InMemory and OnDisk are the models with a copy in host memory or on disk.
	InMemory, OnDisk map[string]bool
	// Running and Waiting are numbers of requests.
	Running, Waiting int
}

// Order instructs a worker to load or unload a model or an adapter.
type Order struct {
	// Unload selects an unload instead of a load.
	Unload bool
	// Model is never empty; Adapter is empty if the order is for the model itself.
	Model, Adapter string
	// Holder is the name of this node, Fence the epoch of its lease.
	Holder string
	Fence  int64
	// ExpectedOrderCount is the worker's order count before this order.
	ExpectedOrderCount int64
}

// unit returns the model and, after a slash, the adapter that the order is for.
func (o Order) unit() string {
	if o.Adapter == "" {
		return o.Model
	}
	return o.Model + "/" + o.Adapter
}

// Outcome is the result of sending an order.
type Outcome int

// Outcomes of an order.
const (
	// OutcomeUnknown means that no response arrived; the worker may still execute the order.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted means that the worker is executing the order.
	OutcomeAccepted
	// OutcomeAlreadyDone means that the worker is already in the ordered state.
	OutcomeAlreadyDone
	// OutcomeConflict means that the worker is executing an order or that its order count differs.
	OutcomeConflict
	// OutcomeReplaced means that another worker now uses the address.
	OutcomeReplaced
	// OutcomeRefused means that the worker rejected the order, or that this node no longer leads under the epoch.
	OutcomeRefused
)

// String returns the name of the outcome as used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "replaced", "refused"}[o]
}

// Lease gives access to the lease under which this node sends orders.
type Lease struct {
	// Leading returns the epoch of the lease, and whether this node holds it.
	Leading func() (epoch int64, leading bool)
	// QuietRemaining returns the rest of the quiet period, in which the holder of the lease must not send orders yet.
	QuietRemaining func() time.Duration
	// Leases returns the leases of all zones known to this node.
	Leases func() []*nodewire.LeaseView
	// CheckOrder returns an error unless an order under the epoch may be sent now.
	CheckOrder func(epoch int64) error
}

// Dependencies are what a leader needs from the rest of the node.
type Dependencies struct {
	Node, Zone string
	Catalog    func() *cataloger.Catalog
	Workers    *registrar.Registrar
	// ListFreshness returns how up to date this node's own reads of the store keep Workers.
	ListFreshness func(now time.Time) Freshness
	// Availability returns the times since the first and the last answer of the store, to this node or another one, without a gap in which entries can lapse.
	Availability func() (sinceFirst, sinceLast time.Duration)
	Tracker      *fleettracker.Tracker
	Lease        Lease
	Recorder     *recorder.Recorder
	// SendOrder sends an order; it calls check just before and sends nothing if that fails.
	SendOrder func(ctx context.Context, worker *registrar.Worker, order Order, check func() error) (Outcome, error)
	// ReadReport requests a worker's state from the worker.
	ReadReport func(ctx context.Context, worker *registrar.Worker) (Report, error)
	// CrashesSince returns the crashes of workers that this node knows with numbers from first on, and the number from which to continue.
	CrashesSince func(first int64) (crashes []*nodewire.Suspicion, next int64)
	// LimitsSince returns the changes of workers' limits that this node knows in the same way. Limited reports whether a worker names a limit.
	LimitsSince func(first int64) (limits []*nodewire.WorkerLimit, next int64)
	// BrittleSince returns the news of brittle services in the same way.
	BrittleSince func(first int64) (services []*nodewire.BrittleService, next int64)
	// DeparturesSince returns the workers that leave by their own word in the same way.
	DeparturesSince func(first int64) (departures []*nodewire.Departure, next int64)
	Limited         func(worker string, incarnation int64) bool
	// ConfigReads returns when this node's last read of the configuration was sent, and the last one that has succeeded; it is called if followers
	// send stamps.
	ConfigReads func() (begunAt time.Time, completed freshkeeper.Read)
}

// Leader leads a zone while this node holds the zone's lease. It is safe for concurrent use.
type Leader struct {
	dependencies Dependencies
	stopped      chan struct{}
	// wakeups makes the plan loop run a step soon.
	wakeups chan struct{}
	// mu guards everything below.
	mu sync.Mutex
	// epoch is the epoch of the lease under which the state below was collected; 0 while this node does not lead.
	epoch int64
	// leadingSince is when this node began to lead.
	leadingSince time.Time
	// workers holds the zone's workers that run models, by ID.
	workers map[string]*workerState
	demand  *demandAggregator
	// followers are the open streams of nodes that receive this leader's views.
	// carriers are the names of the nodes that reach workers, in order, found again from carriersUntil on.
	carriers      []string
	carriersUntil time.Time
	followers     map[*follower]bool
	// changedModels are the models that changed since the last notifyFollowers; hasChanges is set if anything did.
	changedModels map[string]bool
	hasChanges    bool
	// notifiedConfig is the version of the configuration for which all followers were last woken.
	notifiedConfig int64
	// notifiedList is the version of the list of workers for which all followers were last woken.
	notifiedList int64
	// storeLoadStarts are the times at which loads from the weight store were decided, within storeWindow.
	storeLoadStarts []time.Time
	// storeThrottle limits the concurrent loads from the weight store.
	storeThrottle throttle
	// unservedSince holds, for each model in demand that is loaded nowhere, the time of the first plan that found it so.
	unservedSince map[demandKey]time.Time
	// expectedReadyMS holds, by service and model, in how many milliseconds each model for which requests wait and which the
	// last plan gave no move should be loaded.
	expectedReadyMS map[string]map[string]float64
	// skippedUntil holds the workers of other zones that plans skip, each with the time until which they do.
	skippedUntil map[string]time.Time
	// quietUntil is the end of the lease's quiet period; no orders are sent before.
	quietUntil time.Time
	// pendingSince holds the models that another zone is expected to load, each with the time of the first plan that
	// expected it.
	pendingSince map[string]time.Time
}

// New returns a Leader; Run starts it.
func New(dependencies Dependencies) *Leader {
	return &Leader{
		dependencies: dependencies, stopped: make(chan struct{}), wakeups: make(chan struct{}, 1),
		workers: map[string]*workerState{}, demand: newDemandAggregator(), followers: map[*follower]bool{},
		skippedUntil: map[string]time.Time{}, pendingSince: map[string]time.Time{}, changedModels: map[string]bool{},
		storeThrottle: throttle{limit: initialLoadLimit}, unservedSince: map[demandKey]time.Time{}, expectedReadyMS: map[string]map[string]float64{},
	}
}

// Timing of the plan loop.
const (
	// maxPlanPause is the longest pause between two steps, minPlanPause the shortest.
	maxPlanPause = 100 * time.Millisecond
	minPlanPause = 10 * time.Millisecond
	// maxListAge bounds the age of the list of workers at the start of the leadership; while the list is older, nothing
	// is planned. Only leaders read which model copies the workers keep, so an older list lacks them.
	maxListAge = 1 * time.Second
	// planPauseFactor limits the share of time spent on planning: after a step, the next requested step waits this many
	// times the step's duration, within minPlanPause and maxPlanPause.
	planPauseFactor = 10
)

// Run starts the plan loop in a goroutine; Stop ends it.
func (l *Leader) Run() { go l.planLoop() }

// Stop ends the plan loop. It must be called once only and does not wait for orders in progress.
func (l *Leader) Stop() { close(l.stopped) }

// Wake makes the plan loop run its next step soon. It does not block.
func (l *Leader) Wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

func (l *Leader) planLoop() {
	timer := time.NewTimer(maxPlanPause)
	defer timer.Stop()
	pause := minPlanPause
	for {
		select {
		case <-l.stopped:
			return
		case <-l.wakeups:
			time.Sleep(pause)
		case <-timer.C:
		}
		began := time.Now()
		l.step()
		pause = min(max(planPauseFactor*time.Since(began), minPlanPause), maxPlanPause)
		timer.Reset(maxPlanPause)
	}
}

// step starts or ends the leadership according to the lease, updates the state and plans.
func (l *Leader) step() {
	epoch, leading := l.dependencies.Lease.Leading()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !leading {
		l.endLeadershipLocked()
		return
	}
	if epoch != l.epoch {
		l.beginLeadershipLocked(epoch)
	}
	catalog := l.dependencies.Catalog()
	if catalog == nil {
		return
	}
	now := time.Now()
	l.syncWorkers(now, catalog)
	l.refresh(now)
	l.updateQuietPeriod(now)
	if !now.Before(l.quietUntil) && l.dependencies.ListFreshness(now).ReadAt.After(l.leadingSince.Add(-maxListAge)) {
		l.plan(now, catalog)
	}
	l.notifyStoreChanges(catalog)
	l.notifyFollowers()
}

// notifyStoreChanges wakes all followers after this node read from the store another
// configuration, or workers that were added, removed or changed in their availability;
// the caller holds mu.
func (l *Leader) notifyStoreChanges(catalog *cataloger.Catalog) {
	listVersion := l.dependencies.Workers.LatestVersion()
	if l.notifiedConfig == catalog.Version() && l.notifiedList == listVersion {
		return
	}
	l.notifiedConfig, l.notifiedList = catalog.Version(), listVersion
	for f := range l.followers {
		f.notify()
	}
}

// updateQuietPeriod updates quietUntil. Views report all workers as busy during
// the quiet period, so that other zones plan without them; the caller holds mu.
func (l *Leader) updateQuietPeriod(now time.Time) {
	wasQuiet := now.Before(l.quietUntil)
	l.quietUntil = now.Add(l.dependencies.Lease.QuietRemaining())
	if wasQuiet != now.Before(l.quietUntil) {
		for id, state := range l.workers {
			l.markChanged(id, state.modelNames()...)
		}
	}
}

// endLeadershipLocked discards the state of the leadership and closes all streams; the caller holds mu.
func (l *Leader) endLeadershipLocked() {
	if l.epoch == 0 {
		return
	}
	log.Info().Str("zone", l.dependencies.Zone).Int64("epoch", l.epoch).Msg("orders end")
	l.epoch = 0
	l.workers = map[string]*workerState{}
	l.demand = newDemandAggregator()
	for f := range l.followers {
		f.close()
	}
	l.followers = map[*follower]bool{}
}

// beginLeadershipLocked starts with an empty state under a new epoch; the caller holds mu.
func (l *Leader) beginLeadershipLocked(epoch int64) {
	l.endLeadershipLocked()
	l.epoch, l.leadingSince = epoch, time.Now()
	l.skippedUntil, l.pendingSince = map[string]time.Time{}, map[string]time.Time{}
	l.unservedSince, l.expectedReadyMS = map[demandKey]time.Time{}, map[string]map[string]float64{}
	log.Info().Str("zone", l.dependencies.Zone).Int64("epoch", epoch).Msg("orders begin")
}

// syncWorkers updates the zone's workers from the list of workers; the caller holds mu.
func (l *Leader) syncWorkers(now time.Time, catalog *cataloger.Catalog) {
	fleet := l.dependencies.Workers.Fleet()
	listed := map[string]bool{}
	for _, service := range catalog.Services() {
		if !service.RunsModels() {
			continue
		}
		for _, w := range fleet.OfService(service.Name) {
			if w.Zone != l.dependencies.Zone {
				continue
			}
			listed[w.ID] = true
			state, found := l.workers[w.ID]
			if !found {
				state = &workerState{news: make(chan struct{}, 1)}
				l.workers[w.ID] = state
			}
			if state.applyHeartbeat(now, w) {
				l.markChanged(w.ID, state.modelNames()...)
			}
		}
	}
	for id := range l.workers {
		if !listed[id] {
			delete(l.workers, id)
			l.markChanged(id)
		}
	}
}
