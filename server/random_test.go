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

	"github.com/acaciaproxy/acaciaproxy/asker"
	"github.com/acaciaproxy/acaciaproxy/enginestandin"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/platformstandin"
)

var (
	seedFlag  = flag.Int64("seed", 0, "run only this seed of the randomised zone")
	seedsFlag = flag.Int("seeds", 12, "number of seeds of the randomised zone")
	spanFlag  = flag.Duration("span", 5*time.Minute, "fake time of one randomised run")
)

// chaos draws faults and requests for one zone.
type chaos struct {
	zone   *zone
	random *rand.Rand
	g      *gomega.WithT
	// healAt maps a fault to when it ends.
	faults platformstandin.Faults
	log    []string
	// asked and served count the requests and those whose unit became ready.
	asked, served, refused int
	reasons                map[string]int
	late                   []string
	// breaches is what was counted before the run.
	breaches int64
}

func (c *chaos) note(format string, arguments ...any) {
	c.log = append(c.log, fmt.Sprintf("%s %s", time.Now().Format("04:05.000"), fmt.Sprintf(format, arguments...)))
}

func (c *chaos) pick(names []string) string { return names[c.random.Intn(len(names))] }

func (c *chaos) engine() (string, *enginestandin.Engine) {
	id := c.pick([]string{"fenced-1", "fenced-2", "plain-1", "plain-2"})
	return id, c.zone.engines[id]
}

// step draws one event.
func (c *chaos) step() {
	if c.random.Intn(10) > 0 {
		c.request()
		return
	}
	switch draw := c.random.Intn(38); {
	case draw < 6:
		c.pauseNode()
	case draw < 10:
		c.killNode()
	case draw < 14:
		c.outage()
	case draw < 17:
		c.loseWrites()
	case draw < 21:
		c.crashEngine()
	case draw < 31:
		c.engineFaults()
	case draw < 33:
		c.cutPeers()
	default:
		c.leave()
	}
}

var units = []string{"v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v1/a1", "v5/a5"}

// lateness is how long after its deadline a request's end may come on the fake clock.
const lateness = 10 * time.Millisecond

func (c *chaos) request() {
	node, unit := c.pick(zoneNodes), c.pick(units)
	deadline := time.Now().Add(time.Duration(500+c.random.Intn(20000)) * time.Millisecond)
	c.asked++
	go func() {
		err := c.zone.ask(node, unit, deadline)
		c.zone.mu.Lock()
		defer c.zone.mu.Unlock()
		if time.Now().After(deadline.Add(lateness)) {
			c.late = append(c.late, fmt.Sprintf("%s at %s", unit, node))
		}
		var refused *asker.RefusedError
		switch {
		case err == nil:
			c.served++
		case errors.As(err, &refused):
			c.refused++
			c.reasons[refused.Reason()]++
		}
	}()
}

// after runs a function later, as a fault's end.
func (c *chaos) after(least, most int, end func()) time.Duration {
	span := time.Duration(least+c.random.Intn(most-least)) * time.Millisecond
	time.AfterFunc(span, end)
	return span
}

func (c *chaos) pauseNode() {
	name := c.pick(zoneNodes)
	if leader := c.zone.leaderName(); leader != "" && c.random.Intn(2) == 0 {
		name = leader
	}
	own := c.zone.node(name).gate
	own.pause()
	c.note("pause %s for %s", name, c.after(500, 20000, own.resume))
}

func (c *chaos) killNode() {
	name := c.pick(zoneNodes)
	if leader := c.zone.leaderName(); leader != "" && c.random.Intn(2) == 0 {
		name = leader
	}
	c.note("kill and restart %s", name)
	c.zone.killNode(name)
	time.Sleep(time.Duration(c.random.Intn(3000)) * time.Millisecond)
	c.zone.startNode(name)
}

func (c *chaos) setPlatform(change func(*platformstandin.Faults)) {
	c.zone.mu.Lock()
	defer c.zone.mu.Unlock()
	change(&c.faults)
	c.zone.platform.SetFaults(c.faults)
}

func (c *chaos) outage() {
	hang := c.random.Intn(2) == 0
	c.setPlatform(func(f *platformstandin.Faults) { f.Outage, f.Hang = !hang, hang })
	span := c.after(1000, 90000, func() {
		c.setPlatform(func(f *platformstandin.Faults) { f.Outage, f.Hang = false, false })
	})
	c.note("platform away for %s, hanging %v", span, hang)
}

func (c *chaos) loseWrites() {
	count := int64(1 + c.random.Intn(4))
	c.note("platform loses %d answers", count)
	c.setPlatform(func(f *platformstandin.Faults) { f.LoseWrites = count })
}

func (c *chaos) crashEngine() {
	id, engine := c.engine()
	c.note("crash %s", id)
	engine.Crash()
}

func (c *chaos) engineFaults() {
	id, engine := c.engine()
	var faults enginestandin.Faults
	switch c.random.Intn(6) {
	case 0:
		faults.Freeze = true
	case 1:
		faults.FailLoads = true
	case 2:
		faults.LoseOrders = int64(1 + c.random.Intn(3))
	case 3:
		faults.ReportLagMS = int64(c.random.Intn(4000))
	case 4:
		faults.Gap = true
	case 5:
		faults.Leaving = true
	}
	engine.SetFaults(faults)
	span := c.after(1000, 15000, func() { engine.SetFaults(enginestandin.Faults{}) })
	c.note("faults of %s for %s: %+v", id, span, faults)
}

func (c *chaos) cutPeers() {
	set := func(cut bool) {
		c.zone.mu.Lock()
		defer c.zone.mu.Unlock()
		c.zone.cutPeers = cut
	}
	set(true)
	c.note("nodes cut off from each other for %s", c.after(1000, 15000, func() { set(false) }))
}

func (c *chaos) leave() {
	id, _ := c.engine()
	host := platformstandin.Host{ID: id, Kind: platformclient.HostWorker, Group: id[:len(id)-2], Zone: "z", Address: id, State: platformclient.StateLeaves}
	c.zone.platform.SetHost(host)
	host.State = platformclient.StateLive
	c.note("%s leaves for %s", id, c.after(2000, 20000, func() { c.zone.platform.SetHost(host) }))
}

// check asserts what must hold at every moment.
func (c *chaos) check() {
	c.g.Expect(c.zone.overcommits()).To(gomega.BeZero(), "an engine is overcommitted")
	c.g.Expect(allBreaches()).To(gomega.Equal(c.breaches), "an invariant was breached")
	c.zone.mu.Lock()
	defer c.zone.mu.Unlock()
	c.g.Expect(c.late).To(gomega.BeEmpty(), "requests ended after their deadline")
}

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

func randomisedZone(t *testing.T, seed int64) {
	g := gomega.NewWithT(t)
	z := newZone(t, zoneConfiguration, zoneNodes)
	defer z.close()
	c := &chaos{zone: z, random: rand.New(rand.NewSource(seed)), g: g, reasons: map[string]int{}, breaches: allBreaches()}
	defer func() {
		if t.Failed() {
			for _, line := range c.log {
				t.Log(line)
			}
			t.Log(c.zone.describe())
		}
	}()
	end := time.Now().Add(*spanFlag)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(20+c.random.Intn(800)) * time.Millisecond)
		c.step()
		c.check()
	}
	c.heal()
	t.Logf("seed %d: %d requests, %d served, %d refused for %v", seed, c.asked, c.served, c.refused, c.reasons)
}

// quietTime is enough for every fault to end and for the zone to settle.
const quietTime = 3 * time.Minute

// heal ends all faults and asserts that every unit can be served again.
func (c *chaos) heal() {
	time.Sleep(quietTime)
	c.check()
	for _, unit := range units {
		c.g.Expect(c.zone.ask(c.pick(zoneNodes), unit, time.Now().Add(40*time.Second))).To(gomega.Succeed(), "unit %s after all faults ended", unit)
		c.check()
	}
	c.zone.mu.Lock()
	defer c.zone.mu.Unlock()
	c.g.Expect(c.served).To(gomega.BeNumerically(">", 0))
}
