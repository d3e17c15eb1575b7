package replayer

import (
	"container/heap"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/arriver"
	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/enginestandin"
	"github.com/acaciaproxy/acaciaproxy/leader"
	"github.com/acaciaproxy/acaciaproxy/planner"
)

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// engine is the model of one model worker.
type engine struct {
	spec   planner.WorkerSpec
	units  map[string]bool // Whether each unit is ready.
	using  map[string]int
	cache  enginestandin.Cache
	orders []string
	// sequence counts the reports.
	sequence int64
	running  int
	// since is when running or held last changed.
	since time.Time
}

// zone is one availability zone with its planner.
type zone struct {
	replay  *replay
	planner *planner.Planner
	engines map[string]*engine
	ids     []string
	// waiting are the requests that wait for each unit.
	waiting map[string][]*waiting
}

// Run replays the load of a configuration under a policy.
func Run(options Options) Result {
	r := &replay{options: options, began: time.Unix(1_000_000, 0), usedSince: map[string]bool{}, unloadedAt: map[string]time.Time{}}
	r.now = r.began
	r.build()
	load := arriver.New(options.Configuration, arriver.Options{
		Seed: options.Seed, Rate: options.Rate, Nodes: 8 * len(r.zones), StartOfDay: 6 * time.Hour,
	})
	r.scheduleArrival(load)
	for _, z := range r.zones {
		r.every(idleTick, z.step)
	}
	end := r.began.Add(options.Span)
	for len(r.queue) > 0 {
		next := heap.Pop(&r.queue).(event)
		if next.at.After(end) {
			break
		}
		r.now = next.at
		next.run()
	}
	r.now = end
	return r.finish()
}

func (z *zone) addEngines(configuration *configurer.Configuration, name string) {
	var specs []planner.WorkerSpec
	for _, group := range configuration.Workers() {
		if group.Zone() != name || !group.RunsModels() {
			continue
		}
		for number := range group.Count() {
			spec := planner.WorkerSpec{
				ID: fmt.Sprintf("%s-%d", group.Name(), number), Memory: group.Memory(), Fencing: group.Fencing(), Slots: group.Slots(), Accelerators: group.Accelerators(),
			}
			specs = append(specs, spec)
			z.engines[spec.ID] = &engine{spec: spec, units: map[string]bool{}, using: map[string]int{}, since: z.replay.now}
			z.ids = append(z.ids, spec.ID)
		}
	}
	sort.Strings(z.ids)
	z.planner.SetWorkers(specs)
	for _, id := range z.ids {
		z.planner.Adopt(z.replay.now, id, planner.Row{}, 0, 0)
	}
	z.act()
	for _, id := range z.ids {
		z.report(z.engines[id])
	}
}

// use tells the zone's planner that a request named a unit.
func (z *zone) use(unit string) {
	configuration := z.replay.options.Configuration
	spec, _ := leader.UnitSpec(configuration, unit)
	if base, found := leader.UnitSpec(configuration, spec.Base); found {
		z.planner.Use(base, z.replay.now, 1)
	}
	z.planner.Use(spec, z.replay.now, 1)
}

// readyEngine returns the zone's engine with the least running that has a unit ready, or nil.
func (z *zone) readyEngine(unit string) *engine {
	var chosen *engine
	for _, id := range z.ids {
		e := z.engines[id]
		if e.units[unit] && (chosen == nil || e.running < chosen.running) {
			chosen = e
		}
	}
	return chosen
}

// run runs a request at an engine.
func (z *zone) run(chosen *engine, w *waiting) {
	r := z.replay
	base, _, _ := strings.Cut(w.unit, "/")
	r.usedSince[chosen.spec.ID+w.unit] = true
	r.usedSince[chosen.spec.ID+base] = true
	if r.counts() && r.now.After(w.at) {
		r.result.Cold++
		r.waits = append(r.waits, r.now.Sub(w.at).Seconds())
		if !w.estimate.IsZero() {
			r.errors = append(r.errors, math.Abs(r.now.Sub(w.estimate).Seconds()))
		}
	}
	z.change(chosen, func() { chosen.running++; chosen.using[w.unit]++ })
	z.report(chosen)
	took := firstToken + time.Duration(w.arrival.Tokens)*betweenTokens
	r.at(r.now.Add(took), func() {
		z.change(chosen, func() { chosen.running--; chosen.using[w.unit]-- })
		z.report(chosen)
	})
}

// ask asks the planner for a request's unit, again until it is ready or refused.
func (z *zone) ask(w *waiting) {
	r := z.replay
	if !z.stillWaits(w) {
		return
	}
	spec, _ := leader.UnitSpec(r.options.Configuration, w.unit)
	if base, found := leader.UnitSpec(r.options.Configuration, spec.Base); found {
		z.planner.Want(r.now, base, w.deadline, 1)
	}
	z.planner.Want(r.now, spec, w.deadline, 1)
	verdict := z.planner.Ask(r.now, w.unit, "", w.deadline)
	if verdict.Kind == planner.VerdictRefuse {
		z.drop(w)
		if r.counts() && r.now.After(w.at) {
			r.result.Missed++
		} else if r.counts() {
			r.result.Refused++
		}
		return
	}
	if w.estimate.IsZero() {
		w.estimate = verdict.RetryAt
	}
	z.step()
	r.at(r.now.Add(waitPoll), func() { z.ask(w) })
}

func (z *zone) stillWaits(w *waiting) bool {
	for _, other := range z.waiting[w.unit] {
		if other == w {
			return true
		}
	}
	return false
}

func (z *zone) drop(w *waiting) {
	kept := z.waiting[w.unit][:0]
	for _, other := range z.waiting[w.unit] {
		if other != w {
			kept = append(kept, other)
		}
	}
	z.waiting[w.unit] = kept
}

// step lets the planner decide and carries its actions out.
func (z *zone) step() {
	z.planner.Tick(z.replay.now)
	z.act()
}

func (z *zone) act() {
	for {
		actions := z.planner.Actions()
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			if action.Persist != nil {
				z.planner.Persisted(action.Worker, action.Persist.Sequence, action.Version+1)
				continue
			}
			z.obey(*action.Send)
		}
	}
}

func (z *zone) obey(order planner.Order) {
	e := z.engines[order.Worker]
	outcome := planner.OrderAccepted
	switch order.Verb {
	case planner.VerbLoad:
		z.load(e, order)
	case planner.VerbUnload:
		if e.using[order.Unit] > 0 {
			outcome = planner.OrderRefused
			break
		}
		z.unload(e, order.Unit)
	}
	if outcome == planner.OrderAccepted {
		e.orders = append(e.orders, order.ID)
		e.orders = e.orders[max(len(e.orders)-64, 0):]
	}
	z.planner.Answered(z.replay.now, order, outcome)
	z.report(e)
}

func (z *zone) load(e *engine, order planner.Order) {
	r := z.replay
	if r.counts() {
		r.result.Loads++
		if r.now.Sub(r.unloadedAt[z.key(order.Unit)]) < time.Minute {
			r.result.Regrets++
		}
	}
	r.usedSince[e.spec.ID+order.Unit] = false
	z.change(e, func() { e.units[order.Unit] = false })
	seconds := float64(order.LoadMS) / 1000
	remote := false
	switch {
	case order.Adapter:
		seconds = adapterSeconds
	case e.cache.Tier(order.Unit) == enginestandin.TierMemory:
		seconds *= enginestandin.MemoryTierShare
	case e.cache.Tier(order.Unit) == enginestandin.TierDisk:
		seconds *= enginestandin.DiskTierShare
	default:
		remote = true
		r.fetching++
		seconds *= max(1, float64(r.fetching)/float64(r.parallel))
	}
	r.at(r.now.Add(time.Duration(seconds*float64(time.Second))), func() {
		if remote {
			r.fetching--
		}
		e.units[order.Unit] = true
		z.report(e)
		z.serveWaiting(order.Unit)
		z.step()
	})
}

func (z *zone) key(unit string) string { return z.ids[0] + unit }

func (z *zone) serveWaiting(unit string) {
	queue := z.waiting[unit]
	z.waiting[unit] = nil
	for _, w := range queue {
		if !z.replay.serve(w) {
			z.waiting[unit] = append(z.waiting[unit], w)
		}
	}
}

func (z *zone) unload(e *engine, unit string) {
	r := z.replay
	if _, loaded := e.units[unit]; !loaded {
		return
	}
	if used, known := r.usedSince[e.spec.ID+unit]; known && !used && r.counts() {
		r.result.Wasted++
	}
	r.unloadedAt[z.key(unit)] = r.now
	z.change(e, func() { delete(e.units, unit) })
	e.cache.Remember(unit)
}

// change adds up the accelerator time until now and then changes an engine.
func (z *zone) change(e *engine, apply func()) {
	z.replay.addTime(e)
	apply()
}

func (z *zone) report(e *engine) {
	e.sequence++
	report := planner.Report{Incarnation: 1, Sequence: e.sequence, Running: e.running, Orders: append([]string(nil), e.orders...), Caches: e.cache.Tiers()}
	for unit, ready := range e.units {
		report.Units = append(report.Units, planner.UnitState{Unit: unit, Ready: ready})
	}
	sort.Slice(report.Units, func(i, j int) bool { return report.Units[i].Unit < report.Units[j].Unit })
	z.planner.Report(z.replay.now, e.spec.ID, report)
	z.act()
}
