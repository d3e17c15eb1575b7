package soaker

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Guards against a worker whose entry was removed getting requests from a node whose own path to the store had been cut (DRAIN).
var _ = ginkgo.Describe("workers that leave by their entry alone while nodes are cut off from the store", func() {
	ginkgo.It("get no requests from any node that is back", func() {
		leavesAndStreams.expectKept("testdata/unlisted_workers.json")
	})
})

// isolate cuts nodes off from the store.
func (p *player) isolate(nodes []*node, how cut) error {
	for _, n := range nodes {
		end := p.environment.beginFault(n)
		if err := how.begin(n); err != nil {
			return err
		}
		p.endCuts = append(p.endCuts, func() error { defer end(); return n.endCut() })
	}
	return nil
}

// checkStrictly returns the breaches of the guarantee that no node sends requests to workers that have left while another one can tell it, also if it is cut off
// from the store.
func (p *player) checkStrictly() []string {
	if !p.strict {
		return nil
	}
	return lo.Map(p.environment.record.LateArrivals(), func(a fleetstandin.LateArrival, _ int) string {
		return fmt.Sprintf("DRAIN: attempt %s reached worker %s %s after it had left, from some node", a.Attempt, a.Worker, a.At.Sub(a.LeftAt).Round(time.Millisecond))
	})
}

// reunite ends all cuts.
func (p *player) reunite() error {
	for _, end := range p.endCuts {
		if err := end(); err != nil {
			return err
		}
	}
	p.endCuts = nil
	return nil
}

// Guards against callers being refused because nodes drop workers whose entries lapsed in an outage of the store.
var _ = ginkgo.Describe("workers whose entries lapse in an outage of the store", func() {
	ginkgo.It("get requests throughout", func() {
		entriesAndPauses.expectKept("testdata/lapsed_entries.json")
	})
})

// lapse plays an outage of the store in which all entries lapse: its fault and its seconds.
func (p *player) lapse(words []string) error {
	seconds, err := strconv.ParseFloat(words[1], 64)
	if err != nil {
		return err
	}
	p.lapsedAt = time.Now()
	defer p.environment.beginFault(p.environment.store)()
	p.environment.lapse(rand.New(rand.NewPCG(uint64(len(p.environment.nodes)), 19)), fleetstandin.Fault(words[0]), time.Duration(seconds*float64(time.Second)), 0)
	return nil
}

// maxLapsedFailures is such that at most one in so many attempts may fail from the start of an outage in which entries lapse on.
const maxLapsedFailures = 100

// checkLapsed returns the breach of the guarantee that callers are served while entries are missing that have lapsed.
func (p *player) checkLapsed() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lapsedAt.IsZero() {
		return nil
	}
	since := lo.Filter(p.attempts, func(a nodeAttempt, _ int) bool { return a.sentAt.After(p.lapsedAt) })
	failed := lo.CountBy(since, func(a nodeAttempt) bool { return !a.served })
	if failed*maxLapsedFailures <= len(since) {
		return nil
	}
	return []string{fmt.Sprintf("RECOVER: %d of %d attempts failed during and after an outage in which entries lapsed", failed, len(since))}
}
