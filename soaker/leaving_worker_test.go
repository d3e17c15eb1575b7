package soaker

import (
	"github.com/onsi/ginkgo/v2"
)

// Guards against nodes that go on sending to a worker that leaves because only its responses say so.
var _ = ginkgo.Describe("workers whose responses say that they leave", func() {
	ginkgo.It("get no requests soon after the first such response, whatever the list of workers says", func() {
		entriesAndPauses.expectKept("testdata/leaving_workers.json")
	})
})
