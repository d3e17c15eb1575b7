package launcher

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
)

const (
	// floodCallers is the number of callers whose requests wait at a node, floodTime how long they go on.
	floodCallers = 200
	floodTime    = 2 * time.Second
	// maxNodeBytes is the memory of the smallest host of the users.
	maxNodeBytes = 184 << 20
)

// Guards against endpoints that send bytes without end, which fill the memory of the node that called them and so end the requests of its other callers.
var _ = ginkgo.Describe("endpoints that send bytes without end", func() {
	var floods []struct {
		Name, Head, Filler string
		// Bytes is the number of bytes between Head and Filler.
		Bytes, PauseMS int
	}
	gomega.Expect(casereader.Read("testdata/floods.json", &floods)).To(gomega.Succeed())
	ginkgo.It("end no node, and cost callers of models nothing", func() {
		set := startQuickStartSet()
		node := set.Nodes()[0]
		for _, flood := range floods {
			ginkgo.By(flood.Name)
			for i, zone := range []string{"a", "b"} {
				peer, err := rawpeer.NewFloodingWorker(rawpeer.Flood{Head: flood.Head + strings.Repeat("x", flood.Bytes), Filler: flood.Filler, Pause: time.Duration(flood.PauseMS) * time.Millisecond})
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				defer peer.Close()
				gomega.Expect(set.SetHost(platformclient.Host{
					ID: fmt.Sprintf("register-%s-%d", zone, 2+i), Kind: platformclient.HostWorker, Group: "register-" + zone, Zone: "zone-" + zone, Address: peer.Address(), State: platformclient.StateLive,
				})).To(gomega.Succeed())
			}
			time.Sleep(time.Second) // The nodes read the host list.
			gomega.Expect(sendBesideFlood(node)).To(gomega.BeZero(), "requests for a model that were not answered")
			held, err := node.PeakBytes()
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(held>>20).To(gomega.BeNumerically("<=", maxNodeBytes>>20), "MB that the node took")
			gomega.Expect(node.Signal(syscall.Signal(0))).To(gomega.Succeed(), "the node runs")
		}
	})
})

// sendBesideFlood sends requests for the flooding service to a node, and some for a model, and returns the number of the latter that were not answered.
func sendBesideFlood(node *Process) (unanswered int64) {
	var failed atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(floodTime)
	send := func(path string, judge func(*http.Response, error)) {
		client := &http.Client{Timeout: 3 * time.Second}
		for time.Now().Before(end) {
			response, err := client.Post("http://"+node.address+path, "application/json", strings.NewReader(`{"model":"occupations","prompt":"x","max_tokens":4}`))
			judge(response, err)
			if err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for range floodCallers {
		callers.Go(func() { send("/prices/x", func(*http.Response, error) {}) })
	}
	for range 4 {
		callers.Go(func() {
			send("/v1/completions", func(response *http.Response, err error) {
				if err != nil || response.StatusCode != http.StatusOK {
					failed.Add(1)
				}
			})
		})
	}
	callers.Wait()
	return failed.Load()
}
