// Package prover decides whether a caller may be promised that its request has not run and never will. It keeps an account of the sends of each request: a send
// counts as one that may have run from its beginning on, until a proof that belongs to this very send shows that it has not.
//
// The package reads no clock and does no I/O.
package prover

import (
	"fmt"
	"net/http"
)

// Promises reports whether an HTTP status promises that the request has not run and never will: 408, 421, 429 and 503.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// ForeignError reports a response that may belong to another send.
type ForeignError struct {
	// evidence is what is known of the send.
	evidence Evidence
}

// Error names the connection and both requests.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("response for %q on connection %d to %s, which had carried %d requests before, may belong to another send than that of %q", e.evidence.receivedID,
		e.evidence.number, e.evidence.address, e.evidence.earlier, e.evidence.sentID)
}

// Proof shows that one send has not run and never will. The zero value shows nothing.
type Proof struct {
	given bool
}

// Unsent returns the proof of a send of which no byte was written.
func Unsent() Proof { return Proof{given: true} }

// Relayed returns the proof that another node gives, which keeps the account of its own sends of the request and has refused it.
func Relayed() Proof { return Proof{given: true} }

// Ledger is the account of the sends of one request. The zero value has none. It is not safe for concurrent use.
type Ledger struct {
	// sends counts the sends that have begun, proved those of which a proof shows that they have not run; it is at most sends.
	sends, proved int
}

// Begin records that a send begins.
func (l *Ledger) Begin() { l.sends++ }

// Prove records the proof that the last send has not run. It is called once for a send at most; a zero Proof has no effect.
func (l *Ledger) Prove(proof Proof) {
	if proof.given && l.proved < l.sends {
		l.proved++
	}
}

// MayHaveRun returns the number of sends that may have run or may run yet.
func (l *Ledger) MayHaveRun() int { return l.sends - l.proved }

// Promise returns the permission to promise that the request has not run and never will. The error is an *UnprovedError if a send may have run.
func (l *Ledger) Promise() (Promise, error) {
	if unproved := l.MayHaveRun(); unproved > 0 {
		return Promise{}, &UnprovedError{sends: l.sends, unproved: unproved}
	}
	return Promise{given: true}, nil
}

// Promise is the permission to answer a request with a status that promises that it has not run and never will. Only a Ledger gives one; the zero value is none.
type Promise struct {
	given bool
}

// Given reports whether a Ledger has given the promise.
func (p Promise) Given() bool { return p.given }

// UnprovedError reports that sends of a request may have run.
type UnprovedError struct {
	// sends is the number of its sends, unproved that of those without a proof; it is at least 1.
	sends, unproved int
}

// Error names both numbers.
func (e *UnprovedError) Error() string {
	return fmt.Sprintf("%d of %d sends may have run", e.unproved, e.sends)
}
