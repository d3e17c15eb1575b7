package quotakeeper

import (
	"slices"
	"sync"
	"time"
)

// source is what a node knows of one leader with respect to one tenant.
type source struct {
	// asked and expected are the tokens asked for by the call in flight, for requests that wait and in advance; askedAt is when it was sent.
	asked, expected int64
	askedAt         time.Time
	// askAt is when the leader may be asked again after it granted too little or did not know the tenant; refillPerS is the rate at which
	// this node gets tokens of it until then, 0 if it has none short.
	askAt      time.Time
	refillPerS float64
	// prepayAt is when it may be asked for tokens in advance again.
	prepayAt time.Time
	// answeredAt is when the leader last answered.
	answeredAt time.Time
	// downUntil is when the leader may be called again after a call failed.
	downUntil time.Time
}

// tenant is what a node holds for one tenant. It is safe for concurrent use.
type tenant struct {
	name   string
	keeper *Keeper
	// mu guards everything below.
	mu sync.Mutex
	// dropped is set once the keeper has forgotten the tenant.
	dropped bool
	// allowance is the newest that a request brought.
	allowance Allowance
	// batches are unexpired tokens in order of their expiry.
	batches []batch
	// queue are the requests that wait, in order of arrival.
	queue  []*Ticket
	demand demand
	// sources are by leader, as Keeper.zones.
	sources []source
	// turn is the last leader of another zone that was asked.
	turn int
	// unlimitedUntil is until when the tenant counts as having no limit, because a leader said so.
	unlimitedUntil time.Time
	// promisedUntil is the time up to which the tokens to come are promised to refused requests.
	promisedUntil time.Time
	// returnAll is set when requests that tokens were collected for were refused: what exceeds the expected demand is returned.
	returnAll bool
	// crowdedUntil is until when the tenant counts as crowded, largeCredit what large requests may take then; it is at least 0.
	crowdedUntil time.Time
	largeCredit  int64
	// usedAt is when a request last arrived.
	usedAt time.Time
}

// stock returns the number of unexpired tokens.
func (t *tenant) stock() int64 {
	total := int64(0)
	for i := range t.batches {
		total += t.batches[i].tokens
	}
	return total
}

// expire drops tokens whose lifetime has passed.
func (t *tenant) expire(now time.Time) {
	for len(t.batches) > 0 && !now.Before(t.batches[0].expiresAt) {
		t.keeper.count("tokens expired", t.batches[0].tokens)
		t.batches = t.batches[1:]
	}
}

// add adds tokens to the stock.
func (t *tenant) add(added batch) {
	at, _ := slices.BinarySearchFunc(t.batches, added, func(a, b batch) int {
		if a.expiresAt.After(b.expiresAt) {
			return 1
		}
		return -1
	})
	t.batches = slices.Insert(t.batches, at, added)
}

// spend grants a ticket if the stock covers it, with the tokens that expire first, and reports whether it did.
func (t *tenant) spend(now time.Time, ticket *Ticket) bool {
	if now.Before(t.unlimitedUntil) {
		ticket.decide(Granted)
		return true
	}
	if t.stock() < ticket.cost {
		return false
	}
	for missing := ticket.cost; missing > 0; {
		first := &t.batches[0]
		used := *first
		used.tokens = min(first.tokens, missing)
		ticket.spent = append(ticket.spent, used)
		missing -= used.tokens
		if first.tokens -= used.tokens; first.tokens == 0 {
			t.batches = t.batches[1:]
		}
	}
	t.keeper.count("tokens spent", ticket.cost)
	t.recordSpent(now, ticket.cost)
	ticket.decide(Granted)
	return true
}

// settle decides what can be decided now: it serves requests in order of arrival, but lets smaller ones pass a request that has too few tokens
// until they have got as many as that one needs, and refuses those that cannot be served in time.
func (t *tenant) settle(now time.Time) {
	t.expire(now)
	if len(t.queue) == 0 {
		return
	}
	if t.crowded(now) {
		t.sortCrowded()
	}
	reserved := false
	for i, ticket := range t.queue {
		if reserved || !now.Before(ticket.latest) || !t.spend(now, ticket) {
			reserved = reserved || ticket.passed >= ticket.cost
			continue
		}
		for j, other := range t.queue {
			if !other.decided() && (j < i || other.arrivedAt.Before(ticket.arrivedAt)) {
				other.passed += ticket.cost
			}
		}
	}
	t.queue = slices.DeleteFunc(t.queue, (*Ticket).decided)
	t.refuse(now)
	if len(t.queue) == 0 {
		t.queue = nil
	}
}

// refuse ends the waits that are over, and those that will be over before the tokens come.
func (t *tenant) refuse(now time.Time) {
	ahead := -t.stock()
	kept := t.queue[:0]
	for _, ticket := range t.queue {
		servedAt, answered, known := t.estimate(now, ticket, ahead+ticket.cost)
		switch {
		case t.stepsBack(now, ticket):
			t.stepBack(now, ticket)
		case now.Before(ticket.latest) && (!known || servedAt.Before(ticket.latest)):
			ahead += ticket.cost
			kept = append(kept, ticket)
			continue
		case !answered:
			t.keeper.count("requests of unknown allowance "+t.name, 1)
			ticket.decide(Unknown)
		default:
			t.recordRefusal(now, ticket.cost)
			ticket.retryAt = t.promise(now, ticket.cost, servedAt)
			t.keeper.count("requests over allowance "+t.name, 1)
			ticket.decide(Over)
		}
		t.returnAll = true
	}
	clear(t.queue[len(kept):])
	t.queue = kept
}

// estimate returns when the node should have got a number of further tokens. It is known while each leader is short of tokens or down beyond the
// ticket's wait. Answered is set if a leader has answered since the ticket's arrival, or its last answer still holds.
func (t *tenant) estimate(now time.Time, ticket *Ticket, missing int64) (servedAt time.Time, answered, known bool) {
	known = true
	for i := range t.sources {
		s := &t.sources[i]
		short := s.refillPerS > 0 && now.Before(s.askAt)
		answered = answered || short || !s.answeredAt.IsZero() && !s.answeredAt.Before(ticket.arrivedAt)
		known = known && (short || s.downUntil.After(ticket.latest))
	}
	rate := t.refillPerS()
	if rate == 0 {
		return ticket.latest, answered, known
	}
	return now.Add(seconds(float64(max(missing, 0)) / rate)), answered, known
}

// refillPerS returns the rate at which this node gets tokens by the last answers of the leaders.
func (t *tenant) refillPerS() float64 {
	rate := 0.0
	for i := range t.sources {
		rate += t.sources[i].refillPerS
	}
	return min(rate, t.allowance.RatePerS)
}

// promise returns when a refused request may retry: after those that were refused before it, each by the time in which its tokens come, and not
// before earliest.
func (t *tenant) promise(now time.Time, cost int64, earliest time.Time) time.Time {
	rate := t.refillPerS()
	if rate == 0 {
		rate = t.allowance.RatePerS / float64(len(t.sources))
	}
	from := now
	if t.promisedUntil.After(from) {
		from = t.promisedUntil
	}
	at := from.Add(seconds(float64(cost) / rate))
	if at.Before(earliest) {
		at = earliest
	}
	if last := now.Add(t.keeper.bounds.Window()); at.After(last) {
		at = last
	}
	t.promisedUntil = at
	return at
}

// seconds converts seconds to a duration, an hour at most.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
