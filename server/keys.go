package server

import (
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/timekeeper"
)

// keysPollInterval is the time between two checks whether keys have become stale, which are for log lines and metrics only.
const keysPollInterval = 250 * time.Millisecond

// revokeTime returns the staleness bound of keys, or 0 for none.
func revokeTime(settings *settingsreader.Settings) time.Duration {
	return time.Duration(settings.RevokeMS()) * time.Millisecond
}

// keysFresh reports whether keys may be accepted now.
func (f *FleetNode) keysFresh() bool { return f.fresh.Fresh(timekeeper.Now()) }

// proofAge returns the time since the latest proof that the configuration was the newest, and whether there is one.
func (f *FleetNode) proofAge() (age time.Duration, proven bool) { return f.fresh.Age(timekeeper.Now()) }

// stamp returns this node's boot time in milliseconds, or 0 if it needs no proofs of freshness.
func (f *FleetNode) stamp() int64 {
	if !f.fresh.Bounded() {
		return 0
	}
	return timekeeper.Now().UnixMilli()
}

// learnFreshness records a leader's proof.
func (f *FleetNode) learnFreshness(proof *nodewire.Freshness) {
	f.fresh.Learn(timekeeper.Now(), time.UnixMilli(proof.GetStamp()), proof.GetVersion())
}

// watchKeys logs when keys become stale and when they are accepted again, and records the age of the proof, until stop is closed. It does nothing
// without a bound, and nothing while there are no tenants.
func (f *FleetNode) watchKeys(stop <-chan struct{}) {
	if !f.fresh.Bounded() {
		return
	}
	fresh, staleSince := true, time.Time{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(keysPollInterval):
		}
		catalog := f.watcher.Catalog()
		if catalog == nil || !catalog.HasTenants() {
			continue
		}
		now := timekeeper.Now()
		age, proven := f.fresh.Age(now)
		if proven {
			f.recorder.Observe(recorder.MeasureProof, "keys", "age", age)
		}
		wasFresh := fresh
		fresh = f.fresh.Fresh(now)
		if wasFresh && !fresh {
			staleSince = now
			f.recorder.Count("keys became stale")
			log.Warn().Int64("version", catalog.Version()).Bool("proven", proven).Int64("age_ms", age.Milliseconds()).
				Bool("behind", f.fresh.Behind()).Bool("leading", f.isLeading()).
				Int64("store_ms", time.Since(f.watcher.LastResponseAt()).Milliseconds()).Msg("keys are stale: no key is accepted")
		}
		if fresh && !wasFresh {
			log.Info().Int64("version", catalog.Version()).Int64("age_ms", age.Milliseconds()).
				Int64("after_ms", now.Sub(staleSince).Milliseconds()).Msg("keys are fresh again")
		}
	}
}
