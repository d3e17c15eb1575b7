// Package simulator simulates a long load: it runs the real planner against simple
// models of the engines and of the weight store, on a simulated clock, and reports
// cold starts and idle accelerator time. It measures the decisions of a keep-alive
// policy; it simulates no network, no nodes and no failures.
package simulator

import (
	"container/heap"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/arrivalgenerator"
	"github.com/acaciaproxy/acaciaproxy/balancer"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/evictor"
	"github.com/acaciaproxy/acaciaproxy/gateway"
	"github.com/acaciaproxy/acaciaproxy/planner"
)

// Options describe a simulation.
type Options struct {
	// Configuration holds the deployment, workers, routes and tenants.
	Configuration *configreader.Configuration
	// Seed determines the load, so that it can be repeated.
	Seed int64
	// Rate is the mean number of requests per second over all zones.
	Rate float64
	// Length is the simulated time.
	Length time.Duration
	// WarmUp is the length of the first part of the load, which the result leaves out.
	WarmUp time.Duration
	// IsolateZones restricts each zone to its own workers, as if the network between zones were down.
	IsolateZones bool
	// NewPolicy creates the policy of one zone.
	NewPolicy func() *evictor.Policy
}

// Result holds the totals of one simulation after its warm-up.
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
	// EstimateError is the mean absolute error, in seconds, of the planner's first estimates of when units are ready.
	EstimateError float64 `json:"estimate_error_s"`
}

// Durations of the simulated engines' operations, the interval at which planners decide
// (stepInterval), and the interval at which a waiting request is asked for again (askInterval).
const (
	adapterLoadSeconds = 0.012
	firstTokenDelay    = 200 * time.Millisecond
	tokenInterval      = 30 * time.Millisecond
	stepInterval       = time.Second
	askInterval        = 250 * time.Millisecond
)

// events is a heap, ordered by time and then by the order of scheduling.
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
	arrival arrivalgenerator.Arrival
	unit    string
	// arrivalZone is the zone in which the request arrived.
	arrivalZone *zone
	arrivedAt   time.Time
	deadline    time.Time
	// estimatedReady is the planner's first estimate of when the unit is ready, or zero if there is none yet.
	estimatedReady time.Time
}

// simulation is the state of one run.
type simulation struct {
	options Options
	// now is the simulated time, started its value at the start.
	now     time.Time
	started time.Time
	// queue holds the scheduled events, sequence the sequence number of the last one scheduled.
	queue     events
	sequence  int
	zones     []*zone
	zoneNames []string
	// storeLoads counts the loads of models from the weight store in progress. Above maxStoreLoads they share its bandwidth.
	storeLoads    int
	maxStoreLoads int
	result        Result
	// coldWaits are the waits of cold requests, estimateErrors the absolute errors of estimates, both in seconds.
	coldWaits      []float64
	estimateErrors []float64
	// usedSinceLoad says whether a request has used a unit at an engine since the unit's load. The key is
	// the engine's id followed by the unit.
	usedSinceLoad map[string]bool
	// unloadedAt is the time of the last unload of a unit in a zone. The key is that of zone.unloadKey.
	unloadedAt map[string]time.Time
}

// build creates the zones with their planners and engines. Each zone gets an equal
// share of the weight store's limits.
func (s *simulation) build() {
	deployment, _ := s.options.Configuration.Deployment()
	s.maxStoreLoads = deployment.ParallelLoads()
	zoneNames := deployment.Zones()
	s.zoneNames = zoneNames
	for i, name := range zoneNames {
		policy := s.options.NewPolicy()
		s.result.Policy = policy.Name
		z := &zone{simulation: s, engines: map[string]*engine{}, waiting: map[string][]*waitingRequest{}}
		z.planner = planner.New(s.now, name, fmt.Sprint("leader-", i), 1, policy)
		z.planner.SetLimits(planner.Limits{
			LoadRate: deployment.LoadRate() / float64(len(zoneNames)), ParallelLoads: max(deployment.ParallelLoads()/len(zoneNames), 1), ParallelAdapterLoads: max(deployment.ParallelAdapterLoads()/len(zoneNames), 1),
		})
		z.addEngines(s.options.Configuration, name)
		s.zones = append(s.zones, z)
	}
}

// schedule adds an event to the queue.
func (s *simulation) schedule(at time.Time, action func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: at, sequence: s.sequence, action: action})
}

// scheduleEvery schedules an action at every interval from now on.
func (s *simulation) scheduleEvery(interval time.Duration, action func()) {
	s.schedule(s.now.Add(interval), func() {
		action()
		s.scheduleEvery(interval, action)
	})
}

// measured reports whether the warm-up is over.
func (s *simulation) measured() bool { return s.now.Sub(s.started) >= s.options.WarmUp }

// scheduleArrival schedules the next arrival, which schedules the one after it.
func (s *simulation) scheduleArrival(load *arrivalgenerator.Generator) {
	arrival := load.Next()
	s.schedule(s.started.Add(arrival.At), func() {
		s.handleArrival(arrival)
		s.scheduleArrival(load)
	})
}

// handleArrival starts a request at an engine that has its unit ready, or makes the
// request wait in the zone that decides where the unit is loaded.
func (s *simulation) handleArrival(arrival arrivalgenerator.Arrival) {
	route, _ := s.options.Configuration.Route(arrival.Route)
	unit, found := gateway.UnitOf(s.options.Configuration, route)
	if !found {
		return
	}
	if s.measured() {
		s.result.Requests++
	}
	w := &waitingRequest{arrival: arrival, unit: unit, arrivedAt: s.now, deadline: s.now.Add(route.Timeout()), arrivalZone: s.zones[arrival.Node%len(s.zones)]}
	if s.tryServe(w) {
		return
	}
	home := s.homeZone(w)
	home.recordUse(unit)
	home.waiting[unit] = append(home.waiting[unit], w)
	home.askPlanner(w)
}

// homeZone returns the zone whose planner decides where the request's unit is
// loaded: the home zone of its model, or the zone of arrival if zones are isolated.
func (s *simulation) homeZone(w *waitingRequest) *zone {
	if s.options.IsolateZones {
		return w.arrivalZone
	}
	base, _, _ := strings.Cut(w.unit, "/")
	name := balancer.HomeZone(s.zoneNames, base)
	return s.zones[slices.Index(s.zoneNames, name)]
}

// tryServe starts a request at an engine that has its unit ready, in the zone of
// its arrival if possible. It reports whether there is such an engine.
func (s *simulation) tryServe(w *waitingRequest) bool {
	serving, chosen := w.arrivalZone, w.arrivalZone.readyEngine(w.unit)
	for _, z := range s.zones {
		if chosen == nil && !s.options.IsolateZones {
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
func (s *simulation) addAcceleratorTime(e *engine) {
	warmUpEnd := s.started.Add(s.options.WarmUp)
	from := e.accountedUntil
	if from.Before(warmUpEnd) {
		from = warmUpEnd
	}
	if elapsed := s.now.Sub(from).Seconds() * float64(e.spec.Accelerators); elapsed > 0 && len(e.units) > 0 {
		s.result.LoadedSeconds += elapsed
		if e.running == 0 {
			s.result.IdleSeconds += elapsed
		}
	}
	e.accountedUntil = s.now
}

// finish adds the accelerator time up to the end and computes the quantiles.
func (s *simulation) finish() Result {
	for _, z := range s.zones {
		for _, id := range z.engineIDs {
			s.addAcceleratorTime(z.engines[id])
		}
	}
	sort.Float64s(s.coldWaits)
	for _, wait := range s.coldWaits {
		s.result.WaitSum += wait
	}
	s.result.ColdP50, s.result.ColdP95 = quantile(s.coldWaits, 0.5), quantile(s.coldWaits, 0.95)
	s.result.ColdP99, s.result.ColdP999 = quantile(s.coldWaits, 0.99), quantile(s.coldWaits, 0.999)
	all := make([]float64, s.result.Requests-len(s.coldWaits))
	all = append(all, s.coldWaits...)
	s.result.AllP99, s.result.AllP999 = quantile(all, 0.99), quantile(all, 0.999)
	for _, estimateError := range s.estimateErrors {
		s.result.EstimateError += estimateError / float64(len(s.estimateErrors))
	}
	return s.result
}

// quantile returns the value at a quantile q, from 0 to 1, of sorted values; 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
