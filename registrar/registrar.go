// Package registrar keeps the list of workers as their heartbeats describe
// them: who serves, who leaves, who is gone.
//
// The package holds no clock and does no I/O.
package registrar

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
)

// Worker is what one worker says of itself. It is never changed once listed.
type Worker struct {
	// ID is the worker's name in the list; a restarted worker may have the same.
	ID string
	// Service and Zone name where it belongs, Address is an IP and a port.
	Service, Zone, Address string
	// Slots is how many requests it runs at once, at least 1.
	Slots int
	// Leaving is set when it must get no new work.
	Leaving bool
	// Born identifies the start of the process; 0 when not said.
	Born int64
	// Held maps the models in its memory to their adapters.
	Held map[string][]string
	// InMemory and OnDisk name the models of which it keeps copies.
	InMemory, OnDisk map[string]bool
	// RowVersion is the version of the heartbeat's row; it only rises for one ID.
	RowVersion int64
	// ChangedVersion is the version at which it last said something new about whether and where it can be reached.
	ChangedVersion int64
	// SeenAt is when the heartbeat was read here.
	SeenAt time.Time
}

// sameReach reports whether two heartbeats say the same about whether and where a worker can be reached.
func (w *Worker) sameReach(other *Worker) bool {
	return w.Service == other.Service && w.Zone == other.Zone && w.Address == other.Address && w.Slots == other.Slots &&
		w.Leaving == other.Leaving && w.Born == other.Born
}

// Change is one heartbeat, or the end of one.
type Change struct {
	// Worker is the new entry; only ID and RowVersion are set when Removed.
	Worker Worker
	// Removed is set when the entry was dropped.
	Removed bool
}

// Fleet is the list of workers at one moment. It never changes.
type Fleet struct {
	byID      map[string]*Worker
	byService map[string][]*Worker
}

// Worker returns a listed worker.
func (f *Fleet) Worker(id string) (*Worker, bool) {
	w, found := f.byID[id]
	return w, found
}

// Of returns the workers of a service in the order of their names.
func (f *Fleet) Of(service string) []*Worker { return f.byService[service] }

// Size returns how many workers are listed.
func (f *Fleet) Size() int { return len(f.byID) }

// All returns all workers in no particular order.
func (f *Fleet) All() []*Worker { return lo.Values(f.byID) }

// Registrar is safe for use by several goroutines.
type Registrar struct {
	fleet atomic.Pointer[Fleet]
	// mu guards everything below.
	mu      sync.Mutex
	workers map[string]*Worker
	// removed holds the row version at which an ID was last removed.
	removed map[string]int64
	// doubted maps workers whose entry lapsed while the store was away to when they count as gone.
	doubted map[string]time.Time
	// disturbedUntil is until when a missing entry may be one that comes back.
	disturbedUntil time.Time
	// changed is the newest version of a change that Since returns; it never falls.
	changed int64
}

// lapseGrace is how long an entry that lapsed during an outage may be missing after the store's return.
const lapseGrace = 2 * time.Second // Letter 2: entries are back within about two seconds.

// New returns an empty list.
func New() *Registrar {
	r := &Registrar{workers: map[string]*Worker{}, removed: map[string]int64{}, doubted: map[string]time.Time{}}
	r.publish()
	return r
}

// Fleet returns the list as it is now.
func (r *Registrar) Fleet() *Fleet { return r.fleet.Load() }

// Disturbed takes in that the store did not answer at a time.
func (r *Registrar) Disturbed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbedUntil = now.Add(lapseGrace)
}

// Changed returns the version of the newest change that Since returns.
func (r *Registrar) Changed() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Since returns the workers that said something new after a version, and those
// that are gone since, in the order of their names.
func (r *Registrar) Since(version int64) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed <= version {
		return nil
	}
	var changes []Change
	for id, w := range r.workers {
		if _, removed := r.removed[id]; !removed && w.ChangedVersion > version {
			changes = append(changes, Change{Worker: *w})
		}
	}
	for id, removed := range r.removed {
		if removed > version {
			changes = append(changes, Change{Worker: Worker{ID: id, RowVersion: removed}, Removed: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Worker.ID < changes[j].Worker.ID })
	return changes
}

// Replace takes in the whole list as of a version of the store. It returns
// the workers that are missing from it.
func (r *Registrar) Replace(now time.Time, workers []Worker, version int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for i := range workers {
		listed[workers[i].ID] = true
		r.put(&workers[i])
	}
	var missing []string
	for id, w := range r.workers {
		if !listed[id] && w.RowVersion <= version {
			missing = append(missing, id)
			r.drop(now, id, version)
		}
	}
	r.publish()
	return missing
}

// Apply takes in changes in the order of their versions.
func (r *Registrar) Apply(now time.Time, changes []Change) {
	if len(changes) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range changes {
		if changes[i].Removed {
			r.drop(now, changes[i].Worker.ID, changes[i].Worker.RowVersion)
			continue
		}
		r.put(&changes[i].Worker)
	}
	r.publish()
}

// Expire drops the doubted workers whose grace is over and returns them.
func (r *Registrar) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for id, until := range r.doubted {
		if !now.Before(until) {
			gone = append(gone, id)
			delete(r.doubted, id)
			delete(r.workers, id)
		}
	}
	if len(gone) > 0 {
		r.publish()
	}
	sort.Strings(gone)
	return gone
}

// put takes in an entry; the caller holds mu.
func (r *Registrar) put(w *Worker) {
	if known, found := r.workers[w.ID]; found && w.RowVersion < known.RowVersion {
		return
	}
	if w.RowVersion < r.removed[w.ID] {
		return
	}
	w.ChangedVersion = w.RowVersion
	if known, found := r.workers[w.ID]; found && known.sameReach(w) {
		if _, removed := r.removed[w.ID]; !removed {
			w.ChangedVersion = known.ChangedVersion
		}
	}
	r.changed = max(r.changed, w.ChangedVersion)
	r.workers[w.ID] = w
	delete(r.doubted, w.ID)
	delete(r.removed, w.ID)
}

// drop takes in that an entry is missing; the caller holds mu.
func (r *Registrar) drop(now time.Time, id string, version int64) {
	known, found := r.workers[id]
	if !found || version < known.RowVersion {
		return
	}
	r.removed[id] = version
	r.changed = max(r.changed, version)
	if now.Before(r.disturbedUntil) {
		if _, doubted := r.doubted[id]; !doubted {
			r.doubted[id] = now.Add(lapseGrace)
		}
		return
	}
	delete(r.workers, id)
	delete(r.doubted, id)
}

// publish builds the list that readers see; the caller holds mu.
func (r *Registrar) publish() {
	fleet := &Fleet{byID: make(map[string]*Worker, len(r.workers)), byService: map[string][]*Worker{}}
	for id, w := range r.workers {
		fleet.byID[id] = w
		fleet.byService[w.Service] = append(fleet.byService[w.Service], w)
	}
	for _, of := range fleet.byService {
		sort.Slice(of, func(i, j int) bool { return of[i].ID < of[j].ID })
	}
	r.fleet.Store(fleet)
}
