// Package replayer runs a long span of load through the real planner against
// small models of engines and of the weight store, on a clock of its own, and
// reports cold starts and idle accelerators. It measures the policy's
// decisions; it has no network, no nodes and no faults.
package replayer

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/arriver"
	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/gateway"
	"github.com/acaciaproxy/acaciaproxy/keeper"
	"github.com/acaciaproxy/acaciaproxy/leader"
	"github.com/acaciaproxy/acaciaproxy/planner"
	"github.com/acaciaproxy/acaciaproxy/router"
)

// Options describe a replay.
type Options struct {
	Configuration *configurer.Configuration
	Seed          int64
	Rate          float64
	Span          time.Duration
	// WarmUp is the beginning of the span that does not count.
	WarmUp time.Duration
	// ZonesAlone keeps each zone to its own workers, as if all were cut off from each other.
	ZonesAlone bool
	// NewPolicy returns a policy for one zone.
	NewPolicy func() *keeper.Policy
}

// Result sums up one replay.
type Result struct {
	Policy   string  `json:"policy"`
	Requests int     `json:"requests"`
	Cold     int     `json:"cold"`
	Refused  int     `json:"refused"`
	Missed   int     `json:"missed"`
	Loads    int     `json:"loads"`
	Wasted   int     `json:"wasted"`
	Regrets  int     `json:"regrets"`
	P50      float64 `json:"cold_p50_s"`
	P95      float64 `json:"cold_p95_s"`
	P99      float64 `json:"cold_p99_s"`
	P999     float64 `json:"cold_p999_s"`
	// AllP99 and AllP999 are over all requests, a warm one counting as no wait.
	AllP99  float64 `json:"all_p99_s"`
	AllP999 float64 `json:"all_p999_s"`
	// WaitSum is the sum of all cold-start waits in seconds.
	WaitSum float64 `json:"wait_sum_s"`
	// Idle and Held are accelerator seconds with something loaded, Idle those with nothing running.
	Idle float64 `json:"idle_s"`
	Held float64 `json:"held_s"`
	// EstimateError is the mean absolute error of the leader's estimates of ready times, in seconds.
	EstimateError float64 `json:"estimate_error_s"`
}

// Shares of the remote load time from a nearer tier, as the stand-in engines have them.
const (
	memoryTierShare  = 0.1
	diskTierShare    = 0.35
	memoryCacheUnits = 2
	diskCacheUnits   = 8
	adapterSeconds   = 0.012
	firstToken       = 200 * time.Millisecond
	betweenTokens    = 30 * time.Millisecond
	idleTick         = time.Second
	waitPoll         = 250 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// events is a heap by time and then by order.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// engine is the model of one model worker.
type engine struct {
	spec   planner.WorkerSpec
	units  map[string]bool // Whether each unit is ready.
	using  map[string]int
	recent []string
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

// waiting is one request that waits for a unit.
type waiting struct {
	arrival arriver.Arrival
	unit    string
	// own is the zone where the request arrived.
	own      *zone
	at       time.Time
	deadline time.Time
	// estimate is when the leader expected the unit.
	estimate time.Time
}

// replay is one run.
type replay struct {
	options Options
	now     time.Time
	began   time.Time
	queue   events
	order   int
	zones   []*zone
	names   []string
	// fetching counts the model loads from the weight store under way.
	fetching int
	parallel int
	result   Result
	waits    []float64
	// errors are the absolute errors of estimates in seconds.
	errors []float64
	// usedSince says for each load that is not unloaded whether a request used it.
	usedSince map[string]bool
	// unloadedAt maps zone and unit to the last unload.
	unloadedAt map[string]time.Time
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

func (r *replay) build() {
	deployment, _ := r.options.Configuration.Deployment()
	r.parallel = deployment.Parallel()
	names := deployment.Zones()
	r.names = names
	for i, name := range names {
		policy := r.options.NewPolicy()
		r.result.Policy = policy.Name
		z := &zone{replay: r, engines: map[string]*engine{}, waiting: map[string][]*waiting{}}
		z.planner = planner.New(r.now, name, fmt.Sprint("leader-", i), 1, policy)
		z.planner.SetLimits(planner.Limits{
			Rate: deployment.Rate() / float64(len(names)), Parallel: max(deployment.Parallel()/len(names), 1), Transit: max(deployment.Transit()/len(names), 1),
		})
		z.addEngines(r.options.Configuration, name)
		r.zones = append(r.zones, z)
	}
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

func (r *replay) at(at time.Time, run func()) {
	r.order++
	heap.Push(&r.queue, event{at: at, order: r.order, run: run})
}

func (r *replay) every(interval time.Duration, run func()) {
	r.at(r.now.Add(interval), func() {
		run()
		r.every(interval, run)
	})
}

func (r *replay) counts() bool { return r.now.Sub(r.began) >= r.options.WarmUp }

func (r *replay) scheduleArrival(load *arriver.Arriver) {
	arrival := load.Next()
	r.at(r.began.Add(arrival.At), func() {
		r.arrive(arrival)
		r.scheduleArrival(load)
	})
}

func (r *replay) arrive(arrival arriver.Arrival) {
	route, _ := r.options.Configuration.Route(arrival.Route)
	unit, found := gateway.UnitOf(r.options.Configuration, route)
	if !found {
		return
	}
	if r.counts() {
		r.result.Requests++
	}
	w := &waiting{arrival: arrival, unit: unit, at: r.now, deadline: r.now.Add(route.Timeout()), own: r.zones[arrival.Node%len(r.zones)]}
	if r.serve(w) {
		return
	}
	home := r.home(w)
	home.use(unit)
	home.waiting[unit] = append(home.waiting[unit], w)
	home.ask(w)
}

// home returns the zone that decides where a unit is loaded.
func (r *replay) home(w *waiting) *zone {
	if r.options.ZonesAlone {
		return w.own
	}
	base, _, _ := strings.Cut(w.unit, "/")
	name := router.Home(r.names, base)
	return r.zones[slices.Index(r.names, name)]
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

// serve runs a request at a ready engine, in its own zone if possible, and
// reports whether there was one.
func (r *replay) serve(w *waiting) bool {
	at, chosen := w.own, w.own.readyEngine(w.unit)
	for _, z := range r.zones {
		if chosen == nil && !r.options.ZonesAlone {
			at, chosen = z, z.readyEngine(w.unit)
		}
	}
	if chosen == nil {
		return false
	}
	at.use(w.unit)
	at.run(chosen, w)
	return true
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
	case e.tier(order.Unit) == "memory":
		seconds *= memoryTierShare
	case e.tier(order.Unit) == "disk":
		seconds *= diskTierShare
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
	e.remember(unit)
}

func (e *engine) remember(unit string) {
	kept := e.recent[:0]
	for _, old := range e.recent {
		if old != unit {
			kept = append(kept, old)
		}
	}
	e.recent = append(kept, unit)
	e.recent = e.recent[max(len(e.recent)-memoryCacheUnits-diskCacheUnits, 0):]
}

func (e *engine) tier(unit string) string {
	for i, recent := range e.recent {
		if recent == unit && len(e.recent)-i <= memoryCacheUnits {
			return "memory"
		}
		if recent == unit {
			return "disk"
		}
	}
	return "remote"
}

// change adds up the accelerator time until now and then changes an engine.
func (z *zone) change(e *engine, apply func()) {
	z.replay.addTime(e)
	apply()
}

func (r *replay) addTime(e *engine) {
	counted := r.began.Add(r.options.WarmUp)
	from := e.since
	if from.Before(counted) {
		from = counted
	}
	if span := r.now.Sub(from).Seconds() * float64(e.spec.Accelerators); span > 0 && len(e.units) > 0 {
		r.result.Held += span
		if e.running == 0 {
			r.result.Idle += span
		}
	}
	e.since = r.now
}

func (z *zone) report(e *engine) {
	e.sequence++
	report := planner.Report{Incarnation: 1, Sequence: e.sequence, Running: e.running, Orders: append([]string(nil), e.orders...), Caches: map[string]string{}}
	for unit, ready := range e.units {
		report.Units = append(report.Units, planner.UnitState{Unit: unit, Ready: ready})
	}
	sort.Slice(report.Units, func(i, j int) bool { return report.Units[i].Unit < report.Units[j].Unit })
	for _, unit := range e.recent {
		report.Caches[unit] = e.tier(unit)
	}
	z.planner.Report(z.replay.now, e.spec.ID, report)
	z.act()
}

// finish adds up what is still open and computes the quantiles.
func (r *replay) finish() Result {
	for _, z := range r.zones {
		for _, id := range z.ids {
			r.addTime(z.engines[id])
		}
	}
	sort.Float64s(r.waits)
	for _, wait := range r.waits {
		r.result.WaitSum += wait
	}
	r.result.P50, r.result.P95 = quantile(r.waits, 0.5), quantile(r.waits, 0.95)
	r.result.P99, r.result.P999 = quantile(r.waits, 0.99), quantile(r.waits, 0.999)
	all := make([]float64, r.result.Requests-len(r.waits))
	all = append(all, r.waits...)
	r.result.AllP99, r.result.AllP999 = quantile(all, 0.99), quantile(all, 0.999)
	for _, miss := range r.errors {
		r.result.EstimateError += miss / float64(len(r.errors))
	}
	return r.result
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
