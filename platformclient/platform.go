// Package platformclient calls the platform: its transactional table, object store
// and host list. A Platform is a struct of functions, so another platform, or a fake
// in a test, only needs another constructor.
package platformclient

import (
	"fmt"
	"time"
)

// Row is one row of the table.
type Row struct {
	// Key is the row's unique name.
	Key string `json:"key"`
	// Value is the row's content, as text.
	Value string `json:"value"`
	// Version is the version of the row, which rises at every write (NewVersion).
	Version int64 `json:"version"`
}

// Check is a condition of a transaction on the version of one row.
type Check struct {
	Key string `json:"key"`
	// Version is what the row must have; a RowVersion of 0 requires that the row does not exist.
	Version int64 `json:"version"`
}

// Transaction is a set of writes that take effect together if every check holds, or
// not at all.
type Transaction struct {
	Checks []Check `json:"checks,omitempty"`
	// Puts holds the rows to write; their versions are ignored.
	Puts []Row `json:"puts,omitempty"`
	// Deletes holds the keys of the rows to delete.
	Deletes []string `json:"deletes,omitempty"`
}

// WriteResult is the result of a transaction.
type WriteResult struct {
	// Done is set when the transaction took effect.
	Done bool `json:"done"`
	// Conflicts holds the rows whose checks failed, as the table has them.
	Conflicts []Row `json:"conflicts,omitempty"`
	// Versions maps each written key to its new version.
	Versions map[string]int64 `json:"versions,omitempty"`
}

// Kinds and states of a Host.
const (
	HostNode     = "node"
	HostWorker   = "worker"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	// ID is the host's unique name.
	ID string `json:"id"`
	// Kind is HostNode or HostWorker.
	Kind string `json:"kind"`
	// Group is the name of the configuration's worker group, empty for nodes.
	Group string `json:"group,omitempty"`
	Zone  string `json:"zone"`
	// Address is the host's IP address and port.
	Address string `json:"address"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
}

// Platform holds the calls that nodes and commands make to the platform. Every call
// returns by its deadline.
type Platform struct {
	// ReadRows returns the rows of the given keys that exist, and the rows whose keys have
	// the prefix unless it is empty.
	ReadRows func(deadline time.Time, keys []string, prefix string) ([]Row, error)
	// Write runs a transaction; a *NoResponseError means that it may have taken effect.
	Write func(deadline time.Time, transaction Transaction) (WriteResult, error)
	// Era returns the era of the store's rows as far as it is known; nil if the store never loses what it has acknowledged.
	Era func() int64
	// Clock returns the store's steady clock in milliseconds as of the last response of the current era, 0 without one; nil if the store has no clock.
	Clock func() int64
	// GetObject returns the content of an object; a *MissingError means that it does not exist.
	GetObject func(deadline time.Time, name string) ([]byte, error)
	// PutObject stores an object under a name; a *NoResponseError means that it may have been stored.
	PutObject func(deadline time.Time, name string, body []byte) error
	// ListHosts returns the platform's host list, which must not be changed.
	ListHosts func(deadline time.Time) ([]Host, error)
}

// NoResponseError reports that a call got no usable response, so it may have taken
// effect or not.
type NoResponseError struct {
	// call names the call, such as its path.
	call string
	// cause is why there is no usable response, never nil.
	cause error
}

// NewNoResponseError returns a *NoResponseError for a call whose outcome is unknown.
func NewNoResponseError(call string, cause error) error {
	return &NoResponseError{call: call, cause: cause}
}

// Error names the call and the cause.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("platform call %q got no answer: %v", e.call, e.cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.cause }

// MissingError reports that an object does not exist in the object store.
type MissingError struct {
	// name is the object's name.
	name string
}

// NewMissingError returns a *MissingError for the object of the given name.
func NewMissingError(name string) error { return &MissingError{name: name} }

// Error names the object.
func (e *MissingError) Error() string {
	return fmt.Sprintf("object %q does not exist in the platform's object store", e.name)
}
