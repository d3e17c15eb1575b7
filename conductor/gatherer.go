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
	at           time.Time
}

func (r *rate) decay(now time.Time) {
	elapsed := now.Sub(r.at).Seconds()
	if elapsed <= 0 {
		return
	}
	r.slow *= math.Exp(-elapsed / rateMemory.Seconds())
	r.recent *= math.Exp(-elapsed / recentMemory.Seconds())
	r.at = now
}

func (r *rate) add(now time.Time, count int64) {
	r.decay(now)
	r.slow += float64(count) / rateMemory.Seconds()
	r.recent += float64(count) / recentMemory.Seconds()
}

// nodeDemand is what one node last said.
type nodeDemand struct {
	zone, address, incarnation string
	heardAt                    time.Time
	// bornAt is when the node's process started.
	bornAt time.Time
	asked  map[demandKey]int64
	// waiting and due are those of the last message about a key.
	waiting map[demandKey]int
	due     map[demandKey]time.Time
	since   map[demandKey]time.Time
	running map[string]map[string]int // worker, then model
}

// gatherer sums the demand of all nodes.
type gatherer struct {
	nodes map[string]*nodeDemand
	rates map[demandKey]*rate
}

func newGatherer() *gatherer {
	return &gatherer{nodes: map[string]*nodeDemand{}, rates: map[demandKey]*rate{}}
}

// take adds a node's message. It reports whether a request began to wait.
func (g *gatherer) take(now time.Time, message *nodewire.Demand) bool {
	node, known := g.nodes[message.GetNode()]
	if !known {
		node = &nodeDemand{asked: map[demandKey]int64{}}
		g.nodes[message.GetNode()] = node
	}
	if message.GetWhole() || !known {
		node.waiting, node.due, node.since = map[demandKey]int{}, map[demandKey]time.Time{}, map[demandKey]time.Time{}
		node.running = map[string]map[string]int{}
	}
	node.zone, node.address, node.incarnation, node.heardAt = message.GetZone(), message.GetAddress(), message.GetIncarnation(), now
	node.bornAt = now.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond)
	waits := false
	for _, model := range message.GetModels() {
		key := demandKey{model.GetService(), model.GetModel(), model.GetAdapter()}
		g.takeAsked(now, node, key, model.GetAsked(), known)
		waits = waits || int(model.GetWaiting()) > node.waiting[key]
		node.waiting[key] = int(model.GetWaiting())
		node.due[key] = now.Add(time.Duration(model.GetDueMs()) * time.Millisecond)
		node.since[key] = now.Add(-time.Duration(model.GetWaitedMs()) * time.Millisecond)
		if model.GetWaiting() == 0 {
			delete(node.waiting, key)
			delete(node.due, key)
			delete(node.since, key)
		}
	}
	for _, run := range message.GetRuns() {
		if node.running[run.GetWorker()] == nil {
			node.running[run.GetWorker()] = map[string]int{}
		}
		node.running[run.GetWorker()][run.GetModel()] = int(run.GetRunning())
	}
	return waits
}

// takeAsked counts the requests since the node's last message. The first
// message of a node says nothing of when its requests came.
func (g *gatherer) takeAsked(now time.Time, node *nodeDemand, key demandKey, asked int64, known bool) {
	before, seen := node.asked[key]
	node.asked[key] = asked
	if asked < before {
		before = 0 // The node's process has started again.
	}
	if !known && !seen {
		before = asked
	}
	if asked == before {
		return
	}
	r, found := g.rates[key]
	if !found {
		r = &rate{at: now}
		g.rates[key] = r
	}
	r.add(now, asked-before)
}

// nodeSilence is how long a node's demand counts after its last message.
const nodeSilence = 1500 * time.Millisecond

// expire forgets nodes that are silent, and rates that have faded.
func (g *gatherer) expire(now time.Time) {
	for name, node := range g.nodes {
		if now.Sub(node.heardAt) > nodeSilence {
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
func (g *gatherer) waitingFor(key demandKey) (count int, due, since time.Time) {
	for _, node := range g.nodes {
		count += node.waiting[key]
		if began, waits := node.since[key]; waits && (since.IsZero() || began.Before(since)) {
			since = began
		}
		if nodeDue, waits := node.due[key]; waits && (due.IsZero() || nodeDue.Before(due)) {
			due = nodeDue
		}
	}
	return count, due, since
}

// keys returns every key that is asked for or waited for.
func (g *gatherer) keys() map[demandKey]bool {
	keys := make(map[demandKey]bool, len(g.rates))
	for key := range g.rates {
		keys[key] = true
	}
	for _, node := range g.nodes {
		for key := range node.waiting {
			keys[key] = true
		}
	}
	return keys
}

// runningAt sums the requests that run at a worker, by model.
func (g *gatherer) runningAt(worker string) map[string]int {
	sum := map[string]int{}
	for _, node := range g.nodes {
		for model, count := range node.running[worker] {
			if count > 0 {
				sum[model] += count
			}
		}
	}
	return sum
}
