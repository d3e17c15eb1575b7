package scheduler_test

import (
	"math"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/scheduler"
)

// Guards against one caller that names a count of tokens far from any prompt's, by which its route gets all places or none.
var _ = ginkgo.Describe("requests with an absurd count of prompt tokens", func() {
	for name, tokens := range map[string]int{"below 0": -math.MaxInt64, "beyond all prompts": math.MaxInt64} {
		ginkgo.It(name+" change the shares by a few places only", func() {
			queue := scheduler.NewQueue()
			add := func(route string, promptTokens int) {
				queue.Add(at(0), scheduler.Request{Route: route, PromptTokens: promptTokens, DueAt: at(1000), LatestStart: at(2000)}, 0.5)
			}
			start := func() string {
				ticket := queue.Next(func(*scheduler.Ticket) bool { return true })
				queue.Start(at(1), ticket)
				return ticket.Request().Route
			}
			places := map[string]int{}
			add("absurd", tokens)
			for range 200 {
				add("absurd", 100)
				add("other", 100)
			}
			for range 100 {
				places[start()]++
			}
			gomega.Expect(places["absurd"]).To(gomega.BeNumerically("~", 50, 20))
		})
	}
})
