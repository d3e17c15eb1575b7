// Package assessor judges workers by what requests met there: failures lower
// a worker's share of traffic, and successes give it back by degrees.
//
// The package holds no clock and does no I/O.
package assessor

import (
	"hash/maphash"
	"math"
	"sync"
	"time"
)

const shardCount = 16

const (
	// failureMemory is the time in which a worker's failures are forgotten to a third.
	failureMemory = 3 * time.Second
	// failureWeight is the penalty of one fresh failure; three take a worker nearly out.
	failureWeight = 0.35
	// successRelief is the part of the penalty that a success takes away.
	successRelief = 0.12
	// sendMemory is how long a send counts that no announcement can hold yet.
	sendMemory = 120 * time.Millisecond
	// loadMemory is how long a load told by the worker counts.
	loadMemory = 1 * time.Second
)

// evidence is what is known of one worker.
type evidence struct {
	// penalty is at least 0 as of penaltyAt; it fades by itself.
	penalty   float64
	penaltyAt time.Time
	// ejected is set from ejectedPenalty on until backPenalty is reached.
	ejected bool
	// sends are the times of the last sends, oldest first.
	sends []time.Time
	// running counts this node's requests there.
	running int
	// outUntil is until when the worker gets nothing.
	outUntil time.Time
	// told is the load that the worker told with its last answer, at toldAt.
	told   int
	toldAt time.Time
}

type shard struct {
	// mu guards workers.
	mu      sync.Mutex
	workers map[string]*evidence
}

// Assessor is safe for use by several goroutines.
type Assessor struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

// New returns an assessor that knows nothing.
func New() *Assessor {
	a := &Assessor{seed: maphash.MakeSeed()}
	for i := range a.shards {
		a.shards[i].workers = map[string]*evidence{}
	}
	return a
}

// with runs work on a worker's evidence under its lock.
func (a *Assessor) with(worker string, work func(*evidence)) {
	s := &a.shards[maphash.String(a.seed, worker)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.workers[worker]
	if !known {
		e = &evidence{}
		s.workers[worker] = e
	}
	work(e)
}

// fade brings the penalty up to date.
func (e *evidence) fade(now time.Time) {
	if elapsed := now.Sub(e.penaltyAt).Seconds(); elapsed > 0 {
		e.penalty *= math.Exp(-elapsed / failureMemory.Seconds())
	}
	e.penaltyAt = now
}

// Begin takes in that a request is sent to a worker.
func (a *Assessor) Begin(now time.Time, worker string) {
	a.with(worker, func(e *evidence) {
		e.running++
		kept := e.sends[:0]
		for _, at := range e.sends {
			if now.Sub(at) < sendMemory {
				kept = append(kept, at)
			}
		}
		e.sends = append(kept, now)
	})
}

// Change is what a request's end changed about a worker.
type Change int

// The changes.
const (
	// Unchanged means that the worker goes on as before.
	Unchanged Change = iota
	// Ejected means that it gets hardly any traffic from now on.
	Ejected
	// Back means that it gets traffic again.
	Back
)

// String returns the change's name in logs and metrics.
func (c Change) String() string { return [...]string{"unchanged", "ejected", "back"}[c] }

const (
	// ejectedPenalty and backPenalty are the penalties from which a worker counts as ejected, and as back after that.
	ejectedPenalty = 0.7
	backPenalty    = 0.2
)

// End takes in that a request at a worker has ended. Failed is set when the
// worker is to blame. It returns what that changed, and the worker's penalty.
func (a *Assessor) End(now time.Time, worker string, failed bool) (change Change, penalty float64) {
	a.with(worker, func(e *evidence) {
		e.running--
		e.fade(now)
		if failed {
			e.penalty += failureWeight
		} else {
			e.penalty *= 1 - successRelief
		}
		penalty = e.penalty
		switch {
		case !e.ejected && penalty >= ejectedPenalty:
			e.ejected, change = true, Ejected
		case e.ejected && penalty <= backPenalty:
			e.ejected, change = false, Back
		}
	})
	return change, penalty
}

// outTime is how long a worker that could not be reached gets nothing.
const outTime = 1 * time.Second

// Unreached takes in that no connection to a worker could be opened.
func (a *Assessor) Unreached(now time.Time, worker string) {
	a.with(worker, func(e *evidence) { e.outUntil = now.Add(outTime) })
}

// Tell takes in the load that a worker told with an answer.
func (a *Assessor) Tell(now time.Time, worker string, load int) {
	a.with(worker, func(e *evidence) { e.told, e.toldAt = load, now })
}

// Assessment is what is known of a worker at one moment.
type Assessment struct {
	// Penalty is the share of its traffic that the worker loses, from 0 to 1.
	Penalty float64
	// Recent counts this node's sends that no announcement can hold yet.
	Recent int
	// Running counts this node's requests there.
	Running int
	// Told is the load that the worker told lately, or -1.
	Told int
	// Out is set when the worker gets nothing now.
	Out bool
}

// Assess returns what is known of a worker.
func (a *Assessor) Assess(now time.Time, worker string) Assessment {
	assessment := Assessment{Told: -1}
	a.with(worker, func(e *evidence) {
		e.fade(now)
		assessment.Penalty = min(e.penalty, 1)
		assessment.Running = e.running
		assessment.Out = now.Before(e.outUntil)
		for _, at := range e.sends {
			if now.Sub(at) < sendMemory {
				assessment.Recent++
			}
		}
		if now.Sub(e.toldAt) < loadMemory {
			assessment.Told = e.told
		}
	})
	return assessment
}
