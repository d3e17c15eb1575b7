// Package viewer knows which worker holds which model now: it merges the
// workers' heartbeats, which are up to two seconds old, with what the zones'
// leaders announce at once, and with what workers themselves refused.
//
// The package does no I/O.
package viewer

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

const (
	// leaderSilence is how long a leader's announcements are believed after its last message.
	leaderSilence = 1500 * time.Millisecond // Three times the leader's longest pause between messages.
	// heartbeatLag is how old what a heartbeat says may be when it is read.
	heartbeatLag = 2800 * time.Millisecond // An interval of heartbeats, their lag and the pause between two reads.
	// absenceTime is how long a worker's own refusal of a model outweighs a heartbeat or announcement made before.
	absenceTime = 1 * time.Second
)

// Unit is one model at a worker.
type Unit struct {
	// Model is never empty.
	Model string
	// ReadyAt is when a load that is under way should end; zero once the model is ready.
	ReadyAt time.Time
	// Adapters are ready, Coming are being loaded.
	Adapters, Coming []string
	// Running is how many requests all nodes together have there for the model.
	Running int
}

// Announcement is a leader's account of one worker.
type Announcement struct {
	// Worker is its name, Zone the leader's zone.
	Worker, Zone string
	// Born says to which start of the worker the account applies.
	Born int64
	// Units are ready or coming; a model that is not among them must get no requests.
	Units []Unit
	// Running is how many requests all nodes together have there.
	Running int
	// HeardAt is when the account arrived.
	HeardAt time.Time
	// BusyUntil is when an order that is under way should end; zero when there is none.
	BusyUntil time.Time
}

// Holder is a worker that has a model ready, or will have.
type Holder struct {
	Worker *registrar.Worker
	// ReadyAt is zero when the model is ready.
	ReadyAt time.Time
	// HasAdapter is set when the adapter asked for is ready too; AdapterComing when it is being loaded.
	HasAdapter, AdapterComing bool
	// Running is how many requests all nodes have at the worker by the last announcement.
	Running int
}

type absence struct{ worker, model, adapter string }

// zoneNews is what is known of a zone's leader.
type zoneNews struct {
	// epoch is that of the last announcements; older ones are ignored.
	epoch int64
	// heardAt is when the leader last sent a message.
	heardAt time.Time
}

// Viewer is safe for use by several goroutines.
type Viewer struct {
	list *registrar.Registrar
	// mu guards everything below.
	mu        sync.Mutex
	announced map[string]*Announcement
	zones     map[string]zoneNews
	absent    map[absence]time.Time
	// expected holds what leaders expect of models that are not on their way, by zone.
	expected map[indexKey]map[string]expectation
	// changed is closed and replaced at each change.
	changed chan struct{}
	// fleet is the list for which index was built; index maps service and model to the workers that hold it.
	fleet *registrar.Fleet
	index map[indexKey][]indexed
	stale bool
}

type indexKey struct{ service, model string }

// expectation is when a zone's leader expects a model to be ready.
type expectation struct{ readyAt, heardAt time.Time }

// expectationTime is how long an expectation counts; leaders repeat it while requests wait.
const expectationTime = 1 * time.Second

type indexed struct {
	worker  *registrar.Worker
	unit    Unit
	running int
}

// New returns a view of a list of workers.
func New(list *registrar.Registrar) *Viewer {
	return &Viewer{
		list: list, announced: map[string]*Announcement{}, zones: map[string]zoneNews{}, absent: map[absence]time.Time{}, expected: map[indexKey]map[string]expectation{},
		changed: make(chan struct{}), index: map[indexKey][]indexed{},
	}
}

// Changed returns a channel that is closed at the next change.
func (v *Viewer) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Touch takes in that the list of workers has changed.
func (v *Viewer) Touch() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notify()
}

// notify wakes everyone who waits for a change; the caller holds mu.
func (v *Viewer) notify() {
	v.stale = true
	close(v.changed)
	v.changed = make(chan struct{})
}

// Announce takes in a leader's account of workers. Whole means that the zone
// has no others. It reports whether the leader's epoch is the newest known.
func (v *Viewer) Announce(now time.Time, zone string, epoch int64, announcements []Announcement, whole bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	news := v.zones[zone]
	if epoch < news.epoch {
		return false
	}
	v.zones[zone] = zoneNews{epoch: epoch, heardAt: now}
	if whole {
		for id, announcement := range v.announced {
			if announcement.Zone == zone {
				delete(v.announced, id)
			}
		}
	}
	for i := range announcements {
		v.announced[announcements[i].Worker] = &announcements[i]
	}
	if whole || len(announcements) > 0 {
		v.notify()
	}
	return true
}

// Silence takes in that the stream to a zone's leader ended.
func (v *Viewer) Silence(zone string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if news, known := v.zones[zone]; known {
		news.heardAt = time.Time{}
		v.zones[zone] = news
	}
	v.notify()
}

// Live reports whether a zone's leader was heard of lately.
func (v *Viewer) Live(now time.Time, zone string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.live(now, zone)
}

// live is Live for callers that hold mu.
func (v *Viewer) live(now time.Time, zone string) bool {
	news, known := v.zones[zone]
	return known && now.Sub(news.heardAt) < leaderSilence
}

// SetAbsent takes in that a worker refused a model, or an adapter of it.
func (v *Viewer) SetAbsent(now time.Time, worker, model, adapter string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.absent[absence{worker, model, adapter}] = now.Add(absenceTime)
}

// Announcement returns the last account of a worker, or nil.
func (v *Viewer) Announcement(worker string) *Announcement {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.announced[worker]
}

// Held returns the units of a worker as this node believes them.
func (v *Viewer) Held(now time.Time, w *registrar.Worker) []Unit {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.unitsOf(now, w)
}

// unitsOf returns the units of a worker; the caller holds mu.
func (v *Viewer) unitsOf(now time.Time, w *registrar.Worker) []Unit {
	announcement := v.announced[w.ID]
	if announcement != nil && v.believes(now, announcement, w) {
		return announcement.Units
	}
	units := make([]Unit, 0, len(w.Held))
	for model, adapters := range w.Held {
		units = append(units, Unit{Model: model, Adapters: adapters})
	}
	return units
}

// believes reports whether an announcement goes before the worker's own heartbeat.
func (v *Viewer) believes(now time.Time, announcement *Announcement, w *registrar.Worker) bool {
	if announcement.Born != w.Born {
		return announcement.Born > w.Born
	}
	return v.live(now, announcement.Zone) || w.SeenAt.Before(announcement.HeardAt.Add(heartbeatLag))
}

// Holders returns the workers of a service that have a model ready, or are
// loading it, in the order of their names. Leaving workers are left out.
func (v *Viewer) Holders(now time.Time, service, model, adapter string) []Holder {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh(now)
	var holders []Holder
	for _, entry := range v.index[indexKey{service, model}] {
		if v.isAbsent(now, entry.worker.ID, model, "") {
			continue
		}
		hasAdapter := adapter == "" || slices.Contains(entry.unit.Adapters, adapter) && !v.isAbsent(now, entry.worker.ID, model, adapter)
		holders = append(holders, Holder{
			Worker: entry.worker, ReadyAt: entry.unit.ReadyAt, HasAdapter: hasAdapter,
			AdapterComing: slices.Contains(entry.unit.Coming, adapter), Running: entry.running,
		})
	}
	return holders
}

// Expect takes in when a zone's leader expects a model to be ready that is not on its way.
func (v *Viewer) Expect(now time.Time, zone, service, model string, readyAt time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := indexKey{service, model}
	if v.expected[key] == nil {
		v.expected[key] = map[string]expectation{}
	}
	_, known := v.expected[key][zone]
	v.expected[key][zone] = expectation{readyAt: readyAt, heardAt: now}
	if !known {
		v.notify()
	}
}

// Expected returns when a model that is not on its way should be ready by the
// most hopeful leader, if any has said so lately.
func (v *Viewer) Expected(now time.Time, service, model string) (readyAt time.Time, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := indexKey{service, model}
	for zone, e := range v.expected[key] {
		if now.Sub(e.heardAt) > expectationTime {
			delete(v.expected[key], zone)
			continue
		}
		if !known || e.readyAt.Before(readyAt) {
			readyAt, known = e.readyAt, true
		}
	}
	if len(v.expected[key]) == 0 {
		delete(v.expected, key)
	}
	return readyAt, known
}

func (v *Viewer) isAbsent(now time.Time, worker, model, adapter string) bool {
	key := absence{worker, model, adapter}
	until, known := v.absent[key]
	if known && !now.Before(until) {
		delete(v.absent, key)
		return false
	}
	return known
}

// refresh builds the index anew if anything has changed; the caller holds mu.
func (v *Viewer) refresh(now time.Time) {
	fleet := v.list.Fleet()
	if !v.stale && fleet == v.fleet {
		return
	}
	v.fleet, v.stale = fleet, false
	v.index = make(map[indexKey][]indexed, len(v.index))
	for _, w := range fleet.All() {
		if w.Leaving {
			continue
		}
		running := 0
		if announcement := v.announced[w.ID]; announcement != nil {
			running = announcement.Running
		}
		for _, unit := range v.unitsOf(now, w) {
			key := indexKey{w.Service, unit.Model}
			v.index[key] = append(v.index[key], indexed{worker: w, unit: unit, running: running})
		}
	}
	for _, entries := range v.index {
		sort.Slice(entries, func(i, j int) bool { return entries[i].worker.ID < entries[j].worker.ID })
	}
}

// Zones returns the zones whose leaders were heard of lately.
func (v *Viewer) Zones(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return lo.Filter(lo.Keys(v.zones), func(zone string, _ int) bool { return v.live(now, zone) })
}
