package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Load of the callers.
const (
	callerCount = 12
	// requestPause is the mean pause between two requests of one caller.
	requestPause = 120 * time.Millisecond
	// patience is how long callers wait, answerSlack how much later a final answer may come.
	patience    = 5 * time.Second
	answerSlack = 1500 * time.Millisecond
	// readyPause is the pause between two looks at readiness; two misses take a node out, as at the balancer.
	readyPause = 250 * time.Millisecond
	misses     = 2
	// calmTime is how long the load goes on after the last fault, recoveryTime when callers must be served again.
	calmTime     = 14 * time.Second
	recoveryTime = 9 * time.Second
	// applyTime is within what a version is in force at a node that met no fault.
	applyTime = 2 * time.Second
)

// attempt is one request and its end.
type attempt struct {
	id      string
	kind    fleetstandin.Kind
	node    *node
	start   int // the node's process
	sentAt  time.Time
	endedAt time.Time
	end     fleetstandin.End
	stopped bool // the process was told to stop before or while it was under way
}

// callers send requests and keep what they saw.
type callers struct {
	world   *world
	random  *rand.Rand
	stopped chan struct{}
	under   sync.WaitGroup
	// mu guards everything below.
	mu       sync.Mutex
	ready    map[*node]int // misses in a row
	attempts []*attempt
	broken   []string
	calmAt   time.Time
}

func newCallers(w *world, random *rand.Rand) *callers {
	return &callers{world: w, random: random, stopped: make(chan struct{}), ready: map[*node]int{}}
}

func (c *callers) run() {
	c.under.Add(1 + callerCount + len(c.world.nodes))
	go c.watchReadiness()
	for i := range callerCount {
		go c.call(i, rand.New(rand.NewPCG(c.random.Uint64(), uint64(i))))
	}
	for _, n := range c.world.nodes {
		go c.probeVersions(n)
	}
}

func (c *callers) sleep(pause time.Duration) bool {
	select {
	case <-c.stopped:
		return false
	case <-time.After(pause):
		return true
	}
}

func (c *callers) watchReadiness() {
	defer c.under.Done()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for c.sleep(readyPause) {
		for _, n := range c.world.nodes {
			ready := fleetstandin.Ready(client, n.ready)
			c.mu.Lock()
			if ready {
				c.ready[n] = 0
			} else {
				c.ready[n]++
			}
			c.mu.Unlock()
		}
	}
}

// pick returns a node that takes new connections, or any.
func (c *callers) pick(random *rand.Rand) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*node
	for _, n := range c.world.nodes {
		if c.ready[n] < misses {
			open = append(open, n)
		}
	}
	if len(open) == 0 {
		open = c.world.nodes
	}
	return open[random.IntN(len(open))]
}

// call is one caller: it keeps its connection to a node for several requests,
// also after the node has been told to stop.
func (c *callers) call(index int, random *rand.Rand) {
	defer c.under.Done()
	kinds := []fleetstandin.Kind{fleetstandin.KindOnce, fleetstandin.KindIdempotent, fleetstandin.KindStream, fleetstandin.KindStream, fleetstandin.KindResumable}
	for number := 0; ; {
		transport := &http.Transport{MaxIdleConnsPerHost: 1}
		client := &http.Client{Transport: transport, Timeout: patience + answerSlack}
		n := c.pick(random)
		for range 1 + random.IntN(12) {
			if !c.sleep(time.Duration(random.ExpFloat64() * float64(requestPause))) {
				transport.CloseIdleConnections()
				return
			}
			number++
			kind := kinds[random.IntN(len(kinds))]
			a := &attempt{id: fmt.Sprintf("c%d-%d", index, number), kind: kind, node: n}
			c.send(client, a, c.world.models[random.IntN(len(c.world.models))])
			if a.end.Status == 0 {
				break // The connection is gone.
			}
		}
		transport.CloseIdleConnections()
	}
}

func (c *callers) send(client *http.Client, a *attempt, model string) {
	stoppedBefore, start := a.node.stopping()
	a.start = start
	a.sentAt = time.Now()
	a.end = fleetstandin.Send(client, a.node.callers, a.kind, "/"+string(a.kind)+"/x", a.id, model, patience)
	a.endedAt = time.Now()
	stoppedAfter, startAfter := a.node.stopping()
	a.stopped = !stoppedBefore.IsZero() || !stoppedAfter.IsZero() || startAfter != start
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// probeVersions asks a node for the newest version's route, as the operator does.
func (c *callers) probeVersions(n *node) {
	defer c.under.Done()
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	seen, seenStart := 0, 0
	for number := 0; c.sleep(readyPause); number++ {
		c.world.mu.Lock()
		newest := c.world.newest
		writtenAt := c.world.versions[newest]
		c.world.mu.Unlock()
		calm := c.world.calmSince()
		_, start := n.stopping()
		if start != seenStart {
			seen, seenStart = 0, start
		}
		sentAt := time.Now()
		end := fleetstandin.Send(client, n.callers, fleetstandin.KindIdempotent, fleetstandin.VersionPath(newest), fmt.Sprintf("p-%s-%d", n.name, number), "", patience)
		_, startAfter := n.stopping()
		switch {
		case end.Status == 0 || end.Status == http.StatusServiceUnavailable || startAfter != start:
		case end.Status != http.StatusNotFound:
			seen = max(seen, newest)
		case seen >= newest:
			c.breach("CONFIG", fmt.Sprintf("node %s went back behind version %d", n.name, newest))
		case sentAt.After(calm) && sentAt.Sub(laterOf(writtenAt, calm)) > applyTime:
			c.breach("CONFIG", fmt.Sprintf("node %s does not know version %d %s after it was written", n.name, newest, sentAt.Sub(writtenAt).Round(time.Millisecond)))
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *callers) breach(rule, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, rule+": "+what)
}

// awaitCalm lets the load go on after the last fault.
func (c *callers) awaitCalm() {
	c.mu.Lock()
	c.calmAt = time.Now()
	c.mu.Unlock()
	time.Sleep(calmTime)
}

func (c *callers) stop() {
	close(c.stopped)
	c.under.Wait()
}
