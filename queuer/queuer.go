// Package queuer queues the requests for units whose workers are all saturated.
// The order is by class, then by weighted fair queueing among tenants, then by
// deadline. A unit is what a worker loads: a model version, or an adapter on one.
//
// A waiting request rises by one class for each agingStep that it waits, so that
// a low class is not starved. The package reads no clock and does no I/O.
package queuer

import (
	"fmt"
	"hash/maphash"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/configreader"
)

const (
	// agingStep is the waiting time after which a request rises by one class.
	agingStep = 5 * time.Second
	// maxWaitingPerUnit bounds the queue of one unit at one node.
	maxWaitingPerUnit = 1024
	// shardCount is the number of shards, each with a lock of its own.
	shardCount = 16
)

// FullError reports that a request was not queued: the queue is full, or the
// request is not expected to be granted a slot before its deadline.
type FullError struct {
	// unit is the requested unit.
	unit string
	// waiting is the length of the unit's queue.
	waiting int
	// retryAt is when the requests now in the queue should have been granted slots.
	retryAt time.Time
}

// Error gives the unit and the length of its queue.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d requests already wait for %q", e.waiting, e.unit)
}

// RetryAt returns when the request may be retried.
func (e *FullError) RetryAt() time.Time { return e.retryAt }

// Ticket is a request in the queue.
type Ticket struct {
	unit string
	// rank is the rank of the request's class, as classRank returns it; 0 is the most urgent.
	rank     int
	deadline time.Time
	entered  time.Time
	// virtualStart is the start time in start-time fair queueing; lower goes first within a class.
	virtualStart float64
	// granted is closed when the request is granted a slot.
	granted chan struct{}
}

// Granted returns a channel that is closed when the request is granted a slot.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// unitQueue is the queue of one unit, with the state of start-time fair queueing
// among its tenants.
type unitQueue struct {
	// waiting holds the tickets that are not granted, in order of arrival, which breaks ties.
	waiting []*Ticket
	// virtualTime is the largest virtual start time of a granted ticket.
	virtualTime float64
	// virtualFinish maps tenants to the virtual finish time of their last ticket.
	virtualFinish map[string]float64
	// grantInterval is the moving average of the time between grants, or 0 before the second one.
	grantInterval time.Duration
	// grantedAt is the time of the last grant, or zero before the first one.
	grantedAt time.Time
}

// shard holds the queues that share a lock.
type shard struct {
	// mu guards queues and all that they hold.
	mu sync.Mutex
	// queues maps units to their queues.
	queues map[string]*unitQueue
}

// Queuer holds the queues of all units of a node. It is safe for concurrent use.
type Queuer struct {
	shards [shardCount]shard
	seed   maphash.Seed
}

// New returns a queuer with no requests.
func New() *Queuer {
	q := &Queuer{seed: maphash.MakeSeed()}
	for i := range q.shards {
		q.shards[i].queues = map[string]*unitQueue{}
	}
	return q
}

func (q *Queuer) shardOf(unit string) *shard {
	return &q.shards[maphash.String(q.seed, unit)%shardCount]
}

// Request describes a request to be queued.
type Request struct {
	// Unit is the unit that the request needs.
	Unit string
	// Class is one of configreader.Classes.
	Class string
	// Tenant is the name of the tenant that shares the queue with others.
	Tenant string
	// Weight is the tenant's share relative to others; values below minWeight count as minWeight.
	Weight float64
	// Deadline is the latest time for a grant. Among requests of equal class and virtual start time, the one
	// with the earlier deadline goes first.
	Deadline time.Time
}

// Enter queues a request. The error is a *FullError when the queue is full or the
// request is not expected to be granted a slot before its deadline.
func (q *Queuer) Enter(now time.Time, request Request) (*Ticket, error) {
	s := q.shardOf(request.Unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, found := s.queues[request.Unit]
	if !found {
		u = &unitQueue{virtualFinish: map[string]float64{}}
		s.queues[request.Unit] = u
	}
	ticket := &Ticket{
		unit: request.Unit, rank: classRank(request.Class), deadline: request.Deadline,
		entered: now, granted: make(chan struct{}),
	}
	ahead := lo.CountBy(u.waiting, func(t *Ticket) bool { return t.rank <= ticket.rank })
	expectedGrant := now.Add(time.Duration(ahead) * u.grantInterval)
	if len(u.waiting) >= maxWaitingPerUnit || expectedGrant.After(request.Deadline) {
		retryAt := now.Add(max(time.Duration(len(u.waiting))*u.grantInterval, minRetryDelay))
		return nil, &FullError{unit: request.Unit, waiting: len(u.waiting), retryAt: retryAt}
	}
	ticket.virtualStart = max(u.virtualTime, u.virtualFinish[request.Tenant])
	u.virtualFinish[request.Tenant] = ticket.virtualStart + 1/max(request.Weight, minWeight)
	u.waiting = append(u.waiting, ticket)
	return ticket, nil
}

const (
	// minRetryDelay is the shortest retry delay of a refused request.
	minRetryDelay = 100 * time.Millisecond
	// minWeight keeps the virtual finish time of a tenant finite.
	minWeight = 0.01
)

// classRank returns the position of a class among configreader.Classes, or 0, the most
// urgent, for an unknown one.
func classRank(class string) int {
	return max(lo.IndexOf(configreader.Classes(), class), 0)
}

// Leave removes a request from its queue, if it still waits there.
func (q *Queuer) Leave(ticket *Ticket) {
	s := q.shardOf(ticket.unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, found := s.queues[ticket.unit]; found {
		u.waiting = lo.Without(u.waiting, ticket)
		s.deleteUnused(ticket.unit, u)
	}
}

// deleteUnused deletes a queue that has no waiting requests and has granted no slot, so
// that no average of grant intervals is lost. The caller holds mu.
func (s *shard) deleteUnused(unit string, u *unitQueue) {
	if len(u.waiting) == 0 && u.grantedAt.IsZero() {
		delete(s.queues, unit)
	}
}

// Release grants a slot that became free to the next waiting request of a unit. When
// none waits, it deletes the unit's queue.
func (q *Queuer) Release(now time.Time, unit string) {
	s := q.shardOf(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, found := s.queues[unit]
	if !found {
		return
	}
	if len(u.waiting) == 0 {
		delete(s.queues, unit)
		return
	}
	next := u.waiting[0]
	for _, ticket := range u.waiting[1:] {
		if precedes(now, ticket, next) {
			next = ticket
		}
	}
	u.grant(now, next)
}

// intervalSmoothing is the weight of the newest interval in the moving average.
const intervalSmoothing = 0.2

// grant removes a ticket from the queue and grants it a slot. The caller holds mu.
func (u *unitQueue) grant(now time.Time, ticket *Ticket) {
	u.waiting = lo.Without(u.waiting, ticket)
	u.virtualTime = max(u.virtualTime, ticket.virtualStart)
	if !u.grantedAt.IsZero() {
		u.grantInterval += time.Duration(intervalSmoothing * float64(now.Sub(u.grantedAt)-u.grantInterval))
	}
	u.grantedAt = now
	close(ticket.granted)
}

// precedes reports whether ticket a is granted before ticket b.
func precedes(now time.Time, a, b *Ticket) bool {
	rankA, rankB := agedRank(now, a), agedRank(now, b)
	if rankA != rankB {
		return rankA < rankB
	}
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.deadline.Before(b.deadline)
}

// agedRank returns the rank of a ticket, lowered by one for each agingStep that it has waited.
func agedRank(now time.Time, ticket *Ticket) int {
	return max(ticket.rank-int(now.Sub(ticket.entered)/agingStep), 0)
}

// Waiting returns the length of a unit's queue.
func (q *Queuer) Waiting(unit string) int {
	s := q.shardOf(unit)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, found := s.queues[unit]
	if !found {
		return 0
	}
	return len(u.waiting)
}
