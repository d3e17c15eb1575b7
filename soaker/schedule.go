package soaker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/disturber"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// act is something that happens to the world.
type act struct {
	name string
	// planned is set when it is no fault: promises hold through it.
	planned bool
	// do does it and returns when it is over.
	do func()
}

// schedule draws acts, which overlap.
type schedule struct {
	world  *world
	random *rand.Rand
	only   string
	began  time.Time
	done   []string
	// under holds the acts under way.
	under sync.WaitGroup
	// mu guards busy, the nodes and sites that an act has.
	mu   sync.Mutex
	busy map[any]bool
}

func newSchedule(w *world, random *rand.Rand, only string) *schedule {
	return &schedule{world: w, random: random, only: only, began: time.Now(), busy: map[any]bool{}}
}

// Pauses between two acts; one in seriesShare follows at once.
const (
	shortestPause = 200 * time.Millisecond
	longestPause  = 1800 * time.Millisecond
	seriesShare   = 4
)

// Phases: after stormTime of all acts comes calmPhase of planned ones only, in which the promises with a bound in
// seconds hold once the last faults are over.
const (
	stormTime = 6 * time.Second
	calmPhase = 9 * time.Second
)

// isCalm reports whether only planned acts may begin now.
func (s *schedule) isCalm() bool { return time.Since(s.began)%(stormTime+calmPhase) > stormTime }

// run begins acts until the deadline and returns once all are over.
func (s *schedule) run(deadline time.Time) []string {
	for time.Now().Before(deadline) {
		if next, possible := s.draw(); possible {
			s.done = append(s.done, fmt.Sprintf("%.1fs %s", time.Since(s.began).Seconds(), next.name))
			s.start(next)
		}
		if s.random.IntN(seriesShare) > 0 {
			time.Sleep(shortestPause + time.Duration(s.random.Int64N(int64(longestPause-shortestPause))))
		}
	}
	s.under.Wait()
	return s.done
}

func (s *schedule) start(next act) {
	end := func() {}
	if !next.planned {
		end = s.world.begin()
	}
	s.under.Add(1)
	go func() {
		defer s.under.Done()
		defer end()
		next.do()
	}()
}

// take reserves a node or site for one act.
func (s *schedule) take(thing any) (release func(), free bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[thing] {
		return nil, false
	}
	s.busy[thing] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, thing)
	}, true
}

// draw returns the next act, or false when its victim is taken.
func (s *schedule) draw() (act, bool) {
	n := s.world.nodes[s.random.IntN(len(s.world.nodes))]
	at := s.world.sites[s.random.IntN(len(s.world.sites))]
	span := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(3700*time.Millisecond)))
	acts := append(s.nodeActs(n, span), append(s.storeActs(span), s.workerActs(at, span)...)...)
	acts = append(acts, act{name: "configuration", planned: true, do: s.world.configure})
	if s.isCalm() {
		acts = lo.Filter(acts, func(a act, _ int) bool { return a.planned })
	}
	next := acts[s.random.IntN(len(acts))]
	if !strings.HasPrefix(next.name, s.only) {
		return act{}, false
	}
	var victim any
	switch {
	case strings.HasPrefix(next.name, "node"):
		victim = n
	case strings.HasPrefix(next.name, "worker"):
		victim = at
	case strings.HasPrefix(next.name, "store"):
		victim = s.world.store
	default:
		return next, true
	}
	release, free := s.take(victim)
	if !free {
		return act{}, false
	}
	do := next.do
	next.do = func() { defer release(); do() }
	return next, true
}

// restart starts a node again after a pause.
func (s *schedule) restart(n *node, pause time.Duration) {
	n.awaitEnd()
	time.Sleep(pause)
	if err := s.world.startNode(n); err != nil {
		s.world.fail("SOAK", err.Error())
	}
}

func (s *schedule) nodeActs(n *node, span time.Duration) []act {
	return []act{
		{name: "node killed " + n.name, do: func() { n.signal(syscall.SIGKILL); s.restart(n, span/4) }},
		{name: "node paused " + n.name, do: func() { n.signal(syscall.SIGSTOP); time.Sleep(span); n.signal(syscall.SIGCONT) }},
		{name: "node stopped " + n.name, planned: true, do: func() { n.signal(syscall.SIGTERM); s.restart(n, span/8) }},
		{name: "node reloaded " + n.name, planned: true, do: func() { n.awaitStarted(); n.signal(syscall.SIGHUP) }},
		{name: "node cut from the store " + n.name, do: func() { s.disturb(n.store, disturber.ModeSilent, span) }},
		{name: "node hears the store one way " + n.name, do: func() { s.disturb(n.store, disturber.ModeOneWay, span) }},
		{name: "node far from the store " + n.name, do: func() { s.disturb(n.store, disturber.ModeDelay, span) }},
		{name: "node loses its connections to the store " + n.name, do: n.store.Reset},
	}
}

func (s *schedule) disturb(proxy *disturber.Proxy, mode disturber.Mode, span time.Duration) {
	proxy.SetMode(mode)
	time.Sleep(span)
	proxy.SetMode(disturber.ModePass)
	proxy.Reset() // What was lost stays lost.
}

func (s *schedule) storeActs(span time.Duration) []act {
	acts := []act{}
	for _, fault := range []fleetstandin.Fault{fleetstandin.FaultDown, fleetstandin.FaultHang, fleetstandin.FaultLose, fleetstandin.FaultSlow} {
		acts = append(acts, act{name: "store " + string(fault), do: func() {
			s.world.store.SetFault(fault)
			time.Sleep(span)
			s.world.store.SetFault(fleetstandin.FaultNone)
		}})
	}
	return acts
}

// lapseTime is how long a dead worker's entry stays; leaveTime for how long a leaving worker goes on.
const (
	lapseTime = 3 * beatPause
	leaveTime = 4 * time.Second
)

func (s *schedule) workerActs(at *site, span time.Duration) []act {
	return []act{
		{name: "worker crashes " + at.service, do: func() {
			at.stopWorker()
			at.proxy.Reset()
			time.Sleep(lapseTime)
			at.worker.DropEntry(s.world.store)
			time.Sleep(span / 4)
			s.world.startWorker(at, nil, nil)
		}},
		{name: "worker leaves " + at.service, planned: true, do: func() {
			at.worker.Leave()
			at.worker.Beat(s.world.store, at.proxy.Address())
			time.Sleep(leaveTime)
			if !at.worker.AwaitIdle(time.Now().Add(leaveTime)) {
				defer s.world.begin()() // What still runs breaks off.
			}
			at.stopWorker()
			at.worker.DropEntry(s.world.store)
			s.world.startWorker(at, nil, nil)
		}},
		{name: "worker silent " + at.service, do: func() { s.disturb(at.proxy, disturber.ModeSilent, span) }},
		{name: "worker heard one way " + at.service, do: func() { s.disturb(at.proxy, disturber.ModeOneWay, span) }},
		{name: "worker far " + at.service, do: func() { s.disturb(at.proxy, disturber.ModeDelay, span) }},
		{name: "worker resets " + at.service, do: at.proxy.Reset},
	}
}
