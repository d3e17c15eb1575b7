// Package quarantiner finds the request that crashes every endpoint that runs
// it, without blaming the requests that happened to run beside it.
//
// All requests in flight at a crash become suspects. Each suspect is assigned
// a worker of its own among the suspects; when that worker crashes too, the
// crash names exactly one suspect, which is quarantined. A suspect that runs
// to its end is cleared. The package holds no clock and does no I/O.
package quarantiner

import (
	"sort"
	"time"
)

// Times of suspicion and quarantine.
const (
	// QuarantineTime is how long a quarantined request is refused.
	QuarantineTime = 10 * time.Minute
	// suspicionTime is how long a request that does not come back stays suspect.
	suspicionTime = 2 * time.Minute
)

// Verdict is what holds for one request.
type Verdict struct {
	// Fingerprint identifies the request's content.
	Fingerprint string
	// QuarantinedUntil is zero when the request is only suspected.
	QuarantinedUntil time.Time
	// Suspected is set while the request may run only at Worker.
	Suspected bool
	// Worker is the only worker where a suspect may run; empty while there is none free.
	Worker string
}

// suspect is a request that was in flight at a crash.
type suspect struct {
	// worker is where the suspect may run; it is assigned to no other suspect.
	worker string
	// crashed are the workers that crashed with the request.
	crashed map[string]bool
	// expires is when the suspicion ends.
	expires time.Time
}

// Quarantiner is the state of one zone. Its methods must not run at the same time.
type Quarantiner struct {
	suspects map[string]*suspect
	// quarantined maps fingerprints to the end of their quarantine.
	quarantined map[string]time.Time
}

// New returns a quarantiner that suspects nothing.
func New() *Quarantiner {
	return &Quarantiner{suspects: map[string]*suspect{}, quarantined: map[string]time.Time{}}
}

// Crash takes in that a worker crashed with requests in flight and returns
// what holds for each. Workers lists where suspects may run.
func (q *Quarantiner) Crash(now time.Time, worker string, fingerprints, workers []string) []Verdict {
	q.expire(now)
	if culprit, found := q.culprit(worker, fingerprints); found {
		q.quarantined[culprit] = now.Add(QuarantineTime)
		q.clearExplained(culprit, worker)
	}
	verdicts := make([]Verdict, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		q.suspectAt(now, fingerprint, worker)
		verdicts = append(verdicts, q.verdict(fingerprint, workers))
	}
	return verdicts
}

// culprit returns the suspect that was assigned to the crashed worker and ran there.
func (q *Quarantiner) culprit(worker string, fingerprints []string) (string, bool) {
	for _, fingerprint := range fingerprints {
		s, suspected := q.suspects[fingerprint]
		if suspected && s.worker == worker && len(s.crashed) > 0 && !s.crashed[worker] {
			return fingerprint, true
		}
	}
	return "", false
}

// clearExplained clears the suspects whose crashes the culprit explains: it was
// in flight at each of them. A crash of the culprit's last worker counts too.
func (q *Quarantiner) clearExplained(culprit, lastWorker string) {
	explained := q.suspects[culprit].crashed
	explained[lastWorker] = true
	for fingerprint, s := range q.suspects {
		if len(s.crashed) > 0 && isSubset(s.crashed, explained) {
			delete(q.suspects, fingerprint)
		}
	}
}

func isSubset(part, whole map[string]bool) bool {
	for worker := range part {
		if !whole[worker] {
			return false
		}
	}
	return true
}

func (q *Quarantiner) suspectAt(now time.Time, fingerprint, worker string) {
	if _, out := q.quarantined[fingerprint]; out {
		return
	}
	s, known := q.suspects[fingerprint]
	if !known {
		s = &suspect{crashed: map[string]bool{}}
		q.suspects[fingerprint] = s
	}
	s.crashed[worker] = true
	s.expires = now.Add(suspicionTime)
	if s.worker == worker {
		s.worker = ""
	}
}

func (q *Quarantiner) verdict(fingerprint string, workers []string) Verdict {
	if until, out := q.quarantined[fingerprint]; out {
		return Verdict{Fingerprint: fingerprint, QuarantinedUntil: until}
	}
	s, suspected := q.suspects[fingerprint]
	if !suspected {
		return Verdict{Fingerprint: fingerprint}
	}
	if s.worker == "" {
		s.worker = q.freeWorker(s, workers)
	}
	return Verdict{Fingerprint: fingerprint, Suspected: true, Worker: s.worker}
}

// freeWorker returns a worker that did not crash with the suspect and is assigned to no other.
func (q *Quarantiner) freeWorker(s *suspect, workers []string) string {
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

// Check returns what holds for a request before it is sent.
func (q *Quarantiner) Check(now time.Time, fingerprint string, workers []string) Verdict {
	q.expire(now)
	return q.verdict(fingerprint, workers)
}

// Clear takes in that a suspect ran to its end.
func (q *Quarantiner) Clear(fingerprint string) { delete(q.suspects, fingerprint) }

// Quarantined returns every quarantined fingerprint with the end of its quarantine.
func (q *Quarantiner) Quarantined(now time.Time) map[string]time.Time {
	q.expire(now)
	return q.quarantined
}

// Restore takes in a quarantine that another node decided.
func (q *Quarantiner) Restore(fingerprint string, until time.Time) {
	q.quarantined[fingerprint] = until
	delete(q.suspects, fingerprint)
}

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
