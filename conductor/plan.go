package conductor

import (
	"maps"
	"sort"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/placer"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/viewer"
)

const (
	// storeWindow is the window in which loads from the store are counted against its rate.
	storeWindow = 5 * time.Second // The platform's ceilingWindowS.
	// runsPerHolder is the share of a worker's slots that a model's requests should take at each of its holders.
	runsPerHolder = 0.3
	// passAfter is how long a zone may leave a move undone that it should have made, passTime for how long its worker is passed by then.
	passAfter = 300 * time.Millisecond
	passTime  = 1 * time.Second
)

// refresh brings what is known of demand and workers up to date, also while no
// orders may be given; the caller holds mu.
func (c *Conductor) refresh(now time.Time) {
	c.demand.expire(now)
	for id := range c.demand.takeRan() {
		if known, mine := c.workers[id]; mine {
			c.takeRuns(now, id, known)
		}
	}
	for _, known := range c.workers {
		known.reserved = false
		if known.unsure && known.idle() && !now.Before(known.retryAt) {
			known.reporting = true
			go c.resync(c.epoch, known)
		}
	}
}

// plan decides what to load and starts the moves of this zone; the caller holds mu.
func (c *Conductor) plan(now time.Time, catalog *cataloger.Catalog) {
	for _, service := range catalog.Services() {
		if service.RunsModels() {
			c.planAdapters(now, service)
			c.planService(now, service)
		}
	}
}

// takeRuns takes in that what runs at a worker has changed; the caller holds mu.
func (c *Conductor) takeRuns(now time.Time, id string, known *charge) {
	running := c.demand.running[id]
	for _, models := range []map[string]int{known.running, running} {
		for model := range models {
			if unit, found := known.units[model]; found {
				unit.usedAt = now
			}
		}
	}
	known.running = maps.Clone(running)
	c.touchLoad(id)
}

// planService plans the models of one service; the caller holds mu.
func (c *Conductor) planService(now time.Time, service *cataloger.Service) {
	fleet := c.parts.List.Fleet().Of(service.Name)
	underWay := c.storeLoadsUnderWay(now, service)
	input := placer.Input{
		Models: modelsOf(service), Places: c.places(now, service, fleet), Demands: c.demands(now, service),
		Passed: map[string]bool{}, Limits: placer.Limits{
			StoreLoads: c.storeLoads(now, service, underWay), StoreAtOnce: c.atOnce.limit, StoreUnderWay: underWay,
			RunsPerHolder: c.runsPerHolder(fleet),
		},
	}
	c.markUnserved(now, service.Name, input)
	for id, until := range c.passed {
		if now.Before(until) {
			input.Passed[id] = true
		} else {
			delete(c.passed, id)
		}
	}
	decision := placer.Plan(input)
	c.passIdle(now, decision.Moves)
	for _, move := range decision.Moves {
		if known := c.workers[move.Worker]; move.Mine && known != nil {
			c.startMove(now, known, service, move)
		}
	}
	c.expect(service.Name, decision.Waits)
}

// markUnserved takes in since when each model is asked for but loaded nowhere, and
// tells the plan; the caller holds mu.
func (c *Conductor) markUnserved(now time.Time, service string, input placer.Input) {
	held := map[string]bool{}
	for i := range input.Places {
		for _, unit := range input.Places[i].Units {
			held[unit.Model] = true
		}
	}
	for i := range input.Demands {
		demand := &input.Demands[i]
		key := demandKey{service: service, model: demand.Model}
		if held[demand.Model] {
			delete(c.unserved, key)
			continue
		}
		since, known := c.unserved[key]
		if !known {
			since = now
			c.unserved[key] = now
		}
		demand.UnservedMS = float64(now.Sub(since).Milliseconds())
	}
}

// expect takes in when models that got no move should be ready. Nodes whose
// requests wait for one are told at once the first time; the caller holds mu.
func (c *Conductor) expect(service string, waits []placer.Wait) {
	before := c.waits[service]
	expected := make(map[string]float64, len(waits))
	for _, wait := range waits {
		expected[wait.Model] = wait.EndsMS
		if _, told := before[wait.Model]; !told {
			c.news[wait.Model] = true
			c.changed = true
		}
	}
	c.waits[service] = expected
}

// runsPerHolder returns the load at which a model gets another holder.
func (c *Conductor) runsPerHolder(fleet []*registrar.Worker) float64 {
	if len(fleet) == 0 {
		return 1
	}
	return max(float64(fleet[0].Slots)*runsPerHolder, 1)
}

// passIdle passes by the workers of other zones whose leaders do not make the
// moves that this node's plan expects of them; the caller holds mu.
func (c *Conductor) passIdle(now time.Time, moves []placer.Move) {
	expected := map[string]time.Time{}
	for _, move := range moves {
		if move.Mine || move.Reason != "waiting" {
			continue
		}
		since, known := c.pending[move.Model]
		if !known {
			since = now
		}
		expected[move.Model] = since
		if now.Sub(since) > passAfter {
			c.passed[move.Worker] = now.Add(passTime)
		}
	}
	c.pending = expected
}

func modelsOf(service *cataloger.Service) map[string]placer.Model {
	return lo.MapValues(service.Models, func(model cataloger.Model, name string) placer.Model {
		return placer.Model{Name: name, MemoryMB: model.MemoryMB, TierMS: tierMS(model)}
	})
}

// tierMS returns the time of a model's load from each tier, in milliseconds.
func tierMS(model cataloger.Model) [3]float64 {
	return [3]float64{placer.TierMemory: model.WarmMS, placer.TierDisk: model.DiskMS, placer.TierStore: model.StoreMS}
}

// places describes all workers of a service for the placer; the caller holds mu.
func (c *Conductor) places(now time.Time, service *cataloger.Service, fleet []*registrar.Worker) []placer.Place {
	places := make([]placer.Place, 0, len(fleet))
	for _, w := range fleet {
		if known, mine := c.workers[w.ID]; mine {
			places = append(places, c.ownPlace(now, service, known))
		} else if w.Zone != c.parts.Zone {
			places = append(places, c.otherPlace(now, service, w))
		}
	}
	return places
}

// ownPlace describes a worker that this leader orders; the caller holds mu.
func (c *Conductor) ownPlace(now time.Time, service *cataloger.Service, known *charge) placer.Place {
	place := placer.Place{
		ID: known.worker.ID, Mine: true, Usable: !known.worker.Leaving, MemoryMB: service.MemoryMB,
		Open: known.idle() && !known.unsure && !known.reserved && !now.Before(known.retryAt), Loading: known.loading,
		InMemory: known.inMemory, OnDisk: known.onDisk, Running: known.total(),
	}
	for _, model := range known.models() {
		unit := known.units[model]
		place.Units = append(place.Units, placer.Unit{
			Model: model, Running: known.running[model], IdleMS: known.idleMS(now, model, unit),
			AdapterMB: float64(len(unit.adapters)+len(unit.coming)) * service.Models[model].AdapterMB,
		})
	}
	return place
}

// otherPlace describes a worker of another zone; the caller holds mu.
func (c *Conductor) otherPlace(now time.Time, service *cataloger.Service, w *registrar.Worker) placer.Place {
	place := placer.Place{
		ID: w.ID, Usable: !w.Leaving, MemoryMB: service.MemoryMB, InMemory: w.InMemory, OnDisk: w.OnDisk,
		Open: c.parts.View.Live(now, w.Zone),
	}
	place.CutOff = !place.Open
	if announcement := c.parts.View.Announcement(w.ID); announcement != nil {
		place.Running = announcement.Running
		place.Open = place.Open && !now.Before(announcement.BusyUntil)
	}
	for _, unit := range c.parts.View.Held(now, w) {
		if !unit.ReadyAt.IsZero() {
			place.Loading = unit.Model
			place.Open = false
			continue
		}
		place.Units = append(place.Units, placer.Unit{Model: unit.Model, Running: unit.Running, IdleMS: otherIdleMS})
	}
	sort.Slice(place.Units, func(i, j int) bool { return place.Units[i].Model < place.Units[j].Model })
	return place
}

// otherIdleMS stands for how long a model of another zone has been idle, which is not announced.
const otherIdleMS = 1000

// demands sums the demand for the models of a service; adapters count for their model. The caller holds mu.
func (c *Conductor) demands(now time.Time, service *cataloger.Service) []placer.Demand {
	sums := map[string]*placer.Demand{}
	sumOf := func(model string) *placer.Demand {
		sum, known := sums[model]
		if !known {
			sum = &placer.Demand{Model: model}
			sums[model] = sum
		}
		return sum
	}
	for key, r := range c.demand.rates {
		if key.service == service.Name {
			addRate(sumOf(key.model), key, r)
		}
	}
	for key := range c.demand.waiting {
		// Those that wait for an adapter of a model that is ready do not wait for the model.
		if key.service == service.Name && (key.adapter == "" || !c.isHeld(now, key.service, key.model)) {
			addWaiting(now, sumOf(key.model), c.demand.waitingFor(key))
		}
	}
	for _, w := range c.parts.List.Fleet().Of(service.Name) {
		for model, running := range c.demand.running[w.ID] {
			if sum, known := sums[model]; known {
				sum.Running += running
			}
		}
	}
	demands := make([]placer.Demand, 0, len(sums))
	for _, sum := range sums {
		demands = append(demands, *sum)
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Model < demands[j].Model })
	return demands
}

func addRate(sum *placer.Demand, key demandKey, r *rate) {
	sum.Rate += r.slow
	sum.Recent += r.recent
	if key.adapter == "" {
		sum.Refused += r.refused
	}
	if key.adapter != "" {
		sum.AdapterRate += r.slow
	}
}

func addWaiting(now time.Time, sum *placer.Demand, w waits) {
	dueMS := float64(w.due.Sub(now).Milliseconds())
	if sum.Waiting == 0 || dueMS < sum.DueMS {
		sum.DueMS = dueMS
	}
	sum.Waiting += w.count
	sum.WaitedMS = max(sum.WaitedMS, float64(now.Sub(w.since).Milliseconds()))
}

func (c *Conductor) isHeld(now time.Time, service, model string) bool {
	return lo.SomeBy(c.parts.View.Holders(now, service, model, ""), func(holder viewer.Holder) bool { return holder.ReadyAt.IsZero() })
}

// storeLoadsUnderWay counts the loads from the weight store in all zones; the caller holds mu.
func (c *Conductor) storeLoadsUnderWay(now time.Time, service *cataloger.Service) int {
	underWay := 0
	for _, w := range c.parts.List.Fleet().Of(service.Name) {
		if known, mine := c.workers[w.ID]; mine {
			if known.loading != "" && !known.inMemory[known.loading] && !known.onDisk[known.loading] {
				underWay++
			}
			continue
		}
		for _, unit := range c.parts.View.Held(now, w) {
			if !unit.ReadyAt.IsZero() && !w.InMemory[unit.Model] && !w.OnDisk[unit.Model] {
				underWay++
			}
		}
	}
	return underWay
}

// storeLoads returns how many loads from the weight store this zone may begin
// now; the caller holds mu.
func (c *Conductor) storeLoads(now time.Time, service *cataloger.Service, underWay int) int {
	c.storeStarts = lo.Filter(c.storeStarts, func(at time.Time, _ int) bool { return now.Sub(at) < storeWindow })
	zones := lo.Uniq(lo.Map(c.parts.List.Fleet().Of(service.Name), func(w *registrar.Worker, _ int) string { return w.Zone }))
	share := service.LoadsPerS * storeWindow.Seconds() / float64(max(len(zones), 1))
	return min(c.atOnce.limit-underWay, int(share)-len(c.storeStarts))
}

// startMove begins a move; the caller holds mu.
func (c *Conductor) startMove(now time.Time, known *charge, service *cataloger.Service, move placer.Move) {
	known.swapping = true
	for _, victim := range move.Victims {
		delete(known.units, victim)
	}
	known.loading = move.Model
	known.readyAt = now.Add(time.Duration(move.TakesMS) * time.Millisecond)
	if move.Tier == placer.TierStore {
		c.storeStarts = append(c.storeStarts, now)
	}
	c.touch(known.worker.ID, move.Model)
	log.Info().Str("worker", known.worker.ID).Str("model", move.Model).Strs("victims", move.Victims).Str("tier", move.Tier.String()).
		Str("reason", move.Reason).Int("waiting", move.Waiting).Float64("due_ms", move.DueMS).Float64("loss", move.Loss).
		Float64("takes_ms", move.TakesMS).Int64("orders", known.orders).Int64("epoch", c.epoch).Msg("load decided")
	c.parts.Recorder.Count("loads " + move.Tier.String())
	go c.swap(c.epoch, known, service.Models[move.Model], move)
}
