package server

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

var (
	// plainConfiguration has only engines that ignore fencing numbers, fencedConfiguration only engines that check them.
	plainConfiguration  = strings.ReplaceAll(zoneConfiguration, `"fencing": true`, `"fencing": false`)
	fencedConfiguration = strings.ReplaceAll(zoneConfiguration, `"memory": 40}`, `"memory": 40, "fencing": true}`)
	// noUnloadConfiguration never unloads an idle unit, so that each load counted is a decision of a leader.
	noUnloadConfiguration = strings.ReplaceAll(zoneConfiguration, `"transit": 32}`, `"transit": 32, "idle": 0}`)
)

// testDelayedOrder pauses the leader between its last check of the lease and the
// sending of a load order, and lets another node take the lease and fill the
// workers. The order then arrives late, from the resumed leader or, if killed is
// set, from one that has died. It must not overcommit an engine.
func testDelayedOrder(t *testing.T, configuration string, killed bool) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		z := newZone(t, configuration, zoneNodes)
		defer z.close()
		time.Sleep(5 * time.Second)
		firstLeader := z.leaderName()
		z.node(firstLeader).gate.pauseAtOrder("v8")
		go func() { _ = z.waitForUnit(firstLeader, "v8", time.Now().Add(5*time.Second)) }()
		time.Sleep(time.Second)
		g.Expect(z.node(firstLeader).gate.isPaused()).To(gomega.BeTrue(), "the leader did not pause at the order")

		var otherNodes []string
		for _, name := range zoneNodes {
			if name != firstLeader {
				otherNodes = append(otherNodes, name)
			}
		}
		time.Sleep(10 * time.Second)
		g.Expect(z.leaderName()).NotTo(gomega.Equal(firstLeader))
		var group sync.WaitGroup
		served := 0
		for _, unit := range []string{"v5", "v6", "v7", "v8"} {
			group.Go(func() {
				if z.waitForUnit(otherNodes[0], unit, time.Now().Add(30*time.Second)) == nil {
					z.mu.Lock()
					defer z.mu.Unlock()
					served++
				}
			})
		}
		group.Wait()
		g.Expect(served).To(gomega.BeNumerically(">=", 3), "one engine stays reserved for the delayed order; the other three serve")
		g.Expect(z.overcommittedLoads()).To(gomega.BeZero())

		if killed {
			z.node(firstLeader).gate.releaseOrder() // The order was already on its way when the process was killed.
			z.killNode(firstLeader)
			z.platform.RemoveHost(firstLeader)
		} else {
			z.node(firstLeader).gate.releaseOrder()
			z.node(firstLeader).gate.resume()
		}
		time.Sleep(time.Minute)
		g.Expect(z.overcommittedLoads()).To(gomega.BeZero())
		for _, unit := range []string{"v5", "v6", "v7", "v8"} {
			g.Expect(z.waitForUnit(otherNodes[0], unit, time.Now().Add(30*time.Second))).To(gomega.Succeed(), "unit %s", unit)
		}
		g.Expect(z.overcommittedLoads()).To(gomega.BeZero())
		g.Expect(allBreaches()).To(gomega.BeZero())
	})
}

func TestPausedLeaderWithOrderOnFencedEngines(t *testing.T) {
	testDelayedOrder(t, fencedConfiguration, false)
}

func TestPausedLeaderWithOrderOnPlainEngines(t *testing.T) {
	testDelayedOrder(t, plainConfiguration, false)
}

func TestDeadLeadersOrderOnPlainEngines(t *testing.T) {
	testDelayedOrder(t, plainConfiguration, true)
}

// TestHoldOver checks that a leader keeps deciding during a platform outage with the
// promises of its successors, and that its decisions are not lost: the leader dies
// before the outage ends, and its successor must use the replica that it loaded.
func TestHoldOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		z := newZone(t, noUnloadConfiguration, zoneNodes)
		defer z.close()
		time.Sleep(5 * time.Second)
		firstLeader := z.leaderName()
		z.setOutage(true)
		time.Sleep(15 * time.Second)
		g.Expect(z.leaderName()).To(gomega.Equal(firstLeader), "the leader must keep the lease during the outage")
		g.Expect(z.waitForUnit("n2", "v5", time.Now().Add(20*time.Second))).To(gomega.Succeed())
		g.Expect(z.loadCount("v5")).To(gomega.Equal(1))
		z.killNode(firstLeader)
		time.Sleep(5 * time.Second)
		z.setOutage(false)
		time.Sleep(15 * time.Second)
		g.Expect(z.leaderName()).NotTo(gomega.BeElementOf(firstLeader, ""))
		successor := z.leaderName()
		g.Expect(z.waitForUnit(successor, "v5", time.Now().Add(5*time.Second))).To(gomega.Succeed())
		g.Expect(z.loadCount("v5")).To(gomega.Equal(1), "the successor must know the load that was decided during the outage")
		g.Expect(z.overcommittedLoads()).To(gomega.BeZero())
		g.Expect(allBreaches()).To(gomega.BeZero())
	})
}

// TestHoldOverEndsWithoutEveryPromise checks that a leader stops deciding when its
// lease expires during a platform outage and one successor does not reply.
func TestHoldOverEndsWithoutEveryPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		z := newZone(t, noUnloadConfiguration, zoneNodes)
		defer z.close()
		time.Sleep(5 * time.Second)
		firstLeader := z.leaderName()
		for _, name := range zoneNodes {
			if name != firstLeader {
				z.node(name).gate.pause()
				defer z.node(name).gate.resume()
				break
			}
		}
		z.setOutage(true)
		time.Sleep(15 * time.Second)
		g.Expect(z.leaderName()).To(gomega.BeEmpty())
	})
}
