package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Parameters of the callers' load.
const (
	callerCount = 12
	// meanRequestPause is the mean of the exponentially distributed pause between two requests of one caller.
	meanRequestPause = 120 * time.Millisecond
	// requestTimeout is the deadline of a request; its response may end up to timeoutTolerance later.
	requestTimeout   = 5 * time.Second
	timeoutTolerance = 1500 * time.Millisecond
	// readinessPoll is the interval of readiness probes. After missesUntilUnready failed probes in a row
	// a node gets no new connections, as behind a load balancer.
	readinessPoll      = 250 * time.Millisecond
	missesUntilUnready = 2
	// faultFreeTime is how long the load continues after the last fault. Most requests sent later than
	// recoveryTime after that fault must succeed again; see minAnsweredShare.
	faultFreeTime = 14 * time.Second
	recoveryTime  = 9 * time.Second
	// applyTime is the longest time in which a node that met no fault must apply a new configuration version.
	applyTime = 2 * time.Second
)

// attempt is one request and its result.
type attempt struct {
	id            string
	number        int // of the caller's attempts
	kind          fleetstandin.Kind
	node          *node
	processNumber int // the node's process that was running when the request was sent
	sentAt        time.Time
	endedAt       time.Time
	result        fleetstandin.Result
	nodeStopped   bool // the node's process was signalled to stop before or during the request
	credential    credential
}

// callers send requests and record the result of each.
type callers struct {
	environment *environment
	random      *rand.Rand
	stopped     chan struct{}
	running     sync.WaitGroup
	// mu guards the fields below.
	mu            sync.Mutex
	missedProbes  map[*node]int // failed readiness probes in a row
	attempts      []*attempt
	short         []*attempt // those that stopped short of the ends of their bodies
	breaches      []string
	faultsEndedAt time.Time
}

func newCallers(e *environment, random *rand.Rand) *callers {
	return &callers{environment: e, random: random, stopped: make(chan struct{}), missedProbes: map[*node]int{}}
}

func (c *callers) run() {
	c.running.Add(8 + callerCount + len(c.environment.nodes))
	go c.watchReadiness()
	for i := range callerCount {
		go c.runCaller(i, rand.New(rand.NewPCG(c.random.Uint64(), uint64(i))))
	}
	for _, n := range c.environment.nodes {
		go c.probeVersions(n)
	}
	go c.sendCrashing(rand.New(rand.NewPCG(c.random.Uint64(), callerCount)))
	go c.nameLimits(rand.New(rand.NewPCG(c.random.Uint64(), callerCount+1)))
	go c.sendStreams(rand.New(rand.NewPCG(c.random.Uint64(), callerCount+4)))
	go c.sendCrashingParts(rand.New(rand.NewPCG(c.random.Uint64(), callerCount+2)))
	go c.sendParts(soundPartPause, rand.New(rand.NewPCG(c.random.Uint64(), callerCount+3)), c.environment.parts.sendSound)
	go c.makeFaulty(rand.New(rand.NewPCG(c.random.Uint64(), callerCount+5)))
	go c.stopShort(rand.New(rand.NewPCG(c.random.Uint64(), callerCount+6)))
}

// sleep waits for the duration of the pause and returns false if the load is stopped before the pause ends.
func (c *callers) sleep(pause time.Duration) bool {
	select {
	case <-c.stopped:
		return false
	case <-time.After(pause):
		return true
	}
}

func (c *callers) watchReadiness() {
	defer c.running.Done()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for c.sleep(readinessPoll) {
		for _, n := range c.environment.nodes {
			ready := fleetstandin.IsReady(client, n.readyAddress)
			c.mu.Lock()
			if ready {
				c.missedProbes[n] = 0
			} else {
				c.missedProbes[n]++
			}
			c.mu.Unlock()
		}
	}
}

// pick returns a random node among the ready ones, or among all if none is ready.
func (c *callers) pick(random *rand.Rand) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ready []*node
	for _, n := range c.environment.nodes {
		if c.missedProbes[n] < missesUntilUnready {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		ready = c.environment.nodes
	}
	return ready[random.IntN(len(ready))]
}

// runCaller sends requests until the load is stopped. It sends several requests over one connection,
// even after the node has been signalled to stop, and then picks a node again and connects to it.
func (c *callers) runCaller(index int, random *rand.Rand) {
	defer c.running.Done()
	kinds := []fleetstandin.Kind{fleetstandin.KindOnce, fleetstandin.KindIdempotent, fleetstandin.KindStream, fleetstandin.KindStream, fleetstandin.KindResumable}
	for number := 0; ; {
		transport := &http.Transport{MaxIdleConnsPerHost: 1}
		client := &http.Client{Transport: transport, Timeout: requestTimeout + timeoutTolerance}
		n := c.pick(random)
		for range 1 + random.IntN(12) {
			if !c.sleep(time.Duration(random.ExpFloat64() * float64(meanRequestPause))) {
				transport.CloseIdleConnections()
				return
			}
			number++
			kind := kinds[random.IntN(len(kinds))]
			a := &attempt{id: fmt.Sprintf("c%d-%d", index, number), number: number, kind: kind, node: n, credential: c.environment.tenants.draw(random)}
			c.send(client, a, c.environment.models[random.IntN(len(c.environment.models))])
			if a.result.Status == 0 {
				break // The connection failed.
			}
		}
		transport.CloseIdleConnections()
	}
}

// crashingPause is the pause between two attempts of the crashing request.
const crashingPause = 400 * time.Millisecond

// sendCrashing sends a request that crashes workers to random nodes until the load is stopped.
func (c *callers) sendCrashing(random *rand.Rand) {
	defer c.running.Done()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout + timeoutTolerance}
	for number := 0; c.sleep(crashingPause); number++ {
		fleetstandin.SendCrashing(client, c.pick(random).callerAddress, fleetstandin.KindStream, "/stream/x", fmt.Sprintf("crash-%d", number), c.environment.models[0], requestTimeout)
	}
}

// A worker names a limit of limitPerSecond for limitedTime; the next one follows after limitPause.
const (
	limitPerSecond = 2.5
	limitedTime    = 9 * time.Second
	limitPause     = 2 * time.Second
)

// nameLimits makes one random worker after the other name a limit until the load is stopped.
func (c *callers) nameLimits(random *rand.Rand) {
	defer c.running.Done()
	for c.sleep(limitPause) {
		target := c.environment.endpoints[random.IntN(len(c.environment.endpoints))]
		target.setLimit(limitPerSecond)
		running := c.sleep(limitedTime)
		target.setLimit(0)
		if !running {
			return
		}
	}
}

// Half of the workers are faulty for faultyTime, and turn all requests away but one in faultyRunsEvery; others follow after faultyPause. Once the last fault
// has ended, they turn no more away: the share that must be answered then is that of workers with room.
const (
	faultyTime      = 5 * time.Second
	faultyPause     = 500 * time.Millisecond
	faultyRunsEvery = 2
)

// faultyWorkers are what faulty workers do.
var faultyWorkers = []fleetstandin.Faults{
	{Repeat: 2, Lose: 33, Early: 4, Detach: 5},
	{Repeat: 2, Nameless: true, Lose: 33, Early: 4, Detach: 5},
	{Repeat: 3, Early: 2, Detach: 3, Lose: 33, Unmarked: 20},
}

// makeFaulty makes random workers faulty until the load is stopped.
func (c *callers) makeFaulty(random *rand.Rand) {
	defer c.running.Done()
	endpoints := c.environment.endpoints
	for c.sleep(faultyPause) {
		order := random.Perm(len(endpoints))[:len(endpoints)/2]
		for _, i := range order {
			endpoints[i].setFaults(faultyWorkers[random.IntN(len(faultyWorkers))])
			if !c.faultsEnded() {
				endpoints[i].shed(faultyRunsEvery)
			}
		}
		running := c.sleep(faultyTime)
		for _, i := range order {
			endpoints[i].setFaults(fleetstandin.Faults{})
			endpoints[i].shed(0)
		}
		if !running {
			return
		}
	}
}

// faultsEnded reports whether the last fault has ended.
func (c *callers) faultsEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.faultsEndedAt.IsZero()
}

// A request in longBodyEvery has a body of longBodyBytes, which arrives after its head.
const (
	longBodyEvery = 4
	longBodyBytes = 60 << 10
)

// bodyOf returns the body of the request with a number.
func bodyOf(id string, number int) string {
	body := "body of " + id
	if number%longBodyEvery == 0 {
		body += strings.Repeat(".", longBodyBytes)
	}
	return body
}

func (c *callers) send(client *http.Client, a *attempt, model string) {
	stoppedBefore, processBefore := a.node.stopping()
	a.processNumber = processBefore
	a.sentAt = time.Now()
	a.result = fleetstandin.SendAttempt(client, a.node.callerAddress, a.credential.apply(fleetstandin.Attempt{
		Kind: a.kind, Path: "/" + string(a.kind) + "/x", ID: a.id, Model: model, Body: bodyOf(a.id, a.number), Timeout: requestTimeout,
	}))
	a.endedAt = time.Now()
	stoppedAfter, processAfter := a.node.stopping()
	a.nodeStopped = !stoppedBefore.IsZero() || !stoppedAfter.IsZero() || processAfter != processBefore
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// probeVersions repeatedly requests the route that only the newest configuration version has. A node must not return to
// an earlier version than it has applied, and must apply a new one within applyTime while there are no faults.
func (c *callers) probeVersions(n *node) {
	defer c.running.Done()
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	applied, appliedProcess := 0, 0
	for number := 0; c.sleep(readinessPoll); number++ {
		c.environment.mu.Lock()
		newest := c.environment.newestVersion
		writtenAt := c.environment.versions[newest]
		c.environment.mu.Unlock()
		faultFree := c.environment.faultFreeSince()
		_, processBefore := n.stopping()
		if processBefore != appliedProcess {
			applied, appliedProcess = 0, processBefore
		}
		sentAt := time.Now()
		result := fleetstandin.Send(client, n.callerAddress, fleetstandin.KindIdempotent, fleetstandin.VersionPath(newest), fmt.Sprintf("p-%s-%d", n.name, number), "", requestTimeout)
		_, processAfter := n.stopping()
		switch {
		case result.Status == 0 || result.Status == http.StatusServiceUnavailable || processAfter != processBefore:
		case result.Status != http.StatusNotFound:
			applied = max(applied, newest)
		case applied >= newest:
			c.addBreach("CONFIG", fmt.Sprintf("node %s went back behind version %d", n.name, newest))
		case sentAt.After(faultFree) && sentAt.Sub(laterOf(writtenAt, faultFree)) > applyTime:
			c.addBreach("CONFIG", fmt.Sprintf("node %s does not know version %d %s after it was written", n.name, newest, sentAt.Sub(writtenAt).Round(time.Millisecond)))
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *callers) addBreach(rule, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches = append(c.breaches, rule+": "+detail)
}

// continueWithoutFaults keeps the load running for faultFreeTime after the last fault.
func (c *callers) continueWithoutFaults() {
	c.mu.Lock()
	c.faultsEndedAt = time.Now()
	c.mu.Unlock()
	time.Sleep(faultFreeTime)
}

func (c *callers) stop() {
	close(c.stopped)
	c.running.Wait()
}
