package forwarder_test

import (
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/forwarder"
)

// Guards against workers that lose their traffic because this node has no memory left to hold their responses.
var _ = ginkgo.It("a response for which this node lacks memory is no failure of its worker", func() {
	const sends = 6 // Three for each worker.
	script := make([]scriptedSend, sends)
	for i := range script {
		script[i] = scriptedSend{Status: http.StatusOK, Body: strings.Repeat("a", 20000)}
	}
	f := newFixture(script, false, func(dependencies *forwarder.Dependencies) {
		dependencies.Host.Memory = 64 << 10 // 8 KB of it for small responses.
	})
	defer f.server.Close()
	ejected := f.recorder.CounterValue("workers ejected")
	for range sends {
		response, err := http.DefaultTransport.RoundTrip(f.request("/once/x", ""))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadGateway))
	}
	gomega.Expect(f.recorder.CounterValue("workers ejected")).To(gomega.Equal(ejected))
})
