package planner

import (
	"time"
)

// Verbs of orders.
const (
	VerbLoad   = "load"
	VerbUnload = "unload"
	VerbFence  = "fence"
)

// UnitSpec describes a loadable unit: a model version, or an adapter on one.
type UnitSpec struct {
	// Unit is the unit's key, unique.
	Unit string
	// Base is the unit that must be ready on the same worker first, or empty.
	Base string
	// Checkpoint is the name in the weight store.
	Checkpoint string
	// Memory is in bytes, above 0.
	Memory int64
	// LoadMS is the time of a load from the weight store, in milliseconds.
	LoadMS int64
	// Least and Most bound the replicas in the zone.
	MinReplicas, MaxReplicas int
}

// Adapter reports whether the unit is an adapter.
func (s UnitSpec) Adapter() bool { return s.Base != "" }

// WorkerSpec describes a worker as the host list and the configuration do.
type WorkerSpec struct {
	// ID is the host's name.
	ID string
	// Memory is in bytes.
	Memory int64
	// Fencing is set when the worker refuses old fencing numbers.
	Fencing bool
	// Slots is how many requests the worker runs at once.
	Slots int
	// Accelerators is how many accelerators the worker holds while anything is loaded.
	Accelerators int
	// Leaving is set when the worker must get no new work.
	Leaving bool
}

// UnitState is one loaded unit in a report.
type UnitState struct {
	Unit   string
	Ready  bool
	Memory int64
}

// Report is what a worker says of itself.
type Report struct {
	// Incarnation rises when the worker restarts.
	Incarnation int64
	// Sequence rises with every report of an incarnation.
	Sequence int64
	Units    []UnitState
	// Caches maps checkpoints that are near the worker to their tier.
	Caches map[string]string
	// Orders lists the last orders that the worker accepted.
	Orders  []string
	Running int
	Queued  int
	Leaving bool
}

// Order is a command to a worker.
type Order struct {
	ID         string
	Worker     string
	Fence      int64
	Verb       string
	Unit       string
	Checkpoint string
	Adapter    bool
	Memory     int64
	LoadMS     int64
}

// Action is what the caller must do: persist a row, or send an order.
type Action struct {
	// Worker is the worker that the action is about.
	Worker string
	// Persist is the row to write, or nil.
	Persist *Row
	// Version is the table version that the persisted row replaces.
	Version int64
	// Send is the order to send, or nil.
	Send *Order
}

// OrderOutcome says what became of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	// OrderAccepted means that the worker took the order.
	OrderAccepted OrderOutcome = iota
	// OrderRefused means that the worker did not and will not carry the order out.
	OrderRefused
	// OrderUnknown means that the order may still take effect.
	OrderUnknown
)

// OrderTimeout is the longest time after its sending at which an order can take effect.
const OrderTimeout = 10 * time.Second

// Limits are this zone's share of the weight store's limits.
type Limits struct {
	// Rate is the model loads a second.
	Rate float64
	// Parallel is how many model loads may run at once.
	Parallel int
	// Transit is how many adapter loads may run at once.
	Transit int
}

// String names the outcome in log lines.
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
