// Package subscriber keeps a node in touch with the leaders of all zones: it
// sends them the demand of the node's callers and takes in what they announce.
package subscriber

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/pacer"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/tallier"
	"github.com/acaciaproxy/acaciaproxy/viewer"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

// Times of the streams.
const (
	// beatInterval is the longest pause between two messages.
	beatInterval = 400 * time.Millisecond
	// silence is how long a leader may be silent before the stream is opened anew.
	silence = 1200 * time.Millisecond // Three of the leader's intervals.
	// seekPause is the pause between two looks for a zone's leader.
	seekPause = 100 * time.Millisecond
	// zonesPause is the pause between two looks for new zones.
	zonesPause = 500 * time.Millisecond
)

// Parts are what a subscriber needs from the rest of the node.
type Parts struct {
	Self elector.Member
	Zone string
	// Zones returns the zones that have leaders.
	Zones func() []string
	// Holder returns a zone's leader by its lease.
	Holder func(zone string) (elector.Member, int64, bool)
	// Client returns the client of a node, Drop forgets its connection.
	Client func(address string) (nodewire.FleetClient, error)
	Drop   func(address string)
	Tally  *tallier.Tallier
	View   *viewer.Viewer
	// Lease takes in a zone's lease as the own zone's leader knows it.
	Lease func(lease *nodewire.LeaseView)
	// Relay takes in what the own zone's leader read from the store, EndRelay that it was lost.
	Relay    func(now time.Time, news watcher.Relay)
	EndRelay func()
	// ListVersion returns the version up to which this node knows all changes of the list of workers.
	ListVersion func() int64
	// Leads reports whether this node leads its zone.
	Leads func() bool
	// Strength is the share of a core that this node has.
	Strength float64
	// Config returns the version of the configuration in force, Hear takes in that a leader has another.
	Config func() int64
	Hear   func(version int64)
	// Suspicions returns the suspicions that are new here, Suspect takes in those of others.
	Suspicions func() []forwarder.Suspicion
	Suspect    func(forwarder.Suspicion)
}

// Subscriber is safe for use by several goroutines.
type Subscriber struct {
	parts   Parts
	started time.Time
	context context.Context
	cancel  context.CancelFunc
	// nodes is how many nodes the leaders hear of.
	nodes atomic.Int64
	// mu guards zones.
	mu sync.Mutex
	// zones are those that a goroutine keeps in touch with.
	zones map[string]bool
}

// New returns a subscriber that does not run yet.
func New(parts Parts) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	return &Subscriber{parts: parts, started: time.Now(), context: ctx, cancel: cancel, zones: map[string]bool{}}
}

// Run starts to keep in touch with all zones.
func (s *Subscriber) Run() { go s.watchZones() }

// Stop ends all streams.
func (s *Subscriber) Stop() { s.cancel() }

// Nodes returns how many nodes the leaders hear of, or 0 when not known.
func (s *Subscriber) Nodes() int { return int(s.nodes.Load()) }

func (s *Subscriber) sleep(pause time.Duration) bool {
	select {
	case <-s.context.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// watchZones starts a goroutine for each new zone.
func (s *Subscriber) watchZones() {
	for {
		s.mu.Lock()
		for _, zone := range s.parts.Zones() {
			if !s.zones[zone] {
				s.zones[zone] = true
				go s.keep(zone)
			}
		}
		s.mu.Unlock()
		if !s.sleep(zonesPause) {
			return
		}
	}
}

// keep keeps a stream to a zone's leader.
func (s *Subscriber) keep(zone string) {
	for {
		if holder, epoch, known := s.parts.Holder(zone); known {
			s.follow(zone, holder, epoch)
		}
		if !s.sleep(seekPause) {
			return
		}
	}
}

// follow keeps one stream until it breaks or the leader is silent.
func (s *Subscriber) follow(zone string, holder elector.Member, epoch int64) {
	client, err := s.parts.Client(holder.Address)
	if err != nil {
		log.Warn().Str("zone", zone).Str("node", holder.Node).Err(err).Msg("leader not reached")
		return
	}
	ctx, cancel := context.WithCancel(s.context)
	defer cancel()
	stream, err := client.Follow(ctx)
	if err != nil {
		return // Tried again after the pause; the leader's silence is logged once.
	}
	go s.sendDemand(ctx, stream)
	views := make(chan *nodewire.View)
	go receive(ctx, stream, views)
	heard := false
	for {
		select {
		case view, open := <-views:
			if !open {
				s.lost(zone, holder, heard, "stream ended")
				return
			}
			if !heard {
				log.Info().Str("zone", zone).Str("node", holder.Node).Int64("epoch", view.GetEpoch()).Msg("leader heard")
			}
			heard = true
			s.take(view)
		case <-time.After(silence):
			s.parts.Drop(holder.Address)
			s.lost(zone, holder, heard, "silent")
			return
		case <-ctx.Done():
			return
		}
		if next, nextEpoch, known := s.parts.Holder(zone); known && nextEpoch > epoch && next != holder {
			return
		}
	}
}

func (s *Subscriber) lost(zone string, holder elector.Member, heard bool, why string) {
	s.parts.View.Silence(zone)
	if zone == s.parts.Zone {
		s.parts.EndRelay()
	}
	if heard {
		log.Warn().Str("zone", zone).Str("node", holder.Node).Str("why", why).Msg("leader lost")
	}
}

// receive hands the views of a stream on and closes the channel at its end.
func receive(ctx context.Context, stream nodewire.Fleet_FollowClient, views chan<- *nodewire.View) {
	defer close(views)
	for {
		view, err := stream.Recv()
		if err != nil {
			return // The reader of the channel logs the loss.
		}
		select {
		case views <- view:
		case <-ctx.Done():
			return
		}
	}
}

// take takes in a leader's view.
func (s *Subscriber) take(view *nodewire.View) {
	now := time.Now()
	announcements := make([]viewer.Announcement, 0, len(view.GetWorkers()))
	for _, worker := range view.GetWorkers() {
		announcements = append(announcements, announcementOf(now, view.GetZone(), worker))
	}
	s.parts.View.Announce(now, view.GetZone(), view.GetEpoch(), announcements, view.GetWhole())
	for _, wait := range view.GetWaits() {
		s.parts.View.Expect(now, view.GetZone(), wait.GetService(), wait.GetModel(), now.Add(time.Duration(wait.GetEndsMs())*time.Millisecond))
	}
	s.parts.Hear(view.GetConfig())
	if view.GetZone() == s.parts.Zone {
		s.takeOwnZone(now, view)
	}
	s.nodes.Store(int64(view.GetNodes()))
	for _, suspicion := range view.GetSuspicions() {
		s.parts.Suspect(forwarder.Suspicion{Fingerprint: suspicion.GetFingerprint(), Worker: suspicion.GetWorker(), Born: suspicion.GetBorn()})
	}
}

// takeOwnZone takes in what only the own zone's leader tells.
func (s *Subscriber) takeOwnZone(now time.Time, view *nodewire.View) {
	for _, lease := range view.GetLeases() {
		s.parts.Lease(lease)
	}
	relay := view.GetRelay()
	if relay == nil {
		return
	}
	s.parts.Relay(now, watcher.Relay{
		Version: relay.GetVersion(), ReadAt: now.Add(-time.Duration(relay.GetAgeMs()) * time.Millisecond),
		Changes: lo.Map(relay.GetChanges(), func(heartbeat *nodewire.Heartbeat, _ int) registrar.Change {
			return changeOf(now, heartbeat)
		}),
	})
}

func changeOf(now time.Time, heartbeat *nodewire.Heartbeat) registrar.Change {
	held := map[string][]string{}
	for _, unit := range heartbeat.GetUnits() {
		held[unit.GetModel()] = unit.GetAdapters()
	}
	return registrar.Change{Removed: heartbeat.GetRemoved(), Worker: registrar.Worker{
		ID: heartbeat.GetWorker(), Service: heartbeat.GetService(), Zone: heartbeat.GetZone(), Address: heartbeat.GetAddress(), Slots: int(heartbeat.GetSlots()),
		Leaving: heartbeat.GetLeaving(), Born: heartbeat.GetBorn(), Held: held, RowVersion: heartbeat.GetRowVersion(), SeenAt: now,
	}}
}

func announcementOf(now time.Time, zone string, worker *nodewire.WorkerView) viewer.Announcement {
	announcement := viewer.Announcement{
		Worker: worker.GetWorker(), Zone: zone, Born: worker.GetBorn(), Running: int(worker.GetRunning()), HeardAt: now,
	}
	if worker.GetBusyMs() > 0 {
		announcement.BusyUntil = now.Add(time.Duration(worker.GetBusyMs()) * time.Millisecond)
	}
	for _, unit := range worker.GetUnits() {
		taken := viewer.Unit{Model: unit.GetModel(), Adapters: unit.GetAdapters(), Coming: unit.GetComing(), Running: int(unit.GetRunning())}
		if unit.GetReadyMs() > 0 {
			taken.ReadyAt = now.Add(time.Duration(unit.GetReadyMs()) * time.Millisecond)
		}
		announcement.Units = append(announcement.Units, taken)
	}
	return announcement
}

// sendDemand sends what changed in the node's demand until the stream ends.
func (s *Subscriber) sendDemand(ctx context.Context, stream nodewire.Fleet_FollowClient) {
	told := newTold()
	var sentAt time.Time
	for {
		changed := s.parts.Tally.Changed()
		message := s.message(told)
		if message != nil || time.Since(sentAt) >= beatInterval {
			if message == nil {
				message = s.header()
			}
			if err := stream.Send(message); err != nil {
				return // The receiving side sees the stream's end.
			}
			sentAt = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			time.Sleep(pacer.Shortest)
		case <-time.After(pacer.Pause(s.Nodes())):
		}
	}
}

// told is what a leader was told on a stream.
type told struct {
	demands map[tallier.Key]tallier.Demand
	runs    map[tallier.RunKey]int
	// whole is set until the first message is built.
	whole bool
}

func newTold() *told {
	return &told{demands: map[tallier.Key]tallier.Demand{}, runs: map[tallier.RunKey]int{}, whole: true}
}

// header returns a message without entries.
func (s *Subscriber) header() *nodewire.Demand {
	return &nodewire.Demand{
		Node: s.parts.Self.Node, Zone: s.parts.Zone, Address: s.parts.Self.Address, Incarnation: s.parts.Self.Incarnation, Config: s.parts.Config(), AgeMs: time.Since(s.started).Milliseconds(),
		Leads: s.parts.Leads(), Strength: s.parts.Strength, ListVersion: s.parts.ListVersion(),
	}
}

// message returns what a leader was not told yet, or nil.
func (s *Subscriber) message(t *told) *nodewire.Demand {
	demands, runs := s.parts.Tally.Snapshot()
	message := s.header()
	message.Whole = t.whole
	now := time.Now()
	for key, demand := range demands {
		if t.demands[key] == demand {
			continue
		}
		t.demands[key] = demand
		entry := &nodewire.ModelDemand{Service: key.Service, Model: key.Model, Adapter: key.Adapter, Waiting: int32(demand.Waiting), Asked: demand.Asked, Refused: demand.Refused}
		if demand.Waiting > 0 {
			entry.DueMs, entry.WaitedMs = demand.Due.Sub(now).Milliseconds(), now.Sub(demand.Since).Milliseconds()
		}
		message.Models = append(message.Models, entry)
	}
	for key, running := range runs {
		if t.runs[key] != running {
			message.Runs = append(message.Runs, &nodewire.Run{Worker: key.Worker, Model: key.Model, Running: int32(running)})
			t.runs[key] = running
		}
	}
	for key := range t.runs {
		if _, runs := runs[key]; !runs {
			message.Runs = append(message.Runs, &nodewire.Run{Worker: key.Worker, Model: key.Model})
			delete(t.runs, key)
		}
	}
	for _, suspicion := range s.parts.Suspicions() {
		message.Suspicions = append(message.Suspicions, &nodewire.Suspicion{Fingerprint: suspicion.Fingerprint, Worker: suspicion.Worker, Born: suspicion.Born})
	}
	if !t.whole && len(message.Models)+len(message.Runs)+len(message.Suspicions) == 0 {
		return nil
	}
	t.whole = false
	return message
}
