// Package fleettracker tracks which worker has which model loaded: it merges the
// workers' heartbeats, which are up to two seconds old, with the announcements that
// the zones' leaders send immediately, and with the models that workers refused
// requests for.
//
// The package does no I/O.
package fleettracker

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

const (
	// announcementValidity is how long after a leader's last message its announcements override all heartbeats.
	announcementValidity = 1500 * time.Millisecond // More than three times the longest time between a leader's messages.
	// maxHeartbeatAge is the largest age of a heartbeat's content when the heartbeat is read.
	maxHeartbeatAge = 2800 * time.Millisecond // The interval of heartbeats, their delay in the store and the time between two reads.
	// refusalValidity is how long a worker's refusal of a model overrides heartbeats and announcements.
	refusalValidity = 1 * time.Second
)

// Unit is one model that a worker has loaded or is loading.
type Unit struct {
	// Model is never empty.
	Model string
	// ReadyAt is the expected end of the model's load; zero once the model is loaded.
	ReadyAt time.Time
	// Adapters names the loaded adapters of the model, LoadingAdapters those being loaded.
	Adapters, LoadingAdapters []string
	// Running is how many requests for the model run on the worker, counted over all nodes.
	Running int
}

// Announcement is the state of one worker as its zone's leader reports it.
type Announcement struct {
	// Worker is the ID of the worker, Zone the leader's zone.
	Worker, Zone string
	// Incarnation identifies the start of the worker that the announcement applies to; later starts have higher values.
	Incarnation int64
	// Units are the models that are loaded or being loaded; the worker must not be sent requests for other models.
	Units []Unit
	// Running is how many requests of all nodes run on the worker.
	Running int
	// ReceivedAt is when the announcement was received.
	ReceivedAt time.Time
	// BusyUntil is the expected end of the order that the worker executes; zero when there is none.
	BusyUntil time.Time
}

// Holder is a worker that has a model loaded or is loading it.
type Holder struct {
	Worker *registrar.Worker
	// ReadyAt is the expected end of the model's load; zero when the model is loaded.
	ReadyAt time.Time
	// HasAdapter is set when the requested adapter is loaded too or none was requested, AdapterLoading when it is being
	// loaded.
	HasAdapter, AdapterLoading bool
	// Running is how many requests of all nodes run on the worker, according to its last announcement.
	Running int
}

// refusal is a model that a worker refused a request for; adapter is empty for the model itself.
type refusal struct{ worker, model, adapter string }

// leaderState is what this node knows of a zone's leader.
type leaderState struct {
	// epoch is the highest epoch of an announcement; announcements of lower epochs are ignored.
	epoch int64
	// lastMessageAt is when the leader's last message was received; zero after its stream ended.
	lastMessageAt time.Time
}

// Tracker is one node's view of which workers have which models loaded. It is safe for concurrent use.
type Tracker struct {
	list *registrar.Registrar
	// mu guards everything below.
	mu sync.Mutex
	// announced holds the last announcement of each worker.
	announced map[string]*Announcement
	// leaders holds the state of each zone's leader.
	leaders map[string]leaderState
	// refusals holds the time until which each refusal is valid.
	refusals map[refusal]time.Time
	// estimates holds, by model and zone, when the zone's leader expects a model that is not being loaded yet to be loaded.
	estimates map[indexKey]map[string]estimate
	// changed is closed and replaced at each change of the view.
	changed chan struct{}
	// indexedFleet is the list of workers that index was built for; index holds the workers of each service and model.
	indexedFleet *registrar.Fleet
	index        map[indexKey][]indexEntry
	// stale is set when index must be rebuilt although the list of workers has not changed.
	stale bool
}

type indexKey struct{ service, model string }

// estimate is when a zone's leader expects a model to be loaded, and when this node received that expectation.
type estimate struct{ readyAt, receivedAt time.Time }

// estimateValidity is how long an estimate is used; leaders repeat it while requests wait.
const estimateValidity = 1 * time.Second

// indexEntry is a worker that has a model loaded or is loading it.
type indexEntry struct {
	worker  *registrar.Worker
	unit    Unit
	running int
}

// New returns a tracker of a list of workers without announcements.
func New(list *registrar.Registrar) *Tracker {
	return &Tracker{
		list: list, announced: map[string]*Announcement{}, leaders: map[string]leaderState{}, refusals: map[refusal]time.Time{}, estimates: map[indexKey]map[string]estimate{},
		changed: make(chan struct{}), index: map[indexKey][]indexEntry{},
	}
}

// Changed returns a channel that is closed at the next change of the view.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// MarkWorkersChanged must be called after a change of the list of workers.
func (t *Tracker) MarkWorkersChanged() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notify()
}

// notify closes the channel that Changed returned; the caller holds mu.
func (t *Tracker) notify() {
	t.stale = true
	close(t.changed)
	t.changed = make(chan struct{})
}

// ApplyAnnouncements applies the announcements of a zone's leader. If whole is set, they
// replace all earlier ones of the zone. It returns false, and ignores them, if the epoch
// is lower than the highest known epoch of the zone.
func (t *Tracker) ApplyAnnouncements(now time.Time, zone string, epoch int64, announcements []Announcement, whole bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	leader := t.leaders[zone]
	if epoch < leader.epoch {
		return false
	}
	t.leaders[zone] = leaderState{epoch: epoch, lastMessageAt: now}
	if whole {
		for id, announcement := range t.announced {
			if announcement.Zone == zone {
				delete(t.announced, id)
			}
		}
	}
	for i := range announcements {
		t.announced[announcements[i].Worker] = &announcements[i]
	}
	if whole || len(announcements) > 0 {
		t.notify()
	}
	return true
}

// MarkLeaderLost must be called when the stream to a zone's leader has ended.
func (t *Tracker) MarkLeaderLost(zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if leader, known := t.leaders[zone]; known {
		leader.lastMessageAt = time.Time{}
		t.leaders[zone] = leader
	}
	t.notify()
}

// IsLeaderLive reports whether a zone's leader sent a message within the last 1.5 s and its stream has not ended since.
func (t *Tracker) IsLeaderLive(now time.Time, zone string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isLive(now, zone)
}

// isLive is IsLeaderLive for callers that hold mu.
func (t *Tracker) isLive(now time.Time, zone string) bool {
	leader, known := t.leaders[zone]
	return known && now.Sub(leader.lastMessageAt) < announcementValidity
}

// MarkRefused records that a worker refused a request for a model, or for an adapter of it, since it does not have it
// loaded.
func (t *Tracker) MarkRefused(now time.Time, worker, model, adapter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals[refusal{worker, model, adapter}] = now.Add(refusalValidity)
}

// Announcement returns the last announcement of a worker, or nil; the caller must not change it.
func (t *Tracker) Announcement(worker string) *Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announced[worker]
}

// Units returns the units of a worker: those of its announcement, or those of its heartbeat when that is more current.
func (t *Tracker) Units(now time.Time, worker *registrar.Worker) []Unit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unitsOf(now, worker)
}

// unitsOf is Units for callers that hold mu.
func (t *Tracker) unitsOf(now time.Time, worker *registrar.Worker) []Unit {
	announcement := t.announced[worker.ID]
	if announcement != nil && t.overrides(now, announcement, worker) {
		return announcement.Units
	}
	units := make([]Unit, 0, len(worker.Loaded))
	for model, adapters := range worker.Loaded {
		units = append(units, Unit{Model: model, Adapters: adapters})
	}
	return units
}

// overrides reports whether an announcement is more current than the worker's heartbeat.
func (t *Tracker) overrides(now time.Time, announcement *Announcement, worker *registrar.Worker) bool {
	if announcement.Incarnation != worker.Incarnation {
		return announcement.Incarnation > worker.Incarnation
	}
	return t.isLive(now, announcement.Zone) || worker.SeenAt.Before(announcement.ReceivedAt.Add(maxHeartbeatAge))
}

// Holders returns the workers of a service that have a model loaded or are loading
// it, ordered by their IDs, without leaving workers.
func (t *Tracker) Holders(now time.Time, service, model, adapter string) []Holder {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshIndex(now)
	var holders []Holder
	for _, entry := range t.index[indexKey{service, model}] {
		if t.isRefused(now, entry.worker.ID, model, "") {
			continue
		}
		hasAdapter := adapter == "" || slices.Contains(entry.unit.Adapters, adapter) && !t.isRefused(now, entry.worker.ID, model, adapter)
		holders = append(holders, Holder{
			Worker: entry.worker, ReadyAt: entry.unit.ReadyAt, HasAdapter: hasAdapter,
			AdapterLoading: slices.Contains(entry.unit.LoadingAdapters, adapter), Running: entry.running,
		})
	}
	return holders
}

// SetEstimate records when a zone's leader expects a model that is not being loaded yet to be loaded.
func (t *Tracker) SetEstimate(now time.Time, zone, service, model string, readyAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := indexKey{service, model}
	if t.estimates[key] == nil {
		t.estimates[key] = map[string]estimate{}
	}
	_, known := t.estimates[key][zone]
	t.estimates[key][zone] = estimate{readyAt: readyAt, receivedAt: now}
	if !known {
		t.notify()
	}
}

// Estimate returns the earliest valid estimate of when a model that is not being
// loaded yet will be loaded, and whether there is one.
func (t *Tracker) Estimate(now time.Time, service, model string) (readyAt time.Time, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := indexKey{service, model}
	for zone, zoneEstimate := range t.estimates[key] {
		if now.Sub(zoneEstimate.receivedAt) > estimateValidity {
			delete(t.estimates[key], zone)
			continue
		}
		if !known || zoneEstimate.readyAt.Before(readyAt) {
			readyAt, known = zoneEstimate.readyAt, true
		}
	}
	if len(t.estimates[key]) == 0 {
		delete(t.estimates, key)
	}
	return readyAt, known
}

// isRefused reports whether a refusal is still valid; the caller holds mu.
func (t *Tracker) isRefused(now time.Time, worker, model, adapter string) bool {
	key := refusal{worker, model, adapter}
	until, known := t.refusals[key]
	if known && !now.Before(until) {
		delete(t.refusals, key)
		return false
	}
	return known
}

// refreshIndex rebuilds the index if the list of workers or an announcement has changed; the caller holds mu.
func (t *Tracker) refreshIndex(now time.Time) {
	fleet := t.list.Fleet()
	if !t.stale && fleet == t.indexedFleet {
		return
	}
	t.indexedFleet, t.stale = fleet, false
	t.index = make(map[indexKey][]indexEntry, len(t.index))
	for _, worker := range fleet.All() {
		if worker.Leaving {
			continue
		}
		running := 0
		if announcement := t.announced[worker.ID]; announcement != nil {
			running = announcement.Running
		}
		for _, unit := range t.unitsOf(now, worker) {
			key := indexKey{worker.Service, unit.Model}
			t.index[key] = append(t.index[key], indexEntry{worker: worker, unit: unit, running: running})
		}
	}
	for _, entries := range t.index {
		sort.Slice(entries, func(i, j int) bool { return entries[i].worker.ID < entries[j].worker.ID })
	}
}

// LiveZones returns the zones for which IsLeaderLive is true, in no particular order.
func (t *Tracker) LiveZones(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Filter(lo.Keys(t.leaders), func(zone string, _ int) bool { return t.isLive(now, zone) })
}
