package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// shareTurn is the length of a round: one of that many places goes by fair share whatever the ranks, so that a burst of higher rank cannot
	// take all places.
	shareTurn = 4
	// longTurn is how many places go to quick requests that wait before a long prompt gets the next one: a place with a long prompt is free again
	// after about twice the time, so that these get a quarter of the places' time.
	longTurn = 6
	// longPrompt is the number of prompt tokens from which on a prompt is long: a worker takes about 130 ms for it, a quarter or more of what quick
	// requests are to take in all.
	longPrompt = 4000
	// placeTokens is the number of prompt tokens that keep a worker busy for as long as a short response keeps a place.
	placeTokens = 12000
	// maxTokens is the number of prompt tokens up to which a request costs more, several times that of the longest prompts: the callers name the counts,
	// and one wrong count must not take its flow all places, or give it all.
	maxTokens = 200_000
	// restTime is how long no request must have waited for the next one to begin anew: one that a worker rejected comes back sooner.
	restTime = 500 * time.Millisecond
	// minPause and maxPause bound the pause between two sends of a queue while workers reject its requests.
	// A request waits at least a part of its target latency before it is sent to a worker that seems full, unless minPause is less.
	targetParts = 4
	minPause    = 80 * time.Millisecond
	maxPause    = 1 * time.Second
)

// Rank orders requests by urgency: the tenant's priority goes before the route's; 0 is the highest in both.
type Rank struct{ Tenant, Route int }

// compare orders ranks, the most urgent first.
func (r Rank) compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Tenant, other.Tenant), cmp.Compare(r.Route, other.Route))
}

// Request is a request that waits for a place.
type Request struct {
	// Tenant is empty without tenants; Route is the kind of the request.
	Tenant, Route string
	Rank          Rank
	PromptTokens  int
	// ArrivedAt is when the request arrived, DueAt when its response becomes late, LatestStart until when it may be sent.
	ArrivedAt, DueAt, LatestStart time.Time
}

// isLong reports whether the prompt keeps a worker busy so long that quick requests notice it.
func (r *Request) isLong() bool { return r.PromptTokens >= longPrompt }

// cost is what the request takes of its flow's share, in places.
func (r *Request) cost() float64 {
	return 1 + float64(min(max(r.PromptTokens, 0), maxTokens))/placeTokens
}

// Ticket is a request's place in a queue.
type Ticket struct {
	request Request
	addedAt time.Time
}

// Request returns the request of the ticket.
func (t *Ticket) Request() *Request { return &t.request }

// flow is a tenant, or a route of a tenant; all flows of one kind that wait get equal shares.
type flow struct{ tenant, route string }

// flow returns the flow of the request's route.
func (r *Request) flow() flow { return flow{r.Tenant, r.Route} }

// service is a request that a worker took.
type service struct {
	at   time.Time
	flow flow
}

// Queue holds the requests that wait at a node for places at the workers of one model. It is not safe for concurrent use.
type Queue struct {
	// waiting are the tickets in the order of arrival.
	waiting []*Ticket
	// used is what each flow has been served, in places; a flow that begins to wait starts at the least of those that wait.
	used map[flow]float64
	// starts counts the places given since the last one by fair share, sinceLong those since the last long prompt.
	starts, sinceLong int
	// contendedAt is when requests began to wait, served are those that workers took since then within rateWindow, waitedAt is when the last one that
	// had to wait left the queue.
	contendedAt, waitedAt time.Time
	served                []service
	// pause is the pause between two sends while workers reject requests, 0 if they do not; the next send may begin at sendAt. FullAt is the same
	// for a send to a worker that seems full.
	pause          time.Duration
	sendAt, fullAt time.Time
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{used: map[flow]float64{}, sinceLong: longTurn}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add puts a request into the queue. Draw is a random number in [0, 1).
func (q *Queue) Add(now time.Time, request Request, draw float64) *Ticket {
	if len(q.waiting) == 0 && now.Sub(q.waitedAt) > max(restTime, 2*q.pause) {
		clear(q.used) // Nobody has a claim from a time without competition.
		q.contendedAt, q.served, q.pause = now, nil, 0
		q.fullAt = now.Add(spread(min(minPause, request.DueAt.Sub(request.ArrivedAt)/targetParts), draw))
	}
	for _, key := range []flow{{tenant: request.Tenant}, request.flow()} {
		if least, waits := q.leastUsed(key); !waits {
			q.used[key] = max(q.used[key], least)
		}
	}
	ticket := &Ticket{request: request, addedAt: now}
	q.waiting = append(q.waiting, ticket)
	return ticket
}

// spread returns a pause of half to one and a half of the given one.
func spread(pause time.Duration, draw float64) time.Duration {
	return time.Duration(float64(pause) * (0.5 + draw))
}

// leastUsed returns the least use of the waiting flows that compete with a flow, and whether the flow itself waits.
func (q *Queue) leastUsed(key flow) (least float64, waits bool) {
	first := true
	for _, ticket := range q.waiting {
		other := flow{tenant: ticket.request.Tenant}
		if key.route != "" {
			if other.tenant != key.tenant {
				continue
			}
			other.route = ticket.request.Route
		}
		if other == key {
			return 0, true
		}
		if used := q.used[other]; first || used < least {
			least, first = used, false
		}
	}
	return least, false
}

// Remove takes a ticket out of the queue, also one that is not in it.
func (q *Queue) Remove(ticket *Ticket) {
	if i := slices.Index(q.waiting, ticket); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Next returns the ticket whose turn it is among those that canStart says a place is free for, or nil.
func (q *Queue) Next(canStart func(*Ticket) bool) *Ticket {
	for _, ticket := range q.order() {
		if canStart(ticket) {
			return ticket
		}
	}
	return nil
}

// order returns the tickets in the order in which they would get the next place.
func (q *Queue) order() []*Ticket {
	ordered := slices.Clone(q.waiting)
	if len(ordered) < 2 {
		return ordered
	}
	byShare, quickFirst := q.starts >= shareTurn-1, q.sinceLong < longTurn
	slices.SortStableFunc(ordered, func(a, b *Ticket) int { return q.compare(&a.request, &b.request, byShare, quickFirst) })
	return ordered
}

// compare orders requests by urgency unless byShare is set, then by what their tenants and their routes were served, then by when they are due.
// With quickFirst, long prompts come last; one still gets a place that no quick request can use.
func (q *Queue) compare(a, b *Request, byShare, quickFirst bool) int {
	if quickFirst && a.isLong() != b.isLong() {
		return lo.Ternary(a.isLong(), 1, -1)
	}
	return cmp.Or(
		lo.Ternary(byShare, 0, a.Rank.compare(b.Rank)),
		cmp.Compare(q.used[flow{tenant: a.Tenant}], q.used[flow{tenant: b.Tenant}]),
		cmp.Compare(q.used[a.flow()], q.used[b.flow()]),
		a.DueAt.Compare(b.DueAt),
	)
}

// Served records that a worker has taken the request of a ticket.
func (q *Queue) Served(now time.Time, ticket *Ticket) {
	q.served = slices.DeleteFunc(q.served, func(s service) bool { return now.Sub(s.at) > rateWindow })
	if q.Len() > 0 || now.Sub(q.waitedAt) <= restTime {
		q.served = append(q.served, service{now, ticket.request.flow()})
	}
}

// Start takes a ticket out of the queue since it was given a place.
func (q *Queue) Start(now time.Time, ticket *Ticket) {
	if now.After(ticket.addedAt) {
		q.waitedAt = now
	}
	q.Remove(ticket)
	if q.starts++; q.starts >= shareTurn {
		q.starts = 0
	}
	if q.sinceLong++; ticket.request.isLong() {
		q.sinceLong = 0
	}
	cost := ticket.request.cost()
	q.used[flow{tenant: ticket.request.Tenant}] += cost
	q.used[ticket.request.flow()] += cost
}
