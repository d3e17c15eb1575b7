package soaker

import (
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/faultinjector"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Guards against callers of nodes that have lost the path to all workers being refused while the other nodes reach them.
var _ = ginkgo.Describe("nodes that are cut off from all workers", func() {
	ginkgo.It("serve their callers by way of the others", func() {
		playScripts("testdata/cut_nodes.json", func(*environment) []string { return nil })
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
	node   *node
	sentAt time.Time
	served bool
}

// cutNodes cuts nodes off from all workers: connections are refused or, with how "hang", not answered.
func (p *player) cutNodes(nodes []*node, how string) error {
	silent, err := faultinjector.New("127.0.0.1:1")
	if err != nil {
		return err
	}
	silent.SetMode(faultinjector.ModeDropAll)
	if how != "hang" {
		silent.Refuse()
	}
	view, err := p.environment.listen(http.Handler(fleetstandin.CutView(p.environment.store, silent.Address())))
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
