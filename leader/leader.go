// Package leader implements the leader role of a node: it maintains the zone's
// lease, executes the planner's decisions and handles the calls of other nodes.
//
// The elector and planner packages make all decisions and do no I/O. This
// package does the I/O for them and guards their state with one mutex.
package leader

import (
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/planner"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Intervals of the leader's loops.
const (
	leaseInterval  = 100 * time.Millisecond
	planInterval   = 200 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// busyReportInterval applies to workers with a load or unload in progress, and to those whose
	// units at the takeover are not known yet.
	busyReportInterval    = 50 * time.Millisecond
	settleIssuersInterval = 500 * time.Millisecond
	// memberMaxAge is how long after its last pull a node stays a candidate for successor.
	memberMaxAge = 2 * time.Second
)

// Timeouts of single calls.
const (
	platformTimeout = 1500 * time.Millisecond
	leaseTimeout    = 800 * time.Millisecond
	orderTimeout    = 3 * time.Second
	reportTimeout   = 2 * time.Second
	peerTimeout     = 1 * time.Second
)

// seenMember is a node of the zone as its last pull described it.
type seenMember struct {
	elector.Member
	// seenAt is the time of its last pull.
	seenAt time.Time
}

// workerHost is a worker of the zone, as this leader polls it and sends orders to it.
type workerHost struct {
	control *engineclient.Control
	// polling is true while a goroutine polls the worker's reports.
	polling bool
	// orders are the orders still to be sent, oldest first.
	orders []queuedOrder
	// sending is true while a goroutine sends the orders; there is at most one.
	sending bool
}

// queuedOrder is an order to be sent and the planner that decided it.
type queuedOrder struct {
	decidedBy *planner.Planner
	order     planner.Order
}

// epochOrders tracks the orders that this node issued under one lease epoch.
type epochOrders struct {
	// inProgress counts the orders whose outcome is not known yet, queued ones included.
	inProgress int
	// lastUnknownAt is when an order last ended with an unknown outcome.
	lastUnknownAt time.Time
}

// Leader implements the leader role of a node, which leads only while it holds
// its zone's lease. It is safe for concurrent use.
type Leader struct {
	zone     string
	platform *platformclient.Platform
	peers    *peerclient.Pool
	follower *configfollower.Follower
	// engineControl returns the control client of the engine at an address.
	engineControl func(address string) *engineclient.Control
	// stopped is closed by Stop and StopWithoutHandover; it ends the loops.
	stopped chan struct{}
	// planTrigger runs the plan loop before its next tick; it holds at most one trigger.
	planTrigger chan struct{}

	// mu guards everything below.
	mu      sync.Mutex
	elector *elector.Elector
	// planner is nil unless this node leads; its epoch is the lease's.
	planner *planner.Planner
	// epochVersion is the version of the epoch row as this leader wrote it. Every
	// write of a decision row checks it, so that it fails once another node leads.
	epochVersion int64
	// workerSpecs are the zone's workers by the host list and the configuration.
	workerSpecs []planner.WorkerSpec
	// workerHosts are the zone's workers ever listed, by host name.
	workerHosts map[string]*workerHost
	// nodeHosts are all nodes of the host list by host name.
	nodeHosts map[string]platformclient.Host
	// hostsKnown is true once a host list has been read.
	hostsKnown bool
	// members are the zone's nodes that have pulled, by incarnation.
	members map[string]seenMember
	// changed is closed and replaced whenever the planner's state may have changed.
	changed chan struct{}
	// view is the planner's view with the history that Pull needs.
	view zoneView
	// remotes are the other zones by name.
	remotes map[string]*remoteZone
	// replicated holds the decision rows that another leader replicated to this node.
	replicated replicatedRows
	// ordersByEpoch says for each lease epoch whether orders of this node may still take effect.
	ordersByEpoch map[int64]*epochOrders
	// platformSeenAt is when the platform last responded to this node.
	platformSeenAt time.Time
	// absentSince maps unsettled issuers to when their process was first found absent.
	absentSince map[string]time.Time
	// replicatedOnly holds the workers whose newest row only the successors have.
	replicatedOnly map[string]bool
	// retryPersistAt maps workers to the earliest time of the next write of their row.
	retryPersistAt map[string]time.Time
	// quarantines returns the zone's quarantined request fingerprints and their remaining times; it is nil before
	// SetQuarantines is called.
	quarantines func(now time.Time) []*nodewire.Quarantine
	// restore adds a quarantine of another zone.
	restore func(fingerprint string, until time.Time)
}

// Dependencies are what a leader needs from the rest of the node.
type Dependencies struct {
	Zone     string
	Self     elector.Member
	Platform *platformclient.Platform
	Peers    *peerclient.Pool
	Follower *configfollower.Follower
	// EngineControl returns the control client of the engine at an address.
	EngineControl func(address string) *engineclient.Control
}

// New returns a leader that does not lead yet; Run starts it.
func New(dependencies Dependencies) *Leader {
	return &Leader{
		zone: dependencies.Zone, platform: dependencies.Platform, peers: dependencies.Peers, follower: dependencies.Follower, engineControl: dependencies.EngineControl,
		stopped:        make(chan struct{}),
		planTrigger:    make(chan struct{}, 1),
		elector:        elector.New(dependencies.Self),
		workerHosts:    map[string]*workerHost{},
		nodeHosts:      map[string]platformclient.Host{},
		members:        map[string]seenMember{},
		changed:        make(chan struct{}),
		ordersByEpoch:  map[int64]*epochOrders{},
		remotes:        map[string]*remoteZone{},
		absentSince:    map[string]time.Time{},
		replicatedOnly: map[string]bool{},
		retryPersistAt: map[string]time.Time{},
	}
}

// Self returns this node's name, incarnation and address.
func (l *Leader) Self() elector.Member { return l.elector.Self() }

// LeaseKeyForZone returns the table key of a zone's lease row.
func LeaseKeyForZone(zone string) string { return "zone/" + zone + "/lease" }

// LeaseKey returns the table key of the local zone's lease row.
func (l *Leader) LeaseKey() string { return LeaseKeyForZone(l.zone) }

func (l *Leader) epochKey() string { return "zone/" + l.zone + "/epoch" }

func (l *Leader) rowPrefix() string { return "zone/" + l.zone + "/worker/" }

// Run starts the loops and returns; Stop or StopWithoutHandover ends them.
func (l *Leader) Run() {
	go l.loop(leaseInterval, l.maintainLease)
	go l.loop(settleIssuersInterval, l.settleIssuers)
	go l.loop(pullRemotesInterval, l.pullRemotes)
	go l.planLoop()
}

func (l *Leader) loop(interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case <-ticker.C:
			step()
		}
	}
}

// triggerPlan makes the plan loop run without waiting for its next tick. It does
// nothing if a trigger is pending already.
func (l *Leader) triggerPlan() {
	select {
	case l.planTrigger <- struct{}{}:
	default:
	}
}

// notifyChange wakes the Ask calls that wait for a change; the caller holds mu.
func (l *Leader) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetHosts replaces the host list and applies the configuration in force to it.
func (l *Leader) SetHosts(hosts []platformclient.Host, versioned *configfollower.VersionedConfiguration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostsKnown = true
	l.nodeHosts = map[string]platformclient.Host{}
	l.workerSpecs = nil
	for _, host := range hosts {
		if host.Kind == platformclient.HostNode {
			l.nodeHosts[host.ID] = host
			continue
		}
		l.setWorkerHost(host, versioned.Configuration())
	}
	if l.planner != nil {
		l.planner.SetWorkers(l.workerSpecs)
		l.setLimits(versioned.Configuration())
	}
}

// setWorkerHost adds one worker of the host list; hosts of other zones and
// hosts that run no models are ignored. The caller holds mu.
func (l *Leader) setWorkerHost(host platformclient.Host, configuration *configreader.Configuration) {
	if host.Zone != l.zone || configuration == nil {
		return
	}
	group, found := configuration.WorkerGroup(host.Group)
	if !found || !group.RunsModels() {
		return
	}
	l.workerSpecs = append(l.workerSpecs, planner.WorkerSpec{
		ID: host.ID, Memory: group.Memory(), Fencing: group.Fencing(), Slots: group.Slots(),
		Accelerators: group.Accelerators(), Leaving: host.State == platformclient.StateLeaving,
	})
	if known, found := l.workerHosts[host.ID]; !found || known.control.Address != host.Address {
		l.workerHosts[host.ID] = &workerHost{control: l.engineControl(host.Address)}
	}
}

// setLimits sets the planner's cost weights and divides the weight store's
// limits evenly among the zones, so that the total holds even while the zones
// cannot reach each other; every zone may run at least one load. The caller
// holds mu.
func (l *Leader) setLimits(configuration *configreader.Configuration) {
	if configuration == nil {
		return
	}
	deployment, found := configuration.Deployment()
	if !found {
		return
	}
	l.planner.SetWeights(deployment.ColdWeight(), deployment.IdleWeight())
	zones := max(len(deployment.Zones()), 1)
	l.planner.SetLimits(planner.Limits{
		LoadRate:             deployment.LoadRate() / float64(zones),
		ParallelLoads:        max(deployment.ParallelLoads()/zones, 1),
		ParallelAdapterLoads: max(deployment.ParallelAdapterLoads()/zones, 1),
	})
}

// UnitSpec looks a unit up in the configuration. The name of a unit is "version" or
// "version/adapter"; the result is false if the configuration lacks either part. The
// replica bounds of a version are the highest among the models that use it.
func UnitSpec(configuration *configreader.Configuration, unit string) (planner.UnitSpec, bool) {
	if configuration == nil {
		return planner.UnitSpec{}, false
	}
	base, adapterName, isAdapter := strings.Cut(unit, "/")
	version, found := configuration.Version(base)
	if !found {
		return planner.UnitSpec{}, false
	}
	spec := planner.UnitSpec{Unit: unit, Checkpoint: version.Checkpoint(), Memory: version.Memory(), LoadMS: version.LoadTime().Milliseconds(), MaxReplicas: 1}
	for _, model := range configuration.Models() {
		if model.Version() == base {
			spec.MinReplicas, spec.MaxReplicas = max(spec.MinReplicas, model.MinReplicas()), max(spec.MaxReplicas, model.MaxReplicas())
		}
	}
	if !isAdapter {
		return spec, true
	}
	adapter, found := configuration.Adapter(adapterName)
	if !found {
		return planner.UnitSpec{}, false
	}
	return planner.UnitSpec{Unit: unit, Base: base, Checkpoint: adapter.Checkpoint(), Memory: adapter.Memory(), LoadMS: adapterLoadMS, MaxReplicas: spec.MaxReplicas}, true
}

// adapterLoadMS is the duration of an adapter load at full speed, in milliseconds.
const adapterLoadMS = 12

// StopWithoutHandover ends the loops without a handover; the lease expires at the end of its term.
func (l *Leader) StopWithoutHandover() { close(l.stopped) }

// Stop ends the loops and hands the lease over if this node holds it.
func (l *Leader) Stop() {
	close(l.stopped)
	l.mu.Lock()
	epoch := l.elector.Lease().Epoch
	proposal := l.elector.Resign(time.Now())
	l.planner = nil
	candidates := l.successors(time.Now())
	l.mu.Unlock()
	if proposal == nil {
		return
	}
	l.handOver(proposal, epoch, candidates)
}

// handOver writes a lease without a holder and invites the candidates in turn
// until one accepts.
func (l *Leader) handOver(proposal *elector.Proposal, epoch int64, candidates []elector.Member) {
	deadline := time.Now().Add(platformTimeout)
	if _, err := l.writeLease(proposal, deadline, false); err != nil {
		log.Warn().Str("zone", l.zone).Err(err).Msg("lease not handed over; it expires at the end of its term")
		return
	}
	log.Info().Str("zone", l.zone).Int64("epoch", epoch).Msg("lease handed over")
	for _, candidate := range candidates {
		if l.invite(candidate, epoch) {
			return
		}
	}
}

func (l *Leader) invite(candidate elector.Member, epoch int64) bool {
	client, err := l.peers.NodeClient(candidate.Address)
	if err != nil {
		return false
	}
	ctx, cancel := peerclient.WithDeadline(time.Now().Add(peerTimeout))
	defer cancel()
	reply, err := client.Invite(ctx, &nodewire.InviteRequest{Incarnation: l.Self().Incarnation, Epoch: epoch})
	return err == nil && reply.GetAccepted()
}

// View returns the planner's view of the zone's workers, or nil if this node does not lead.
func (l *Leader) View() []planner.WorkerView {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return nil
	}
	return l.planner.View()
}

// SetQuarantines sets the function that returns the quarantines for every pull
// reply, and the function that adds a quarantine of another zone. Call it before Run.
func (l *Leader) SetQuarantines(quarantines func(now time.Time) []*nodewire.Quarantine, restore func(fingerprint string, until time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quarantines, l.restore = quarantines, restore
}
