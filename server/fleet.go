package server

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"google.golang.org/grpc"

	"github.com/acaciaproxy/acaciaproxy/adminserver"
	"github.com/acaciaproxy/acaciaproxy/archiver"
	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/attester"
	"github.com/acaciaproxy/acaciaproxy/budgeter"
	"github.com/acaciaproxy/acaciaproxy/connlimiter"
	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
	"github.com/acaciaproxy/acaciaproxy/demandcounter"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/fleetleader"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/freshkeeper"
	"github.com/acaciaproxy/acaciaproxy/hedger"
	"github.com/acaciaproxy/acaciaproxy/leaseholder"
	"github.com/acaciaproxy/acaciaproxy/limiter"
	"github.com/acaciaproxy/acaciaproxy/lingerer"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/platform"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/streamkeeper"
	"github.com/acaciaproxy/acaciaproxy/subscriber"
	"github.com/acaciaproxy/acaciaproxy/timekeeper"
	"github.com/acaciaproxy/acaciaproxy/trier"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

// FleetNode is one node on a platform whose store holds the configuration that
// operators publish and the heartbeats that workers write.
type FleetNode struct {
	settings     *settingsreader.Settings
	watcher      *watcher.Watcher
	fleetTracker *fleettracker.Tracker
	leaseholder  *leaseholder.Leaseholder
	fleetLeader  *fleetleader.Leader
	subscriber   *subscriber.Subscriber
	forwarder    *forwarder.Forwarder
	crashKeeper  *crashkeeper.Keeper
	streamKeeper *streamkeeper.Keeper
	// archiver keeps the origins of streams in the store.
	archiver   *archiver.Archiver
	workerList *registrar.Registrar
	recorder   *recorder.Recorder
	limiter    *limiter.Limiter
	// carriers are the nodes that may serve requests for this one.
	carriers carrierList
	// granter grants permits for limited workers of the zone while this node leads it, slotGranter slots of brittle ones.
	granter     *limiter.Granter
	slotGranter *limiter.SlotGranter
	// arbiter decides on trials of requests that may crash workers while this node leads its zone.
	arbiter *trier.Arbiter
	// fresh decides until when this node accepts keys.
	fresh *freshkeeper.Keeper
	// allowances are the rate limits of tenants.
	allowances *allowances
	peers      *peerclient.Pool
	workers    *platform.Workers
	metrics    *adminserver.Server
	// grpc serves the calls of other nodes, callers accepts the connections of callers; both are nil until Run.
	grpc    *grpc.Server
	callers *lingerer.Listener
}

// NewFleetNode returns a node that does not listen yet. It fails when a part of the node cannot be built.
func NewFleetNode(settings *settingsreader.Settings) (*FleetNode, error) {
	injector := do.New()
	do.ProvideValue(injector, settings)
	do.ProvideValue(injector, registrar.New())
	do.ProvideValue(injector, attester.New(timekeeper.Now))
	do.ProvideValue(injector, demandcounter.New())
	do.ProvideValue(injector, assessor.New())
	do.ProvideValue(injector, recorder.New())
	do.ProvideValue(injector, peerclient.NewPool())
	do.ProvideValue(injector, platform.NewWorkers())
	do.ProvideValue(injector, freshkeeper.New(revokeTime(settings)))
	do.Provide(injector, provideStore)
	do.Provide(injector, func(i do.Injector) (*fleettracker.Tracker, error) {
		return fleettracker.New(do.MustInvoke[*registrar.Registrar](i)), nil
	})
	do.Provide(injector, provideWatcher)
	do.Provide(injector, provideCrashKeeper)
	do.Provide(injector, provideFleetNode)
	f, err := do.Invoke[*FleetNode](injector)
	if err != nil {
		return nil, fmt.Errorf("build node %q: %w", settings.Name(), err)
	}
	return f, nil
}

func provideStore(i do.Injector) (*platform.Store, error) {
	metrics := do.MustInvoke[*recorder.Recorder](i)
	countCall := func(path string, status int) { metrics.Count(fmt.Sprintf("store %s %d", path, status)) }
	store := platform.NewStore(do.MustInvoke[*settingsreader.Settings](i).Platform(), logMalformedEntry, countCall)
	store.OnAnswer(do.MustInvoke[*attester.Attester](i).RecordAnswer)
	return store, nil
}

// logMalformedEntry logs an entry of the list of workers that cannot be used.
func logMalformedEntry(err error) { log.Warn().Err(err).Msg("entry ignored") }

func provideWatcher(i do.Injector) (*watcher.Watcher, error) {
	store, keeper := do.MustInvoke[*platform.Store](i), do.MustInvoke[*crashkeeper.Keeper](i)
	source := store.Source
	source.ListCrashes = func(deadline time.Time) (int64, error) {
		rows, version, err := store.ListCrashes(deadline)
		if err == nil {
			keeper.ApplyRows(time.Now(), rows, true)
		}
		return version, err
	}
	source.FeedCrashes = func(deadline time.Time, after, waitMS int64) (int64, error) {
		rows, version, err := store.FeedCrashes(deadline, after, waitMS)
		if err == nil {
			keeper.ApplyRows(time.Now(), rows, false)
		}
		return version, err
	}
	w := watcher.New(source, do.MustInvoke[*registrar.Registrar](i), do.MustInvoke[*attester.Attester](i), do.MustInvoke[*fleettracker.Tracker](i).MarkWorkersChanged)
	w.ProveWithin(revokeTime(do.MustInvoke[*settingsreader.Settings](i)), do.MustInvoke[*freshkeeper.Keeper](i))
	return w, nil
}

func provideCrashKeeper(i do.Injector) (*crashkeeper.Keeper, error) {
	metrics := do.MustInvoke[*recorder.Recorder](i)
	name := newIncarnation(do.MustInvoke[*settingsreader.Settings](i).Name())
	return crashkeeper.New(name, do.MustInvoke[*platform.Store](i).Crashes, metrics.Count), nil
}

func provideFleetNode(i do.Injector) (*FleetNode, error) {
	settings := do.MustInvoke[*settingsreader.Settings](i)
	f := &FleetNode{
		settings: settings, fresh: do.MustInvoke[*freshkeeper.Keeper](i), workerList: do.MustInvoke[*registrar.Registrar](i), recorder: do.MustInvoke[*recorder.Recorder](i), watcher: do.MustInvoke[*watcher.Watcher](i), crashKeeper: do.MustInvoke[*crashkeeper.Keeper](i), fleetTracker: do.MustInvoke[*fleettracker.Tracker](i),
		granter: limiter.NewGranter(), slotGranter: limiter.NewSlotGranter(), arbiter: trier.NewArbiter(), peers: do.MustInvoke[*peerclient.Pool](i), workers: do.MustInvoke[*platform.Workers](i), streamKeeper: streamkeeper.New(),
	}
	f.metrics = adminserver.NewMetrics(f.where)
	f.allowances = newAllowances(f)
	f.limiter = limiter.New(f.askPermits, func() int { return f.subscriber.Nodes() }, do.MustInvoke[*recorder.Recorder](i).Count)
	f.limiter.ReserveBy(limiter.Reservations{Reserve: f.reserveSlots, Later: tellLater})
	f.leaseholder = leaseholder.New(leaseholder.Dependencies{
		Zone: settings.Zone(), Now: timekeeper.Now, QuietMS: settings.QuietMS(), Rows: do.MustInvoke[*platform.Store](i).Rows,
		Self:       elector.Member{Node: settings.Name(), Incarnation: newIncarnation(settings.Name()), Address: settings.Nodes(), Recalls: true},
		Heard:      func(zone string) bool { return f.fleetTracker.IsLeaderLive(time.Now(), zone) },
		Cores:      settings.Cores(),
		Zones:      f.workerZones,
		Software:   f.listedSoftware,
		OnSoftware: f.recallSoftware,
		OnEra:      f.learnEra,
		Changed:    f.leaseChanged,
		Successors: func() []elector.Member { return f.fleetLeader.ZoneNodes() },
		Ask:        f.askPromise,
	})
	f.fleetLeader = fleetleader.New(fleetleader.Dependencies{
		Node: settings.Name(), Zone: settings.Zone(), Catalog: f.watcher.Catalog, Workers: do.MustInvoke[*registrar.Registrar](i), ListFreshness: f.listFreshness,
		Availability: do.MustInvoke[*attester.Attester](i).Evidence,
		Tracker:      f.fleetTracker, Recorder: do.MustInvoke[*recorder.Recorder](i), SendOrder: f.workers.Order, ReadReport: f.workers.Report,
		CrashesSince:    func(first int64) ([]*nodewire.Suspicion, int64) { return f.crashesSince(first, false) },
		LimitsSince:     func(first int64) ([]*nodewire.WorkerLimit, int64) { return f.limitsSince(first, false) },
		BrittleSince:    func(first int64) ([]*nodewire.BrittleService, int64) { return f.brittleSince(first, false) },
		DeparturesSince: func(first int64) ([]*nodewire.Departure, int64) { return f.departuresSince(first, false) },
		Limited:         f.isLimited,
		ConfigReads:     f.fresh.Reads,
		Lease:           fleetleader.Lease{Leading: f.leaseholder.Leading, QuietRemaining: f.leaseholder.QuietRemaining, CheckOrder: f.leaseholder.CheckOrder, Leases: f.leaseholder.Leases},
	})
	f.archiver = archiver.New(archiver.Dependencies{Zone: settings.Zone(), Rows: do.MustInvoke[*platform.Store](i).Streams, Leading: f.isLeading, Archived: f.archives, Count: f.recorder.Count})
	f.crashKeeper.OnNew(f.fleetLeader.NotifyCrash)
	do.MustInvoke[*platform.Store](i).OnEra(f.observeEra)
	f.workers.OnDeparture(f.observeDeparture)
	f.workers.CountWith(f.recorder.Count)
	f.subscriber = f.newSubscriber(do.MustInvoke[*demandcounter.Counter](i))
	retryLimits := budgeter.Limits{Ratio: settings.RetryRatio(), Slack: settings.RetrySlack(), WindowS: settings.RetryWindow()}
	retryBudget := budgeter.New(retryLimits, f.sharingNodes)
	f.forwarder = forwarder.New(forwarder.Dependencies{
		Zone: settings.Zone(), Catalog: f.watcher.Catalog, Workers: do.MustInvoke[*registrar.Registrar](i), Tracker: f.fleetTracker,
		DemandCounter: do.MustInvoke[*demandcounter.Counter](i), Assessor: do.MustInvoke[*assessor.Assessor](i), Recorder: do.MustInvoke[*recorder.Recorder](i),
		Ready: f.watcher.Ready, Isolated: f.isolated, Decode: platform.DecodeRequest, Send: f.workers.Send, SetAttemptID: platform.SetAttemptID, Crashed: f.workers.Crashed,
		Carry: f.carry, Limiter: f.limiter, Streams: f.streamKeeper, FindStream: f.findStream, FindArchived: f.archiver.Find, ConfirmList: f.watcher.Confirm,
		Crashes: f.crashKeeper, CrashesKnown: f.watcher.CrashesKnown, StoreAvailable: func() bool { return !f.watcher.IsUnavailable(time.Now()) },
		Trier:  trier.New(settings.Name(), f.subscriber.Nodes, trier.Arbitration{Begin: f.beginTrial, End: f.endTrial}, do.MustInvoke[*recorder.Recorder](i).Count),
		Budget: forwarder.Budget{CountRequest: retryBudget.CountRequest, AllowRetry: retryBudget.AllowRetry, ReturnRetry: retryBudget.ReturnRetry}, RepeatFailed: settings.RepeatsFailures(), Room: settings.WaitsForRoom(),
		Hedger:     hedger.New(settings.HedgePercent()),
		Keys:       forwarder.Keys{Fresh: f.keysFresh, Behind: f.fresh.Behind, ProofAge: f.proofAge, Remove: platform.RemoveKey},
		Allowances: forwarder.Allowances{Take: f.allowances.take, Look: f.allowances.look, Refund: f.allowances.refund},
		Host:       connlimiter.Host{Memory: settings.Memory(), Descriptors: settings.Descriptors()},
	}, platform.PathReady)
	return f, nil
}

// leaseChanged is called after this node took or lost its zone's lease, or another zone's leader changed.
// A leader plans only with its own reads of the store, so it stops using forwarded reads.
func (f *FleetNode) leaseChanged() {
	if f.isLeading() {
		f.watcher.EndForwardedReads()
	}
	f.allowances.beginLeadership()
	f.fleetLeader.Wake()
}

// applyForwardedReads applies what the leader of this zone read from the store, unless this node has become the leader.
func (f *FleetNode) applyForwardedReads(now time.Time, reads watcher.ForwardedReads) {
	if !f.isLeading() {
		f.watcher.ApplyForwardedReads(now, reads)
	}
}

// isLeading reports whether this node holds its zone's lease.
func (f *FleetNode) isLeading() bool {
	_, leading := f.leaseholder.Leading()
	return leading
}

// listFreshness returns the range of versions of the list of workers that this node has read, and when it read them.
func (f *FleetNode) listFreshness(now time.Time) fleetleader.Freshness {
	return fleetleader.Freshness{
		BaseVersion: f.watcher.ListBase(), Version: f.watcher.ListVersion(), ReadAt: f.watcher.ReadAt(now), EraBegan: f.workerList.EraBegan(f.watcher.ListVersion()),
	}
}

// isolated reports whether the store is unavailable and no zone's leader has sent a message lately.
func (f *FleetNode) isolated() bool {
	now := time.Now()
	return f.watcher.IsUnavailable(now) && len(f.fleetTracker.LiveZones(now)) == 0
}

// workerZones returns the zones that have workers, and the local one, in no particular order.
func (f *FleetNode) workerZones() []string {
	zones := lo.Map(f.workerList.Fleet().All(), func(w *registrar.Worker, _ int) string { return w.Zone })
	return lo.Uniq(append(zones, f.settings.Zone()))
}

// sharingNodes returns the number of nodes among which the retry budget is divided, or 0 while a zone has a lease and nothing was heard of its leader: the
// leaders of a part that is cut off know of the nodes there only. Zones that only entries of workers name may have no nodes.
func (f *FleetNode) sharingNodes() int {
	now := time.Now()
	for _, zone := range f.leaseholder.Zones() {
		if !f.fleetTracker.IsLeaderLive(now, zone) {
			return 0
		}
	}
	return f.subscriber.Nodes()
}

func (f *FleetNode) newSubscriber(demandCounter *demandcounter.Counter) *subscriber.Subscriber {
	return subscriber.New(subscriber.Dependencies{
		Self: f.leaseholder.Self(), Zone: f.settings.Zone(), Holder: f.leaseholder.Holder, Client: f.peers.FleetClient, Drop: f.peers.Drop,
		Zones:         func() []string { return lo.Uniq(append(f.workerZones(), f.leaseholder.Zones()...)) },
		DemandCounter: demandCounter, Tracker: f.fleetTracker, Config: f.configVersion, OnConfigVersion: f.watcher.NotifyVersion, OnLease: f.leaseholder.ApplyForwarded,
		OnForwardedReads: f.applyForwardedReads, OnForwardedReadsEnd: f.watcher.EndForwardedReads, ListVersion: f.watcher.ListVersion, Cores: f.settings.Cores(),
		Leads:    f.isLeading,
		IsUnsure: func() bool { return f.watcher.IsUnsure(time.Now()) }, IsUnanswered: func() bool { return f.watcher.IsUnanswered(time.Now()) },
		OnAvailability: func(zone string, sinceFirst, sinceLast time.Duration) {
			f.watcher.LearnAvailability(sinceFirst, sinceLast, "leader of "+zone)
		},
		CutOff:        func() bool { return f.forwarder.CutOff() },
		OnCarriers:    f.carriers.set,
		Stamp:         f.stamp,
		OnFresh:       f.learnFreshness,
		OwnStreams:    f.streamsSince,
		OwnCrashes:    func(first int64) ([]*nodewire.Suspicion, int64) { return f.crashesSince(first, true) },
		OwnLimits:     func(first int64) ([]*nodewire.WorkerLimit, int64) { return f.limitsSince(first, true) },
		OwnBrittle:    func(first int64) ([]*nodewire.BrittleService, int64) { return f.brittleSince(first, true) },
		OnBrittle:     f.learnBrittle,
		OwnDepartures: func(first int64) ([]*nodewire.Departure, int64) { return f.departuresSince(first, true) },
		OnDeparture:   func(departure *nodewire.Departure, zone string) { f.learnDeparture(departure, "leader of "+zone) },
		OnLimit:       func(limit *nodewire.WorkerLimit, zone string) { f.learnLimit(limit, "leader of "+zone) },
		OnCrash:       func(crash *nodewire.Suspicion, zone string) { f.learnCrash(crash, "leader of "+zone) },
	})
}

// crashesSince returns the crashes that this node knows, or only those that it found, with numbers from first on, and the number from which to
// continue.
func (f *FleetNode) crashesSince(first int64, ownOnly bool) (crashes []*nodewire.Suspicion, next int64) {
	known, next := f.crashKeeper.Since(time.Now(), first, ownOnly)
	return lo.Map(known, func(crash crashkeeper.Crash, _ int) *nodewire.Suspicion {
		return &nodewire.Suspicion{Fingerprint: crash.Fingerprint, Worker: crash.Worker, Born: crash.Incarnation, Again: int32(crash.Repeat), FoundMs: crash.FoundAt.UnixMilli(), Sound: crash.Sound}
	}), next
}

// learnCrash records a crash that another node sent; source names that node.
func (f *FleetNode) learnCrash(crash *nodewire.Suspicion, source string) {
	now := time.Now()
	foundAt := now // Nodes of earlier versions do not send it.
	if crash.GetFoundMs() > 0 {
		foundAt = time.UnixMilli(crash.GetFoundMs())
	}
	f.crashKeeper.Learn(now, crashkeeper.Crash{
		Fingerprint: crash.GetFingerprint(), Worker: crash.GetWorker(), Incarnation: crash.GetBorn(), Repeat: int(crash.GetAgain()), FoundAt: foundAt, Sound: crash.GetSound(),
	}, source)
}

// askPromise asks a successor to promise not to take the zone's lease of an epoch for the time of hold.
// It reports whether the successor promised.
func (f *FleetNode) askPromise(deadline time.Time, successor elector.Member, epoch int64, hold time.Duration) bool {
	client, err := f.peers.FleetClient(successor.Address)
	if err != nil {
		return false
	}
	ctx, cancel := peerclient.WithDeadline(deadline)
	defer cancel()
	reply, err := client.Promise(ctx, &nodewire.PromiseRequest{Zone: f.settings.Zone(), Leader: f.leaseholder.Self().Incarnation, Epoch: epoch, HoldMs: hold.Milliseconds()})
	return err == nil && reply.GetPromised() // The reply's incarnation needs no check: no earlier process runs on the host any more.
}

// newIncarnation returns an ID that differs between two starts of a node.
func newIncarnation(node string) string {
	return node + "-" + strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
}

// configVersion returns the version of the configuration in force, or 0 when there is none.
func (f *FleetNode) configVersion() int64 {
	if catalog := f.watcher.Catalog(); catalog != nil {
		return catalog.Version()
	}
	return 0
}

// Run serves until stop is closed and then drains the node: requests in flight may
// end within the drain limit. It returns an error when a listener cannot be opened or fails.
func (f *FleetNode) Run(stop <-chan struct{}) error {
	listeners := make([]net.Listener, 0, 4)
	for _, address := range []string{f.settings.Callers(), f.settings.Ready(), f.settings.Nodes(), f.settings.Operators()} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen at %s: %w", address, err)
		}
		listeners = append(listeners, listener)
	}
	limiter := f.forwarder.Limiter()
	connlimiter.LimitHeap(f.settings.Memory())
	f.callers = lingerer.New(listeners[0], lingerLimits(limiter))
	f.grpc = newNodeServer()
	nodewire.RegisterFleetServer(f.grpc, &fleetService{node: f})
	failed := make(chan error, len(listeners))
	go func() { failed <- f.forwarder.Serve(f.callers) }()
	go func() { failed <- f.forwarder.ServeReady(listeners[1]) }()
	go func() {
		failed <- f.grpc.Serve(limiter.Listen(listeners[2], connlimiter.Port{Name: "nodes", Connections: limiter.MaxNodes()}))
	}()
	go func() { failed <- f.metrics.Serve(limiter.Listen(listeners[3], adminserver.Port(limiter))) }()
	f.watcher.Run()
	go f.watchKeys(stop)
	f.crashKeeper.Run()
	f.archiver.Run()
	f.leaseholder.Run()
	f.fleetLeader.Run()
	f.subscriber.Run()
	f.allowances.run()
	log.Info().Str("node", f.settings.Name()).Str("zone", f.settings.Zone()).Str("callers", f.settings.Callers()).
		Str("nodes", f.settings.Nodes()).Str("platform", f.settings.Platform()).Msg("node started")
	select {
	case err := <-failed:
		return fmt.Errorf("node %q: listener failed: %w", f.settings.Name(), err)
	case <-stop:
		f.stop()
		return nil
	}
}
