package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Guards against a request that runs although its caller was promised that it never will (REFUSED), and against one that must run once and runs twice (TWICE).
var _ = ginkgo.Describe("requests that must run once while workers are faulty", func() {
	ginkgo.It("run once, and never after a refusal", func() {
		playScripts("testdata/faulty_workers.json", func(e *environment) []string {
			refusals, failures := e.record.Refusals()
			if refusals < minScriptRefusals {
				return []string{fmt.Sprintf("the script is void: workers refused %d requests", refusals)}
			}
			if lo.SomeBy(e.endpoints, func(target *endpoint) bool { return target.faults.Unmarked > 0 }) && failures < minScriptFailures {
				return []string{fmt.Sprintf("the script is void: workers ended %d runs in a signed failure", failures)}
			}
			return nil
		})
	})
})

// minScriptRefusals is the number of refusals by workers below which a script proves nothing.
const minScriptRefusals = 200

// minScriptFailures is the same for runs that end in a signed failure, in scripts that have them.
const minScriptFailures = 20

// faultsByName are the faults that a "faulty" step names.
var faultsByName = map[string]fleetstandin.Faults{
	"named":    faultyWorkers[0],
	"nameless": faultyWorkers[1],
	"unmarked": faultyWorkers[2],
	"several":  {Repeat: 1, Copies: 3},
	"late":     {Repeat: 1, Copies: 2, Delay: 45 * time.Millisecond},
	"answers":  {RepeatAnswers: 2, Unmarked: 20},
	"extra":    {Extra: 2},
	"control":  {Repeat: 2, RepeatControl: 2},
	"sound":    {},
}

// setFaulty makes all workers faulty, each one in the next of some ways.
func (p *player) setFaulty(names []string) error {
	if len(names) == 0 {
		return fmt.Errorf("no faults are named")
	}
	for i, target := range p.environment.endpoints {
		faults, known := faultsByName[names[i%len(names)]]
		if !known {
			return fmt.Errorf("no such faults")
		}
		target.setFaults(faults)
	}
	return nil
}

// startOnce starts callers of requests that must run once, on connections that are kept, until the end.
func (p *player) startOnce(end time.Time) {
	for i := range loadCallers {
		random := rand.New(rand.NewPCG(uint64(i), 17))
		p.load.Go(func() {
			client := &http.Client{Timeout: requestTimeout + timeoutTolerance}
			for number := 0; time.Now().Before(end); number++ {
				kind := []fleetstandin.Kind{fleetstandin.KindOnce, fleetstandin.KindStream}[random.IntN(2)]
				p.send(client, random, kind, fmt.Sprintf("o%d-%d", i, number), number)
				time.Sleep(time.Duration(random.ExpFloat64() * float64(oncePause)))
			}
		})
	}
}

// oncePause is the mean pause between two requests of a caller of startOnce.
const oncePause = 60 * time.Millisecond
