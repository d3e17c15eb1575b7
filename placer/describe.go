package placer

// Tier is where a copy of a model's weights lies, from near to far.
type Tier int

// The tiers.
const (
	// TierMemory is the worker's host memory.
	TierMemory Tier = iota
	// TierDisk is the worker's own disk.
	TierDisk
	// TierStore is the weight store, whose loads are few and slow.
	TierStore
)

// String returns the tier's name in logs and metrics.
func (t Tier) String() string { return [...]string{"memory", "disk", "store"}[t] }

// Model is what can be loaded.
type Model struct {
	// Name is unique.
	Name string
	// MemoryMB is the size of the weights.
	MemoryMB float64
	// TierMS is the time of a load from each tier in milliseconds.
	TierMS [3]float64
}

// Unit is a model in a worker's memory.
type Unit struct {
	// Model is the model's name.
	Model string
	// Running is how many requests all nodes have there for it.
	Running int
	// AdapterMB is the size of the adapters loaded on it.
	AdapterMB float64
	// IdleMS is for how long no request ran there.
	IdleMS float64
}

// Place is one worker.
type Place struct {
	// ID is the worker's name.
	ID string
	// Mine is set when this leader orders the worker.
	Mine bool
	// Open is set when an order may be given now.
	Open bool
	// Usable is set when requests may go there.
	Usable bool
	// CutOff is set when the place's zone seems cut off from this leader.
	CutOff bool
	// MemoryMB is the worker's memory for weights and adapters.
	MemoryMB float64
	// Units are the models ready there.
	Units []Unit
	// Loading is the model being loaded, or empty.
	Loading string
	// InMemory and OnDisk name the copies outside the accelerators.
	InMemory, OnDisk map[string]bool
	// Running is how many requests all nodes have there.
	Running int
}

// tier returns where the nearest copy of a model lies for a place.
func (p *Place) tier(model string) Tier {
	switch {
	case p.InMemory[model]:
		return TierMemory
	case p.OnDisk[model]:
		return TierDisk
	default:
		return TierStore
	}
}

// Demand is what callers ask of one model.
type Demand struct {
	Model string
	// Waiting is how many requests wait because it is loaded nowhere they can use, WaitedMS for how many
	// milliseconds the first of them has waited.
	Waiting  int
	WaitedMS float64
	// DueMS is in how many milliseconds the first of them is late; negative when it is late already.
	DueMS float64
	// Rate is the requests a second with a memory of a few seconds, Recent with a memory of about one.
	Rate, Recent float64
	// Running is how many requests run.
	Running int
	// AdapterRate is the part of Rate that names adapters.
	AdapterRate float64
	// Refused is how many requests were refused lately because it is loaded nowhere; they may come back.
	Refused float64
	// UnservedMS is for how many milliseconds it has been asked for without being loaded anywhere.
	UnservedMS float64
}

// isWanted reports whether callers would use the model if it were loaded.
func (d *Demand) isWanted() bool { return d.Waiting > 0 || d.Refused >= refusedWanted }

// refusedWanted is the count of refused requests from which a model is loaded for those that come back.
const refusedWanted = 0.3

// Limits bound a plan.
type Limits struct {
	// StoreLoads is how many more loads from the weight store may begin now, at this leader's workers.
	StoreLoads int
	// StoreAtOnce is how many may be under way over all zones, StoreUnderWay how many are.
	StoreAtOnce, StoreUnderWay int
	// RunsPerHolder is the load at which a model gets another holder.
	RunsPerHolder float64
}

// Input is what a plan is made from.
type Input struct {
	Places []Place
	// Models maps names to models.
	Models map[string]Model
	// Demands may hold models that are not configured; these are passed over.
	Demands []Demand
	Limits  Limits
	// Passed names places in other zones that did not act on an earlier plan.
	Passed map[string]bool
}

// Move is a load at a worker and the models that make way for it.
type Move struct {
	// Worker and Model name what is loaded where.
	Worker, Model string
	// Victims are unloaded first.
	Victims []string
	// Tier is where the weights come from, TakesMS the expected time of unloads and load.
	Tier    Tier
	TakesMS float64
	// StoreUnderWay is how many loads from the weight store were under way before.
	StoreUnderWay int
	// Mine is set when this leader carries the move out.
	Mine bool
	// Reason is "waiting", "replica" or "fill".
	Reason string
	// DueMS and Waiting are those of the demand; Loss is the expected loss by the victims.
	DueMS   float64
	Waiting int
	Loss    float64
}

// Wait says when a model that callers wait for, but that got no move, should be ready.
type Wait struct {
	// Model is loaded nowhere and not on its way.
	Model string
	// EndsMS is in how many milliseconds, if nothing more urgent comes.
	EndsMS float64
}

// Decision is what a plan came to.
type Decision struct {
	// Moves are to be made now, the most urgent first.
	Moves []Move
	// Waits are in the order in which the models are likely to be loaded.
	Waits []Wait
}

func holds(place *Place, model string) bool {
	for _, unit := range place.Units {
		if unit.Model == model {
			return true
		}
	}
	return false
}
