package server

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/asserter"
)

// zoneConfiguration has two engines that check fencing numbers and two that ignore
// them, and more models than the four can hold at the same time.
const zoneConfiguration = `{
  "deployments": [{"name": "d", "zones": ["z"], "rate": 12, "parallel": 4, "transit": 32}],
  "workers": [
    {"name": "fenced", "zone": "z", "count": 2, "memory": 40, "fencing": true},
    {"name": "plain", "zone": "z", "count": 2, "memory": 40}
  ],
  "versions": [
    {"name": "v1", "checkpoint": "c1", "memory": 14, "load": 2},
    {"name": "v2", "checkpoint": "c2", "memory": 14, "load": 2},
    {"name": "v3", "checkpoint": "c3", "memory": 20, "load": 3},
    {"name": "v4", "checkpoint": "c4", "memory": 20, "load": 3},
    {"name": "v5", "checkpoint": "c5", "memory": 30, "load": 4},
    {"name": "v6", "checkpoint": "c6", "memory": 30, "load": 4},
    {"name": "v7", "checkpoint": "c7", "memory": 30, "load": 4},
    {"name": "v8", "checkpoint": "c8", "memory": 36, "load": 4}
  ],
  "models": [
    {"name": "m1", "version": "v1", "most": 2}, {"name": "m2", "version": "v2", "most": 1}, {"name": "m3", "version": "v3", "most": 1},
    {"name": "m4", "version": "v4", "most": 1}, {"name": "m5", "version": "v5", "most": 1}, {"name": "m6", "version": "v6", "most": 1},
    {"name": "m7", "version": "v7", "most": 1}, {"name": "m8", "version": "v8", "most": 1}
  ],
  "adapters": [{"name": "a1", "model": "m1", "checkpoint": "a1", "memory": 0.5}, {"name": "a5", "model": "m5", "checkpoint": "a5", "memory": 0.5}],
  "routes": [{"name": "r1", "model": "m1"}]
}`

var zoneNodes = []string{"n1", "n2", "n3", "n4"}

// loadCount returns how often a unit was loaded, over all engines.
func (z *zone) loadCount(unit string) int {
	sum := 0
	for _, engine := range z.engines {
		sum += engine.Record().Loads[unit]
	}
	return sum
}

// overcommittedLoads returns how often an engine was given more units than its memory holds, over all engines.
func (z *zone) overcommittedLoads() int64 {
	var sum int64
	for _, engine := range z.engines {
		sum += engine.Record().OvercommittedLoads
	}
	return sum
}

// allBreaches returns the invariant breaches counted by this process so far.
func allBreaches() int64 {
	return asserter.Breaches("memory") + asserter.Breaches("replicas") + asserter.Breaches("version")
}

// TestBurstAtAllNodesGivesOneLoad guards against a load for each node or request
// when a burst of requests for the same unit arrives at all nodes.
func TestBurstAtAllNodesGivesOneLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		z := newZone(t, zoneConfiguration, zoneNodes)
		defer z.close()
		time.Sleep(5 * time.Second)
		var group sync.WaitGroup
		for _, node := range zoneNodes {
			for range 25 {
				group.Go(func() { g.Expect(z.waitForUnit(node, "v1", time.Now().Add(10*time.Second))).To(gomega.Succeed()) })
			}
		}
		group.Wait()
		g.Expect(z.loadCount("v1")).To(gomega.Equal(1))
	})
}
