package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/hedger"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
)

// Guards against a second send where none is allowed, a response that is lost beside a failed send, a promise that a send which may have run has not,
// a send that goes on at its worker once its response is not used, and sends that the assessor counts for ever or as faults of the worker.
var _ = ginkgo.Describe("requests whose first send takes longer than usual", func() {
	var scripts []struct {
		Name, Route string
		// Percent is the share of hedged sends, 100 if it is 0. Samples is the number of latencies of 30 ms before, 60 if it is 0.
		Percent  float64
		Samples  int
		NoBudget bool
		// Repeats is set if the setting for repeats after a 500 is; NewKind is the kind in a newer configuration, empty without one.
		Repeats     bool
		NewKind     string
		NewKindFrom int
		// Unfaulted is set if no worker may have a penalty afterwards.
		Unfaulted bool
		Sends     []scriptedSend
		// Status and Body are the response's, which comes within WithinMS. Cancelled is the number of sends that are cancelled.
		Status, WithinMS, Cancelled int
		Body                        string
		Retry                       bool
		Lines, Counts               []string
	}
	gomega.Expect(casereader.Read("testdata/hedges.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			h := hedger.New(lo.CoalesceOrEmpty(script.Percent, 100))
			for range lo.CoalesceOrEmpty(script.Samples, 60) {
				h.Observe(time.Now(), "plain", "idempotent", 30*time.Millisecond)
			}
			var workers *assessor.Assessor
			f := newFixture(script.Sends, script.NoBudget, func(dependencies *forwarder.Dependencies) {
				dependencies.Hedger, dependencies.RepeatFailed = h, script.Repeats
				workers = dependencies.Assessor
			})
			defer f.server.Close()
			f.newKind, f.newKindFrom = script.NewKind, script.NewKindFrom
			logged := casereader.NewCapture()
			defer logged.Close()
			counts := func() []int64 {
				return lo.Map(script.Counts, func(name string, _ int) int64 { return f.recorder.CounterValue(name) })
			}
			before, began := counts(), time.Now()
			response, err := http.DefaultTransport.RoundTrip(f.request("/"+script.Route+"/x", ""))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			body, err := io.ReadAll(response.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(time.Since(began).Milliseconds()).To(gomega.BeNumerically("<=", script.WithinMS))
			gomega.Expect(response.StatusCode).To(gomega.Equal(script.Status), string(body))
			gomega.Expect(response.Header.Get("Retry-After") != "").To(gomega.Equal(script.Retry))
			if script.Body != "" {
				gomega.Expect(string(body)).To(gomega.Equal(script.Body))
			}
			f.mu.Lock()
			gomega.Expect(f.sent).To(gomega.Equal(len(script.Sends)), "sends")
			f.mu.Unlock()
			gomega.Eventually(f.contextEnded, 500*time.Millisecond).Should(gomega.HaveLen(script.Cancelled))
			for _, worker := range []string{"p1", "p2"} {
				rating := workers.Assess(time.Now(), worker)
				gomega.Expect(rating.Running).To(gomega.BeZero(), worker)
				gomega.Expect(script.Unfaulted && (rating.Excluded || rating.Penalty > 0)).To(gomega.BeFalse(), worker)
			}
			for i, count := range counts() {
				gomega.Expect(count).To(gomega.Equal(before[i]+1), script.Counts[i])
			}
			gomega.Eventually(func() []string { return logged.Missing(script.Lines) }, time.Second).Should(gomega.BeEmpty(), logged.String)
		})
	}
})

// slowTokens grants the first request's tokens at once and never the next one's.
type slowTokens struct{ taken atomic.Int64 }

func (t *slowTokens) take(ctx context.Context, _ *cataloger.Tenant, _ int64, _ time.Time) (*quotakeeper.Ticket, quotakeeper.Result, time.Time) {
	if t.taken.Add(1) == 1 {
		return nil, quotakeeper.Granted, time.Time{}
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
	return nil, quotakeeper.Unknown, time.Time{}
}

// Guards against a response that waits for the tokens of a second send, which it makes superfluous.
var _ = ginkgo.It("a response does not wait for the tokens of a hedged send", func() {
	h := hedger.New(100)
	for range 60 {
		h.Observe(time.Now(), "plain", "idempotent", 30*time.Millisecond)
	}
	var tokens slowTokens
	f := newFixture([]scriptedSend{{AfterMS: 200, Status: 200, Body: "a"}}, false, func(dependencies *forwarder.Dependencies) {
		dependencies.Hedger = h
		dependencies.Allowances = forwarder.Allowances{Take: tokens.take, Refund: func(*quotakeeper.Ticket) {}}
	})
	defer f.server.Close()
	f.tenants = []cataloger.Tenant{{Name: "t", Keys: []cataloger.Digest{cataloger.DigestOf("t")}, RatePerS: 1, Burst: 1}}
	request := f.request("/idempotent/x", "")
	request.Header.Set("Key", "t")
	began := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(string(body)).To(gomega.Equal("a"))
	gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 800*time.Millisecond))
	gomega.Expect(tokens.taken.Load()).To(gomega.BeEquivalentTo(2))
})

// Guards against a send that was not written, since its key was not accepted any more, being taken for a response of its worker.
var _ = ginkgo.It("a hedged send that was not written does not count as a way to the workers", func() {
	h := hedger.New(100)
	for range 60 {
		h.Observe(time.Now(), "plain", "idempotent", 30*time.Millisecond)
	}
	unreachable := scriptedSend{NotRun: "unreachable"}
	sends := []scriptedSend{unreachable, unreachable, {AfterMS: 9000}, {NotRun: "uncleared"}, unreachable, unreachable}
	f := newFixture(sends, false, func(dependencies *forwarder.Dependencies) { dependencies.Hedger = h })
	defer f.server.Close()
	statuses := []int{}
	for _, path := range []string{"/idempotent/x", "/idempotent/x", "/stream/x"} {
		response, err := http.DefaultTransport.RoundTrip(f.request(path, lo.Ternary(path == "/stream/x", "m", "")))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		statuses = append(statuses, response.StatusCode)
		time.Sleep(lo.Ternary(len(statuses) == 1, 1100*time.Millisecond, 0)) // The plain service's workers are left out for 1 s.
	}
	gomega.Expect(statuses).To(gomega.Equal([]int{503, 504, 503}))
	gomega.Expect(f.forwarder.CutOff()).To(gomega.BeTrue())
})
