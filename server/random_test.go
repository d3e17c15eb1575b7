package server

import (
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/enginestandin"
	"github.com/acaciaproxy/acaciaproxy/loadrequester"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/platformstandin"
)

var (
	seedFlag  = flag.Int64("seed", 0, "the one seed that the randomised zone test runs for; 0 selects those of -seeds")
	seedsFlag = flag.Int("seeds", 12, "how many seeds, starting at 1, the randomised zone test runs for")
	spanFlag  = flag.Duration("span", 5*time.Minute, "time of one randomised run on the fake clock")
)

// randomRun sends random requests to one zone and injects random faults.
type randomRun struct {
	zone   *zone
	random *rand.Rand
	g      *gomega.WithT
	// platformFaults are the faults that the platform has now.
	platformFaults platformstandin.Faults
	// events describes the injected faults, for the output of a failed run.
	events []string
	// sent counts the requests, served those whose unit became ready, refused those that a leader refused.
	sent, served, refused int
	// refusalReasons counts the refused requests of each reason.
	refusalReasons map[string]int
	// late lists the requests that ended after their deadline.
	late []string
	// earlierBreaches is the number of invariant breaches before the run.
	earlierBreaches int64
}

// logEvent adds an event with the fake time to the run's events.
func (r *randomRun) logEvent(format string, arguments ...any) {
	r.events = append(r.events, fmt.Sprintf("%s %s", time.Now().Format("04:05.000"), fmt.Sprintf(format, arguments...)))
}

func (r *randomRun) pick(names []string) string { return names[r.random.Intn(len(names))] }

func (r *randomRun) pickEngine() (string, *enginestandin.Engine) {
	id := r.pick([]string{"fenced-1", "fenced-2", "plain-1", "plain-2"})
	return id, r.zone.engines[id]
}

// step sends a request or injects a fault, chosen at random with fixed probabilities.
func (r *randomRun) step() {
	if r.random.Intn(10) > 0 {
		r.sendRequest()
		return
	}
	switch draw := r.random.Intn(38); {
	case draw < 6:
		r.pauseNode()
	case draw < 10:
		r.restartNode()
	case draw < 14:
		r.platformOutage()
	case draw < 17:
		r.loseWriteResponses()
	case draw < 21:
		r.crashEngine()
	case draw < 31:
		r.injectEngineFault()
	case draw < 33:
		r.disconnectNodes()
	default:
		r.announceLeave()
	}
}

// units are the units that requests ask for: versions, and versions with an adapter.
var units = []string{"v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v1/a1", "v5/a5"}

// lateTolerance is how long after its deadline a request may end on the fake clock.
const lateTolerance = 10 * time.Millisecond

// sendRequest asks a node for a unit with a deadline 0.5 to 20.5 s away, and counts the outcome when it comes.
func (r *randomRun) sendRequest() {
	node, unit := r.pick(zoneNodes), r.pick(units)
	deadline := time.Now().Add(time.Duration(500+r.random.Intn(20000)) * time.Millisecond)
	r.sent++
	go func() {
		err := r.zone.waitForUnit(node, unit, deadline)
		r.zone.mu.Lock()
		defer r.zone.mu.Unlock()
		if time.Now().After(deadline.Add(lateTolerance)) {
			r.late = append(r.late, fmt.Sprintf("%s at %s", unit, node))
		}
		var refused *loadrequester.RefusedError
		switch {
		case err == nil:
			r.served++
		case errors.As(err, &refused):
			r.refused++
			r.refusalReasons[refused.Reason()]++
		}
	}()
}

// endAfter calls end, which ends a fault, after a random time from minMS up to
// maxMS milliseconds. It returns that time.
func (r *randomRun) endAfter(minMS, maxMS int, end func()) time.Duration {
	duration := time.Duration(minMS+r.random.Intn(maxMS-minMS)) * time.Millisecond
	time.AfterFunc(duration, end)
	return duration
}

// pauseNode pauses the leader or any node for a random time.
func (r *randomRun) pauseNode() {
	name := r.pick(zoneNodes)
	if leader := r.zone.leaderName(); leader != "" && r.random.Intn(2) == 0 {
		name = leader
	}
	nodeGate := r.zone.node(name).gate
	nodeGate.pause()
	r.logEvent("pause node %s for %s", name, r.endAfter(500, 20000, nodeGate.resume))
}

// restartNode kills the leader or any node and starts it again after up to 3 s.
func (r *randomRun) restartNode() {
	name := r.pick(zoneNodes)
	if leader := r.zone.leaderName(); leader != "" && r.random.Intn(2) == 0 {
		name = leader
	}
	r.logEvent("kill and restart node %s", name)
	r.zone.killNode(name)
	time.Sleep(time.Duration(r.random.Intn(3000)) * time.Millisecond)
	r.zone.startNode(name)
}

func (r *randomRun) setPlatformFaults(change func(*platformstandin.Faults)) {
	r.zone.mu.Lock()
	defer r.zone.mu.Unlock()
	change(&r.platformFaults)
	r.zone.platform.SetFaults(r.platformFaults)
}

// platformOutage makes calls to the platform fail or hang for a random time.
func (r *randomRun) platformOutage() {
	hang := r.random.Intn(2) == 0
	r.setPlatformFaults(func(f *platformstandin.Faults) { f.Outage, f.Hang = !hang, hang })
	duration := r.endAfter(1000, 90000, func() {
		r.setPlatformFaults(func(f *platformstandin.Faults) { f.Outage, f.Hang = false, false })
	})
	r.logEvent("platform unreachable for %s, calls hang: %v", duration, hang)
}

// loseWriteResponses makes the next writes to the platform take effect without a successful response.
func (r *randomRun) loseWriteResponses() {
	count := int64(1 + r.random.Intn(4))
	r.logEvent("platform loses the responses to the next %d writes", count)
	r.setPlatformFaults(func(f *platformstandin.Faults) { f.LoseWrites = count })
}

func (r *randomRun) crashEngine() {
	id, engine := r.pickEngine()
	r.logEvent("crash engine %s", id)
	engine.Crash()
}

func (r *randomRun) injectEngineFault() {
	id, engine := r.pickEngine()
	var faults enginestandin.Faults
	switch r.random.Intn(6) {
	case 0:
		faults.Freeze = true
	case 1:
		faults.FailLoads = true
	case 2:
		faults.LoseOrders = int64(1 + r.random.Intn(3))
	case 3:
		faults.ReportLagMS = int64(r.random.Intn(4000))
	case 4:
		faults.OmitReports = true
	case 5:
		faults.Leaving = true
	}
	engine.SetFaults(faults)
	duration := r.endAfter(1000, 15000, func() { engine.SetFaults(enginestandin.Faults{}) })
	r.logEvent("faults of engine %s for %s: %+v", id, duration, faults)
}

// disconnectNodes makes the nodes unable to reach each other for a random time.
func (r *randomRun) disconnectNodes() {
	set := func(disconnected bool) {
		r.zone.mu.Lock()
		defer r.zone.mu.Unlock()
		r.zone.disconnected = disconnected
	}
	set(true)
	r.logEvent("nodes cannot reach each other for %s", r.endAfter(1000, 15000, func() { set(false) }))
}

// announceLeave lists a worker as leaving for a random time, without stopping it.
func (r *randomRun) announceLeave() {
	id, _ := r.pickEngine()
	host := platformstandin.Host{ID: id, Kind: platformclient.HostWorker, Group: id[:len(id)-2], Zone: "z", Address: id, State: platformclient.StateLeaving}
	r.zone.platform.SetHost(host)
	host.State = platformclient.StateLive
	r.logEvent("%s listed as leaving for %s", id, r.endAfter(2000, 20000, func() { r.zone.platform.SetHost(host) }))
}

// check asserts the conditions that must hold at all times, also during faults.
func (r *randomRun) check() {
	r.g.Expect(r.zone.overcommittedLoads()).To(gomega.BeZero(), "number of overcommits of all engines")
	r.g.Expect(allBreaches()).To(gomega.Equal(r.earlierBreaches), "number of invariant breaches")
	r.zone.mu.Lock()
	defer r.zone.mu.Unlock()
	r.g.Expect(r.late).To(gomega.BeEmpty(), "requests ended after their deadline")
}

// TestRandomisedZone runs a zone with random requests and faults of nodes, engines and
// the platform. It guards against overcommitted engines, breached invariants, requests
// that outlive their deadline, and units that stay unserved after all faults ended.
func TestRandomisedZone(t *testing.T) {
	seeds := []int64{*seedFlag}
	if *seedFlag == 0 {
		seeds = nil
		for seed := 1; seed <= *seedsFlag; seed++ {
			seeds = append(seeds, int64(seed))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomisedZone(t, seed) })
		})
	}
}

// randomisedZone runs one seed.
func randomisedZone(t *testing.T, seed int64) {
	g := gomega.NewWithT(t)
	z := newZone(t, zoneConfiguration, zoneNodes)
	defer z.close()
	r := &randomRun{zone: z, random: rand.New(rand.NewSource(seed)), g: g, refusalReasons: map[string]int{}, earlierBreaches: allBreaches()}
	defer func() {
		if t.Failed() {
			for _, line := range r.events {
				t.Log(line)
			}
			t.Log(r.zone.describe())
		}
	}()
	end := time.Now().Add(*spanFlag)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(20+r.random.Intn(800)) * time.Millisecond)
		r.step()
		r.check()
	}
	r.checkRecovery()
	t.Logf("seed %d: %d requests, %d served, %d refused by reason %v", seed, r.sent, r.served, r.refused, r.refusalReasons)
}

// recoveryTime is long enough for every fault to end and for the zone to recover from it.
const recoveryTime = 3 * time.Minute

// checkRecovery waits until all faults have ended and asserts that every unit can be served again.
func (r *randomRun) checkRecovery() {
	time.Sleep(recoveryTime)
	r.check()
	for _, unit := range units {
		r.g.Expect(r.zone.waitForUnit(r.pick(zoneNodes), unit, time.Now().Add(40*time.Second))).To(gomega.Succeed(), "unit %s after all faults ended", unit)
		r.check()
	}
	r.zone.mu.Lock()
	defer r.zone.mu.Unlock()
	r.g.Expect(r.served).To(gomega.BeNumerically(">", 0))
}
