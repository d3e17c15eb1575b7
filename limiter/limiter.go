// Package limiter keeps to the limits that workers in need name: how many requests
// a second a worker takes from all nodes together. The leader of the worker's zone
// grants permits to the nodes, one for each send; a node that does not reach a
// leader uses a small share of the limit by itself.
package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// permitLifetime is how long a permit that a node did not need at once stays valid.
	permitLifetime = 1 * time.Second
	// batchTime is the time for which a node asks for permits at once, at the rate of the limit.
	batchTime = 100 * time.Millisecond
	// askTimeout bounds the call to the leader. A node that gets no reply asks again after askPause.
	askTimeout = 150 * time.Millisecond
	askPause   = 300 * time.Millisecond
	// unledShare is the share of a limit that all nodes that reach no leader use together.
	unledShare = 0.5
	// unledMemory is the longest time between two failed calls to a leader in which a node goes on to collect permits of its own.
	unledMemory = 2 * time.Second
	// assumedNodes is used as the number of nodes while that is not known.
	assumedNodes = 16
	// maxKeptLimits bounds the memory; the limits that changed first are dropped.
	maxKeptLimits = 4096
)

// Limit is the limit of one worker, or its end.
type Limit struct {
	// Worker is the ID of the worker, Incarnation identifies the start of its process.
	Worker      string
	Incarnation int64
	// PerSecond is how many requests a second the worker takes from all nodes together; it is not negative. It means nothing if Ended is set.
	PerSecond float64
	// Ended is set if the worker names no limit any more.
	Ended bool
	// Stamp orders what is known of one worker: of two limits, the one with the higher stamp holds. It is the time at which a node learned of
	// the limit, in milliseconds since 1970, or one more than the stamp that the node knew before, whichever is higher.
	Stamp int64
}

// supersedes reports whether the limit holds instead of another one of the same worker.
func (l Limit) supersedes(other Limit) bool { return l.Stamp > other.Stamp }

// Ask asks the leader of a zone for permits for a worker. It returns how many were granted and, if none, when to ask again; the error says that
// no leader replied by the deadline.
type Ask func(deadline time.Time, zone string, limit Limit, wanted int) (granted int, retryAt time.Time, err error)

// workerLimit is what this node knows of one worker's limit, also after it has ended, and this node's permits.
type workerLimit struct {
	limit Limit
	// number is that of the last change of the limit; numbers of all workers increase by one with each change.
	number int64
	// own is set if this node learned of the last change from a response of the worker.
	own bool
	// learnedAt is when this node learned of the limit.
	learnedAt time.Time
	// permits holds when each unused permit expires, in order.
	permits []time.Time
	// deniedUntil is when this node may ask for permits again.
	deniedUntil time.Time
	// unled is the bucket from which this node takes permits while it reaches no leader. It is emptied unless the last call failed before
	// unledUntil.
	unled      bucket
	unledUntil time.Time
}

// takeUnled takes a permit at a rate a second without a leader, and returns 1 if there was one.
func (w *workerLimit) takeUnled(now time.Time, rate float64) int {
	if now.After(w.unledUntil) {
		w.unled = newBucket(now)
	}
	w.unledUntil = now.Add(unledMemory)
	taken, _ := w.unled.take(now, rate, 1, 1)
	return taken
}

// Limiter holds the limits that one node knows. It is safe for concurrent use.
type Limiter struct {
	// ask asks a leader for permits, nodes returns the number of nodes or 0 if unknown, count increases a counter.
	ask   Ask
	nodes func() int
	count func(name string)
	// mu guards everything below.
	mu sync.Mutex
	// limits holds what is known of limits, by the worker's ID.
	limits map[string]*workerLimit
	// nextNumber is the number of the next change.
	nextNumber int64
	// brittle holds the services whose workers are or were brittle, by name.
	brittle map[string]*brittleService
	// nextBrittle is the number of the next piece of news of a brittle service.
	nextBrittle int64
	// reservations are nil unless ReserveBy was called; uses are what leaders are to be told of slots.
	reservations *Reservations
	uses         slotUses
}

// New returns a limiter that knows no limits. The fields of Limiter of the same names describe its parameters.
func New(ask Ask, nodes func() int, count func(name string)) *Limiter {
	return &Limiter{ask: ask, nodes: nodes, count: count, limits: map[string]*workerLimit{}, brittle: map[string]*brittleService{}}
}

// Observe applies what a worker's response to a request sent at sentAt says: the limit in requests a second, or nil if it names none. A
// response without a limit ends one only if the request was sent after this node had learned of the limit, since responses overtake
// each other. A value that is not a rate is ignored.
func (l *Limiter) Observe(now, sentAt time.Time, worker string, incarnation int64, perSecond *float64) {
	if perSecond != nil && (math.IsNaN(*perSecond) || math.IsInf(*perSecond, 0) || *perSecond < 0) {
		logger.Info("worker's limit ignored").Str("worker", worker).Float64("per_second", *perSecond).Msg("worker's limit ignored")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	inForce := l.inForce(worker, incarnation)
	limit := Limit{Worker: worker, Incarnation: incarnation, Stamp: now.UnixMilli()}
	if known := l.limits[worker]; known != nil {
		limit.Stamp = max(limit.Stamp, known.limit.Stamp+1)
	}
	switch {
	case perSecond != nil:
		if limit.PerSecond = *perSecond; inForce == nil || inForce.limit.PerSecond != *perSecond {
			l.apply(now, limit, "worker", true)
		}
	case inForce != nil && inForce.learnedAt.Before(sentAt):
		limit.Ended = true
		l.apply(now, limit, "worker", true)
	}
}

// Learn applies a limit that another node sent; source says from where this node has it.
func (l *Limiter) Learn(now time.Time, limit Limit, source string) {
	if math.IsNaN(limit.PerSecond) || math.IsInf(limit.PerSecond, 0) || limit.PerSecond < 0 {
		return // A node sends only what passed Observe.
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(now, limit, source, false)
}

// Since returns the last change of each limit if its number is first or higher, and the number from which to continue. With ownOnly set, it
// returns only those that this node learned from responses of workers.
func (l *Limiter) Since(first int64, ownOnly bool) (limits []Limit, next int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first >= l.nextNumber {
		return nil, l.nextNumber
	}
	for _, known := range l.limits {
		if known.number >= first && (known.own || !ownOnly) {
			limits = append(limits, known.limit)
		}
	}
	return limits, l.nextNumber
}

// PerSecond returns the limit that a worker names, and whether it names one.
func (l *Limiter) PerSecond(worker string, incarnation int64) (perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.inForce(worker, incarnation)
	if known == nil {
		return 0, false
	}
	return known.limit.PerSecond, true
}

// Usable reports whether a worker may be chosen now: it names no limit, or this node may have a permit. If not, retryAt says when that may be.
func (l *Limiter) Usable(now time.Time, worker string, incarnation int64) (usable, limited bool, retryAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.inForce(worker, incarnation)
	if known == nil {
		return true, false, time.Time{}
	}
	known.dropExpired(now)
	if len(known.permits) == 0 && now.Before(known.deniedUntil) {
		return false, true, known.deniedUntil
	}
	return true, true, time.Time{}
}

// Acquire reports whether a request may be sent to a worker of a zone now, and uses a permit for it if the worker names a limit. It asks the
// zone's leader if this node has none, which takes askTimeout at most.
func (l *Limiter) Acquire(zone, worker string, incarnation int64) bool {
	now := time.Now()
	l.mu.Lock()
	known := l.inForce(worker, incarnation)
	if known == nil || known.usePermit(now) {
		l.mu.Unlock()
		return true
	}
	limit := known.limit
	l.mu.Unlock()
	wanted := int(min(max(limit.PerSecond*batchTime.Seconds(), 1), maxBatch))
	granted, retryAt, err := l.ask(now.Add(askTimeout), zone, limit, wanted)
	now = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inForce(worker, incarnation) == nil {
		return true // The limit ended meanwhile.
	}
	if err != nil {
		granted = known.takeUnled(now, unledShare*max(limit.PerSecond, minRate)/float64(l.sharingNodes()))
		retryAt = now.Add(askPause)
	}
	logger.Info("permits requested").Str("worker", worker).Str("zone", zone).Float64("per_second", limit.PerSecond).Int("wanted", wanted).Int("granted", granted).
		Int64("retry_ms", retryAt.Sub(now).Milliseconds()).Err(err).Msg("permits requested")
	for range granted {
		known.permits = append(known.permits, now.Add(permitLifetime))
	}
	if granted == 0 {
		known.deniedUntil = retryAt
		l.count("permits denied")
	}
	return known.usePermit(now)
}

// sharingNodes returns the number of nodes among which the share of nodes without a leader is divided.
func (l *Limiter) sharingNodes() int {
	if nodes := l.nodes(); nodes > 0 {
		return nodes
	}
	return assumedNodes
}

// usePermit uses a permit, and reports whether there was one.
func (w *workerLimit) usePermit(now time.Time) bool {
	w.dropExpired(now)
	if len(w.permits) == 0 {
		return false
	}
	w.permits = w.permits[1:]
	return true
}

func (w *workerLimit) dropExpired(now time.Time) {
	for len(w.permits) > 0 && now.After(w.permits[0]) {
		w.permits = w.permits[1:]
	}
}

// inForce returns the limit of a worker's incarnation, or nil if it names none; the caller holds mu.
func (l *Limiter) inForce(worker string, incarnation int64) *workerLimit {
	known := l.limits[worker]
	if known == nil || known.limit.Ended || known.limit.Incarnation != incarnation {
		return nil
	}
	return known
}

// apply puts a limit in force or ends it unless a later change is known, and logs the change; source says from where this node has it. The
// caller holds mu.
func (l *Limiter) apply(now time.Time, limit Limit, source string, own bool) {
	known := l.limits[limit.Worker]
	if known != nil && !limit.supersedes(known.limit) {
		return
	}
	if known == nil || known.limit.Incarnation != limit.Incarnation {
		l.makeRoom()
		known = &workerLimit{}
		l.limits[limit.Worker] = known
	}
	known.limit, known.learnedAt, known.own, known.number = limit, now, own, l.nextNumber
	l.nextNumber++
	l.count("worker limits learned")
	logger.Info("worker's limit learned").Str("worker", limit.Worker).Int64("born", limit.Incarnation).Float64("per_second", limit.PerSecond).Bool("ended", limit.Ended).
		Int64("age_ms", now.UnixMilli()-limit.Stamp).Str("source", source).Msg("worker's limit learned")
}

// makeRoom drops the limit that changed first if there are maxKeptLimits; the caller holds mu.
func (l *Limiter) makeRoom() {
	if len(l.limits) < maxKeptLimits {
		return
	}
	oldest := lo.MinBy(lo.Values(l.limits), func(a, b *workerLimit) bool { return a.number < b.number })
	delete(l.limits, oldest.limit.Worker)
}
