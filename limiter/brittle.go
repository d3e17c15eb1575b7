package limiter

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// brittleMemory is how long the workers of a service count as brittle after the last response that says so.
	brittleMemory = 3 * time.Second
	// rejectionShare is the share of the rejections that a brittle worker bears which all nodes together use.
	rejectionShare = 0.5
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
	// perSecond is how many requests a worker turns away in a second without falling over; it is not negative.
	perSecond float64
	// until is when the workers count as sound again, unless another response says that they are brittle.
	until time.Time
	// pausedUntil holds the workers that turned a request of this node away, by ID, with the time until which they get none.
	pausedUntil map[string]time.Time
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
	known := l.brittle[service]
	if known == nil || !now.Before(known.until) {
		known = &brittleService{pausedUntil: map[string]time.Time{}}
		l.brittle[service] = known
		l.count("brittle services learned")
		logger.Info("workers are brittle").Str("service", service).Str("worker", worker).Float64("per_second", *perSecond).Msg("workers are brittle")
	}
	known.perSecond, known.until = *perSecond, now.Add(brittleMemory)
}

// Rejected records that a worker of a service had no room for a request of this node. If it is brittle, it gets none for a time that keeps the
// rejections of all nodes together at rejectionShare of what it bears.
func (l *Limiter) Rejected(now time.Time, service, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.brittle[service]
	if known == nil || !now.Before(known.until) {
		return
	}
	pause := maxBrittlePause
	if known.perSecond > 0 {
		pause = time.Duration(float64(l.sharingNodes()) / (rejectionShare * known.perSecond) * float64(time.Second))
	}
	pause = min(max(pause, minBrittlePause), maxBrittlePause)
	until := now.Add(pause/2 + time.Duration(rand.Float64()*float64(pause)))
	for id, at := range known.pausedUntil {
		if !now.Before(at) {
			delete(known.pausedUntil, id)
		}
	}
	known.pausedUntil[worker] = until
	l.count("brittle workers paused")
	logger.Info("brittle worker paused").Str("service", service).Str("worker", worker).Float64("per_second", known.perSecond).Int64("paused_ms", until.Sub(now).Milliseconds()).
		Msg("brittle worker paused")
}

// HasRoom reports whether a worker of a service may be sent a request: it is not brittle, or it is believed to have a free slot. Load is the number
// of its requests, or negative if that is unknown, recent how many of these this node has sent so recently that no response to them is due. If
// not, retryAt says when there may be room.
func (l *Limiter) HasRoom(now time.Time, service, worker string, load, recent, slots int) (room bool, retryAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.brittle[service]
	if known == nil || !now.Before(known.until) {
		return true, time.Time{}
	}
	if until := known.pausedUntil[worker]; now.Before(until) {
		return false, until
	}
	cautious := load < 0 || float64(load) >= float64(slots)*cautiousSlotShare
	spare := max(int(float64(slots)*spareSlotShare), 1)
	if load >= max(slots-spare, 1) || cautious && recent > 0 {
		return false, now.Add(brittleRetry)
	}
	return true, time.Time{}
}
