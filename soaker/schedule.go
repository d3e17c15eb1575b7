package soaker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/faultinjector"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// action is a fault or a planned operation that is applied to the environment.
type action struct {
	name string
	// planned is set for operations that are not faults. All guarantees must hold while they run.
	planned bool
	// owner is what the action affects, as beginFault describes it.
	owner any
	// run performs the action and returns when it has ended, for a killed node after the restart.
	run func()
}

// schedule draws random actions and runs them concurrently.
type schedule struct {
	environment *environment
	random      *rand.Rand
	// additions draws the actions of startAddition, departures those of startDeparture, successions those of startSuccession, withdrawals those of
	// startWithdrawal; they are separate, so that they
	// do not change which other actions a seed draws.
	additions, departures, successions, withdrawals *rand.Rand
	namePrefix                                      string
	startedAt                                       time.Time
	performed                                       []string
	// running counts the actions that have not ended.
	running sync.WaitGroup
	// mu guards reserved, which holds the nodes, the endpoints and the store that an action is running on.
	mu       sync.Mutex
	reserved map[any]bool
}

func newSchedule(e *environment, random, additions, departures, successions, withdrawals *rand.Rand, namePrefix string) *schedule {
	return &schedule{environment: e, random: random, additions: additions, departures: departures, successions: successions, withdrawals: withdrawals, namePrefix: namePrefix, startedAt: time.Now(), reserved: map[any]bool{}}
}

// Pauses between two actions are uniformly distributed. On average, one action in immediateShare follows the previous one without a pause.
const (
	shortestPause  = 200 * time.Millisecond
	longestPause   = 1800 * time.Millisecond
	immediateShare = 4
	// additionShare is the average number of draws of an action between two additions, departureShare between two departures,
	// successionShare between two successions, withdrawalShare between two withdrawals of keys
	// beside those that follow departures.
	additionShare   = 3
	departureShare  = 3
	successionShare = 2
	withdrawalShare = 4
)

// A run alternates between faultPhase, in which all actions may start, and plannedPhase, in which only planned ones may.
// The guarantees with a time limit can be checked in plannedPhase, once the last faults have ended.
const (
	faultPhase   = 6 * time.Second
	plannedPhase = 9 * time.Second
)

// onlyPlanned reports whether only planned actions may start now.
func (s *schedule) onlyPlanned() bool {
	return time.Since(s.startedAt)%(faultPhase+plannedPhase) > faultPhase
}

// run starts actions until the deadline and waits until all have ended. It returns the name of each with its start time.
func (s *schedule) run(deadline time.Time) []string {
	for time.Now().Before(deadline) {
		if next, drawn := s.drawAction(); drawn {
			s.performed = append(s.performed, fmt.Sprintf("%.1fs %s", time.Since(s.startedAt).Seconds(), next.name))
			s.start(next)
		}
		if s.additions.IntN(additionShare) == 0 {
			s.startAddition()
		}
		if s.departures.IntN(departureShare) == 0 {
			s.startDeparture(deadline)
			s.startWithdrawal() // Nodes and the store are away longer than the bound on keys.
		}
		if s.successions.IntN(successionShare) == 0 {
			s.startSuccession()
		}
		if s.withdrawals.IntN(withdrawalShare) == 0 {
			s.startWithdrawal()
		}
		if s.random.IntN(immediateShare) > 0 {
			time.Sleep(shortestPause + time.Duration(s.random.Int64N(int64(longestPause-shortestPause))))
		}
	}
	s.running.Wait()
	return s.performed
}

func (s *schedule) start(next action) {
	end := func() {}
	if !next.planned {
		end = s.environment.beginFault(next.owner)
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer end()
		next.run()
	}()
}

// reserve reserves a node, an endpoint or the store for one action.
func (s *schedule) reserve(resource any) (release func(), free bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[resource] {
		return nil, false
	}
	s.reserved[resource] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.reserved, resource)
	}, true
}

// drawAction returns a random action, or false if its name lacks the prefix or another action has reserved its target.
func (s *schedule) drawAction() (action, bool) {
	n := s.environment.nodes[s.random.IntN(len(s.environment.nodes))]
	target := s.environment.endpoints[s.random.IntN(len(s.environment.endpoints))]
	duration := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(3700*time.Millisecond)))
	actions := append(s.nodeActions(n, duration), append(s.storeActions(duration), s.workerActions(target, duration)...)...)
	actions = append(actions, action{name: "configuration", planned: true, run: s.environment.publishVersion})
	if s.onlyPlanned() {
		actions = lo.Filter(actions, func(a action, _ int) bool { return a.planned })
	}
	next := actions[s.random.IntN(len(actions))]
	if !strings.HasPrefix(next.name, s.namePrefix) {
		return action{}, false
	}
	var resource any
	switch {
	case strings.HasPrefix(next.name, "node"):
		resource = n
	case strings.HasPrefix(next.name, "worker"):
		resource = target
	case strings.HasPrefix(next.name, "store"):
		resource = s.environment.store
	default:
		return next, true
	}
	release, free := s.reserve(resource)
	if !free {
		return action{}, false
	}
	run := next.run
	next.owner, next.run = resource, func() { defer release(); run() }
	return next, true
}

// restart waits for the end of a node's process and starts a new one after a pause.
func (s *schedule) restart(n *node, pause time.Duration) {
	n.awaitEnd()
	time.Sleep(pause)
	if err := s.environment.startNode(n); err != nil {
		s.environment.addFailure("SOAK", err.Error())
	}
}

func (s *schedule) nodeActions(n *node, duration time.Duration) []action {
	return []action{
		{name: "node killed " + n.name, run: func() { n.signal(syscall.SIGKILL); s.restart(n, duration/4) }},
		{name: "node paused " + n.name, run: func() { n.signal(syscall.SIGSTOP); time.Sleep(duration); n.signal(syscall.SIGCONT) }},
		{name: "node stopped " + n.name, planned: true, run: func() { n.signal(syscall.SIGTERM); s.restart(n, duration/8) }},
		{name: "node reloaded " + n.name, planned: true, run: func() { n.awaitStarted(); n.signal(syscall.SIGHUP) }},
		{name: "node cut from the store " + n.name, run: func() { s.impair(n.storeProxy, faultinjector.ModeDropAll, duration) }},
		{name: "node hears the store one way " + n.name, run: func() { s.impair(n.storeProxy, faultinjector.ModeDropResponses, duration) }},
		{name: "node far from the store " + n.name, run: func() { s.impair(n.storeProxy, faultinjector.ModeDelay, duration) }},
		{name: "node loses its connections to the store " + n.name, run: n.storeProxy.Reset},
	}
}

// impair sets a proxy's mode for the duration and then resets its connections, since the bytes that it dropped are not
// sent again.
func (s *schedule) impair(proxy *faultinjector.Proxy, mode faultinjector.Mode, duration time.Duration) {
	proxy.SetMode(mode)
	time.Sleep(duration)
	proxy.SetMode(faultinjector.ModePass)
	proxy.Reset()
}

func (s *schedule) storeActions(duration time.Duration) []action {
	actions := []action{}
	for _, fault := range []fleetstandin.Fault{fleetstandin.FaultDown, fleetstandin.FaultHang, fleetstandin.FaultDropResponse, fleetstandin.FaultSlow} {
		actions = append(actions, action{name: "store " + string(fault), run: func() {
			s.environment.store.SetFault(fault)
			time.Sleep(duration)
			s.environment.store.SetFault(fleetstandin.FaultNone)
		}})
	}
	return actions
}

// startAddition starts one of the additions, unless another action runs on its target or the run is restricted to others.
func (s *schedule) startAddition() {
	target := s.environment.endpoints[s.additions.IntN(len(s.environment.endpoints))]
	duration := 300*time.Millisecond + time.Duration(s.additions.Int64N(int64(3700*time.Millisecond)))
	additions := []action{
		{name: "store restored", run: func() { s.restore(duration) }},
		{name: "worker cuts streams " + target.service, run: func() { s.cutStreams(target, duration) }},
		{name: "worker departs " + target.service, planned: true, run: func() { s.depart(target) }},
		{name: "worker pauses " + target.service, planned: true, run: func() { target.pause(time.Now().Add(duration), len(s.environment.nodes)) }},
	}
	if s.onlyPlanned() {
		additions = lo.Filter(additions, func(a action, _ int) bool { return a.planned })
	}
	next := additions[s.additions.IntN(len(additions))]
	if !strings.HasPrefix(next.name, s.namePrefix) {
		return
	}
	next.owner = target
	if strings.HasPrefix(next.name, "store") {
		next.owner = s.environment.store
	}
	s.startReserved(next)
}

// startReserved starts an action unless another one runs on its owner.
func (s *schedule) startReserved(next action) {
	release, free := s.reserve(next.owner)
	if !free {
		return
	}
	run := next.run
	next.run = func() { defer release(); run() }
	s.performed = append(s.performed, fmt.Sprintf("%.1fs %s", time.Since(s.startedAt).Seconds(), next.name))
	s.start(next)
}

// restore brings back a copy of the store that is as old as the duration.
func (s *schedule) restore(age time.Duration) {
	copied := s.environment.store.Copy()
	time.Sleep(age)
	s.environment.store.SetFault(fleetstandin.FaultDown)
	time.Sleep(restoreTime)
	s.environment.restoreStore(copied)
	s.environment.store.SetFault(fleetstandin.FaultNone)
	time.Sleep(entryExpiry)
	s.environment.store.DeleteUnwritten(copied)
}

// depart makes a worker leave that says so in its responses some time before its heartbeats do.
func (s *schedule) depart(target *endpoint) {
	target.replacing.Lock()
	defer target.replacing.Unlock()
	target.depart()
	time.Sleep(departNotice)
	s.leave(target)
}

// startSuccession starts actions in which workers of a service follow each other at their addresses at once, and write their refusals several times.
func (s *schedule) startSuccession() {
	service := s.environment.endpoints[s.successions.IntN(len(s.environment.endpoints))].service
	how := soakSuccessions[s.successions.IntN(len(soakSuccessions))]
	count := 1 + s.successions.IntN(maxSuccessions)
	name := "worker " + how + " " + service
	planned := how == "rename" // It breaks nothing off.
	if s.onlyPlanned() && !planned || !strings.HasPrefix(name, s.namePrefix) {
		return
	}
	for _, target := range s.environment.endpoints {
		if target.service != service {
			continue
		}
		s.startReserved(action{name: name, owner: target, planned: planned, run: func() {
			target.setFaults(fleetstandin.Faults{Repeat: 1, Copies: count})
			defer target.setFaults(fleetstandin.Faults{})
			for range count {
				successions[how](s.environment, target)
				time.Sleep(entryExpiry)
			}
		}})
		if !planned {
			return // One worker at a time breaks requests off.
		}
	}
}

// soakSuccessions are the successions that a soak draws, at most maxSuccessions after each other. In a soak, an address keeps its service.
var soakSuccessions = []string{"rename", "restart", "respawn"}

const maxSuccessions = 5

// streamCutShare is such that a worker that cuts streams cuts one in so many.
const streamCutShare = 3

// cutStreams makes a worker cut streams for a time.
func (s *schedule) cutStreams(target *endpoint, duration time.Duration) {
	target.cutStreams(streamCutShare)
	time.Sleep(duration)
	target.cutStreams(0)
}

// departNotice is how long only the responses of a departing worker say that it leaves.
const departNotice = 1500 * time.Millisecond

// restoreTime is how long the store is away before it comes back from an older copy.
const restoreTime = 300 * time.Millisecond

// entryExpiry is how long the store keeps the entry of a crashed worker. workerLeaveTime is how long a leaving worker still
// accepts requests; after that, it waits for its running requests to end, again for at most workerLeaveTime.
const (
	entryExpiry     = 3 * heartbeatInterval
	workerLeaveTime = 4 * time.Second
)

// leave replaces a worker that leaves; the caller holds replacing.
func (s *schedule) leave(target *endpoint) {
	target.worker.Leave()
	target.worker.WriteHeartbeat(s.environment.store, target.proxy.Address())
	time.Sleep(workerLeaveTime)
	if !target.worker.AwaitIdle(time.Now().Add(workerLeaveTime)) {
		defer s.environment.beginFault(target)() // Stopping the worker breaks off the requests that still run.
	}
	target.stopWorker()
	target.worker.DeleteEntry(s.environment.store)
	s.environment.startWorker(target, nil, nil)
}

func (s *schedule) workerActions(target *endpoint, duration time.Duration) []action {
	return []action{
		{name: "worker crashes " + target.service, run: func() {
			target.replacing.Lock()
			defer target.replacing.Unlock()
			target.stopWorker()
			target.proxy.Reset()
			time.Sleep(entryExpiry)
			target.worker.DeleteEntry(s.environment.store)
			time.Sleep(duration / 4)
			s.environment.startWorker(target, nil, nil)
		}},
		{name: "worker leaves " + target.service, planned: true, run: func() {
			target.replacing.Lock()
			defer target.replacing.Unlock()
			s.leave(target)
		}},
		{name: "worker silent " + target.service, run: func() { s.impair(target.proxy, faultinjector.ModeDropAll, duration) }},
		{name: "worker heard one way " + target.service, run: func() { s.impair(target.proxy, faultinjector.ModeDropResponses, duration) }},
		{name: "worker far " + target.service, run: func() { s.impair(target.proxy, faultinjector.ModeDelay, duration) }},
		{name: "worker resets " + target.service, run: target.proxy.Reset},
	}
}
