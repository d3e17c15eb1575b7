// Package server runs one node: it builds the parts, starts their loops and
// listeners, and stops them in an order that lets requests in flight end.
//
// A Server is the node for settings with form "table", a FleetNode the one for form "fleet".
package server

import (
	"fmt"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/do/v2"
	"google.golang.org/grpc"

	"github.com/acaciaproxy/acaciaproxy/adminserver"
	"github.com/acaciaproxy/acaciaproxy/claimer"
	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/connlimiter"
	"github.com/acaciaproxy/acaciaproxy/crashreporter"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/gateway"
	"github.com/acaciaproxy/acaciaproxy/leader"
	"github.com/acaciaproxy/acaciaproxy/lingerer"
	"github.com/acaciaproxy/acaciaproxy/loadrequester"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/queuer"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/tracker"
)

// Server is one node on a platform with a table, an object store and a host list.
type Server struct {
	settings      *settingsreader.Settings
	injector      *do.RootScope
	platform      *platformclient.Platform
	follower      *configfollower.Follower
	tracker       *tracker.Tracker
	leader        *leader.Leader
	gateway       *gateway.Gateway
	adminServer   *adminserver.Server
	crashReporter *crashreporter.Reporter
	peers         *peerclient.Pool
	poller        *poller
	// grpc serves the calls of other nodes, callers accepts the connections of callers; both are nil until Run.
	grpc    *grpc.Server
	callers *lingerer.Listener
}

// New returns a node that does not listen yet. It fails when a part of the node cannot be built.
func New(settings *settingsreader.Settings) (*Server, error) {
	return build(settings, func(do.Injector) {})
}

// build does what New does, but first lets override replace constructors of parts.
func build(settings *settingsreader.Settings, override func(do.Injector)) (*Server, error) {
	injector := do.New()
	do.ProvideValue(injector, settings)
	provide(injector)
	override(injector)
	s, err := do.Invoke[*Server](injector)
	if err != nil {
		return nil, fmt.Errorf("build node %q: %w", settings.Name(), err)
	}
	s.injector = injector
	return s, nil
}

// provide registers the constructor of every part.
func provide(injector do.Injector) {
	do.Provide(injector, func(i do.Injector) (*platformclient.Platform, error) {
		settings := do.MustInvoke[*settingsreader.Settings](i)
		return platformclient.NewHTTP(settings.Platform(), settings.Zone()), nil
	})
	do.Provide(injector, func(i do.Injector) (*configfollower.Follower, error) {
		return configfollower.New(do.MustInvoke[*platformclient.Platform](i), logVersion), nil
	})
	do.Provide(injector, func(do.Injector) (*tracker.Tracker, error) { return tracker.New(), nil })
	do.Provide(injector, func(do.Injector) (*queuer.Queuer, error) { return queuer.New(), nil })
	do.Provide(injector, func(do.Injector) (*recorder.Recorder, error) { return recorder.New(), nil })
	do.Provide(injector, func(do.Injector) (*peerclient.Pool, error) { return peerclient.NewPool(), nil })
	do.Provide(injector, func(i do.Injector) (*claimer.Claimer, error) {
		return claimer.New(do.MustInvoke[*platformclient.Platform](i)), nil
	})
	do.ProvideValue(injector, engineclient.NewControl)
	do.Provide(injector, provideLeader)
	do.Provide(injector, providePoller)
	do.Provide(injector, provideCrashReporter)
	do.Provide(injector, provideLoadRequester)
	do.Provide(injector, provideGateway)
	do.Provide(injector, provideServer)
}

func logVersion(versioned *configfollower.VersionedConfiguration) {
	log.Info().Int64("version", versioned.Version()).Msg("configuration in force")
}

func provideLeader(i do.Injector) (*leader.Leader, error) {
	settings := do.MustInvoke[*settingsreader.Settings](i)
	self := elector.Member{
		Node:        settings.Name(),
		Incarnation: leader.NewIncarnation(settings.Name(), time.Now()),
		Address:     settings.Nodes(),
	}
	return leader.New(leader.Dependencies{
		Zone: settings.Zone(), Self: self, Platform: do.MustInvoke[*platformclient.Platform](i), Peers: do.MustInvoke[*peerclient.Pool](i),
		Follower: do.MustInvoke[*configfollower.Follower](i), EngineControl: do.MustInvoke[func(string) *engineclient.Control](i),
	}), nil
}

func providePoller(i do.Injector) (*poller, error) {
	return newPoller(
		do.MustInvoke[*settingsreader.Settings](i), do.MustInvoke[*platformclient.Platform](i), do.MustInvoke[*configfollower.Follower](i),
		do.MustInvoke[*tracker.Tracker](i), do.MustInvoke[*leader.Leader](i), do.MustInvoke[*peerclient.Pool](i)), nil
}

func provideCrashReporter(i do.Injector) (*crashreporter.Reporter, error) {
	settings := do.MustInvoke[*settingsreader.Settings](i)
	workerTracker := do.MustInvoke[*tracker.Tracker](i)
	usableWorkers := func() []string { return workerTracker.Usable(settings.Zone()) }
	return crashreporter.New(settings.Name(), do.MustInvoke[*poller](i).leaderClient, usableWorkers), nil
}

func provideLoadRequester(i do.Injector) (*loadrequester.Requester, error) {
	settings := do.MustInvoke[*settingsreader.Settings](i)
	workerTracker := do.MustInvoke[*tracker.Tracker](i)
	configFollower := do.MustInvoke[*configfollower.Follower](i)
	setReady := func(unit string, workers []string) {
		for _, worker := range workers {
			workerTracker.SetReady(worker, unit)
		}
	}
	configVersion := func() int64 { return configFollower.Current().Version() }
	nodePoller := do.MustInvoke[*poller](i)
	return loadrequester.New(settings.Name(), nodePoller.leaderClient, nodePoller.homeLeader, setReady, configVersion), nil
}

func provideGateway(i do.Injector) (*gateway.Gateway, error) {
	return gateway.New(gateway.Dependencies{
		Settings:      do.MustInvoke[*settingsreader.Settings](i),
		Follower:      do.MustInvoke[*configfollower.Follower](i),
		Tracker:       do.MustInvoke[*tracker.Tracker](i),
		LoadRequester: do.MustInvoke[*loadrequester.Requester](i),
		Queuer:        do.MustInvoke[*queuer.Queuer](i),
		Claimer:       do.MustInvoke[*claimer.Claimer](i),
		CrashReporter: do.MustInvoke[*crashreporter.Reporter](i),
		Recorder:      do.MustInvoke[*recorder.Recorder](i),
		Incarnation:   do.MustInvoke[*leader.Leader](i).Self().Incarnation,
		ReportUse:     do.MustInvoke[*poller](i).countUse,
	}), nil
}

func provideServer(i do.Injector) (*Server, error) {
	s := &Server{
		settings:      do.MustInvoke[*settingsreader.Settings](i),
		platform:      do.MustInvoke[*platformclient.Platform](i),
		follower:      do.MustInvoke[*configfollower.Follower](i),
		tracker:       do.MustInvoke[*tracker.Tracker](i),
		leader:        do.MustInvoke[*leader.Leader](i),
		gateway:       do.MustInvoke[*gateway.Gateway](i),
		crashReporter: do.MustInvoke[*crashreporter.Reporter](i),
		peers:         do.MustInvoke[*peerclient.Pool](i),
		poller:        do.MustInvoke[*poller](i),
	}
	s.poller.crashReporter = s.crashReporter
	s.leader.SetQuarantines(s.crashReporter.Quarantines, s.crashReporter.AddQuarantine)
	s.adminServer = adminserver.New(adminserver.Dependencies{
		Settings: s.settings, Follower: s.follower, Tracker: s.tracker, Leader: s.leader,
		InFlight: s.gateway.InFlight,
	})
	return s, nil
}

// Run serves until stop is closed and then drains the node: requests in flight may
// end within the drain limit. It returns an error when a listener cannot be opened or fails.
func (s *Server) Run(stop <-chan struct{}) error {
	callers, err := net.Listen("tcp", s.settings.Callers())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	operators, err := net.Listen("tcp", s.settings.Operators())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	nodes, err := net.Listen("tcp", s.settings.Nodes())
	if err != nil {
		return fmt.Errorf("listen for nodes: %w", err)
	}
	limiter := s.gateway.Limiter()
	connlimiter.LimitHeap(s.settings.Memory())
	s.grpc = newNodeServer()
	nodewire.RegisterNodeServer(s.grpc, &nodeService{server: s})
	failed := make(chan error, 3)
	go func() {
		failed <- s.grpc.Serve(limiter.Listen(nodes, connlimiter.Port{Name: "nodes", Connections: limiter.MaxNodes()}))
	}()
	go func() { failed <- s.adminServer.Serve(limiter.Listen(operators, adminserver.Port(limiter))) }()
	s.callers = lingerer.New(callers, lingerLimits(limiter))
	go func() { failed <- s.gateway.Serve(s.callers) }()
	s.startLoops()
	log.Info().Str("node", s.settings.Name()).Str("zone", s.settings.Zone()).Str("callers", s.settings.Callers()).
		Str("operators", s.settings.Operators()).Str("nodes", s.settings.Nodes()).Msg("node started")
	select {
	case err := <-failed:
		return fmt.Errorf("node %q: listener failed: %w", s.settings.Name(), err)
	case <-stop:
		s.stop()
		return nil
	}
}

// startLoops starts the background loops: polling, leading and the deletion of expired claims.
func (s *Server) startLoops() {
	s.poller.run()
	s.leader.Run()
	go s.sweepClaims()
}

// stopLoops ends the loops immediately without handing the lease over, as a crash does.
func (s *Server) stopLoops() {
	s.leader.StopWithoutHandover()
	s.poller.stop()
}

// balancerDelay is how long the load balancer in front of the nodes may take to stop sending connections to one that is not ready.
const balancerDelay = 1 * time.Second

// stop drains the node: the lease is handed over, the readiness check fails, the requests
// in flight end, and then the listeners close.
func (s *Server) stop() {
	log.Info().Str("node", s.settings.Name()).Int64("in_flight", s.gateway.InFlight()).Msg("node stops")
	now := time.Now()
	s.leader.Stop()
	s.gateway.Drain(now.Add(balancerDelay), now.Add(s.settings.DrainTimeout()))
	_ = s.gateway.Stop()
	s.callers.Wait(time.Now().Add(lingerTimeout))
	s.poller.stop()
	s.grpc.Stop()
	_ = s.adminServer.Stop()
	s.peers.Close()
	log.Info().Str("node", s.settings.Name()).Int64("in_flight", s.gateway.InFlight()).Msg("node stopped")
}
