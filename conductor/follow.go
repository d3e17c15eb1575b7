package conductor

import (
	"sort"
	"time"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// Times of the messages to followers.
const (
	// beatInterval is the longest pause between two messages of a stream.
	beatInterval = 400 * time.Millisecond
	// viewPause is the shortest.
	viewPause = 10 * time.Millisecond
)

// suspicion is a request that ran at workers that crashed.
type suspicion struct {
	message *nodewire.Suspicion
	until   time.Time
}

// suspicionTime is how long a suspicion is passed on.
const suspicionTime = 2 * time.Minute

// follower is a node that listens.
type follower struct {
	// whole is set when the next message must hold every worker.
	whole bool
	// dirty names the workers to tell about.
	dirty map[string]bool
	// wake has a value when there is something to tell at once.
	wake chan struct{}
	// closed is closed when the leadership ends.
	closed chan struct{}
}

func (f *follower) close() { close(f.closed) }

func (f *follower) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// touch marks a worker as changed for all followers; the caller holds mu.
func (c *Conductor) touch(worker string) {
	for f := range c.followers {
		f.dirty[worker] = true
	}
}

// flush wakes the followers that have something to be told; the caller holds mu.
func (c *Conductor) flush() {
	for f := range c.followers {
		if f.whole || len(f.dirty) > 0 {
			f.notify()
		}
	}
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

// Subscribe returns a function that waits for and returns the next view, and
// one that ends the subscription. Both are nil when this node does not lead.
func (c *Conductor) Subscribe(config func() int64) (next func(done <-chan struct{}) *nodewire.View, end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == 0 {
		return nil, nil
	}
	f := &follower{whole: true, dirty: map[string]bool{}, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	c.followers[f] = true
	f.notify()
	next = func(done <-chan struct{}) *nodewire.View {
		select {
		case <-done:
			return nil
		case <-f.closed:
			return nil
		case <-f.wake:
		case <-time.After(beatInterval):
		}
		time.Sleep(viewPause)
		return c.view(f, config())
	}
	end = func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.followers, f)
	}
	return next, end
}

// view builds what a follower does not know yet.
func (c *Conductor) view(f *follower, config int64) *nodewire.View {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	message := &nodewire.View{Zone: c.parts.Zone, Epoch: c.epoch, Config: config, Whole: f.whole, Nodes: int32(len(c.demand.nodes))}
	message.Lease, message.LeaseVersion = c.parts.Lease.Written()
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

// Members returns the other nodes of the zone that follow this leader, in the order of their names.
func (c *Conductor) Members() []elector.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []elector.Member
	for name, node := range c.demand.nodes {
		if node.zone == c.parts.Zone && name != c.parts.Node {
			members = append(members, elector.Member{Node: name, Incarnation: node.incarnation, Address: node.address})
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Node < members[j].Node })
	return members
}

// Successor returns the address of the node that should take the lease: the
// one of this zone that started last, as it will not be stopped next.
func (c *Conductor) Successor() (address string, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *nodeDemand
	for name, node := range c.demand.nodes {
		if node.zone != c.parts.Zone || name == c.parts.Node {
			continue
		}
		if best == nil || node.bornAt.After(best.bornAt) {
			best = node
		}
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}
