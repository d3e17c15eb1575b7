package forwarder_test

import (
	"io"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
)

// Guards against a failed response that is lost or changed because a second send went no better, and against a repeat where none is allowed.
var _ = ginkgo.Describe("requests that a worker answers with status 500", func() {
	var scripts []struct {
		Name, Route string
		// Off is set if the setting is; NewKind is the kind in a newer configuration, empty without one.
		Off, NoBudget bool
		NewKind       string
		Sends         []scriptedSend
		Status        int
		Body          string
		Lines         []string
	}
	gomega.Expect(casereader.Read("testdata/repeats.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			f := newFixture(script.Sends, script.NoBudget, func(dependencies *forwarder.Dependencies) { dependencies.RepeatFailed = !script.Off })
			defer f.server.Close()
			f.newKind = script.NewKind
			logged := casereader.NewCapture()
			defer logged.Close()
			began := time.Now()
			response, err := http.DefaultTransport.RoundTrip(f.request("/"+script.Route+"/x", ""))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			body, err := io.ReadAll(response.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<=", 1600*time.Millisecond), "the route's timeout, and 0.1 s of a busy machine")
			gomega.Expect(response.StatusCode).To(gomega.Equal(script.Status))
			gomega.Expect(string(body)).To(gomega.Equal(script.Body))
			gomega.Expect(response.Header.Get("Signature")).To(gomega.Equal(script.Body), "the response has its own signature")
			f.mu.Lock()
			gomega.Expect(f.sent).To(gomega.Equal(len(script.Sends)), "sends")
			f.mu.Unlock()
			gomega.Eventually(func() []string { return logged.Missing(script.Lines) }, time.Second).Should(gomega.BeEmpty(), logged.String)
		})
	}
})
