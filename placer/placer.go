// Package placer decides which worker loads which model, and what makes way
// for it, from the demand of all nodes and the state of all workers.
//
// Every zone's leader plans for all zones with the same rules, and carries out
// only the moves of its own workers; so zones agree without asking each other.
// The package holds no clock and does no I/O: a Plan is a function of its input.
package placer

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

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
	// ID is the worker's name, Zone where it is.
	ID, Zone string
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
	// Penalty is from 0 to 1, for a worker that fails or is slow.
	Penalty float64
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

// freeMB returns the memory that no unit uses.
func (p *Place) freeMB() float64 {
	free := p.MemoryMB
	for i := range p.Units {
		free -= p.Units[i].AdapterMB
	}
	return free
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
}

// Limits bound a plan.
type Limits struct {
	// StoreLoads is how many more loads from the weight store may begin now, at this leader's workers.
	StoreLoads int
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
	// Mine is set when this leader carries the move out.
	Mine bool
	// Reason is "waiting", "replica" or "fill".
	Reason string
	// DueMS and Waiting are those of the demand; Loss is the expected loss by the victims.
	DueMS   float64
	Waiting int
	Loss    float64
}

// Weights of the costs. A cost of 1 is one request that is answered late.
const (
	// unloadMS is the time of an unload without runs, by trials on both sites.
	unloadMS = 100
	// drainMS is the time that running requests of a victim take to end.
	drainMS = 500
	// horizonS is for how long the loss of the last holder counts, in seconds; it is about the time until the model could be back.
	horizonS = 2.5
	// lastHolderFloor is the least loss of a model's last holder, so that spare replicas go first.
	lastHolderFloor = 0.05
	// freshMS is the age of the last use below which a model is likely to be asked for again at once.
	freshMS = 400
	// freshLoss is the loss added for such a model.
	freshLoss = 0.5
	// runningLoss is the loss for each request that runs on a victim.
	runningLoss = 0.2
	// waitLoss is the loss for each second that one waiting request waits longer.
	waitLoss = 0.25
	// maxLoss is the loss above which a waiting model is not worth its victims.
	maxLoss = 3.0
	// replicaMaxLoss is the same for a replica.
	replicaMaxLoss = 1.0
	// overfull is how far above the wanted load the remaining holders of a victim may get.
	overfull = 1.3
	// storeWaitMS is how much longer a load from the weight store is taken to last, since several slow each other.
	storeWaitMS = 1500
)

// state is a plan in the making.
type state struct {
	input   Input
	demands map[string]*Demand
	// holders counts the usable places where a model is ready, coming those where it is being loaded.
	holders, coming map[string]int
	// reached counts the holders in zones that do not seem cut off.
	reached map[string]int
	// taken marks the places that already have a move in this plan.
	taken      map[string]bool
	storeLoads int
	moves      []Move
}

// Plan returns the moves to make now, in the order of their urgency.
func Plan(input Input) []Move {
	s := &state{
		input: input, demands: map[string]*Demand{}, holders: map[string]int{}, coming: map[string]int{}, reached: map[string]int{}, taken: map[string]bool{},
		storeLoads: input.Limits.StoreLoads,
	}
	for i := range input.Demands {
		s.demands[input.Demands[i].Model] = &input.Demands[i]
	}
	s.count()
	for _, want := range s.wants() {
		s.place(want)
	}
	s.fill()
	return s.moves
}

const (
	// fillRate is the least rate in requests a second at which a model is loaded into free memory unasked.
	fillRate = 0.02
	// fillStoreLoads is how many loads from the weight store must be free for one that nobody waits for.
	fillStoreLoads = 2
)

// fill loads models into memory that nothing uses, as after a restart or on a
// new worker: first those that have no holder, then the busiest ones.
func (s *state) fill() {
	for i := range s.input.Places {
		place := &s.input.Places[i]
		if !place.Open || !place.Usable || s.taken[place.ID] || s.input.Passed[place.ID] || place.Penalty >= 1 {
			continue
		}
		free := place.freeMB()
		for _, unit := range place.Units {
			free -= s.input.Models[unit.Model].MemoryMB
		}
		if demand := s.fillDemand(place, free); demand != nil {
			s.fillPlace(place, demand)
		}
	}
}

// fillDemand returns the demand for the model that should fill a place, or nil.
func (s *state) fillDemand(place *Place, free float64) *Demand {
	var best *Demand
	bestValue := 0.0
	for i := range s.input.Demands {
		demand := &s.input.Demands[i]
		model, known := s.input.Models[demand.Model]
		if !known || demand.Rate < fillRate || model.MemoryMB > free || holds(place, demand.Model) || place.Loading == demand.Model {
			continue
		}
		held := s.holders[demand.Model] + s.coming[demand.Model]
		if place.tier(demand.Model) == TierStore && !s.mayFillFromStore(place, demand, held) {
			continue
		}
		value := demand.Rate / float64(1+held*held)
		if best == nil || value > bestValue {
			best, bestValue = demand, value
		}
	}
	return best
}

// mayFillFromStore reports whether a model may be loaded from the weight store
// unasked: a busy one with at most one holder, while the store is idle.
func (s *state) mayFillFromStore(place *Place, demand *Demand, held int) bool {
	if place.Mine && s.storeLoads < fillStoreLoads {
		return false
	}
	return held <= 1 && demand.Rate*valueS >= hotValue
}

// fillPlace adds the move that fills a place.
func (s *state) fillPlace(place *Place, demand *Demand) {
	model := s.input.Models[demand.Model]
	tier := place.tier(demand.Model)
	if tier == TierStore && place.Mine {
		s.storeLoads--
	}
	s.taken[place.ID] = true
	s.coming[demand.Model]++
	s.moves = append(s.moves, Move{
		Worker: place.ID, Model: demand.Model, Tier: tier, TakesMS: model.TierMS[tier], Mine: place.Mine, Reason: "fill",
		DueMS: demand.DueMS, Waiting: demand.Waiting,
	})
}

// count counts the holders of every model.
func (s *state) count() {
	for i := range s.input.Places {
		place := &s.input.Places[i]
		if !place.Usable {
			continue
		}
		for _, unit := range place.Units {
			s.holders[unit.Model]++
			if !place.CutOff {
				s.reached[unit.Model]++
			}
		}
		if place.Loading != "" {
			s.coming[place.Loading]++
		}
	}
}

// want is a model that should have one more holder.
type want struct {
	demand *Demand
	model  Model
	// replica is set when the model has holders already.
	replica bool
	// pressure orders replicas: the load of each holder as a share of the wanted one.
	pressure float64
}

// wants returns what should be loaded, most urgent first: models that are
// overloaded, then waiting ones that can still be in time, then the rest.
func (s *state) wants() []want {
	var wants []want
	for i := range s.input.Demands {
		demand := &s.input.Demands[i]
		model, known := s.input.Models[demand.Model]
		if !known {
			continue
		}
		held := s.holders[demand.Model] + s.coming[demand.Model]
		if held == 0 {
			if demand.Waiting > 0 {
				wants = append(wants, want{demand: demand, model: model})
			}
			continue
		}
		if demand.Waiting > 0 && demand.WaitedMS > unreachedMS && s.reached[demand.Model]+s.coming[demand.Model] == 0 {
			wants = append(wants, want{demand: demand, model: model})
			continue
		}
		if pressure := s.pressure(demand, held); pressure > 1 {
			wants = append(wants, want{demand: demand, model: model, replica: true, pressure: pressure})
		}
	}
	sort.SliceStable(wants, func(i, j int) bool { return wants[i].before(&wants[j]) })
	return wants
}

// unreachedMS is how long requests must wait beside a holder, in milliseconds, before another is loaded for them.
const unreachedMS = 300

// before orders wants by their urgency.
func (w *want) before(other *want) bool {
	if rank, otherRank := w.rank(), other.rank(); rank != otherRank {
		return rank < otherRank
	}
	if w.rank() != rankTimely {
		if value, otherValue := w.value(), other.value(); value != otherValue {
			return value > otherValue
		}
	}
	if w.demand.DueMS != other.demand.DueMS {
		return w.demand.DueMS < other.demand.DueMS
	}
	return w.demand.Model < other.demand.Model
}

// Ranks of wants, most urgent first.
const (
	// rankHot is for models that many callers need: busy ones that are loaded nowhere, or overloaded.
	rankHot = iota
	// rankTimely is for waiting models that can still be in time.
	rankTimely
	// rankReplica is for other replicas.
	rankReplica
	// rankLate is for waiting models that are late.
	rankLate
)

const (
	// overloaded is the pressure from which a replica is hot.
	overloaded = 2
	// hotValue is the value from which a model that is loaded nowhere is hot, in requests answered in time.
	hotValue = 6
	// lateShare is what a late answer is worth, as a share of one in time.
	lateShare = 0.15
	// valueS is for how long the requests to come count, in seconds.
	valueS = 2.5
)

// value returns how many requests a move would serve in time.
func (w *want) value() float64 {
	if w.replica {
		return w.pressure * (w.demand.Rate + w.demand.Recent) / 2
	}
	waiting := float64(w.demand.Waiting)
	if !w.timely() {
		waiting *= lateShare
	}
	return waiting + w.demand.Rate*valueS
}

// timely reports whether the first waiting request can still be in time.
func (w *want) timely() bool { return w.demand.DueMS >= w.model.TierMS[TierMemory] }

func (w *want) rank() int {
	switch {
	case w.replica && w.pressure > overloaded, !w.replica && w.value() >= hotValue:
		return rankHot
	case w.replica:
		return rankReplica
	case w.timely():
		return rankTimely
	default:
		return rankLate
	}
}

// Forecast of the load of a model.
const (
	// forecastS is how far a rising rate is extended, in seconds; about the time of a swap.
	forecastS = 1.5
	// runS is how long a request runs when nothing is known of the model's runs, in seconds.
	runS = 0.4
	// rateMemoryS is the difference of the memories of Rate and Recent, in seconds.
	rateMemoryS = 4.0
)

// pressure returns the expected load of each holder as a share of the wanted one.
func (s *state) pressure(demand *Demand, held int) float64 {
	rising := max(demand.Recent-demand.Rate, 0) / rateMemoryS * forecastS
	expected := demand.Recent + rising
	perRequest := runS
	if demand.Rate > 1 && demand.Running > 0 {
		perRequest = min(max(float64(demand.Running)/demand.Rate, runS/2), 4*runS)
	}
	load := max(float64(demand.Running+demand.Waiting), expected*perRequest)
	return load / (float64(held) * s.input.Limits.RunsPerHolder)
}

// place finds the cheapest place for a want and adds the move.
func (s *state) place(w want) {
	var best *Move
	bestCost := math.Inf(1)
	for i := range s.input.Places {
		place := &s.input.Places[i]
		if !s.mayLoad(place, w) {
			continue
		}
		move, cost, possible := s.cost(place, w)
		if possible && (cost < bestCost || cost == bestCost && tieBreak(place.ID, w.model.Name) < tieBreak(best.Worker, w.model.Name)) {
			best, bestCost = &move, cost
		}
	}
	if best == nil {
		return
	}
	if best.Tier == TierStore && best.Mine {
		s.storeLoads--
	}
	s.taken[best.Worker] = true
	s.coming[best.Model]++
	for _, victim := range best.Victims {
		s.holders[victim]--
	}
	s.moves = append(s.moves, *best)
}

// tieBreak orders places of equal cost differently for each model.
func tieBreak(place, model string) uint64 { return xxhash.Sum64String(place + "\x00" + model) }

// mayLoad reports whether a place can take a load of the wanted model now.
func (s *state) mayLoad(place *Place, w want) bool {
	if !place.Open || !place.Usable || s.taken[place.ID] || s.input.Passed[place.ID] || place.Penalty >= 1 {
		return false
	}
	for _, unit := range place.Units {
		if unit.Model == w.model.Name {
			return false
		}
	}
	return place.tier(w.model.Name) != TierStore || s.mayUseStore(place, w)
}

// mayUseStore reports whether a load from the weight store may begin: only for
// models without a copy at any usable worker.
func (s *state) mayUseStore(place *Place, w want) bool {
	if place.Mine && s.storeLoads <= 0 {
		return false
	}
	for i := range s.input.Places {
		other := &s.input.Places[i]
		if other.Usable && other.tier(w.model.Name) != TierStore && !holds(other, w.model.Name) {
			return false
		}
	}
	return !w.replica || w.pressure > overloaded
}

func holds(place *Place, model string) bool {
	for _, unit := range place.Units {
		if unit.Model == model {
			return true
		}
	}
	return false
}

// cost returns the move for a want at a place, and what it costs.
func (s *state) cost(place *Place, w want) (Move, float64, bool) {
	tier := place.tier(w.model.Name)
	move := Move{
		Worker: place.ID, Model: w.model.Name, Tier: tier, TakesMS: w.model.TierMS[tier], Mine: place.Mine,
		Reason: "waiting", DueMS: w.demand.DueMS, Waiting: w.demand.Waiting,
	}
	if w.replica {
		move.Reason = "replica"
	}
	if tier == TierStore {
		move.TakesMS += storeWaitMS
	}
	victims, loss, drains, possible := s.victims(place, w.model.MemoryMB)
	if !possible {
		return move, 0, false
	}
	limit := maxLoss
	if w.replica {
		limit = replicaMaxLoss * min(w.pressure, maxLoss)
	}
	if loss > limit {
		return move, 0, false
	}
	move.Victims, move.Loss = victims, loss
	if len(victims) > 0 {
		move.TakesMS += unloadMS
	}
	if drains {
		move.TakesMS += drainMS
	}
	waiters := float64(max(w.demand.Waiting, 1))
	cost := loss + waitLoss*waiters*move.TakesMS/1000 + place.Penalty + float64(place.Running)*crowdLoss + s.blocked(place)*move.TakesMS/1000
	return move, cost, true
}

// blockedLoss is the cost of each request for an adapter that comes while a
// worker loads a model, since it takes one order at a time.
const blockedLoss = 0.1

// blocked returns what each second of a load at a place costs by adapters that cannot be loaded meanwhile.
func (s *state) blocked(place *Place) float64 {
	cost := 0.0
	for _, unit := range place.Units {
		if demand := s.demands[unit.Model]; demand != nil {
			cost += demand.AdapterRate * blockedLoss / float64(max(s.holders[unit.Model], 1))
		}
	}
	return cost
}

// crowdLoss is the cost of each request that runs at a place, whose batch the new model shares.
const crowdLoss = 0.004

// victims returns the cheapest models to unload so that the memory fits.
func (s *state) victims(place *Place, neededMB float64) (names []string, loss float64, drains, possible bool) {
	free := place.freeMB()
	type candidate struct {
		unit Unit
		loss float64
	}
	candidates := make([]candidate, 0, len(place.Units))
	for _, unit := range place.Units {
		free -= s.input.Models[unit.Model].MemoryMB
		if unitLoss, allowed := s.loss(unit); allowed {
			candidates = append(candidates, candidate{unit, unitLoss})
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].loss < candidates[j].loss })
	for _, next := range candidates {
		if free >= neededMB {
			break
		}
		free += s.input.Models[next.unit.Model].MemoryMB + next.unit.AdapterMB
		names = append(names, next.unit.Model)
		loss += next.loss
		drains = drains || next.unit.Running > 0
	}
	return names, loss, drains, free >= neededMB
}

// loss returns what it costs to unload a unit; a model that callers wait for is never unloaded.
func (s *state) loss(unit Unit) (float64, bool) {
	demand := s.demands[unit.Model]
	if demand == nil {
		return 0, true
	}
	loss := float64(unit.Running) * runningLoss
	others := s.holders[unit.Model] - 1
	if others > 0 {
		remaining := s.pressure(demand, others)
		if remaining > overfull {
			loss += remaining
		}
		return loss + demand.Rate*spareLoss/float64(others), demand.Waiting == 0
	}
	if unit.IdleMS < freshMS && demand.Rate > 0 {
		loss += freshLoss
	}
	return loss + lastHolderFloor + demand.Rate*horizonS, demand.Waiting == 0
}

// spareLoss weighs the requests of a model that has other holders.
const spareLoss = 0.01
