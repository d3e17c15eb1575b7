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

// Guards against bytes of one response taken for another one: copies of answers and of responses to orders, extra bytes, and responses of the worker that had the address before.
var _ = ginkgo.Describe("requests and orders while workers repeat all kinds of responses", func() {
	ginkgo.It("run once, never after a refusal, and load no more than fits", func() {
		playScripts("testdata/repeated_responses.json", func(e *environment) []string {
			if repeats := e.record.Repeats(); repeats < minRepeats {
				return []string{fmt.Sprintf("the script is void: %d responses were repeated", repeats)}
			}
			return nil
		})
	})
})

// Numbers of successions, of requests that were meant for the worker before, and of repeated responses, below which a script proves nothing.
const (
	minRepeats     = 50
	minSuccessions = 20
	minMisdirected = 50
)

// checkSuccessions returns a line if the script is void.
func checkSuccessions(e *environment) []string {
	successions := lo.SumBy(e.endpoints, func(target *endpoint) int { return target.successions })
	if misdirected := e.record.Misdirected(); successions < minSuccessions || misdirected < minMisdirected {
		return []string{fmt.Sprintf("the script is void: %d workers were replaced, %d requests were for another worker", successions, misdirected)}
	}
	return nil
}

// successionInterval is the time between two successions at one address.
const successionInterval = 2 * time.Second

// startSuccessions replaces workers of a service at their addresses, one after the other, until the end; the words are those of forWorkers.
func (p *player) startSuccessions(words []string, replace func(e *environment, target *endpoint)) error {
	var targets []*endpoint
	var end time.Time
	err := p.environment.forWorkers(words, func(target *endpoint, seconds float64) {
		targets, end = append(targets, target), time.Now().Add(time.Duration(seconds*float64(time.Second)))
	})
	p.load.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			replace(p.environment, targets[i%len(targets)])
			time.Sleep(successionInterval / time.Duration(len(targets)))
		}
	})
	return err
}
