package quotakeeper

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

// Keeper is a node's side: it holds prepaid tokens for each tenant and decides on requests. It is safe for concurrent use.
type Keeper struct {
	bounds Bounds
	// zones are the zones whose leaders grant tokens, the node's own one first.
	zones []string
	// count increases a counter.
	count func(name string, n int64)
	// tenantsMu guards tenants. It may be held while a tenant's lock is taken, not the other way round.
	tenantsMu sync.RWMutex
	tenants   map[string]*tenant
	// callsMu guards calls, and is held while calls are planned and answers applied.
	callsMu sync.Mutex
	calls   []leaderCalls
}

// New returns a keeper without tokens. Home is the node's own zone, which comes first of zones if it is one of them.
func New(bounds Bounds, home string, zones []string, count func(name string, n int64)) *Keeper {
	ordered := lo.Uniq(zones)
	slices.SortStableFunc(ordered, func(a, b string) int { return lo.Ternary(a == home, -1, 0) - lo.Ternary(b == home, -1, 0) })
	return &Keeper{bounds: bounds, zones: ordered, count: count, tenants: map[string]*tenant{}, calls: make([]leaderCalls, len(ordered))}
}

// Admit decides on a request, or returns a ticket that waits for tokens until latest at most. Plan must be called after a request that has to wait.
// The cost must not be negative.
func (k *Keeper) Admit(now time.Time, name string, allowance Allowance, cost int64, latest time.Time) *Ticket {
	ticket := &Ticket{cost: cost, arrivedAt: now, latest: latest, done: make(chan struct{})}
	for {
		t := k.tenant(name)
		t.mu.Lock()
		if !t.dropped {
			t.admit(now, ticket, allowance)
			t.mu.Unlock()
			return ticket
		}
		t.mu.Unlock() // Forgotten between both locks.
	}
}

// admit decides on a ticket or appends it to the queue; the caller holds mu.
func (t *tenant) admit(now time.Time, ticket *Ticket, allowance Allowance) {
	ticket.tenant, t.allowance, t.usedAt = t, allowance, now
	if ticket.cost > t.keeper.bounds.Largest(allowance, ticket.latest.Sub(now)) {
		t.keeper.count("requests over allowance "+t.name, 1)
		ticket.decide(TooLarge)
		return
	}
	t.demand.observe(now, ticket.cost)
	t.expire(now)
	if t.stepsBack(now, ticket) {
		t.stepBack(now, ticket)
		return
	}
	if len(t.queue) == 0 && t.spend(now, ticket) {
		return
	}
	t.queue = append(t.queue, ticket)
	t.settle(now)
}

// Refund takes back the tokens of a granted request that certainly has not run, as far as they have not expired.
func (k *Keeper) Refund(now time.Time, ticket *Ticket) {
	t := ticket.tenant
	t.mu.Lock()
	defer t.mu.Unlock()
	spent := ticket.spent
	ticket.spent = nil
	if t.dropped {
		return
	}
	for _, back := range spent {
		if now.Before(back.expiresAt) {
			k.count("tokens refunded", back.tokens)
			t.add(back)
		}
	}
	t.settle(now)
}

// Cancel ends the wait of a ticket whose caller has left. It does nothing if the ticket is decided.
func (k *Keeper) Cancel(now time.Time, ticket *Ticket) {
	t := ticket.tenant
	t.mu.Lock()
	defer t.mu.Unlock()
	if ticket.decided() {
		return
	}
	t.queue = slices.DeleteFunc(t.queue, func(other *Ticket) bool { return other == ticket })
	ticket.decide(Unknown)
	t.returnAll = true
	t.settle(now)
}

// tenant returns what the node holds for a tenant.
func (k *Keeper) tenant(name string) *tenant {
	k.tenantsMu.RLock()
	t := k.tenants[name]
	k.tenantsMu.RUnlock()
	if t != nil {
		return t
	}
	k.tenantsMu.Lock()
	defer k.tenantsMu.Unlock()
	if t = k.tenants[name]; t == nil {
		t = &tenant{name: name, keeper: k, sources: make([]source, len(k.zones))}
		k.tenants[name] = t
	}
	return t
}

// idleTime is how long a node remembers a tenant of which no request arrives.
const idleTime = time.Minute

// active returns the tenants ordered by name, without those that are idle, which are forgotten.
func (k *Keeper) active(now time.Time) []*tenant {
	k.tenantsMu.Lock()
	defer k.tenantsMu.Unlock()
	tenants := make([]*tenant, 0, len(k.tenants))
	for name, t := range k.tenants {
		t.mu.Lock()
		if t.dropped = len(t.queue) == 0 && len(t.batches) == 0 && now.Sub(t.usedAt) > idleTime; t.dropped {
			delete(k.tenants, name)
		} else {
			tenants = append(tenants, t)
		}
		t.mu.Unlock()
	}
	slices.SortFunc(tenants, func(a, b *tenant) int { return lo.Ternary(a.name < b.name, -1, 1) })
	return tenants
}
