package soaker

import (
	"github.com/onsi/ginkgo/v2"
)

// Guards against nodes that go on sending to a worker that has refused a request and asked for a pause.
var _ = ginkgo.Describe("workers that ask for a pause", func() {
	ginkgo.It("get hardly any requests until its end, and callers are refused at once with a true time", func() {
		entriesAndPauses.expectKept("testdata/pausing_workers.json")
	})
})
