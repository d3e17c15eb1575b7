package server

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/follower"
	"github.com/acaciaproxy/acaciaproxy/isolator"
	"github.com/acaciaproxy/acaciaproxy/leader"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/router"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/tracker"
)

// Intervals of the poller's loops.
const (
	rowsInterval  = 500 * time.Millisecond
	hostsInterval = 500 * time.Millisecond
	pullInterval  = 200 * time.Millisecond
	peersInterval = 1 * time.Second
	pollTime      = 1 * time.Second
	fetchTime     = 3 * time.Second
)

// useKey is a unit with the zone that served it.
type useKey struct{ unit, zone string }

// poller keeps a node's view up to date: configuration, hosts and residency.
type poller struct {
	settings *settingsreader.Settings
	platform *platformclient.Platform
	follower *follower.Follower
	tracker  *tracker.Tracker
	leader   *leader.Leader
	peers    *peerclient.Pool
	isolator *isolator.Isolator
	stopped  chan struct{}
	// fetching serialises fetches of configuration.
	fetching sync.Mutex
	// mu guards everything below.
	mu sync.Mutex
	// holders maps each zone to its leader by the last lease row.
	holders map[string]elector.Member
	// epoch and sequence say up to where the leader's view is known.
	epoch, sequence int64
	// uses counts the requests that each unit got in each zone since the last pull.
	uses map[useKey]*nodewire.Use
	// nodes are the listed nodes.
	nodes []platformclient.Host
	// nextPeer is the node asked next for its configuration version.
	nextPeer int
}

func newPoller(settings *settingsreader.Settings, platform *platformclient.Platform, configuration *follower.Follower, known *tracker.Tracker, zoneLeader *leader.Leader, peers *peerclient.Pool) *poller {
	return &poller{
		settings: settings, platform: platform, follower: configuration, tracker: known, leader: zoneLeader, peers: peers,
		stopped: make(chan struct{}), uses: map[useKey]*nodewire.Use{}, holders: map[string]elector.Member{},
	}
}

func (p *poller) run() {
	go p.loop(rowsInterval, p.pollRows)
	go p.loop(hostsInterval, p.pollHosts)
	go p.loop(pullInterval, p.pull)
	go p.loop(peersInterval, p.pollPeer)
}

func (p *poller) stop() { close(p.stopped) }

func (p *poller) loop(interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step()
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
	keys := []string{follower.HeadKey}
	zoneOf := map[string]string{}
	for _, zone := range p.zones() {
		key := leader.LeaseKeyOf(zone)
		keys = append(keys, key)
		zoneOf[key] = zone
	}
	rows, err := p.platform.ReadRows(sentAt.Add(pollTime), keys, "")
	if err != nil {
		return
	}
	var own platformclient.Row
	holders := map[string]elector.Member{}
	for _, row := range rows {
		if row.Key == follower.HeadKey {
			p.takeHead(row)
			continue
		}
		if row.Key == p.leader.LeaseKey() {
			own = row
		}
		var lease elector.Lease
		if err := json.Unmarshal([]byte(row.Value), &lease); err == nil {
			holders[zoneOf[row.Key]] = lease.Holder
		}
	}
	p.leader.ObserveRow(sentAt, own)
	p.leader.SetHolders(holders)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders = holders
}

// zones returns the zones of the deployment, at least the own one.
func (p *poller) zones() []string {
	if configuration := p.follower.Current().Configuration(); configuration != nil {
		if deployment, found := configuration.Deployment(); found {
			return lo.Union(deployment.Zones(), []string{p.settings.Zone()})
		}
	}
	return []string{p.settings.Zone()}
}

func (p *poller) takeHead(row platformclient.Row) {
	head, err := follower.DecodeHead(row.Value)
	if err != nil {
		log.Error().Err(err).Msg("head of the configuration cannot be read")
		return
	}
	p.follower.Hear(head.Version)
	if head.Version <= p.follower.Current().Version() {
		return
	}
	p.fetching.Lock()
	defer p.fetching.Unlock()
	if err := p.follower.Fetch(time.Now().Add(fetchTime), head); err != nil {
		log.Warn().Int64("version", head.Version).Err(err).Msg("configuration not fetched from the platform")
		return
	}
	go p.pollHosts() // What a worker is depends on the configuration.
}

// LeaderlessError says that a zone has no known leader.
type LeaderlessError struct {
	// zone is the availability zone.
	zone string
}

// Error names the zone.
func (e *LeaderlessError) Error() string { return fmt.Sprintf("zone %q has no known leader", e.zone) }

// leaderClient returns the client of the own zone's leader.
func (p *poller) leaderClient() (nodewire.NodeClient, error) {
	return p.leaderOf(p.settings.Zone())
}

func (p *poller) leaderOf(zone string) (nodewire.NodeClient, error) {
	p.mu.Lock()
	holder := p.holders[zone]
	p.mu.Unlock()
	if _, leading := p.leader.Leading(); leading && zone == p.settings.Zone() {
		holder = p.leader.Self() // Known before the next poll of the lease.
	}
	if holder.Incarnation == "" {
		return nil, &LeaderlessError{zone: zone}
	}
	return p.peers.Node(holder.Address)
}

// homeLeader returns the client of the leader that decides where a unit is
// loaded while all zones are reachable: rendezvous hashing gives each unit one
// home zone, so that a burst in several zones gives one load.
func (p *poller) homeLeader(unit string) (nodewire.NodeClient, error) {
	base, _, _ := strings.Cut(unit, "/")
	return p.leaderOf(router.Home(p.zones(), base))
}

// pollHosts reads the host list.
func (p *poller) pollHosts() {
	hosts, err := p.platform.ListHosts(time.Now().Add(pollTime))
	if err != nil {
		return
	}
	pinned := p.follower.Current()
	p.leader.SetHosts(hosts, pinned)
	var listings []tracker.Listing
	var nodes []platformclient.Host
	for _, host := range hosts {
		if host.Kind == platformclient.HostNode {
			nodes = append(nodes, host)
			continue
		}
		listing := tracker.Listing{ID: host.ID, Address: host.Address, Zone: host.Zone, Group: host.Group, Leaving: host.State == platformclient.StateLeaves}
		if configuration := pinned.Configuration(); configuration != nil {
			if group, found := configuration.Worker(host.Group); found {
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

// used counts a request that named a unit, for the next pull. Worker is the one
// that serves it, or empty when none does yet.
func (p *poller) used(unit, worker string, saturated bool) {
	zone := ""
	if worker != "" {
		zone = p.tracker.Zone(worker)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	use := p.useOf(useKey{unit: unit, zone: zone})
	use.Requests++
	use.Saturated = use.Saturated || saturated
}

// useOf returns the count for a unit and zone; the caller holds mu.
func (p *poller) useOf(key useKey) *nodewire.Use {
	use, known := p.uses[key]
	if !known {
		use = &nodewire.Use{Unit: key.unit, Zone: key.zone}
		p.uses[key] = use
	}
	return use
}

// pull fetches what changed in the leader's view.
func (p *poller) pull() {
	client, err := p.leaderClient()
	if err != nil {
		return
	}
	request := p.pullRequest()
	ctx, cancel := peerclient.Until(time.Now().Add(pollTime))
	defer cancel()
	reply, err := client.Pull(ctx, request)
	if err != nil {
		p.putBack(request.GetUses())
		return
	}
	p.follower.Hear(reply.GetConfig())
	if !reply.GetLeading() {
		p.putBack(request.GetUses())
		return
	}
	p.takeView(reply)
}

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

// putBack keeps uses that no leader has taken.
func (p *poller) putBack(uses []*nodewire.Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, use := range uses {
		kept := p.useOf(useKey{unit: use.GetUnit(), zone: use.GetZone()})
		kept.Requests += use.GetRequests()
		kept.Saturated = kept.GetSaturated() || use.GetSaturated()
	}
}

func (p *poller) takeView(reply *nodewire.PullReply) {
	for _, worker := range reply.GetWorkers() {
		digest := tracker.Digest{
			ID: worker.GetId(), Leaving: worker.GetLeaving() || worker.GetRemoved(), Running: int(worker.GetRunning()), Queued: int(worker.GetQueued()),
			Incarnation: worker.GetIncarnation(), Units: map[string]string{}, LoadOnly: worker.GetLoadOnly(),
		}
		for _, resident := range worker.GetResidents() {
			digest.Units[resident.GetUnit()] = resident.GetPhase()
		}
		p.tracker.SetDigest(digest)
	}
	now := time.Now()
	for _, quarantine := range reply.GetQuarantines() {
		p.isolator.Restore(quarantine.GetFingerprint(), now.Add(time.Duration(quarantine.GetRemainingMs())*time.Millisecond))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch, p.sequence = reply.GetEpoch(), reply.GetSequence()
}

// pollPeer asks one other node for newer configuration, which reaches a node
// that cannot reach the platform.
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

func (p *poller) fetchFrom(address string) {
	client, err := p.peers.Node(address)
	if err != nil {
		return
	}
	ctx, cancel := peerclient.Until(time.Now().Add(pollTime))
	defer cancel()
	reply, err := client.Changes(ctx, &nodewire.ChangesRequest{After: p.follower.Current().Version()})
	if err != nil {
		return
	}
	p.fetching.Lock()
	defer p.fetching.Unlock()
	if err := takeChanges(p.follower, reply); err != nil {
		log.Warn().Str("peer", address).Err(err).Msg("configuration from a peer not taken")
	}
}
