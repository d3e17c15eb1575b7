package fleetleader

import (
	"maps"
	"sort"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/placer"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

const (
	// storeWindow is the window over which loads from the weight store are counted against LoadsPerS.
	storeWindow = 5 * time.Second // Same as the platform's ceilingWindowS.
	// holderSlotShare is the share of a worker's slots that the requests for one model should take on each worker that
	// has the model loaded.
	holderSlotShare = 0.3
	// stalledMoveAge is how long another zone may leave an expected move undone; after that, plans skip the worker
	// chosen for it for skipTime.
	stalledMoveAge = 300 * time.Millisecond
	skipTime       = 1 * time.Second
)

// refresh updates the demand and the running requests and starts reading the reports
// that are needed, also during the quiet period; the caller holds mu.
func (l *Leader) refresh(now time.Time) {
	l.demand.expire(now)
	for id := range l.demand.takeChangedWorkers() {
		if state, found := l.workers[id]; found {
			l.updateRunning(now, id, state)
		}
	}
	for _, state := range l.workers {
		state.reservedForAdapter = false
		if state.needsReport && state.idle() && !now.Before(state.retryAt) {
			state.readingReport = true
			go l.readReport(l.epoch, state)
		}
	}
}

// plan plans all services that run models and starts the moves and adapter loads of this zone; the caller holds mu.
func (l *Leader) plan(now time.Time, catalog *cataloger.Catalog) {
	for _, service := range catalog.Services() {
		if service.RunsModels() {
			l.planAdapters(now, service)
			l.planService(now, service)
		}
	}
}

// updateRunning updates the running requests of a worker and when its models were last used; the caller holds mu.
func (l *Leader) updateRunning(now time.Time, id string, state *workerState) {
	running := l.demand.running[id]
	for _, models := range []map[string]int{state.running, running} {
		for model := range models {
			if loaded, found := state.loadedModels[model]; found {
				loaded.lastUsedAt = now
			}
		}
	}
	if awaited := state.awaited; awaited.Unload && state.running[awaited.Model] > 0 && running[awaited.Model] == 0 {
		state.signalNews()
	}
	state.running = maps.Clone(running)
	l.markRunningChanged(id)
}

// planService plans the models of one service and starts this zone's moves; the caller holds mu.
func (l *Leader) planService(now time.Time, service *cataloger.Service) {
	fleet := l.dependencies.Workers.Fleet().OfService(service.Name)
	running := l.storeLoadsInProgress(now, service)
	input := placer.Input{
		Models: placerModels(service), Workers: l.placerWorkers(now, service, fleet), Demands: l.demands(now, service),
		Skipped: map[string]bool{}, Limits: placer.Limits{
			AllowedStoreLoads: l.allowedStoreLoads(now, service), MaxConcurrentStoreLoads: l.storeThrottle.limit, StoreLoadsInProgress: running,
			TargetRunsPerHolder: l.runsPerHolder(fleet),
		},
	}
	l.recordUnserved(now, service.Name, input)
	for id, until := range l.skippedUntil {
		if now.Before(until) {
			input.Skipped[id] = true
		} else {
			delete(l.skippedUntil, id)
		}
	}
	decision := placer.Plan(input)
	l.skipStalledWorkers(now, decision.Moves)
	for _, move := range decision.Moves {
		if state := l.workers[move.Worker]; move.Own && state != nil {
			l.startMove(now, state, service, move)
		}
	}
	l.recordExpectedReady(service.Name, decision.Waits)
}

// recordUnserved records since when each model in demand has been loaded nowhere,
// and sets it in the demands of input; the caller holds mu.
func (l *Leader) recordUnserved(now time.Time, service string, input placer.Input) {
	loaded := map[string]bool{}
	for i := range input.Workers {
		for _, unit := range input.Workers[i].Units {
			loaded[unit.Model] = true
		}
	}
	for i := range input.Demands {
		demand := &input.Demands[i]
		key := demandKey{service: service, model: demand.Model}
		if loaded[demand.Model] {
			delete(l.unservedSince, key)
			continue
		}
		since, found := l.unservedSince[key]
		if !found {
			since = now
			l.unservedSince[key] = now
		}
		demand.UnservedMS = float64(now.Sub(since).Milliseconds())
	}
}

// recordExpectedReady records when the models without a move should be loaded. A
// model that was not among them before counts as changed, so that nodes whose
// requests wait for it are notified immediately; the caller holds mu.
func (l *Leader) recordExpectedReady(service string, waits []placer.Wait) {
	previous := l.expectedReadyMS[service]
	expected := make(map[string]float64, len(waits))
	for _, wait := range waits {
		expected[wait.Model] = wait.ReadyMS
		if _, seen := previous[wait.Model]; !seen {
			l.changedModels[wait.Model] = true
			l.hasChanges = true
		}
	}
	l.expectedReadyMS[service] = expected
}

// runsPerHolder returns the number of running requests per holder above which a model should get another holder, a
// worker that has it loaded. All workers of a service are taken to have equally many slots.
func (l *Leader) runsPerHolder(fleet []*registrar.Worker) float64 {
	if len(fleet) == 0 {
		return 1
	}
	return max(float64(fleet[0].Slots)*holderSlotShare, 1)
}

// skipStalledWorkers makes plans skip the workers of other zones whose leaders do
// not execute the moves that this node's plans expect of them. Only moves for
// waiting requests count; the caller holds mu.
func (l *Leader) skipStalledWorkers(now time.Time, moves []placer.Move) {
	expected := map[string]time.Time{}
	for _, move := range moves {
		if move.Own || move.Reason != "waiting" {
			continue
		}
		since, found := l.pendingSince[move.Model]
		if !found {
			since = now
		}
		expected[move.Model] = since
		if now.Sub(since) > stalledMoveAge {
			l.skippedUntil[move.Worker] = now.Add(skipTime)
		}
	}
	l.pendingSince = expected
}

func placerModels(service *cataloger.Service) map[string]placer.Model {
	return lo.MapValues(service.Models, func(model cataloger.Model, name string) placer.Model {
		return placer.Model{Name: name, MemoryMB: model.MemoryMB, TierMS: loadTimesMS(model)}
	})
}

// loadTimesMS returns a model's load time from each tier, in milliseconds, indexed by placer.Tier.
func loadTimesMS(model cataloger.Model) [3]float64 {
	return [3]float64{placer.TierMemory: model.MemoryMS, placer.TierDisk: model.DiskMS, placer.TierStore: model.StoreMS}
}

// placerWorkers describes the workers of a service for the placer, except those of this zone that syncWorkers has not added
// yet; the caller holds mu.
func (l *Leader) placerWorkers(now time.Time, service *cataloger.Service, fleet []*registrar.Worker) []placer.Worker {
	workers := make([]placer.Worker, 0, len(fleet))
	for _, w := range fleet {
		if state, found := l.workers[w.ID]; found {
			workers = append(workers, l.ownPlacerWorker(now, service, state))
		} else if w.Zone != l.dependencies.Zone {
			workers = append(workers, l.otherPlacerWorker(now, service, w))
		}
	}
	return workers
}

// ownPlacerWorker describes a worker of this zone; the caller holds mu.
func (l *Leader) ownPlacerWorker(now time.Time, service *cataloger.Service, state *workerState) placer.Worker {
	worker := placer.Worker{
		ID: state.worker.ID, Own: true, Usable: !state.worker.Leaving, MemoryMB: service.MemoryMB,
		AcceptsOrder: state.idle() && !state.needsReport && !state.reservedForAdapter && !now.Before(state.retryAt), Loading: state.loadingModel,
		InMemory: state.inMemory, OnDisk: state.onDisk, Running: state.totalRunning(), Limited: l.dependencies.Limited(state.worker.ID, state.worker.Incarnation),
	}
	if state.loadingModel != "" {
		worker.BusyMS = float64(max(state.readyAt.Sub(now).Milliseconds(), 0))
	}
	for _, model := range state.modelNames() {
		worker.Units = append(worker.Units, state.placerUnit(now, model, service.Models[model]))
	}
	return worker
}

// otherPlacerWorker describes a worker of another zone from its heartbeat and its leader's views; the caller holds mu.
func (l *Leader) otherPlacerWorker(now time.Time, service *cataloger.Service, w *registrar.Worker) placer.Worker {
	worker := placer.Worker{
		ID: w.ID, Usable: !w.Leaving, MemoryMB: service.MemoryMB, InMemory: w.InMemory, OnDisk: w.OnDisk,
		AcceptsOrder: l.dependencies.Tracker.IsLeaderLive(now, w.Zone), Limited: l.dependencies.Limited(w.ID, w.Incarnation),
	}
	worker.CutOff = !worker.AcceptsOrder
	if announcement := l.dependencies.Tracker.Announcement(w.ID); announcement != nil {
		worker.Running = announcement.Running
		worker.AcceptsOrder = worker.AcceptsOrder && !now.Before(announcement.BusyUntil)
		worker.BusyMS = float64(max(announcement.BusyUntil.Sub(now).Milliseconds(), 0))
	}
	for _, unit := range l.dependencies.Tracker.Units(now, w) {
		if !unit.ReadyAt.IsZero() {
			worker.Loading = unit.Model
			worker.AcceptsOrder = false
			continue
		}
		adapters := float64(len(unit.Adapters) + len(unit.LoadingAdapters))
		worker.Units = append(worker.Units, placer.Unit{Model: unit.Model, Running: unit.Running, IdleMS: otherZoneIdleMS, AdapterMB: adapters * service.Models[unit.Model].AdapterMB})
	}
	sort.Slice(worker.Units, func(i, j int) bool { return worker.Units[i].Model < worker.Units[j].Model })
	return worker
}

// otherZoneIdleMS is the assumed idle time of models in other zones, since views do not contain it.
const otherZoneIdleMS = 1000

// demands sums the demand for the models of a service, sorted by model; demand for an adapter counts for its model.
// The caller holds mu.
func (l *Leader) demands(now time.Time, service *cataloger.Service) []placer.Demand {
	sums := map[string]*placer.Demand{}
	sumOf := func(model string) *placer.Demand {
		sum, found := sums[model]
		if !found {
			sum = &placer.Demand{Model: model}
			sums[model] = sum
		}
		return sum
	}
	for key, r := range l.demand.rates {
		if key.service == service.Name {
			addRate(sumOf(key.model), key, r)
		}
	}
	for key := range l.demand.waiting {
		// Requests that wait for an adapter do not wait for its model if that is loaded.
		if key.service == service.Name && (key.adapter == "" || !l.isLoaded(now, key.service, key.model)) {
			addWaiting(now, sumOf(key.model), l.demand.waitingFor(key))
		}
	}
	for _, w := range l.dependencies.Workers.Fleet().OfService(service.Name) {
		for model, running := range l.demand.running[w.ID] {
			if sum, found := sums[model]; found {
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
	sum.Recent += r.fast
	if key.adapter == "" {
		sum.Refused += r.refused
	}
	if key.adapter != "" {
		sum.AdapterRate += r.slow
	}
}

func addWaiting(now time.Time, sum *placer.Demand, w waitingRequests) {
	dueMS := float64(w.earliestDue.Sub(now).Milliseconds())
	if sum.Waiting == 0 || dueMS < sum.DueMS {
		sum.DueMS = dueMS
	}
	sum.Waiting += w.count
	sum.WaitedMS = max(sum.WaitedMS, float64(now.Sub(w.earliestStart).Milliseconds()))
}

func (l *Leader) isLoaded(now time.Time, service, model string) bool {
	return lo.SomeBy(l.dependencies.Tracker.Holders(now, service, model, ""), func(holder fleettracker.Holder) bool { return holder.ReadyAt.IsZero() })
}

// storeLoadsInProgress counts a service's loads from the weight store that are in progress in all zones, orders of an earlier
// leader that may be such loads included; the caller holds mu.
func (l *Leader) storeLoadsInProgress(now time.Time, service *cataloger.Service) int {
	running := 0
	for _, w := range l.dependencies.Workers.Fleet().OfService(service.Name) {
		if state, found := l.workers[w.ID]; found {
			if state.loadingModel != "" && !state.inMemory[state.loadingModel] && !state.onDisk[state.loadingModel] || state.foundBusy {
				running++
			}
			continue
		}
		for _, unit := range l.dependencies.Tracker.Units(now, w) {
			if !unit.ReadyAt.IsZero() && !w.InMemory[unit.Model] && !w.OnDisk[unit.Model] {
				running++
			}
		}
	}
	return running
}

// allowedStoreLoads returns how many loads from the weight store this zone may
// start now by the service's LoadsPerS, of which each zone has an equal share; it
// may be negative. The caller holds mu.
func (l *Leader) allowedStoreLoads(now time.Time, service *cataloger.Service) int {
	l.storeLoadStarts = lo.Filter(l.storeLoadStarts, func(at time.Time, _ int) bool { return now.Sub(at) < storeWindow })
	zones := lo.Uniq(lo.Map(l.dependencies.Workers.Fleet().OfService(service.Name), func(w *registrar.Worker, _ int) string { return w.Zone }))
	share := service.LoadsPerS * storeWindow.Seconds() / float64(max(len(zones), 1))
	return int(share) - len(l.storeLoadStarts)
}

// startMove starts the goroutine that executes a move. From now on, the victims' memory counts as free and the model's
// as used; the caller holds mu.
func (l *Leader) startMove(now time.Time, state *workerState, service *cataloger.Service, move placer.Move) {
	state.moveActive = true
	for _, victim := range move.Victims {
		delete(state.loadedModels, victim)
	}
	state.loadingModel = move.Model
	state.readyAt = now.Add(time.Duration(move.DurationMS) * time.Millisecond)
	if move.Tier == placer.TierStore {
		l.storeLoadStarts = append(l.storeLoadStarts, now)
	}
	l.markChanged(state.worker.ID, move.Model)
	log.Info().Str("worker", state.worker.ID).Str("model", move.Model).Strs("victims", move.Victims).Str("tier", move.Tier.String()).
		Str("reason", move.Reason).Int("waiting", move.Waiting).Float64("due_ms", move.DueMS).Float64("loss", move.Loss).
		Float64("takes_ms", move.DurationMS).Int64("orders", state.orderCount).Int64("epoch", l.epoch).Msg("load decided")
	l.dependencies.Recorder.Count("loads " + move.Tier.String())
	go l.executeMove(l.epoch, state, service.Models[move.Model], move)
}
