// Package assessor rates workers by the outcomes of this node's requests, since
// health checks say little about single requests. Failures raise a worker's
// penalty, which lowers its share of traffic; successes and time reduce it.
//
// The package reads no clock and does no I/O; callers pass the time.
package assessor

import (
	"hash/maphash"
	"math"
	"sync"
	"time"
)

// shardCount is the number of locks that the workers are divided among.
const shardCount = 16

const (
	// penaltyTimeConstant is the time in which a penalty decays to 1/e, about a third.
	penaltyTimeConstant = 3 * time.Second
	// failurePenalty is added for each failure; three in quick succession leave a worker hardly any traffic.
	failurePenalty = 0.35
	// successReduction is the fraction of the penalty that a success removes.
	successReduction = 0.12
	// recentTime is how long a send counts as recent: announcements of the worker's load do not include it yet.
	recentTime = 120 * time.Millisecond
	// reportedLoadTime is how long a load that the worker reported counts.
	reportedLoadTime = 1 * time.Second
	// loadDecayTime is the time in which a reported load decays to nothing. The requests of about 80 ms that it counted have ended by then. In the
	// simulation of package selector, longer times bring more rejections (unequal workers: 1.5 in 100 with 400 ms, 0.9 with 100 ms).
	loadDecayTime = 100 * time.Millisecond
	// paceTime is the time in which a reported pace decays to usualPace. A pace changes many times a second, so that one of a second ago says
	// nothing.
	paceTime = 1 * time.Second
	// usualPace is the pace of a worker at which work takes as long as usual, in percent.
	usualPace = 100.0
	// minPace and maxPace bound what a worker may report, so that one wrong figure neither draws all requests to it nor excludes it.
	minPace, maxPace = 10.0, 2000.0
)

// workerState is what this node has recorded of one worker.
type workerState struct {
	// penalty is the penalty at penaltyUpdatedAt, at least 0; it decays with time.
	penalty          float64
	penaltyUpdatedAt time.Time
	// ejected is set when penalty rises to ejectedPenalty and cleared when it falls to reinstatedPenalty.
	ejected bool
	// recentSends are the times of the latest sends, oldest first.
	recentSends []time.Time
	// running is the number of this node's requests in flight to the worker.
	running int
	// excludedUntil is when the worker may get requests again, after it could not be reached.
	excludedUntil time.Time
	// pausedUntil is until when the worker, in the incarnation that asked for it, wants no requests from this node; it never gets earlier for one
	// incarnation.
	pausedUntil       time.Time
	pausedIncarnation int64
	// reportedLoad is the load that the worker reported with its last response, received at reportedAt.
	reportedLoad int
	reportedAt   time.Time
	// pace is how long work takes at the worker in percent of the usual time, received at pacedAt; 0 without one.
	pace    float64
	pacedAt time.Time
}

// shard holds the workers that share a lock.
type shard struct {
	// mu guards workers.
	mu      sync.Mutex
	workers map[string]*workerState
}

// Assessor holds the state of all workers. It is safe for concurrent use.
type Assessor struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

// New returns an assessor without any outcomes.
func New() *Assessor {
	a := &Assessor{seed: maphash.MakeSeed()}
	for i := range a.shards {
		a.shards[i].workers = map[string]*workerState{}
	}
	return a
}

// withWorker calls update with a worker's state, under its shard's lock.
func (a *Assessor) withWorker(worker string, update func(*workerState)) {
	s := &a.shards[maphash.String(a.seed, worker)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.workers[worker]
	if !known {
		w = &workerState{}
		s.workers[worker] = w
	}
	update(w)
}

// decayPenalty applies the decay of the penalty up to now.
func (w *workerState) decayPenalty(now time.Time) {
	if elapsed := now.Sub(w.penaltyUpdatedAt).Seconds(); elapsed > 0 {
		w.penalty *= math.Exp(-elapsed / penaltyTimeConstant.Seconds())
	}
	w.penaltyUpdatedAt = now
}

// BeginSend records that a request is sent to a worker, given by its ID.
func (a *Assessor) BeginSend(now time.Time, worker string) {
	a.withWorker(worker, func(w *workerState) {
		w.running++
		recent := w.recentSends[:0]
		for _, at := range w.recentSends {
			if now.Sub(at) < recentTime {
				recent = append(recent, at)
			}
		}
		w.recentSends = append(recent, now)
	})
}

// Change is the effect of a send's end on a worker.
type Change int

// Changes that EndSend returns.
const (
	// Unchanged means that the worker was neither ejected nor reinstated.
	Unchanged Change = iota
	// Ejected means that the worker gets hardly any traffic until it is reinstated.
	Ejected
	// Reinstated means that the worker gets traffic again.
	Reinstated
)

// String returns the change's name in logs and metrics.
func (c Change) String() string { return [...]string{"unchanged", "ejected", "back"}[c] }

const (
	// ejectedPenalty and reinstatedPenalty are the penalties at which a worker becomes ejected and, once ejected, is reinstated.
	ejectedPenalty    = 0.7
	reinstatedPenalty = 0.2
)

// EndSend records that a send to a worker has ended; failed is set for a failure
// of the worker. It returns whether the worker is ejected or reinstated by it, and
// the worker's penalty, which may exceed 1.
func (a *Assessor) EndSend(now time.Time, worker string, failed bool) (change Change, penalty float64) {
	a.withWorker(worker, func(w *workerState) {
		w.running--
		w.decayPenalty(now)
		if failed {
			w.penalty += failurePenalty
		} else {
			w.penalty *= 1 - successReduction
		}
		penalty = w.penalty
		switch {
		case !w.ejected && penalty >= ejectedPenalty:
			w.ejected, change = true, Ejected
		case w.ejected && penalty <= reinstatedPenalty:
			w.ejected, change = false, Reinstated
		}
	})
	return change, penalty
}

// excludedTime is how long a worker that could not be reached gets no requests.
const excludedTime = 1 * time.Second

// MarkUnreachable records that no connection to a worker could be opened.
func (a *Assessor) MarkUnreachable(now time.Time, worker string) {
	a.withWorker(worker, func(w *workerState) { w.excludedUntil = now.Add(excludedTime) })
}

// Pause records that an incarnation of a worker wants no requests from this node until a time. An earlier time than the known one changes
// nothing. It returns the time that holds.
func (a *Assessor) Pause(worker string, incarnation int64, until time.Time) (holds time.Time) {
	a.withWorker(worker, func(w *workerState) {
		if w.pausedIncarnation != incarnation || until.After(w.pausedUntil) {
			w.pausedIncarnation, w.pausedUntil = incarnation, until
		}
		holds = w.pausedUntil
	})
	return holds
}

// PausedUntil returns until when an incarnation of a worker wants no requests from this node; zero if it wants them now.
func (a *Assessor) PausedUntil(now time.Time, worker string, incarnation int64) (until time.Time) {
	a.withWorker(worker, func(w *workerState) {
		if w.pausedIncarnation == incarnation && now.Before(w.pausedUntil) {
			until = w.pausedUntil
		}
	})
	return until
}

// ReportLoad records the load, in requests, that a worker reported with a response.
func (a *Assessor) ReportLoad(now time.Time, worker string, load int) {
	a.withWorker(worker, func(w *workerState) { w.reportedLoad, w.reportedAt = load, now })
}

// ReportPace records how long work takes at a worker, in percent of the usual time, as a response says; one of 0 or less is ignored.
func (a *Assessor) ReportPace(now time.Time, worker string, pace float64) {
	if !(pace > 0) { // Also false for NaN.
		return
	}
	a.withWorker(worker, func(w *workerState) { w.pace, w.pacedAt = min(max(pace, minPace), maxPace), now })
}

// decayedLoad returns the last reported load, which decays evenly to 0 within loadDecayTime.
func (w *workerState) decayedLoad(now time.Time) float64 {
	return float64(w.reportedLoad) * max(1-max(now.Sub(w.reportedAt), 0).Seconds()/loadDecayTime.Seconds(), 0)
}

// paceAt returns the last reported pace, which decays evenly to usualPace within paceTime; then, and without a report, it is 0.
func (w *workerState) paceAt(now time.Time) float64 {
	age := max(now.Sub(w.pacedAt), 0)
	if w.pace == 0 || age >= paceTime {
		return 0
	}
	return usualPace + (w.pace-usualPace)*(1-age.Seconds()/paceTime.Seconds())
}

// Assessment is the rating and load of a worker at one moment.
type Assessment struct {
	// Penalty is the fraction of its traffic to withhold from the worker, from 0 to 1.
	Penalty float64
	// RecentSends is the number of this node's sends within recentTime, which announcements do not include yet.
	RecentSends int
	// Running is the number of this node's requests in flight to the worker.
	Running int
	// ReportedLoad is the load in requests that the worker reported recently, or -1 without a recent report; ReportedAt is when it did.
	ReportedLoad int
	ReportedAt   time.Time
	// DecayedLoad is the reported load decayed by its age; 0 without one.
	DecayedLoad float64
	// Pace is how long work takes at the worker in percent of the usual time, by a recent report decayed by its age; 0 without one, which stands
	// for 100.
	Pace float64
	// Excluded is set while the worker must get no requests, since it could not be reached.
	Excluded bool
}

// Assess returns the assessment of a worker, given by its ID. Without any record of the worker, ReportedLoad is
// -1 and the other fields are zero.
func (a *Assessor) Assess(now time.Time, worker string) Assessment {
	assessment := Assessment{ReportedLoad: -1}
	a.withWorker(worker, func(w *workerState) {
		w.decayPenalty(now)
		assessment.Penalty = min(w.penalty, 1)
		assessment.Running = w.running
		assessment.DecayedLoad = w.decayedLoad(now)
		assessment.Pace = w.paceAt(now)
		assessment.Excluded = now.Before(w.excludedUntil)
		for _, at := range w.recentSends {
			if now.Sub(at) < recentTime {
				assessment.RecentSends++
			}
		}
		if now.Sub(w.reportedAt) < reportedLoadTime {
			assessment.ReportedLoad, assessment.ReportedAt = w.reportedLoad, w.reportedAt
		}
	})
	return assessment
}
