package prover

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// maxCarried is the number of requests that a Connection remembers. It is not used any more once it has carried that many which were refused or whose responses
// are still due.
const maxCarried = 32

// Connection is the account of one connection to a server: which requests it has carried. A server may write a response once more, where the next one is due, so
// that a response proves nothing of a request which the connection has carried before, whatever ID it bears. It is safe for concurrent use.
type Connection struct {
	// address is the server's. Number is unique in the process.
	address string
	number  int64
	// onForeign is called as OnForeign describes.
	onForeign func()
	// mu guards everything below.
	mu sync.Mutex
	// begun counts the exchanges.
	begun int
	// carried are requests that the connection has carried, oldest first: each whose response is due, each that was refused and, as far as there is room, the last
	// ones that were answered. It has at most maxCarried elements, no two of the same request.
	carried []carriedRequest
	// distrust is why the connection may carry no other request, as a response on it has named none or belonged to another exchange; empty if it may.
	distrust string
}

// carriedRequest is a request that a connection has carried.
type carriedRequest struct {
	// hash is that of the request's ID. Two IDs with the same hash count as one, which costs no more than another connection.
	hash uint64
	// answered is set once a response other than a refusal belongs to the request.
	answered bool
}

// connections counts the connections of the process.
var connections atomic.Int64

// NewConnection returns the account of a connection to an address that was just opened.
func NewConnection(address string) *Connection {
	return &Connection{address: address, number: connections.Add(1), onForeign: func() {}}
}

// OnForeign sets a function that is called with each response that may belong to another exchange. It must not block, and OnForeign must be called before the
// first exchange.
func (c *Connection) OnForeign(onForeign func()) { c.onForeign = onForeign }

// Begin records that the request with an ID is about to be sent over the connection. The error is a *CarriedError if it must not be: no byte of it may be written,
// and it is sent over another connection. A request without an ID may be the first on its connection only.
func (c *Connection) Begin(id string) (*Exchange, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxhash.Sum64String(id)
	reason := c.reasonAgainst(id, hash)
	if reason == "" && len(c.carried) == maxCarried && !c.forgetAnswered() {
		reason = "has carried too many requests that were refused"
	}
	if reason != "" {
		return nil, &CarriedError{address: c.address, connection: c.number, request: id, reason: reason}
	}
	c.carried = append(c.carried, carriedRequest{hash: hash})
	exchange := &Exchange{connection: c, hash: hash, evidence: Evidence{address: c.address, number: c.number, earlier: c.begun, sentID: id}}
	c.begun++
	return exchange, nil
}

// reasonAgainst returns why the connection may not carry a request, or an empty string. The caller holds mu.
func (c *Connection) reasonAgainst(id string, hash uint64) string {
	if c.distrust != "" {
		return c.distrust
	}
	if c.begun > 0 && id == "" {
		return "has carried other requests"
	}
	for _, request := range c.carried {
		if request.hash == hash {
			return "has carried the request before"
		}
	}
	return ""
}

// forgetAnswered removes the oldest answered request and reports whether there was one. The caller holds mu.
func (c *Connection) forgetAnswered() bool {
	for i := range c.carried {
		if c.carried[i].answered {
			c.carried = append(c.carried[:i], c.carried[i+1:]...)
			return true
		}
	}
	return false
}

// Exchange is one request on a connection, and its response.
type Exchange struct {
	connection *Connection
	hash       uint64
	// evidence is what is known of the exchange.
	evidence Evidence
}

// Evidence returns what is known of the exchange; it has no ID of a response before one arrives.
func (e *Exchange) Evidence() Evidence { return e.evidence }

// Receive records that a response arrived which names a request, or none if receivedID is empty. The error is a *ForeignError if it may belong to another exchange.
func (e *Exchange) Receive(receivedID string) error {
	e.evidence.receivedID = receivedID
	if !e.evidence.Belongs() {
		e.connection.setDistrust("has carried a response that belonged to another request")
		e.connection.onForeign()
		return &ForeignError{evidence: e.evidence}
	}
	if receivedID == "" {
		e.connection.setDistrust("has carried a response that named no request")
	}
	return nil
}

// setDistrust records why the connection may carry no other request.
func (c *Connection) setDistrust(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.distrust = reason
}

// Refusal returns the proof that a response gives which says that the request did not run. The error is a *ForeignError if the response may belong to another
// exchange.
func (e *Exchange) Refusal(receivedID string) (Proof, error) {
	if err := e.Receive(receivedID); err != nil {
		return Proof{}, err
	}
	return Proof{given: true}, nil
}

// Answer records a response that belongs to the request and is no refusal, so that the connection may forget the request. The error is a *ForeignError if it may
// belong to another exchange.
func (e *Exchange) Answer(receivedID string) error {
	if err := e.Receive(receivedID); err != nil {
		return err
	}
	e.connection.mu.Lock()
	defer e.connection.mu.Unlock()
	for i := range e.connection.carried {
		if e.connection.carried[i].hash == e.hash {
			e.connection.carried[i].answered = true
		}
	}
	return nil
}

// CarriedError reports a request that may not be sent over a connection.
type CarriedError struct {
	// address is the server's, connection the number of the connection.
	address    string
	connection int64
	// request is the ID of the request, reason why the connection may not carry it.
	request, reason string
}

// Error names all.
func (e *CarriedError) Error() string {
	return fmt.Sprintf("connection %d to %s may not carry request %q: it %s", e.connection, e.address, e.request, e.reason)
}

// Evidence is what is known of one exchange; its zero value is that of a request that another node refused.
type Evidence struct {
	// address is the server's. Number is that of the connection, 0 without one. Earlier is the number of exchanges that the connection had carried before.
	address string
	number  int64
	earlier int
	// sentID is the request's ID, receivedID the one in the response, empty without a response or an ID in it.
	sentID, receivedID string
}

// Unconnected returns the evidence of a send for which no connection to an address could be opened.
func Unconnected(address, sentID string) Evidence { return Evidence{address: address, sentID: sentID} }

// Address returns the address that the request was sent to.
func (e Evidence) Address() string { return e.address }

// Connection returns the number of the connection, or 0 without one; Earlier the number of exchanges that it had carried before.
func (e Evidence) Connection() int64 { return e.number }

// Earlier returns the number of exchanges that the connection had carried before.
func (e Evidence) Earlier() int { return e.earlier }

// ReceivedID returns the ID in the response, or an empty string.
func (e Evidence) ReceivedID() string { return e.receivedID }

// Kind returns what the connection was: "none", "new" or "kept".
func (e Evidence) Kind() string {
	switch {
	case e.number == 0:
		return "none"
	case e.earlier == 0:
		return "new"
	}
	return "kept"
}

// Belongs reports whether the response belongs to this exchange: it bears the request's ID or, as the first on its connection, none. No connection carries a request
// twice.
func (e Evidence) Belongs() bool {
	if e.number == 0 {
		return false
	}
	return e.receivedID == e.sentID && e.sentID != "" || e.earlier == 0 && e.receivedID == ""
}
