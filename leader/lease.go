package leader

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/evictor"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/planner"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// ObserveRow passes the lease row to the elector, as read by a call sent at
// sentAt. Version 0 means that the row does not exist.
func (l *Leader) ObserveRow(sentAt time.Time, row platformclient.Row) {
	var leaseRow elector.Row
	if row.Version != 0 {
		if err := json.Unmarshal([]byte(row.Value), &leaseRow.Lease); err != nil {
			log.Error().Str("zone", l.zone).Err(err).Msg("lease row cannot be decoded")
			return
		}
	}
	leaseRow.Version = row.Version
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platformSeenAt = time.Now()
	l.elector.Observe(sentAt, leaseRow)
}

// maintainLease takes or renews the lease when the elector proposes it, and
// stops deciding when the lease is lost.
func (l *Leader) maintainLease() {
	now := time.Now()
	l.mu.Lock()
	proposal := l.elector.Propose(now, l.successors(now))
	previous := l.elector.Lease()
	epoch, leading := l.elector.Leading(now)
	plannerMissing := leading && (l.planner == nil || l.planner.Epoch() != epoch)
	l.mu.Unlock()
	if proposal != nil {
		l.writeProposal(proposal, previous)
	}
	if plannerMissing {
		l.readLease() // The write that took the lease succeeded but its response was lost.
	}
	l.dropStalePlanner()
}

// writeProposal writes a proposed lease and acts on the result. A write without
// a response may have succeeded, so the row is read again.
func (l *Leader) writeProposal(proposal *elector.Proposal, previous elector.Lease) {
	takesOver := proposal.Lease.Epoch != previous.Epoch
	result, err := l.writeLease(proposal, time.Now().Add(leaseTimeout), takesOver)
	if err != nil {
		log.Warn().Str("zone", l.zone).Int64("epoch", proposal.Lease.Epoch).Err(err).Msg("lease write unanswered")
		l.requestHoldOver()
		l.readLease()
		return
	}
	l.mu.Lock()
	l.platformSeenAt = time.Now()
	l.elector.RecordWrite(result.Done, result.Versions[l.LeaseKey()])
	l.mu.Unlock()
	if !result.Done {
		l.readLease()
		return
	}
	if takesOver {
		l.startLeading(proposal.Lease, result.Versions[l.epochKey()])
		return
	}
	l.rewriteReplicated()
}

// writeLease writes the lease row if it still has the proposal's version. A
// takeover writes the epoch row too, whose new version makes the previous
// leader's writes of decision rows fail.
func (l *Leader) writeLease(proposal *elector.Proposal, deadline time.Time, takesOver bool) (platformclient.WriteResult, error) {
	encoded, err := json.Marshal(proposal.Lease)
	if err != nil {
		return platformclient.WriteResult{}, fmt.Errorf("encode lease row as JSON: %w", err)
	}
	transaction := platformclient.Transaction{
		Checks: []platformclient.Check{{Key: l.LeaseKey(), Version: proposal.Version}},
		Puts:   []platformclient.Row{{Key: l.LeaseKey(), Value: string(encoded)}},
	}
	if takesOver {
		transaction.Puts = append(transaction.Puts, platformclient.Row{Key: l.epochKey(), Value: fmt.Sprint(proposal.Lease.Epoch)})
	}
	return l.platform.Write(deadline, transaction)
}

// readLease reads the lease row, for instance after a write without a response,
// and starts to lead if the row shows that this node holds the lease.
func (l *Leader) readLease() {
	sentAt := time.Now()
	rows, err := l.platform.ReadRows(sentAt.Add(platformTimeout), []string{l.LeaseKey(), l.epochKey()}, "")
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
	plannerMissing := leading && (l.planner == nil || l.planner.Epoch() != lease.Epoch)
	l.mu.Unlock()
	if plannerMissing {
		l.startLeading(lease, byKey[l.epochKey()].Version)
	}
}

// dropStalePlanner drops the planner unless this node holds the lease under the planner's epoch.
func (l *Leader) dropStalePlanner() {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, leading := l.elector.Leading(time.Now())
	if l.planner == nil || (leading && l.planner.Epoch() == epoch) {
		return
	}
	log.Warn().Str("zone", l.zone).Int64("epoch", l.planner.Epoch()).Msg("lease lost")
	l.planner = nil
	l.notifyChange()
}

// startLeading creates the planner for a lease that was just taken. First it
// fetches the rows that the predecessor replicated only to its successors.
func (l *Leader) startLeading(lease elector.Lease, epochVersion int64) {
	log.Info().Str("zone", l.zone).Int64("epoch", lease.Epoch).Msg("lease taken")
	l.mu.Lock()
	predecessor := l.elector.Predecessor()
	l.mu.Unlock()
	l.collectReplicated(predecessor)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epochVersion = epochVersion
	configuration := l.follower.Current().Configuration()
	l.planner = planner.New(time.Now(), l.zone, l.Self().Incarnation, lease.Epoch, evictor.NewHazard(1, 1))
	l.planner.SetWorkers(l.workerSpecs)
	l.setLimits(configuration)
	l.replicatedOnly = map[string]bool{}
	l.view.reset(lease.Epoch)
	l.triggerPlan()
}

// successors returns at most elector.MaxSuccessors nodes that pulled within
// memberMaxAge, those that the lease names already first; the caller holds mu.
func (l *Leader) successors(now time.Time) []elector.Member {
	isSuccessor := map[string]bool{}
	for _, successor := range l.elector.Lease().Successors {
		isSuccessor[successor.Incarnation] = true
	}
	var fresh []elector.Member
	for _, candidate := range l.members {
		if candidate.Incarnation != l.Self().Incarnation && now.Sub(candidate.seenAt) < memberMaxAge {
			fresh = append(fresh, candidate.Member)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if isSuccessor[fresh[i].Incarnation] != isSuccessor[fresh[j].Incarnation] {
			return isSuccessor[fresh[i].Incarnation]
		}
		return fresh[i].Incarnation < fresh[j].Incarnation
	})
	return fresh[:min(len(fresh), elector.MaxSuccessors)]
}

// Invite handles the call of a leader that hands the lease over. This node accepts
// if the lease row has no holder and the epoch of the request, and then tries to
// take the lease immediately.
func (l *Leader) Invite(request *nodewire.InviteRequest) *nodewire.InviteReply {
	l.readLease()
	l.mu.Lock()
	accepted := l.elector.Lease().Holder.Incarnation == "" && l.elector.Lease().Epoch == request.GetEpoch()
	l.mu.Unlock()
	if accepted {
		go l.maintainLease()
	}
	return &nodewire.InviteReply{Accepted: accepted}
}

// Resign handles the call of a new leader that asks whether orders that this
// incarnation issued under earlier epochs can still take effect. Resigned is true
// if none can.
func (l *Leader) Resign(request *nodewire.ResignRequest) *nodewire.ResignReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reply := &nodewire.ResignReply{Incarnation: l.Self().Incarnation, Resigned: true}
	if epoch, leading := l.elector.Leading(now); leading && epoch < request.GetEpoch() {
		reply.Resigned = false
	}
	for epoch, issued := range l.ordersByEpoch {
		if epoch < request.GetEpoch() && (issued.inProgress > 0 || now.Sub(issued.lastUnknownAt) <= planner.OrderTimeout) {
			reply.Resigned = false
		}
	}
	return reply
}

// settleIssuers checks for each earlier leader with unsettled charges whether
// its orders can still take effect.
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
		l.settleAbsentIssuer(issuer)
		return
	}
	client, err := l.peers.NodeClient(host.Address)
	if err != nil {
		return
	}
	ctx, cancel := peerclient.WithDeadline(time.Now().Add(peerTimeout))
	defer cancel()
	reply, err := client.Resign(ctx, &nodewire.ResignRequest{Incarnation: issuer, Epoch: epoch})
	if err != nil {
		return
	}
	if reply.GetIncarnation() != issuer {
		l.settleAbsentIssuer(issuer) // Another process runs there, so the issuer has ended.
		return
	}
	if reply.GetResigned() {
		l.markIssuerSettled(issuer)
	}
}

// settleAbsentIssuer marks an issuer as settled once planner.OrderTimeout has
// passed since its process was first found absent, because an order that it
// sent just before may take effect until then.
func (l *Leader) settleAbsentIssuer(issuer string) {
	l.mu.Lock()
	since, found := l.absentSince[issuer]
	if !found {
		since = time.Now()
		l.absentSince[issuer] = since
	}
	l.mu.Unlock()
	if time.Since(since) > planner.OrderTimeout {
		l.markIssuerSettled(issuer)
	}
}

func (l *Leader) markIssuerSettled(issuer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner != nil {
		log.Info().Str("zone", l.zone).Str("issuer", issuer).Msg("earlier leader can send no more orders")
		l.planner.MarkIssuerSettled(issuer)
	}
}
