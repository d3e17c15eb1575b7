// Package quarantiner finds the request that crashes every worker that runs it, and
// distinguishes it from the requests that were in flight at the same time.
//
// Every request in flight at a crash becomes a suspect. A suspect may run only
// on a worker that is assigned to no other suspect; when that worker crashes
// too, exactly one suspect can be the cause, and it is quarantined. A suspect
// that completes is cleared. The package reads no clock and does no I/O.
package quarantiner

import (
	"sort"
	"time"
)

// Durations of suspicion and quarantine.
const (
	// QuarantineDuration is how long a quarantined request is refused.
	QuarantineDuration = 10 * time.Minute
	// suspicionDuration is how long a request stays suspected after the last crash at which
	// it was in flight, unless it completes before.
	suspicionDuration = 2 * time.Minute
)

// Verdict says whether and where one request may run.
type Verdict struct {
	// Fingerprint identifies the request's content.
	Fingerprint string
	// QuarantinedUntil is the end of the quarantine; zero when the request is not quarantined.
	QuarantinedUntil time.Time
	// Suspected is set while the request may run only on Worker.
	Suspected bool
	// Worker is the only worker on which a suspect may run; empty while no worker is available.
	Worker string
}

// suspect is a request that was in flight at a crash.
type suspect struct {
	// worker is the one on which the suspect may run, assigned to no other suspect; empty while none is available.
	worker string
	// crashed is the set of workers that crashed with the request in flight.
	crashed map[string]bool
	// expires is when the suspicion ends unless another crash extends it.
	expires time.Time
}

// Quarantiner holds the suspects and quarantines of one zone. It is not safe for
// concurrent use.
type Quarantiner struct {
	// suspects maps fingerprints to suspects.
	suspects map[string]*suspect
	// quarantined maps fingerprints to the end of their quarantine.
	quarantined map[string]time.Time
}

// New returns a quarantiner without suspects and quarantines.
func New() *Quarantiner {
	return &Quarantiner{suspects: map[string]*suspect{}, quarantined: map[string]time.Time{}}
}

// RecordCrash records that a worker crashed with requests in flight and returns the
// verdict on each of them. It assigns one of workers to each suspect while any is
// available.
func (q *Quarantiner) RecordCrash(now time.Time, worker string, fingerprints, workers []string) []Verdict {
	q.expire(now)
	if cause, found := q.crashCause(worker, fingerprints); found {
		q.quarantined[cause] = now.Add(QuarantineDuration)
		q.clearExplained(cause, worker)
	}
	verdicts := make([]Verdict, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		q.addSuspect(now, fingerprint, worker)
		verdicts = append(verdicts, q.verdict(fingerprint, workers))
	}
	return verdicts
}

// crashCause returns the suspect that was in flight at the crash of the worker
// assigned to it; a crash that is already recorded for the suspect does not count.
func (q *Quarantiner) crashCause(worker string, fingerprints []string) (string, bool) {
	for _, fingerprint := range fingerprints {
		s, suspected := q.suspects[fingerprint]
		if suspected && s.worker == worker && len(s.crashed) > 0 && !s.crashed[worker] {
			return fingerprint, true
		}
	}
	return "", false
}

// clearExplained clears each suspect that was in flight only at crashes of workers that
// crashed with the cause in flight, including lastWorker, whose crash identified the
// cause.
func (q *Quarantiner) clearExplained(cause, lastWorker string) {
	explained := q.suspects[cause].crashed
	explained[lastWorker] = true
	for fingerprint, s := range q.suspects {
		if len(s.crashed) > 0 && isSubset(s.crashed, explained) {
			delete(q.suspects, fingerprint)
		}
	}
}

func isSubset(subset, set map[string]bool) bool {
	for worker := range subset {
		if !set[worker] {
			return false
		}
	}
	return true
}

// addSuspect records that a request was in flight when the worker crashed and
// takes that worker from it.
func (q *Quarantiner) addSuspect(now time.Time, fingerprint, worker string) {
	if _, quarantined := q.quarantined[fingerprint]; quarantined {
		return
	}
	s, known := q.suspects[fingerprint]
	if !known {
		s = &suspect{crashed: map[string]bool{}}
		q.suspects[fingerprint] = s
	}
	s.crashed[worker] = true
	s.expires = now.Add(suspicionDuration)
	if s.worker == worker {
		s.worker = ""
	}
}

// verdict returns the verdict on a request and assigns a worker to a suspect without one.
func (q *Quarantiner) verdict(fingerprint string, workers []string) Verdict {
	if until, quarantined := q.quarantined[fingerprint]; quarantined {
		return Verdict{Fingerprint: fingerprint, QuarantinedUntil: until}
	}
	s, suspected := q.suspects[fingerprint]
	if !suspected {
		return Verdict{Fingerprint: fingerprint}
	}
	if s.worker == "" {
		s.worker = q.unassignedWorker(s, workers)
	}
	return Verdict{Fingerprint: fingerprint, Suspected: true, Worker: s.worker}
}

// unassignedWorker returns the first worker by name that did not crash with the
// suspect and is assigned to no suspect, or "".
func (q *Quarantiner) unassignedWorker(s *suspect, workers []string) string {
	assigned := map[string]bool{}
	for _, other := range q.suspects {
		assigned[other.worker] = true
	}
	sorted := append([]string(nil), workers...)
	sort.Strings(sorted)
	for _, worker := range sorted {
		if !assigned[worker] && !s.crashed[worker] {
			return worker
		}
	}
	return ""
}

// Check returns the verdict on a request that is about to be sent. It assigns one of
// workers to a suspect without a worker.
func (q *Quarantiner) Check(now time.Time, fingerprint string, workers []string) Verdict {
	q.expire(now)
	return q.verdict(fingerprint, workers)
}

// Clear ends the suspicion of a request that completed.
func (q *Quarantiner) Clear(fingerprint string) { delete(q.suspects, fingerprint) }

// Quarantined maps every quarantined fingerprint to the end of its quarantine.
// The map is the quarantiner's own and must not be changed.
func (q *Quarantiner) Quarantined(now time.Time) map[string]time.Time {
	q.expire(now)
	return q.quarantined
}

// AddQuarantine adds a quarantine that another node decided.
func (q *Quarantiner) AddQuarantine(fingerprint string, until time.Time) {
	q.quarantined[fingerprint] = until
	delete(q.suspects, fingerprint)
}

// expire deletes the quarantines and suspicions that have ended.
func (q *Quarantiner) expire(now time.Time) {
	for fingerprint, until := range q.quarantined {
		if !now.Before(until) {
			delete(q.quarantined, fingerprint)
		}
	}
	for fingerprint, s := range q.suspects {
		if !now.Before(s.expires) {
			delete(q.suspects, fingerprint)
		}
	}
}
