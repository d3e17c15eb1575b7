package quotakeeper

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// Look returns what Admit would decide on a request by what this node knows, and changes nothing: Waiting means that the node would ask leaders for
// tokens. RetryAt is as in Ticket.Result.
func (k *Keeper) Look(now time.Time, name string, allowance Allowance, cost int64, latest time.Time) (result Result, retryAt time.Time) {
	trial := k.copyOf(name)
	ticket := &Ticket{cost: cost, arrivedAt: now, latest: latest, done: make(chan struct{})}
	trial.admit(now, ticket, allowance)
	return ticket.Result()
}

// copyOf returns a copy of what the node holds for a tenant, of which nothing is counted.
func (k *Keeper) copyOf(name string) *tenant {
	uncounted := &Keeper{bounds: k.bounds, zones: k.zones, count: func(string, int64) {}}
	trial := &tenant{name: name, keeper: uncounted, sources: make([]source, len(k.zones))}
	k.tenantsMu.RLock()
	t := k.tenants[name]
	k.tenantsMu.RUnlock()
	if t == nil {
		return trial
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	trial.allowance, trial.demand, trial.turn = t.allowance, t.demand, t.turn
	trial.unlimitedUntil, trial.promisedUntil = t.unlimitedUntil, t.promisedUntil
	trial.batches, trial.sources = slices.Clone(t.batches), slices.Clone(t.sources)
	trial.queue = lo.Map(t.queue, func(waiting *Ticket, _ int) *Ticket {
		return &Ticket{
			tenant: trial, cost: waiting.cost, arrivedAt: waiting.arrivedAt, latest: waiting.latest, passed: waiting.passed,
			done: make(chan struct{}),
		}
	})
	return trial
}
