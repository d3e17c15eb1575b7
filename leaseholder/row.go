package leaseholder

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// successors returns the nodes that a lease names. The leader whom it asks asks
// back, so the caller must not hold mu.
func (l *Leaseholder) successors() []elector.Member {
	all := l.parts.Successors()
	return all[:min(len(all), elector.MaxSuccessors)]
}

// mayPropose reports whether a write makes sense: nobody takes a lease while
// the store is away, or before its holder had the time to renew it after that;
// the caller holds mu.
func (l *Leaseholder) mayPropose(now time.Time, leading bool) bool {
	if leading {
		return true
	}
	holder := l.elector.Lease().Holder
	if holder.Node == l.parts.Self.Node && holder.Address == l.parts.Self.Address {
		return !l.failing
	}
	free := holder.Incarnation == ""
	fresh := now.Sub(l.goodReadAt) < freshRead
	return fresh && !l.failing && now.Sub(l.returnedAt) >= returnGrace && (free || !l.parts.Heard(l.parts.Zone))
}

// defers reports whether a vacant lease is left to stronger nodes for now; the caller holds mu.
func (l *Leaseholder) defers(now time.Time) bool {
	if !l.elector.MayTake(now) {
		l.vacantAt = time.Time{}
		return false
	}
	if l.vacantAt.IsZero() {
		l.vacantAt = now
	}
	weakness := 1 - min(l.parts.Strength/fullStrength, 1)
	return now.Sub(l.vacantAt) < time.Duration(weakness*float64(weakWait))
}

// answered takes in whether the store answered; the caller holds mu.
func (l *Leaseholder) answered(err error) {
	if err == nil && l.failing {
		l.returnedAt = l.parts.Now()
	}
	l.failing = err != nil
}

// due reports whether the rows should be read.
func (l *Leaseholder) due() bool {
	l.mu.Lock()
	now := l.parts.Now()
	age := now.Sub(l.readAt)
	_, leading := l.elector.Leading(now)
	first := l.readAt.IsZero()
	failing := l.failing
	zones := make([]string, 0, len(l.holders))
	for zone := range l.holders {
		zones = append(zones, zone)
	}
	_, ownKnown := l.holders[l.parts.Zone]
	l.mu.Unlock()
	told := !leading && l.parts.Heard(l.parts.Zone)
	if first || age >= toldPoll || !told && age >= calmPoll {
		return true
	}
	if age < seekPoll || failing && age < failedPoll {
		return false
	}
	if !leading && !ownKnown {
		return true
	}
	if told {
		return false
	}
	for _, zone := range zones {
		if !(zone == l.parts.Zone && leading) && !l.parts.Heard(zone) {
			return true
		}
	}
	return false
}

// read reads the lease rows of all zones.
func (l *Leaseholder) read() {
	sentAt := l.parts.Now()
	rows, err := l.parts.Rows.ReadRows(time.Now().Add(callTime), nil, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readAt = l.parts.Now()
	l.answered(err)
	if err != nil {
		return // The watcher logs that the store is away.
	}
	l.goodReadAt = sentAt
	own := elector.Seen{}
	for _, row := range rows {
		var lease elector.Lease
		if err := json.Unmarshal([]byte(row.Value), &lease); err != nil {
			log.Error().Str("row", row.Key).Err(err).Msg("lease row cannot be read")
			continue
		}
		if row.Key == l.parts.Zone {
			own = elector.Seen{Lease: lease, Version: row.Version}
		}
		l.observe(row.Key, row.Value, row.Version, lease)
	}
	l.elector.Observe(sentAt, own)
}

// observe takes in a zone's lease; the caller holds mu.
func (l *Leaseholder) observe(zone, text string, version int64, lease elector.Lease) {
	if lease.Epoch < l.epochs[zone] {
		return
	}
	if version > l.rows[zone].GetVersion() {
		l.rows[zone] = &nodewire.LeaseView{Zone: zone, Lease: text, Version: version}
	}
	if l.holders[zone] != lease.Holder {
		log.Info().Str("zone", zone).Str("holder", lease.Holder.Node).Int64("epoch", lease.Epoch).Msg("leader known")
	}
	l.holders[zone], l.epochs[zone] = lease.Holder, lease.Epoch
}

// propose writes a lease and takes in the outcome.
func (l *Leaseholder) propose(proposal *elector.Proposal) {
	l.mu.Lock()
	l.writingAt = l.parts.Now()
	l.mu.Unlock()
	text, verdict, err := l.write(proposal)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writingAt = time.Time{}
	l.answered(err)
	if err != nil {
		l.readAt = l.parts.Now().Add(-calmPoll) // A read soon finds out whether the write took effect.
		log.Warn().Str("zone", l.parts.Zone).Int64("epoch", proposal.Lease.Epoch).Err(err).Msg("lease not written")
		return
	}
	if !verdict.Done {
		l.elector.Wrote(false, 0)
		l.readAt = time.Time{}
		return
	}
	l.elector.Wrote(true, verdict.Versions[l.parts.Zone])
	l.observe(l.parts.Zone, text, verdict.Versions[l.parts.Zone], proposal.Lease)
}

// quietAfter returns when the first order may leave after a lease that is taken
// now. An earlier process of this host is the same holder to the workers.
func (l *Leaseholder) quietAfter(now time.Time, previous elector.Lease) time.Time {
	holder := previous.Holder
	sameHost := holder.Node == l.parts.Self.Node && holder.Address == l.parts.Self.Address
	if previous.Epoch == 0 || sameHost || holder.Incarnation == "" {
		return now.Add(time.Duration(previous.Quiet) * time.Millisecond)
	}
	return now.Add(time.Duration(l.parts.QuietMS) * time.Millisecond)
}

// write writes a lease and returns the row's text with the outcome.
func (l *Leaseholder) write(proposal *elector.Proposal) (string, platformclient.Verdict, error) {
	text, err := json.Marshal(proposal.Lease)
	if err != nil {
		return "", platformclient.Verdict{}, fmt.Errorf("encode lease of zone %q: %w", l.parts.Zone, err)
	}
	verdict, err := l.parts.Rows.Write(time.Now().Add(callTime), platformclient.Transaction{
		Checks: []platformclient.Check{{Key: l.parts.Zone, Version: proposal.Version}},
		Puts:   []platformclient.Row{{Key: l.parts.Zone, Value: string(text)}},
	})
	return string(text), verdict, err
}
