// Package queuer orders the requests that wait for a saturated unit by class,
// then by the tenants' fair shares, then by deadline.
//
// The package holds no clock and does no I/O. A waiting request of a lower
// class rises by one class for each agingStep that it waits, which bounds how
// long it can be passed by.
package queuer

import (
	"fmt"
	"hash/maphash"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/configurer"
)

const (
	// agingStep is the waiting time after which a request counts as one class higher.
	agingStep = 5 * time.Second
	// maxWaiting bounds the requests that wait for one unit at one node.
	maxWaiting = 1024
	// shardCount is the number of independently locked parts.
	shardCount = 16
)

// FullError says that a request cannot wait because it would not be served in time.
type FullError struct {
	// unit is what the request waits for.
	unit string
	// waiting is how many requests wait already.
	waiting int
	// retryAt is when the queue is expected to be short enough.
	retryAt time.Time
}

// Error names the unit and the length of its queue.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d requests already wait for %q", e.waiting, e.unit)
}

// RetryAt returns when the request may come back.
func (e *FullError) RetryAt() time.Time { return e.retryAt }

// Ticket is one waiting request.
type Ticket struct {
	unit     string
	class    int
	deadline time.Time
	entered  time.Time
	// turn is the tenant's virtual start time; lower goes first within a class.
	turn float64
	// granted is closed when the request may go on.
	granted chan struct{}
}

// Granted returns a channel that is closed when the request may go on.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// line is the queue of one unit.
type line struct {
	tickets []*Ticket
	// virtual is the turn of the last granted ticket.
	virtual float64
	// turns maps tenants to the end of their last turn.
	turns map[string]float64
	// interval is the mean time between grants, or 0 when there were none.
	interval time.Duration
	// grantedAt is when the last grant was.
	grantedAt time.Time
}

type shard struct {
	// mu guards lines.
	mu    sync.Mutex
	lines map[string]*line
}

// Queuer is safe for use by several goroutines.
type Queuer struct {
	shards [shardCount]shard
	seed   maphash.Seed
}

// New returns a queuer where nothing waits.
func New() *Queuer {
	q := &Queuer{seed: maphash.MakeSeed()}
	for i := range q.shards {
		q.shards[i].lines = map[string]*line{}
	}
	return q
}

func (q *Queuer) shardOf(unit string) *shard {
	return &q.shards[maphash.String(q.seed, unit)%shardCount]
}

// Request describes a request that wants to wait.
type Request struct {
	Unit     string
	Class    string
	Tenant   string
	Weight   float64
	Deadline time.Time
}

// Enter lets a request wait. The error is a *FullError when it would not be served in time.
func (q *Queuer) Enter(now time.Time, request Request) (*Ticket, error) {
	s := q.shardOf(request.Unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, known := s.lines[request.Unit]
	if !known {
		l = &line{turns: map[string]float64{}}
		s.lines[request.Unit] = l
	}
	ticket := &Ticket{
		unit: request.Unit, class: rank(request.Class), deadline: request.Deadline,
		entered: now, granted: make(chan struct{}),
	}
	ahead := lo.CountBy(l.tickets, func(t *Ticket) bool { return t.class <= ticket.class })
	expected := now.Add(time.Duration(ahead) * l.interval)
	if len(l.tickets) >= maxWaiting || expected.After(request.Deadline) {
		retryAt := now.Add(max(time.Duration(len(l.tickets))*l.interval, minRetry))
		return nil, &FullError{unit: request.Unit, waiting: len(l.tickets), retryAt: retryAt}
	}
	ticket.turn = max(l.virtual, l.turns[request.Tenant])
	l.turns[request.Tenant] = ticket.turn + 1/max(request.Weight, leastWeight)
	l.tickets = append(l.tickets, ticket)
	return ticket, nil
}

const (
	// minRetry is the shortest time after which a refused request may come back.
	minRetry = 100 * time.Millisecond
	// leastWeight keeps the turn of a tenant finite.
	leastWeight = 0.01
)

func rank(class string) int {
	return max(lo.IndexOf(configurer.Classes(), class), 0)
}

// Leave removes a request that no longer waits.
func (q *Queuer) Leave(ticket *Ticket) {
	s := q.shardOf(ticket.unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, known := s.lines[ticket.unit]; known {
		l.tickets = lo.Without(l.tickets, ticket)
		s.dropEmpty(ticket.unit, l)
	}
}

// dropEmpty forgets a line that holds nothing worth keeping; the caller holds mu.
func (s *shard) dropEmpty(unit string, l *line) {
	if len(l.tickets) == 0 && l.grantedAt.IsZero() {
		delete(s.lines, unit)
	}
}

// Release lets the next request of a unit go on, if one waits.
func (q *Queuer) Release(now time.Time, unit string) {
	s := q.shardOf(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, known := s.lines[unit]
	if !known {
		return
	}
	if len(l.tickets) == 0 {
		delete(s.lines, unit)
		return
	}
	next := l.tickets[0]
	for _, ticket := range l.tickets[1:] {
		if before(now, ticket, next) {
			next = ticket
		}
	}
	l.grant(now, next)
}

// intervalWeight is the share of the newest interval in the mean.
const intervalWeight = 0.2

// grant lets a ticket go on; the caller holds mu.
func (l *line) grant(now time.Time, ticket *Ticket) {
	l.tickets = lo.Without(l.tickets, ticket)
	l.virtual = max(l.virtual, ticket.turn)
	if !l.grantedAt.IsZero() {
		l.interval += time.Duration(intervalWeight * float64(now.Sub(l.grantedAt)-l.interval))
	}
	l.grantedAt = now
	close(ticket.granted)
}

// before reports whether ticket a goes before ticket b.
func before(now time.Time, a, b *Ticket) bool {
	rankA, rankB := agedRank(now, a), agedRank(now, b)
	if rankA != rankB {
		return rankA < rankB
	}
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	return a.deadline.Before(b.deadline)
}

func agedRank(now time.Time, ticket *Ticket) int {
	return max(ticket.class-int(now.Sub(ticket.entered)/agingStep), 0)
}

// Waiting returns how many requests wait for a unit.
func (q *Queuer) Waiting(unit string) int {
	s := q.shardOf(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, known := s.lines[unit]
	if !known {
		return 0
	}
	return len(l.tickets)
}
