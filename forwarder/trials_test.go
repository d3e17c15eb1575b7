package forwarder_test

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
	"github.com/acaciaproxy/acaciaproxy/crashreporter"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/trier"
)

// Guards against a request that is held beyond its deadline, in a loop without a pause, since its trial is denied.
var _ = ginkgo.It("a request for a plain service waits for its trial until its deadline", func() {
	var checks atomic.Int64
	f := newFixture(nil, false, func(dependencies *forwarder.Dependencies) {
		dependencies.Trier = trier.New("n", func() int { return 1 }, trier.Arbitration{
			Begin: func(time.Time, trier.Trial) (bool, error) { return false, nil }, End: func(time.Time, trier.Trial, time.Time) error { return nil },
		}, dependencies.Recorder.Count)
		dependencies.Decode = func(r *http.Request, arrived time.Time) (*forwarder.Request, error) {
			request, err := decode(r, arrived)
			request.Deadline = arrived.Add(150 * time.Millisecond)
			return request, err
		}
		catalog := dependencies.Catalog()
		dependencies.Catalog = func() *cataloger.Catalog {
			checks.Add(1)
			return catalog
		}
	})
	defer f.server.Close()
	crash := crashkeeper.Crash{Worker: "p1", Incarnation: 1, FoundAt: time.Now()}
	f.crashes.Report(time.Now(), crash, []string{crashreporter.Fingerprint("POST h/idempotent/x", []byte("body"))}, time.Now())
	began := time.Now()
	response, err := http.DefaultTransport.RoundTrip(f.request("/idempotent/x", ""))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	gomega.Expect(time.Since(began)).To(gomega.BeNumerically("~", 150*time.Millisecond, 100*time.Millisecond))
	gomega.Expect(checks.Load()).To(gomega.BeNumerically("<", 50), "rounds of the choice of a worker")
})
