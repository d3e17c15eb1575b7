package launcher

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
)

const (
	// crowdMemoryMB and crowdDescriptors are the settings "memory" and "descriptors" of the nodes, and what they may take at most.
	crowdMemoryMB    = 96
	crowdDescriptors = 1200
	// crowdTime is how long a crowd stays connected, crowdEndTime the time after that in which an ordinary request must be answered.
	crowdTime    = 2 * time.Second
	crowdEndTime = 15 * time.Second
	// requestsTime bounds a crowd that sends a number of requests; it ends earlier once all are answered.
	requestsTime = 20 * time.Second
	// idleCallers is the number of connections that send nothing.
	idleCallers = 1500
	// ordinaryBytes is the size of the prompt of the ordinary request.
	ordinaryBytes = 90000
)

// Guards against callers of the own interface that fill the memory or take all file descriptors of a host, which ends the node's process.
var _ = ginkgo.Describe("callers that send more than a node can hold", ginkgo.Serial, func() {
	ginkgo.It("end no process, and leave memory and file descriptors for an ordinary request", func() {
		var cases []struct {
			Name, Port string
			rawpeer.Crowd
		}
		gomega.Expect(casereader.Read("testdata/uncontrolled_callers.json", &cases)).To(gomega.Succeed())
		set, err := Start(Spec{
			Programs: os.Getenv(programsVariable), Configuration: "../examples/quickstart",
			NodesPerZone: (len(cases) + 2) / 2, FirstTokenMS: 10, TokenMS: 2, MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors,
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(set.Close)
		var breaches []string
		for i, c := range cases {
			node := set.Nodes()[i]
			address := map[string]string{"callers": node.Address(), "operators": node.OperatorAddress()}[c.Port]
			end := time.Now().Add(crowdTime)
			if c.Requests > 0 {
				end = time.Now().Add(requestsTime)
			}
			c.Play(address, end)
			breaches = append(breaches, checkAfterCrowd(node, c.Name)...)
		}
		node := set.Nodes()[len(cases)]
		var crowd sync.WaitGroup
		crowd.Go(func() { rawpeer.Crowd{Callers: idleCallers}.Play(node.Address(), time.Now().Add(crowdTime)) })
		time.Sleep(crowdTime / 2)
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", node.command.Process.Pid))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.GinkgoWriter.Printf("%d descriptors\n", len(entries))
		if len(entries) > crowdDescriptors {
			breaches = append(breaches, fmt.Sprintf("DESCRIPTORS: %d with %d connections", len(entries), idleCallers))
		}
		crowd.Wait()
		gomega.Expect(append(breaches, checkAfterCrowd(node, "idle connections")...)).To(gomega.BeEmpty())
	})
})

// checkAfterCrowd returns the breaches of the guarantees that a node runs, has stayed within its memory and answers an ordinary request.
func checkAfterCrowd(node *Process, name string) (breaches []string) {
	held, err := node.PeakBytes()
	if err != nil {
		return []string{fmt.Sprintf("EXIT: %s: %v", name, err)}
	}
	ginkgo.GinkgoWriter.Printf("%s: peak %d MB\n", name, held>>20)
	if held > crowdMemoryMB<<20 {
		breaches = append(breaches, fmt.Sprintf("MEMORY: %s: %d MB of %d", name, held>>20, crowdMemoryMB))
	}
	client := &http.Client{Timeout: 3 * time.Second}
	for deadline := time.Now().Add(crowdEndTime); ; {
		// It needs space that the crowd must have returned.
		body := strings.NewReader(`{"model":"occupations","prompt":"` + strings.Repeat("x", ordinaryBytes) + `","max_tokens":4}`)
		response, err := client.Post("http://"+node.address+"/v1/completions", "application/json", body)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return breaches
			}
		}
		if time.Now().After(deadline) {
			return append(breaches, fmt.Sprintf("LOST: %s: an ordinary request was not answered with status 200 (%v)", name, err))
		}
		time.Sleep(100 * time.Millisecond)
	}
}
