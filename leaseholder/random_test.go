package leaseholder

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
)

const (
	// randomRuns is the number of random sequences of events, each with randomSteps steps of at most maxStepMS.
	randomRuns  = 400
	randomSteps = 40
	maxStepMS   = 3000
	// maxFollowMS bounds the time for which a process that has started does not hear the leader yet.
	maxFollowMS = 1000
)

// Guards against two nodes that send orders under one lease, too soon after each other or under a lower epoch, after any sequence of kills, freezes, cuts,
// handovers, outages and returns of the store from a copy.
var _ = ginkgo.Describe("leases under random events", func() {
	ginkgo.It("have one holder at a time, and holders keep the quiet period", func() {
		for seed := range uint64(randomRuns) {
			logged := casereader.NewCapture()
			events := playRandom(seed)
			logged.Close()
			gomega.Expect(events).NotTo(gomega.BeEmpty())
		}
	})
})

// playRandom plays a sequence of events in a zone of four nodes and returns them. It names them if the zone fails the test.
func playRandom(seed uint64) (events []string) {
	random := rand.New(rand.NewPCG(seed, 17))
	z := newFakeZone()
	z.followMS, z.forwards = random.Int64N(maxFollowMS), seed%2 == 0
	names := []string{"a", "b", "c", "d"}
	gomega.RegisterFailHandler(func(message string, _ ...int) {
		gomega.RegisterFailHandler(ginkgo.Fail)
		ginkgo.Fail(fmt.Sprintf("seed %d: %s after\n%s", seed, message, strings.Join(events, "\n")))
	})
	defer gomega.RegisterFailHandler(ginkgo.Fail)
	for range randomSteps {
		step := scenarioStep{AfterMS: random.Int64N(maxStepMS/loopMS) * loopMS, Unchecked: true}
		name := names[random.IntN(len(names))]
		_, running := z.nodes[name]
		actions := []string{"start " + name}
		if running {
			actions = []string{"resign " + name, "kill " + name, "freeze " + name, "thaw " + name, "cut " + name, "join " + name, "away " + name, "near " + name, "", "down", "up", "lose", "keep", "copy", "restore"}
		}
		switch step.Do = actions[random.IntN(len(actions))]; {
		case strings.HasPrefix(step.Do, "resign") && z.frozen[name]: // A frozen process handles no signal.
			step.Do = "thaw " + name
		case step.Do == "restore" && z.copies[""].version == 0 && z.version == 0:
			step.Do = ""
		case strings.HasPrefix(step.Do, "kill"):
			z.frozen[name] = false
		}
		events = append(events, fmt.Sprintf("%d ms %s", step.AfterMS, step.Do))
		z.run(step)
	}
	return events
}
