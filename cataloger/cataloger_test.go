package cataloger_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
)

func TestCataloger(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "cataloger")
}

// findCases is the content of testdata/find.json: routes, and for each host and path the name of the expected
// route, which is empty for none.
type findCases struct {
	Routes []cataloger.Route
	Cases  []struct{ Name, Host, Path, Route string }
}

var _ = ginkgo.Describe("routes", func() {
	var cases findCases
	gomega.Expect(casereader.Read("testdata/find.json", &cases)).To(gomega.Succeed())
	catalog := cataloger.New(7, cases.Routes, nil, cataloger.Limits{})
	for _, c := range cases.Cases {
		ginkgo.It(c.Name, func() {
			route, found := catalog.Find(c.Host, c.Path)
			gomega.Expect(found).To(gomega.Equal(c.Route != ""))
			if found {
				gomega.Expect(route.Name).To(gomega.Equal(c.Route))
			}
		})
	}
	ginkgo.It("split their requests by weight", func() {
		route := cataloger.Route{Shares: []cataloger.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		counts := map[string]int{}
		for i := range 1000 {
			counts[route.Service(float64(i)/1000)]++
		}
		gomega.Expect(counts).To(gomega.Equal(map[string]int{"a": 900, "b": 100}))
	})
	ginkgo.It("decide whether requests may be retried", func() {
		gomega.Expect((&cataloger.Route{Kind: cataloger.KindOnce}).Retryable()).To(gomega.BeFalse())
		gomega.Expect((&cataloger.Route{Kind: cataloger.KindStream}).Retryable()).To(gomega.BeFalse())
		gomega.Expect((&cataloger.Route{Kind: cataloger.KindStream, Resumable: true}).Retryable()).To(gomega.BeTrue())
		gomega.Expect((&cataloger.Route{Kind: cataloger.KindIdempotent}).Retryable()).To(gomega.BeTrue())
	})
	ginkgo.It("decide how long callers wait for an event before they abandon the stream", func() {
		fastRoute := cataloger.Route{TargetLatencyMS: 300, TargetGapMS: 300}
		slowRoute := cataloger.Route{TargetLatencyMS: 3000, TargetGapMS: 300}
		gomega.Expect(fastRoute.EventTimeout()).To(gomega.Equal(2400 * time.Millisecond))
		gomega.Expect(slowRoute.EventTimeout()).To(gomega.Equal(12 * time.Second))
	})
})
