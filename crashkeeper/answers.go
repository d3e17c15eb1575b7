package crashkeeper

import "time"

const (
	// answerMemory is how long an answer counts as a late one; up to twice this time.
	answerMemory = 5 * time.Minute
	// maxAnswers bounds the fingerprints of each generation of recentAnswers.
	maxAnswers = 10_000
)

// recentAnswers holds the fingerprints of requests that workers answered lately, in two generations.
type recentAnswers struct {
	// current is filled until currentEnds; previous was before it.
	current, previous map[string]bool
	currentEnds       time.Time
}

func newRecentAnswers() recentAnswers {
	return recentAnswers{current: map[string]bool{}, previous: map[string]bool{}}
}

// add records an answer to a request with the fingerprint.
func (r *recentAnswers) add(now time.Time, fingerprint string) {
	r.turn(now)
	if len(r.current) < maxAnswers {
		r.current[fingerprint] = true
	}
}

// has reports whether a request with the fingerprint was answered lately.
func (r *recentAnswers) has(now time.Time, fingerprint string) bool {
	r.turn(now)
	return r.current[fingerprint] || r.previous[fingerprint]
}

// turn begins a new generation if the current one has ended.
func (r *recentAnswers) turn(now time.Time) {
	if now.Before(r.currentEnds) {
		return
	}
	if r.previous = r.current; now.Sub(r.currentEnds) > answerMemory {
		r.previous = map[string]bool{}
	}
	r.current, r.currentEnds = map[string]bool{}, now.Add(answerMemory)
}
