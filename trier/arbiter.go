package trier

import (
	"sync"
	"time"

	"github.com/samber/lo"
)

// held is a fingerprint whose turn has been given away.
type held struct {
	// request and node are those of the trial.
	request, node string
	// until is when the next trial may begin.
	until time.Time
}

// Arbiter is the side of a leader: it gives each fingerprint to one trial at a time. It is safe for concurrent use.
type Arbiter struct {
	// mu guards everything below.
	mu sync.Mutex
	// epoch is that of the lease under which helds were given.
	epoch int64
	// helds holds the fingerprints that are on trial, or were until a short time ago.
	helds map[string]held
	// sweepAt is when helds may be searched for those whose time is over.
	sweepAt time.Time
}

// NewArbiter returns an arbiter that has given nothing away.
func NewArbiter() *Arbiter { return &Arbiter{helds: map[string]held{}} }

// Begin gives all fingerprints of a trial to it under the epoch of this node's lease, and reports whether it did. A new leader knows nothing of the trials
// that its predecessor let begin; one more of each may begin then.
func (a *Arbiter) Begin(now time.Time, epoch int64, trial Trial) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch != a.epoch {
		a.epoch, a.helds = epoch, map[string]held{}
	}
	if lo.SomeBy(trial.Fingerprints, func(fingerprint string) bool {
		known, found := a.helds[fingerprint]
		return found && now.Before(known.until) && (known.request != trial.Request || known.node != trial.Node)
	}) {
		return false
	}
	if len(a.helds)+len(trial.Fingerprints) > maxKeptTrials && !now.Before(a.sweepAt) {
		a.helds = lo.OmitBy(a.helds, func(_ string, known held) bool { return !now.Before(known.until) })
		a.sweepAt = now.Add(sweepInterval)
	}
	if len(a.helds)+len(trial.Fingerprints) > maxKeptTrials {
		return false
	}
	until := trial.Until
	if latest := now.Add(MaxDuration); until.After(latest) {
		until = latest
	}
	for _, fingerprint := range trial.Fingerprints {
		a.helds[fingerprint] = held{request: trial.Request, node: trial.Node, until: until}
	}
	return true
}

// End ends a trial: its fingerprints may be given away again from freeAt on. Those that it does not hold are left alone.
func (a *Arbiter) End(now time.Time, trial Trial, freeAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if latest := now.Add(MaxDuration); freeAt.After(latest) {
		freeAt = latest
	}
	for _, fingerprint := range trial.Fingerprints {
		known, found := a.helds[fingerprint]
		if !found || known.request != trial.Request || known.node != trial.Node {
			continue
		}
		if now.Before(freeAt) {
			known.until = freeAt
			a.helds[fingerprint] = known
			continue
		}
		delete(a.helds, fingerprint)
	}
}
