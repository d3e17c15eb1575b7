package soaker

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// namesTime bounds a crowd that names things which do not exist; it ends earlier once all its requests are answered.
const namesTime = 30 * time.Second

// Guards against nodes that keep an entry for each name that a caller invents, and tell the leaders of it: both nodes run out of memory.
var _ = ginkgo.Describe("callers that send more than a node can hold", ginkgo.Serial, func() {
	ginkgo.It("or invent a name for each request, end no process, at the node or at another, and leave memory for an ordinary request", func() {
		var cases []crowdCase
		gomega.Expect(casereader.Read("testdata/invented_names.json", &cases)).To(gomega.Succeed())
		e := startCrowdEnvironment(Spec{Nodes: (len(cases) + 1) / 2, MemoryMB: crowdMemoryMB})
		var breaches []string
		for i, c := range cases {
			n := e.nodes[i]
			c.Play(n.callerAddress, time.Now().Add(namesTime))
			breaches = append(breaches, e.checkAfterCrowd(n, c.Name)...)
			for _, other := range e.nodes {
				breaches = append(breaches, checkMemory(other, fmt.Sprintf("%s, at node %s", c.Name, other.name))...)
			}
		}
		breaches = append(breaches, e.checkAnswered(e.nodes[0], "an adapter that exists", fleetstandin.Attempt{Kind: fleetstandin.KindStream, Path: "/stream/x", Model: "m0/a3", Timeout: requestTimeout})...)
		gomega.Expect(append(breaches, e.breaches()...)).To(gomega.BeEmpty())
	})
})
