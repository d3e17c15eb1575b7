package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Guards against a request that crashes workers being sent on because the nodes that counted its crashes were killed.
var _ = ginkgo.Describe("a request that crashes workers", func() {
	ginkgo.It("is not sent to more workers after the nodes that counted its crashes were killed", func() {
		crashingRequests.expectKept("testdata/crashing_requests.json")
	})
})

// checkCrashes returns the breaches of the guarantee on a request that crashes workers in a script.
func checkCrashes(e *environment) []string {
	return checkCauses(e, fleetstandin.CauseBody)
}

// checkCauses returns the breaches of the guarantees on requests that crash workers for the causes.
func checkCauses(e *environment, causes ...fleetstandin.CrashCause) []string {
	var breaches []string
	crashes := 0
	for _, cause := range causes {
		breaches = append(breaches, checkCrashingRequests(e.record, cause, func(time.Time) bool { return true })...)
		crashes += len(e.record.Crashes(cause))
	}
	if crashes < minCrashes {
		breaches = append(breaches, fmt.Sprintf("the script is void: only %d workers were crashed", crashes))
	}
	return breaches
}

// minCrashes is how many workers a script must crash at least; with fewer it shows nothing.
const minCrashes = 2

// Guards against requests alike, or with one crashing part, being sent together when the model for which they wait is loaded: each was checked before any of
// them crashed the worker.
var _ = ginkgo.Describe("requests that crash workers and come together", func() {
	ginkgo.It("are tried one at a time once one of them has crashed a worker", func() {
		crashingRequests.expectKept("testdata/crashing_bursts.json")
	})
})

// checkBursts is checkCrashes for requests that come together, with either cause.
func checkBursts(e *environment) []string {
	return checkCauses(e, fleetstandin.CauseBody, fleetstandin.CausePart)
}

// sendTogether sends crashing requests to all nodes at the same moment, and returns when all have ended. Those with a part differ in all else.
func (e *environment) sendTogether(count int, cause fleetstandin.CrashCause) {
	var sending sync.WaitGroup
	for i := range count {
		sending.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			n := e.nodes[i%len(e.nodes)]
			if cause == fleetstandin.CausePart {
				e.parts.sendCrashing(client, n)
				return
			}
			id := fmt.Sprintf("together-%d-%d", i, time.Now().UnixNano())
			fleetstandin.SendCrashing(client, n.callerAddress, fleetstandin.KindStream, "/stream/x", id, e.models[0], requestTimeout)
		})
	}
	sending.Wait()
}

// sendUntilCrash sends the crashing request to a node until it has crashed a worker or is refused for its crashes.
func (e *environment) sendUntilCrash(n *node) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	before := len(e.record.Crashes(fleetstandin.CauseBody))
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		id := fmt.Sprintf("crash-%s-%d", n.name, time.Now().UnixNano())
		result := fleetstandin.SendCrashing(client, n.callerAddress, fleetstandin.KindStream, "/stream/x", id, e.models[0], requestTimeout)
		if len(e.record.Crashes(fleetstandin.CauseBody)) > before || strings.Contains(result.Body, "crashes_workers") {
			return nil
		}
	}
	return fmt.Errorf("node %s neither sent the request to a worker nor refused it for its crashes", n.name)
}
