package soaker

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/faultinjector"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// startDeparture starts actions that concern the entries of workers: one leaves by its entry alone, some nodes lose the store for seconds while one leaves so, or
// entries lapse in an outage of the store.
func (s *schedule) startDeparture(deadline time.Time) {
	e, random := s.environment, s.departures
	target := e.endpoints[random.IntN(len(e.endpoints))]
	nodes := lo.Filter(e.nodes, func(*node, int) bool { return random.IntN(isolatedShare) > 0 })
	servesOn := 5*time.Second + time.Duration(random.Int64N(int64(10*time.Second)))
	duration := 3*time.Second + time.Duration(random.Int64N(int64(6*time.Second)))
	how := cuts[random.IntN(len(cuts))]
	sparedShare := 2 * random.IntN(3) // All lapse, half of them, or three of four.
	fault := []fleetstandin.Fault{fleetstandin.FaultDown, fleetstandin.FaultHang}[random.IntN(2)]
	unlisted := action{name: "worker unlisted " + target.service, owner: target, planned: true, run: func() { s.leaveUnlisted(target, servesOn) }}
	unlistedLater := unlisted
	unlistedLater.run = func() { time.Sleep(duration / 2); unlisted.run() }
	isolations := lo.Map(nodes, func(n *node, _ int) action {
		return action{name: fmt.Sprintf("node isolated (%s) %s", how, n.name), owner: n, run: func() { s.isolate(n, how, duration) }}
	})
	drawn := [][]action{
		{unlisted},
		append(isolations, unlistedLater),
		{{name: "store lapses entries", owner: e.store, run: func() {
			e.lapse(rand.New(rand.NewPCG(uint64(duration), 4)), fault, duration, sparedShare)
		}}},
	}[random.IntN(3)]
	for _, next := range drawn {
		if (next.planned || !s.onlyPlanned()) && strings.HasPrefix(next.name, s.namePrefix) && time.Now().Add(servesOn).Before(deadline.Add(workerLeaveTime)) {
			s.startReserved(next)
		}
	}
}

// isolatedShare is such that all nodes but one in so many are isolated together.
const isolatedShare = 3

// leaveUnlisted replaces a worker that leaves by its entry alone and serves on for a time.
func (s *schedule) leaveUnlisted(target *endpoint, servesOn time.Duration) {
	target.replacing.Lock()
	defer target.replacing.Unlock()
	target.leaveUnlisted(s.environment.store)
	time.Sleep(servesOn)
	if !target.worker.AwaitIdle(time.Now().Add(workerLeaveTime)) {
		defer s.environment.beginFault(target)() // Stopping the worker breaks off the requests that still run.
	}
	target.stopWorker()
	s.environment.startWorker(target, nil, nil)
}

// cut is how a node loses the path to the store.
type cut string

// cuts are all of them: connections hang, are refused, or bring no responses.
var cuts = []cut{"hang", "refuse", "mute"}

// begin cuts a node off from the store.
func (c cut) begin(n *node) error {
	switch c {
	case "hang":
		return n.storeProxy.Silence()
	case "refuse":
		n.storeProxy.Refuse()
	case "mute":
		n.storeProxy.SetMode(faultinjector.ModeDropResponses)
	default:
		return fmt.Errorf("cut %q is none of %v", c, cuts)
	}
	return nil
}

// endCut ends the cut of a node from the store. Bytes that were dropped are not sent again.
func (n *node) endCut() error {
	n.storeProxy.SetMode(faultinjector.ModePass)
	defer n.storeProxy.Reset()
	return n.storeProxy.Accept(time.Now().Add(startTimeout))
}

// isolate cuts a node off from the store for a time.
func (s *schedule) isolate(n *node, how cut, duration time.Duration) {
	err := how.begin(n)
	if err == nil {
		time.Sleep(duration)
		err = n.endCut()
	}
	if err != nil {
		s.environment.addFailure("SOAK", err.Error())
	}
}

// Times of entries that lapse in an outage of the store, as the platform gives them: three heartbeats of 1.2 s, and about two seconds.
const (
	lapseTime  = 3600 * time.Millisecond
	returnTime = 2 * time.Second
)

// lapse makes the store fail for a time, in which the entries of workers lapse, of all but one in so many if sparedShare is not 0. They are written again
// within returnTime of its end.
func (e *environment) lapse(random *rand.Rand, fault fleetstandin.Fault, duration time.Duration, sparedShare int) {
	endsAt := time.Now().Add(duration)
	e.store.SetFault(fault)
	time.Sleep(min(lapseTime, duration))
	for _, target := range e.endpoints {
		backAt := endsAt.Add(time.Duration(random.Int64N(int64(returnTime))))
		if spared := sparedShare > 0 && random.IntN(sparedShare) == 0; duration > lapseTime && !spared {
			target.lapse(e.store, backAt)
		}
	}
	time.Sleep(time.Until(endsAt))
	e.store.SetFault(fleetstandin.FaultNone)
}

// maxDrain is how long after the store has acknowledged that a worker leaves a node that no fault affects may still send it requests.
const maxDrain = 2 * time.Second

// checkDepartures returns the breaches of the guarantee that workers which have left get no requests. Unlike the check that the workers make
// themselves, it excuses only nodes that a fault affects themselves, not those beside them.
func (e *environment) checkDepartures() []string {
	late := lo.Filter(e.record.LateArrivals(), func(a fleetstandin.LateArrival, _ int) bool { return a.At.Sub(e.stableFrom(a.LeftAt)) > maxDrain })
	if len(late) == 0 {
		return nil
	}
	senders, err := e.senders(lo.SliceToMap(late, func(a fleetstandin.LateArrival) (string, bool) { return a.Attempt, true }))
	if err != nil {
		return []string{"SOAK: " + err.Error()}
	}
	return lo.FilterMap(late, func(a fleetstandin.LateArrival, _ int) (string, bool) {
		nodes := senders[a.Attempt]
		if len(nodes) == 0 {
			nodes = e.nodes // The lines were dropped, so it may have been any.
		}
		names := lo.Map(nodes, func(n *node, _ int) string { return n.name })
		breach := fmt.Sprintf("DRAIN: attempt %s reached worker %s %s after it had left, from %s", a.Attempt, a.Worker, a.At.Sub(a.LeftAt).Round(time.Millisecond), strings.Join(names, ", "))
		return breach, lo.EveryBy(nodes, func(n *node) bool { return e.inTouch(n, a.At) })
	})
}

// stableFrom returns the first moment from a time on at which the store has had no fault for faultEffectTime.
func (e *environment) stableFrom(at time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, span := range e.faultSpans { // In the order of their starts.
		if span.owner != e.store || !span.overlaps(at.Add(-faultEffectTime), at) {
			continue
		}
		if span.endedAt.IsZero() {
			return time.Now()
		}
		at = laterOf(at, span.endedAt.Add(faultEffectTime))
	}
	return at
}

// inTouch reports whether no fault affected a node, the store or the whole machine from faultEffectTime before a moment until then. It must be
// called at the end of a run, like wasFaultFree.
func (e *environment) inTouch(n *node, at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !lo.SomeBy(e.faultSpans, func(span *faultSpan) bool {
		switch span.owner {
		case nil:
			return span.overlaps(at.Add(-faultEffectTime), at.Add(starvationNoticeTime))
		case n, e.store:
			return span.overlaps(at.Add(-faultEffectTime), at)
		}
		return false
	})
}

// requestField precedes the ID of an attempt in a log line.
const requestField = `"request":"`

// senders returns the nodes that logged an attempt, by the ID of the attempt: the one that its caller reached, and one that it was passed on to.
func (e *environment) senders(wanted map[string]bool) (map[string][]*node, error) {
	senders := map[string][]*node{}
	for _, n := range e.nodes {
		paths, err := filepath.Glob(filepath.Join(e.folder, n.name+"-*.log"))
		if err != nil {
			return nil, fmt.Errorf("logs of node %q: %w", n.name, err)
		}
		for _, path := range paths {
			text, err := os.ReadFile(path)
			if err != nil {
				return nil, fmt.Errorf("logs of node %q: %w", n.name, err)
			}
			for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
				_, rest, _ := strings.Cut(lines.Text(), requestField)
				id, _, _ := strings.Cut(rest, `"`)
				if wanted[id] && !lo.Contains(senders[id], n) {
					senders[id] = append(senders[id], n)
				}
			}
		}
	}
	return senders, nil
}
