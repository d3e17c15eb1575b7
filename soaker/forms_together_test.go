package soaker

import (
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
)

const (
	// togetherDescriptors is the setting "descriptors" of the nodes that all forms meet at the same time, those of the smallest host, with places for 1,230 callers.
	togetherDescriptors = 3075
	// togetherTime is how long the crowds stay.
	togetherTime = 6 * time.Second
)

// Guards against bounds that hold one by one while what all callers together make a node hold does not fit into its memory.
var _ = ginkgo.Describe("callers that send more than a node can hold", ginkgo.Serial, func() {
	ginkgo.It("in all these ways at the same time, end no process, and leave memory for an ordinary request", func() {
		var cases []crowdCase
		gomega.Expect(casereader.Read("testdata/forms_together.json", &cases)).To(gomega.Succeed())
		e := startCrowdEnvironment(Spec{Nodes: 1, MemoryMB: crowdMemoryMB, Descriptors: togetherDescriptors})
		n, end := e.nodes[0], time.Now().Add(togetherTime)
		var crowds sync.WaitGroup
		for _, c := range cases {
			crowds.Go(func() { c.Play(n.callerAddress, end) })
		}
		crowds.Wait()
		breaches := e.checkAfterCrowd(n, "all forms")
		for _, other := range e.nodes[1:] {
			breaches = append(breaches, checkMemory(other, "node "+other.name)...)
		}
		gomega.Expect(append(breaches, e.breaches()...)).To(gomega.BeEmpty())
	})
})
