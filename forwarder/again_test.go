package forwarder_test

import (
	"io"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against a late copy of an earlier refusal that is taken for the response to a request which the same worker runs.
var _ = ginkgo.Describe("a request that a worker turned away", func() {
	ginkgo.It("is sent to the same worker over a new connection", func() {
		full := scriptedSend{NotRun: "full"}
		f := newFixture([]scriptedSend{full, full, full, {Status: 200, Body: "id:1\ndata:a\n\n"}}, false)
		defer f.server.Close()
		response, err := http.DefaultTransport.RoundTrip(f.request("/stream/x", "m"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadAll(response.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.mu.Lock()
		defer f.mu.Unlock()
		gomega.Expect(f.again).To(gomega.Equal([]bool{false, false, true, true}))
	})
})
