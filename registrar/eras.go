package registrar

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

const (
	// restoreGrace is how long after the store's return from an older copy a worker stays listed whose entry is missing: entries are written again
	// within about two seconds.
	restoreGrace = 2 * time.Second
	// restoredTime is how long after the return an entry may stay that its worker does not write again: the platform removes it after three heartbeats of
	// silence.
	restoredTime = 6 * time.Second
	// eraMargin is how much sooner another node must say that an era began for it to count: messages take different times, and clocks run at different rates.
	eraMargin = 100 * time.Millisecond
)

// ObserveEra records that the store was in the era of a version at a time already. Whoever hears of the same era again, by a call of this node or by another node,
// does not begin the grace period for missing entries anew. It reports whether the era is found to have begun sooner than was known, so that the period ends sooner and
// ignored entries may have been listed.
func (r *Registrar) ObserveEra(now, at time.Time, version int64) (sooner bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observeEra(now, at, version)
}

// EraBegan returns the earliest time at which the store is known to have been in the era of a version; zero if none is known, or in era 0, in which the store has
// never come back from a copy.
func (r *Registrar) EraBegan(version int64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era := platformclient.Era(version); era == 0 || era != r.era {
		return time.Time{}
	}
	return r.eraBegan
}

// observeEra is ObserveEra for callers that hold mu.
func (r *Registrar) observeEra(now, at time.Time, version int64) (sooner bool) {
	era := platformclient.Era(version)
	if era < r.era {
		return false
	}
	if era > r.era {
		if r.era != unknownEra {
			r.restoredUntil = at.Add(restoreGrace)
			clear(r.restored)
		}
		r.era, r.eraBegan, r.eraVersion = era, at, 0
	}
	if r.eraVersion == 0 && platformclient.RowVersion(version) > 0 {
		r.eraVersion, r.eraVersionAt = version, now
	}
	if !at.Before(r.eraBegan.Add(-eraMargin)) {
		return false
	}
	r.eraBegan = at
	r.acceptRestored()
	if until := at.Add(restoreGrace); until.Before(r.restoredUntil) {
		r.restoredUntil = until
	}
	return true
}

// recordRestored records which entries of this node's first list after the store's return from an older copy must be ignored: those of workers and
// removals that are known from before, unless they were written since the return, or say that the known process leaves, which it does not take back. The caller
// holds mu.
func (r *Registrar) recordRestored(workers []Worker) {
	for i := range workers {
		entry := &workers[i]
		known, found := r.workers[entry.ID]
		_, removed := r.removedVersions[entry.ID]
		if entry.RowVersion > r.eraVersion || found && !removed && entry.Leaving && entry.Incarnation == known.Incarnation {
			continue
		}
		if removed || found && platformclient.Era(known.RowVersion) < platformclient.Era(entry.RowVersion) {
			r.restored[entry.ID] = *entry
		}
	}
	r.acceptRestored()
}

// acceptRestored lists the ignored entries that turn out to be written since the store's return: this node heard of the era so long after it that its workers had
// written theirs again, or those of others were removed. The caller holds mu.
func (r *Registrar) acceptRestored() {
	since := r.eraVersionAt.Sub(r.eraBegan)
	accepted := false
	for id := range r.restored {
		if _, removed := r.removedVersions[id]; since < restoreGrace || removed && since < restoredTime {
			continue
		}
		entry := r.restored[id]
		delete(r.restored, id)
		r.put(&entry)
		accepted = true
	}
	if accepted {
		r.publish()
	}
}

// removeRestored records the removal of an entry that came back with an older copy of the store and was ignored: nodes that started since then list the
// worker, and hear of its removal from this one. The caller holds mu.
func (r *Registrar) removeRestored(id string, version int64) {
	if restored, found := r.restored[id]; !found || version <= restored.RowVersion {
		return
	}
	delete(r.restored, id)
	r.removedVersions[id] = version
	r.newestChange = max(r.newestChange, version)
}
