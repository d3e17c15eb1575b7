package server

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/balancer"
	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/crashreporter"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/leader"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/tracker"
)

// Intervals of the poller's loops, and timeouts of its calls.
const (
	rowsInterval  = 500 * time.Millisecond
	hostsInterval = 500 * time.Millisecond
	pullInterval  = 200 * time.Millisecond
	peersInterval = 1 * time.Second
	pollTimeout   = 1 * time.Second
	// fetchTimeout bounds the fetch of a new configuration.
	fetchTimeout = 3 * time.Second
)

// useKey is a unit ("version" or "version/adapter") with the zone of the worker that
// served requests for it; the zone is empty when none did.
type useKey struct{ unit, zone string }

// poller keeps up to date what a node knows: the configuration, the leaders, the hosts and the units loaded at each worker.
type poller struct {
	settings      *settingsreader.Settings
	platform      *platformclient.Platform
	follower      *configfollower.Follower
	tracker       *tracker.Tracker
	leader        *leader.Leader
	peers         *peerclient.Pool
	crashReporter *crashreporter.Reporter
	stopped       chan struct{}
	// fetchMu serialises updates of the configuration in force.
	fetchMu sync.Mutex
	// mu guards everything below.
	mu sync.Mutex
	// leaders maps each zone to its leader according to the last lease row read.
	leaders map[string]elector.Member
	// epoch and sequence are those of the leader's last reply to a pull, which the next pull continues.
	epoch, sequence int64
	// uses counts the requests for each unit in each zone that have not been reported to a leader yet.
	uses map[useKey]*nodewire.Use
	// nodes are the nodes of the last host list.
	nodes []platformclient.Host
	// nextPeer is incremented by each pollPeer; modulo the number of nodes it is the index of the node to ask.
	nextPeer int
}

func newPoller(settings *settingsreader.Settings, platform *platformclient.Platform, configFollower *configfollower.Follower, workerTracker *tracker.Tracker, zoneLeader *leader.Leader, peers *peerclient.Pool) *poller {
	return &poller{
		settings: settings, platform: platform, follower: configFollower, tracker: workerTracker, leader: zoneLeader, peers: peers,
		stopped: make(chan struct{}), uses: map[useKey]*nodewire.Use{}, leaders: map[string]elector.Member{},
	}
}

func (p *poller) run() {
	go p.loop(rowsInterval, p.pollRows)
	go p.loop(hostsInterval, p.pollHosts)
	go p.loop(pullInterval, p.pull)
	go p.loop(peersInterval, p.pollPeer)
}

func (p *poller) stop() { close(p.stopped) }

// loop calls poll immediately and then at every interval until the poller is stopped.
func (p *poller) loop(interval time.Duration, poll func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		poll()
		select {
		case <-p.stopped:
			return
		case <-ticker.C:
		}
	}
}

// pollRows reads the head of the configuration and the leases of all zones in one call.
func (p *poller) pollRows() {
	sentAt := time.Now()
	keys := []string{configfollower.HeadKey}
	zoneOf := map[string]string{}
	for _, zone := range p.zones() {
		key := leader.LeaseKeyForZone(zone)
		keys = append(keys, key)
		zoneOf[key] = zone
	}
	rows, err := p.platform.ReadRows(sentAt.Add(pollTimeout), keys, "")
	if err != nil {
		return
	}
	var localLease platformclient.Row
	leaders := map[string]elector.Member{}
	for _, row := range rows {
		if row.Key == configfollower.HeadKey {
			p.applyHead(row)
			continue
		}
		if row.Key == p.leader.LeaseKey() {
			localLease = row
		}
		var lease elector.Lease
		if err := json.Unmarshal([]byte(row.Value), &lease); err == nil {
			leaders[zoneOf[row.Key]] = lease.Holder
		}
	}
	p.leader.ObserveRow(sentAt, localLease)
	p.leader.SetZoneLeaders(leaders)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaders = leaders
}

// zones returns the zones of the deployment and the local zone of this node.
func (p *poller) zones() []string {
	if configuration := p.follower.Current().Configuration(); configuration != nil {
		if deployment, found := configuration.Deployment(); found {
			return lo.Union(deployment.Zones(), []string{p.settings.Zone()})
		}
	}
	return []string{p.settings.Zone()}
}

// applyHead fetches the configuration that the head row names, if it is newer than the one in force.
func (p *poller) applyHead(row platformclient.Row) {
	head, err := configfollower.DecodeHead(row.Value)
	if err != nil {
		log.Error().Err(err).Msg("head row of the configuration cannot be decoded")
		return
	}
	p.follower.ObserveVersion(head.Version)
	if head.Version <= p.follower.Current().Version() {
		return
	}
	p.fetchMu.Lock()
	defer p.fetchMu.Unlock()
	if err := p.follower.Fetch(time.Now().Add(fetchTimeout), head); err != nil {
		log.Warn().Int64("version", head.Version).Err(err).Msg("new configuration cannot be fetched from the platform")
		return
	}
	go p.pollHosts() // The slots of a worker come from the configuration.
}

// NoLeaderError is the error of a call to the leader of a zone whose leader is not known.
type NoLeaderError struct {
	// zone is the name of the availability zone.
	zone string
}

// Error names the zone.
func (e *NoLeaderError) Error() string { return fmt.Sprintf("zone %q has no known leader", e.zone) }

// leaderClient returns the client of the leader of this node's zone.
func (p *poller) leaderClient() (nodewire.NodeClient, error) {
	return p.leaderOf(p.settings.Zone())
}

// leaderOf returns the client of a zone's leader, or a NoLeaderError.
func (p *poller) leaderOf(zone string) (nodewire.NodeClient, error) {
	p.mu.Lock()
	zoneLeader := p.leaders[zone]
	p.mu.Unlock()
	if _, leading := p.leader.Leading(); leading && zone == p.settings.Zone() {
		zoneLeader = p.leader.Self() // This node may lead before it has read the local zone's lease row.
	}
	if zoneLeader.Incarnation == "" {
		return nil, &NoLeaderError{zone: zone}
	}
	return p.peers.NodeClient(zoneLeader.Address)
}

// homeLeader returns the client of the leader that decides where a unit is
// loaded while all zones are reachable. Rendezvous hashing assigns each unit one
// home zone, so that a burst of requests in several zones causes one load. A unit
// with an adapter has the home zone of its version.
func (p *poller) homeLeader(unit string) (nodewire.NodeClient, error) {
	version, _, _ := strings.Cut(unit, "/")
	return p.leaderOf(balancer.HomeZone(p.zones(), version))
}

// pollHosts reads the host list and updates the leader, the tracker and the list of nodes with it.
func (p *poller) pollHosts() {
	hosts, err := p.platform.ListHosts(time.Now().Add(pollTimeout))
	if err != nil {
		return
	}
	versioned := p.follower.Current()
	p.leader.SetHosts(hosts, versioned)
	var listings []tracker.Listing
	var nodes []platformclient.Host
	for _, host := range hosts {
		if host.Kind == platformclient.HostNode {
			nodes = append(nodes, host)
			continue
		}
		listing := tracker.Listing{ID: host.ID, Address: host.Address, Zone: host.Zone, Group: host.Group, Leaving: host.State == platformclient.StateLeaving}
		if configuration := versioned.Configuration(); configuration != nil {
			if group, found := configuration.WorkerGroup(host.Group); found {
				listing.Slots = group.Slots()
			}
		}
		listings = append(listings, listing)
	}
	p.tracker.SetListed(listings)
	p.mu.Lock()
	p.nodes = nodes
	p.mu.Unlock()
}

// countUse counts a request for a unit, to be reported by the next pull. Worker is
// the worker that serves it, or empty when none does yet; saturated is set when all
// workers that have the unit loaded were saturated.
func (p *poller) countUse(unit, worker string, saturated bool) {
	zone := ""
	if worker != "" {
		zone = p.tracker.Zone(worker)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	use := p.useFor(useKey{unit: unit, zone: zone})
	use.Requests++
	use.Saturated = use.Saturated || saturated
}

// useFor returns the entry of a unit and zone, and adds it when it is missing; the caller holds mu.
func (p *poller) useFor(key useKey) *nodewire.Use {
	use, known := p.uses[key]
	if !known {
		use = &nodewire.Use{Unit: key.unit, Zone: key.zone}
		p.uses[key] = use
	}
	return use
}

// pull reports the counted uses to the leader and fetches what changed in the leader's view.
func (p *poller) pull() {
	client, err := p.leaderClient()
	if err != nil {
		return
	}
	request := p.pullRequest()
	ctx, cancel := peerclient.WithDeadline(time.Now().Add(pollTimeout))
	defer cancel()
	reply, err := client.Pull(ctx, request)
	if err != nil {
		p.restoreUses(request.GetUses())
		return
	}
	p.follower.ObserveVersion(reply.GetConfig())
	if !reply.GetLeading() {
		p.restoreUses(request.GetUses())
		return
	}
	p.applyView(reply)
}

// pullRequest returns the next pull with the counted uses, and resets the counts.
func (p *poller) pullRequest() *nodewire.PullRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.leader.Self()
	request := &nodewire.PullRequest{
		Node: self.Node, Incarnation: self.Incarnation, Address: self.Address,
		Since: p.sequence, Epoch: p.epoch, Config: p.follower.Current().Version(),
	}
	for _, use := range p.uses {
		request.Uses = append(request.Uses, use)
	}
	p.uses = map[useKey]*nodewire.Use{}
	return request
}

// restoreUses adds the uses of a failed pull to the counts again.
func (p *poller) restoreUses(uses []*nodewire.Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, use := range uses {
		total := p.useFor(useKey{unit: use.GetUnit(), zone: use.GetZone()})
		total.Requests += use.GetRequests()
		total.Saturated = total.GetSaturated() || use.GetSaturated()
	}
}

// applyView passes the workers of the leader's view to the tracker and its quarantines to the crash reporter.
func (p *poller) applyView(reply *nodewire.PullReply) {
	for _, worker := range reply.GetWorkers() {
		report := tracker.LeaderReport{
			ID: worker.GetId(), Leaving: worker.GetLeaving() || worker.GetRemoved(), Running: int(worker.GetRunning()), Queued: int(worker.GetQueued()),
			Incarnation: worker.GetIncarnation(), Units: map[string]string{}, LoadOnly: worker.GetLoadOnly(),
		}
		for _, resident := range worker.GetResidents() {
			report.Units[resident.GetUnit()] = resident.GetPhase()
		}
		p.tracker.SetLeaderReport(report)
	}
	now := time.Now()
	for _, quarantine := range reply.GetQuarantines() {
		p.crashReporter.AddQuarantine(quarantine.GetFingerprint(), now.Add(time.Duration(quarantine.GetRemainingMs())*time.Millisecond))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch, p.sequence = reply.GetEpoch(), reply.GetSequence()
}

// pollPeer asks one other node for a newer configuration, so that changes also
// reach a node that cannot reach the platform.
func (p *poller) pollPeer() {
	p.mu.Lock()
	if len(p.nodes) == 0 {
		p.mu.Unlock()
		return
	}
	p.nextPeer++
	peer := p.nodes[p.nextPeer%len(p.nodes)]
	p.mu.Unlock()
	if peer.ID != p.settings.Name() {
		p.fetchFrom(peer.Address)
	}
}

// fetchFrom fetches the changes of the configuration that the node at an address has and this one lacks.
func (p *poller) fetchFrom(address string) {
	client, err := p.peers.NodeClient(address)
	if err != nil {
		return
	}
	ctx, cancel := peerclient.WithDeadline(time.Now().Add(pollTimeout))
	defer cancel()
	reply, err := client.Changes(ctx, &nodewire.ChangesRequest{After: p.follower.Current().Version()})
	if err != nil {
		return
	}
	p.fetchMu.Lock()
	defer p.fetchMu.Unlock()
	if err := applyChanges(p.follower, reply); err != nil {
		log.Warn().Str("peer", address).Err(err).Msg("configuration changes from a peer cannot be applied")
	}
}
