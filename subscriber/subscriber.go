// Package subscriber keeps a stream from a node to the leader of every zone: it
// sends the demand of the node's callers and applies the views that the leaders send.
//
// Every view updates the node's tracker. Only the leader of the local zone also
// sends changes of the list of workers, and leases unless this node is unsure.
package subscriber

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/demandcounter"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/pacer"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

// Timing of the streams.
const (
	// keepaliveInterval is the longest time between two messages to a leader.
	keepaliveInterval = 400 * time.Millisecond
	// leaderTimeout is the time without a message from the leader after which the stream is closed and another is opened.
	leaderTimeout = 1200 * time.Millisecond // Three intervals between the leader's messages.
	// reconnectPause is the time between two attempts to find a zone's leader and open a stream to it.
	reconnectPause = 100 * time.Millisecond
	// zonePollInterval is the time between two checks for new zones.
	zonePollInterval = 500 * time.Millisecond
)

// Dependencies are what a subscriber needs from the rest of the node.
type Dependencies struct {
	// Self is this node, Zone its zone.
	Self elector.Member
	Zone string
	// Zones returns the zones whose leaders are to be followed.
	Zones func() []string
	// Holder returns the holder of a zone's lease, the lease's epoch, and whether they are known.
	Holder func(zone string) (elector.Member, int64, bool)
	// Client returns the client for a node's address, Drop closes the connection to it.
	Client func(address string) (nodewire.FleetClient, error)
	Drop   func(address string)
	// DemandCounter holds the demand of the node's callers, Tracker the models that workers have loaded.
	DemandCounter *demandcounter.Counter
	Tracker       *fleettracker.Tracker
	// OnLease is called with each zone's lease as a leader knows it.
	OnLease func(lease *nodewire.LeaseView)
	// IsUnsure reports whether this node cannot tell by itself whether the store was available lately. OnAvailability is called with the times since the first
	// and the last answer of the store that the leader of a zone knows of.
	IsUnsure func() bool
	// IsUnanswered reports whether the store has answered neither this node nor the leader that forwards its reads lately.
	IsUnanswered   func() bool
	OnAvailability func(zone string, sinceFirst, sinceLast time.Duration)
	// OnForwardedReads is called with what the leader of the local zone read from the store, OnForwardedReadsEnd when the
	// stream to that leader has ended.
	OnForwardedReads    func(now time.Time, reads watcher.ForwardedReads)
	OnForwardedReadsEnd func()
	// ListVersion returns the version up to which this node knows all changes of the list of workers; -1 before the first list.
	ListVersion func() int64
	// Leads reports whether this node leads its zone.
	Leads func() bool
	// Cores is how many cores this node may use; it may be a fraction.
	Cores float64
	// Config returns the version of the configuration in force, OnConfigVersion is called with the version that a leader has.
	Config          func() int64
	OnConfigVersion func(version int64)
	// OwnStreams returns the origins of the streams that this node relayed and that the leader of a zone keeps, with numbers from first on, and the number
	// from which to continue.
	OwnStreams func(zone string, first int64) (streams []*nodewire.StreamOrigins, next int64)
	// OwnCrashes returns the crashes of workers that this node found with numbers from first on, and the number from which to continue. OnCrash is
	// called with each crash that the leader of a zone knows.
	OwnCrashes func(first int64) (crashes []*nodewire.Suspicion, next int64)
	OnCrash    func(crash *nodewire.Suspicion, zone string)
	// OwnLimits and OnLimit are the same for changes of workers' limits.
	OwnLimits func(first int64) (limits []*nodewire.WorkerLimit, next int64)
	OnLimit   func(limit *nodewire.WorkerLimit, zone string)
	// CutOff reports whether this node reaches no worker, OnCarriers is called with the addresses of nodes that do, as the leader of a zone knows them.
	CutOff     func() bool
	OnCarriers func(zone string, addresses []string)
	// OwnBrittle and OnBrittle are the same for services whose workers are brittle.
	OwnBrittle func(first int64) (services []*nodewire.BrittleService, next int64)
	OnBrittle  func(service *nodewire.BrittleService)
	// OwnDepartures and OnDeparture are the same for workers that leave by their own word.
	OwnDepartures func(first int64) (departures []*nodewire.Departure, next int64)
	OnDeparture   func(departure *nodewire.Departure, zone string)
	// Stamp returns this node's boot time in milliseconds, or 0 if it needs no proofs that its configuration is the newest. OnFresh is called with
	// those of the leaders.
	Stamp   func() int64
	OnFresh func(proof *nodewire.Freshness)
}

// Subscriber keeps the streams of one node. It is safe for concurrent use.
type Subscriber struct {
	dependencies Dependencies
	started      time.Time
	context      context.Context
	cancel       context.CancelFunc
	// nodes is the number of nodes according to the last view of a leader.
	nodes atomic.Int64
	// mu guards followed.
	mu sync.Mutex
	// followed marks the zones that have a goroutine running followZone.
	followed map[string]bool
}

// New returns a subscriber that opens no streams before Run.
func New(dependencies Dependencies) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	return &Subscriber{dependencies: dependencies, started: time.Now(), context: ctx, cancel: cancel, followed: map[string]bool{}}
}

// Run starts following the leaders of all zones, and returns immediately.
func (s *Subscriber) Run() { go s.watchZones() }

// Stop ends all streams without waiting for them.
func (s *Subscriber) Stop() { s.cancel() }

// Nodes returns the number of nodes according to the last view of a leader, or 0 before the first view.
func (s *Subscriber) Nodes() int { return int(s.nodes.Load()) }

// sleep waits for a pause. It returns false immediately when the subscriber is stopped.
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
		for _, zone := range s.dependencies.Zones() {
			if !s.followed[zone] {
				s.followed[zone] = true
				go s.followZone(zone)
			}
		}
		s.mu.Unlock()
		if !s.sleep(zonePollInterval) {
			return
		}
	}
}

// followZone opens a stream to a zone's leader, and another one after each that ends, until the subscriber is stopped.
func (s *Subscriber) followZone(zone string) {
	for {
		if holder, epoch, known := s.dependencies.Holder(zone); known {
			s.runStream(zone, holder, epoch)
		}
		if !s.sleep(reconnectPause) {
			return
		}
	}
}

// runStream opens a stream to a leader and applies its views until the stream breaks, the leader sends nothing for
// leaderTimeout, or another member holds the lease.
func (s *Subscriber) runStream(zone string, holder elector.Member, epoch int64) {
	client, err := s.dependencies.Client(holder.Address)
	if err != nil {
		log.Warn().Str("zone", zone).Str("node", holder.Node).Err(err).Msg("cannot connect to the leader of the zone")
		return
	}
	ctx, cancel := context.WithCancel(s.context)
	defer cancel()
	stream, err := client.Follow(ctx)
	if err != nil {
		return // The caller opens another stream after a pause; a lost leader is logged once.
	}
	go s.sendDemand(ctx, zone, stream)
	views := make(chan *nodewire.View)
	go receiveViews(ctx, stream, views)
	received := false
	for {
		select {
		case view, open := <-views:
			if !open {
				s.endView(zone, holder, received, "stream ended")
				return
			}
			if !received {
				log.Info().Str("zone", zone).Str("node", holder.Node).Int64("epoch", view.GetEpoch()).Msg("leader heard")
			}
			received = true
			s.applyView(view)
		case <-time.After(leaderTimeout):
			s.dependencies.Drop(holder.Address)
			s.endView(zone, holder, received, "silent")
			return
		case <-ctx.Done():
			return
		}
		if next, nextEpoch, known := s.dependencies.Holder(zone); known && nextEpoch > epoch && next != holder {
			return
		}
	}
}

// endView marks the views of a zone's leader as no longer current, and logs the loss if any view had been received.
func (s *Subscriber) endView(zone string, holder elector.Member, received bool, reason string) {
	s.dependencies.Tracker.MarkLeaderLost(zone)
	if zone == s.dependencies.Zone {
		s.dependencies.OnForwardedReadsEnd()
	}
	if received {
		log.Warn().Str("zone", zone).Str("node", holder.Node).Str("why", reason).Msg("leader lost")
	}
}

// receiveViews sends the views of a stream to a channel and closes it when the stream ends.
func receiveViews(ctx context.Context, stream nodewire.Fleet_FollowClient, views chan<- *nodewire.View) {
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

// applyView applies a leader's view.
func (s *Subscriber) applyView(view *nodewire.View) {
	now := time.Now()
	announcements := make([]fleettracker.Announcement, 0, len(view.GetWorkers()))
	for _, worker := range view.GetWorkers() {
		announcements = append(announcements, newAnnouncement(now, view.GetZone(), worker))
	}
	s.dependencies.Tracker.ApplyAnnouncements(now, view.GetZone(), view.GetEpoch(), announcements, view.GetWhole())
	for _, wait := range view.GetWaits() {
		s.dependencies.Tracker.SetEstimate(now, view.GetZone(), wait.GetService(), wait.GetModel(), now.Add(time.Duration(wait.GetEndsMs())*time.Millisecond))
	}
	s.dependencies.OnConfigVersion(view.GetConfig())
	if proof := view.GetFresh(); proof != nil {
		s.dependencies.OnFresh(proof)
	}
	for _, lease := range view.GetLeases() {
		s.dependencies.OnLease(lease)
	}
	if known := view.GetAvailability(); known != nil {
		s.dependencies.OnAvailability(view.GetZone(), time.Duration(known.GetFirstMs())*time.Millisecond, time.Duration(known.GetLastMs())*time.Millisecond)
	}
	if view.GetZone() == s.dependencies.Zone {
		s.applyForwardedReads(now, view)
	}
	s.nodes.Store(int64(view.GetNodes()))
	if carriers := view.GetCarriers(); carriers != nil {
		s.dependencies.OnCarriers(view.GetZone(), carriers.GetAddresses())
	}
	for _, crash := range view.GetSuspicions() {
		s.dependencies.OnCrash(crash, view.GetZone())
	}
	for _, limit := range view.GetLimits() {
		s.dependencies.OnLimit(limit, view.GetZone())
	}
	for _, service := range view.GetBrittle() {
		s.dependencies.OnBrittle(service)
	}
	for _, departure := range view.GetDepartures() {
		s.dependencies.OnDeparture(departure, view.GetZone())
	}
}

// applyForwardedReads applies the changes of the list of workers that the leader of the local zone forwards.
func (s *Subscriber) applyForwardedReads(now time.Time, view *nodewire.View) {
	forwarded := view.GetRelay()
	if forwarded == nil {
		return
	}
	eraBegan := time.Time{}
	if forwarded.GetEraMs() > 0 {
		eraBegan = now.Add(-time.Duration(forwarded.GetEraMs()) * time.Millisecond)
	}
	s.dependencies.OnForwardedReads(now, watcher.ForwardedReads{
		EraBegan: eraBegan,
		Version:  forwarded.GetVersion(), ReadAt: now.Add(-time.Duration(forwarded.GetAgeMs()) * time.Millisecond), Whole: forwarded.GetWhole(),
		Changes: lo.Map(forwarded.GetChanges(), func(heartbeat *nodewire.Heartbeat, _ int) registrar.Change {
			return newChange(now, heartbeat)
		}),
	})
}

// sendDemand sends the changes of the node's demand, and keepalives, until the stream ends.
func (s *Subscriber) sendDemand(ctx context.Context, zone string, stream nodewire.Fleet_FollowClient) {
	sent := newSentState(zone)
	var sentAt time.Time
	for {
		changed := s.dependencies.DemandCounter.Changed()
		message := s.nextMessage(sent)
		if message != nil || time.Since(sentAt) >= keepaliveInterval {
			if message == nil {
				message = s.emptyMessage()
			}
			if err := stream.Send(message); err != nil {
				return // The receiving goroutine notices the end of the stream.
			}
			sentAt = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			time.Sleep(pacer.MinPause)
		case <-time.After(pacer.Pause(s.Nodes())):
		}
	}
}

// sentState is the demand that a leader knows from the messages of one stream.
type sentState struct {
	demands map[demandcounter.Key]demandcounter.Demand
	runs    map[demandcounter.RunKey]int
	// whole is set until the first message is built, which contains the whole demand. Unsure and unanswered are those of the last message.
	whole, unsure, unanswered bool
	// nextCrash, nextLimit, nextBrittle and nextDeparture are the numbers of the first crash, change of a limit, news of a brittle service and departure that
	// were not sent.
	nextCrash, nextLimit, nextBrittle, nextDeparture int64
	// zone is the leader's, nextStream the number of the first stream whose origin was not sent.
	zone       string
	nextStream int64
}

func newSentState(zone string) *sentState {
	return &sentState{zone: zone, demands: map[demandcounter.Key]demandcounter.Demand{}, runs: map[demandcounter.RunKey]int{}, whole: true}
}

// emptyMessage returns a message without entries, which serves as a keepalive.
func (s *Subscriber) emptyMessage() *nodewire.Demand {
	return &nodewire.Demand{
		Node: s.dependencies.Self.Node, Zone: s.dependencies.Zone, Address: s.dependencies.Self.Address, Incarnation: s.dependencies.Self.Incarnation, Config: s.dependencies.Config(), AgeMs: time.Since(s.started).Milliseconds(),
		Leads: s.dependencies.Leads(), Strength: s.dependencies.Cores, Cut: s.dependencies.CutOff(), ListVersion: s.dependencies.ListVersion(), Unsure: s.dependencies.IsUnsure(),
		Unanswered: s.dependencies.IsUnanswered(), Stamp: s.dependencies.Stamp(), Recalls: s.dependencies.Self.Recalls,
	}
}

// nextMessage returns the changes since the last message, or nil when there are none.
func (s *Subscriber) nextMessage(sent *sentState) *nodewire.Demand {
	demands, runs := s.dependencies.DemandCounter.Snapshot()
	message := s.emptyMessage()
	message.Whole = sent.whole
	now := time.Now()
	for key, demand := range demands {
		if sent.demands[key] == demand {
			continue
		}
		sent.demands[key] = demand
		entry := &nodewire.ModelDemand{Service: key.Service, Model: key.Model, Adapter: key.Adapter, Waiting: int32(demand.Waiting), Asked: demand.Requests, Refused: demand.Refused}
		if demand.Waiting > 0 {
			entry.DueMs, entry.WaitedMs = demand.EarliestDue.Sub(now).Milliseconds(), now.Sub(demand.EarliestStart).Milliseconds()
		}
		message.Models = append(message.Models, entry)
	}
	for key := range sent.demands {
		if _, found := demands[key]; !found { // An entry of zeros makes the leader forget the key.
			message.Models = append(message.Models, &nodewire.ModelDemand{Service: key.Service, Model: key.Model, Adapter: key.Adapter})
			delete(sent.demands, key)
		}
	}
	for key, running := range runs {
		if sent.runs[key] != running {
			message.Runs = append(message.Runs, &nodewire.Run{Worker: key.Worker, Model: key.Model, Running: int32(running)})
			sent.runs[key] = running
		}
	}
	for key := range sent.runs {
		if _, runs := runs[key]; !runs {
			message.Runs = append(message.Runs, &nodewire.Run{Worker: key.Worker, Model: key.Model})
			delete(sent.runs, key)
		}
	}
	message.Suspicions, sent.nextCrash = s.dependencies.OwnCrashes(sent.nextCrash)
	message.Limits, sent.nextLimit = s.dependencies.OwnLimits(sent.nextLimit)
	message.Brittle, sent.nextBrittle = s.dependencies.OwnBrittle(sent.nextBrittle)
	message.Departures, sent.nextDeparture = s.dependencies.OwnDepartures(sent.nextDeparture)
	message.Streams, sent.nextStream = s.dependencies.OwnStreams(sent.zone, sent.nextStream)
	changed := sent.whole || sent.unsure != message.Unsure || sent.unanswered != message.Unanswered
	if !changed && len(message.Streams)+len(message.Models)+len(message.Runs)+len(message.Suspicions)+len(message.Limits)+len(message.Brittle)+len(message.Departures) == 0 {
		return nil
	}
	sent.whole, sent.unsure, sent.unanswered = false, message.Unsure, message.Unanswered
	return message
}
