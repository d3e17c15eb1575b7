// Package registrar keeps the list of workers that their heartbeats in the store
// describe, and the versions at which workers changed or were removed.
//
// The package reads no clock and does no I/O; callers pass the time.
package registrar

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Worker is a worker as its heartbeat describes it. It is immutable once listed.
type Worker struct {
	// ID identifies the worker in the list; a restarted worker may keep its ID.
	ID string
	// Service and Zone are names, Address is an IP and a port.
	Service, Zone, Address string
	// Software is the version of the worker's software, empty if it is not known. Workers of one service may differ in it.
	Software string
	// Slots is the number of requests that it can run concurrently, at least 1.
	Slots int
	// Leaving is set when it must not be sent new requests.
	Leaving bool
	// Incarnation identifies the start of the worker's process; 0 when the heartbeat does not contain it.
	Incarnation int64
	// Loaded maps the models loaded in its accelerator memory to their loaded adapters.
	Loaded map[string][]string
	// InMemory and OnDisk are the names of the models of which it keeps copies in host memory and on disk.
	InMemory, OnDisk map[string]bool
	// RowVersion is the version of the heartbeat's row in the store; it never decreases for one ID.
	RowVersion int64
	// ChangedVersion is the row version of the last heartbeat that listed the worker or changed its availability, as
	// sameAvailability compares it.
	ChangedVersion int64
	// SeenAt is when this node read the heartbeat.
	SeenAt time.Time
}

// sameAvailability reports whether two heartbeats agree on whether and where the worker serves requests.
func (w *Worker) sameAvailability(other *Worker) bool {
	return w.Service == other.Service && w.Zone == other.Zone && w.Address == other.Address && w.Slots == other.Slots &&
		w.Leaving == other.Leaving && w.Incarnation == other.Incarnation && w.Software == other.Software
}

// Change is a new heartbeat of a worker, or its removal from the store.
type Change struct {
	// Worker is the new entry; only ID and RowVersion are set if Removed is.
	Worker Worker
	// Removed is set when the entry was removed.
	Removed bool
}

// Fleet is the list of workers at one moment. It is immutable.
type Fleet struct {
	byID      map[string]*Worker
	byService map[string][]*Worker
	// software holds the software versions of each service's workers, those that are not listed any more included, with the time until which they count;
	// zero for those that are listed.
	software map[string]map[string]time.Time
	// softwareSince is the time from which on every version that was listed is in software; zero before the first list.
	softwareSince time.Time
}

// Worker returns the worker with an ID, and whether it is listed.
func (f *Fleet) Worker(id string) (*Worker, bool) {
	w, found := f.byID[id]
	return w, found
}

// OfService returns the workers of a service in the order of their IDs.
func (f *Fleet) OfService(service string) []*Worker { return f.byService[service] }

// Size returns the number of listed workers.
func (f *Fleet) Size() int { return len(f.byID) }

// All returns all workers in no particular order.
func (f *Fleet) All() []*Worker { return lo.Values(f.byID) }

// Registrar maintains the list of workers. It is safe for concurrent use.
type Registrar struct {
	// fleet is the list that readers get; publish replaces it.
	fleet atomic.Pointer[Fleet]
	// mu guards everything below.
	mu sync.Mutex
	// workers maps IDs to the listed workers.
	workers map[string]*Worker
	// removedVersions maps the IDs of removed entries to the version of the removal.
	removedVersions map[string]int64
	// missing maps the IDs of listed workers whose entries are missing to the time until which the entry may be written again because the store has come back
	// from an older copy; a past or zero time if it has not. restoredUntil bounds it: the return may turn out to be earlier.
	missing map[string]time.Time
	// lapsedUntil is the time until which a missing entry may have lapsed in an outage. Entries that go missing before restoredUntil may be a result of the
	// store's return from an older copy; it is zero if the store has not come back since this process started.
	lapsedUntil, restoredUntil time.Time
	// era is the latest era of the store that this node has heard of, from the store or another node, or unknownEra before the first. The store was in it at
	// eraBegan already.
	era      int64
	eraBegan time.Time
	// eraVersion is the first version in era that this node has heard of, at eraVersionAt, 0 before: what has a later one was written since the store's return.
	eraVersion   int64
	eraVersionAt time.Time
	// listedEra is the store's era at the last call of Replace, or unknownEra before the first.
	listedEra int64
	// restored maps the IDs of entries that came back with an older copy of the store, and were ignored because more was known, to these
	// entries. Each ID that its worker writes again is removed.
	restored map[string]Worker
	// departures maps IDs to the last known departure of the worker, at most maxKeptDepartures; nextDeparture is the number of the next one.
	departures    map[string]departureRecord
	nextDeparture int64
	// newestChange is the version of the newest change that ChangesSince returns; it never decreases.
	newestChange int64
	// softwareSince is that of the current list.
	softwareSince time.Time
}

// unknownEra is the era of the store before the first call of Replace.
const unknownEra = -1

// New returns a registrar with an empty list.
func New() *Registrar {
	r := &Registrar{workers: map[string]*Worker{}, removedVersions: map[string]int64{}, missing: map[string]time.Time{}, restored: map[string]Worker{}, departures: map[string]departureRecord{}, era: unknownEra, listedEra: unknownEra}
	r.publish()
	return r
}

// Fleet returns the current list.
func (r *Registrar) Fleet() *Fleet { return r.fleet.Load() }

// ExpectLapsed sets the time until which an entry that is missing may have lapsed in an outage of the store, and may be written again. Workers whose
// entries are missing stay listed until then.
func (r *Registrar) ExpectLapsed(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapsedUntil = until
}

// RestoredUntil returns until when an entry that goes missing may be a result of the store's return from an older copy; a past or zero time if there is no
// such doubt.
func (r *Registrar) RestoredUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restoredUntil
}

// NextExpiry returns when RemoveExpired will next remove a worker, and whether any worker is listed whose entry is missing.
func (r *Registrar) NextExpiry() (at time.Time, missing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missing) == 0 {
		return time.Time{}, false
	}
	earliest := lo.MinBy(lo.Map(lo.Keys(r.missing), func(id string, _ int) time.Time { return r.keptUntil(id) }), func(a, b time.Time) bool { return a.Before(b) })
	return earliest, true
}

// keptUntil returns until when a worker whose entry is missing stays listed; the caller holds mu.
func (r *Registrar) keptUntil(id string) time.Time {
	until := r.missing[id]
	if r.restoredUntil.Before(until) {
		until = r.restoredUntil
	}
	return laterOf(until, r.lapsedUntil)
}

// MissingSince returns the lowest version at which the entry of a listed worker went missing, and whether any is missing.
func (r *Registrar) MissingSince() (version int64, missing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missing) == 0 {
		return 0, false
	}
	return lo.Min(lo.Map(lo.Keys(r.missing), func(id string, _ int) int64 { return r.removedVersions[id] })), true
}

// Missing returns the IDs of the workers that are listed although their entries are missing, in no particular order.
func (r *Registrar) Missing() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.Keys(r.missing)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// LatestVersion returns the version of the newest change that ChangesSince returns.
func (r *Registrar) LatestVersion() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newestChange
}

// ChangesSince returns the workers whose ChangedVersion is above a version, and the
// removals after it, in the order of the workers' IDs.
func (r *Registrar) ChangesSince(version int64) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newestChange <= version {
		return nil
	}
	var changes []Change
	for id, w := range r.workers {
		if _, removed := r.removedVersions[id]; !removed && w.ChangedVersion > version {
			changes = append(changes, Change{Worker: *w})
		}
	}
	for id, removedVersion := range r.removedVersions {
		if removedVersion > version {
			changes = append(changes, Change{Worker: Worker{ID: id, RowVersion: removedVersion}, Removed: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Worker.ID < changes[j].Worker.ID })
	return changes
}

// Entries returns all workers whose entries are not missing, in the order of their IDs.
func (r *Registrar) Entries() []Change {
	return lo.Reject(r.ChangesSince(unknownEra), func(change Change, _ int) bool { return change.Removed })
}

// Replace applies the complete list of workers as of a version of the store. It
// returns the IDs of the known workers that are missing from it. After the store has come
// back from an older copy, entries of known workers count only once they are written again.
func (r *Registrar) Replace(now time.Time, workers []Worker, version int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.softwareSince.IsZero() {
		r.softwareSince = now
	}
	r.observeEra(now, now, version)
	if era := platformclient.Era(version); era > r.listedEra {
		if r.listedEra != unknownEra {
			r.recordRestored(workers)
		}
		r.listedEra = era
	}
	listed := lo.SliceToMap(workers, func(w Worker) (string, bool) { return w.ID, true })
	for id := range r.restored {
		if !listed[id] {
			r.removeRestored(id, version)
		}
	}
	return r.replace(now, workers, version)
}

// ReplaceForwarded applies the complete list of workers that another node knows as of a version of the store, which takes account of returns of the
// store from an older copy. It returns what Replace returns.
func (r *Registrar) ReplaceForwarded(now time.Time, workers []Worker, version int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replace(now, workers, version)
}

// replace lists the workers as of a version and removes all others; the caller holds mu.
func (r *Registrar) replace(now time.Time, workers []Worker, version int64) []string {
	listed := map[string]bool{}
	for i := range workers {
		listed[workers[i].ID] = true
		r.put(&workers[i])
	}
	var missing []string
	for id, w := range r.workers {
		if !listed[id] && w.RowVersion <= version {
			missing = append(missing, id)
			r.remove(now, id, version)
		}
	}
	r.publish()
	return missing
}

// Apply applies changes, which must be in the order of their versions.
func (r *Registrar) Apply(now time.Time, changes []Change) {
	if len(changes) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range changes {
		r.observeEra(now, now, changes[i].Worker.RowVersion)
		if changes[i].Removed {
			r.remove(now, changes[i].Worker.ID, changes[i].Worker.RowVersion)
			continue
		}
		r.put(&changes[i].Worker)
	}
	r.publish()
}

// RemoveExpired removes the workers whose entries are missing once these cannot be written again any more, and returns their IDs, sorted.
func (r *Registrar) RemoveExpired(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []string
	for id := range r.missing {
		if !now.Before(r.keptUntil(id)) {
			expired = append(expired, id)
			delete(r.missing, id)
			delete(r.workers, id)
		}
	}
	if len(expired) > 0 {
		r.publish()
	}
	sort.Strings(expired)
	return expired
}

// put lists an entry unless a newer entry or removal is known; the caller holds mu.
func (r *Registrar) put(w *Worker) {
	if restored, found := r.restored[w.ID]; found && restored.RowVersion == w.RowVersion {
		return
	}
	delete(r.restored, w.ID)
	if previous, found := r.workers[w.ID]; found && w.RowVersion < previous.RowVersion {
		return
	}
	if w.RowVersion < r.removedVersions[w.ID] {
		return
	}
	w.ChangedVersion = w.RowVersion
	if previous, found := r.workers[w.ID]; found && previous.sameAvailability(w) {
		if _, removed := r.removedVersions[w.ID]; !removed {
			w.ChangedVersion = previous.ChangedVersion
		}
	}
	r.newestChange = max(r.newestChange, w.ChangedVersion)
	r.workers[w.ID] = w
	delete(r.missing, w.ID)
	delete(r.removedVersions, w.ID)
}

// remove records the removal of an entry at a version. The worker stays listed while the entry may be written
// again; otherwise it is removed from the list immediately. The caller holds mu.
func (r *Registrar) remove(now time.Time, id string, version int64) {
	listed, found := r.workers[id]
	if !found {
		r.removeRestored(id, version)
		return
	}
	if version < listed.RowVersion {
		return
	}
	r.removedVersions[id] = version
	r.newestChange = max(r.newestChange, version)
	if now.Before(laterOf(r.restoredUntil, r.lapsedUntil)) {
		if _, missing := r.missing[id]; !missing {
			r.missing[id] = r.restoredUntil
		}
		return
	}
	delete(r.workers, id)
	delete(r.missing, id)
}

// publish builds the list that Fleet returns; the caller holds mu.
func (r *Registrar) publish() {
	fleet := &Fleet{byID: make(map[string]*Worker, len(r.workers)), byService: map[string][]*Worker{}, software: map[string]map[string]time.Time{}, softwareSince: r.softwareSince}
	for id, entry := range r.workers {
		w := r.withDeparture(entry)
		fleet.byID[id] = w
		fleet.byService[w.Service] = append(fleet.byService[w.Service], w)
		fleet.addSoftware(w.Service, w.Software, time.Time{})
	}
	if previous := r.fleet.Load(); previous != nil {
		fleet.keepSoftware(time.Now(), previous)
	}
	for _, workers := range fleet.byService {
		sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
	}
	r.fleet.Store(fleet)
}
