package soaker

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/faultinjector"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Guards against callers of nodes that have lost the path to all workers being refused while the other nodes reach them.
var _ = ginkgo.Describe("nodes that are cut off from all workers", func() {
	ginkgo.It("serve their callers by way of the others", func() {
		passedOnRequests.expectKept("testdata/cut_nodes.json")
	})
})

// Guards against retries that no node counts: a request that is passed to another node is new there.
var _ = ginkgo.Describe("requests that are passed on", func() {
	ginkgo.It("stay within the retry budget of all nodes while workers turn them away", func() {
		passedOnRequests.expectKept("testdata/passed_on.json")
	})
})

// Limits of what callers of cut nodes see, from faultEffectTime after the cut on: their attempts are served at least minCutShare as often as those at other nodes,
// or at most cutSlack and one in cutFailures of them fail.
const (
	minCutShare = 2.0 / 3
	cutSlack    = 10
	cutFailures = 50
)

// nodeAttempt is an attempt of the load of a script.
type nodeAttempt struct {
	id     string
	kind   fleetstandin.Kind
	node   *node
	sentAt time.Time
	// status is that of the response, 0 without one.
	status int
	served bool
}

// cutAddresses is the number of addresses that a cut node finds in the list of workers: nodes count the addresses that they do not reach.
const cutAddresses = 16

// cutNodes cuts nodes off from all workers: connections are refused or, with how "hang", not answered.
func (p *player) cutNodes(nodes []*node, how string) error {
	addresses := make([]string, cutAddresses)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("127.0.0.%d:1", i+1)
		if how == "hang" {
			silent, err := faultinjector.ListenSilently("127.0.0.1:0") // Stays open until this process ends.
			if err != nil {
				return err
			}
			addresses[i] = silent.Addr().String()
		}
	}
	view, err := p.environment.listen(fleetstandin.CutView(p.environment.store, addresses))
	if err != nil {
		return err
	}
	for _, n := range nodes {
		n.storeProxy.SetTarget(view)
		n.storeProxy.Reset()
	}
	p.cut, p.cutAt = nodes, time.Now()
	return nil
}

// checkCut returns the breach of the guarantee that callers of cut nodes are served about as often as those of others.
func (p *player) checkCut() []string {
	if len(p.cut) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	late := lo.Filter(p.attempts, func(a nodeAttempt, _ int) bool { return a.sentAt.Sub(p.cutAt) > faultEffectTime })
	isServed := func(a nodeAttempt) bool { return a.served }
	atCut, elsewhere := lo.FilterReject(late, func(a nodeAttempt, _ int) bool { return lo.Contains(p.cut, a.node) })
	served, others := lo.CountBy(atCut, isServed), lo.CountBy(elsewhere, isServed)
	failed := len(atCut) - served
	if float64(served)*float64(len(elsewhere)) >= minCutShare*float64(others)*float64(len(atCut)) || failed <= cutSlack+len(atCut)/cutFailures {
		return nil
	}
	return []string{fmt.Sprintf("RECOVER: nodes that were cut off from all workers served %d of %d attempts, the others %d of %d", served, len(atCut), others, len(elsewhere))}
}
