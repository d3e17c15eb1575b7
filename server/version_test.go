package server

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/platformstandin"
)

// inForceLimit is the time within which an accepted configuration must be in force at every node.
const inForceLimit = 6 * time.Second

// versionsInForce returns the version of the configuration in force at each node that is not paused.
func (z *zone) versionsInForce() []int64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	var versions []int64
	for _, n := range z.nodes {
		if !n.gate.isStopped() {
			versions = append(versions, n.server.follower.Current().Version())
		}
	}
	return versions
}

// TestVersionInForceInTime publishes a version while a node is paused, and another
// just before the zone loses its connection to the platform. Nodes that have not
// fetched a version by then must get it from their peers within inForceLimit, and
// no node may go back to an earlier version.
func TestVersionInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		z := newZone(t, zoneConfiguration, zoneNodes)
		defer z.close()
		time.Sleep(5 * time.Second)
		secondVersion := strings.ReplaceAll(zoneConfiguration, `"memory": 36`, `"memory": 35`)
		thirdVersion := strings.ReplaceAll(zoneConfiguration, `"memory": 36`, `"memory": 34`)

		z.node("n4").gate.pause()
		z.publish(secondVersion, 1)
		time.Sleep(inForceLimit)
		g.Expect(z.versionsInForce()).To(gomega.HaveEach(int64(2)))
		g.Expect(z.versionsInForce()).To(gomega.HaveLen(3))
		z.node("n4").gate.resume()
		time.Sleep(inForceLimit)
		g.Expect(z.versionsInForce()).To(gomega.HaveLen(4))
		g.Expect(z.versionsInForce()).To(gomega.HaveEach(int64(2)))

		// Only n1 can read the third version from the platform; the others get it from n1.
		for _, name := range []string{"n2", "n3", "n4"} {
			z.node(name).gate.pause()
		}
		z.publish(thirdVersion, 2)
		time.Sleep(time.Second)
		z.platform.SetFaults(platformstandin.Faults{CutZones: []string{"z"}, Slowness: 1})
		for _, name := range []string{"n2", "n3", "n4"} {
			z.node(name).gate.resume()
		}
		time.Sleep(inForceLimit)
		g.Expect(z.versionsInForce()).To(gomega.HaveLen(4))
		g.Expect(z.versionsInForce()).To(gomega.HaveEach(int64(3)))
		g.Expect(allBreaches()).To(gomega.BeZero())
	})
}
