package leader

import (
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
)

// pullRemotesInterval is how often a leader pulls the changes of the other zones' views.
const pullRemotesInterval = 500 * time.Millisecond

// remoteZone is what this leader knows of another zone; its workers are in zoneView.remote.
type remoteZone struct {
	// leader is the zone's leader by its lease row.
	leader elector.Member
	// epoch and sequence are those of the zone's view as of the last pull.
	epoch, sequence int64
	// pendingUses maps units to their uses by this zone's nodes, which the next pull reports.
	pendingUses map[string]*nodewire.Use
}

// SetZoneLeaders sets the leaders of the zones by zone name; the local zone is ignored.
func (l *Leader) SetZoneLeaders(leaders map[string]elector.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for zone, leader := range leaders {
		if zone == l.zone {
			continue
		}
		remote, known := l.remotes[zone]
		if !known {
			remote = &remoteZone{pendingUses: map[string]*nodewire.Use{}}
			l.remotes[zone] = remote
		}
		remote.leader = leader
	}
}

// pullRemotes pulls from every other zone's leader concurrently, while this node leads.
func (l *Leader) pullRemotes() {
	l.mu.Lock()
	var zones []string
	if l.planner != nil {
		for zone, remote := range l.remotes {
			if remote.leader.Incarnation != "" {
				zones = append(zones, zone)
			}
		}
	}
	l.mu.Unlock()
	var group sync.WaitGroup
	for _, zone := range zones {
		group.Go(func() { l.pullRemote(zone) })
	}
	group.Wait()
}

func (l *Leader) pullRemote(zone string) {
	l.mu.Lock()
	remote := l.remotes[zone]
	address := remote.leader.Address
	request := &nodewire.PullRequest{Since: remote.sequence, Epoch: remote.epoch, Config: l.follower.Current().Version()}
	for _, use := range remote.pendingUses {
		request.Uses = append(request.Uses, use)
	}
	remote.pendingUses = map[string]*nodewire.Use{}
	l.mu.Unlock()
	client, err := l.peers.NodeClient(address)
	if err != nil {
		return
	}
	ctx, cancel := peerclient.WithDeadline(time.Now().Add(peerTimeout))
	defer cancel()
	reply, err := client.Pull(ctx, request)
	if err != nil || !reply.GetLeading() {
		return
	}
	now := time.Now()
	for _, quarantine := range reply.GetQuarantines() {
		l.restore(quarantine.GetFingerprint(), now.Add(time.Duration(quarantine.GetRemainingMs())*time.Millisecond))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.follower.ObserveVersion(reply.GetConfig())
	remote.epoch, remote.sequence = reply.GetEpoch(), reply.GetSequence()
	l.view.updateRemote(reply.GetWorkers())
}

// queueRemoteUse adds a use to the pending uses of the zone that served it;
// uses in unknown zones are dropped. The caller holds mu.
func (l *Leader) queueRemoteUse(use *nodewire.Use) {
	remote, known := l.remotes[use.GetZone()]
	if !known {
		return
	}
	pending, known := remote.pendingUses[use.GetUnit()]
	if !known {
		pending = &nodewire.Use{Unit: use.GetUnit()}
		remote.pendingUses[use.GetUnit()] = pending
	}
	pending.Requests += use.GetRequests()
	pending.Saturated = pending.GetSaturated() || use.GetSaturated()
}
