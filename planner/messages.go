package planner

import (
	"time"
)

// The verbs of orders.
const (
	VerbLoad   = "load"
	VerbUnload = "unload"
	VerbFence  = "fence"
)

// UnitSpec describes a loadable unit: a model version, or an adapter on one.
type UnitSpec struct {
	// Unit is the unit's unique name, "version" or "version/adapter".
	Unit string
	// Base is the model version that must be ready on the same worker first; empty unless the unit is an adapter.
	Base string
	// Checkpoint is the name of the weights in the weight store.
	Checkpoint string
	// Memory is in bytes, above 0.
	Memory int64
	// LoadMS is the time of a load from the weight store, in milliseconds.
	LoadMS int64
	// MinReplicas and MaxReplicas bound the number of workers in the zone with the unit.
	MinReplicas, MaxReplicas int
}

// Adapter reports whether the unit is an adapter.
func (s UnitSpec) Adapter() bool { return s.Base != "" }

// WorkerSpec describes a worker by the host list and the configuration.
type WorkerSpec struct {
	// ID is the host's name.
	ID string
	// Memory is in bytes.
	Memory int64
	// Fencing is true if the worker refuses orders with a lower fencing number than it has seen.
	Fencing bool
	// Slots is how many requests the worker runs concurrently.
	Slots int
	// Accelerators is how many accelerators are in use while anything is loaded.
	Accelerators int
	// Leaving is true if the worker must get no new work.
	Leaving bool
}

// UnitState is one unit in a report.
type UnitState struct {
	Unit string
	// Ready is false while the unit is loading or unloading.
	Ready bool
	// Memory is in bytes.
	Memory int64
}

// Report is the state of a worker as it reports it.
type Report struct {
	// Incarnation rises when the worker restarts.
	Incarnation int64
	// Sequence rises with every report of an incarnation.
	Sequence int64
	Units    []UnitState
	// Caches maps units whose checkpoint the worker has in a cache to the tier, "memory" or "disk".
	Caches map[string]string
	// Orders are the IDs of the last orders that the worker accepted.
	Orders []string
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
	// Leaving is true if the worker asks for no new work.
	Leaving bool
}

// Order is a command to a worker.
type Order struct {
	// ID is unique over all leaders.
	ID     string
	Worker string
	// Fence is the fencing number; it rises with every order and epoch.
	Fence int64
	// Verb is VerbLoad, VerbUnload or VerbFence.
	Verb string
	// Unit is empty for VerbFence.
	Unit string
	// The fields below are set for VerbLoad only, as in UnitSpec.
	Checkpoint string
	Adapter    bool
	Memory     int64
	LoadMS     int64
}

// Action is a step that the caller must carry out: persist a row, or send an order.
type Action struct {
	// Worker is the ID of the worker whose row or order it is.
	Worker string
	// Persist is the row to write, or nil.
	Persist *Row
	// Version is the version in the table that the row replaces; 0 if there is none.
	Version int64
	// Order is the order to send, or nil.
	Order *Order
}

// OrderOutcome is the result of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	// OrderAccepted means that the worker accepted the order.
	OrderAccepted OrderOutcome = iota
	// OrderRefused means that the worker did not and will not execute the order.
	OrderRefused
	// OrderUnknown means that the order may still take effect.
	OrderUnknown
)

// OrderTimeout is the longest time after it was sent that an order can take effect.
const OrderTimeout = 10 * time.Second

// Limits are this zone's share of the weight store's limits.
type Limits struct {
	// LoadRate is the number of model loads that may start per second.
	LoadRate float64
	// ParallelLoads is the number of model loads that may run at the same time.
	ParallelLoads int
	// ParallelAdapterLoads is the number of adapter loads that may run at the same time.
	ParallelAdapterLoads int
}

// String returns the outcome's name in log lines.
func (o OrderOutcome) String() string {
	switch o {
	case OrderAccepted:
		return "accepted"
	case OrderRefused:
		return "refused"
	default:
		return "unknown"
	}
}
