package fleetleader

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/freshkeeper"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/pacer"
)

// viewBatchPause is the shortest pause between two views of a stream; it lets several changes share a view.
const viewBatchPause = 10 * time.Millisecond

// follower is the stream to a node that receives this leader's views. The Leader's mu guards it.
type follower struct {
	// node is the node's name; it is empty until the first message of the node.
	node string
	// sendAll is set if the next view must contain all workers.
	sendAll bool
	// unsure is set while the node cannot tell by itself whether the store was available lately.
	unsure bool
	// unanswered is set while the node cannot read the store itself.
	unanswered bool
	// changedWorkers are the IDs of the workers that the next view must contain.
	changedWorkers map[string]bool
	// wake holds a value if the next view should be sent immediately.
	wake chan struct{}
	// ended is closed when the leadership ends.
	ended chan struct{}
	// listVersion is the version of the store up to which the node knows all changes of the list of workers,
	// or unknownListVersion.
	listVersion int64
	// nextCrash, nextLimit, nextBrittle and nextDeparture are the numbers of the first crash, change of a limit, news of a brittle service and departure that
	// were not sent to the node.
	nextCrash, nextLimit, nextBrittle, nextDeparture int64
	// carriers are those that were last sent to the node; nil before.
	carriers []string
	// leaseVersions holds the version of each zone's lease that was last sent to the node.
	leaseVersions map[string]int64
	// stamps are those that the node has sent, stamped is set once there was one.
	stamps  freshkeeper.Stamps
	stamped bool
}

func (f *follower) close() { close(f.ended) }

func (f *follower) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// markChanged marks a worker as changed for all followers. The next
// notifyFollowers wakes the leaders of other zones and the followers whose
// requests wait for one of the models; the others get the change with their next
// regular view. The caller holds mu.
func (l *Leader) markChanged(worker string, models ...string) {
	for f := range l.followers {
		f.changedWorkers[worker] = true
	}
	for _, model := range models {
		l.changedModels[model] = true
	}
	l.hasChanges = true
}

// markRunningChanged marks a worker's running requests as changed, which wakes no follower. The caller holds mu.
func (l *Leader) markRunningChanged(worker string) {
	for f := range l.followers {
		f.changedWorkers[worker] = true
	}
}

// notifyFollowers wakes the followers that need the changes since the last call immediately; the caller holds mu.
func (l *Leader) notifyFollowers() {
	for f := range l.followers {
		node := l.demand.nodes[f.node]
		if f.sendAll || l.hasChanges && node != nil && (node.leads || node.waitsFor(l.changedModels)) {
			f.notify()
		}
	}
	l.hasChanges = false
	clear(l.changedModels)
}

// ReceiveDemand applies a node's demand message; it is ignored while this node does not lead.
func (l *Leader) ReceiveDemand(message *nodewire.Demand) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 {
		return
	}
	if l.demand.apply(now, message) {
		l.Wake()
	}
}

// NotifyCrash sends new crashes to all followers immediately.
func (l *Leader) NotifyCrash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.followers {
		f.notify()
	}
}

// Subscription is one node's stream of a leader's views.
type Subscription struct {
	leader   *Leader
	follower *follower
}

// Subscribe opens a subscription, or returns nil if this node does not lead its zone.
func (l *Leader) Subscribe() *Subscription {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 {
		return nil
	}
	f := &follower{sendAll: true, changedWorkers: map[string]bool{}, wake: make(chan struct{}, 1), ended: make(chan struct{}), listVersion: unknownListVersion, leaseVersions: map[string]int64{}}
	l.followers[f] = true
	f.notify()
	return &Subscription{leader: l, follower: f}
}

// ReceiveDemand applies a demand message of the subscribed node.
func (s *Subscription) ReceiveDemand(message *nodewire.Demand) {
	s.leader.mu.Lock()
	s.follower.node = message.GetNode()
	s.follower.listVersion = max(s.follower.listVersion, message.GetListVersion())
	if message.GetUnsure() && !s.follower.unsure {
		s.follower.notify()
	}
	s.follower.receiveStamp(message.GetStamp(), s.leader.dependencies.ConfigReads)
	s.follower.unsure, s.follower.unanswered = message.GetUnsure(), message.GetUnanswered()
	s.leader.mu.Unlock()
	s.leader.ReceiveDemand(message)
}

// Next waits for the next view and returns it. It returns nil once done is closed or the leadership has ended.
func (s *Subscription) Next(done <-chan struct{}) *nodewire.View {
	leader := s.leader
	select {
	case <-done:
		return nil
	case <-s.follower.ended:
		return nil
	case <-s.follower.wake:
		time.Sleep(viewBatchPause)
	case <-time.After(leader.viewInterval()):
	}
	return leader.buildView(s.follower)
}

// viewInterval returns the pause between two views to a follower that no change wakes.
func (l *Leader) viewInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return pacer.Pause(len(l.demand.nodes))
}

// Close removes the subscription from the leader. It does not interrupt Next.
func (s *Subscription) Close() {
	s.leader.mu.Lock()
	defer s.leader.mu.Unlock()
	delete(s.leader.followers, s.follower)
}

// buildView builds the view of all that changed since the follower's last view.
func (l *Leader) buildView(f *follower) *nodewire.View {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-f.wake: // This view contains the changes for which it was set.
	default:
	}
	message := &nodewire.View{
		Zone: l.dependencies.Zone, Epoch: l.epoch, Config: l.configVersion(), Whole: f.sendAll, Nodes: int32(len(l.demand.nodes)),
		Carriers: l.unsentCarriers(f), Leases: l.unsentLeases(f), Relay: l.buildForwardedReads(now, f), Waits: l.waitViews(f),
	}
	if f.stamped {
		message.Fresh = f.nextProof(l.dependencies.ConfigReads)
	}
	if f.unsure {
		message.Availability = l.availability()
	}
	if f.sendAll {
		for id := range l.workers {
			f.changedWorkers[id] = true
		}
	}
	message.Suspicions, f.nextCrash = l.dependencies.CrashesSince(f.nextCrash)
	message.Limits, f.nextLimit = l.dependencies.LimitsSince(f.nextLimit)
	message.Brittle, f.nextBrittle = l.dependencies.BrittleSince(f.nextBrittle)
	message.Departures, f.nextDeparture = l.dependencies.DeparturesSince(f.nextDeparture)
	for id := range f.changedWorkers {
		if state, found := l.workers[id]; found {
			message.Workers = append(message.Workers, state.view(now, l.quietUntil, id))
		}
	}
	sort.Slice(message.Workers, func(i, j int) bool { return message.Workers[i].Worker < message.Workers[j].Worker })
	f.sendAll, f.changedWorkers = false, map[string]bool{}
	return message
}

// waitViews returns when the models for which a follower's requests wait should be loaded; the caller holds mu.
func (l *Leader) waitViews(f *follower) []*nodewire.WaitView {
	node := l.demand.nodes[f.node]
	if node == nil {
		return nil
	}
	var views []*nodewire.WaitView
	for key := range node.waiting {
		if endsMS, expected := l.expectedReadyMS[key.service][key.model]; expected {
			views = append(views, &nodewire.WaitView{Service: key.service, Model: key.model, EndsMs: int64(endsMS)})
		}
	}
	return views
}

// availability returns when the store was available, as this node knows it.
func (l *Leader) availability() *nodewire.Availability {
	sinceFirst, sinceLast := l.dependencies.Availability()
	return &nodewire.Availability{FirstMs: sinceFirst.Milliseconds(), LastMs: sinceLast.Milliseconds()}
}

// unsentLeases returns the leases that changed since they were sent to a follower of this zone, or to an unsure one, which may not know that its zone has
// another leader; it marks them as sent. The caller holds mu.
func (l *Leader) unsentLeases(f *follower) []*nodewire.LeaseView {
	if node := l.demand.nodes[f.node]; node == nil || node.zone != l.dependencies.Zone && !f.unsure {
		return nil
	}
	unsent := lo.Filter(l.dependencies.Lease.Leases(), func(lease *nodewire.LeaseView, _ int) bool {
		return f.leaseVersions[lease.GetZone()] != lease.GetVersion()
	})
	for _, lease := range unsent {
		f.leaseVersions[lease.GetZone()] = lease.GetVersion()
	}
	return unsent
}

// maxCarriers is the number of nodes that a leader names to each node as those that may serve its requests.
const maxCarriers = 4

// carriersLifetime is the time between two searches for nodes that reach workers.
const carriersLifetime = 200 * time.Millisecond

// unsentCarriers returns nodes that reach workers if they changed since they were sent to a follower, and marks them as sent; each follower gets others, so
// that the requests of many cut nodes are spread. The caller holds mu.
func (l *Leader) unsentCarriers(f *follower) *nodewire.Carriers {
	if now := time.Now(); !now.Before(l.carriersUntil) {
		l.carriers = lo.Filter(lo.Keys(l.demand.nodes), func(name string, _ int) bool { return !l.demand.nodes[name].cut })
		slices.Sort(l.carriers)
		l.carriersUntil = now.Add(carriersLifetime)
	}
	var addresses []string
	first := xxhash.Sum64String(f.node)
	for i := range l.carriers {
		name := l.carriers[(first+uint64(i))%uint64(len(l.carriers))]
		if node := l.demand.nodes[name]; node != nil && name != f.node && len(addresses) < maxCarriers {
			addresses = append(addresses, node.address)
		}
	}
	if f.node == "" || f.carriers != nil && slices.Equal(f.carriers, addresses) {
		return nil
	}
	f.carriers = append([]string{}, addresses...)
	return &nodewire.Carriers{Addresses: addresses}
}

func (l *Leader) configVersion() int64 {
	if catalog := l.dependencies.Catalog(); catalog != nil {
		return catalog.Version()
	}
	return 0
}

// view describes the worker for the followers, as busy at least until quietUntil.
func (s *workerState) view(now, quietUntil time.Time, id string) *nodewire.WorkerView {
	message := &nodewire.WorkerView{Worker: id, Born: s.incarnation, Orders: s.orderCount, Running: int32(s.totalRunning())}
	for _, model := range s.modelNames() {
		loaded := s.loadedModels[model]
		view := &nodewire.UnitView{Model: model, Running: int32(s.running[model])}
		for name := range loaded.adapters {
			view.Adapters = append(view.Adapters, name)
		}
		for name := range loaded.pendingAdapters {
			view.Coming = append(view.Coming, name)
		}
		message.Units = append(message.Units, view)
	}
	if s.loadingModel != "" {
		left := max(s.readyAt.Sub(now).Milliseconds(), 1)
		message.BusyMs = left
		message.Units = append(message.Units, &nodewire.UnitView{Model: s.loadingModel, ReadyMs: left})
	}
	message.BusyMs = max(message.BusyMs, quietUntil.Sub(now).Milliseconds())
	return message
}

// ZoneNodes returns the other nodes of the zone that send demand to this leader, in descending order of cores, then by name.
func (l *Leader) ZoneNodes() []elector.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	var members []elector.Member
	for name, node := range l.demand.nodes {
		if node.zone == l.dependencies.Zone && name != l.dependencies.Node {
			members = append(members, elector.Member{Node: name, Incarnation: node.incarnation, Address: node.address, Recalls: node.recalls})
		}
	}
	sort.Slice(members, func(i, j int) bool {
		first, second := l.demand.nodes[members[i].Node].cores, l.demand.nodes[members[j].Node].cores
		return first > second || first == second && members[i].Node < members[j].Node
	})
	return members
}

// Successor returns the address of the node that should take over the lease:
// of the other nodes of this zone with the most cores, the one that started last,
// as it will not be the next to be stopped.
func (l *Leader) Successor() (address string, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *nodeDemand
	for name, node := range l.demand.nodes {
		if node.zone != l.dependencies.Zone || name == l.dependencies.Node {
			continue
		}
		if best == nil || node.cores > best.cores || node.cores == best.cores && node.startedAt.After(best.startedAt) {
			best = node
		}
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}
