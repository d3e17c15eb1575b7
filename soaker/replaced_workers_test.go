package soaker

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"
)

// Guards against a copy of the refusal of a request that was meant for the worker before, taken for the response to the same request (REFUSED, TWICE).
var _ = ginkgo.Describe("requests that must run once while workers are replaced at their address", func() {
	ginkgo.It("run once, and never after a refusal, whichever ID the worker behind a connection has", func() {
		playScripts("testdata/replaced_workers.json", checkSuccessions)
	})
})

// Numbers of successions and of requests that were meant for the worker before, below which a script proves nothing.
const (
	minSuccessions = 20
	minMisdirected = 50
)

// checkSuccessions returns a line if the script is void.
func checkSuccessions(e *environment) []string {
	successions := lo.SumBy(e.endpoints, func(target *endpoint) int { return target.successions })
	refusals, _ := e.record.Refusals()
	if misdirected := e.record.Misdirected(); successions < minSuccessions || misdirected < minMisdirected || refusals < minScriptRefusals {
		return []string{fmt.Sprintf("the script is void: %d workers were replaced, %d of %d refusals were those of requests for another worker", successions, misdirected, refusals)}
	}
	return nil
}

// successionInterval is the time between two successions at one address.
const successionInterval = 2 * time.Second

// startSuccessions replaces workers of a service at their addresses, one after the other, until the end; the words are those of forWorkers.
func (p *player) startSuccessions(words []string, keepsID bool) error {
	var targets []*endpoint
	var end time.Time
	err := p.environment.forWorkers(words, func(target *endpoint, seconds float64) {
		targets, end = append(targets, target), time.Now().Add(time.Duration(seconds*float64(time.Second)))
	})
	p.load.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			p.environment.succeed(targets[i%len(targets)], keepsID)
			time.Sleep(successionInterval / time.Duration(len(targets)))
		}
	})
	return err
}
