// Package evictor decides which loaded units stay loaded on idle workers, and which
// are evicted first when memory is needed. A unit is what a worker loads or unloads as
// a whole: a model version, or an adapter on one.
//
// A worker's accelerators are paid for while anything is loaded there, so that a
// further unit on a worker that is kept anyway costs nothing until its memory is
// needed. The decision is therefore made for each worker: all its units are unloaded
// together once the cold starts that they save cost less than the worker.
//
// A Policy is a set of functions, so that baseline policies can run in the same
// planner. The package holds no clock and does no I/O.
package evictor

import (
	"math"
	"time"
)

// Resident is a unit that is loaded and ready on a worker.
type Resident struct {
	Unit string
	// LastUse is when a request last named the unit or an adapter on it.
	LastUse time.Time
	// ReloadSeconds is how long a request would wait for the unit to be loaded again after an unload.
	ReloadSeconds float64
	// Memory is the memory of the worker that the unit takes, in bytes.
	Memory int64
	// Elsewhere is set if the unit is also ready on another worker of the zone.
	Elsewhere bool
}

// IdleWorker describes a worker on which no request runs and no unit loads or unloads.
type IdleWorker struct {
	Residents []Resident
	// Accelerators is the number of the worker's accelerators, which are paid for while anything is loaded.
	Accelerators int
}

// Policy decides which units are unloaded and which are evicted first.
type Policy struct {
	// Name identifies the policy in reports.
	Name string
	// RecordUse records that a number of requests named a unit.
	RecordUse func(unit string, now time.Time, requests int)
	// IdleUnloads returns the units of an idle worker to unload now.
	IdleUnloads func(now time.Time, worker IdleWorker) []string
	// EvictionValue orders evictions when memory is needed: the unit with the lowest value is evicted first.
	EvictionValue func(now time.Time, resident Resident) float64
	// ColdWeight is the cost of a second of waiting for a cold start; IdleWeight times IdleCostScale is that of a second
	// of an idle accelerator.
	ColdWeight, IdleWeight float64
}

func ignoreUse(string, time.Time, int) {}

// leastRecentlyUsed is a Policy.EvictionValue that evicts the least recently used unit first.
func leastRecentlyUsed(now time.Time, resident Resident) float64 {
	return -now.Sub(resident.LastUse).Seconds()
}

// NewFixed returns the policy that unloads a unit from an idle worker once more than a
// fixed time has passed since its last use.
func NewFixed(keepTime time.Duration) *Policy {
	idleUnloads := func(now time.Time, worker IdleWorker) []string {
		var units []string
		for _, resident := range worker.Residents {
			if now.Sub(resident.LastUse) > keepTime {
				units = append(units, resident.Unit)
			}
		}
		return units
	}
	return &Policy{Name: "keep " + keepTime.String(), RecordUse: ignoreUse, IdleUnloads: idleUnloads, EvictionValue: leastRecentlyUsed, ColdWeight: 1, IdleWeight: 1}
}

// NewImmediate returns the policy that unloads the units of a worker as soon as it is idle.
func NewImmediate() *Policy {
	policy := NewFixed(0)
	policy.Name = "unload at once"
	return policy
}

// NewLeastRecentlyUsed returns the policy that evicts units only when memory is needed, the
// least recently used first.
func NewLeastRecentlyUsed() *Policy {
	idleUnloads := func(time.Time, IdleWorker) []string { return nil }
	return &Policy{Name: "least recently used", RecordUse: ignoreUse, IdleUnloads: idleUnloads, EvictionValue: leastRecentlyUsed, ColdWeight: 1, IdleWeight: 1}
}

// Parameters of the expected request rate.
const (
	// fastDecay and slowDecay are the time constants of the two exponentially decaying counts of a history.
	fastDecay = 5 * time.Minute
	slowDecay = time.Hour
	// slowShare is the weight of the slow rate in the expected rate; the fast rate has the rest.
	slowShare = 0.5
)

// history holds the decaying counts of one unit's request bursts.
type history struct {
	// fast and slow decay with the time constants fastDecay and slowDecay.
	fast, slow float64
	// updatedAt is the time to which the counts have been decayed.
	updatedAt time.Time
}

func (h *history) decay(now time.Time) {
	if elapsed := now.Sub(h.updatedAt); elapsed > 0 {
		h.fast *= math.Exp(-elapsed.Seconds() / fastDecay.Seconds())
		h.slow *= math.Exp(-elapsed.Seconds() / slowDecay.Seconds())
		h.updatedAt = now
	}
}

// rate returns the expected number of bursts per second.
func (h *history) rate(now time.Time) float64 {
	h.decay(now)
	return (1-slowShare)*h.fast/fastDecay.Seconds() + slowShare*h.slow/slowDecay.Seconds()
}

// burstGap is the longest time between two requests of the same burst. Bursts are
// counted instead of requests, since only the first request of one meets a cold start.
const burstGap = 5 * time.Second

// NewHazard returns the policy that compares the expected cost of cold starts, from the
// request history of each unit, with the cost of the idle worker. The weights are the
// ColdWeight and IdleWeight of the policy.
func NewHazard(coldWeight, idleWeight float64) *Policy {
	h := &hazard{histories: map[string]*history{}, lastRequest: map[string]time.Time{}}
	h.policy = &Policy{Name: "hazard", RecordUse: h.recordUse, IdleUnloads: h.idleUnloads, EvictionValue: h.evictionValue, ColdWeight: coldWeight, IdleWeight: idleWeight}
	return h.policy
}

// hazard is the state of the policy that NewHazard returns.
type hazard struct {
	// histories maps units to their request histories.
	histories map[string]*history
	// lastRequest maps units to the time of the last recorded request.
	lastRequest map[string]time.Time
	// policy holds the weights, which may change after NewHazard returned.
	policy *Policy
}

func (h *hazard) recordUse(unit string, now time.Time, _ int) {
	unitHistory, found := h.histories[unit]
	if !found {
		unitHistory = &history{updatedAt: now}
		h.histories[unit] = unitHistory
	}
	unitHistory.decay(now)
	if now.Sub(h.lastRequest[unit]) > burstGap {
		unitHistory.fast++
		unitHistory.slow++
	}
	h.lastRequest[unit] = now
}

// savings returns the expected cost of cold starts that a unit saves per second by
// staying loaded; it is 0 if another worker has the unit ready too.
func (h *hazard) savings(now time.Time, resident Resident) float64 {
	unitHistory, found := h.histories[resident.Unit]
	if !found || resident.Elsewhere {
		return 0
	}
	return unitHistory.rate(now) * resident.ReloadSeconds * h.policy.ColdWeight
}

func (h *hazard) idleUnloads(now time.Time, worker IdleWorker) []string {
	totalSavings := 0.0
	units := make([]string, 0, len(worker.Residents))
	for _, resident := range worker.Residents {
		totalSavings += h.savings(now, resident)
		units = append(units, resident.Unit)
	}
	if totalSavings >= h.policy.IdleWeight*float64(worker.Accelerators)*IdleCostScale {
		return nil
	}
	return units
}

// IdleCostScale converts idle accelerator seconds to seconds of waiting for a cold
// start: at equal weights, one second of an idle accelerator costs as much as 0.01 s of
// a caller's wait.
const IdleCostScale = 0.01

// evictionValue returns the savings per second and byte of memory.
func (h *hazard) evictionValue(now time.Time, resident Resident) float64 {
	return h.savings(now, resident) / float64(max(resident.Memory, 1))
}
