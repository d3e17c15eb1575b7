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

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/budgeter"
	"github.com/acaciaproxy/acaciaproxy/conductor"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/leaseholder"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/operator"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/platform"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/subscriber"
	"github.com/acaciaproxy/acaciaproxy/tallier"
	"github.com/acaciaproxy/acaciaproxy/timekeeper"
	"github.com/acaciaproxy/acaciaproxy/viewer"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

// Fleet is one node on a platform whose store holds the operators'
// configuration and the workers' heartbeats.
type Fleet struct {
	settings  *settingsreader.Settings
	watcher   *watcher.Watcher
	viewer    *viewer.Viewer
	lease     *leaseholder.Leaseholder
	conductor *conductor.Conductor
	subscribe *subscriber.Subscriber
	forwarder *forwarder.Forwarder
	peers     *peerclient.Pool
	workers   *platform.Workers
	metrics   *operator.Operator
	grpc      *grpc.Server
}

// NewFleet builds a node from its settings.
func NewFleet(settings *settingsreader.Settings) (*Fleet, error) {
	injector := do.New()
	do.ProvideValue(injector, settings)
	do.ProvideValue(injector, registrar.New())
	do.ProvideValue(injector, tallier.New())
	do.ProvideValue(injector, assessor.New())
	do.ProvideValue(injector, recorder.New())
	do.ProvideValue(injector, peerclient.NewPool())
	do.ProvideValue(injector, platform.NewWorkers())
	do.Provide(injector, provideStore)
	do.Provide(injector, func(i do.Injector) (*viewer.Viewer, error) {
		return viewer.New(do.MustInvoke[*registrar.Registrar](i)), nil
	})
	do.Provide(injector, provideWatcher)
	do.Provide(injector, provideFleet)
	f, err := do.Invoke[*Fleet](injector)
	if err != nil {
		return nil, fmt.Errorf("build node %q: %w", settings.Name(), err)
	}
	return f, nil
}

func provideStore(i do.Injector) (*platform.Store, error) {
	counts := do.MustInvoke[*recorder.Recorder](i)
	called := func(path string, status int) { counts.Count(fmt.Sprintf("store %s %d", path, status)) }
	return platform.NewStore(do.MustInvoke[*settingsreader.Settings](i).Platform(), logMalformed, called), nil
}

// logMalformed logs an entry of the worker list that names no worker to use.
func logMalformed(err error) { log.Warn().Err(err).Msg("entry ignored") }

func provideWatcher(i do.Injector) (*watcher.Watcher, error) {
	return watcher.New(do.MustInvoke[*platform.Store](i).Source, do.MustInvoke[*registrar.Registrar](i), do.MustInvoke[*viewer.Viewer](i).Touch), nil
}

func provideFleet(i do.Injector) (*Fleet, error) {
	settings := do.MustInvoke[*settingsreader.Settings](i)
	f := &Fleet{
		settings: settings, watcher: do.MustInvoke[*watcher.Watcher](i), viewer: do.MustInvoke[*viewer.Viewer](i),
		peers: do.MustInvoke[*peerclient.Pool](i), workers: do.MustInvoke[*platform.Workers](i), metrics: operator.NewMetrics(),
	}
	f.lease = leaseholder.New(leaseholder.Parts{
		Zone: settings.Zone(), Now: timekeeper.Now, QuietMS: settings.QuietMS(), Rows: do.MustInvoke[*platform.Store](i).Rows,
		Self:       elector.Member{Node: settings.Name(), Incarnation: newIncarnation(settings.Name()), Address: settings.Nodes()},
		Heard:      func(zone string) bool { return f.viewer.Live(time.Now(), zone) },
		Strength:   settings.Strength(),
		Changed:    f.leadChanged,
		Successors: func() []elector.Member { return f.conductor.Members() },
		Ask:        f.askPromise,
	})
	f.conductor = conductor.New(conductor.Parts{
		Node: settings.Name(), Zone: settings.Zone(), Catalog: f.watcher.Catalog, List: do.MustInvoke[*registrar.Registrar](i), Fresh: f.fresh,
		View: f.viewer, Recorder: do.MustInvoke[*recorder.Recorder](i), Order: f.workers.Order, Report: f.workers.Report,
		Lease: conductor.Lease{Leading: f.lease.Leading, Quiet: f.lease.Quiet, CheckOrder: f.lease.CheckOrder, Known: f.lease.Known},
	})
	f.subscribe = f.newSubscriber(do.MustInvoke[*registrar.Registrar](i), do.MustInvoke[*tallier.Tallier](i))
	limits := budgeter.Limits{Ratio: settings.RepeatRatio(), Slack: settings.RepeatSlack(), WindowS: settings.RepeatWindow()}
	budget := budgeter.New(limits, f.subscribe.Nodes)
	f.forwarder = forwarder.New(forwarder.Parts{
		Zone: settings.Zone(), Catalog: f.watcher.Catalog, List: do.MustInvoke[*registrar.Registrar](i), View: f.viewer,
		Tally: do.MustInvoke[*tallier.Tallier](i), Assessor: do.MustInvoke[*assessor.Assessor](i), Recorder: do.MustInvoke[*recorder.Recorder](i),
		Ready: f.watcher.Ready, Isolated: f.isolated, Decode: platform.DecodeRequest, Send: f.workers.Send, Echo: platform.Echo, Crashed: f.workers.Crashed,
		Budget: forwarder.Budget{Earn: budget.Earn, Spend: budget.Spend},
	}, platform.PathReady)
	return f, nil
}

// leadChanged takes in that this node has taken or lost its zone's lease. Only a leader's own reads hold
// what it plans with.
func (f *Fleet) leadChanged() {
	if f.leads() {
		f.watcher.EndRelay()
	}
	f.conductor.Kick()
}

// takeRelay takes in what a leader of this zone read, unless this node leads by now.
func (f *Fleet) takeRelay(now time.Time, news watcher.Relay) {
	if !f.leads() {
		f.watcher.TakeRelay(now, news)
	}
}

func (f *Fleet) leads() bool {
	_, leading := f.lease.Leading()
	return leading
}

// fresh returns how well this node knows the list of workers by its own reads.
func (f *Fleet) fresh(now time.Time) conductor.Freshness {
	return conductor.Freshness{
		Base: f.watcher.ListBase(), Version: f.watcher.ListVersion(), ReadAt: f.watcher.ReadAt(now),
	}
}

// isolated reports whether this node hears neither the store nor any leader.
func (f *Fleet) isolated() bool {
	now := time.Now()
	return f.watcher.Away(now) && len(f.viewer.Zones(now)) == 0
}

func (f *Fleet) newSubscriber(list *registrar.Registrar, tally *tallier.Tallier) *subscriber.Subscriber {
	return subscriber.New(subscriber.Parts{
		Self: f.lease.Self(), Zone: f.settings.Zone(), Holder: f.lease.Holder, Client: f.peers.Fleet, Drop: f.peers.Drop,
		Zones: func() []string {
			zones := lo.Map(list.Fleet().All(), func(w *registrar.Worker, _ int) string { return w.Zone })
			return lo.Uniq(append(append(zones, f.settings.Zone()), f.lease.Zones()...))
		},
		Tally: tally, View: f.viewer, Config: f.configVersion, Hear: f.watcher.Hear, Lease: f.lease.Hear,
		Relay: f.takeRelay, EndRelay: f.watcher.EndRelay, ListVersion: f.watcher.ListVersion, Strength: f.settings.Strength(),
		Leads:      f.leads,
		Suspicions: func() []forwarder.Suspicion { return f.forwarder.Suspicions() },
		Suspect:    func(suspicion forwarder.Suspicion) { f.forwarder.Suspect(suspicion) },
	})
}

// askPromise asks a successor for a promise.
func (f *Fleet) askPromise(deadline time.Time, successor elector.Member, epoch int64, hold time.Duration) bool {
	client, err := f.peers.Fleet(successor.Address)
	if err != nil {
		return false
	}
	ctx, cancel := peerclient.Until(deadline)
	defer cancel()
	reply, err := client.Promise(ctx, &nodewire.PromiseRequest{Zone: f.settings.Zone(), Leader: f.lease.Self().Incarnation, Epoch: epoch, HoldMs: hold.Milliseconds()})
	return err == nil && reply.GetPromised() // An earlier process of the host cannot live any more.
}

// newIncarnation names this start of the process.
func newIncarnation(node string) string {
	return node + "-" + strconv.Itoa(os.Getpid()) + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
}

func (f *Fleet) configVersion() int64 {
	if catalog := f.watcher.Catalog(); catalog != nil {
		return catalog.Version()
	}
	return 0
}

// Run serves until stop is closed, and then stops without cutting a request.
func (f *Fleet) Run(stop <-chan struct{}) error {
	listeners := make([]net.Listener, 0, 4)
	for _, address := range []string{f.settings.Callers(), f.settings.Ready(), f.settings.Nodes(), f.settings.Operators()} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen at %s: %w", address, err)
		}
		listeners = append(listeners, listener)
	}
	f.grpc = grpc.NewServer()
	nodewire.RegisterFleetServer(f.grpc, &fleetService{fleet: f})
	failed := make(chan error, len(listeners))
	go func() { failed <- f.forwarder.Serve(listeners[0]) }()
	go func() { failed <- f.forwarder.ServeReady(listeners[1]) }()
	go func() { failed <- f.grpc.Serve(listeners[2]) }()
	go func() { failed <- f.metrics.Serve(listeners[3]) }()
	f.watcher.Run()
	f.lease.Run()
	f.conductor.Run()
	f.subscribe.Run()
	log.Info().Str("node", f.settings.Name()).Str("zone", f.settings.Zone()).Str("callers", f.settings.Callers()).
		Str("nodes", f.settings.Nodes()).Str("platform", f.settings.Platform()).Msg("node started")
	select {
	case err := <-failed:
		return fmt.Errorf("node %q: listener ended: %w", f.settings.Name(), err)
	case <-stop:
		f.stop()
		return nil
	}
}

const (
	// noticeTime is how long the balancer may take to send no more connections: two checks, a second apart, and a reserve.
	noticeTime = 2500 * time.Millisecond
	// killReserve is how long before the platform's kill the process has ended.
	killReserve = 900 * time.Millisecond
	// successTime bounds the call that names a successor.
	successTime = 300 * time.Millisecond
)

// stop drains the node: the readiness check fails, the lease is handed over,
// the requests in flight end, and last the listeners close.
func (f *Fleet) stop() {
	began := time.Now()
	log.Info().Str("node", f.settings.Name()).Int64("in_flight", f.forwarder.InFlight()).Msg("node stops")
	go f.handOver()
	f.forwarder.Drain(began.Add(noticeTime), began.Add(f.settings.DrainLimit()-killReserve))
	log.Info().Str("node", f.settings.Name()).Int64("in_flight", f.forwarder.InFlight()).Int64("after_ms", time.Since(began).Milliseconds()).Msg("node stopped")
	f.forwarder.Close()
	f.subscribe.Stop()
	f.conductor.Stop()
	f.lease.Stop()
	f.watcher.Stop()
	f.grpc.Stop()
	_ = f.metrics.Stop() // The process ends; there is nobody to tell.
	f.peers.Close()
	f.workers.Close()
}

// handOver frees the zone's lease and names a successor.
func (f *Fleet) handOver() {
	address, found := f.conductor.Successor()
	_, epoch, _ := f.lease.Holder(f.settings.Zone())
	if !f.lease.Resign() || !found {
		return
	}
	f.conductor.Kick()
	client, err := f.peers.Fleet(address)
	if err != nil {
		log.Warn().Str("successor", address).Err(err).Msg("successor not told; it reads the lease by itself")
		return
	}
	ctx, cancel := peerclient.Until(time.Now().Add(successTime))
	defer cancel()
	if _, err := client.Succeed(ctx, &nodewire.SucceedRequest{Zone: f.settings.Zone(), Epoch: epoch}); err != nil {
		log.Warn().Str("successor", address).Err(err).Msg("successor not told; it reads the lease by itself")
	}
}
