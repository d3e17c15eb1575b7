package quotakeeper

import (
	"math"
	"sync"
	"time"
)

const (
	// unmetTime is how long a leader counts what a node asked for and did not get; nodes ask again within half of it while requests wait.
	unmetTime = 100 * time.Millisecond
	// expectedLevel is the part of a bucket's capacity that is kept for requests that wait: expected tokens are granted above it only.
	expectedLevel = 0.25
	// maxNodes bounds the nodes with unmet requests that a bucket remembers; further ones are not counted in its shares.
	maxNodes = 4096
)

// unmet is what a node asked for and did not get.
type unmet struct {
	tokens int64
	until  time.Time
}

// bucket is the token bucket of one tenant.
type bucket struct {
	allowance Allowance
	// ratePerS is what the bucket gains in a second.
	ratePerS float64
	// level is at most capacity, as of refilledAt; credits are at most maxCredits, the returned tokens that may still be put back.
	level, capacity     float64
	credits, maxCredits float64
	refilledAt          time.Time
	// unmet holds, by node, what was not granted lately.
	unmet map[string]unmet
}

// Granter is the leader's side: a token bucket for each tenant with the zone's part of its allowance. It is safe for concurrent use.
type Granter struct {
	bounds Bounds
	// random returns numbers in [0, 1).
	random func() float64
	// mu guards everything below.
	mu sync.Mutex
	// epoch is that of the leadership since beganAt; buckets hold what was gained under it, by tenant.
	epoch   int64
	beganAt time.Time
	buckets map[string]*bucket
	// now is the latest time that was passed in: calls may overtake each other.
	now time.Time
}

// NewGranter returns a granter that grants nothing until time has passed under an epoch. Random returns numbers in [0, 1).
func NewGranter(bounds Bounds, random func() float64) *Granter {
	return &Granter{bounds: bounds, random: random, buckets: map[string]*bucket{}}
}

// Begin begins the leadership of an epoch, with empty buckets: the leader before may just have granted all that the zone's buckets held. It
// does nothing if the epoch has begun already.
func (g *Granter) Begin(now time.Time, epoch int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin(now, epoch)
}

func (g *Granter) begin(now time.Time, epoch int64) {
	if now.After(g.now) {
		g.now = now
	}
	if epoch != g.epoch {
		g.epoch, g.beganAt, g.buckets = epoch, g.now, map[string]*bucket{}
	}
}

// Take answers a node's requests. The leader must have held the lease of the epoch at the time now, which it reads before it checks that.
// Tenants that allowance does not know get no grant.
func (g *Granter) Take(now time.Time, epoch int64, node string, allowance func(tenant string) (Allowance, bool), requests []Request) []Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begin(now, epoch)
	grants := make([]Grant, 0, len(requests))
	for _, request := range requests {
		allowed, known := allowance(request.Tenant)
		switch {
		case !known:
		case !allowed.Limited():
			delete(g.buckets, request.Tenant)
			grants = append(grants, Grant{Tenant: request.Tenant, Unlimited: true})
		default:
			b := g.bucket(request.Tenant, allowed)
			b.takeBack(request.Returned)
			grants = append(grants, b.grant(g.now, node, request, g.random))
		}
	}
	return grants
}

// bucket returns the bucket of a tenant as of now, with its allowance.
func (g *Granter) bucket(tenant string, allowed Allowance) *bucket {
	b := g.buckets[tenant]
	if b == nil {
		b = &bucket{refilledAt: g.beganAt, unmet: map[string]unmet{}}
		b.configure(g.bounds, allowed)
		g.buckets[tenant] = b
	}
	b.refill(g.now, g.bounds)
	if b.allowance != allowed {
		b.configure(g.bounds, allowed)
	}
	return b
}

// configure sets the allowance. A lower one takes effect at once: what the bucket holds beyond it is lost.
func (b *bucket) configure(bounds Bounds, allowed Allowance) {
	b.allowance, b.capacity, b.maxCredits = allowed, bounds.capacity(allowed), bounds.credit(allowed)/2
	b.ratePerS = bounds.rate(allowed)
	b.level, b.credits = min(b.level, b.capacity), min(b.credits, b.maxCredits)
}

// refill adds what the bucket has gained since its last refill. Credits refill within a window and a lifetime, so that twice maxCredits may be
// used in any such time.
func (b *bucket) refill(now time.Time, bounds Bounds) {
	passed := now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.level = min(b.level+passed*b.ratePerS, b.capacity)
	b.credits = min(b.credits+passed*b.maxCredits/(bounds.Window()+bounds.Lifetime()).Seconds(), b.maxCredits)
}

// takeBack puts returned tokens back as far as credits and capacity allow.
func (b *bucket) takeBack(returned int64) {
	accepted := max(min(float64(returned), b.credits, b.capacity-b.level), 0)
	b.level += accepted
	b.credits -= accepted
}

// grant answers one request. While the bucket is short, each node gets the share of the level that its request has of all that is asked for. A node
// whose share is small gets it by lot: all that it needs or nothing, since at hundreds of nodes no share would cover a whole request.
func (b *bucket) grant(now time.Time, node string, request Request, random func() float64) Grant {
	needed := max(request.Needed, 0)
	others := b.unmetOfOthers(now, node)
	share := b.level
	if asked := others + float64(needed); asked > b.level {
		share = b.level * float64(needed) / asked
	}
	granted := min(needed, int64(share))
	if granted < needed/2 || granted == 0 {
		granted = min(needed, int64(b.level))
		if random()*float64(granted) >= share {
			granted = 0
		}
	}
	b.level -= float64(granted)
	grant := Grant{Tenant: request.Tenant, Granted: granted}
	if short := needed - granted; short > 0 {
		if len(b.unmet) < maxNodes {
			b.unmet[node] = unmet{tokens: short, until: now.Add(unmetTime)}
		}
		grant.RetryMS = max(int64(math.Ceil((others+float64(short)-b.level)/b.ratePerS*1000)), 1)
		return grant
	}
	delete(b.unmet, node)
	if spare := b.level - others - expectedLevel*b.capacity; spare >= 1 && request.Expected > 0 {
		expected := min(request.Expected, int64(spare))
		b.level -= float64(expected)
		grant.Granted += expected
	}
	return grant
}

// unmetOfOthers returns what other nodes asked for lately and did not get.
func (b *bucket) unmetOfOthers(now time.Time, node string) float64 {
	total := 0.0
	for name, missing := range b.unmet {
		switch {
		case !now.Before(missing.until):
			delete(b.unmet, name)
		case name != node:
			total += float64(missing.tokens)
		}
	}
	return total
}
