// Package quarantiner finds the request that crashes every worker that runs it, and
// distinguishes it from the requests that were in flight at the same time.
//
// Every request in flight at a crash becomes a suspect. A suspect may run only
// on a worker that is assigned to no other suspect; when that worker crashes
// too, exactly one suspect can be the cause, and it is quarantined. A suspect
// that completes is cleared. The worker may have crashed for a reason of its own,
// so a quarantined request is tried again a few times, on a worker of its own; if
// it completes, the quarantine ends. The package reads no clock and does no I/O.
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
	// trialDuration is how long a trial keeps its worker from other suspects.
	trialDuration = 10 * time.Second
	// askInterval is the shortest time between two questions of a node to the leader whether a trial may begin.
	askInterval = time.Second
	// trialRetry is about the time from the moment at which a trial is due to its end.
	trialRetry = 2 * time.Second
)

// trialDelays are the times from the beginning of a quarantine at which the request is tried.
var trialDelays = []time.Duration{10 * time.Second, 2 * time.Minute}

// Verdict says whether and where one request may run.
type Verdict struct {
	// Fingerprint identifies the request's content.
	Fingerprint string
	// QuarantinedUntil is the end of the quarantine; zero when the request is not quarantined.
	QuarantinedUntil time.Time
	// RetryAt is when a caller whose request is quarantined may come again: after the next trial, or at the end of the quarantine.
	RetryAt time.Time
	// TrialDue is set if the request is quarantined and its zone's leader may let it be tried; the node is to ask it.
	TrialDue bool
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

// quarantine is a request that is refused.
type quarantine struct {
	// until is the end of the quarantine. It stays the same when the request is tried.
	until time.Time
	// tried is the number of trials that were permitted or missed; only the zone's leader counts them.
	tried int
	// askedAt is when this node last asked whether a trial may begin; zero if it has not.
	askedAt time.Time
}

// trialsDue returns the number of trials that were due until now.
func (q *quarantine) trialsDue(now time.Time) int {
	since := now.Sub(q.until.Add(-QuarantineDuration))
	due := 0
	for due < len(trialDelays) && since >= trialDelays[due] {
		due++
	}
	return due
}

func (q *quarantine) trialDue(now time.Time) bool { return q.tried < q.trialsDue(now) }

// retryAt returns when callers may come again.
func (q *quarantine) retryAt(now time.Time) time.Time {
	due, began := q.trialsDue(now), q.until.Add(-QuarantineDuration)
	if due > 0 && now.Before(began.Add(trialDelays[due-1]+trialDuration)) {
		return now.Add(trialRetry) // The trial may end soon.
	}
	if due < len(trialDelays) {
		return began.Add(trialDelays[due] + trialRetry)
	}
	return q.until
}

// Quarantiner holds the suspects and quarantines of one zone. It is not safe for
// concurrent use.
type Quarantiner struct {
	// suspects maps fingerprints to suspects.
	suspects map[string]*suspect
	// quarantined maps fingerprints to their quarantines.
	quarantined map[string]*quarantine
	// cleared maps fingerprints whose quarantine ended by a completed request to the time at which it would have ended. Nodes that have
	// not heard of it yet go on reporting the quarantine.
	cleared map[string]time.Time
}

// New returns a quarantiner without suspects and quarantines.
func New() *Quarantiner {
	return &Quarantiner{suspects: map[string]*suspect{}, quarantined: map[string]*quarantine{}, cleared: map[string]time.Time{}}
}

// RecordCrash records that a worker crashed with requests in flight and returns the
// verdict on each of them. It assigns one of workers to each suspect while any is
// available.
func (q *Quarantiner) RecordCrash(now time.Time, worker string, fingerprints, workers []string) []Verdict {
	q.expire(now)
	if cause, found := q.crashCause(worker, fingerprints); found {
		q.quarantined[cause] = &quarantine{until: now.Add(QuarantineDuration)}
		delete(q.cleared, cause)
		q.clearExplained(cause, worker)
	}
	verdicts := make([]Verdict, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		q.addSuspect(now, fingerprint, worker)
		verdicts = append(verdicts, q.verdict(now, fingerprint, workers))
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
		delete(q.suspects, fingerprint) // The worker of its trial has crashed.
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
func (q *Quarantiner) verdict(now time.Time, fingerprint string, workers []string) Verdict {
	if known, quarantined := q.quarantined[fingerprint]; quarantined {
		return Verdict{
			Fingerprint: fingerprint, QuarantinedUntil: known.until, RetryAt: known.retryAt(now),
			TrialDue: known.trialDue(now) && now.Sub(known.askedAt) >= askInterval,
		}
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
	return q.verdict(now, fingerprint, workers)
}

// Try returns what Check does, but lets a quarantined request run on a worker of its own if a trial of it is due. Only the zone's
// leader may call it, so that one request of the zone is tried.
func (q *Quarantiner) Try(now time.Time, fingerprint string, workers []string) Verdict {
	verdict := q.Check(now, fingerprint, workers)
	known, quarantined := q.quarantined[fingerprint]
	if !quarantined || !known.trialDue(now) {
		return verdict
	}
	trial := &suspect{crashed: map[string]bool{}, expires: now.Add(trialDuration)}
	if trial.worker = q.unassignedWorker(trial, workers); trial.worker == "" {
		return verdict
	}
	known.tried = known.trialsDue(now)
	q.suspects[fingerprint] = trial
	return Verdict{Fingerprint: fingerprint, Suspected: true, Worker: trial.worker}
}

// RecordAsked records that this node asks the zone's leader whether a trial of a quarantined request may begin.
func (q *Quarantiner) RecordAsked(now time.Time, fingerprint string) {
	if known, quarantined := q.quarantined[fingerprint]; quarantined {
		known.askedAt = now
	}
}

// Clear ends the suspicion and the quarantine of a request that completed.
func (q *Quarantiner) Clear(now time.Time, fingerprint string) {
	delete(q.suspects, fingerprint)
	if known, quarantined := q.quarantined[fingerprint]; quarantined && now.Before(known.until) {
		delete(q.quarantined, fingerprint)
		q.cleared[fingerprint] = known.until
	}
}

// Quarantined maps every quarantined fingerprint to the end of its quarantine, and those whose quarantine was cleared to now.
func (q *Quarantiner) Quarantined(now time.Time) map[string]time.Time {
	q.expire(now)
	ends := make(map[string]time.Time, len(q.quarantined)+len(q.cleared))
	for fingerprint := range q.cleared {
		ends[fingerprint] = now
	}
	for fingerprint, known := range q.quarantined {
		ends[fingerprint] = known.until
	}
	return ends
}

// AddQuarantine adds a quarantine that another node decided. If it ends now, the request was cleared there. Nodes report the end of one quarantine
// with differences below minQuarantineGap.
func (q *Quarantiner) AddQuarantine(now time.Time, fingerprint string, until time.Time) {
	q.expire(now)
	if !now.Before(until) {
		q.Clear(now, fingerprint)
		return
	}
	if cleared, found := q.cleared[fingerprint]; found && until.Before(cleared.Add(minQuarantineGap)) {
		return
	}
	delete(q.cleared, fingerprint)
	if known, quarantined := q.quarantined[fingerprint]; quarantined && until.Before(known.until.Add(minQuarantineGap)) {
		return
	}
	q.quarantined[fingerprint] = &quarantine{until: until}
	delete(q.suspects, fingerprint)
}

// minQuarantineGap is shorter than the time between the ends of two quarantines of a request, since it is cleared by a trial.
const minQuarantineGap = 5 * time.Second

// expire deletes the quarantines and suspicions that have ended.
func (q *Quarantiner) expire(now time.Time) {
	for fingerprint, known := range q.quarantined {
		if !now.Before(known.until) {
			delete(q.quarantined, fingerprint)
		}
	}
	for fingerprint, until := range q.cleared {
		if !now.Before(until) {
			delete(q.cleared, fingerprint)
		}
	}
	for fingerprint, s := range q.suspects {
		if !now.Before(s.expires) {
			delete(q.suspects, fingerprint)
		}
	}
}
