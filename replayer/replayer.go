// Package replayer simulates a long load: it runs the real planner against simple
// models of the engines and of the weight store, on a simulated clock, and reports
// cold starts and idle accelerator time. It measures the decisions of a keep-alive
// policy; it simulates no network, no nodes and no failures.
package replayer

import (
	"container/heap"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/arriver"
	"github.com/acaciaproxy/acaciaproxy/balancer"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/gateway"
	"github.com/acaciaproxy/acaciaproxy/keeper"
	"github.com/acaciaproxy/acaciaproxy/planner"
)

// Options describe a replay.
type Options struct {
	// Configuration holds the deployment, workers, routes and tenants.
	Configuration *configreader.Configuration
	// Seed makes the load repeatable.
	Seed int64
	// Rate is the mean number of requests a second over all zones.
	Rate float64
	// Length is the simulated time.
	Length time.Duration
	// WarmUp is the first part of the load, which the result leaves out.
	WarmUp time.Duration
	// IsolateZones restricts each zone to its own workers, as if the network between zones were down.
	IsolateZones bool
	// NewPolicy returns a policy for one zone.
	NewPolicy func() *keeper.Policy
}

// Result holds the totals of one replay after its warm-up.
type Result struct {
	// Policy is the policy's name; Compare and Sweep append the variant.
	Policy string `json:"policy"`
	// Requests counts the arrivals, ColdStarts those that were served after waiting for a load.
	Requests   int `json:"requests"`
	ColdStarts int `json:"cold"`
	// Refused counts the requests that were refused on arrival, RefusedLater those refused after waiting.
	Refused      int `json:"refused"`
	RefusedLater int `json:"missed"`
	// Loads counts the loads, UnusedLoads the unloads of units that no request used since their load, EarlyReloads
	// the loads of a unit within a minute of its last unload in the zone.
	Loads        int `json:"loads"`
	UnusedLoads  int `json:"wasted"`
	EarlyReloads int `json:"regrets"`
	// ColdP50 to ColdP999 are quantiles of the waits of cold requests, in seconds.
	ColdP50  float64 `json:"cold_p50_s"`
	ColdP95  float64 `json:"cold_p95_s"`
	ColdP99  float64 `json:"cold_p99_s"`
	ColdP999 float64 `json:"cold_p999_s"`
	// AllP99 and AllP999 are quantiles of the waits of all requests, in seconds; a warm request has a wait of 0.
	AllP99  float64 `json:"all_p99_s"`
	AllP999 float64 `json:"all_p999_s"`
	// WaitSum is the sum of the waits of cold requests, in seconds.
	WaitSum float64 `json:"wait_sum_s"`
	// LoadedSeconds is the accelerator time with units loaded or loading, IdleSeconds the part of it without
	// a running request, both in seconds.
	IdleSeconds   float64 `json:"idle_s"`
	LoadedSeconds float64 `json:"held_s"`
	// EstimateError is the mean absolute error of the planner's first estimates of when units are ready, in seconds.
	EstimateError float64 `json:"estimate_error_s"`
}

// Speeds of the simulated engines, and the intervals at which planners decide
// (stepInterval) and waiting requests ask again (askInterval).
const (
	adapterLoadSeconds = 0.012
	firstTokenDelay    = 200 * time.Millisecond
	tokenInterval      = 30 * time.Millisecond
	stepInterval       = time.Second
	askInterval        = 250 * time.Millisecond
)

// events is a heap, sorted by time and then by the order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
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

// waitingRequest is a request that waits for a unit.
type waitingRequest struct {
	arrival arriver.Arrival
	unit    string
	// arrivalZone is the zone in which the request arrived.
	arrivalZone *zone
	arrivedAt   time.Time
	deadline    time.Time
	// estimatedReady is the planner's first estimate of when the unit is ready, zero before it.
	estimatedReady time.Time
}

// replay is the state of one run.
type replay struct {
	options Options
	// now is the simulated time, started its value at the start.
	now     time.Time
	started time.Time
	// queue holds the scheduled events, sequence the sequence number of the last one scheduled.
	queue     events
	sequence  int
	zones     []*zone
	zoneNames []string
	// storeLoads counts the running model loads from the weight store. Above maxStoreLoads they share its bandwidth.
	storeLoads    int
	maxStoreLoads int
	result        Result
	// coldWaits are the waits of cold requests, estimateErrors the absolute errors of estimates, both in seconds.
	coldWaits      []float64
	estimateErrors []float64
	// usedSinceLoad says whether a request used a unit at an engine since its load. The key is the
	// engine's id followed by the unit.
	usedSinceLoad map[string]bool
	// unloadedAt is the time of the last unload of a unit in a zone. The key is that of zone.unloadKey.
	unloadedAt map[string]time.Time
}

// build creates the zones with their planners and engines. Each zone gets an equal
// share of the weight store's limits.
func (r *replay) build() {
	deployment, _ := r.options.Configuration.Deployment()
	r.maxStoreLoads = deployment.ParallelLoads()
	zoneNames := deployment.Zones()
	r.zoneNames = zoneNames
	for i, name := range zoneNames {
		policy := r.options.NewPolicy()
		r.result.Policy = policy.Name
		z := &zone{replay: r, engines: map[string]*engine{}, waiting: map[string][]*waitingRequest{}}
		z.planner = planner.New(r.now, name, fmt.Sprint("leader-", i), 1, policy)
		z.planner.SetLimits(planner.Limits{
			LoadRate: deployment.LoadRate() / float64(len(zoneNames)), ParallelLoads: max(deployment.ParallelLoads()/len(zoneNames), 1), ParallelAdapterLoads: max(deployment.ParallelAdapterLoads()/len(zoneNames), 1),
		})
		z.addEngines(r.options.Configuration, name)
		r.zones = append(r.zones, z)
	}
}

// schedule adds an event to the queue.
func (r *replay) schedule(at time.Time, action func()) {
	r.sequence++
	heap.Push(&r.queue, event{at: at, sequence: r.sequence, action: action})
}

// scheduleEvery schedules an action at every interval from now on.
func (r *replay) scheduleEvery(interval time.Duration, action func()) {
	r.schedule(r.now.Add(interval), func() {
		action()
		r.scheduleEvery(interval, action)
	})
}

// measured reports whether the warm-up is over.
func (r *replay) measured() bool { return r.now.Sub(r.started) >= r.options.WarmUp }

// scheduleArrival schedules the next arrival, which schedules the one after it.
func (r *replay) scheduleArrival(load *arriver.Arriver) {
	arrival := load.Next()
	r.schedule(r.started.Add(arrival.At), func() {
		r.handleArrival(arrival)
		r.scheduleArrival(load)
	})
}

// handleArrival serves a request at a ready engine, or makes it wait in the zone
// that decides where its unit is loaded.
func (r *replay) handleArrival(arrival arriver.Arrival) {
	route, _ := r.options.Configuration.Route(arrival.Route)
	unit, found := gateway.UnitOf(r.options.Configuration, route)
	if !found {
		return
	}
	if r.measured() {
		r.result.Requests++
	}
	w := &waitingRequest{arrival: arrival, unit: unit, arrivedAt: r.now, deadline: r.now.Add(route.Timeout()), arrivalZone: r.zones[arrival.Node%len(r.zones)]}
	if r.tryServe(w) {
		return
	}
	home := r.homeZone(w)
	home.recordUse(unit)
	home.waiting[unit] = append(home.waiting[unit], w)
	home.askPlanner(w)
}

// homeZone returns the zone whose planner decides where the request's unit is
// loaded: the home zone of its model, or the zone of arrival if zones are isolated.
func (r *replay) homeZone(w *waitingRequest) *zone {
	if r.options.IsolateZones {
		return w.arrivalZone
	}
	base, _, _ := strings.Cut(w.unit, "/")
	name := balancer.HomeZone(r.zoneNames, base)
	return r.zones[slices.Index(r.zoneNames, name)]
}

// tryServe starts a request at an engine that has its unit ready, in the zone of
// its arrival if possible. It reports whether there is such an engine.
func (r *replay) tryServe(w *waitingRequest) bool {
	serving, chosen := w.arrivalZone, w.arrivalZone.readyEngine(w.unit)
	for _, z := range r.zones {
		if chosen == nil && !r.options.IsolateZones {
			serving, chosen = z, z.readyEngine(w.unit)
		}
	}
	if chosen == nil {
		return false
	}
	serving.recordUse(w.unit)
	serving.startRequest(chosen, w)
	return true
}

// addAcceleratorTime adds an engine's accelerator time since the last call to the
// result, without the part in the warm-up.
func (r *replay) addAcceleratorTime(e *engine) {
	warmUpEnd := r.started.Add(r.options.WarmUp)
	from := e.accountedUntil
	if from.Before(warmUpEnd) {
		from = warmUpEnd
	}
	if elapsed := r.now.Sub(from).Seconds() * float64(e.spec.Accelerators); elapsed > 0 && len(e.units) > 0 {
		r.result.LoadedSeconds += elapsed
		if e.running == 0 {
			r.result.IdleSeconds += elapsed
		}
	}
	e.accountedUntil = r.now
}

// finish adds the accelerator time up to the end and computes the quantiles.
func (r *replay) finish() Result {
	for _, z := range r.zones {
		for _, id := range z.engineIDs {
			r.addAcceleratorTime(z.engines[id])
		}
	}
	sort.Float64s(r.coldWaits)
	for _, wait := range r.coldWaits {
		r.result.WaitSum += wait
	}
	r.result.ColdP50, r.result.ColdP95 = quantile(r.coldWaits, 0.5), quantile(r.coldWaits, 0.95)
	r.result.ColdP99, r.result.ColdP999 = quantile(r.coldWaits, 0.99), quantile(r.coldWaits, 0.999)
	all := make([]float64, r.result.Requests-len(r.coldWaits))
	all = append(all, r.coldWaits...)
	r.result.AllP99, r.result.AllP999 = quantile(all, 0.99), quantile(all, 0.999)
	for _, estimateError := range r.estimateErrors {
		r.result.EstimateError += estimateError / float64(len(r.estimateErrors))
	}
	return r.result
}

// quantile returns the value at a quantile q, from 0 to 1, of sorted values; 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
