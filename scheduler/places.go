// Package scheduler decides which of the requests that wait at a node for one model is sent next, to which worker, and which request is refused
// because it cannot be served in time.
//
// The package reads no clock and does no I/O; callers pass the time and random numbers.
package scheduler

import (
	"slices"
	"time"
)

const (
	// announcementLag is how much older than its receipt the load in a leader's announcement is taken to be: nodes report what they run, and
	// leaders announce the sum, up to 400 ms later each in a large fleet.
	announcementLag = 300 * time.Millisecond
	// endedMemory is how long ended sends are kept to correct figures that still include them.
	endedMemory = 800 * time.Millisecond
	// passedTime is how long after the end of a send its place is taken to be free for this node; others may take it after that.
	passedTime = 30 * time.Millisecond
	// minClosed is how long a worker that rejected a send gets no other one from this node. It doubles with each further rejection, up to
	// maxClosed, until the worker takes a request: nodes that all keep trying a full worker spend the retry budget.
	minClosed = 80 * time.Millisecond
	maxClosed = 320 * time.Millisecond
	// closedSpread is the part of these times that is random, so that nodes that were rejected together do not come back together.
	closedSpread = 0.5
)

// Known is the load of a worker according to others, in requests of all nodes.
type Known struct {
	// Slots is the number of requests that the worker runs at the same time.
	Slots int
	// Announced is the load by the last announcement of a leader, which arrived at AnnouncedAt; the time is zero without one.
	Announced   int
	AnnouncedAt time.Time
	// Reported is the load that the worker reported with a response, which arrived at ReportedAt; the time is zero without one.
	Reported   int
	ReportedAt time.Time
}

// ownSend is one send of this node; endedAt is zero while it runs.
type ownSend struct{ begunAt, endedAt time.Time }

// workerPlaces is what this node knows by itself of the places of one worker.
type workerPlaces struct {
	// sends are those that run or ended within endedMemory, in the order in which they began.
	sends []ownSend
	// closedUntil is when the worker may be sent requests again after it rejected one, closedTime the last such time without its random part.
	closedUntil time.Time
	closedTime  time.Duration
	// passedUntil is until when the place of the last send that ended is taken to be free for this node.
	passedUntil time.Time
}

// Places holds the places of workers that this node's sends take, and the rejections that it got. It is not safe for concurrent use.
type Places struct {
	workers map[string]*workerPlaces
}

// NewPlaces returns a Places without sends.
func NewPlaces() *Places { return &Places{workers: map[string]*workerPlaces{}} }

func (p *Places) worker(id string) *workerPlaces {
	w, known := p.workers[id]
	if !known {
		w = &workerPlaces{}
		p.workers[id] = w
	}
	return w
}

// Begin takes a place of a worker. The time that it is passed identifies the send to End.
func (p *Places) Begin(now time.Time, worker string) {
	w := p.worker(worker)
	w.sends = slices.DeleteFunc(w.sends, func(s ownSend) bool { return !s.endedAt.IsZero() && now.Sub(s.endedAt) > endedMemory })
	w.sends = append(w.sends, ownSend{begunAt: now})
	w.passedUntil = time.Time{}
}

// End gives back the place of a send that began at a time. A place that a request had taken is free for the next one, so the worker is open again.
func (p *Places) End(now time.Time, worker string, begunAt time.Time) {
	w := p.worker(worker)
	if i := w.find(begunAt); i >= 0 {
		w.sends[i].endedAt = now
	}
	w.closedUntil, w.passedUntil = time.Time{}, now.Add(passedTime)
}

// Passed reports whether a send of this node that ended a moment ago has left its place at a worker to the next one.
func (p *Places) Passed(now time.Time, worker string) bool {
	w, known := p.workers[worker]
	return known && now.Before(w.passedUntil)
}

// Cancel forgets a send that did not take its place; the worker is closed for a time if it rejected the request. Draw is a random number in [0, 1).
func (p *Places) Cancel(now time.Time, worker string, begunAt time.Time, rejected bool, draw float64) {
	w := p.worker(worker)
	if i := w.find(begunAt); i >= 0 {
		w.sends = slices.Delete(w.sends, i, i+1)
	}
	if rejected {
		w.closedTime = min(max(2*w.closedTime, minClosed), maxClosed)
		w.closedUntil = now.Add(time.Duration(float64(w.closedTime) * (1 + closedSpread*draw)))
	}
}

// Accepted records that a worker has taken a request.
func (p *Places) Accepted(worker string) {
	w := p.worker(worker)
	w.closedTime, w.closedUntil = 0, time.Time{}
}

// find returns the index of the send that began at a time and runs, or -1.
func (w *workerPlaces) find(begunAt time.Time) int {
	return slices.IndexFunc(w.sends, func(s ownSend) bool { return s.endedAt.IsZero() && s.begunAt.Equal(begunAt) })
}

// Closed reports whether a worker rejected a request of this node a short time ago and has not ended one of it since.
func (p *Places) Closed(now time.Time, worker string) bool {
	w, known := p.workers[worker]
	return known && now.Before(w.closedUntil)
}

// Load estimates how many requests of all nodes a worker has: the newest of what others say, with the sends of this node that it does not
// include yet and without those that have ended since. KnownAt is the time to which the figure belongs.
func (p *Places) Load(worker string, known Known) (load int, knownAt time.Time) {
	base, basis := known.Announced, known.AnnouncedAt.Add(-announcementLag)
	if known.AnnouncedAt.IsZero() {
		base, basis = 0, time.Time{}
	}
	if known.ReportedAt.After(basis) {
		base, basis = known.Reported, known.ReportedAt
	}
	running := 0
	if w := p.workers[worker]; w != nil {
		for _, send := range w.sends {
			begunSince := send.begunAt.After(basis)
			if send.endedAt.IsZero() {
				running++
			}
			switch {
			case begunSince && send.endedAt.IsZero():
				base++
			case !begunSince && !send.endedAt.IsZero() && send.endedAt.After(basis):
				base--
			}
		}
	}
	return max(base, running), basis
}
