package quotakeeper

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A tenant is crowded at a node while requests of usual cost are refused for lack of tokens. Large requests step back then: they wait longer than
// others, and ask the leaders for what tens of others cost, so that they got most of the tokens of a tenant that sent too much.
const (
	// largeRatio is the cost from which on a request is large, as a multiple of the usual one. The largest tenth of the prompts of one kind of request
	// is below it.
	largeRatio = 4.0
	// largePart gives the part of a crowded tenant's tokens that large requests may take: one in largePart of those that the others take.
	largePart = 8
	// crowdedTime is how long a tenant counts as crowded after such a refusal.
	crowdedTime = time.Second
)

// large reports whether a cost is far above that of the tenant's usual request.
func (t *tenant) large(cost int64) bool {
	return t.demand.cost > 0 && float64(cost) > largeRatio*t.demand.cost
}

// crowded reports whether requests of usual cost were refused lately.
func (t *tenant) crowded(now time.Time) bool { return now.Before(t.crowdedUntil) }

// stepsBack reports whether a large request of a crowded tenant is refused at once. Of those that are not, each takes its cost from what large
// requests may take at this node; as that is mostly less than one of them costs, they get it by lot.
func (t *tenant) stepsBack(now time.Time, ticket *Ticket) bool {
	if !t.crowded(now) || !t.large(ticket.cost) || ticket.favored {
		return false
	}
	if t.largeCredit <= 0 || draw(ticket.arrivedAt)*float64(ticket.cost) >= float64(t.largeCredit) {
		return true
	}
	t.largeCredit = max(t.largeCredit-ticket.cost, 0)
	ticket.favored = true
	return false
}

// draw returns a number in [0, 1) by an arrival, so that decisions depend on their input alone.
func draw(arrivedAt time.Time) float64 {
	var nanos [8]byte
	binary.LittleEndian.PutUint64(nanos[:], uint64(arrivedAt.UnixNano()))
	return float64(xxhash.Sum64(nanos[:])>>11) / (1 << 53)
}

// sortCrowded orders the queue of a crowded tenant by cost, less what later requests got meanwhile, so that most callers are served and none waits
// for ever.
func (t *tenant) sortCrowded() {
	slices.SortStableFunc(t.queue, func(a, b *Ticket) int { return cmp.Compare(a.cost-a.passed, b.cost-b.passed) })
}

// recordSpent adds to what large requests may take after a request has got its tokens.
func (t *tenant) recordSpent(now time.Time, cost int64) {
	if t.crowded(now) && !t.large(cost) {
		t.largeCredit = min(t.largeCredit+cost/largePart, int64(max(t.allowance.Burst, largeRatio*t.demand.cost)))
	}
}

// recordRefusal makes the tenant count as crowded after a request of usual cost was refused for lack of tokens.
func (t *tenant) recordRefusal(now time.Time, cost int64) {
	if t.large(cost) {
		return
	}
	if !t.crowded(now) {
		t.largeCredit = 0
		t.keeper.count("tenants crowded", 1)
	}
	t.crowdedUntil = now.Add(crowdedTime)
}

// stepBack refuses a large request of a crowded tenant. It does not delay the retries of others.
func (t *tenant) stepBack(now time.Time, ticket *Ticket) {
	t.keeper.count("requests over allowance "+t.name, 1)
	t.keeper.count("large requests stepped back", 1)
	ticket.retryAt = now.Add(t.keeper.bounds.Window())
	ticket.decide(Over)
}
