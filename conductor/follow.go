package conductor

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/pacer"
)

// viewBatchPause is the shortest pause between two views of a stream; it lets several changes share a view.
const viewBatchPause = 10 * time.Millisecond

// suspicion is a request that was running at a worker that crashed.
type suspicion struct {
	message *nodewire.Suspicion
	// expiresAt is when the suspicion is dropped.
	expiresAt time.Time
}

// suspicionLifetime is how long a suspicion is sent to followers.
const suspicionLifetime = 2 * time.Minute

// follower is the stream of a node that receives this leader's views. The Conductor's mu guards it.
type follower struct {
	// node is the node's name; it is empty until the first message of the node.
	node string
	// sendAll is set if the next view must contain all workers and suspicions.
	sendAll bool
	// changedWorkers are the IDs of the workers that the next view must contain.
	changedWorkers map[string]bool
	// wake holds a value if the next view should be sent at once.
	wake chan struct{}
	// ended is closed when the leadership ends.
	ended chan struct{}
	// listVersion is the version of the store up to which the node knows all changes of the list of workers,
	// or unknownListVersion.
	listVersion int64
	// leaseVersions holds the version of each zone's lease that was last sent to the node.
	leaseVersions map[string]int64
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
func (c *Conductor) markChanged(worker string, models ...string) {
	for f := range c.followers {
		f.changedWorkers[worker] = true
	}
	for _, model := range models {
		c.changedModels[model] = true
	}
	c.hasChanges = true
}

// markLoadChanged marks a worker's running requests as changed, which wakes no follower. The caller holds mu.
func (c *Conductor) markLoadChanged(worker string) {
	for f := range c.followers {
		f.changedWorkers[worker] = true
	}
}

// notifyFollowers wakes the followers that need the changes since the last call at once; the caller holds mu.
func (c *Conductor) notifyFollowers() {
	for f := range c.followers {
		node := c.demand.nodes[f.node]
		if f.sendAll || c.hasChanges && node != nil && (node.leads || node.waitsFor(c.changedModels)) {
			f.notify()
		}
	}
	c.hasChanges = false
	clear(c.changedModels)
}

// ReceiveDemand adds a node's demand message; it is ignored while this node does not lead.
func (c *Conductor) ReceiveDemand(message *nodewire.Demand) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == 0 {
		return
	}
	for _, s := range message.GetSuspicions() {
		c.suspicions[s.GetFingerprint()+" "+s.GetWorker()] = suspicion{message: s, expiresAt: now.Add(suspicionLifetime)}
		for f := range c.followers {
			f.sendAll = true
		}
	}
	if c.demand.apply(now, message) {
		c.Wake()
	}
}

// Subscription is one node's stream of a leader's views.
type Subscription struct {
	conductor *Conductor
	follower  *follower
}

// Subscribe opens a subscription, or returns nil if this node does not lead its zone.
func (c *Conductor) Subscribe() *Subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == 0 {
		return nil
	}
	f := &follower{sendAll: true, changedWorkers: map[string]bool{}, wake: make(chan struct{}, 1), ended: make(chan struct{}), listVersion: unknownListVersion, leaseVersions: map[string]int64{}}
	c.followers[f] = true
	f.notify()
	return &Subscription{conductor: c, follower: f}
}

// ReceiveDemand adds a demand message of the subscribed node.
func (s *Subscription) ReceiveDemand(message *nodewire.Demand) {
	s.conductor.mu.Lock()
	s.follower.node = message.GetNode()
	s.follower.listVersion = max(s.follower.listVersion, message.GetListVersion())
	s.conductor.mu.Unlock()
	s.conductor.ReceiveDemand(message)
}

// Next waits for the next view and returns it. It returns nil once done is closed or the leadership has ended.
func (s *Subscription) Next(done <-chan struct{}) *nodewire.View {
	c := s.conductor
	select {
	case <-done:
		return nil
	case <-s.follower.ended:
		return nil
	case <-s.follower.wake:
		time.Sleep(viewBatchPause)
	case <-time.After(c.viewInterval()):
	}
	return c.buildView(s.follower)
}

// viewInterval returns the pause between two views to a follower that no change wakes.
func (c *Conductor) viewInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return pacer.Pause(len(c.demand.nodes))
}

// Close removes the subscription from the leader. It does not interrupt Next.
func (s *Subscription) Close() {
	s.conductor.mu.Lock()
	defer s.conductor.mu.Unlock()
	delete(s.conductor.followers, s.follower)
}

// buildView builds the view of all that changed since the follower's last view.
func (c *Conductor) buildView(f *follower) *nodewire.View {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-f.wake: // This view contains the change that it was set for.
	default:
	}
	message := &nodewire.View{
		Zone: c.dependencies.Zone, Epoch: c.epoch, Config: c.configVersion(), Whole: f.sendAll, Nodes: int32(len(c.demand.nodes)),
		Leases: c.unsentLeases(f), Relay: c.buildForwardedReads(now, f), Waits: c.waitViews(f),
	}
	if f.sendAll {
		for id := range c.workers {
			f.changedWorkers[id] = true
		}
		for key, s := range c.suspicions {
			if now.After(s.expiresAt) {
				delete(c.suspicions, key)
				continue
			}
			message.Suspicions = append(message.Suspicions, s.message)
		}
	}
	for id := range f.changedWorkers {
		if state, found := c.workers[id]; found {
			message.Workers = append(message.Workers, state.view(now, c.quietUntil, id))
		}
	}
	sort.Slice(message.Workers, func(i, j int) bool { return message.Workers[i].Worker < message.Workers[j].Worker })
	f.sendAll, f.changedWorkers = false, map[string]bool{}
	return message
}

// waitViews returns when the models for which a follower's requests wait should be ready; the caller holds mu.
func (c *Conductor) waitViews(f *follower) []*nodewire.WaitView {
	node := c.demand.nodes[f.node]
	if node == nil {
		return nil
	}
	var views []*nodewire.WaitView
	for key := range node.waiting {
		if endsMS, expected := c.expectedReadyMS[key.service][key.model]; expected {
			views = append(views, &nodewire.WaitView{Service: key.service, Model: key.model, EndsMs: int64(endsMS)})
		}
	}
	return views
}

// unsentLeases returns the leases that changed since they were sent to a follower of this zone, and marks them as sent;
// the caller holds mu.
func (c *Conductor) unsentLeases(f *follower) []*nodewire.LeaseView {
	if node := c.demand.nodes[f.node]; node == nil || node.zone != c.dependencies.Zone {
		return nil
	}
	unsent := lo.Filter(c.dependencies.Lease.Leases(), func(lease *nodewire.LeaseView, _ int) bool {
		return f.leaseVersions[lease.GetZone()] != lease.GetVersion()
	})
	for _, lease := range unsent {
		f.leaseVersions[lease.GetZone()] = lease.GetVersion()
	}
	return unsent
}

func (c *Conductor) configVersion() int64 {
	if catalog := c.dependencies.Catalog(); catalog != nil {
		return catalog.Version()
	}
	return 0
}

// view describes the worker for the followers; it is busy at least until quietUntil.
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

// ZoneNodes returns the other nodes of the zone that send demand to this leader, by falling number of cores, then by name.
func (c *Conductor) ZoneNodes() []elector.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []elector.Member
	for name, node := range c.demand.nodes {
		if node.zone == c.dependencies.Zone && name != c.dependencies.Node {
			members = append(members, elector.Member{Node: name, Incarnation: node.incarnation, Address: node.address})
		}
	}
	sort.Slice(members, func(i, j int) bool {
		first, second := c.demand.nodes[members[i].Node].cores, c.demand.nodes[members[j].Node].cores
		return first > second || first == second && members[i].Node < members[j].Node
	})
	return members
}

// Successor returns the address of the node that should take over the lease:
// among the strongest other nodes of this zone the one that started last, as it
// will not be the next to be stopped.
func (c *Conductor) Successor() (address string, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *nodeDemand
	for name, node := range c.demand.nodes {
		if node.zone != c.dependencies.Zone || name == c.dependencies.Node {
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
