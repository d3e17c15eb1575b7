package soaker

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
)

// minLimitedAttempts is how many attempts a worker must get at least while it names a limit: a tenth of the least that the scripts allow it.
const minLimitedAttempts = 3

// Guards against workers that name a limit for all nodes together and get it from each node, or anew from each life of a node.
var _ = ginkgo.Describe("workers that name a limit", func() {
	ginkgo.It("get no more from all nodes together, also while nodes are killed, and are still used", func() {
		limitsAndEntries.expectKept("testdata/worker_limits.json")
	})
})

// checkUse returns the breaches of the guarantee that workers which name a limit are still used.
func checkUse(e *environment) []string {
	var unused []string
	for worker, attempts := range e.record.Limited() {
		if attempts < minLimitedAttempts {
			unused = append(unused, fmt.Sprintf("UNUSED: worker %s got %d attempts while it named a limit", worker, attempts))
		}
	}
	return unused
}
