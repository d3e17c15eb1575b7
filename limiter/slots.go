package limiter

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// arrivalTime is the longest time from the grant of a slot to the arrival of its request at the worker, which turns it away at once if it has no room.
	arrivalTime = time.Second
	// settleTime is how long a new leader grants nothing: until then, requests with slots of its predecessor may arrive.
	settleTime = arrivalTime
	// cautionTime is how long a leader distrusts its count of a worker's requests, after it took the lease or the worker turned a request away.
	cautionTime = 10 * time.Second
	// unusedTime is the time after which a slot counts as not used if the node has not told that the worker took the request; it tells within a fraction of a second.
	unusedTime = arrivalTime + time.Second
	// fullRetry is when a worker whose slots are taken is likely to have one, about the time that a short response takes.
	fullRetry = 50 * time.Millisecond
)

// SlotUse is what a node tells the leader of the zone of a brittle worker: whether it wants a slot of the worker, and what became of those that it
// was granted since it told so last.
type SlotUse struct {
	// Worker is the ID of the worker, Incarnation identifies the start of its process. Slots is the number of requests that it runs at the same time.
	Worker      string
	Incarnation int64
	Slots       int
	// PerSecond is how many requests it may turn away in a second without falling over; it is not negative.
	PerSecond float64
	// Wanted is set if the node wants a slot, for a request that ends at EndsAt at the latest.
	Wanted bool
	EndsAt time.Time
	// Accepted and Rejected count the slots whose requests the worker took or turned away, Ended those whose requests have ended. A request that was
	// turned away has ended too; it may have been told as taken before.
	Accepted, Rejected, Ended int
}

// Empty reports whether it tells the leader nothing.
func (u SlotUse) Empty() bool {
	return !u.Wanted && u.Accepted == 0 && u.Rejected == 0 && u.Ended == 0
}

// slotGrant is a slot that was granted to a node.
type slotGrant struct {
	node      string
	grantedAt time.Time
	// endsAt is when its request ends at the latest.
	endsAt time.Time
	// accepted is set once the worker is known to have taken the request.
	accepted bool
}

// slotWorker is what a leader knows of the slots of one start of a brittle worker.
type slotWorker struct {
	incarnation int64
	// grants are the slots whose requests have not ended, oldest first. Those that are not accepted are younger than unusedTime.
	grants []slotGrant
	// rejections are when this node was told of requests with its slots that the worker turned away, oldest first, for unusedTime.
	rejections []time.Time
	// distrustedUntil is the end of the caution after the last of these; usedAt is when a node asked for the worker last.
	distrustedUntil, usedAt time.Time
}

// SlotGranter grants slots of the brittle workers of the zone that this node leads. It is safe for concurrent use.
type SlotGranter struct {
	// mu guards everything below.
	mu sync.Mutex
	// epoch is that of the lease under which all of the workers' slots were granted, since is when the first was asked for.
	epoch int64
	since time.Time
	// workers holds the brittle workers by ID.
	workers map[string]*slotWorker
}

// NewSlotGranter returns a granter that has granted nothing.
func NewSlotGranter() *SlotGranter { return &SlotGranter{workers: map[string]*slotWorker{}} }

// Apply applies what a node tells of a worker, under the epoch of this node's lease, and grants it a slot if it wants one and there is one. Running is the
// number of the worker's requests that nodes report, which may be old. If no slot is granted, retryAt says when there may be one.
//
// A slot is granted only if fewer requests are known than the worker runs at the same time. While the count may be wrong, the slots whose requests the worker
// may turn away are bounded as well, by what it bears.
func (g *SlotGranter) Apply(now time.Time, epoch int64, node string, use SlotUse, running int) (granted bool, retryAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since.IsZero() || epoch != g.epoch {
		g.epoch, g.since, g.workers = epoch, now, map[string]*slotWorker{}
	}
	worker := g.workers[use.Worker]
	if worker != nil && use.Incarnation < worker.incarnation {
		return false, now.Add(fullRetry) // The node does not know yet that the worker has started again.
	}
	if worker == nil || worker.incarnation != use.Incarnation {
		g.dropIdle(now)
		worker = &slotWorker{incarnation: use.Incarnation}
		g.workers[use.Worker] = worker
	}
	worker.usedAt = now
	worker.settle(now, node, use)
	if !use.Wanted {
		return false, time.Time{}
	}
	if settled := g.since.Add(settleTime); now.Before(settled) {
		return false, settled
	}
	held, atRisk := max(len(worker.grants), running), worker.atRisk(now)
	cautious := now.Before(g.since.Add(cautionTime)) || now.Before(worker.distrustedUntil)
	granted = held < use.Slots && (!cautious || float64(atRisk+1) <= max(rejectionShare*use.PerSecond, 1))
	logger.Info("slot decided").Str("node", node).Str("worker", use.Worker).Int64("born", use.Incarnation).Bool("granted", granted).Int("held", len(worker.grants)).Int("running", running).
		Int("slots", use.Slots).Int("at_risk", atRisk).Bool("cautious", cautious).Float64("per_second", use.PerSecond).Msg("slot decided")
	if !granted {
		return false, now.Add(fullRetry)
	}
	worker.grants = append(worker.grants, slotGrant{node: node, grantedAt: now, endsAt: use.EndsAt})
	return true, time.Time{}
}

// settle applies what became of a node's slots and drops what is over.
func (w *slotWorker) settle(now time.Time, node string, use SlotUse) {
	accepted, ended := use.Accepted, use.Ended-use.Rejected
	rejected := w.reject(now, node, false, use.Rejected)
	w.reject(now, node, true, rejected)
	for i := range w.grants {
		if grant := &w.grants[i]; grant.node == node && !grant.accepted && accepted > 0 {
			grant.accepted = true
			accepted--
		}
	}
	w.grants = lo.Filter(w.grants, func(grant slotGrant, _ int) bool {
		switch {
		case grant.node == node && grant.accepted && ended > 0:
			ended--
			return false
		}
		return now.Before(grant.endsAt) && (grant.accepted || now.Sub(grant.grantedAt) < unusedTime)
	})
	if use.Rejected > 0 {
		w.distrustedUntil = now.Add(cautionTime)
	}
	w.rejections = lo.Filter(w.rejections, func(toldAt time.Time, _ int) bool { return now.Sub(toldAt) < unusedTime })
}

// reject ends a number of a node's slots, accepted ones or others, whose requests the worker turned away. It returns how many were not found.
func (w *slotWorker) reject(now time.Time, node string, accepted bool, count int) (left int) {
	w.grants = lo.Reject(w.grants, func(grant slotGrant, _ int) bool {
		if grant.node != node || grant.accepted != accepted || count == 0 {
			return false
		}
		count--
		w.rejections = append(w.rejections, now)
		return true
	})
	return count
}

// atRisk returns the number of requests that the worker may turn away within the same second as one that is granted now.
func (w *slotWorker) atRisk(now time.Time) int {
	return len(w.rejections) + lo.CountBy(w.grants, func(grant slotGrant) bool {
		return !grant.accepted && now.Sub(grant.grantedAt) < unusedTime
	})
}

// dropIdle drops the workers that no node asked for since the last request with a slot of theirs must have ended; the caller holds mu.
func (g *SlotGranter) dropIdle(now time.Time) {
	g.workers = lo.PickBy(g.workers, func(_ string, worker *slotWorker) bool {
		return now.Sub(worker.usedAt) < cautionTime || lo.SomeBy(worker.grants, func(grant slotGrant) bool { return now.Before(grant.endsAt) })
	})
}
