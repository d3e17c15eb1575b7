// Package tracker holds the state of the workers as a node knows it: which units
// each has ready, its load, and whether requests of this node failed there recently.
//
// The state comes from the host list, from the reports of the zone's leader and from
// the requests that the node sends itself.
package tracker

import (
	"hash/maphash"
	"sort"
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/balancer"
)

// shardCount is the number of shards, each of which has its own lock.
const shardCount = 16

// Worker is the state of one worker.
type Worker struct {
	// id is the host's name; it never changes.
	id string
	// address is IP and port.
	address string
	// zone is the worker's availability zone.
	zone string
	// group is the worker's group in the configuration.
	group string
	// slots is the number of requests that the worker runs concurrently, at least 1.
	slots int
	// listedLeaving is set if the host list says that the worker leaves, reportedLeaving if the worker itself or the
	// leader says so.
	listedLeaving, reportedLeaving bool
	// running and queued are the numbers of requests in the leader's last report.
	running, queued int
	// incarnation is that of the worker's process in the leader's last report; 0 if there was none.
	incarnation int64
	// sent is the number of requests of this node that are in flight on the worker.
	sent int
	// sentAtReport is how many of these requests were in flight when the leader's last report was received.
	sentAtReport int
	// units maps each unit to its phase.
	units map[string]string
	// penalty is 1 after a failure; its effect halves every penaltyHalfLife since penaltyAt.
	penalty float64
	// penaltyAt is when penalty was last set.
	penaltyAt time.Time
	// listed is set while the worker is in the host list.
	listed bool
}

// shard holds the workers whose IDs hash to it.
type shard struct {
	// mu guards workers and the fields of each.
	mu sync.Mutex
	// workers maps IDs to workers.
	workers map[string]*Worker
}

// Tracker holds the state of all known workers. It is safe for concurrent use.
type Tracker struct {
	shards [shardCount]shard
	// seed is the seed of the hash that assigns workers to shards.
	seed maphash.Seed
}

// New returns a tracker without workers.
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

// SetListed records a new host list. Workers that are missing from it get no new work.
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

// worker returns the worker with an ID and adds it if it is unknown; the caller holds mu.
func (s *shard) worker(id string) *Worker {
	w, known := s.workers[id]
	if !known {
		w = &Worker{id: id, slots: 1, units: map[string]string{}}
		s.workers[id] = w
	}
	return w
}

// LeaderReport is the state of a worker as the zone's leader reports it.
type LeaderReport struct {
	ID              string
	Leaving         bool
	Running, Queued int
	Incarnation     int64
	// Units maps each unit to its phase.
	Units map[string]string
	// LoadOnly is set if Units is left out because it did not change.
	LoadOnly bool
}

// SetLeaderReport records the state of a worker as the zone's leader reports it.
func (t *Tracker) SetLeaderReport(report LeaderReport) {
	s := t.shardOf(report.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(report.ID)
	w.reportedLeaving = report.Leaving
	w.running, w.queued = report.Running, report.Queued
	w.sentAtReport = w.sent
	w.incarnation = report.Incarnation
	if !report.LoadOnly {
		w.units = report.Units
	}
}

// SetReady records that a unit is ready on a worker.
func (t *Tracker) SetReady(id, unit string) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.worker(id).units[unit] = PhaseReady
}

// SetAbsent records that a worker responded that it does not have a unit.
func (t *Tracker) SetAbsent(id, unit string) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.worker(id).units, unit)
}

// SetLeaving records that a worker refused work because it is leaving.
func (t *Tracker) SetLeaving(id string) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.worker(id).reportedLeaving = true
}

// PhaseReady is the phase of a unit that can serve requests.
const PhaseReady = "ready"

// usable reports whether a worker may get new work; the caller holds mu.
func (w *Worker) usable() bool {
	return w.listed && !w.listedLeaving && !w.reportedLeaving
}

// load returns the number of requests on the worker: those of the leader's last report plus those that this node has
// sent since; the caller holds mu.
func (w *Worker) load() int {
	return max(w.running+w.queued+w.sent-w.sentAtReport, w.sent, 0)
}

// penaltyHalfLife is the time after which a penalty counts half.
const penaltyHalfLife = 2 * time.Second

// currentPenalty returns the penalty that is left, from 0 to 1; the caller holds mu.
func (w *Worker) currentPenalty(now time.Time) float64 {
	penalty := w.penalty
	for elapsed := now.Sub(w.penaltyAt); elapsed >= penaltyHalfLife && penalty > 0; elapsed -= penaltyHalfLife {
		penalty /= 2
	}
	if penalty < minPenalty {
		return 0
	}
	return penalty
}

// minPenalty is the smallest penalty that counts; smaller ones are taken as 0.
const minPenalty = 0.05

// Candidates returns the usable workers that have a unit ready, without the excluded
// ones, sorted by ID.
func (t *Tracker) Candidates(now time.Time, unit, localZone string, excluded map[string]bool) []balancer.Candidate {
	return t.usableWhere(now, localZone, excluded, func(w *Worker) bool { return w.units[unit] == PhaseReady })
}

// ServiceCandidates returns the usable workers of the given groups, which run a service,
// without the excluded ones, sorted by ID.
func (t *Tracker) ServiceCandidates(now time.Time, groups map[string]bool, localZone string, excluded map[string]bool) []balancer.Candidate {
	return t.usableWhere(now, localZone, excluded, func(w *Worker) bool { return groups[w.group] })
}

// usableWhere returns the usable workers that match, without the excluded ones, sorted by ID.
func (t *Tracker) usableWhere(now time.Time, localZone string, excluded map[string]bool, matches func(*Worker) bool) []balancer.Candidate {
	var found []balancer.Candidate
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, w := range s.workers {
			if !w.usable() || excluded[id] || !matches(w) {
				continue
			}
			found = append(found, balancer.Candidate{ID: id, Load: w.load(), Slots: w.slots, Penalty: w.currentPenalty(now), Remote: w.zone != localZone})
		}
		s.mu.Unlock()
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

// Begin counts a request as in flight on a worker, and returns the worker's address and
// the incarnation in the leader's last report of it. End must be called once for each Begin.
func (t *Tracker) Begin(id string) (address string, incarnation int64) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(id)
	w.sent++
	return w.address, w.incarnation
}

// Address returns a worker's IP and port, or "" for a worker that was never listed.
func (t *Tracker) Address(id string) string {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worker(id).address
}

// Zone returns a worker's availability zone, or "" for a worker that was never listed.
func (t *Tracker) Zone(id string) string {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worker(id).zone
}

// Usable returns the IDs of the workers of a zone that may get new work and whose
// incarnation is known from a leader's report, sorted.
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

// End counts a request on a worker as no longer in flight. The worker gets a penalty
// if failed is set, which means that the request failed because of the worker.
func (t *Tracker) End(now time.Time, id string, failed bool) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.worker(id)
	w.sent--
	if w.sentAtReport > 0 {
		w.sentAtReport--
	}
	if failed {
		w.penalty = 1
		w.penaltyAt = now
	}
}

// Row is the state of one worker on the status page.
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

// Rows returns the state of every listed worker, sorted by ID.
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

// row returns a copy of a worker's state for the status page; the caller holds mu.
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
