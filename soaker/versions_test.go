package soaker

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
)

// Guards against streams that go on at a worker of another software version than the one that began them, in one response or when their callers take
// them up at another node.
var _ = ginkgo.Describe("streams while workers of two software versions serve", func() {
	ginkgo.It("go on at the version that began them, also at other nodes and after kills", func() {
		leavesAndStreams.expectKept("testdata/versions.json")
	})
	ginkgo.It("go on at their version while all nodes are killed in turn", func() {
		playScripts("testdata/versions_kills.json", checkStreams)
	})
})

// checkStreams returns the breaches of the guarantees on streams that callers take up in a script.
func checkStreams(e *environment) []string {
	breaches := e.streams.check()
	if _, takenUp := e.streams.counts(true); takenUp < minTakenUp {
		breaches = append(breaches, fmt.Sprintf("the script is void: %d streams were taken up", takenUp))
	}
	return breaches
}
