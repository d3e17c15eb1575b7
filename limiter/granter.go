package limiter

import (
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// burstTime is the time for which a bucket collects permits at the rate of its limit; it holds one at least.
	burstTime = 500 * time.Millisecond
	// minRate is the rate for workers that name a lower one, in requests a second: without any request, nobody would notice the end of a limit.
	minRate = 0.1
	// maxRate bounds the rate of a bucket, in requests a second; workers that name more are hardly limited.
	maxRate = 100_000
	// maxBatch is the largest number of permits that a node gets at once.
	maxBatch = 64
	// askerMemory is how long a node that was denied a permit counts as waiting for one.
	askerMemory = 2 * time.Second
	// maxRetry bounds the time after which a denied node asks again.
	maxRetry = 5 * time.Second
)

// bucket is a token bucket.
type bucket struct {
	// tokens is the number of tokens at updatedAt; it may be a fraction.
	tokens    float64
	updatedAt time.Time
}

// newBucket returns an empty bucket.
func newBucket(now time.Time) bucket { return bucket{updatedAt: now} }

// take takes up to wanted tokens from a bucket that is filled at a rate a second up to burst tokens. It returns how many it took and when
// there will be one.
func (b *bucket) take(now time.Time, rate, burst float64, wanted int) (taken int, nextAt time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed*rate, burst)
		b.updatedAt = now
	}
	taken = min(int(b.tokens), wanted)
	b.tokens -= float64(taken)
	return taken, now.Add(time.Duration(max(1-b.tokens, 0) / rate * float64(time.Second)))
}

// granted is what a leader keeps of one limited worker.
type granted struct {
	// incarnation is that of the worker, epoch that of the lease under which the bucket was begun.
	incarnation, epoch int64
	bucket             bucket
	// askers holds when each node that waits for a permit was last denied one.
	askers map[string]time.Time
}

// Granter grants permits for the limited workers of the zone that this node leads. It is safe for concurrent use.
type Granter struct {
	// mu guards workers.
	mu sync.Mutex
	// workers holds the limited workers by ID.
	workers map[string]*granted
}

// NewGranter returns a granter that has granted nothing.
func NewGranter() *Granter { return &Granter{workers: map[string]*granted{}} }

// Grant grants a node up to wanted permits for a worker with a limit, under the epoch of this node's lease. It returns how many it
// grants and, if none, when the node is likely to get one. A new leader begins without permits to grant, since its predecessor may just
// have granted some.
func (g *Granter) Grant(now time.Time, epoch int64, node string, limit Limit, wanted int) (count int, retryAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	worker := g.workers[limit.Worker]
	if worker == nil || worker.incarnation != limit.Incarnation || worker.epoch != epoch {
		g.dropIdle(now)
		worker = &granted{incarnation: limit.Incarnation, epoch: epoch, bucket: newBucket(now), askers: map[string]time.Time{}}
		g.workers[limit.Worker] = worker
	}
	rate := min(max(limit.PerSecond, minRate), maxRate)
	count, retryAt = worker.bucket.take(now, rate, max(rate*burstTime.Seconds(), 1), min(wanted, maxBatch))
	if count > 0 {
		delete(worker.askers, node)
		return count, time.Time{}
	}
	worker.askers[node] = now
	worker.askers = lo.PickBy(worker.askers, func(_ string, deniedAt time.Time) bool { return now.Sub(deniedAt) < askerMemory })
	// The nodes that wait share the permits to come.
	retryAt = retryAt.Add(time.Duration(float64(len(worker.askers)-1) / rate * float64(time.Second)))
	if latest := now.Add(maxRetry); retryAt.After(latest) {
		retryAt = latest
	}
	return 0, retryAt
}

// dropIdle drops the workers that nobody asked for since a bucket of the lowest rate would be full; the caller holds mu.
func (g *Granter) dropIdle(now time.Time) {
	const idleTime = 30 * time.Second
	for id, worker := range g.workers {
		if now.Sub(worker.bucket.updatedAt) > idleTime {
			delete(g.workers, id)
		}
	}
}
