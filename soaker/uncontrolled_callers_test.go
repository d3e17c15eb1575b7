package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/launcher"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
)

const (
	// crowdMemoryMB and crowdDescriptors are the settings "memory" and "descriptors" of the nodes, and what they may take at most.
	crowdMemoryMB    = 96
	crowdDescriptors = 400
	// crowdTime is how long a crowd stays connected, crowdEndTime the time after that in which an ordinary request must be answered.
	crowdTime    = 2 * time.Second
	crowdEndTime = 15 * time.Second
	// idleCallers is the number of connections that send nothing.
	idleCallers = 600
	// ordinaryBytes is the size of the body of the ordinary request.
	ordinaryBytes = 90000
)

// crowdCase is one entry of testdata/uncontrolled_callers.json.
type crowdCase struct {
	Name, Port string
	rawpeer.Crowd
	Messages int
}

// Guards against callers that fill the memory or take all file descriptors of a host, which ends the node's process and all requests there.
var _ = ginkgo.Describe("callers that send more than a node can hold", ginkgo.Serial, func() {
	ginkgo.It("end no process, and leave memory for an ordinary request", func() {
		var cases []crowdCase
		gomega.Expect(casereader.Read("testdata/uncontrolled_callers.json", &cases)).To(gomega.Succeed())
		e := startCrowdEnvironment(Spec{Nodes: (len(cases) + 1) / 2, MemoryMB: crowdMemoryMB})
		var breaches []string
		for i, c := range cases {
			n := e.nodes[i]
			address := map[string]string{"callers": n.callerAddress, "ready": n.readyAddress, "operators": n.operatorAddress}[c.Port]
			end := time.Now().Add(crowdTime)
			if c.Messages > 0 {
				c.sendMessages(n.peerAddress, end)
			} else {
				c.Play(address, end)
			}
			breaches = append(breaches, e.checkAfterCrowd(n, c.Name)...)
		}
		gomega.Expect(append(breaches, e.breaches()...)).To(gomega.BeEmpty())
	})
	ginkgo.It("leave file descriptors for an ordinary request", func() {
		e := startCrowdEnvironment(Spec{Nodes: 1, MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors})
		var breaches []string
		for _, n := range e.nodes[:1] {
			addresses := map[string]string{"callers": n.callerAddress, "ready": n.readyAddress, "operators": n.operatorAddress, "nodes": n.peerAddress}
			for port, address := range addresses {
				var crowd sync.WaitGroup
				crowd.Go(func() { rawpeer.Crowd{Callers: idleCallers}.Play(address, time.Now().Add(crowdTime/2)) })
				time.Sleep(crowdTime / 4)
				entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid()))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				ginkgo.GinkgoWriter.Printf("%s: %d descriptors\n", port, len(entries))
				if len(entries) > crowdDescriptors {
					breach := fmt.Sprintf("DESCRIPTORS: %d with %d connections to the address for %s", len(entries), idleCallers, port)
					breaches = append(breaches, breach)
				}
				crowd.Wait()
				breaches = append(breaches, e.checkAfterCrowd(n, port)...)
			}
		}
		gomega.Expect(append(breaches, e.breaches()...)).To(gomega.BeEmpty())
	})
})

// startCrowdEnvironment starts an environment that ends with the spec, or skips the spec without programs.
func startCrowdEnvironment(spec Spec) *environment {
	programs := os.Getenv("ACACIA_PROCESS_TESTS")
	if programs == "" {
		ginkgo.Skip("ACACIA_PROCESS_TESTS does not name the folder with the programs")
	}
	spec.Program = filepath.Join(programs, "acaciaproxy")
	e, err := newEnvironment(spec, newSpecFolder())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(e.close)
	return e
}

// pid returns the ID of the node's current process.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

// checkAfterCrowd returns the breaches of the guarantees that the node runs, has stayed within its memory and answers an ordinary request.
func (e *environment) checkAfterCrowd(n *node, name string) (breaches []string) {
	return append(checkMemory(n, name), e.checkAnswered(n, name, fleetstandin.Attempt{
		Kind: fleetstandin.KindOnce, Path: "/once/x", Timeout: time.Second, Body: strings.Repeat("x", ordinaryBytes), // It needs space that the crowd must have returned.
	})...)
}

// checkAnswered returns the breach of the guarantee that a node answers an attempt, whose ID it sets, at the latest crowdEndTime from now.
func (e *environment) checkAnswered(n *node, name string, attempt fleetstandin.Attempt) (breaches []string) {
	client := &http.Client{Timeout: attempt.Timeout}
	for deadline, number := time.Now().Add(crowdEndTime), 0; ; number++ {
		attempt.ID = fmt.Sprintf("after-%s-%s-%d", n.name, attempt.Kind, number)
		result := fleetstandin.SendAttempt(client, n.callerAddress, attempt)
		if result.Status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return []string{fmt.Sprintf("LOST: %s: an ordinary request got status %d (%v)", name, result.Status, result.Cause)}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkMemory returns the breaches of the guarantees that a node runs and has stayed within its memory.
func checkMemory(n *node, name string) []string {
	held, err := launcher.PeakBytes(n.pid())
	if err != nil {
		return []string{fmt.Sprintf("EXIT: %s: %v", name, err)}
	}
	ginkgo.GinkgoWriter.Printf("%s: peak %d MB\n", name, held>>20)
	if held > crowdMemoryMB<<20 {
		return []string{fmt.Sprintf("MEMORY: %s: %d MB of %d", name, held>>20, crowdMemoryMB)}
	}
	return nil
}

// sendMessages passes requests with large bodies to a node, as another node would, all at the same time, until the end.
func (c crowdCase) sendMessages(address string, end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var calls sync.WaitGroup
	body := make([]byte, c.Bytes)
	for range c.Messages {
		connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = connection.Close() }()
		calls.Go(func() {
			message := &nodewire.CarryRequest{Node: "crowd", Method: http.MethodPost, Target: "/once/x", Host: fleetstandin.Host, Body: body}
			stream, err := nodewire.NewFleetClient(connection).Carry(ctx, message)
			if err == nil {
				_, _ = stream.Recv() // How the node answers does not matter.
			}
		})
	}
	calls.Wait()
}
