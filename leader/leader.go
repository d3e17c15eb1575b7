// Package leader runs the part of a node that can lead its zone: it keeps the
// lease, carries out the planner's decisions, and answers the other nodes.
//
// All decisions are made by the elector and planner packages, which do no I/O.
// This package does the I/O around them under one lock.
package leader

import (
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/follower"
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
	// busyReportInterval applies to workers where something changes.
	busyReportInterval = 50 * time.Millisecond
	issuerInterval     = 500 * time.Millisecond
	// freshMember is the age of the last pull up to which a node counts as well.
	freshMember = 2 * time.Second
)

// Time limits of single calls.
const (
	platformTime = 1500 * time.Millisecond
	leaseTime    = 800 * time.Millisecond
	orderTime    = 3 * time.Second
	reportTime   = 2 * time.Second
	peerTime     = 1 * time.Second
)

// member is another node of the zone as its pulls describe it.
type member struct {
	elector.Member
	// seenAt is when it last pulled.
	seenAt time.Time
}

// workerHost is a model worker of the zone.
type workerHost struct {
	control *engineclient.Control
	// polling is set while a goroutine reads its reports.
	polling bool
	// orders wait to be sent, oldest first.
	orders []issuedOrder
	// sending is set while a goroutine sends the orders.
	sending bool
}

// issuedOrder is an order with the planner that decided it.
type issuedOrder struct {
	by    *planner.Planner
	order planner.Order
}

// issuedOrders counts the orders that this node issued under one epoch.
type issuedOrders struct {
	// inFlight counts the orders that have not ended.
	inFlight int
	// lastUnknownAt is when an order last ended without an answer.
	lastUnknownAt time.Time
}

// Leader is safe for use by several goroutines.
type Leader struct {
	zone     string
	platform *platformclient.Platform
	peers    *peerclient.Pool
	follower *follower.Follower
	// engines returns the control of the engine at an address.
	engines func(address string) *engineclient.Control
	// stopped is closed when the node stops.
	stopped chan struct{}
	// kicks wakes the plan loop.
	kicks chan struct{}

	// mu guards everything below.
	mu      sync.Mutex
	elector *elector.Elector
	// planner is set while this node leads and its epoch is the lease's.
	planner *planner.Planner
	// epochVersion is the version of the epoch row that this leader wrote.
	epochVersion int64
	// specs are the zone's workers by the host list and configuration.
	specs []planner.WorkerSpec
	hosts map[string]*workerHost
	// nodeHosts are all listed nodes by name.
	nodeHosts map[string]platformclient.Host
	// hostsKnown is set once a host list was read.
	hostsKnown bool
	members    map[string]member
	// changed is closed and replaced whenever the planner's state may have changed.
	changed chan struct{}
	view    zoneView
	// remotes are the other zones by name.
	remotes map[string]*remoteZone
	held    heldRows
	// issued says for each lease epoch which of this node's orders may still take effect.
	issued map[int64]*issuedOrders
	// platformSeenAt is when the platform last answered this node.
	platformSeenAt time.Time
	// absentSince maps unsettled issuers to when their host was first found gone.
	absentSince map[string]time.Time
	// replicatedOnly holds the workers whose newest row is only at the successors.
	replicatedOnly map[string]bool
	// retryPersistAt maps workers to when their row may be written again.
	retryPersistAt map[string]time.Time
	// quarantines lists what is quarantined in the zone, with the remaining time.
	quarantines func(now time.Time) []*nodewire.Quarantine
	// restore takes in a quarantine of another zone.
	restore func(fingerprint string, until time.Time)
}

// Parts are what a leader needs from the rest of the node.
type Parts struct {
	Zone     string
	Self     elector.Member
	Platform *platformclient.Platform
	Peers    *peerclient.Pool
	Follower *follower.Follower
	// Engines returns the control of the engine at an address.
	Engines func(address string) *engineclient.Control
}

// New returns the leader part of a node.
func New(parts Parts) *Leader {
	return &Leader{
		zone: parts.Zone, platform: parts.Platform, peers: parts.Peers, follower: parts.Follower, engines: parts.Engines,
		stopped:        make(chan struct{}),
		kicks:          make(chan struct{}, 1),
		elector:        elector.New(parts.Self),
		hosts:          map[string]*workerHost{},
		nodeHosts:      map[string]platformclient.Host{},
		members:        map[string]member{},
		changed:        make(chan struct{}),
		issued:         map[int64]*issuedOrders{},
		remotes:        map[string]*remoteZone{},
		absentSince:    map[string]time.Time{},
		replicatedOnly: map[string]bool{},
		retryPersistAt: map[string]time.Time{},
	}
}

// Self returns the member that this node is.
func (l *Leader) Self() elector.Member { return l.elector.Self() }

// LeaseKeyOf returns the key of a zone's lease row.
func LeaseKeyOf(zone string) string { return "zone/" + zone + "/lease" }

// LeaseKey returns the key of the own zone's lease row.
func (l *Leader) LeaseKey() string { return LeaseKeyOf(l.zone) }

func (l *Leader) epochKey() string { return "zone/" + l.zone + "/epoch" }

func (l *Leader) rowPrefix() string { return "zone/" + l.zone + "/worker/" }

// Run starts the loops; they end when Stop is called.
func (l *Leader) Run() {
	go l.loop(leaseInterval, l.keepLease)
	go l.loop(issuerInterval, l.settleIssuers)
	go l.loop(remoteInterval, l.pullRemotes)
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

// kick makes the plan loop run soon.
func (l *Leader) kick() {
	select {
	case l.kicks <- struct{}{}:
	default:
	}
}

// announce wakes everyone who waits for a change; the caller holds mu.
func (l *Leader) announce() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetHosts takes in the host list and the configuration in force.
func (l *Leader) SetHosts(hosts []platformclient.Host, pinned *follower.Pinned) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostsKnown = true
	l.nodeHosts = map[string]platformclient.Host{}
	l.specs = nil
	for _, host := range hosts {
		if host.Kind == platformclient.HostNode {
			l.nodeHosts[host.ID] = host
			continue
		}
		l.setWorkerHost(host, pinned.Configuration())
	}
	if l.planner != nil {
		l.planner.SetWorkers(l.specs)
		l.setLimits(pinned.Configuration())
	}
}

// setWorkerHost takes in one worker of the host list; the caller holds mu.
func (l *Leader) setWorkerHost(host platformclient.Host, configuration *configurer.Configuration) {
	if host.Zone != l.zone || configuration == nil {
		return
	}
	group, found := configuration.Worker(host.Group)
	if !found || !group.RunsModels() {
		return
	}
	l.specs = append(l.specs, planner.WorkerSpec{
		ID: host.ID, Memory: group.Memory(), Fencing: group.Fencing(), Slots: group.Slots(),
		Accelerators: group.Accelerators(), Leaving: host.State == platformclient.StateLeaves,
	})
	if known, found := l.hosts[host.ID]; !found || known.control.Address != host.Address {
		l.hosts[host.ID] = &workerHost{control: l.engines(host.Address)}
	}
}

// setLimits gives the planner this zone's share of the weight store, so that
// the sum over all zones holds even while they are cut off from each other.
func (l *Leader) setLimits(configuration *configurer.Configuration) {
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
		Rate:     deployment.Rate() / float64(zones),
		Parallel: max(deployment.Parallel()/zones, 1),
		Transit:  max(deployment.Transit()/zones, 1),
	})
}

// UnitSpec returns the spec of a unit by the configuration.
func UnitSpec(configuration *configurer.Configuration, unit string) (planner.UnitSpec, bool) {
	if configuration == nil {
		return planner.UnitSpec{}, false
	}
	base, adapterName, isAdapter := strings.Cut(unit, "/")
	version, found := configuration.Version(base)
	if !found {
		return planner.UnitSpec{}, false
	}
	spec := planner.UnitSpec{Unit: unit, Checkpoint: version.Checkpoint(), Memory: version.Memory(), LoadMS: version.LoadTime().Milliseconds(), Most: 1}
	for _, model := range configuration.Models() {
		if model.Version() == base {
			spec.Least, spec.Most = max(spec.Least, model.Least()), max(spec.Most, model.Most())
		}
	}
	if !isAdapter {
		return spec, true
	}
	adapter, found := configuration.Adapter(adapterName)
	if !found {
		return planner.UnitSpec{}, false
	}
	return planner.UnitSpec{Unit: unit, Base: base, Checkpoint: adapter.Checkpoint(), Memory: adapter.Memory(), LoadMS: adapterLoadMS, Most: spec.Most}, true
}

// adapterLoadMS is the time of an adapter load at full speed, in milliseconds.
const adapterLoadMS = 12

// Abandon ends the loops without handing the lease over.
func (l *Leader) Abandon() { close(l.stopped) }

// Stop ends the loops and hands the lease over if it is held.
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

// handOver frees the lease row and invites the first successor that answers.
func (l *Leader) handOver(proposal *elector.Proposal, epoch int64, candidates []elector.Member) {
	deadline := time.Now().Add(platformTime)
	if _, err := l.writeLease(proposal, deadline, false); err != nil {
		log.Warn().Str("zone", l.zone).Err(err).Msg("lease not handed over; it lapses")
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
	client, err := l.peers.Node(candidate.Address)
	if err != nil {
		return false
	}
	ctx, cancel := peerclient.Until(time.Now().Add(peerTime))
	defer cancel()
	reply, err := client.Invite(ctx, &nodewire.InviteRequest{Incarnation: l.Self().Incarnation, Epoch: epoch})
	return err == nil && reply.GetAccepted()
}

// View returns what this node has decided as the leader, or nil when it does not lead.
func (l *Leader) View() []planner.WorkerView {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil {
		return nil
	}
	return l.planner.View()
}

// SetQuarantines sets the source of the quarantines that go out with each pull,
// and what takes in those of other zones.
func (l *Leader) SetQuarantines(quarantines func(now time.Time) []*nodewire.Quarantine, restore func(fingerprint string, until time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quarantines, l.restore = quarantines, restore
}
