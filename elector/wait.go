package elector

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Reasons for which a node leaves the lease to others.
const (
	// WaitPromise: this node has promised the holder not to take it.
	WaitPromise = "promised"
	// WaitPredecessor: the row, or its absence, has come back from an older copy of the store and may not name the last holder.
	WaitPredecessor = "predecessor unknown"
	// WaitOwn: this node holds it itself.
	WaitOwn = "own lease"
	// WaitTerm: the holder may hold it until the term has ended, WaitHoldOver: it may hold it over by promises of its successors.
	WaitTerm     = "term"
	WaitHoldOver = "hold-over"
)

// MayTake reports whether this node may take the lease: the lease has no holder, or
// has expired by the holder's clock too.
func (e *Elector) MayTake(now time.Time) bool {
	until, _ := e.Wait()
	return !now.Before(until)
}

// Wait returns until when this node must not take the lease, and why; a zero time if it may take it at any time. A successor that
// has not promised waits one term. Any other node also waits for the longest hold-over, because the holder
// may lead on promises until then. If the row has come back from an older copy of the
// store, it may not name the last holder: the nodes that it names, without whose promises no holder of the last seconds leads, wait one term, all others
// for the longest hold-over too.
func (e *Elector) Wait() (until time.Time, reason string) {
	until, reason = e.waitForLease()
	if e.promisedTo == e.row.Lease.Holder.Incarnation && e.promisedUntil.After(until) {
		return e.promisedUntil, WaitPromise
	}
	return until, reason
}

// waitForLease returns what Wait does, without regard to promises of this node.
func (e *Elector) waitForLease() (until time.Time, reason string) {
	if e.PredecessorUnknown() {
		if e.settledEra == platformclient.Era(e.row.Version) {
			return time.Time{}, ""
		}
		if e.isNamedByCopy() {
			return e.unchangedSince.Add(e.term()), WaitPredecessor
		}
		return e.unchangedSince.Add(e.term() + e.maxHoldOver()), WaitPredecessor
	}
	if !e.row.Exists() || e.row.Lease.Holder.Incarnation == "" || e.released == e.row.release() {
		return time.Time{}, ""
	}
	if e.isHolder() {
		return e.ValidUntil(), WaitOwn
	}
	if !e.isSuccessor() && len(e.row.Lease.Successors) > 0 {
		return e.unchangedSince.Add(e.term() + e.maxHoldOver()), WaitHoldOver
	}
	return e.unchangedSince.Add(e.term()), WaitTerm
}

func (e *Elector) isSuccessor() bool {
	for _, successor := range e.row.Lease.Successors {
		if successor.Incarnation == e.self.Incarnation || successor.onHost(e.self) {
			return true // A restarted process waits a term, which is longer than the promises it has forgotten.
		}
	}
	return false
}
