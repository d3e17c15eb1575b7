package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/prover"
	"github.com/acaciaproxy/acaciaproxy/recorder"
)

// keyScript is a request to a node whose configuration has the tenants "first" and "second" with the keys "secret-first" and "secret-second".
type keyScript struct {
	Name, Route, Model, Key string
	// Stale is set if the configuration may be too old, Behind if another node has a newer one.
	Stale, Behind bool
	// Carrier is as in the fixture. Tenant and Digest are the credential of a request that another node passes on; Digest is the key that it is made
	// of.
	Carrier, Tenant, Digest string
	Sends                   []scriptedSend
	// Event happens at the check just before the first byte of the first send, or after it if After is set: "key removed", "stale", "stale for a
	// moment", "key moved", or "tenants" if there were none before.
	Event string
	After bool
	// Status is the response's, 0 for a connection that is closed; Code the code of a refusal. Refused is set if the node that passed the request on
	// may ask another.
	Status  int
	Code    string
	Refused bool
	// Sent is the number of sends whose first byte was written. Named is the tenant that each of them names, or a node to which the request is passed
	// on.
	Sent   int
	Named  string
	Counts []string
	Lines  []string
}

// keyPlayer plays a script. It is safe for concurrent use.
type keyPlayer struct {
	script keyScript
	// mu guards everything below.
	mu sync.Mutex
	// happened is set once the event has happened; staleOnce makes the next check find the configuration too old.
	happened, staleOnce bool
	sent                int
	// named are the tenants of the requests that workers and other nodes got, seen the headers of these requests.
	named, seen []string
}

func digestOf(key string) cataloger.Digest {
	if key == "" {
		return cataloger.Digest{}
	}
	return cataloger.DigestOf(key)
}

func (p *keyPlayer) isFresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.staleOnce {
		p.staleOnce = false
		return false
	}
	return !p.script.Stale && (!p.happened || p.script.Event != "stale")
}

// configuration returns the configuration in force.
func (p *keyPlayer) configuration() *cataloger.Catalog {
	p.mu.Lock()
	defer p.mu.Unlock()
	route := func(name string, kind cataloger.Kind, service string, public bool) cataloger.Route {
		return cataloger.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, TimeoutMS: 1500, TargetLatencyMS: 100, MaxAttempts: 2, Public: public,
			Resumable: true, Shares: []cataloger.Share{{Service: service, Weight: 1}},
		}
	}
	version := int64(1)
	first, second := []cataloger.Digest{digestOf("secret-first")}, []cataloger.Digest{digestOf("secret-second")}
	if p.happened {
		version = 2
		switch p.script.Event {
		case "key removed":
			first = nil
		case "key moved":
			first, second = nil, append(second, first...)
		}
	}
	catalog := cataloger.New(version, []cataloger.Route{
		route("once", cataloger.KindOnce, "plain", false), route("idempotent", cataloger.KindIdempotent, "plain", false),
		route("resumable", cataloger.KindStream, "models", false), route("public", cataloger.KindIdempotent, "plain", true),
	}, []cataloger.Service{
		{Name: "plain"}, {Name: "models", MemoryMB: 1000, Models: map[string]cataloger.Model{"m": {Name: "m"}}},
	}, cataloger.Limits{BodyBytes: 100})
	if p.script.Event != "tenants" || p.happened {
		gomega.Expect(catalog.SetTenants([]cataloger.Tenant{{Name: "first", Keys: first}, {Name: "second", Keys: second}})).To(gomega.Succeed())
	}
	return catalog
}

// happen makes the event of the script happen, unless it has.
func (p *keyPlayer) happen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleOnce = p.script.Event == "stale for a moment" && !p.happened
	p.happened = true
}

// observe records the tenant and the headers of a request that leaves the node.
func (p *keyPlayer) observe(request *forwarder.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.named, p.seen = append(p.named, request.Tenant), append(p.seen, fmt.Sprint(request.Header, request.Target, string(request.Body)))
}

// observeSend runs the check of a send as the platform's adapter does, and records what the worker gets.
func (p *keyPlayer) observeSend(request *forwarder.Request, attempt forwarder.Send) error {
	if !p.script.After {
		p.happen()
	}
	if err := attempt.Check(); err != nil {
		return forwarder.NewNotRunError(prover.Unsent(), attempt.Worker.ID, forwarder.ReasonUncleared, 0, nil)
	}
	p.observe(request)
	p.mu.Lock()
	p.sent++
	p.mu.Unlock()
	if p.script.After {
		p.happen()
	}
	return nil
}

// Guards against requests that run without a key in force, against promises for requests that may have run, and against keys that reach a worker,
// another node, a log line or a metric.
var _ = ginkgo.Describe("a request to a node with tenants", func() {
	var scripts []keyScript
	gomega.Expect(casereader.Read("testdata/tenants.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			f := newFixture(script.Sends, false)
			defer f.server.Close()
			f.keys, f.carrier = &keyPlayer{script: script}, script.Carrier
			logged := casereader.NewCapture()
			defer logged.Close()
			before := map[string]int64{}
			for _, name := range script.Counts {
				before[name] = f.recorder.CounterValue(name)
			}
			request := f.request("/"+script.Route+"/x", script.Model)
			request.Header.Set("Key", script.Key)
			status, body, refused := 0, []byte(nil), false
			if script.Digest != "" {
				recorded, outcome, digest := httptest.NewRecorder(), &forwarder.CarriedOutcome{}, digestOf(script.Digest)
				request.RequestURI = "/" + script.Route + "/x"
				f.forwarder.ServeCarried(&carriedRecorder{recorded}, request, "n0", false, forwarder.NewCredential(script.Tenant, digest[:]), outcome)
				status, body, refused = recorded.Code, recorded.Body.Bytes(), outcome.Refused()
			} else if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
				if body, err = io.ReadAll(response.Body); err == nil {
					status = response.StatusCode
				}
			}
			ended := fmt.Sprint(status, refused, f.keys.sent)
			gomega.Expect(ended).To(gomega.Equal(fmt.Sprint(script.Status, script.Refused, script.Sent)), "status, refused, sent: "+string(body))
			if script.Code != "" {
				gomega.Expect(string(body)).To(gomega.ContainSubstring(fmt.Sprintf("%q", script.Code)))
			}
			gomega.Eventually(func() []string { return logged.Missing(script.Lines) }, time.Second).Should(gomega.BeEmpty(), "log lines")
			for _, name := range script.Counts {
				gomega.Expect(f.recorder.CounterValue(name)).To(gomega.BeNumerically(">", before[name]), name)
			}
			for _, tenant := range f.keys.named {
				gomega.Expect(tenant).To(gomega.Equal(script.Named))
			}
			gomega.Expect(fmt.Sprint(f.keys.seen)).NotTo(gomega.ContainSubstring("secret"), "what workers and other nodes get")
			gomega.Expect(logged.Missing([]string{"secret"})).To(gomega.HaveLen(1), "no log line has a key")
			gomega.Expect(recorder.MetricsText()+string(body)).NotTo(gomega.ContainSubstring("secret"), "metrics and responses")
		})
	}
})
