package leaseholder

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// successors returns the nodes that the next lease names. Dependencies.Successors calls
// methods of this leaseholder, so the caller must not hold mu.
func (l *Leaseholder) successors() []elector.Member {
	followers := l.dependencies.Successors()
	return followers[:min(len(followers), elector.MaxSuccessors)]
}

// mayPropose reports whether this node may write a lease. It may always write the
// lease that it holds, and while the store is available the lease that an earlier
// process on its host and address holds. It does not take another node's lease while
// the store is unavailable, after an outage before the holder had time to renew it,
// or while it hears from the holder. The caller holds mu.
func (l *Leaseholder) mayPropose(now time.Time, leading bool) bool {
	if leading {
		return true
	}
	holder := l.elector.Lease().Holder
	if holder.Node == l.dependencies.Self.Node && holder.Address == l.dependencies.Self.Address {
		return !l.storeFailing
	}
	unheld := holder.Incarnation == ""
	recentlyRead := now.Sub(l.successfulReadSentAt) < maxReadAge
	return recentlyRead && !l.storeFailing && now.Sub(l.storeRecoveredAt) >= storeRecoveryGrace && (unheld || !l.dependencies.Heard(l.dependencies.Zone))
}

// defersToStronger reports whether this node still leaves a lease that it may take to
// nodes with more cores; the caller holds mu.
func (l *Leaseholder) defersToStronger(now time.Time) bool {
	if !l.elector.MayTake(now) {
		l.vacantSince = time.Time{}
		return false
	}
	if l.vacantSince.IsZero() {
		l.vacantSince = now
	}
	weakness := 1 - min(l.dependencies.Cores/fullCores, 1)
	return now.Sub(l.vacantSince) < time.Duration(weakness*float64(maxDeferral))
}

// recordStoreResult records whether a call to the store succeeded; the caller holds mu.
func (l *Leaseholder) recordStoreResult(err error) {
	if err == nil && l.storeFailing {
		l.storeRecoveredAt = l.dependencies.Now()
		log.Info().Str("dependency", "store").Str("read", "leases").Msg("dependency regained")
	}
	if err != nil && !l.storeFailing {
		log.Warn().Str("dependency", "store").Str("read", "leases").Err(err).Msg("dependency lost")
	}
	l.storeFailing = err != nil
}

// readDue reports whether the lease rows should be read now.
func (l *Leaseholder) readDue() bool {
	l.mu.Lock()
	now := l.dependencies.Now()
	age := now.Sub(l.readAt)
	_, leading := l.elector.Leading(now)
	neverRead := l.readAt.IsZero()
	failing := l.storeFailing
	zones := make([]string, 0, len(l.holders))
	for zone := range l.holders {
		zones = append(zones, zone)
	}
	_, localLeaseKnown := l.holders[l.dependencies.Zone]
	starting := now.Sub(l.firstReadAt) < leaseAbsentTime
	l.mu.Unlock()
	forwarded := !leading && l.dependencies.Heard(l.dependencies.Zone)
	if neverRead || age >= forwardedPoll || !forwarded && age >= leadersHeardPoll {
		return true
	}
	if age < leaderMissingPoll || failing && age < failedReadPoll {
		return false
	}
	if !leading && !localLeaseKnown {
		return true
	}
	if starting && len(lo.Without(l.dependencies.Zones(), zones...)) > 0 {
		return true
	}
	if forwarded {
		return false
	}
	for _, zone := range zones {
		if !(zone == l.dependencies.Zone && leading) && !l.dependencies.Heard(zone) {
			return true
		}
	}
	return false
}

// readRows reads the lease rows of all zones.
func (l *Leaseholder) readRows() {
	sentAt := l.dependencies.Now()
	rows, err := l.dependencies.Rows.ReadRows(time.Now().Add(callTimeout), nil, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = l.dependencies.Now()
	l.recordStoreResult(err)
	if err != nil {
		return
	}
	l.successfulReadSentAt = sentAt
	if l.firstReadAt.IsZero() {
		l.firstReadAt = l.readAt
	}
	local := elector.Row{Version: l.missingVersion()}
	storeTimeMS := l.storeTimeMS()
	if len(rows) == 0 && platformclient.Era(local.Version) == 0 {
		l.dependencies.OnSoftware(map[string]map[string]int64{})
	}
	for _, row := range rows {
		var lease elector.Lease
		if err := json.Unmarshal([]byte(row.Value), &lease); err != nil {
			log.Error().Str("row", row.Key).Err(err).Msg("lease row cannot be decoded; it is skipped")
			continue
		}
		if row.Key == l.dependencies.Zone {
			local = elector.Row{Lease: lease, Version: row.Version}
		}
		l.observeEra(platformclient.Era(row.Version), storeTimeMS, lease)
		l.recordLease(row.Key, row.Value, row.Version, lease)
	}
	l.observeEra(platformclient.Era(local.Version), storeTimeMS, elector.Lease{})
	observedAt := sentAt
	if platformclient.Era(local.Version) > platformclient.Era(l.elector.Version()) {
		observedAt = l.dependencies.Now() // The store may have come back after the read was sent.
	}
	l.logRestored(local)
	local.StoreTimeMS = storeTimeMS
	l.elector.Observe(observedAt, local)
	if l.eraSinceMS != 0 && storeTimeMS-l.eraSinceMS >= (term+maxHoldOver).Milliseconds() {
		l.elector.Settle(l.era)
	}
}

// storeTimeMS returns the store's clock in milliseconds as of its last response, or 0 if it has none.
func (l *Leaseholder) storeTimeMS() int64 {
	if l.dependencies.Rows.Clock == nil {
		return 0
	}
	return l.dependencies.Rows.Clock()
}

// observeEra records since when an era of the store lasts, as this node and the writer of a lease know it; the caller holds mu.
func (l *Leaseholder) observeEra(era, storeTimeMS int64, lease elector.Lease) {
	if era > l.era {
		l.era, l.eraSinceMS = era, storeTimeMS
	}
	if lease.Era == l.era && lease.SinceMS != 0 && lease.SinceMS < l.eraSinceMS {
		l.eraSinceMS = lease.SinceMS
		l.dependencies.OnEra(l.era, time.Duration(storeTimeMS-lease.SinceMS)*time.Millisecond)
	}
}

// describe adds what other nodes learn from a lease beside its holder; the caller holds mu.
func (l *Leaseholder) describe(proposal *elector.Proposal) {
	proposal.Lease.Software = l.dependencies.Software()
	proposal.Lease.TimeMS = l.storeTimeMS()
	if proposal.Lease.Era == l.era {
		proposal.Lease.SinceMS = l.eraSinceMS
	}
}

// missingVersion returns the version of a row that does not exist.
func (l *Leaseholder) missingVersion() int64 {
	if l.dependencies.Rows.Era == nil {
		return 0
	}
	version, _ := platformclient.NewVersion(l.dependencies.Rows.Era(), 0)
	return version
}

// logRestored logs a row of the local zone that has come back from an older copy of the store, once a version; the caller holds mu.
func (l *Leaseholder) logRestored(row elector.Row) {
	if row.Version <= l.elector.Version() || !row.IsRestored() {
		return
	}
	_, leading := l.elector.Leading(l.dependencies.Now())
	log.Warn().Str("zone", l.dependencies.Zone).Int64("era", platformclient.Era(row.Version)).Int64("row_version", platformclient.RowVersion(row.Version)).
		Int64("known_era", platformclient.Era(l.elector.Version())).Int64("known_row_version", platformclient.RowVersion(l.elector.Version())).
		Str("holder", row.Lease.Holder.Node).Int64("epoch", row.Lease.Epoch).Int64("known_epoch", l.elector.Lease().Epoch).Bool("leading", leading).
		Msg("lease has come back from an older copy of the store")
}

// recordLease records a zone's lease unless its epoch is older than the known one; the
// caller holds mu.
func (l *Leaseholder) recordLease(zone, text string, version int64, lease elector.Lease) {
	if lease.Epoch < l.epochs[zone] {
		return
	}
	if version > l.leases[zone].GetVersion() {
		if lease.Software != nil && lease.Era == platformclient.Era(version) {
			l.dependencies.OnSoftware(lease.Software)
		}
		l.leases[zone] = &nodewire.LeaseView{Zone: zone, Lease: text, Version: version}
	}
	if l.holders[zone] != lease.Holder {
		log.Info().Str("zone", zone).Str("holder", lease.Holder.Node).Int64("epoch", lease.Epoch).Msg("leader known")
	}
	l.holders[zone], l.epochs[zone] = lease.Holder, lease.Epoch
}

// writeProposal writes a lease and passes the result to the elector.
func (l *Leaseholder) writeProposal(proposal *elector.Proposal) {
	l.mu.Lock()
	l.writeSentAt = l.dependencies.Now()
	l.mu.Unlock()
	text, result, err := l.writeRow(proposal)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writeSentAt = time.Time{}
	l.recordStoreResult(err)
	if err != nil {
		l.readAt = l.dependencies.Now().Add(-leadersHeardPoll) // The next read shows whether the write took effect.
		log.Warn().Str("zone", l.dependencies.Zone).Int64("epoch", proposal.Lease.Epoch).Err(err).Msg("lease write failed; the next read shows whether it took effect")
		return
	}
	if !result.Done {
		log.Info().Str("zone", l.dependencies.Zone).Int64("epoch", proposal.Lease.Epoch).Int64("row_version", platformclient.RowVersion(proposal.Version)).
			Msg("lease not written: its row has another version")
		l.elector.RecordWrite(false, 0)
		l.readAt = time.Time{}
		return
	}
	if known := l.elector.Lease(); known.Era < proposal.Lease.Era && known.Holder == proposal.Lease.Holder {
		log.Info().Str("zone", l.dependencies.Zone).Int64("epoch", proposal.Lease.Epoch).Int64("era", proposal.Lease.Era).
			Int64("row_version", platformclient.RowVersion(result.Versions[l.dependencies.Zone])).Msg("lease written again")
	}
	l.elector.RecordWrite(true, result.Versions[l.dependencies.Zone])
	l.recordLease(l.dependencies.Zone, text, result.Versions[l.dependencies.Zone], proposal.Lease)
}

// quietEnd returns the end of the quiet period of a lease that is taken now. To the
// workers, an earlier process on this host and address is the same holder, so that
// only the rest of its quiet period applies. The caller holds mu.
func (l *Leaseholder) quietEnd(now time.Time, previous elector.Lease) time.Time {
	holder := previous.Holder
	sameHost := holder.Node == l.dependencies.Self.Node && holder.Address == l.dependencies.Self.Address
	if !l.elector.PredecessorUnknown() && (previous.Epoch == 0 || sameHost || holder.Incarnation == "") {
		return now.Add(time.Duration(previous.QuietMS) * time.Millisecond)
	}
	return now.Add(time.Duration(l.dependencies.QuietMS) * time.Millisecond)
}

// writeRow writes a lease to the local zone's row and returns the row's text and the
// store's result.
func (l *Leaseholder) writeRow(proposal *elector.Proposal) (string, platformclient.WriteResult, error) {
	text, err := json.Marshal(proposal.Lease)
	if err != nil {
		return "", platformclient.WriteResult{}, fmt.Errorf("encode the lease of zone %q as JSON: %w", l.dependencies.Zone, err)
	}
	result, err := l.dependencies.Rows.Write(time.Now().Add(callTimeout), platformclient.Transaction{
		Checks: []platformclient.Check{{Key: l.dependencies.Zone, Version: proposal.Version}},
		Puts:   []platformclient.Row{{Key: l.dependencies.Zone, Value: string(text)}},
	})
	return string(text), result, err
}
