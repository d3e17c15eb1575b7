package conductor

import (
	"math"
	"time"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// demandKey is a model of a service, or an adapter of it.
type demandKey struct{ service, model, adapter string }

// Memories of the rates.
const (
	// rateMemory is the time in which a rate forgets all but a third.
	rateMemory = 5 * time.Second
	// recentMemory is the same for the fast rate, which sees a model rise.
	recentMemory = 1 * time.Second
)

// rate is the requests a second for one key over two memories.
type rate struct {
	slow, recent float64
	// refused is how many requests were refused, with the memory of slow.
	refused float64
	at      time.Time
}

func (r *rate) decay(now time.Time) {
	elapsed := now.Sub(r.at).Seconds()
	if elapsed <= 0 {
		return
	}
	r.slow *= math.Exp(-elapsed / rateMemory.Seconds())
	r.recent *= math.Exp(-elapsed / recentMemory.Seconds())
	r.refused *= math.Exp(-elapsed / rateMemory.Seconds())
	r.at = now
}

func (r *rate) add(now time.Time, count int64) {
	r.decay(now)
	r.slow += float64(count) / rateMemory.Seconds()
	r.recent += float64(count) / recentMemory.Seconds()
}

// waits is what a node's requests wait for one key.
type waits struct {
	// count is positive; due is when the first of the requests is late, since when the first of them began.
	count      int
	due, since time.Time
}

// nodeDemand is what one node last said.
type nodeDemand struct {
	zone, address, incarnation string
	heardAt                    time.Time
	// bornAt is when the node's process started.
	bornAt time.Time
	// leads is set when the node leads its zone, strength is its share of a core.
	leads    bool
	strength float64
	// asked and refused are the counts that the node last told.
	asked, refused map[demandKey]int64
	// waiting holds the keys for which requests wait.
	waiting map[demandKey]waits
	// running holds the requests at each worker by model; every count is positive.
	running map[string]map[string]int
}

// waitsFor reports whether requests of the node wait for a model or an adapter of it.
func (n *nodeDemand) waitsFor(models map[string]bool) bool {
	for key := range n.waiting {
		if models[key.model] {
			return true
		}
	}
	return false
}

// gatherer sums the demand of all nodes. The sums are kept up to date with each
// message, so that a plan costs nothing for each node.
type gatherer struct {
	nodes map[string]*nodeDemand
	rates map[demandKey]*rate
	// waiting maps the keys that are waited for to the nodes whose requests wait.
	waiting map[demandKey]map[*nodeDemand]waits
	// running sums the requests at each worker by model; every sum is positive.
	running map[string]map[string]int
	// ran names the workers whose sums changed since they were last asked for.
	ran map[string]bool
}

func newGatherer() *gatherer {
	return &gatherer{
		nodes: map[string]*nodeDemand{}, rates: map[demandKey]*rate{}, waiting: map[demandKey]map[*nodeDemand]waits{},
		running: map[string]map[string]int{}, ran: map[string]bool{},
	}
}

// take adds a node's message. It reports whether a request began to wait.
func (g *gatherer) take(now time.Time, message *nodewire.Demand) bool {
	node, known := g.nodes[message.GetNode()]
	if !known {
		node = &nodeDemand{asked: map[demandKey]int64{}, refused: map[demandKey]int64{}, waiting: map[demandKey]waits{}, running: map[string]map[string]int{}}
		g.nodes[message.GetNode()] = node
	}
	if message.GetWhole() {
		g.forget(node)
	}
	node.zone, node.address, node.incarnation, node.heardAt = message.GetZone(), message.GetAddress(), message.GetIncarnation(), now
	node.bornAt = now.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond)
	node.leads, node.strength = message.GetLeads(), message.GetStrength()
	began := false
	for _, model := range message.GetModels() {
		key := demandKey{model.GetService(), model.GetModel(), model.GetAdapter()}
		if asked := increase(node.asked, key, model.GetAsked(), known); asked > 0 {
			g.rateOf(now, key).add(now, asked)
		}
		if refused := increase(node.refused, key, model.GetRefused(), known); refused > 0 {
			r := g.rateOf(now, key)
			r.decay(now)
			r.refused += float64(refused)
		}
		began = began || int(model.GetWaiting()) > node.waiting[key].count
		g.setWaiting(node, key, waits{
			count: int(model.GetWaiting()), due: now.Add(time.Duration(model.GetDueMs()) * time.Millisecond),
			since: now.Add(-time.Duration(model.GetWaitedMs()) * time.Millisecond),
		})
	}
	for _, run := range message.GetRuns() {
		g.setRunning(node, run.GetWorker(), run.GetModel(), int(run.GetRunning()))
	}
	return began
}

// setWaiting takes in what a node's requests wait for a key.
func (g *gatherer) setWaiting(node *nodeDemand, key demandKey, w waits) {
	if w.count == 0 {
		delete(node.waiting, key)
		delete(g.waiting[key], node)
		if len(g.waiting[key]) == 0 {
			delete(g.waiting, key)
		}
		return
	}
	node.waiting[key] = w
	if g.waiting[key] == nil {
		g.waiting[key] = map[*nodeDemand]waits{}
	}
	g.waiting[key][node] = w
}

// setRunning takes in how many requests a node has at a worker for a model.
func (g *gatherer) setRunning(node *nodeDemand, worker, model string, count int) {
	change := count - node.running[worker][model]
	if change == 0 {
		return
	}
	addRunning(node.running, worker, model, change)
	addRunning(g.running, worker, model, change)
	g.ran[worker] = true
}

// addRunning changes a count and drops those that are zero.
func addRunning(running map[string]map[string]int, worker, model string, change int) {
	counts := running[worker]
	if counts == nil {
		counts = map[string]int{}
		running[worker] = counts
	}
	if counts[model] += change; counts[model] == 0 {
		delete(counts, model)
	}
	if len(counts) == 0 {
		delete(running, worker)
	}
}

// forget takes a node's waiting and running requests out of the sums.
func (g *gatherer) forget(node *nodeDemand) {
	for key := range node.waiting {
		g.setWaiting(node, key, waits{})
	}
	for worker, counts := range node.running {
		for model := range counts {
			g.setRunning(node, worker, model, 0)
		}
	}
}

// increase returns by how much a node's count has risen since its last message.
// The first message of a node says nothing of when its requests came.
func increase(told map[demandKey]int64, key demandKey, count int64, known bool) int64 {
	before, seen := told[key]
	told[key] = count
	if !known && !seen {
		return 0
	}
	if count < before {
		return count // The node's process has started again.
	}
	return count - before
}

func (g *gatherer) rateOf(now time.Time, key demandKey) *rate {
	r, found := g.rates[key]
	if !found {
		r = &rate{at: now}
		g.rates[key] = r
	}
	return r
}

// nodeSilence is how long a node's demand counts after its last message.
const nodeSilence = 1500 * time.Millisecond

// expire forgets nodes that are silent, and rates that have faded.
func (g *gatherer) expire(now time.Time) {
	for name, node := range g.nodes {
		if now.Sub(node.heardAt) > nodeSilence {
			g.forget(node)
			delete(g.nodes, name)
		}
	}
	for key, r := range g.rates {
		if r.decay(now); r.slow < fadedRate {
			delete(g.rates, key)
		}
	}
}

// fadedRate is the rate in requests a second below which a key is forgotten.
const fadedRate = 0.001

// waitingFor sums the waiting requests for a key, with when the first of them is late and began.
func (g *gatherer) waitingFor(key demandKey) waits {
	var sum waits
	for _, w := range g.waiting[key] {
		if sum.count == 0 || w.since.Before(sum.since) {
			sum.since = w.since
		}
		if sum.count == 0 || w.due.Before(sum.due) {
			sum.due = w.due
		}
		sum.count += w.count
	}
	return sum
}

// takeRan returns the workers whose sums changed since the last call.
func (g *gatherer) takeRan() map[string]bool {
	ran := g.ran
	g.ran = map[string]bool{}
	return ran
}
