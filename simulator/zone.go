package simulator

import (
	"container/heap"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/arrivalgenerator"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/enginestandin"
	"github.com/acaciaproxy/acaciaproxy/leader"
	"github.com/acaciaproxy/acaciaproxy/planner"
)

// event is an action at a simulated time. Events at the same time run in the
// order of their sequence numbers.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

// engine simulates one worker.
type engine struct {
	spec planner.WorkerSpec
	// units holds the units that are loaded or loading, and whether each is ready.
	units map[string]bool
	// runningByUnit counts the running requests of each unit.
	runningByUnit map[string]int
	// cache gives the tier from which a unit that was loaded before is loaded again.
	cache enginestandin.Cache
	// orderIDs holds the ids of the most recently accepted orders, which each report lists.
	orderIDs []string
	// sequence counts the reports to the planner, running the running requests.
	sequence int64
	running  int
	// accountedUntil is the time up to which the engine's accelerator time is in the result.
	accountedUntil time.Time
}

// zone is one availability zone with its planner.
type zone struct {
	simulation *simulation
	planner    *planner.Planner
	engines    map[string]*engine
	// engineIDs holds the keys of engines in sorted order.
	engineIDs []string
	// waiting holds the requests that wait for each unit, in the order of their arrival.
	waiting map[string][]*waitingRequest
}

// Run simulates the load of a configuration under a policy and returns the result.
func Run(options Options) Result {
	s := &simulation{options: options, started: time.Unix(1_000_000, 0), usedSinceLoad: map[string]bool{}, unloadedAt: map[string]time.Time{}}
	s.now = s.started
	s.build()
	load := arrivalgenerator.New(options.Configuration, arrivalgenerator.Options{
		Seed: options.Seed, Rate: options.Rate, Nodes: 8 * len(s.zones), StartOfDay: 6 * time.Hour,
	})
	s.scheduleArrival(load)
	for _, z := range s.zones {
		s.scheduleEvery(stepInterval, z.step)
	}
	end := s.started.Add(options.Length)
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		if next.at.After(end) {
			break
		}
		s.now = next.at
		next.action()
	}
	s.now = end
	return s.finish()
}

// addEngines creates an engine for each worker of the zone that runs models, and
// passes the workers to the planner.
func (z *zone) addEngines(configuration *configreader.Configuration, name string) {
	var specs []planner.WorkerSpec
	for _, group := range configuration.WorkerGroups() {
		if group.Zone() != name || !group.RunsModels() {
			continue
		}
		for number := range group.Count() {
			spec := planner.WorkerSpec{
				ID: fmt.Sprintf("%s-%d", group.Name(), number), Memory: group.Memory(), Fencing: group.Fencing(), Slots: group.Slots(), Accelerators: group.Accelerators(),
			}
			specs = append(specs, spec)
			z.engines[spec.ID] = &engine{spec: spec, units: map[string]bool{}, runningByUnit: map[string]int{}, accountedUntil: z.simulation.now}
			z.engineIDs = append(z.engineIDs, spec.ID)
		}
	}
	sort.Strings(z.engineIDs)
	z.planner.SetWorkers(specs)
	for _, id := range z.engineIDs {
		z.planner.Adopt(z.simulation.now, id, planner.Row{}, 0, 0)
	}
	z.executeActions()
	for _, id := range z.engineIDs {
		z.sendReport(z.engines[id])
	}
}

// recordUse reports to the zone's planner that a request used a unit, and with it the
// unit's base.
func (z *zone) recordUse(unit string) {
	configuration := z.simulation.options.Configuration
	spec, _ := leader.UnitSpec(configuration, unit)
	if base, found := leader.UnitSpec(configuration, spec.Base); found {
		z.planner.RecordUse(base, z.simulation.now, 1)
	}
	z.planner.RecordUse(spec, z.simulation.now, 1)
}

// readyEngine returns the engine with the fewest running requests among those that
// have a unit ready, or nil when there is none.
func (z *zone) readyEngine(unit string) *engine {
	var chosen *engine
	for _, id := range z.engineIDs {
		e := z.engines[id]
		if e.units[unit] && (chosen == nil || e.running < chosen.running) {
			chosen = e
		}
	}
	return chosen
}

// startRequest starts a request at an engine and schedules its end.
func (z *zone) startRequest(chosen *engine, w *waitingRequest) {
	s := z.simulation
	base, _, _ := strings.Cut(w.unit, "/")
	s.usedSinceLoad[chosen.spec.ID+w.unit] = true
	s.usedSinceLoad[chosen.spec.ID+base] = true
	if s.measured() && s.now.After(w.arrivedAt) {
		s.result.ColdStarts++
		s.coldWaits = append(s.coldWaits, s.now.Sub(w.arrivedAt).Seconds())
		if !w.estimatedReady.IsZero() {
			s.estimateErrors = append(s.estimateErrors, math.Abs(s.now.Sub(w.estimatedReady).Seconds()))
		}
	}
	z.updateEngine(chosen, func() { chosen.running++; chosen.runningByUnit[w.unit]++ })
	z.sendReport(chosen)
	duration := firstTokenDelay + time.Duration(w.arrival.Tokens)*tokenInterval
	s.schedule(s.now.Add(duration), func() {
		z.updateEngine(chosen, func() { chosen.running--; chosen.runningByUnit[w.unit]-- })
		z.sendReport(chosen)
	})
}

// askPlanner asks the planner for a request's unit. It asks again after each
// askInterval until the request is served or refused.
func (z *zone) askPlanner(w *waitingRequest) {
	s := z.simulation
	if !z.isWaiting(w) {
		return
	}
	spec, _ := leader.UnitSpec(s.options.Configuration, w.unit)
	if base, found := leader.UnitSpec(s.options.Configuration, spec.Base); found {
		z.planner.AddDemand(s.now, base, w.deadline, 1)
	}
	z.planner.AddDemand(s.now, spec, w.deadline, 1)
	verdict := z.planner.Ask(s.now, w.unit, "", w.deadline)
	if verdict.Kind == planner.VerdictRefuse {
		z.removeWaiting(w)
		if s.measured() && s.now.After(w.arrivedAt) {
			s.result.RefusedLater++
		} else if s.measured() {
			s.result.Refused++
		}
		return
	}
	if w.estimatedReady.IsZero() {
		w.estimatedReady = verdict.RetryAt
	}
	z.step()
	s.schedule(s.now.Add(askInterval), func() { z.askPlanner(w) })
}

func (z *zone) isWaiting(w *waitingRequest) bool {
	for _, other := range z.waiting[w.unit] {
		if other == w {
			return true
		}
	}
	return false
}

func (z *zone) removeWaiting(w *waitingRequest) {
	remaining := z.waiting[w.unit][:0]
	for _, other := range z.waiting[w.unit] {
		if other != w {
			remaining = append(remaining, other)
		}
	}
	z.waiting[w.unit] = remaining
}

// step lets the planner decide and executes its actions.
func (z *zone) step() {
	z.planner.Tick(z.simulation.now)
	z.executeActions()
}

// executeActions executes the planner's actions until there are none left. Writes
// of rows succeed immediately.
func (z *zone) executeActions() {
	for {
		actions := z.planner.Actions()
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			if action.Persist != nil {
				z.planner.RecordPersisted(action.Worker, action.Persist.Sequence, action.Version+1)
				continue
			}
			z.executeOrder(*action.Order)
		}
	}
}

// executeOrder executes the planner's order to an engine and reports the outcome.
func (z *zone) executeOrder(order planner.Order) {
	e := z.engines[order.Worker]
	outcome := planner.OrderAccepted
	switch order.Verb {
	case planner.VerbLoad:
		z.startLoad(e, order)
	case planner.VerbUnload:
		if e.runningByUnit[order.Unit] > 0 {
			outcome = planner.OrderRefused
			break
		}
		z.unload(e, order.Unit)
	}
	if outcome == planner.OrderAccepted {
		e.orderIDs = append(e.orderIDs, order.ID)
		e.orderIDs = e.orderIDs[max(len(e.orderIDs)-64, 0):]
	}
	z.planner.RecordOutcome(z.simulation.now, order, outcome)
	z.sendReport(e)
}

// startLoad starts the load of a unit and schedules its end.
func (z *zone) startLoad(e *engine, order planner.Order) {
	s := z.simulation
	if s.measured() {
		s.result.Loads++
		if s.now.Sub(s.unloadedAt[z.unloadKey(order.Unit)]) < time.Minute {
			s.result.EarlyReloads++
		}
	}
	s.usedSinceLoad[e.spec.ID+order.Unit] = false
	z.updateEngine(e, func() { e.units[order.Unit] = false })
	seconds := float64(order.LoadMS) / 1000
	fromStore := false
	switch {
	case order.Adapter:
		seconds = adapterLoadSeconds
	case e.cache.Tier(order.Unit) == enginestandin.TierMemory:
		seconds *= enginestandin.MemoryTierLoadFraction
	case e.cache.Tier(order.Unit) == enginestandin.TierDisk:
		seconds *= enginestandin.DiskTierLoadFraction
	default:
		fromStore = true
		s.storeLoads++
		seconds *= max(1, float64(s.storeLoads)/float64(s.maxStoreLoads))
	}
	s.schedule(s.now.Add(time.Duration(seconds*float64(time.Second))), func() {
		if fromStore {
			s.storeLoads--
		}
		e.units[order.Unit] = true
		z.sendReport(e)
		z.serveWaiting(order.Unit)
		z.step()
	})
}

// unloadKey returns the key of a unit in simulation.unloadedAt. The id of the zone's
// first engine stands for the zone.
func (z *zone) unloadKey(unit string) string { return z.engineIDs[0] + unit }

// serveWaiting starts the requests that wait for a unit; those that no engine can
// serve keep waiting.
func (z *zone) serveWaiting(unit string) {
	queue := z.waiting[unit]
	z.waiting[unit] = nil
	for _, w := range queue {
		if !z.simulation.tryServe(w) {
			z.waiting[unit] = append(z.waiting[unit], w)
		}
	}
}

func (z *zone) unload(e *engine, unit string) {
	s := z.simulation
	if _, loaded := e.units[unit]; !loaded {
		return
	}
	if used, known := s.usedSinceLoad[e.spec.ID+unit]; known && !used && s.measured() {
		s.result.UnusedLoads++
	}
	s.unloadedAt[z.unloadKey(unit)] = s.now
	z.updateEngine(e, func() { delete(e.units, unit) })
	e.cache.AddUnloaded(unit)
}

// updateEngine updates an engine after adding its accelerator time up to now, which
// depends on the state before the update.
func (z *zone) updateEngine(e *engine, update func()) {
	z.simulation.addAcceleratorTime(e)
	update()
}

// sendReport sends the engine's state to the planner and executes the resulting actions.
func (z *zone) sendReport(e *engine) {
	e.sequence++
	report := planner.Report{Incarnation: 1, Sequence: e.sequence, Running: e.running, Orders: append([]string(nil), e.orderIDs...), Caches: e.cache.Tiers()}
	for unit, ready := range e.units {
		report.Units = append(report.Units, planner.UnitState{Unit: unit, Ready: ready})
	}
	sort.Slice(report.Units, func(i, j int) bool { return report.Units[i].Unit < report.Units[j].Unit })
	z.planner.Report(z.simulation.now, e.spec.ID, report)
	z.executeActions()
}
