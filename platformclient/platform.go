// Package platformclient speaks with the platform: its transactional table,
// object store and host list. A Platform is a set of functions, so that
// another platform, or a fake in a test, is another constructor.
package platformclient

import (
	"fmt"
	"time"
)

// Row is one row of the table.
type Row struct {
	// Key is the row's unique name.
	Key string `json:"key"`
	// Value is the row's text.
	Value string `json:"value"`
	// Version changes at every write; 0 means that the row does not exist.
	Version int64 `json:"version"`
}

// Check requires a row to have a version.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Transaction is a set of writes that happen together if every check holds.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Row    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Verdict says whether a transaction took effect.
type Verdict struct {
	Done bool `json:"done"`
	// Conflicts holds the rows whose checks failed, as they are.
	Conflicts []Row `json:"conflicts,omitempty"`
	// Versions maps each written key to its new version.
	Versions map[string]int64 `json:"versions,omitempty"`
}

// Host kinds and states.
const (
	HostNode    = "node"
	HostWorker  = "worker"
	StateLive   = "live"
	StateLeaves = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	ID string `json:"id"`
	// Kind is HostNode or HostWorker.
	Kind string `json:"kind"`
	// Group is the worker group of the configuration, empty for nodes.
	Group   string `json:"group,omitempty"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State is StateLive or StateLeaves.
	State string `json:"state"`
}

// Platform is the set of calls that the system makes to the platform.
// Every call returns by its deadline.
type Platform struct {
	// ReadRows returns the rows among keys that exist, and those with the prefix unless it is empty.
	ReadRows func(deadline time.Time, keys []string, prefix string) ([]Row, error)
	// Write carries a transaction out; an *UnansweredError means that it may have taken effect.
	Write func(deadline time.Time, transaction Transaction) (Verdict, error)
	// GetObject returns an object; a *MissingError means that it does not exist.
	GetObject func(deadline time.Time, name string) ([]byte, error)
	// PutObject stores an object under a name.
	PutObject func(deadline time.Time, name string, body []byte) error
	// ListHosts returns the hosts that the platform lists.
	ListHosts func(deadline time.Time) ([]Host, error)
}

// UnansweredError says that a call got no answer and may have taken effect.
type UnansweredError struct {
	// call names the call.
	call string
	// cause is what went wrong, never nil.
	cause error
}

// NewUnansweredError returns the error of a call whose end is unknown.
func NewUnansweredError(call string, cause error) error {
	return &UnansweredError{call: call, cause: cause}
}

// Error names the call and the cause.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("platform call %q got no answer: %v", e.call, e.cause)
}

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.cause }

// MissingError says that an object does not exist.
type MissingError struct {
	// name is the object's name.
	name string
}

// NewMissingError returns the error for an object that does not exist.
func NewMissingError(name string) error { return &MissingError{name: name} }

// Error names the object.
func (e *MissingError) Error() string { return fmt.Sprintf("object %q does not exist", e.name) }
