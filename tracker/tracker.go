// Package tracker holds what a node knows of the workers in its zone: which
// units each has ready, its load, and how it answered this node lately.
package tracker

import (
	"hash/maphash"
	"sort"
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/router"
)

// shardCount is the number of independently locked parts.
const shardCount = 16

// Worker is what a node knows of one worker.
type Worker struct {
	// id is the host's name; it never changes.
	id string
	// address is IP and port.
	address string
	// zone is the availability zone.
	zone string
	// group is the worker group of the configuration.
	group string
	// slots is at least 1.
	slots int
	// listedLeaving is set when the host list says so, reportedLeaving when the worker or the leader does.
	listedLeaving, reportedLeaving bool
	// running and queued are the load by the last digest.
	running, queued int
	// incarnation is the worker's by the last digest, or 0.
	incarnation int64
	// sent counts the requests that this node has in flight there.
	sent int
	// sentAtDigest is what sent was when the last digest came.
	sentAtDigest int
	// units maps each unit to its phase.
	units map[string]string
	// penalty is 1 after a failure and decays while the worker answers.
	penalty float64
	// penaltyAt is when penalty was last changed.
	penaltyAt time.Time
	// listed is set while the host list names the worker.
	listed bool
}

type shard struct {
	// mu guards workers and the fields of each.
	mu      sync.Mutex
	workers map[string]*Worker
}

// Tracker is safe for use by several goroutines.
type Tracker struct {
	shards [shardCount]shard
	seed   maphash.Seed
}

// New returns a tracker that knows no worker.
func New() *Tracker {
	t := &Tracker{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].workers = map[string]*Worker{}
	}
	return t
}

func (t *Tracker) shardOf(id string) *shard {
	return &t.shards[maphash.String(t.seed, id)%shardCount]
}

// Listing is a worker as the host list and the configuration describe it.
type Listing struct {
	ID, Address, Zone, Group string
	Slots                    int
	Leaving                  bool
}

// SetListed replaces what the host list says.
func (t *Tracker) SetListed(listings []Listing) {
	listed := map[string]bool{}
	for _, listing := range listings {
		listed[listing.ID] = true
		t.setListing(listing)
	}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, w := range s.workers {
			w.listed = listed[id]
		}
		s.mu.Unlock()
	}
}

func (t *Tracker) setListing(listing Listing) {
	s := t.shardOf(listing.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(listing.ID)
	w.address, w.zone, w.group = listing.Address, listing.Zone, listing.Group
	w.slots = max(listing.Slots, 1)
	w.listedLeaving = listing.Leaving
}

// worker returns the known or a new worker; the caller holds mu.
func (s *shard) worker(id string) *Worker {
	w, known := s.workers[id]
	if !known {
		w = &Worker{id: id, slots: 1, units: map[string]string{}}
		s.workers[id] = w
	}
	return w
}

// Digest is a worker as the zone's leader describes it.
type Digest struct {
	ID              string
	Leaving         bool
	Running, Queued int
	Incarnation     int64
	// Units maps each unit to its phase.
	Units map[string]string
	// LoadOnly is set when Units is left out because it did not change.
	LoadOnly bool
}

// SetDigest takes in what the leader says of a worker.
func (t *Tracker) SetDigest(digest Digest) {
	s := t.shardOf(digest.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(digest.ID)
	w.reportedLeaving = digest.Leaving
	w.running, w.queued = digest.Running, digest.Queued
	w.sentAtDigest = w.sent
	w.incarnation = digest.Incarnation
	if !digest.LoadOnly {
		w.units = digest.Units
	}
}

// SetReady records that a unit is ready at a worker.
func (t *Tracker) SetReady(id, unit string) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.worker(id).units[unit] = PhaseReady
}

// SetAbsent records that a worker said it does not have a unit.
func (t *Tracker) SetAbsent(id, unit string) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.worker(id).units, unit)
}

// SetLeaving records that a worker refused work because it leaves.
func (t *Tracker) SetLeaving(id string) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.worker(id).reportedLeaving = true
}

// PhaseReady is the phase of a unit that serves requests.
const PhaseReady = "ready"

// usable reports whether a worker may get new work; the caller holds mu.
func (w *Worker) usable() bool {
	return w.listed && !w.listedLeaving && !w.reportedLeaving
}

// load returns the load by the last digest plus what this node sent since; the caller holds mu.
func (w *Worker) load() int {
	return max(w.running+w.queued+w.sent-w.sentAtDigest, w.sent, 0)
}

// penaltyHalfLife is the time in which a worker regains half of its lost traffic.
const penaltyHalfLife = 2 * time.Second

func (w *Worker) currentPenalty(now time.Time) float64 {
	penalty := w.penalty
	for elapsed := now.Sub(w.penaltyAt); elapsed >= penaltyHalfLife && penalty > 0; elapsed -= penaltyHalfLife {
		penalty /= 2
	}
	if penalty < leastPenalty {
		return 0
	}
	return penalty
}

// leastPenalty is the penalty below which a worker counts as well.
const leastPenalty = 0.05

// Candidates returns the usable workers that have a unit ready, without the excluded.
func (t *Tracker) Candidates(now time.Time, unit, ownZone string, excluded map[string]bool) []router.Candidate {
	return t.collect(now, ownZone, excluded, func(w *Worker) bool { return w.units[unit] == PhaseReady })
}

// ServiceCandidates returns the usable workers of the groups that run a service.
func (t *Tracker) ServiceCandidates(now time.Time, groups map[string]bool, ownZone string, excluded map[string]bool) []router.Candidate {
	return t.collect(now, ownZone, excluded, func(w *Worker) bool { return groups[w.group] })
}

func (t *Tracker) collect(now time.Time, ownZone string, excluded map[string]bool, matches func(*Worker) bool) []router.Candidate {
	var candidates []router.Candidate
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, w := range s.workers {
			if !w.usable() || excluded[id] || !matches(w) {
				continue
			}
			candidates = append(candidates, router.Candidate{ID: id, Load: w.load(), Slots: w.slots, Penalty: w.currentPenalty(now), Remote: w.zone != ownZone})
		}
		s.mu.Unlock()
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
	return candidates
}

// Begin counts a request sent to a worker and returns the worker's address and
// its incarnation by the last digest.
func (t *Tracker) Begin(id string) (address string, incarnation int64) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(id)
	w.sent++
	return w.address, w.incarnation
}

// Address returns a worker's address.
func (t *Tracker) Address(id string) string {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worker(id).address
}

// Zone returns a worker's availability zone.
func (t *Tracker) Zone(id string) string {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worker(id).zone
}

// Usable returns the IDs of the workers of a zone that may get new work.
func (t *Tracker) Usable(zone string) []string {
	var ids []string
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, w := range s.workers {
			if w.usable() && w.zone == zone && w.incarnation != 0 {
				ids = append(ids, id)
			}
		}
		s.mu.Unlock()
	}
	sort.Strings(ids)
	return ids
}

// End counts a request that ended at a worker; failed says that the worker is to blame.
func (t *Tracker) End(now time.Time, id string, failed bool) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(id)
	w.sent--
	if w.sentAtDigest > 0 {
		w.sentAtDigest--
	}
	if failed {
		w.penalty = 1
		w.penaltyAt = now
	}
}

// Row is one line of the status page.
type Row struct {
	ID      string            `json:"id"`
	Address string            `json:"address"`
	Zone    string            `json:"zone"`
	Group   string            `json:"group"`
	Leaving bool              `json:"leaving"`
	Running int               `json:"running"`
	Queued  int               `json:"queued"`
	Sent    int               `json:"sent"`
	Units   map[string]string `json:"units"`
}

// Rows returns every listed worker in the order of its ID.
func (t *Tracker) Rows() []Row {
	rows := []Row{}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, w := range s.workers {
			if w.listed {
				rows = append(rows, w.row())
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	return rows
}

// row copies a worker for the status page; the caller holds mu.
func (w *Worker) row() Row {
	units := make(map[string]string, len(w.units))
	for unit, phase := range w.units {
		units[unit] = phase
	}
	return Row{
		ID: w.id, Address: w.address, Zone: w.zone, Group: w.group, Leaving: w.listedLeaving || w.reportedLeaving,
		Running: w.running, Queued: w.queued, Sent: w.sent, Units: units,
	}
}
