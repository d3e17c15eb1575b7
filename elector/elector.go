// Package elector decides when a node takes, renews, hands over or loses the
// lease that makes it the leader of its zone.
//
// A lease is a row in the store that is replaced by compare-and-set. While the
// store is unavailable, a leader may keep its lease past the term if all its
// successors promise not to take it; this is called a hold-over.
//
// The package holds no clock and does no I/O. The caller passes the current
// time of its own monotonic clock and carries out the returned writes. Clocks
// of different nodes are never compared.
package elector

import (
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Default times of a lease.
const (
	// Term is how long a lease is valid after its last write was sent.
	Term = 3 * time.Second
	// RenewAfter is the time since its last write was sent after which the holder renews the lease.
	RenewAfter = 1 * time.Second
	// MaxHoldOver is the longest time since the last renewal for which promises of successors extend a lease.
	MaxHoldOver = 60 * time.Second
	// driftMargin is subtracted from the holder's term because the clocks of nodes run at different rates.
	driftMargin = 150 * time.Millisecond
	// retryAfter is the shortest time between two write attempts.
	retryAfter = 200 * time.Millisecond
)

// MaxSuccessors is the largest number of nodes that a lease names as successors.
const MaxSuccessors = 3

// Member is one node of the zone.
type Member struct {
	// Node is the host's name in the host list.
	Node string `json:"node"`
	// Incarnation identifies one start of the process; every start has a new one.
	Incarnation string `json:"incarnation"`
	// Address is the IP and port at which other nodes reach the member.
	Address string `json:"address"`
	// Recalls is set if the member, as a holder, keeps to Lease.Named: where the store may come back from an older copy.
	Recalls bool `json:"recalls,omitempty"`
}

// Lease is the value of a zone's lease row.
type Lease struct {
	// Holder is the leader; its incarnation is empty after a resignation.
	Holder Member `json:"holder"`
	// Epoch rises whenever another incarnation takes the lease: by one or, after the store has come back from an older copy, to one that is
	// above all epochs of earlier eras.
	Epoch int64 `json:"epoch"`
	// Renewal counts the write attempts of the holder, so that no two attempts write the same value.
	Renewal int64 `json:"renewal"`
	// Successors are the nodes that may take the expired lease without waiting for the longest hold-over.
	Successors []Member `json:"successors,omitempty"`
	// Era is the era of the row's version that the write was based on (platformclient.Era). A row of an earlier era than the store's has come
	// back from an older copy of the store.
	Era int64 `json:"era,omitempty"`
	// QuietMS is the quiet period left when the row was written, in milliseconds. A holder that takes
	// the lease after a resignation or a restart sends no order to a worker before it has passed.
	QuietMS int64 `json:"quiet,omitempty"`
	// Software holds the software versions of each service's workers that were listed in the last minute before the row was written, and how long before, in
	// milliseconds. It is nil if the holder did not know them all.
	Software map[string]map[string]int64 `json:"software,omitzero"`
	// Named are the members that leases of the last seconds named as holders or successors, without those that this one names. If this lease is lost
	// since the store comes back from an older copy, they may take the one that they find there; a hold-over therefore needs their promises too.
	Named []Name `json:"named,omitempty"`
	// TimeMS is the store's clock in milliseconds when the row was written, or shortly before; 0 if it is not known.
	TimeMS int64 `json:"time,omitempty"`
	// SinceMS is the lowest value of the store's clock in Era that the holder knows of, in milliseconds; 0 if it knows none.
	SinceMS int64 `json:"since,omitempty"`
}

// Row is a lease row as read from the store.
type Row struct {
	Lease Lease
	// StoreTimeMS is the store's clock in milliseconds at a read of this version; 0 if it is not known.
	StoreTimeMS int64
	// Version is the row's version (platformclient.NewVersion); a RowVersion of 0 means that the row does not exist.
	Version int64
}

// Proposal is a lease to write if the row in the store still has the version.
type Proposal struct {
	Lease   Lease
	Version int64
}

// Elector is the lease state of one node. It is not safe for concurrent use.
type Elector struct {
	// self is this incarnation; it never changes.
	self Member
	// termMS, renewAfterMS and maxHoldOverMS are the times of the lease in milliseconds, as Term, RenewAfter and
	// MaxHoldOver describe them; they never change.
	termMS, renewAfterMS, maxHoldOverMS int64
	// row is the last row read or written.
	row Row
	// rowKnown is set once the row, or its absence, was read.
	rowKnown bool
	// rowLost is set while the row is missing although it has existed: the store has come back from an older copy.
	rowLost bool
	// unchangedSince is when the first read that returned the current version of the row, or this
	// node's write of that version, was sent.
	unchangedSince time.Time
	// validUntil is when this node's lease expires, not counting a hold-over; zero when it holds none.
	validUntil time.Time
	// renewAt is when this node, as the holder, renews the lease next.
	renewAt time.Time
	// nextWriteAt is the earliest time of the next write attempt.
	nextWriteAt time.Time
	// promisedUntil is the time until which this node has promised not to take the lease.
	promisedUntil time.Time
	// promisedTo is the incarnation of the leader that has the promise.
	promisedTo string
	// heldOverUntil is the time until which all successors have promised not to take this node's lease.
	heldOverUntil time.Time
	// resigned is set when this node must never take the lease again.
	resigned bool
	// released is the holder and the epoch of the lease that this node may take without waiting until it expires; zero for none. It does not allow to take
	// the lease of another holder that came after it.
	released release
	// inFlight is the proposal whose write has no known result yet, or nil.
	inFlight *Proposal
	// sentAt is when inFlight was sent.
	sentAt time.Time
	// writeAttempts counts the proposals made; it never decreases.
	writeAttempts int64
	// proposedSuccessors are the successors named by proposals against the current
	// version of the row, any of which may have taken effect though its response was lost.
	proposedSuccessors []Member
	// proposedNoSuccessors is set when one of these proposals names no successor;
	// if that one took effect, no node waits for a hold-over to end.
	proposedNoSuccessors bool
	// predecessor is the lease that this node last proposed to replace.
	predecessor Lease
	// settledEra is the last era that began so long ago that no holder of an earlier one can lead.
	settledEra int64
}

// New returns the elector of an incarnation, with the default times.
func New(self Member) *Elector { return NewWithTerm(self, Term, RenewAfter, MaxHoldOver) }

// NewWithTerm returns the elector of an incarnation for a lease with other times.
// All nodes of a zone must use the same times.
func NewWithTerm(self Member, term, renewAfter, maxHoldOver time.Duration) *Elector {
	return &Elector{self: self, termMS: term.Milliseconds(), renewAfterMS: renewAfter.Milliseconds(), maxHoldOverMS: maxHoldOver.Milliseconds()}
}

func (e *Elector) maxHoldOver() time.Duration {
	return time.Duration(e.maxHoldOverMS) * time.Millisecond
}

func (e *Elector) term() time.Duration { return time.Duration(e.termMS) * time.Millisecond }

// Self returns the member whose state the elector holds.
func (e *Elector) Self() Member { return e.self }

// Lease returns the lease of the last row read or written.
func (e *Elector) Lease() Lease { return e.row.Lease }

// Version returns the version of the last row read or written; a RowVersion of 0 means no row.
func (e *Elector) Version() int64 { return e.row.Version }

// Predecessor returns the lease that this node last proposed to replace.
func (e *Elector) Predecessor() Lease { return e.predecessor }

// Successors returns every node that may take the lease before the longest hold-over has passed, also if the store comes back from a copy of the
// last seconds: those that the last known row and proposals whose result is unknown may name. A hold-over
// needs the promise of each. It returns nil, which rules out a hold-over, while
// the row may name no successor, or nodes that this one does not know.
func (e *Elector) Successors() []Member {
	if e.proposedNoSuccessors || len(e.row.Lease.Successors) == 0 {
		return nil
	}
	members := append(append([]Member(nil), e.row.Lease.Successors...), e.proposedSuccessors...)
	for _, name := range e.row.Lease.Named {
		members = append(members, name.Member)
	}
	if lo.ContainsBy(members, unknownMember().onHost) {
		return nil
	}
	return lo.UniqBy(members, func(member Member) Member { return Member{Node: member.Node, Address: member.Address} })
}

// Leading reports whether this node is the leader, and under which epoch; the
// epoch is 0 once the lease has expired.
func (e *Elector) Leading(now time.Time) (int64, bool) {
	if now.Before(e.validUntil) || now.Before(e.heldOverUntil) {
		return e.row.Lease.Epoch, e.isHolder()
	}
	return 0, false
}

// ValidUntil returns when this node's lease expires unless it is renewed, hold-over included.
func (e *Elector) ValidUntil() time.Time {
	if e.heldOverUntil.After(e.validUntil) {
		return e.heldOverUntil
	}
	return e.validUntil
}

// HeldOver reports whether the term has ended and only the successors' promises extend the lease.
func (e *Elector) HeldOver(now time.Time) bool {
	return !now.Before(e.validUntil) && now.Before(e.heldOverUntil)
}

func (e *Elector) isHolder() bool { return e.row.Lease.Holder.Incarnation == e.self.Incarnation }

// isSameWrite reports whether both rows are of the same write of a lease.
func (r Row) isSameWrite(other Row) bool {
	lease, known := r.Lease, other.Lease
	return r.Exists() && lease.Holder.Incarnation != "" && lease.Holder.Incarnation == known.Holder.Incarnation && lease.Epoch == known.Epoch && lease.Renewal == known.Renewal
}

// Observe records a row that was read by a call sent at the time now or later. A version
// older than the last one is ignored, unless it is that of the same write.
func (e *Elector) Observe(now time.Time, row Row) {
	if e.rowKnown && row.Version < e.row.Version {
		if row.isSameWrite(e.row) {
			e.row.Version = row.Version // The response to the write named a version that the store had given out since.
		}
		return
	}
	e.resolveInFlight(row)
	if e.reasserts(now, row) {
		e.row.Version = row.Version
		e.renewAt = now
		return
	}
	if !e.rowKnown || row.Version != e.row.Version {
		e.unchangedSince = now
		e.proposedSuccessors, e.proposedNoSuccessors = nil, false
	}
	if e.rowKnown && e.isHolder() && row.Lease.Holder.Incarnation != e.self.Incarnation {
		e.clearLease()
	}
	if e.rowKnown && row.Version == e.row.Version && e.row.StoreTimeMS != 0 {
		row.StoreTimeMS = e.row.StoreTimeMS // The age of a copy counts at the first read.
	}
	e.rowLost = !row.Exists() && (e.rowLost || e.row.Exists())
	e.rowKnown = true
	e.row = row
}

// resolveInFlight finds out from a read whether a write whose response was lost took effect.
func (e *Elector) resolveInFlight(row Row) {
	if e.inFlight == nil || row.Version == e.inFlight.Version {
		return
	}
	lease := row.Lease
	if !row.IsRestored() && lease.Holder.Incarnation == e.self.Incarnation && lease.Epoch == e.inFlight.Lease.Epoch && lease.Renewal == e.inFlight.Lease.Renewal {
		e.startTerm(e.sentAt)
	}
	e.inFlight = nil
}

// Propose returns the lease to write now, to take or renew it, or nil. The caller
// reports the result to RecordWrite, or nothing when the response is lost.
func (e *Elector) Propose(now time.Time, successors []Member) *Proposal {
	if !e.rowKnown || e.resigned || now.Before(e.nextWriteAt) {
		return nil
	}
	if e.isHolder() && now.Before(e.ValidUntil()) {
		return e.proposeRenewal(now, successors)
	}
	if !e.MayTake(now) {
		return nil
	}
	e.predecessor = e.row.Lease
	if len(successors) == 0 {
		successors = e.heirs()
	}
	return e.startWrite(now, Lease{Holder: e.self, Epoch: e.row.nextEpoch(), Successors: successors, Named: e.named(now, successors, false)})
}

func (e *Elector) proposeRenewal(now time.Time, successors []Member) *Proposal {
	if now.Before(e.renewAt) {
		return nil
	}
	if now.Before(e.heldOverUntil) {
		successors = e.row.Lease.Successors // Only these are known to have promised.
	}
	return e.startWrite(now, Lease{Holder: e.self, Epoch: e.row.Lease.Epoch, Successors: successors, Named: e.named(now, successors, true)})
}

func (e *Elector) startWrite(now time.Time, lease Lease) *Proposal {
	e.writeAttempts++
	e.proposedSuccessors = append(e.proposedSuccessors, lease.Successors...)
	e.proposedNoSuccessors = e.proposedNoSuccessors || len(lease.Successors) == 0
	lease.Renewal, lease.Era = e.writeAttempts, platformclient.Era(e.row.Version)
	e.inFlight = &Proposal{Lease: lease, Version: e.row.Version}
	e.sentAt = now
	e.nextWriteAt = now.Add(retryAfter)
	return e.inFlight
}

// RecordWrite records the result of the proposal's write: whether it took effect, and
// the row's new version.
func (e *Elector) RecordWrite(done bool, version int64) {
	if e.inFlight == nil {
		return
	}
	if done {
		e.row = Row{Lease: e.inFlight.Lease, Version: version}
		e.proposedSuccessors, e.proposedNoSuccessors = nil, false
		e.startTerm(e.sentAt)
	}
	e.inFlight = nil
}

// startTerm starts the term of this node's lease at the time its write was sent.
func (e *Elector) startTerm(sentAt time.Time) {
	e.validUntil = sentAt.Add(e.term() - driftMargin)
	e.renewAt = sentAt.Add(time.Duration(e.renewAfterMS) * time.Millisecond)
	e.unchangedSince = sentAt
	e.released = release{}
}

func (e *Elector) clearLease() {
	e.validUntil = time.Time{}
	e.heldOverUntil = time.Time{}
}

// Promise makes this node, as a successor, promise a leader not to take the lease
// for the time hold after now. It reports whether the promise is given; it is
// refused when hold is longer than the longest hold-over, and while this node is
// the holder, knows another holder or a later epoch, or writes a lease itself.
func (e *Elector) Promise(now time.Time, leader string, epoch int64, hold time.Duration) bool {
	if hold > e.maxHoldOver() || e.isHolder() {
		return false
	}
	if e.resigned {
		return true // A node that resigned never takes the lease again.
	}
	if e.rowKnown && (epoch < e.row.Lease.Epoch || leader != e.row.Lease.Holder.Incarnation) {
		return false
	}
	if e.inFlight != nil {
		return false
	}
	e.promisedTo = leader
	if until := now.Add(hold); until.After(e.promisedUntil) {
		e.promisedUntil = until
	}
	return true
}

// HoldOverUntil records that all of Successors promised not to take the lease
// until a deadline by this node's clock. The hold-over ends at the latest
// MaxHoldOver after the last renewal, since other nodes wait no longer than that.
func (e *Elector) HoldOverUntil(deadline time.Time) {
	if !e.isHolder() || len(e.Successors()) == 0 {
		return
	}
	if last := e.unchangedSince.Add(e.maxHoldOver()); deadline.After(last) {
		deadline = last
	}
	if deadline.After(e.heldOverUntil) {
		e.heldOverUntil = deadline
	}
}

// Resign gives the lease up for good. It returns the row to write, which has no
// holder, and successors only for the case that it comes back from a copy, or nil when this node does not lead.
func (e *Elector) Resign(now time.Time) *Proposal {
	_, leading := e.Leading(now)
	e.resigned = true
	e.clearLease()
	if !leading {
		return nil
	}
	lease := e.row.Lease
	lease.Era = platformclient.Era(e.row.Version)
	lease.Holder = Member{}
	if lease.Named = e.named(now, lease.Successors, true); !e.self.Recalls {
		lease.Successors = nil
	}
	return &Proposal{Lease: lease, Version: e.row.Version}
}

// Invite records that the holder asks this node to take the lease immediately. It
// reports whether this node may do so: it has not resigned, and the last known row
// has that holder and epoch.
func (e *Elector) Invite(holder string, epoch int64) bool {
	if e.resigned || e.row.release() != (release{holder: holder, epoch: epoch}) {
		return false
	}
	e.released = e.row.release()
	return true
}

// ResumeAfterRestart lets this node take the lease immediately if its holder is an
// earlier process on the same host and address, which must have ended because this
// one runs there. It reports whether that is so.
func (e *Elector) ResumeAfterRestart() bool {
	holder := e.row.Lease.Holder
	if !e.rowKnown || e.isHolder() || !holder.onHost(e.self) {
		return false
	}
	e.released = e.row.release()
	return true
}
