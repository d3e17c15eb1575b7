package leader

import (
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
)

// remoteInterval is how often a leader asks the leaders of the other zones what changed there.
const remoteInterval = 500 * time.Millisecond

// remoteZone is what this leader knows of another zone, to tell its own nodes.
type remoteZone struct {
	// holder is the other zone's leader by its lease row.
	holder elector.Member
	// epoch and sequence say up to where the other leader's view is known.
	epoch, sequence int64
	// uses are requests of this zone's nodes that the other zone served.
	uses map[string]*nodewire.Use
}

// SetHolders takes in the leaders of the other zones.
func (l *Leader) SetHolders(holders map[string]elector.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for zone, holder := range holders {
		if zone == l.zone {
			continue
		}
		remote, known := l.remotes[zone]
		if !known {
			remote = &remoteZone{uses: map[string]*nodewire.Use{}}
			l.remotes[zone] = remote
		}
		remote.holder = holder
	}
}

// pullRemotes asks every other zone's leader what changed, while this node leads.
func (l *Leader) pullRemotes() {
	l.mu.Lock()
	var zones []string
	if l.planner != nil {
		for zone, remote := range l.remotes {
			if remote.holder.Incarnation != "" {
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
	address := remote.holder.Address
	request := &nodewire.PullRequest{Since: remote.sequence, Epoch: remote.epoch, Config: l.follower.Current().Version()}
	for _, use := range remote.uses {
		request.Uses = append(request.Uses, use)
	}
	remote.uses = map[string]*nodewire.Use{}
	l.mu.Unlock()
	client, err := l.peers.Node(address)
	if err != nil {
		return
	}
	ctx, cancel := peerclient.Until(time.Now().Add(peerTime))
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
	l.follower.Hear(reply.GetConfig())
	remote.epoch, remote.sequence = reply.GetEpoch(), reply.GetSequence()
	l.view.updateRemote(reply.GetWorkers())
}

// forwardUse keeps a use for the leader of the zone that served it; the caller holds mu.
func (l *Leader) forwardUse(use *nodewire.Use) {
	remote, known := l.remotes[use.GetZone()]
	if !known {
		return
	}
	kept, known := remote.uses[use.GetUnit()]
	if !known {
		kept = &nodewire.Use{Unit: use.GetUnit()}
		remote.uses[use.GetUnit()] = kept
	}
	kept.Requests += use.GetRequests()
	kept.Saturated = kept.GetSaturated() || use.GetSaturated()
}
