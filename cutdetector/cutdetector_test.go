package cutdetector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cutdetector"
)

// load is a load of testdata/loads.json, which describes the fields.
type load struct {
	Name               string
	PerSecond          int
	Holders, Events    int
	Crashed            float64
	Everywhere, Near   bool
	Cut                string
	Dropped            bool
	MaxCuts            int
	MaxFailures, MaxMS int
}

const (
	troubleMS, crashEndMS, endMS = 2000, 4000, 5000
	zones, perZone               = 3, 20
	ownZone                      = "z0"
)

// simulated is a worker as the node sees it. Running is the number of requests that the node has there; born changes with a crash.
type simulated struct {
	cutdetector.Worker
	running, excludedUntil int
	crashed, cut           bool
}

// play is a simulation of one node.
type play struct {
	load
	random   *rand.Rand
	detector *cutdetector.Detector
	workers  []*simulated
	due      map[int][]func()
	now      int
	// failed are the workers that were unreachable since the trouble began; cutAfter is their number when the node first counted as cut off, at cutMS.
	failed          map[string]bool
	cutAfter, cutMS int
}

func at(ms int) time.Time                { return time.UnixMilli(int64(1_000_000 + ms)) }
func (p *play) after(ms int, run func()) { p.due[p.now+ms] = append(p.due[p.now+ms], run) }

// begin makes workers crash or unreachable.
func (p *play) begin() {
	for i, worker := range p.workers {
		worker.crashed = (worker.Zone == ownZone || p.Everywhere) && i%perZone < int(p.Crashed*perZone)
		worker.cut = p.Cut == "node" || p.Cut == "zones" && worker.Zone != ownZone
		if (worker.crashed || worker.cut && !p.Dropped) && worker.running > 0 {
			p.detector.Break(worker.Worker)
		}
		if worker.crashed {
			worker.running = 0
		}
	}
}

// choose returns the worker of the least cost, as the forwarder does: idle ones first.
func (p *play) choose(holders []*simulated) *simulated {
	var best *simulated
	least := 0.0
	for _, worker := range holders {
		cost := float64(worker.running) + p.random.Float64()/2 + 30*p.detector.Doubt(at(p.now), worker.Worker)
		if worker.Zone != ownZone {
			cost += 3
		}
		if p.now >= worker.excludedUntil && (best == nil || cost < least) {
			best, least = worker, cost
		}
	}
	return best
}

// send sends a request, and again until it is served, passed on or has no worker.
func (p *play) send(holders []*simulated) {
	worker := p.choose(holders)
	if worker == nil || p.detector.Carries(at(p.now)) {
		return
	}
	worker.running++
	p.detector.Try(at(p.now), worker.Worker)
	if !worker.crashed && !worker.cut {
		p.after(5+p.random.IntN(36), func() { p.receive(worker, p.Events) })
		return
	}
	wait := 1
	if p.Dropped {
		wait = 350
	}
	p.after(wait, func() {
		worker.running = max(worker.running-1, 0)
		worker.excludedUntil = p.now + 1000
		p.failed[worker.Address] = true
		p.detector.Fail(at(p.now), worker.Worker, map[string]int{"z0": perZone, "z1": perZone, "z2": perZone})
		if p.detector.IsCut() && p.cutAfter == 0 {
			p.cutAfter, p.cutMS = len(p.failed), p.now
		}
		p.after(5, func() { p.send(holders) })
	})
}

// receive plays the arrival of the head or an event of a response, after which some more events follow.
func (p *play) receive(worker *simulated, more int) {
	if worker.crashed || worker.cut {
		return
	}
	p.detector.Hear(at(p.now), worker.Worker)
	if more == 0 {
		worker.running = max(worker.running-1, 0)
		return
	}
	p.after(20, func() { p.receive(worker, more-1) })
}

// run plays until the node counts as cut off, at most to the end.
func (p *play) run() {
	for zone := range zones {
		for i := range perZone {
			p.workers = append(p.workers, &simulated{Worker: cutdetector.Worker{Address: fmt.Sprintf("w%d-%d", zone, i), Zone: fmt.Sprint("z", zone)}})
		}
	}
	for ms := p.random.IntN(1000 / p.PerSecond); ms < endMS; ms += 1000 / p.PerSecond {
		holders := p.workers
		if p.Holders > 0 {
			holders = nil
			candidates := len(p.workers)
			if p.Near {
				candidates = perZone
			}
			for _, i := range p.random.Perm(candidates)[:p.Holders] {
				holders = append(holders, p.workers[i])
			}
		}
		p.due[ms] = append(p.due[ms], func() { p.send(holders) })
	}
	for ; p.now < endMS && p.cutAfter == 0; p.now++ {
		if p.now == troubleMS {
			p.begin()
		}
		if p.now == crashEndMS {
			for _, worker := range p.workers {
				worker.crashed = false
			}
		}
		for len(p.due[p.now]) > 0 {
			due := p.due[p.now]
			delete(p.due, p.now)
			for _, run := range due {
				run()
			}
		}
	}
}

// Guards against a node that counts as cut off because workers crashed or other zones are out of reach, and against a cut that is noticed later than
// after three different workers were unreachable.
func TestLoads(t *testing.T) {
	var loads []load
	if err := casereader.Read("testdata/loads.json", &loads); err != nil {
		t.Fatal(err)
	}
	for _, load := range loads {
		t.Run(load.Name, func(t *testing.T) {
			cuts, mostFailures, latest, total := 0, 0, 0, 0
			for seed := range uint64(200) {
				p := &play{
					load: load, random: rand.New(rand.NewPCG(seed, 1)), detector: cutdetector.New(ownZone, func(string) {}),
					due: map[int][]func(){}, failed: map[string]bool{},
				}
				p.run()
				if p.cutAfter > 0 {
					cuts, mostFailures, latest = cuts+1, max(mostFailures, p.cutAfter), max(latest, p.cutMS-troubleMS)
					total += p.cutMS - troubleMS
				}
			}
			t.Logf("cut off in %d of 200 plays, after %d failures and %d ms at most, %d ms on average", cuts, mostFailures, latest, total/max(cuts, 1))
			if cuts > load.MaxCuts || load.Cut == "node" && (cuts < 200 || mostFailures > load.MaxFailures || latest > load.MaxMS) {
				t.Errorf("cut off in %d of 200 plays, after %d failures and %d ms at most", cuts, mostFailures, latest)
			}
		})
	}
}

// Guards against a node that is cut off and counts bytes as signs of a path which had arrived before, while its callers were slow to read.
func TestBufferedBytes(t *testing.T) {
	known := map[string]int{ownZone: perZone}
	for _, waitMS := range []int{0, 5} {
		detector := cutdetector.New(ownZone, func(string) {})
		for i := range 3 {
			detector.Fail(at(300*i), cutdetector.Worker{Address: fmt.Sprint("w", i), Zone: ownZone}, known)
			detector.HearRead(at(300*i), at(300*i+waitMS), cutdetector.Worker{Address: "w9", Zone: ownZone})
		}
		if detector.IsCut() != (waitMS == 0) {
			t.Errorf("reads that take %d ms: cut off is %t", waitMS, detector.IsCut())
		}
	}
}
