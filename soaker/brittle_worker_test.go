package soaker

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Limits of the scripts of brittle workers.
const (
	// maxFalls and maxFallShare bound how often brittle workers may fall over, with their number.
	maxFalls     = 2
	maxFallShare = 0.1
	// minServedShare is the least share of the attempts of an overload that must be served.
	minServedShare = 0.25
)

// Guards against workers that fall over since all nodes send them requests that they must turn away.
var _ = ginkgo.Describe("brittle workers", func() {
	ginkgo.It("do not fall over under more requests than they have room for, also while nodes are killed, and go on serving", func() {
		playScripts("testdata/brittle_workers.json", func(e *environment) []string {
			var found []string
			if falls := len(e.record.Crashes(fleetstandin.CauseBrittle)); float64(falls) > maxFalls+maxFallShare*float64(len(e.endpoints)) {
				found = append(found, fmt.Sprintf("LIMIT: brittle workers fell over %d times", falls))
			}
			return found
		})
	})
})

// checkServed returns a breach if the share of an overload's attempts that were served is below minServedShare, or that of attempts beside odd entries below
// minAnsweredShare.
func (p *player) checkServed() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	served := lo.CountBy(p.attempts, func(a nodeAttempt) bool { return a.served })
	if p.odd && float64(served) < minAnsweredShare*float64(len(p.attempts)) {
		return []string{fmt.Sprintf("RECOVER: %d of %d attempts served beside odd entries", served, len(p.attempts))}
	}
	if p.overloaded && float64(served) < minServedShare*float64(len(p.attempts)) {
		return []string{fmt.Sprintf("RECOVER: %d of %d attempts served", served, len(p.attempts))}
	}
	return nil
}
