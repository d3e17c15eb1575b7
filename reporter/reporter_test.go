package reporter_test

import (
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/logreader"
	"github.com/acaciaproxy/acaciaproxy/reporter"
)

func TestReporter(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "reporter")
}

var _ = ginkgo.Describe("logs with a truncated line and an invalid line", func() {
	read := func() *logreader.Log {
		log, err := logreader.ReadFiles([]string{"testdata/three.log"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return log
	}
	ginkgo.It("yield the trace of a request over nodes, with the load that it waited for", func() {
		var text strings.Builder
		gomega.Expect(reporter.Trace(&text, read(), "r1")).To(gomega.BeTrue())
		lines := strings.Split(strings.TrimSpace(text.String()), "\n")
		gomega.Expect(lines).To(gomega.HaveLen(4))
		gomega.Expect(lines[0]).To(gomega.ContainSubstring("request held"))
		gomega.Expect(lines[1]).To(gomega.ContainSubstring("0.020 node-a-1 load decided"))
		gomega.Expect(lines[3]).To(gomega.ContainSubstring("request answered"))
		gomega.Expect(reporter.Trace(&text, read(), "r9")).To(gomega.BeFalse())
	})
	ginkgo.It("are summarized, with the invalid lines counted by file", func() {
		report := reporter.Summarize(read())
		gomega.Expect(report.Ends).To(gomega.Equal([]reporter.Count{{Name: "answered", Count: 1}, {Name: "not_loaded", Count: 1}}))
		gomega.Expect(report.MeanLoadMS["disk"]).To(gomega.Equal(1100.0))
		gomega.Expect(report.OmittedLines).To(gomega.Equal(4))
		gomega.Expect(report.Warnings).To(gomega.Equal([]string{"testdata/three.log: 2 lines are no log lines"}))
		var page strings.Builder
		gomega.Expect(report.WritePage(&page)).To(gomega.Succeed())
		gomega.Expect(page.String()).To(gomega.ContainSubstring("not_loaded"))
		gomega.Expect(page.String()).NotTo(gomega.MatchRegexp(`(src|href)=`))
	})
})

// Guards against a trace that hides which connections a request went over, or whom else a response to it met.
var _ = ginkgo.Describe("the trace of a request that was sent more than once", func() {
	ginkgo.It("shows each try on a line, and the other request that got a response to it", func() {
		log, err := logreader.ReadFiles([]string{"testdata/tries.log"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var text strings.Builder
		gomega.Expect(reporter.Trace(&text, log, "r1")).To(gomega.BeTrue())
		gomega.Expect(strings.Split(strings.TrimSuffix(text.String(), "\n"), "\n")).To(gomega.Equal([]string{
			">    0.000 front-b-3 send failed address=10.0.0.1:80 answered_request=r1 connection_number=7 worker=w1",
			">    0.020 front-b-3 request not answered after_ms=30 code=broken",
			">            try 1 w1 10.0.0.1:80 #7 after 0: not run, replaced, status 421",
			">            try 2 w2 10.0.0.1:80 #7 after 1: broken, EOF",
			"     0.030 front-b-3 response belongs to another send answered_request=r1 request=r2 worker=w2",
		}))
	})
})

// FuzzRead passes arbitrary bytes to the log reader, and the lines read to Trace,
// Summarize and Print, none of which may panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"time":"2026-08-24T00:20:36.700Z","message":"request answered","request":"r","after_ms":1}`))
	f.Add([]byte("node {\"time\":1}\n\x00{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		log, err := logreader.Read("f", strings.NewReader(string(text)))
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		reporter.Trace(&out, log, "r")
		reporter.Summarize(log).Print(&out)
	})
}
