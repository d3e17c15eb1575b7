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

// Connection is the connection that a request was sent over.
type Connection string

// Connections of a send.
const (
	// NoConnection means that none could be opened, so that nothing was sent.
	NoConnection Connection = "none"
	// NewConnection has carried no other request that could have been refused.
	NewConnection Connection = "new"
	// KeptConnection has carried other requests: a late copy of a response to one of them may arrive on it.
	KeptConnection Connection = "kept"
)

// Evidence is what is known of one send at its end.
type Evidence struct {
	// connection is the send's. SentID is the request's ID, receivedID the one in the response, empty without a response or an ID in it.
	connection         Connection
	sentID, receivedID string
	// again is set if the request was sent to the same address before, so that its ID does not tell the two sends apart.
	again bool
	// route is what the send went over.
	route Route
}

// Route is what a send went over.
type Route struct {
	// Address is that of the worker. Number is that of the connection in this process, 0 without one.
	Address string
	Number  int64
	// Earlier is the number of requests that the connection had carried before, Carried is set if this request was one of the last of them.
	Earlier int
	Carried bool
}

// Over sets what the send went over and returns the evidence.
func (e Evidence) Over(route Route) Evidence {
	e.route = route
	return e
}

// Route returns what the send went over.
func (e Evidence) Route() Route { return e.route }

// NewEvidence returns the evidence of a send of the request with an ID; receivedID is the one in the response, or empty. Again is set if the request was sent to
// the same address before.
func NewEvidence(connection Connection, sentID, receivedID string, again bool) Evidence {
	return Evidence{connection: connection, sentID: sentID, receivedID: receivedID, again: again}
}

// Connection returns the connection of the send.
func (e Evidence) Connection() Connection { return e.connection }

// ReceivedID returns the ID in the response, or an empty string.
func (e Evidence) ReceivedID() string { return e.receivedID }

// Belongs reports whether a response belongs to this send. On a kept connection, one without an ID may be the copy of any earlier one, and one with the
// request's ID may be that of an earlier send of the request.
func (e Evidence) Belongs() bool {
	if e.connection == KeptConnection {
		return e.receivedID == e.sentID && !e.again
	}
	return e.connection == NewConnection && (e.receivedID == "" || e.receivedID == e.sentID)
}

// Refusal returns the proof that a response gives which says that the request did not run. The error is a *ForeignError if the response may belong to another
// send.
func (e Evidence) Refusal() (Proof, error) {
	if !e.Belongs() {
		return Proof{}, &ForeignError{evidence: e}
	}
	return Proof{given: true}, nil
}

// ForeignError reports a response that may belong to another send.
type ForeignError struct {
	evidence Evidence
}

// Error names the connection and both IDs.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("response for %q on a %s connection may belong to another send than that of %q", e.evidence.receivedID, e.evidence.connection, e.evidence.sentID)
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
