// Package elector decides when a node takes, renews, hands over or loses the
// lease that makes it the leader of its zone.
//
// The package holds no clock and does no I/O. The caller passes the current
// time of its own monotonic clock and carries out the returned actions. Clocks
// of different nodes are never compared.
package elector

import (
	"time"

	"github.com/samber/lo"
)

// Times of the lease.
const (
	// Term is how long a lease holds after its renewal was sent.
	Term = 3 * time.Second
	// RenewAfter is the age at which the holder renews the lease.
	RenewAfter = 1 * time.Second
	// HoldOver is the longest time that successors promise not to take the lease.
	HoldOver = 60 * time.Second
	// driftMargin is what the holder gives up of its term for clocks that run at different rates.
	driftMargin = 150 * time.Millisecond
	// retryAfter is the pause after a write that failed or lost.
	retryAfter = 200 * time.Millisecond
)

// MaxSuccessors is how many nodes a lease names as successors.
const MaxSuccessors = 3

// Member is one node of the zone.
type Member struct {
	// Node is the host's name in the host list.
	Node string `json:"node"`
	// Incarnation is new at every start of the process.
	Incarnation string `json:"incarnation"`
	// Address is where other nodes reach it.
	Address string `json:"address"`
}

// Lease is the value of a zone's lease row.
type Lease struct {
	// Holder is the leader, or has an empty incarnation after a handover.
	Holder Member `json:"holder"`
	// Epoch rises by one whenever another incarnation takes the lease.
	Epoch int64 `json:"epoch"`
	// Renewal counts the write attempts of the holder, so that no two attempts are alike.
	Renewal int64 `json:"renewal"`
	// Successors are the incarnations that may take the lease without waiting for HoldOver.
	Successors []Member `json:"successors,omitempty"`
	// Quiet is how many milliseconds after a handover the next holder must wait before its first order.
	Quiet int64 `json:"quiet,omitempty"`
}

// Seen is a lease row with its version in the table.
type Seen struct {
	Lease Lease
	// Version is the row's version; 0 means that the row does not exist.
	Version int64
}

// Proposal is a lease to write if the row still has the version.
type Proposal struct {
	Lease   Lease
	Version int64
}

// Elector is the state of one node. Its methods must not run at the same time.
type Elector struct {
	// self is this incarnation; it never changes.
	self Member
	// termMS, renewMS and holdOverMS are the term of the lease, its age at renewal and the longest time that
	// successors promise not to take it, in milliseconds; they never change.
	termMS, renewMS, holdOverMS int64
	// seen is the last row read or written.
	seen Seen
	// known is set once the row, or its absence, was read.
	known bool
	// unchangedSince is when the row was first seen as it is.
	unchangedSince time.Time
	// validUntil is when this node's lease lapses; zero when it holds none.
	validUntil time.Time
	// renewAt is when the holder renews next.
	renewAt time.Time
	// quietUntil is the earliest time of the next write attempt.
	quietUntil time.Time
	// promisedUntil is until when this node has promised not to take the lease.
	promisedUntil time.Time
	// promisedTo is the incarnation to which it promised.
	promisedTo string
	// heldOverUntil is until when all successors have promised this leader.
	heldOverUntil time.Time
	// resigned is set when this node must not take the lease any more.
	resigned bool
	// invited is set when the holder asked this node to take the lease.
	invited bool
	// inFlight is the proposal being written, or nil.
	inFlight *Proposal
	// sentAt is when inFlight was sent.
	sentAt time.Time
	// attempts counts the proposals made; it never falls.
	attempts int64
	// proposed are the successors in proposals against the present version of the
	// row, any of which may have taken effect without an answer.
	proposed []Member
	// proposedNone is set when one of these proposals names no successor, after
	// which nobody would wait for a hold-over.
	proposedNone bool
	// predecessor is the lease that this node last proposed to take over from.
	predecessor Lease
}

// New returns the elector of an incarnation.
func New(self Member) *Elector { return NewWithTerm(self, Term, RenewAfter, HoldOver) }

// NewWithTerm returns the elector of an incarnation for a lease of other
// times. All nodes of a zone must use the same.
func NewWithTerm(self Member, term, renewAfter, holdOver time.Duration) *Elector {
	return &Elector{self: self, termMS: term.Milliseconds(), renewMS: renewAfter.Milliseconds(), holdOverMS: holdOver.Milliseconds()}
}

func (e *Elector) holdOver() time.Duration { return time.Duration(e.holdOverMS) * time.Millisecond }

func (e *Elector) term() time.Duration { return time.Duration(e.termMS) * time.Millisecond }

// Self returns the member that this elector stands for.
func (e *Elector) Self() Member { return e.self }

// Lease returns the last lease seen.
func (e *Elector) Lease() Lease { return e.seen.Lease }

// Version returns the version of the lease row last seen.
func (e *Elector) Version() int64 { return e.seen.Version }

// Predecessor returns the lease from which this node last proposed to take over.
func (e *Elector) Predecessor() Lease { return e.predecessor }

// Successors returns every node that the row may name as a successor: those of
// the row as seen and those of proposals whose end is not known. A hold-over
// needs the promise of each; none may be had while the row may name nobody.
func (e *Elector) Successors() []Member {
	if e.proposedNone || len(e.seen.Lease.Successors) == 0 {
		return nil
	}
	return lo.Uniq(append(append([]Member(nil), e.seen.Lease.Successors...), e.proposed...))
}

// Leading returns the epoch while this node holds the lease, and whether it does.
func (e *Elector) Leading(now time.Time) (int64, bool) {
	if now.Before(e.validUntil) || now.Before(e.heldOverUntil) {
		return e.seen.Lease.Epoch, e.mine()
	}
	return 0, false
}

// ValidUntil returns when the lease lapses if nothing renews it.
func (e *Elector) ValidUntil() time.Time {
	if e.heldOverUntil.After(e.validUntil) {
		return e.heldOverUntil
	}
	return e.validUntil
}

// HeldOver reports whether the node leads only by its successors' promises.
func (e *Elector) HeldOver(now time.Time) bool {
	return !now.Before(e.validUntil) && now.Before(e.heldOverUntil)
}

func (e *Elector) mine() bool { return e.seen.Lease.Holder.Incarnation == e.self.Incarnation }

// Observe takes in the row as read at a time; the read must have been sent after now.
func (e *Elector) Observe(now time.Time, seen Seen) {
	if e.known && seen.Version < e.seen.Version {
		return
	}
	e.resolve(seen)
	if !e.known || seen.Version != e.seen.Version {
		e.unchangedSince = now
		e.proposed, e.proposedNone = nil, false
	}
	if e.known && e.mine() && seen.Lease.Holder.Incarnation != e.self.Incarnation {
		e.drop()
	}
	e.known = true
	e.seen = seen
}

// resolve finds out from a read whether a write with a lost answer took effect.
func (e *Elector) resolve(seen Seen) {
	if e.inFlight == nil || seen.Version == e.inFlight.Version {
		return
	}
	lease := seen.Lease
	if lease.Holder.Incarnation == e.self.Incarnation && lease.Epoch == e.inFlight.Lease.Epoch && lease.Renewal == e.inFlight.Lease.Renewal {
		e.accept(e.sentAt)
	}
	e.inFlight = nil
}

// Propose returns the lease to write now, or nil.
func (e *Elector) Propose(now time.Time, successors []Member) *Proposal {
	if !e.known || e.resigned || now.Before(e.quietUntil) {
		return nil
	}
	if e.mine() && now.Before(e.ValidUntil()) {
		return e.proposeRenewal(now, successors)
	}
	if !e.MayTake(now) {
		return nil
	}
	e.predecessor = e.seen.Lease
	return e.send(now, Lease{Holder: e.self, Epoch: e.seen.Lease.Epoch + 1, Successors: successors})
}

func (e *Elector) proposeRenewal(now time.Time, successors []Member) *Proposal {
	if now.Before(e.renewAt) {
		return nil
	}
	if now.Before(e.heldOverUntil) {
		successors = e.seen.Lease.Successors // Only these have promised.
	}
	return e.send(now, Lease{Holder: e.self, Epoch: e.seen.Lease.Epoch, Successors: successors})
}

func (e *Elector) send(now time.Time, lease Lease) *Proposal {
	e.attempts++
	e.proposed = append(e.proposed, lease.Successors...)
	e.proposedNone = e.proposedNone || len(lease.Successors) == 0
	lease.Renewal = e.attempts
	e.inFlight = &Proposal{Lease: lease, Version: e.seen.Version}
	e.sentAt = now
	e.quietUntil = now.Add(retryAfter)
	return e.inFlight
}

// MayTake reports whether this node may take the lease: it is free, or the holder's has surely lapsed.
// A successor that has not promised waits one term. Any other node also waits
// the longest hold-over, because the holder may decide on promises until then.
func (e *Elector) MayTake(now time.Time) bool {
	if now.Before(e.promisedUntil) && e.promisedTo == e.seen.Lease.Holder.Incarnation {
		return false
	}
	if e.seen.Version == 0 || e.seen.Lease.Holder.Incarnation == "" || e.invited {
		return true
	}
	if e.mine() {
		return !now.Before(e.ValidUntil())
	}
	wait := e.term()
	if !e.isSuccessor() && len(e.seen.Lease.Successors) > 0 {
		wait += e.holdOver()
	}
	return now.Sub(e.unchangedSince) >= wait
}

func (e *Elector) isSuccessor() bool {
	for _, successor := range e.seen.Lease.Successors {
		if successor.Incarnation == e.self.Incarnation || successor.Node == e.self.Node && successor.Address == e.self.Address {
			return true // A process that was restarted has waited a term, which outlasts its promises.
		}
	}
	return false
}

// Wrote takes in the verdict of the proposal: whether it was done, and the row's new version.
func (e *Elector) Wrote(done bool, version int64) {
	if e.inFlight == nil {
		return
	}
	if done {
		e.seen = Seen{Lease: e.inFlight.Lease, Version: version}
		e.proposed, e.proposedNone = nil, false
		e.accept(e.sentAt)
	}
	e.inFlight = nil
}

// accept counts the lease's term from when its write was sent.
func (e *Elector) accept(sentAt time.Time) {
	e.validUntil = sentAt.Add(e.term() - driftMargin)
	e.renewAt = sentAt.Add(time.Duration(e.renewMS) * time.Millisecond)
	e.unchangedSince = sentAt
	e.invited = false
}

func (e *Elector) drop() {
	e.validUntil = time.Time{}
	e.heldOverUntil = time.Time{}
}

// Promise asks this node, as a successor, not to take the lease for a while
// after now. It reports whether the node promises.
func (e *Elector) Promise(now time.Time, leader string, epoch int64, hold time.Duration) bool {
	if hold > e.holdOver() || e.mine() {
		return false
	}
	if e.resigned {
		return true // It never takes the lease again.
	}
	if e.known && (epoch < e.seen.Lease.Epoch || leader != e.seen.Lease.Holder.Incarnation) {
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

// HoldOverUntil takes in that all of Successors promised until a deadline of
// this node's clock. The hold-over ends at the latest HoldOver
// after the last renewal, which is what all other nodes wait for.
func (e *Elector) HoldOverUntil(deadline time.Time) {
	if !e.mine() || len(e.Successors()) == 0 {
		return
	}
	if last := e.unchangedSince.Add(e.holdOver()); deadline.After(last) {
		deadline = last
	}
	if deadline.After(e.heldOverUntil) {
		e.heldOverUntil = deadline
	}
}

// Resign gives the lease up for good and returns the row to write, or nil when it is not held.
func (e *Elector) Resign(now time.Time) *Proposal {
	_, leading := e.Leading(now)
	e.resigned = true
	e.drop()
	if !leading {
		return nil
	}
	lease := e.seen.Lease
	lease.Holder = Member{}
	lease.Successors = nil
	return &Proposal{Lease: lease, Version: e.seen.Version}
}

// Invite lets this node take the lease at once if the holder that invites is the one seen.
func (e *Elector) Invite(holder string, epoch int64) bool {
	if e.resigned || e.seen.Lease.Holder.Incarnation != holder || e.seen.Lease.Epoch != epoch {
		return false
	}
	e.invited = true
	return true
}

// Inherit lets this node take the lease at once if its holder is an earlier
// process of the same host, which cannot live any more.
func (e *Elector) Inherit() bool {
	holder := e.seen.Lease.Holder
	if !e.known || e.mine() || holder.Node != e.self.Node || holder.Address != e.self.Address {
		return false
	}
	e.invited = true
	return true
}
