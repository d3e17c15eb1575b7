// Package replayer runs a long span of load through the real planner against
// small models of engines and of the weight store, on a clock of its own, and
// reports cold starts and idle accelerators. It measures the policy's
// decisions; it has no network, no nodes and no faults.
package replayer

import (
	"container/heap"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/arriver"
	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/gateway"
	"github.com/acaciaproxy/acaciaproxy/keeper"
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

// Speeds of the modelled engines and intervals of the modelled nodes.
const (
	adapterSeconds = 0.012
	firstToken     = 200 * time.Millisecond
	betweenTokens  = 30 * time.Millisecond
	idleTick       = time.Second
	waitPoll       = 250 * time.Millisecond
)

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
