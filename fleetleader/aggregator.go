package fleetleader

import (
	"maps"
	"math"
	"time"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// demandKey is a model of a service or, if adapter is not empty, an adapter of that model.
type demandKey struct{ service, model, adapter string }

// Time constants of the exponentially decaying rates.
const (
	// slowRateDecay is the time in which the slow rate decays to 1/e.
	slowRateDecay = 5 * time.Second
	// fastRateDecay is the same for the fast rate, which detects a rise in demand.
	fastRateDecay = 1 * time.Second
)

// rate is the request rate for one key, in requests per second, with two time constants.
type rate struct {
	slow, fast float64
	// refused is the number of refused requests, decaying with slowRateDecay.
	refused   float64
	updatedAt time.Time
}

func (r *rate) decay(now time.Time) {
	elapsed := now.Sub(r.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	r.slow *= math.Exp(-elapsed / slowRateDecay.Seconds())
	r.fast *= math.Exp(-elapsed / fastRateDecay.Seconds())
	r.refused *= math.Exp(-elapsed / slowRateDecay.Seconds())
	r.updatedAt = now
}

func (r *rate) add(now time.Time, count int64) {
	r.decay(now)
	r.slow += float64(count) / slowRateDecay.Seconds()
	r.fast += float64(count) / fastRateDecay.Seconds()
}

// waitingRequests summarises the requests that wait for one key.
type waitingRequests struct {
	// count is positive in the maps of waiting requests.
	count int
	// earliestDue is when the first of the requests becomes late, earliestStart when the first began to wait.
	earliestDue, earliestStart time.Time
}

// nodeDemand is the demand that one node reported last.
type nodeDemand struct {
	zone, address, incarnation string
	lastMessageAt              time.Time
	// startedAt is when the node's process started.
	startedAt time.Time
	// leads is set if the node leads its zone; cores is the number of cores that the node may use.
	leads bool
	cores float64
	// cut is set if the node reaches no worker.
	cut bool
	// recalls is set if the node, as a holder, keeps to elector.Lease.Named.
	recalls bool
	// requestCounts and refusalCounts are the totals that the node reported last, counted since its process started.
	requestCounts, refusalCounts map[demandKey]int64
	// waiting holds the node's waiting requests by key.
	waiting map[demandKey]waitingRequests
	// running counts the node's running requests by worker and model; every count is positive.
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

// keepOnly removes the counts of all keys that a complete message does not contain.
func (n *nodeDemand) keepOnly(models []*nodewire.ModelDemand) {
	sent := make(map[demandKey]bool, len(models))
	for _, model := range models {
		sent[demandKey{model.GetService(), model.GetModel(), model.GetAdapter()}] = true
	}
	for _, totals := range []map[demandKey]int64{n.requestCounts, n.refusalCounts} {
		maps.DeleteFunc(totals, func(key demandKey, _ int64) bool { return !sent[key] })
	}
}

// demandAggregator sums the demand of all nodes. Each message updates the sums,
// so that the cost of a plan does not grow with the number of nodes.
type demandAggregator struct {
	nodes map[string]*nodeDemand
	rates map[demandKey]*rate
	// waiting holds the waiting requests by key and node; no inner map is empty.
	waiting map[demandKey]map[*nodeDemand]waitingRequests
	// running counts the running requests of all nodes by worker and model; every count is positive.
	running map[string]map[string]int
	// changedWorkers are the workers whose counts in running changed since the last takeChangedWorkers.
	changedWorkers map[string]bool
}

func newDemandAggregator() *demandAggregator {
	return &demandAggregator{
		nodes: map[string]*nodeDemand{}, rates: map[demandKey]*rate{}, waiting: map[demandKey]map[*nodeDemand]waitingRequests{},
		running: map[string]map[string]int{}, changedWorkers: map[string]bool{},
	}
}

// apply updates the sums from a node's message. It reports whether more of the node's requests wait for a key than before.
func (a *demandAggregator) apply(now time.Time, message *nodewire.Demand) bool {
	node, found := a.nodes[message.GetNode()]
	if !found {
		node = &nodeDemand{requestCounts: map[demandKey]int64{}, refusalCounts: map[demandKey]int64{}, waiting: map[demandKey]waitingRequests{}, running: map[string]map[string]int{}}
		a.nodes[message.GetNode()] = node
	}
	if message.GetWhole() {
		a.subtract(node)
		node.keepOnly(message.GetModels())
	}
	node.zone, node.address, node.incarnation, node.lastMessageAt = message.GetZone(), message.GetAddress(), message.GetIncarnation(), now
	node.startedAt = now.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond)
	node.leads, node.cores, node.cut, node.recalls = message.GetLeads(), message.GetStrength(), message.GetCut(), message.GetRecalls()
	newWaits := false
	for _, model := range message.GetModels() {
		key := demandKey{model.GetService(), model.GetModel(), model.GetAdapter()}
		if asked := counterIncrease(node.requestCounts, key, model.GetAsked(), found); asked > 0 {
			a.rateOf(now, key).add(now, asked)
		}
		if refused := counterIncrease(node.refusalCounts, key, model.GetRefused(), found); refused > 0 {
			r := a.rateOf(now, key)
			r.decay(now)
			r.refused += float64(refused)
		}
		newWaits = newWaits || int(model.GetWaiting()) > node.waiting[key].count
		a.setWaiting(node, key, waitingRequests{
			count: int(model.GetWaiting()), earliestDue: now.Add(time.Duration(model.GetDueMs()) * time.Millisecond),
			earliestStart: now.Add(-time.Duration(model.GetWaitedMs()) * time.Millisecond),
		})
		if model.GetAsked() == 0 && model.GetRefused() == 0 { // The same as no counts, or the node counts the key no more.
			delete(node.requestCounts, key)
			delete(node.refusalCounts, key)
		}
	}
	for _, run := range message.GetRuns() {
		a.setRunning(node, run.GetWorker(), run.GetModel(), int(run.GetRunning()))
	}
	return newWaits
}

// setWaiting replaces a node's waiting requests for a key; a count of 0 removes them.
func (a *demandAggregator) setWaiting(node *nodeDemand, key demandKey, w waitingRequests) {
	if w.count == 0 {
		delete(node.waiting, key)
		delete(a.waiting[key], node)
		if len(a.waiting[key]) == 0 {
			delete(a.waiting, key)
		}
		return
	}
	node.waiting[key] = w
	if a.waiting[key] == nil {
		a.waiting[key] = map[*nodeDemand]waitingRequests{}
	}
	a.waiting[key][node] = w
}

// setRunning sets how many requests of a node run on a worker for a model.
func (a *demandAggregator) setRunning(node *nodeDemand, worker, model string, count int) {
	change := count - node.running[worker][model]
	if change == 0 {
		return
	}
	addRunning(node.running, worker, model, change)
	addRunning(a.running, worker, model, change)
	a.changedWorkers[worker] = true
}

// addRunning adds change to a count and removes counts that become 0.
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

// subtract removes a node's waiting and running requests from the sums.
func (a *demandAggregator) subtract(node *nodeDemand) {
	for key := range node.waiting {
		a.setWaiting(node, key, waitingRequests{})
	}
	for worker, counts := range node.running {
		for model := range counts {
			a.setRunning(node, worker, model, 0)
		}
	}
}

// counterIncrease returns by how much a node's counter rose since its last message.
// It returns 0 for the first message of a node, whose requests may have arrived
// at any time since the node's process started.
func counterIncrease(previous map[demandKey]int64, key demandKey, count int64, nodeKnown bool) int64 {
	before, seen := previous[key]
	previous[key] = count
	if !nodeKnown && !seen {
		return 0
	}
	if count < before {
		return count // The node's process was restarted.
	}
	return count - before
}

func (a *demandAggregator) rateOf(now time.Time, key demandKey) *rate {
	r, found := a.rates[key]
	if !found {
		r = &rate{updatedAt: now}
		a.rates[key] = r
	}
	return r
}

// fastRate returns the fast rate of requests for a key, 0 if it is not tracked.
func (a *demandAggregator) fastRate(key demandKey) float64 {
	if r, found := a.rates[key]; found {
		return r.fast
	}
	return 0
}

// modelRate returns the fast rate of requests for a model and its adapters.
func (a *demandAggregator) modelRate(service, model string) float64 {
	sum := 0.0
	for key, r := range a.rates {
		if key.service == service && key.model == model {
			sum += r.fast
		}
	}
	return sum
}

// isWaiting reports whether requests wait for a model or an adapter of it.
func (a *demandAggregator) isWaiting(service, model string) bool {
	for key := range a.waiting {
		if key.service == service && key.model == model {
			return true
		}
	}
	return false
}

// nodeTimeout is the time after a node's last message at which its demand is dropped.
const nodeTimeout = 1500 * time.Millisecond

// expire drops the demand of nodes past nodeTimeout and rates below minTrackedRate.
func (a *demandAggregator) expire(now time.Time) {
	for name, node := range a.nodes {
		if now.Sub(node.lastMessageAt) > nodeTimeout {
			a.subtract(node)
			delete(a.nodes, name)
		}
	}
	for key, r := range a.rates {
		if r.decay(now); r.slow < minTrackedRate {
			delete(a.rates, key)
		}
	}
}

// minTrackedRate is the slow rate, in requests per second, below which a key's rate is dropped.
const minTrackedRate = 0.001

// waitingFor sums up the waiting requests of all nodes for a key.
func (a *demandAggregator) waitingFor(key demandKey) waitingRequests {
	var sum waitingRequests
	for _, w := range a.waiting[key] {
		if sum.count == 0 || w.earliestStart.Before(sum.earliestStart) {
			sum.earliestStart = w.earliestStart
		}
		if sum.count == 0 || w.earliestDue.Before(sum.earliestDue) {
			sum.earliestDue = w.earliestDue
		}
		sum.count += w.count
	}
	return sum
}

// takeChangedWorkers returns the workers whose running requests changed since the last call.
func (a *demandAggregator) takeChangedWorkers() map[string]bool {
	changedWorkers := a.changedWorkers
	a.changedWorkers = map[string]bool{}
	return changedWorkers
}
