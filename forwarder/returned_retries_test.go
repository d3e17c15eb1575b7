package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/budgeter"
	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/hedger"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
)

// Guards against retries that are counted although they were not sent, which leaves later requests without a retry.
var _ = ginkgo.Describe("a retry that was not sent is returned to the budget after", func() {
	var scripts []struct {
		Name, Route string
		Sends       []scriptedSend
		// Hedge is set if requests of the route get hedged sends, Repeats if responses with status 500 are repeated.
		Hedge, Repeats bool
		// WaitMS is the wait for the tokens of the second send, after which they are denied.
		WaitMS, Status int
	}
	gomega.Expect(casereader.Read("testdata/returned_retries.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			budget := budgeter.New(budgeter.Limits{Ratio: 1, Slack: 10, WindowS: 10}, func() int { return 1 })
			for range 5 {
				budget.CountRequest(time.Now(), "plain")
			}
			h := hedger.New(100)
			if script.Hedge {
				for range 60 {
					h.Observe(time.Now(), "plain", script.Route, 30*time.Millisecond)
				}
			}
			var taken atomic.Int64
			f := newFixture(script.Sends, false, func(dependencies *forwarder.Dependencies) {
				dependencies.Hedger, dependencies.RepeatFailed = h, script.Repeats
				// The request itself adds nothing, so that the budget must be as before.
				dependencies.Budget = forwarder.Budget{
					CountRequest: func(time.Time, string) {}, AllowRetry: budget.AllowRetry, ReturnRetry: budget.ReturnRetry,
				}
				dependencies.Allowances.Take = func(ctx context.Context, _ *cataloger.Tenant, _ int64, _ time.Time) (
					*quotakeeper.Ticket, quotakeeper.Result, time.Time,
				) {
					if taken.Add(1) == 1 {
						return nil, quotakeeper.Granted, time.Time{}
					}
					select {
					case <-ctx.Done():
					case <-time.After(time.Duration(script.WaitMS) * time.Millisecond):
					}
					return nil, quotakeeper.Over, time.Now().Add(time.Second)
				}
				dependencies.Allowances.Refund = func(*quotakeeper.Ticket) {}
			})
			defer f.server.Close()
			f.tenants = []cataloger.Tenant{{Name: "t", Keys: []cataloger.Digest{cataloger.DigestOf("t")}, RatePerS: 1, Burst: 1}}
			returned := f.recorder.CounterValue("retries returned plain")
			request := f.request("/"+script.Route+"/x", "")
			request.Header.Set("Key", "t")
			response, err := http.DefaultTransport.RoundTrip(request)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(response.StatusCode).To(gomega.Equal(script.Status))
			gomega.Expect(taken.Load()).To(gomega.BeEquivalentTo(2), "the second send was denied by the allowance only")
			_, left := budget.AllowRetry(time.Now(), "plain")
			gomega.Expect(left).To(gomega.BeNumerically("~", 5*0.9-1, 1e-9))
			gomega.Expect(f.recorder.CounterValue("retries returned plain")).To(gomega.Equal(returned + 1))
		})
	}
})
