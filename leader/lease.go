package leader

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/keeper"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/planner"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// ObserveRow takes in the lease row as read by a call that was sent at a time.
// A row that does not exist is a row with version 0.
func (l *Leader) ObserveRow(sentAt time.Time, row platformclient.Row) {
	var seen elector.Seen
	if row.Version != 0 {
		if err := json.Unmarshal([]byte(row.Value), &seen.Lease); err != nil {
			log.Error().Str("zone", l.zone).Err(err).Msg("lease row cannot be read")
			return
		}
	}
	seen.Version = row.Version
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platformSeenAt = time.Now()
	l.elector.Observe(sentAt, seen)
}

// keepLease takes, renews or gives up the lease as the elector says.
func (l *Leader) keepLease() {
	now := time.Now()
	l.mu.Lock()
	proposal := l.elector.Propose(now, l.successors(now))
	previous := l.elector.Lease()
	epoch, leading := l.elector.Leading(now)
	idle := leading && (l.planner == nil || l.planner.Epoch() != epoch)
	l.mu.Unlock()
	if proposal != nil {
		l.propose(proposal, previous)
	}
	if idle {
		l.readLease() // The lease was taken by a write whose answer was lost.
	}
	l.followLease()
}

// propose writes a lease and takes in the verdict.
func (l *Leader) propose(proposal *elector.Proposal, previous elector.Lease) {
	takes := proposal.Lease.Epoch != previous.Epoch
	verdict, err := l.writeLease(proposal, time.Now().Add(leaseTime), takes)
	if err != nil {
		log.Warn().Str("zone", l.zone).Int64("epoch", proposal.Lease.Epoch).Err(err).Msg("lease write unanswered")
		l.holdOver()
		l.readLease()
		return
	}
	l.mu.Lock()
	l.platformSeenAt = time.Now()
	l.elector.Wrote(verdict.Done, verdict.Versions[l.LeaseKey()])
	l.mu.Unlock()
	if !verdict.Done {
		l.readLease()
		return
	}
	if takes {
		l.lead(proposal.Lease, verdict.Versions[l.epochKey()])
		return
	}
	l.rewriteReplicated()
}

func (l *Leader) writeLease(proposal *elector.Proposal, deadline time.Time, takes bool) (platformclient.Verdict, error) {
	text, err := json.Marshal(proposal.Lease)
	if err != nil {
		return platformclient.Verdict{}, fmt.Errorf("encode lease: %w", err)
	}
	transaction := platformclient.Transaction{
		Checks: []platformclient.Check{{Key: l.LeaseKey(), Version: proposal.Version}},
		Puts:   []platformclient.Row{{Key: l.LeaseKey(), Value: string(text)}},
	}
	if takes {
		transaction.Puts = append(transaction.Puts, platformclient.Row{Key: l.epochKey(), Value: fmt.Sprint(proposal.Lease.Epoch)})
	}
	return l.platform.Write(deadline, transaction)
}

// readLease reads the lease row, for instance to resolve an unanswered write.
func (l *Leader) readLease() {
	sentAt := time.Now()
	rows, err := l.platform.ReadRows(sentAt.Add(platformTime), []string{l.LeaseKey(), l.epochKey()}, "")
	if err != nil {
		return
	}
	byKey := map[string]platformclient.Row{}
	for _, row := range rows {
		byKey[row.Key] = row
	}
	l.ObserveRow(sentAt, byKey[l.LeaseKey()])
	l.mu.Lock()
	lease := l.elector.Lease()
	_, leading := l.elector.Leading(time.Now())
	taken := leading && (l.planner == nil || l.planner.Epoch() != lease.Epoch)
	l.mu.Unlock()
	if taken {
		l.lead(lease, byKey[l.epochKey()].Version)
	}
}

// followLease drops the planner when the lease is lost.
func (l *Leader) followLease() {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, leading := l.elector.Leading(time.Now())
	if l.planner == nil || (leading && l.planner.Epoch() == epoch) {
		return
	}
	log.Warn().Str("zone", l.zone).Int64("epoch", l.planner.Epoch()).Msg("lease lost")
	l.planner = nil
	l.announce()
}

// lead starts to decide under a lease that was just taken.
func (l *Leader) lead(lease elector.Lease, epochVersion int64) {
	log.Info().Str("zone", l.zone).Int64("epoch", lease.Epoch).Msg("lease taken")
	l.mu.Lock()
	predecessor := l.elector.Predecessor()
	l.mu.Unlock()
	l.collectHeld(predecessor)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epochVersion = epochVersion
	configuration := l.follower.Current().Configuration()
	l.planner = planner.New(time.Now(), l.zone, l.Self().Incarnation, lease.Epoch, keeper.NewHazard(1, 1))
	l.planner.SetWorkers(l.specs)
	l.setLimits(configuration)
	l.replicatedOnly = map[string]bool{}
	l.view.reset(lease.Epoch)
	l.kick()
}

// successors returns at most elector.MaxSuccessors nodes that pulled lately.
// Nodes that are successors already come first; the caller holds mu.
func (l *Leader) successors(now time.Time) []elector.Member {
	present := map[string]bool{}
	for _, successor := range l.elector.Lease().Successors {
		present[successor.Incarnation] = true
	}
	var fresh []elector.Member
	for _, candidate := range l.members {
		if candidate.Incarnation != l.Self().Incarnation && now.Sub(candidate.seenAt) < freshMember {
			fresh = append(fresh, candidate.Member)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if present[fresh[i].Incarnation] != present[fresh[j].Incarnation] {
			return present[fresh[i].Incarnation]
		}
		return fresh[i].Incarnation < fresh[j].Incarnation
	})
	return fresh[:min(len(fresh), elector.MaxSuccessors)]
}

// Invite answers another node that hands the lease over.
func (l *Leader) Invite(request *nodewire.InviteRequest) *nodewire.InviteReply {
	l.readLease()
	l.mu.Lock()
	accepted := l.elector.Lease().Holder.Incarnation == "" && l.elector.Lease().Epoch == request.GetEpoch()
	l.mu.Unlock()
	if accepted {
		go l.keepLease()
	}
	return &nodewire.InviteReply{Accepted: accepted}
}

// Resign answers whether no order that this incarnation issued below an epoch
// can take effect any more.
func (l *Leader) Resign(request *nodewire.ResignRequest) *nodewire.ResignReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reply := &nodewire.ResignReply{Incarnation: l.Self().Incarnation, Resigned: true}
	if epoch, leading := l.elector.Leading(now); leading && epoch < request.GetEpoch() {
		reply.Resigned = false
	}
	for epoch, issued := range l.issued {
		if epoch < request.GetEpoch() && (issued.inFlight > 0 || now.Sub(issued.lastUnknownAt) <= planner.OrderTimeout) {
			reply.Resigned = false
		}
	}
	return reply
}

// settleIssuers finds out which earlier leaders can send no more orders.
func (l *Leader) settleIssuers() {
	l.mu.Lock()
	if l.planner == nil {
		l.mu.Unlock()
		return
	}
	issuers := l.planner.UnsettledIssuers()
	epoch := l.planner.Epoch()
	l.mu.Unlock()
	for _, issuer := range issuers {
		l.settleIssuer(issuer, epoch)
	}
}

func (l *Leader) settleIssuer(issuer string, epoch int64) {
	l.mu.Lock()
	host, listed := l.nodeHosts[nodeOf(issuer)]
	known := l.hostsKnown
	l.mu.Unlock()
	if !known {
		return
	}
	if !listed {
		l.issuerAbsent(issuer)
		return
	}
	client, err := l.peers.Node(host.Address)
	if err != nil {
		return
	}
	ctx, cancel := peerclient.Until(time.Now().Add(peerTime))
	defer cancel()
	reply, err := client.Resign(ctx, &nodewire.ResignRequest{Incarnation: issuer, Epoch: epoch})
	if err != nil {
		return
	}
	if reply.GetIncarnation() != issuer {
		l.issuerAbsent(issuer) // The process was replaced, so the old one is dead.
		return
	}
	if reply.GetResigned() {
		l.issuerGone(issuer)
	}
}

// issuerAbsent marks an issuer as gone once the longest order time has passed since it was found absent.
func (l *Leader) issuerAbsent(issuer string) {
	l.mu.Lock()
	since, found := l.absentSince[issuer]
	if !found {
		since = time.Now()
		l.absentSince[issuer] = since
	}
	l.mu.Unlock()
	if time.Since(since) > planner.OrderTimeout {
		l.issuerGone(issuer)
	}
}

func (l *Leader) issuerGone(issuer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner != nil {
		log.Info().Str("zone", l.zone).Str("issuer", issuer).Msg("earlier leader can send no more orders")
		l.planner.MarkGone(issuer)
	}
}
