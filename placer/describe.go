package placer

// Tier is where a copy of a model's weights is stored; the nearest has the lowest value.
type Tier int

// The tiers.
const (
	// TierMemory is the worker's host memory.
	TierMemory Tier = iota
	// TierDisk is the worker's own disk.
	TierDisk
	// TierStore is the weight store; loads from it are slow and their rate is limited.
	TierStore
)

// String returns the tier's name in logs and metrics.
func (t Tier) String() string { return [...]string{"memory", "disk", "store"}[t] }

// Model is a configured model that workers can load.
type Model struct {
	// Name is unique within the service.
	Name string
	// MemoryMB is the size of the weights.
	MemoryMB float64
	// TierMS is the time of a load in milliseconds, by tier.
	TierMS [3]float64
}

// Unit is a model that is loaded in a worker's accelerator memory.
type Unit struct {
	// Model is the model's name.
	Model string
	// Running is how many requests of all nodes run on it.
	Running int
	// AdapterMB is the size of the adapters loaded for it.
	AdapterMB float64
	// IdleMS is the time since a request last ran on it, in milliseconds.
	IdleMS float64
}

// Worker is the state of one worker.
type Worker struct {
	// ID is the worker's name.
	ID string
	// Own is set when the worker takes its orders from this leader.
	Own bool
	// AcceptsOrder is set when the worker can be given an order now.
	AcceptsOrder bool
	// Usable is set when requests may be sent to the worker.
	Usable bool
	// Limited is set when the worker names a limit, so that it may not serve all requests for what it has loaded.
	Limited bool
	// CutOff is set when the worker's zone seems cut off from this leader.
	CutOff bool
	// MemoryMB is the worker's accelerator memory for weights and adapters.
	MemoryMB float64
	// Units are the models that the worker has loaded.
	Units []Unit
	// Loading is the model being loaded, or empty.
	Loading string
	// BusyMS is the expected time until the worker can be given an order, in milliseconds; 0 if it can now, or if the time is unknown.
	BusyMS float64
	// InMemory and OnDisk name the models with a copy in the worker's host memory and on its disk.
	InMemory, OnDisk map[string]bool
	// Running is how many requests of all nodes run on the worker.
	Running int
}

// tier returns the nearest tier from which the worker can load a model.
func (w *Worker) tier(model string) Tier {
	switch {
	case w.InMemory[model]:
		return TierMemory
	case w.OnDisk[model]:
		return TierDisk
	default:
		return TierStore
	}
}

// Demand is the demand of all callers for one model.
type Demand struct {
	Model string
	// Waiting is how many requests wait because no holder can run them, WaitedMS how many milliseconds the
	// first of them has waited.
	Waiting  int
	WaitedMS float64
	// DueMS is the time until the first of them becomes late, in milliseconds; negative when one is late already.
	DueMS float64
	// Rate is the number of requests a second, averaged over a few seconds; Recent is averaged over about one.
	Rate, Recent float64
	// Running is how many requests for the model run on all workers.
	Running int
	// AdapterRate is the part of Rate that is for adapters of the model.
	AdapterRate float64
	// Refused is a decaying count of the requests refused because the model was loaded nowhere or its holders were full; callers may retry them.
	Refused float64
	// UnservedMS is for how many milliseconds the model has been requested while it was loaded nowhere.
	UnservedMS float64
}

// isRequested reports whether requests wait for the model or are likely to be retried.
func (d *Demand) isRequested() bool { return d.Waiting > 0 || d.Refused >= minRefused }

// minRefused is the count of refused requests from which a model is loaded for their retries.
const minRefused = 0.3

// Limits bound the loads of a plan.
type Limits struct {
	// AllowedStoreLoads is how many more loads from the weight store this leader may start now.
	AllowedStoreLoads int
	// MaxConcurrentStoreLoads is how many loads from the weight store may be in progress concurrently in
	// all zones, StoreLoadsInProgress how many are in progress now.
	MaxConcurrentStoreLoads, StoreLoadsInProgress int
	// TargetRunsPerHolder is the target load of a holder, in running requests; a model above it gets another holder.
	TargetRunsPerHolder float64
}

// Input is the state that a plan is computed from.
type Input struct {
	Workers []Worker
	// Models holds the configured models by name.
	Models map[string]Model
	// Demands may name models that are not configured; these are ignored.
	Demands []Demand
	Limits  Limits
	// Skipped holds the IDs of workers to skip because their zone's leader did not execute an expected move.
	Skipped map[string]bool
}

// Move is a load of a model on a worker, and the models to unload for it.
type Move struct {
	// Worker is the ID of the worker that loads Model.
	Worker, Model string
	// Victims names the models to unload before the load.
	Victims []string
	// Tier is where the weights are loaded from, DurationMS the expected time of the unloads and the load in milliseconds.
	Tier       Tier
	DurationMS float64
	// LoadMS is the part of DurationMS that the load itself takes.
	LoadMS float64
	// StoreLoadsInProgress is how many loads from the weight store were in progress or planned before this one; 0 for other
	// tiers.
	StoreLoadsInProgress int
	// Own is set when this leader executes the move.
	Own bool
	// Reason is "waiting", "replica" or "fill".
	Reason string
	// DueMS and Waiting are those of the Demand; Loss is the expected loss caused by the unloads, in requests answered late.
	DueMS   float64
	Waiting int
	Loss    float64
}

// Wait is the estimate of when a model that requests wait for, but that has no move in the plan, is loaded.
type Wait struct {
	// Model has no reachable holder and is not being loaded.
	Model string
	// ReadyMS is the time until the model is loaded, in milliseconds, if nothing more urgent arrives.
	ReadyMS float64
}

// Decision is the result of a plan.
type Decision struct {
	// Moves are to be started now, the most urgent first.
	Moves []Move
	// Waits are in the order in which the models are likely to be loaded.
	Waits []Wait
}

func hasLoaded(worker *Worker, model string) bool {
	for _, unit := range worker.Units {
		if unit.Model == model {
			return true
		}
	}
	return false
}
