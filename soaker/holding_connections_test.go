package soaker

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// holdTime is how long the callers of a crowd hold their connections; the ordinary request is sent after half of it.
const holdTime = 4 * time.Second

// Guards against callers that hold all connections of a node, so that a caller who sends a whole request gets none.
var _ = ginkgo.Describe("callers that send more than a node can hold", ginkgo.Serial, func() {
	ginkgo.DescribeTable("or hold all its connections, leave one for an ordinary request at any time", func(cores int) {
		var cases []crowdCase
		gomega.Expect(casereader.Read("testdata/holding_connections.json", &cases)).To(gomega.Succeed())
		e := startCrowdEnvironment(Spec{Nodes: (len(cases) + 1) / 2, MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors, Cores: cores})
		// A connection of its own, as that of a caller who comes after the crowd.
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		var breaches []string
		for i, c := range cases {
			n := e.nodes[i]
			var crowd sync.WaitGroup
			crowd.Go(func() { c.Play(n.callerAddress, time.Now().Add(holdTime)) })
			time.Sleep(holdTime / 2)
			result := fleetstandin.SendAttempt(client, n.callerAddress, fleetstandin.Attempt{
				Kind: fleetstandin.KindOnce, Path: "/once/x", ID: "during-" + n.name, Timeout: 5 * time.Second, Body: "x",
			})
			if result.Status != http.StatusOK {
				breaches = append(breaches, fmt.Sprintf("HELD: %s: an ordinary request got status %d (%v)", c.Name, result.Status, result.Cause))
			}
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid()))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			ginkgo.GinkgoWriter.Printf("%s: %d descriptors\n", c.Name, len(entries))
			if len(entries) > crowdDescriptors {
				breaches = append(breaches, fmt.Sprintf("DESCRIPTORS: %s: %d", c.Name, len(entries)))
			}
			crowd.Wait()
			breaches = append(breaches, e.checkAfterCrowd(n, c.Name)...)
		}
		gomega.Expect(append(breaches, e.breaches()...)).To(gomega.BeEmpty())
	},
		ginkgo.Entry("on any number of cores", 0),
		ginkgo.Entry("on one core, on which closed connections may wait to be released", 1),
	)
})
