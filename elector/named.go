package elector

import (
	"time"

	"github.com/samber/lo"
)

const (
	// maxCopyAge is the age up to which a lease that has come back from a copy of the store allows the nodes that it names to take it after one term.
	maxCopyAge = 20 * time.Second
	// namedTime is how long the nodes that a lease names are named by its successors in Named. It exceeds maxCopyAge, since a write may be in transit for
	// some seconds.
	namedTime = 25 * time.Second
)

// Name is a member that an earlier lease named as its holder or a successor.
type Name struct {
	Member Member `json:"member"`
	// ForMS is how much longer leases name it after the row was written, in milliseconds.
	ForMS int64 `json:"ms"`
}

// unknownMember stands for the nodes that a lease named which this node has not seen. Nobody can have their promises.
func unknownMember() Member { return Member{Node: "unknown"} }

// onHost reports whether two members are processes on the same host and address.
func (m Member) onHost(other Member) bool { return m.Node == other.Node && m.Address == other.Address }

// named returns the members that a lease which replaces the last known row must name beside its successors, none if this node does not keep to
// Lease.Named. Renewal is set if this node holds that row.
func (e *Elector) named(now time.Time, successors []Member, renewal bool) []Name {
	if !e.self.Recalls {
		return nil
	}
	previous := e.row.Lease
	passedMS := int64(0) // The age of another holder's row is not known.
	if renewal {
		passedMS = now.Sub(e.unchangedSince).Milliseconds()
	}
	var names []Name
	for _, name := range previous.Named {
		names = append(names, Name{Member: name.Member, ForMS: name.ForMS - passedMS})
	}
	recent := append([]Member(nil), previous.Successors...)
	if renewal {
		recent = append(recent, e.proposedSuccessors...)
	} else {
		if previous.Holder.Incarnation != "" {
			recent = append(recent, previous.Holder)
		}
		if e.PredecessorUnknown() {
			recent = append(recent, unknownMember())
		}
	}
	for _, member := range recent {
		names = append(names, Name{Member: member, ForMS: namedTime.Milliseconds()})
	}
	var kept []Name
	for _, name := range names {
		if name.ForMS <= 0 || name.Member.onHost(e.self) || lo.ContainsBy(successors, name.Member.onHost) {
			continue
		}
		if _, i, found := lo.FindIndexOf(kept, func(other Name) bool { return other.Member.onHost(name.Member) }); found {
			kept[i].ForMS = max(kept[i].ForMS, name.ForMS)
			continue
		}
		kept = append(kept, name)
	}
	return kept
}

// heirs returns the successors of a lease that this node takes before any node follows it: those of the lease before, and its holder, none if this node
// does not keep to Lease.Named.
func (e *Elector) heirs() []Member {
	if !e.self.Recalls {
		return nil
	}
	candidates := append([]Member(nil), e.row.Lease.Successors...)
	if e.row.Lease.Holder.Incarnation != "" {
		candidates = append(candidates, e.row.Lease.Holder)
	}
	heirs := lo.Reject(candidates, func(member Member, _ int) bool { return member.onHost(e.self) })
	return heirs[:min(len(heirs), MaxSuccessors)]
}

// isNamedByCopy reports whether no holder that came after the last known row may hold the lease over without the promise of this node: the row
// has come back from a copy of the store of at most maxCopyAge and names this node, and all that it names keep to Named.
func (e *Elector) isNamedByCopy() bool {
	lease := e.row.Lease
	ageMS := e.row.StoreTimeMS - lease.TimeMS
	if !e.row.Exists() || lease.TimeMS == 0 || ageMS < 0 || ageMS > maxCopyAge.Milliseconds() {
		return false
	}
	members := append([]Member(nil), lease.Successors...)
	if lease.Holder.Incarnation != "" {
		members = append(members, lease.Holder)
	}
	return lo.EveryBy(members, func(member Member) bool { return member.Recalls }) && lo.ContainsBy(members, e.self.onHost)
}
