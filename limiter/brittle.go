package limiter

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// brittleMemory is how long the workers of a service count as brittle after the last response that says so.
	brittleMemory = 3 * time.Second
	// unledBrittleMemory is the same for workers whose leader does not reply: so little is sent to them that silence does not mean that they are sound.
	unledBrittleMemory = 30 * time.Second
	// rejectionShare is the share of the rejections that a brittle worker bears which the nodes with a leader use together; those without one use the rest.
	rejectionShare = 0.8
	// pauseShare is the same for the pauses of nodes without a leader.
	pauseShare = 0.5
	// minBrittlePause and maxBrittlePause bound the time for which a node sends nothing to a brittle worker that turned a request of its away.
	minBrittlePause = 500 * time.Millisecond
	maxBrittlePause = 10 * time.Second
	// brittleRetry is when a brittle worker without room is likely to have some, about the time that a short response takes.
	brittleRetry = 100 * time.Millisecond
	// spareSlotShare is the share of a brittle worker's slots left to requests of other nodes that are on their way, one slot at least.
	spareSlotShare = 1.0 / 8
	// cautiousSlotShare is the share of the slots that must be free for a node to send a second request before it knows of the first.
	cautiousSlotShare = 0.5
)

// brittleService is what this node knows of a service whose workers fall over when they must turn away many requests.
type brittleService struct {
	// news is the latest. Number and numberedAt are those of its last change, or of the last time it was confirmed; own is set if this node learned of that
	// from a response.
	news       Brittle
	number     int64
	numberedAt time.Time
	own        bool
	// until is when the workers count as sound again, unless another response says that they are brittle.
	until time.Time
	// pausedUntil holds the workers that turned a request of this node away, by ID, with the time until which they get none.
	pausedUntil map[string]time.Time
	// unledUntil holds the workers whose leader did not reply, by ID, with the time until which this node does without. Unled holds the buckets from which it
	// takes slots then.
	unledUntil map[string]time.Time
	unled      map[string]*bucket
}

// dropPast drops what is known of workers whose times are over.
func (s *brittleService) dropPast(now time.Time) {
	s.pausedUntil = lo.PickBy(s.pausedUntil, func(_ string, until time.Time) bool { return now.Before(until) })
	s.unledUntil = lo.PickBy(s.unledUntil, func(_ string, until time.Time) bool { return now.Before(until.Add(unledMemory)) })
	s.unled = lo.PickBy(s.unled, func(worker string, _ *bucket) bool { return !s.unledUntil[worker].IsZero() })
}

// takeUnled reports whether a request may be sent to a worker without its leader, at a rate a second.
func (s *brittleService) takeUnled(now time.Time, worker string, rate float64) bool {
	if s.unled[worker] == nil || now.After(s.unledUntil[worker].Add(unledMemory)) {
		emptied := newBucket(now)
		s.unled[worker] = &emptied
	}
	if rate <= 0 {
		return false
	}
	taken, _ := s.unled[worker].take(now, rate, 1, 1)
	return taken > 0
}

// ObserveBrittle applies what a response of a worker says: the number of requests that each worker of its service may turn away in a second, or nil
// if it says nothing. A value that is no number of requests is ignored.
func (l *Limiter) ObserveBrittle(now time.Time, service, worker string, perSecond *float64) {
	if perSecond == nil {
		return
	}
	if math.IsNaN(*perSecond) || math.IsInf(*perSecond, 0) || *perSecond < 0 {
		logger.Info("worker's brittleness ignored").Str("worker", worker).Str("service", service).Msg("worker's brittleness ignored")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyBrittle(now, Brittle{Service: service, PerSecond: *perSecond, ObservedAt: now}, "worker "+worker, true)
}

// brittleNow returns what is known of a worker's service if the worker counts as brittle, else nil; the caller holds mu.
func (l *Limiter) brittleNow(now time.Time, service, worker string) *brittleService {
	known := l.brittle[service]
	switch {
	case known == nil:
		return nil
	case now.Before(known.until):
		return known
	case l.reservations != nil && now.Before(known.unledUntil[worker].Add(unledMemory)) && now.Before(known.news.ObservedAt.Add(unledBrittleMemory)):
		return known
	}
	return nil
}

// Rejected records that a worker of a service had no room for a request of this node. If it is brittle, it gets none for a time that keeps the
// rejections of all nodes together at rejectionShare of what it bears.
func (l *Limiter) Rejected(now time.Time, service, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.brittleNow(now, service, worker)
	if known == nil {
		return
	}
	pause := maxBrittlePause
	switch {
	case l.isLed(now, known, worker):
		pause = minBrittlePause
	case known.news.PerSecond > 0:
		pause = time.Duration(float64(l.sharingNodes()) / (pauseShare * known.news.PerSecond) * float64(time.Second))
	}
	pause = min(max(pause, minBrittlePause), maxBrittlePause)
	until := now.Add(pause/2 + time.Duration(rand.Float64()*float64(pause)))
	known.dropPast(now)
	known.pausedUntil[worker] = until
	l.count("brittle workers paused")
	logger.Info("brittle worker paused").Str("service", service).Str("worker", worker).Float64("per_second", known.news.PerSecond).Int64("paused_ms", until.Sub(now).Milliseconds()).
		Msg("brittle worker paused")
}

// isLed reports whether the leader of the worker's zone grants slots of the worker, as far as this node knows; the caller holds mu.
func (l *Limiter) isLed(now time.Time, known *brittleService, worker string) bool {
	return l.reservations != nil && !now.Before(known.unledUntil[worker])
}

// HasRoom reports whether a worker of a service may be sent a request: it is not brittle, its zone's leader may grant a slot of it or, without a leader, it is
// believed to have a free one. Load is the number
// of its requests, or negative if that is unknown, recent how many of these this node has sent so recently that no response to them is due. If
// not, retryAt says when there may be room.
func (l *Limiter) HasRoom(now time.Time, service, worker string, load, recent, slots int) (room bool, retryAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.brittleNow(now, service, worker)
	if known == nil {
		return true, time.Time{}
	}
	if until := known.pausedUntil[worker]; now.Before(until) {
		return false, until
	}
	if l.isLed(now, known, worker) {
		return true, time.Time{} // The leader decides.
	}
	cautious := load < 0 || float64(load) >= float64(slots)*cautiousSlotShare
	spare := max(int(float64(slots)*spareSlotShare), 1)
	if load >= max(slots-spare, 1) || cautious && recent > 0 {
		return false, now.Add(brittleRetry)
	}
	return true, time.Time{}
}
