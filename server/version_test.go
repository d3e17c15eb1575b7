package server

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/platformstandin"
)

// inForce is the time in which an accepted configuration must be in force everywhere.
const inForce = 6 * time.Second

// versions returns the version in force at each node that is not paused.
func (z *zone) versions() []int64 {
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

// TestVersionInForceInTime publishes while a node is paused, and again just
// before the zone is cut off from the platform: nodes that had not fetched the
// change take it from their peers, and no version ever falls.
func TestVersionInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		z := newZone(t, zoneConfiguration, zoneNodes)
		defer z.close()
		time.Sleep(5 * time.Second)
		second := strings.ReplaceAll(zoneConfiguration, `"memory": 36`, `"memory": 35`)
		third := strings.ReplaceAll(zoneConfiguration, `"memory": 36`, `"memory": 34`)

		z.node("n4").gate.pause()
		z.publish(second, 1)
		time.Sleep(inForce)
		g.Expect(z.versions()).To(gomega.HaveEach(int64(2)))
		g.Expect(z.versions()).To(gomega.HaveLen(3))
		z.node("n4").gate.resume()
		time.Sleep(inForce)
		g.Expect(z.versions()).To(gomega.HaveLen(4))
		g.Expect(z.versions()).To(gomega.HaveEach(int64(2)))

		// One node hears of the third version; the others only from it.
		for _, name := range []string{"n2", "n3", "n4"} {
			z.node(name).gate.pause()
		}
		z.publish(third, 2)
		time.Sleep(time.Second)
		z.platform.SetFaults(platformstandin.Faults{CutZones: []string{"z"}, Slowness: 1})
		for _, name := range []string{"n2", "n3", "n4"} {
			z.node(name).gate.resume()
		}
		time.Sleep(inForce)
		g.Expect(z.versions()).To(gomega.HaveLen(4))
		g.Expect(z.versions()).To(gomega.HaveEach(int64(3)))
		g.Expect(allBreaches()).To(gomega.BeZero())
	})
}
