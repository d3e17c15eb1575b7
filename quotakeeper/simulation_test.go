package quotakeeper_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
)

const (
	zoneCount   = 3
	leaseTerm   = 2 * time.Second
	leaseMargin = 150 * time.Millisecond
	takeover    = 800 * time.Millisecond // From the end of a lease until another node takes it.
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

// agenda is a heap of events by time.
type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// wait is a ticket that waits, and what follows its decision.
type wait struct {
	ticket *quotakeeper.Ticket
	ended  func(result quotakeeper.Result, retryAt time.Time)
}

// node is one node; its clock differs from the simulation's by offset.
type node struct {
	index, zone int
	offset      time.Duration
	keeper      *quotakeeper.Keeper
	granter     *quotakeeper.Granter
	frozenUntil time.Duration
	// born counts the node's processes. Nodes of different parts do not reach each other; those of part 1 do not reach the store either.
	born, part int
	// knows is the node that it takes for the leader, by zone; epoch and leaseUntil are those of its own lease.
	knows      [zoneCount]int
	epoch      int64
	leaseUntil time.Duration
	waits      []wait
	planAt     time.Duration
}

// lease is a zone's row in the store.
type lease struct {
	holder, born int
	epoch        int64
	renewedAt    time.Duration
}

// tenantState is a tenant and what its callers did.
type tenantState struct {
	full, allowed quotakeeper.Allowance
	heat          float64
	// loweredAt is when a lower limit came, troubledUntil until when the tenant is not within its limit.
	loweredAt, troubledUntil time.Duration
	// level is that of a single bucket for the whole fleet, as of levelAt.
	level   float64
	levelAt time.Duration
	spends  []spend
}

type spend struct {
	at   time.Duration
	cost int64
}

type fleet struct {
	scenario scenario
	random   *rand.Rand
	now      time.Duration
	seq      int
	agenda   agenda
	nodes    []*node
	leases   [zoneCount]lease
	bounds   quotakeeper.Bounds
	tenants  []*tenantState
	// sound counts sound requests, refused and unknown those refused; retries counts retries at the time that a refusal named, again those refused
	// again.
	sound, refused, unknown, retries, again int
	counts                                  map[string]int64
	// hotAsked and hotGranted count the requests of hot tenants, small ones first, without retries.
	hotAsked, hotGranted [2]int
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.seq++
	heap.Push(&f.agenda, event{at: f.now + delay, seq: f.seq, run: run})
}

// at runs something at the present process of a node, later if it is frozen then, never if it has been killed.
func (f *fleet) at(n *node, delay time.Duration, run func()) {
	born := n.born
	var try func()
	try = func() {
		if n.frozenUntil > f.now {
			f.after(n.frozenUntil-f.now, try)
		} else if n.born == born {
			run()
		}
	}
	f.after(delay, try)
}

func (n *node) clock(now time.Duration) time.Time { return time.Unix(0, 0).Add(now + n.offset) }

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// start starts a new process of a node.
func (f *fleet) start(n *node) {
	n.born++
	n.offset, n.planAt, n.waits, n.leaseUntil = time.Duration(f.random.Int64N(int64(time.Hour))), -1, nil, 0
	zones := []string{zoneName(0), zoneName(1), zoneName(2)}
	n.keeper = quotakeeper.New(f.bounds, zoneName(n.zone), zones, func(name string, by int64) { f.counts[name] += by })
	n.granter = quotakeeper.NewGranter(f.bounds, f.random.Float64)
}

// plan runs a node's loop of calls.
func (f *fleet) plan(n *node) {
	calls, next := n.keeper.Plan(n.clock(f.now))
	for _, call := range calls {
		f.send(n, call)
	}
	f.collect(n)
	at := next.Sub(n.clock(0))
	if next.IsZero() || n.planAt >= f.now && n.planAt <= at {
		return
	}
	n.planAt = at
	f.at(n, at-f.now, func() {
		if n.planAt == at {
			n.planAt = -1
			f.plan(n)
		}
	})
}

// collect ends the waits that are decided.
func (f *fleet) collect(n *node) {
	waits := n.waits
	n.waits = nil
	for _, w := range waits {
		select {
		case <-w.ticket.Done():
			w.ended(w.ticket.Result())
		default:
			n.waits = append(n.waits, w)
		}
	}
}

// send makes a call over links that take 0.5 ms and more; it is lost between parts of the fleet.
func (f *fleet) send(n *node, call *quotakeeper.Call) {
	zone := int(call.Zone()[len(call.Zone())-1] - '0')
	ended := false
	end := func(apply func()) {
		if !ended {
			ended = true
			apply()
			f.plan(n)
		}
	}
	fail := func() { end(func() { n.keeper.Fail(n.clock(f.now), call) }) }
	delay := func() time.Duration {
		return time.Duration((1 + f.random.ExpFloat64()) * float64(500*time.Microsecond))
	}
	leader := f.nodes[n.knows[zone]]
	if leader.part == n.part {
		f.at(leader, delay(), func() {
			if f.now >= leader.leaseUntil {
				f.at(n, delay(), fail)
				return
			}
			grants := leader.granter.Take(leader.clock(f.now), leader.epoch, fmt.Sprint(n.index), f.allowance, call.Requests())
			f.at(n, delay(), func() { end(func() { n.keeper.Apply(n.clock(f.now), call, grants) }) })
		})
	}
	f.at(n, quotakeeper.CallTimeout, fail)
}

func (f *fleet) allowance(name string) (quotakeeper.Allowance, bool) {
	var index int
	_, err := fmt.Sscanf(name, "t%d", &index)
	return f.tenants[index].allowed, err == nil
}

// elect renews leases and replaces lost leaders, and tells nodes of them, as the store does.
func (f *fleet) elect() {
	for zone := range f.leases {
		row := &f.leases[zone]
		holder := f.nodes[row.holder]
		alive := holder.born == row.born && holder.part != 1 && holder.frozenUntil <= f.now && f.now < holder.leaseUntil
		candidate := f.nodes[(f.random.IntN(len(f.nodes))/zoneCount*zoneCount+zone)%len(f.nodes)]
		switch {
		case alive && f.now-row.renewedAt >= 750*time.Millisecond:
			row.renewedAt, holder.leaseUntil = f.now, f.now+leaseTerm-leaseMargin
		case row.epoch > 0 && f.now-row.renewedAt < leaseTerm+takeover:
		case candidate.zone == zone && candidate.part != 1 && candidate.frozenUntil <= f.now:
			*row = lease{holder: candidate.index, born: candidate.born, epoch: row.epoch + 1, renewedAt: f.now}
			candidate.epoch, candidate.leaseUntil = row.epoch, f.now+leaseTerm-leaseMargin
			candidate.granter.Begin(candidate.clock(f.now), row.epoch)
		}
		for _, n := range f.nodes {
			if n.part != 1 && f.random.IntN(8) == 0 {
				n.knows[zone] = row.holder
			}
		}
	}
	f.after(50*time.Millisecond, f.elect)
}

// arrive lets a request of a tenant arrive and plans the next one.
func (f *fleet) arrive(index int) {
	t := f.tenants[index]
	cost, patience := int64(200+f.random.IntN(520)), 200*time.Millisecond
	if f.random.IntN(f.scenario.LargeEach) == 0 {
		cost, patience = int64(9_000+f.random.IntN(28_000)), time.Second
	}
	meanCost := 460 + 23_000/float64(f.scenario.LargeEach)
	gap := f.random.ExpFloat64() * meanCost / (f.scenario.Usual * t.full.RatePerS * t.heat)
	f.after(time.Duration(gap*float64(time.Second)), func() { f.arrive(index) })
	t.level = min(t.level+(f.now-t.levelAt).Seconds()*t.allowed.RatePerS, t.allowed.Burst)
	t.levelAt = f.now
	sound := float64(cost) <= t.level && f.now >= t.troubledUntil
	if sound {
		t.level -= float64(cost)
		f.sound++
	}
	f.ask(f.target(), index, cost, patience, sound, false)
}

// target returns the node that a caller reaches.
func (f *fleet) target() *node {
	if f.scenario.Uneven && f.random.IntN(2) == 0 {
		return f.nodes[f.random.IntN(max(len(f.nodes)/(10*zoneCount), 1))*zoneCount]
	}
	return f.nodes[f.random.IntN(len(f.nodes))]
}

// ask lets a request arrive at a node; if it is over the allowance, it is retried once at the time that the refusal names.
func (f *fleet) ask(n *node, index int, cost int64, patience time.Duration, sound, retry bool) {
	f.at(n, 0, func() {
		t := f.tenants[index]
		now := n.clock(f.now)
		size, hot := 0, t.heat > 1 && !retry
		if cost >= 9_000 {
			size = 1
		}
		if hot {
			f.hotAsked[size]++
		}
		ticket := n.keeper.Admit(now, fmt.Sprintf("t%d", index), t.allowed, cost, now.Add(patience))
		n.waits = append(n.waits, wait{ticket: ticket, ended: func(result quotakeeper.Result, retryAt time.Time) {
			f.end(n, ticket, index, cost, result)
			if hot && result == quotakeeper.Granted {
				f.hotGranted[size]++
			}
			switch {
			case result == quotakeeper.Granted:
				return
			case retry:
				f.again++
			case sound && result == quotakeeper.Unknown:
				f.unknown++
			case sound:
				f.refused++
			}
			if !retry && result == quotakeeper.Over {
				f.retries++
				f.after(retryAt.Sub(n.clock(f.now)), func() { f.ask(f.target(), index, cost, patience, false, true) })
			}
		}})
		f.plan(n)
	})
}

// end records the tokens that a granted request spends; one of fifty does not run and is refunded.
func (f *fleet) end(n *node, ticket *quotakeeper.Ticket, index int, cost int64, result quotakeeper.Result) {
	t := f.tenants[index]
	if result != quotakeeper.Granted {
		return
	}
	t.spends = append(t.spends, spend{at: f.now, cost: cost})
	if at := len(t.spends) - 1; f.random.IntN(50) == 0 {
		f.at(n, 20*time.Millisecond, func() {
			n.keeper.Refund(n.clock(f.now), ticket)
			t.spends[at].cost = 0
			f.collect(n)
		})
	}
}

// hotServed returns the parts of the small and of the large requests of hot tenants that were served.
func (f *fleet) hotServed() (small, large float64) {
	return float64(f.hotGranted[0]) / float64(max(f.hotAsked[0], 1)), float64(f.hotGranted[1]) / float64(max(f.hotAsked[1], 1))
}

// begin begins a fault.
func (f *fleet) begin(what fault) {
	lasts := time.Duration(what.Seconds * float64(time.Second))
	t := f.tenants[what.Tenant]
	for _, n := range f.nodes {
		leads := f.leases[n.zone].holder == n.index
		switch {
		case what.Kind == "kill all" || what.Kind == "kill leaders" && leads:
			f.start(n)
		case what.Kind == "freeze all" || what.Kind == "freeze leaders" && leads:
			n.frozenUntil = f.now + lasts
		case what.Kind == "split" && (leads || n.index/zoneCount%2 == 0):
			n.part = 1
		case what.Kind == "cut" && n.zone == 0:
			n.part = 2
		}
	}
	switch what.Kind {
	case "hot":
		t.heat, t.troubledUntil = what.Factor, f.now+lasts+f.bounds.Window()
		f.after(lasts, func() { t.heat = 1 })
	case "lower":
		t.allowed = quotakeeper.Allowance{RatePerS: t.full.RatePerS * what.Factor, Burst: t.full.Burst * what.Factor}
		t.loweredAt, t.troubledUntil = f.now, time.Hour
	case "split", "cut":
		f.after(lasts, func() {
			for _, n := range f.nodes {
				n.part = 0
			}
		})
	}
}

// reached returns the largest part of what is allowed that a tenant's requests used in a window.
func (f *fleet) reached(t *tenantState) (most float64) {
	first, used := 0, int64(0)
	for _, last := range t.spends {
		for used += last.cost; last.at-t.spends[first].at >= f.bounds.Window(); first++ {
			used -= t.spends[first].cost
		}
		allowed := t.full
		if t.loweredAt > 0 && t.spends[first].at >= t.loweredAt+f.bounds.Window() {
			allowed = t.allowed
		}
		most = max(most, float64(used)/f.bounds.Allowed(allowed))
	}
	return most
}
