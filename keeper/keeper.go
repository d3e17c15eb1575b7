// Package keeper decides which loaded units are worth their accelerators.
//
// A worker's accelerators are paid for while anything is loaded there, so that
// a further unit on a worker that is held anyway costs nothing until its memory
// is needed. The unit of decision is therefore the worker: all its units go
// together once what they save falls below what the worker costs.
//
// A Policy is a set of functions, so that the baselines run through the same
// planner. The package holds no clock and does no I/O.
package keeper

import (
	"math"
	"time"
)

// Resident is one ready unit at a worker.
type Resident struct {
	Unit string
	// LastUse is when a request last named the unit or an adapter on it.
	LastUse time.Time
	// ReloadSeconds is how long a request would wait for the unit after an unload.
	ReloadSeconds float64
	// Memory is in bytes.
	Memory int64
	// Elsewhere is set when another worker of the zone has the unit ready too.
	Elsewhere bool
}

// Holding is a worker that has nothing running, loading or unloading.
type Holding struct {
	Residents []Resident
	// Accelerators are paid for while the worker holds anything.
	Accelerators int
}

// Policy decides what is kept and what is evicted.
type Policy struct {
	// Name identifies the policy in reports.
	Name string
	// Used takes in that requests named a unit.
	Used func(unit string, now time.Time, requests int)
	// Idle returns the units of an idle worker that are to be unloaded.
	Idle func(now time.Time, holding Holding) []string
	// Value orders evictions for want of memory: the lowest goes first.
	Value func(now time.Time, resident Resident) float64
	// ColdWeight and IdleWeight are the costs of a second of cold-start wait and of an idle accelerator second.
	ColdWeight, IdleWeight float64
}

func ignoreUse(string, time.Time, int) {}

func byLastUse(now time.Time, resident Resident) float64 {
	return -now.Sub(resident.LastUse).Seconds()
}

// NewFixed returns the policy that unloads each unit a fixed time after its last use.
func NewFixed(window time.Duration) *Policy {
	idle := func(now time.Time, holding Holding) []string {
		var units []string
		for _, resident := range holding.Residents {
			if now.Sub(resident.LastUse) > window {
				units = append(units, resident.Unit)
			}
		}
		return units
	}
	return &Policy{Name: "keep " + window.String(), Used: ignoreUse, Idle: idle, Value: byLastUse, ColdWeight: 1, IdleWeight: 1}
}

// NewImmediate returns the policy that unloads a unit as soon as nothing uses it.
func NewImmediate() *Policy {
	policy := NewFixed(0)
	policy.Name = "unload at once"
	return policy
}

// NewLeastRecent returns the policy that unloads only for want of memory, least recently used first.
func NewLeastRecent() *Policy {
	idle := func(time.Time, Holding) []string { return nil }
	return &Policy{Name: "least recently used", Used: ignoreUse, Idle: idle, Value: byLastUse, ColdWeight: 1, IdleWeight: 1}
}

// Time constants of the rates that a history keeps.
const (
	fastDecay = 5 * time.Minute
	slowDecay = time.Hour
	// slowShare is the weight of the slow rate in the expected rate.
	slowShare = 0.5
)

// history holds decayed counts of one unit's requests.
type history struct {
	// fast and slow are counts that decay with fastDecay and slowDecay.
	fast, slow float64
	// at is when the counts were last brought up to date.
	at time.Time
}

func (h *history) advance(now time.Time) {
	if elapsed := now.Sub(h.at); elapsed > 0 {
		h.fast *= math.Exp(-elapsed.Seconds() / fastDecay.Seconds())
		h.slow *= math.Exp(-elapsed.Seconds() / slowDecay.Seconds())
		h.at = now
	}
}

// rate returns the expected bursts a second.
func (h *history) rate(now time.Time) float64 {
	h.advance(now)
	return (1-slowShare)*h.fast/fastDecay.Seconds() + slowShare*h.slow/slowDecay.Seconds()
}

// burstGap is the time within which further requests count as the same burst:
// only the first of a burst would meet a cold start.
const burstGap = 5 * time.Second

// NewHazard returns the policy that weighs the expected rate of cold starts of
// each unit, by its own history, against what its worker costs.
func NewHazard(coldWeight, idleWeight float64) *Policy {
	h := &hazard{histories: map[string]*history{}, lastBurst: map[string]time.Time{}}
	h.policy = &Policy{Name: "hazard", Used: h.used, Idle: h.idle, Value: h.value, ColdWeight: coldWeight, IdleWeight: idleWeight}
	return h.policy
}

type hazard struct {
	histories map[string]*history
	// lastBurst maps units to when their last request came.
	lastBurst map[string]time.Time
	// policy holds the weights in force.
	policy *Policy
}

func (h *hazard) used(unit string, now time.Time, _ int) {
	known, found := h.histories[unit]
	if !found {
		known = &history{at: now}
		h.histories[unit] = known
	}
	known.advance(now)
	if now.Sub(h.lastBurst[unit]) > burstGap {
		known.fast++
		known.slow++
	}
	h.lastBurst[unit] = now
}

// savings returns the cold-start cost a second that a resident unit saves.
func (h *hazard) savings(now time.Time, resident Resident) float64 {
	known, found := h.histories[resident.Unit]
	if !found || resident.Elsewhere {
		return 0
	}
	return known.rate(now) * resident.ReloadSeconds * h.policy.ColdWeight
}

func (h *hazard) idle(now time.Time, holding Holding) []string {
	total := 0.0
	units := make([]string, 0, len(holding.Residents))
	for _, resident := range holding.Residents {
		total += h.savings(now, resident)
		units = append(units, resident.Unit)
	}
	if total >= h.policy.IdleWeight*float64(holding.Accelerators)*IdleCostScale {
		return nil
	}
	return units
}

// IdleCostScale turns the weight of an idle accelerator second into the unit
// of cold-start seconds: one second of a caller's wait weighs as much as this
// share of an hour of an idle accelerator.
const IdleCostScale = 0.01

// value returns the savings for each byte.
func (h *hazard) value(now time.Time, resident Resident) float64 {
	return h.savings(now, resident) / float64(max(resident.Memory, 1))
}
