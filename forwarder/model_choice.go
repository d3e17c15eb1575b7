package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// Cost terms of the choice among workers that have the model loaded, in estimated milliseconds until the first event.
const (
	// modelRequestCost is added for each request that the worker runs in its batch.
	modelRequestCost = 4.0
	// modelRemoteCost is added for a worker in another zone.
	modelRemoteCost = 30.0
	// modelPenaltyCost is the cost of a penalty of 1, the highest; failures of the worker raise its penalty.
	modelPenaltyCost = 3000.0
	// promptTokenCost is added for each shared prompt token that the worker likely has not cached.
	promptTokenCost = 0.033
	// modelCostJitter bounds a random term, which keeps nodes with the same information from all choosing the same worker.
	modelCostJitter = 8.0
	// minAffinityTokens is the number of shared prompt tokens from which on the worker that likely caches them is preferred.
	minAffinityTokens = 1000
	// modelCutOffCost is added for a worker in a zone that seems cut off.
	modelCutOffCost = 150.0
	// modelDoubtCost is multiplied by the doubt whether the worker can be reached, which is 0 while all are.
	modelDoubtCost = 300.0
	// modelLimitedCost is added for a worker that names a limit, so that others with the model take what they can.
	modelLimitedCost = 120.0
	// modelFullCost is added when all slots of the worker are taken.
	modelFullCost = 1000.0
)

// Urgency of a request, by its route's target latency; workers run lower values first.
const (
	// urgentLatencyMS is the target latency in milliseconds up to which a route's requests are urgent.
	urgentLatencyMS = 1000
	urgencyHigh     = 3
	urgencyNormal   = 5
)

// Urgency of a request of a tenant: tenants of priority 0 begin at tenantUrgency, and each further priority takes rankUrgencies, for the priorities of routes.
const (
	tenantUrgency = 2
	rankUrgencies = 2
	maxUrgency    = 9
)

// urgency returns the urgency that is sent to the worker for a call.
func (f *Forwarder) urgency(c *call) int {
	if tenant, found := c.catalog.TenantByName(c.Tenant); f.room != nil && c.Tenant != "" && found {
		return min(tenantUrgency+rankUrgencies*tenant.Priority+min(c.route.Priority, rankUrgencies-1), maxUrgency)
	}
	if c.route.TargetLatencyMS <= urgentLatencyMS {
		return urgencyHigh
	}
	return urgencyNormal
}

// chooseModelWorker returns the worker with the least cost among those that have model and adapter loaded, or nil.
func (f *Forwarder) chooseModelWorker(now time.Time, c *call, holders []fleettracker.Holder) *registrar.Worker {
	var best *registrar.Worker
	bestCost := 0.0
	affinity, otherWorkerCost := f.affinityWorker(c, holders)
	for i := range holders {
		holder := &holders[i]
		if now.Before(c.avoidUntil[holder.Worker.ID]) {
			continue
		}
		verdict, obstacle := f.judgeHolder(now, holder)
		if obstacle != "" {
			continue
		}
		_, cost := f.modelCost(now, holder, &verdict)
		cost += rand.Float64() * modelCostJitter
		if holder.Worker.ID != affinity {
			cost += otherWorkerCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = holder.Worker, cost
			c.workerLoad = holder.Running
		}
	}
	return best
}

// judgeHolder returns why a worker must not be sent requests for a model and adapter, and an empty obstacle if it may. The verdict is the zero one
// if it does not have them loaded.
func (f *Forwarder) judgeHolder(now time.Time, holder *fleettracker.Holder) (verdict, obstacle) {
	switch {
	case !holder.ReadyAt.IsZero():
		return verdict{}, obstacleLoading
	case !holder.HasAdapter:
		return verdict{}, obstacleNoAdapter
	}
	judged := f.judge(now, holder.Worker, holder.Running)
	return judged, judged.obstacle()
}

// modelCost returns the load of a worker, and its cost from that, its zone and its penalty without the random term.
func (f *Forwarder) modelCost(now time.Time, holder *fleettracker.Holder, verdict *verdict) (load int, cost float64) {
	load = max(holder.Running+verdict.RecentSends, verdict.Running)
	cost = float64(load)*modelRequestCost + f.standingCost(now, holder.Worker, verdict)
	if load >= holder.Worker.Slots {
		cost += modelFullCost
	}
	return load, cost
}

// standingCost returns the part of a worker's cost that does not depend on its load.
func (f *Forwarder) standingCost(now time.Time, worker *registrar.Worker, verdict *verdict) float64 {
	cost := verdict.Penalty*modelPenaltyCost + modelDoubtCost*f.reach.Doubt(now, whereIs(worker))
	if worker.Zone != f.dependencies.Zone {
		cost += modelRemoteCost
	}
	if verdict.limited {
		cost += modelLimitedCost
	}
	if f.seemsCutOff(now, worker.Zone) {
		cost += modelCutOffCost
	}
	return cost
}

// sharedTokens returns the number of tokens in the prompt's shared parts, which are all but the last.
func sharedTokens(c *call) int {
	total := 0
	for _, part := range c.PromptParts[:max(len(c.PromptParts)-1, 0)] {
		total += part.Tokens
	}
	return total
}

// affinityWorker returns the worker that rendezvous hashing assigns to a prompt's
// shared parts, so that all nodes send them to the same one; it is empty when these
// parts are short. otherWorkerCost is the cost of processing them on any other worker.
func (f *Forwarder) affinityWorker(c *call, holders []fleettracker.Holder) (worker string, otherWorkerCost float64) {
	shared := sharedTokens(c)
	if shared < minAffinityTokens {
		return "", 0
	}
	hashKey := c.Model + "/" + c.Adapter
	for _, part := range c.PromptParts[:len(c.PromptParts)-1] {
		hashKey += "\x00" + part.ID
	}
	best, bestScore := "", uint64(0)
	for i := range holders {
		if !holders[i].ReadyAt.IsZero() || !holders[i].HasAdapter {
			continue
		}
		if score := xxhash.Sum64String(holders[i].Worker.ID + "\x00" + hashKey); best == "" || score > bestScore {
			best, bestScore = holders[i].Worker.ID, score
		}
	}
	return best, promptTokenCost * float64(shared)
}
