package forwarder_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
)

// triesScript is one script of testdata/tries.json.
type triesScript struct {
	Name, Route, Model string
	// Carrier is how another node takes the request, From the node that passed it on, empty for a caller's.
	Carrier, From string
	Sends         []scriptedSend
	// Lines are log lines that must appear.
	Lines []string
}

// play sends the script's request and returns when it has ended.
func (s triesScript) play() {
	f := newFixture(s.Sends, false)
	defer f.server.Close()
	f.carrier = s.Carrier
	request := f.request("/"+s.Route+"/x", s.Model)
	if s.From != "" {
		request.RequestURI = "/" + s.Route + "/x"
		f.forwarder.ServeCarried(&carriedRecorder{httptest.NewRecorder()}, request, s.From, false, forwarder.Credential{}, &forwarder.CarriedOutcome{})
		return
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// Guards against a record from which it can't be told which worker, over which connection, a request was refused by or ran at.
var _ = ginkgo.Describe("the line about the end of a request", func() {
	var scripts []triesScript
	gomega.Expect(casereader.Read("testdata/tries.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It("names its sends: "+script.Name, func() {
			logged := casereader.NewCapture()
			defer logged.Close()
			script.play()
			gomega.Eventually(func() []string { return logged.Missing(script.Lines) }, time.Second).Should(gomega.BeEmpty(), logged.String)
		})
	}
	// Guards against a second of many refusals that leaves out the line about a request which reached a worker.
	ginkgo.It("is written for a request that was sent, beside many that were not", func() {
		logged := casereader.NewCapture()
		defer logged.Close()
		unknown := triesScript{Route: "unknown"}
		for range 300 {
			unknown.play()
		}
		triesScript{Route: "once", Sends: []scriptedSend{{NotRun: "full", Connected: true, Answered: "r", Status: 503}, {Broken: true}}}.play()
		gomega.Eventually(func() []string {
			return logged.Missing([]string{"request not answered|\"code\":\"broken\"|#| after 0: not run, full, status 503"})
		}, time.Second).Should(gomega.BeEmpty())
		time.Sleep(time.Second) // Later tests have their lines.
	})
})
