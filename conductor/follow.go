package conductor

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/pacer"
)

// viewPause is the shortest pause between two messages of a stream, in which several changes come together.
const viewPause = 10 * time.Millisecond

// suspicion is a request that ran at workers that crashed.
type suspicion struct {
	message *nodewire.Suspicion
	until   time.Time
}

// suspicionTime is how long a suspicion is passed on.
const suspicionTime = 2 * time.Minute

// follower is a node that listens.
type follower struct {
	// node is the node's name, empty until its first message.
	node string
	// whole is set when the next message must hold every worker.
	whole bool
	// dirty names the workers to tell about.
	dirty map[string]bool
	// wake has a value when there is something to tell at once.
	wake chan struct{}
	// closed is closed when the leadership ends.
	closed chan struct{}
	// relayed is the version of the store up to which the node knows all changes of the list of workers.
	relayed int64
	// leases maps zones to the versions of the leases that the node was told.
	leases map[string]int64
}

func (f *follower) close() { close(f.closed) }

func (f *follower) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// touch marks a worker as changed for all followers. Those whose requests wait
// for one of the models, and other leaders, are told at the next flush, the
// others with their next message; the caller holds mu.
func (c *Conductor) touch(worker string, models ...string) {
	for f := range c.followers {
		f.dirty[worker] = true
	}
	for _, model := range models {
		c.news[model] = true
	}
	c.changed = true
}

// touchLoad marks a worker's load as changed; nobody waits for it. The caller holds mu.
func (c *Conductor) touchLoad(worker string) {
	for f := range c.followers {
		f.dirty[worker] = true
	}
}

// flush wakes the followers that wait for what was touched; the caller holds mu.
func (c *Conductor) flush() {
	for f := range c.followers {
		node := c.demand.nodes[f.node]
		if f.whole || c.changed && node != nil && (node.leads || node.waitsFor(c.news)) {
			f.notify()
		}
	}
	c.changed = false
	clear(c.news)
}

// Take takes in a node's demand.
func (c *Conductor) Take(message *nodewire.Demand) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == 0 {
		return
	}
	for _, s := range message.GetSuspicions() {
		c.suspicions[s.GetFingerprint()+" "+s.GetWorker()] = suspicion{message: s, until: now.Add(suspicionTime)}
		for f := range c.followers {
			f.whole = true
		}
	}
	if c.demand.take(now, message) {
		c.Kick()
	}
}

// Subscription is a node's part in a leader's views.
type Subscription struct {
	conductor *Conductor
	follower  *follower
}

// Subscribe returns a node's subscription, or nil when this node does not lead.
func (c *Conductor) Subscribe() *Subscription {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == 0 {
		return nil
	}
	f := &follower{whole: true, dirty: map[string]bool{}, wake: make(chan struct{}, 1), closed: make(chan struct{}), relayed: unrelayed, leases: map[string]int64{}}
	c.followers[f] = true
	f.notify()
	return &Subscription{conductor: c, follower: f}
}

// Take takes in the subscriber's demand.
func (s *Subscription) Take(message *nodewire.Demand) {
	s.conductor.mu.Lock()
	s.follower.node = message.GetNode()
	s.follower.relayed = max(s.follower.relayed, message.GetListVersion())
	s.conductor.mu.Unlock()
	s.conductor.Take(message)
}

// Next waits for the next view and returns it, or nil when the subscription or the leadership has ended.
func (s *Subscription) Next(done <-chan struct{}) *nodewire.View {
	c := s.conductor
	select {
	case <-done:
		return nil
	case <-s.follower.closed:
		return nil
	case <-s.follower.wake:
		time.Sleep(viewPause)
	case <-time.After(c.pause()):
	}
	return c.view(s.follower)
}

// pause returns the pause between two messages that nobody waits for.
func (c *Conductor) pause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return pacer.Pause(len(c.demand.nodes))
}

// End ends the subscription.
func (s *Subscription) End() {
	s.conductor.mu.Lock()
	defer s.conductor.mu.Unlock()
	delete(s.conductor.followers, s.follower)
}

// view builds what a follower does not know yet.
func (c *Conductor) view(f *follower) *nodewire.View {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-f.wake: // What it was for is in this view.
	default:
	}
	message := &nodewire.View{
		Zone: c.parts.Zone, Epoch: c.epoch, Config: c.configVersion(), Whole: f.whole, Nodes: int32(len(c.demand.nodes)),
		Leases: c.leases(f), Relay: c.relay(now, f), Waits: c.waitsOf(f),
	}
	if f.whole {
		for id := range c.workers {
			f.dirty[id] = true
		}
		for key, s := range c.suspicions {
			if now.After(s.until) {
				delete(c.suspicions, key)
				continue
			}
			message.Suspicions = append(message.Suspicions, s.message)
		}
	}
	for id := range f.dirty {
		if known, listed := c.workers[id]; listed {
			message.Workers = append(message.Workers, known.message(now, c.quietUntil, id))
		}
	}
	sort.Slice(message.Workers, func(i, j int) bool { return message.Workers[i].Worker < message.Workers[j].Worker })
	f.whole, f.dirty = false, map[string]bool{}
	return message
}

// waitsOf returns when the models that a follower's requests wait for should be ready; the caller holds mu.
func (c *Conductor) waitsOf(f *follower) []*nodewire.WaitView {
	node := c.demand.nodes[f.node]
	if node == nil {
		return nil
	}
	var waits []*nodewire.WaitView
	for key := range node.waiting {
		if endsMS, known := c.waits[key.service][key.model]; known {
			waits = append(waits, &nodewire.WaitView{Service: key.service, Model: key.model, EndsMs: int64(endsMS)})
		}
	}
	return waits
}

// leases returns the leases that a follower of this zone was not told yet; the caller holds mu.
func (c *Conductor) leases(f *follower) []*nodewire.LeaseView {
	if node := c.demand.nodes[f.node]; node == nil || node.zone != c.parts.Zone {
		return nil
	}
	news := lo.Filter(c.parts.Lease.Known(), func(lease *nodewire.LeaseView, _ int) bool {
		return f.leases[lease.GetZone()] != lease.GetVersion()
	})
	for _, lease := range news {
		f.leases[lease.GetZone()] = lease.GetVersion()
	}
	return news
}

func (c *Conductor) configVersion() int64 {
	if catalog := c.parts.Catalog(); catalog != nil {
		return catalog.Version()
	}
	return 0
}

// message describes a worker for the followers.
func (c *charge) message(now, quietUntil time.Time, id string) *nodewire.WorkerView {
	message := &nodewire.WorkerView{Worker: id, Born: c.born, Orders: c.orders, Running: int32(c.total())}
	for _, model := range c.models() {
		unit := c.units[model]
		view := &nodewire.UnitView{Model: model, Running: int32(c.running[model])}
		for name := range unit.adapters {
			view.Adapters = append(view.Adapters, name)
		}
		for name := range unit.coming {
			view.Coming = append(view.Coming, name)
		}
		message.Units = append(message.Units, view)
	}
	if c.loading != "" {
		left := max(c.readyAt.Sub(now).Milliseconds(), 1)
		message.BusyMs = left
		message.Units = append(message.Units, &nodewire.UnitView{Model: c.loading, ReadyMs: left})
	}
	message.BusyMs = max(message.BusyMs, quietUntil.Sub(now).Milliseconds())
	return message
}

// Members returns the other nodes of the zone that follow this leader, the strongest first.
func (c *Conductor) Members() []elector.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []elector.Member
	for name, node := range c.demand.nodes {
		if node.zone == c.parts.Zone && name != c.parts.Node {
			members = append(members, elector.Member{Node: name, Incarnation: node.incarnation, Address: node.address})
		}
	}
	sort.Slice(members, func(i, j int) bool {
		first, second := c.demand.nodes[members[i].Node].strength, c.demand.nodes[members[j].Node].strength
		return first > second || first == second && members[i].Node < members[j].Node
	})
	return members
}

// Successor returns the address of the node that should take the lease: among
// the strongest of this zone the one that started last, as it will not be stopped next.
func (c *Conductor) Successor() (address string, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *nodeDemand
	for name, node := range c.demand.nodes {
		if node.zone != c.parts.Zone || name == c.parts.Node {
			continue
		}
		if best == nil || node.strength > best.strength || node.strength == best.strength && node.bornAt.After(best.bornAt) {
			best = node
		}
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}
