package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
)

// tokens are the tokens of a tenant whose requests cost one each.
type tokens struct {
	left  int
	short quotakeeper.Result
	taken int
}

func (t *tokens) take(_ context.Context, tenant *cataloger.Tenant, cost int64, _ time.Time) (*quotakeeper.Ticket, quotakeeper.Result, time.Time) {
	if tenant.Name != "t" || cost != 1 || t.left == 0 {
		return nil, t.short, time.Now().Add(700 * time.Millisecond)
	}
	t.left--
	t.taken++
	return nil, quotakeeper.Granted, time.Time{}
}

func (t *tokens) refund(*quotakeeper.Ticket) { t.taken-- }

var _ = ginkgo.Describe("a request of a limited tenant", func() {
	var cases []struct {
		script
		// Tokens are those that the tenant has, Short is the result once they are spent. Spent are those that are spent in the end.
		Tokens, Short, Spent int
		// Code is the code of the refusal; MinRetryS bounds Retry-After, which must be missing if it is 0.
		Code      string
		MinRetryS float64
		// Carried is set if another node passed the request on.
		Carried bool
	}
	gomega.Expect(casereader.Read("testdata/allowances.json", &cases)).To(gomega.Succeed())
	for _, c := range cases {
		ginkgo.It("is charged: "+c.Name, func() {
			f := newFixture(c.Sends, false)
			defer f.server.Close()
			f.tokens = tokens{left: c.Tokens, short: quotakeeper.Result(c.Short)}
			f.tenants = []cataloger.Tenant{{Name: "t", Keys: []cataloger.Digest{cataloger.DigestOf("t")}, RatePerS: 1, Burst: 1}}
			if c.Carried {
				f.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					digest := cataloger.DigestOf("t")
					f.forwarder.ServeCarried(w, r, "n", false, forwarder.NewCredential("t", digest[:]), &forwarder.CarriedOutcome{})
				})
			}
			request, err := http.NewRequest(http.MethodGet, f.server.URL+"/"+c.Route+"/x", strings.NewReader(""))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			request.Host = "h"
			request.Header.Set("Key", "t")
			response, err := http.DefaultClient.Do(request)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			text := make([]byte, 300)
			n, _ := response.Body.Read(text) // The whole of a short body.
			_ = response.Body.Close()
			f.server.Close() // Waits for the handler, which refunds at its end.
			gomega.Expect(response.StatusCode).To(gomega.Equal(c.Status), string(text[:n]))
			gomega.Expect(string(text[:n])).To(gomega.ContainSubstring(c.Code))
			gomega.Expect(f.tokens.taken).To(gomega.Equal(c.Spent))
			if c.MinRetryS == 0 {
				gomega.Expect(response.Header).NotTo(gomega.HaveKey("Retry-After"))
				return
			}
			gomega.Expect(response.Header.Get("Retry-After")).To(gomega.HavePrefix("0."))
			gomega.Expect(response.Header.Get("Retry-After") >= "0.6").To(gomega.Equal(c.MinRetryS >= 0.6))
		})
	}
})

// Guards against a stream that breaks off after its start deadline and is not taken up again, since it may not wait for tokens any more.
var _ = ginkgo.It("a stream that goes on at another worker waits for tokens as a new request does", func() {
	var waits []time.Duration
	f := newFixture([]scriptedSend{{AfterMS: 2200, Status: 200, Body: "id:1\ndata:x\n\n", Cut: true}, {After: "1", Status: 200, Body: "id:2\ndata:y\n\n"}}, false,
		func(dependencies *forwarder.Dependencies) {
			take := func(_ context.Context, _ *cataloger.Tenant, _ int64, latest time.Time) (*quotakeeper.Ticket, quotakeeper.Result, time.Time) {
				waits = append(waits, time.Until(latest))
				return nil, quotakeeper.Granted, time.Time{}
			}
			dependencies.Allowances = forwarder.Allowances{Take: take, Refund: func(*quotakeeper.Ticket) {}}
		})
	defer f.server.Close()
	f.tenants = []cataloger.Tenant{{Name: "t", Keys: []cataloger.Digest{cataloger.DigestOf("t")}, RatePerS: 1, Burst: 1}}
	request := f.request("/longresumable/x", "m")
	request.Header.Set("Key", "t")
	response, err := http.DefaultTransport.RoundTrip(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(string(body)).To(gomega.ContainSubstring("id:2"))
	gomega.Expect(waits).To(gomega.HaveLen(2))
	gomega.Expect(waits[1]).To(gomega.BeNumerically(">", 0))
})

// Guards against a request, or a failed response that is kept meanwhile, that waits for tokens until it is too late for a send and for its caller.
var _ = ginkgo.It("a request waits for tokens only as long as it could still be sent", func() {
	var latest time.Time
	f := newFixture([]scriptedSend{{Status: 200, Body: "a"}}, false, func(dependencies *forwarder.Dependencies) {
		catalog := cataloger.New(1, []cataloger.Route{{
			Name: "slow", Host: "h", Prefix: "/slow/", Kind: cataloger.KindIdempotent, TimeoutMS: 300, TargetLatencyMS: 2000, MaxAttempts: 2,
			Shares: []cataloger.Share{{Service: "plain", Weight: 1}},
		}}, []cataloger.Service{{Name: "plain"}}, cataloger.Limits{BodyBytes: 100})
		tenants := []cataloger.Tenant{{Name: "t", Keys: []cataloger.Digest{cataloger.DigestOf("t")}, RatePerS: 1, Burst: 1}}
		gomega.Expect(catalog.SetTenants(tenants)).To(gomega.Succeed())
		dependencies.Catalog = func() *cataloger.Catalog { return catalog }
		take := func(_ context.Context, _ *cataloger.Tenant, _ int64, until time.Time) (*quotakeeper.Ticket, quotakeeper.Result, time.Time) {
			latest = until
			return nil, quotakeeper.Granted, time.Time{}
		}
		dependencies.Allowances = forwarder.Allowances{Take: take, Refund: func(*quotakeeper.Ticket) {}}
	})
	defer f.server.Close()
	request := f.request("/slow/x", "")
	request.Header.Set("Key", "t")
	began := time.Now()
	_, err := http.DefaultTransport.RoundTrip(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(latest.Sub(began)).To(gomega.BeNumerically("~", 265*time.Millisecond, 25*time.Millisecond), "35 ms are left for the send")
})
