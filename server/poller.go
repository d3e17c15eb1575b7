package server

import (
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/follower"
	"github.com/acaciaproxy/acaciaproxy/isolator"
	"github.com/acaciaproxy/acaciaproxy/leader"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
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
	// holder is the zone's leader by the last lease or pull.
	holder elector.Member
	// epoch and sequence say up to where the leader's view is known.
	epoch, sequence int64
	// uses counts the requests that named each unit since the last pull.
	uses map[string]*nodewire.Use
	// nodes are the listed nodes.
	nodes []platformclient.Host
	// nextPeer is the node asked next for its configuration version.
	nextPeer int
}

func newPoller(settings *settingsreader.Settings, platform *platformclient.Platform, configuration *follower.Follower, known *tracker.Tracker, zoneLeader *leader.Leader, peers *peerclient.Pool) *poller {
	return &poller{
		settings: settings, platform: platform, follower: configuration, tracker: known, leader: zoneLeader, peers: peers,
		stopped: make(chan struct{}), uses: map[string]*nodewire.Use{},
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

// pollRows reads the head of the configuration and the zone's lease in one call.
func (p *poller) pollRows() {
	sentAt := time.Now()
	rows, err := p.platform.ReadRows(sentAt.Add(pollTime), []string{follower.HeadKey, p.leader.LeaseKey()}, "")
	if err != nil {
		return
	}
	var lease platformclient.Row
	for _, row := range rows {
		switch row.Key {
		case follower.HeadKey:
			p.takeHead(row)
		case p.leader.LeaseKey():
			lease = row
		}
	}
	p.leader.ObserveRow(sentAt, lease)
	seen, _ := p.leader.Leading()
	p.setHolder(seen.Holder)
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

func (p *poller) setHolder(holder elector.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder = holder
}

// LeaderlessError says that a zone has no known leader.
type LeaderlessError struct {
	// zone is the availability zone.
	zone string
}

// Error names the zone.
func (e *LeaderlessError) Error() string { return fmt.Sprintf("zone %q has no known leader", e.zone) }

// leaderClient returns the client of the zone's leader.
func (p *poller) leaderClient() (nodewire.NodeClient, error) {
	p.mu.Lock()
	holder := p.holder
	p.mu.Unlock()
	if holder.Incarnation == "" {
		return nil, &LeaderlessError{zone: p.settings.Zone()}
	}
	return p.peers.Node(holder.Address)
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

// used counts a request that named a unit, for the next pull.
func (p *poller) used(unit string, saturated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	use, known := p.uses[unit]
	if !known {
		use = &nodewire.Use{Unit: unit}
		p.uses[unit] = use
	}
	use.Requests++
	use.Saturated = use.Saturated || saturated
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
	p.uses = map[string]*nodewire.Use{}
	return request
}

// putBack keeps uses that no leader has taken.
func (p *poller) putBack(uses []*nodewire.Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, use := range uses {
		if newer, known := p.uses[use.GetUnit()]; known {
			newer.Requests += use.GetRequests()
			newer.Saturated = newer.GetSaturated() || use.GetSaturated()
			continue
		}
		p.uses[use.GetUnit()] = use
	}
}

func (p *poller) takeView(reply *nodewire.PullReply) {
	for _, worker := range reply.GetWorkers() {
		digest := tracker.Digest{
			ID: worker.GetId(), Leaving: worker.GetLeaving() || worker.GetRemoved(), Running: int(worker.GetRunning()), Queued: int(worker.GetQueued()),
			Incarnation: worker.GetIncarnation(), Units: map[string]string{},
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
