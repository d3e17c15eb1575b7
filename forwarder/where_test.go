package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/trier"
)

// whereScript is a question to a node with two workers of each service, and the answer.
type whereScript struct {
	Name, Route, Model, Adapter, Parts, Tenant, Software string
	// Node is the state of the node: "room", "no configuration", "no crashes", "stale", "stopping", "crashes", "suspects" or "tenants". Workers holds
	// the states of workers: "leaving", "excluded", "paused", "limited", "far", "busy" (2 requests), "full", "loading", "loading late", "v2" or
	// "empty".
	Node    string
	Workers map[string]string
	// Tokens is the result of the question for tokens.
	Tokens int
	// Code is that of the refusal. Waits are the things waited for. Reasons are those for which workers are not chosen, empty for those that may be.
	Code    string
	Waits   []string
	Reasons map[string]string
	// Urgency is that of a request for a model.
	Urgency int
	// Unasked is set if a request can't be made that is like the question.
	Unasked bool
}

// prepare puts the fixture's workers into their states.
func (s *whereScript) prepare(f *fixture) {
	now := time.Now()
	var workers []registrar.Worker
	for _, listed := range f.list.Fleet().All() {
		worker, state := *listed, s.Workers[listed.ID]
		worker.RowVersion, worker.Leaving, worker.Zone = 2, state == "leaving", lo.Ternary(state == "far", "y", "z")
		switch state {
		case "v2":
			worker.Software = "v2"
		case "empty", "loading", "loading late":
			worker.Loaded = nil
		case "excluded":
			f.dependencies.Assessor.MarkUnreachable(now, worker.ID)
		case "paused":
			f.dependencies.Assessor.Pause(worker.ID, worker.Incarnation, now.Add(5*time.Second))
		case "limited":
			rate := 1.0
			f.limiter.Observe(now, now, worker.ID, worker.Incarnation, &rate)
			f.limiter.Acquire(worker.Zone, worker.ID, worker.Incarnation)
		case "busy":
			f.dependencies.Assessor.ReportLoad(now, worker.ID, 2)
		case "full":
			f.dependencies.Assessor.ReportLoad(now, worker.ID, 8)
		}
		workers = append(workers, worker)
	}
	f.list.Replace(now, workers, 2)
	f.tracker.MarkWorkersChanged()
	for id, state := range s.Workers {
		announcement := fleettracker.Announcement{Worker: id, Zone: "z", ReceivedAt: now, Units: []fleettracker.Unit{{Model: "m"}}, Running: 8}
		if strings.HasPrefix(state, "loading") {
			announcement.Units[0].ReadyAt = now.Add(lo.Ternary(state == "loading", 400*time.Millisecond, time.Minute))
			announcement.Running = 0
		}
		if id[0] == 'm' && (strings.HasPrefix(state, "loading") || state == "full") {
			f.tracker.ApplyAnnouncements(now, "z", 1, []fleettracker.Announcement{announcement}, false)
		}
	}
	f.tracker.ApplyAnnouncements(now, "y", 1, nil, false) // The leader of the other zone is heard.
	crashed := map[string]time.Time{"crashes": now, "trial due": now.Add(-2 * time.Second), "suspects": now.Add(-2 * time.Second)}[s.Node]
	for i := range map[string]int{"crashes": 6, "trial due": 6, "suspects": 1}[s.Node] {
		crash := crashkeeper.Crash{Fingerprint: crashkeeper.PartFingerprint("a"), Worker: fmt.Sprint("w", i), Incarnation: int64(i), FoundAt: crashed}
		f.crashes.Learn(crashed, crash, "test")
	}
}

// newWhereFixture returns a fixture in which every change of state by a question fails the test; asking is set while one is asked.
func newWhereFixture(s *whereScript, asking *atomic.Bool) *fixture {
	unasked := func() { gomega.Expect(asking.Load()).To(gomega.BeFalse(), "a question changes no state") }
	f := newFixture([]scriptedSend{{Status: 200, Body: "id:1\ndata:x\n\n", Stream: s.Model != ""}}, false, func(d *forwarder.Dependencies) {
		catalog, send, isTold := d.Catalog, d.Send, d.CrashesKnown
		d.Room = s.Node == "room"
		d.Catalog = func() *cataloger.Catalog { return lo.Ternary(s.Node == "no configuration", nil, catalog()) }
		d.CrashesKnown = func() bool { return s.Node != "no crashes" && isTold() }
		d.Keys.Fresh = func() bool { return s.Node != "stale" }
		d.Send = func(ctx context.Context, request *forwarder.Request, attempt forwarder.Send) (*forwarder.Response, error) {
			unasked()
			return send(ctx, request, attempt)
		}
		d.Budget.CountRequest = func(time.Time, string) { unasked() }
		d.Trier = trier.New("n", func() int { return 1 }, trier.Arbitration{
			Begin: func(time.Time, trier.Trial) (bool, error) { unasked(); return true, nil },
			End:   func(time.Time, trier.Trial, time.Time) error { return nil },
		}, func(string) { unasked() })
		d.Allowances.Take = func(context.Context, *cataloger.Tenant, int64, time.Time) (*quotakeeper.Ticket, quotakeeper.Result, time.Time) {
			unasked()
			result := lo.Ternary(s.Tokens == int(quotakeeper.Waiting), quotakeeper.Granted, quotakeeper.Result(s.Tokens))
			return nil, result, time.Now().Add(time.Second)
		}
		d.Allowances.Look = func(*cataloger.Tenant, int64, time.Time) (quotakeeper.Result, time.Time) {
			return quotakeeper.Result(s.Tokens), time.Now().Add(time.Second)
		}
	})
	if s.Node == "stale" || s.Node == "tenants" {
		f.tenants = []cataloger.Tenant{{Name: "t", Keys: []cataloger.Digest{cataloger.DigestOf("t")}, RatePerS: 1, Burst: 1}, {Name: "keyless"}}
	}
	return f
}

// seen returns the state of a fixture that a question could change.
func (f *fixture) seen() string {
	demands, running := f.dependencies.DemandCounter.Snapshot()
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(demands, running, f.permits, f.sent, f.carriedCount, f.retries)
}

// Guards against answers that differ from what the node then does, and against questions that take permits, tokens, places, trials or budget.
var _ = ginkgo.Describe("where a request would go", func() {
	var scripts []whereScript
	gomega.Expect(casereader.Read("testdata/where.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			var asking atomic.Bool
			f := newWhereFixture(&s, &asking)
			defer f.server.Close()
			s.prepare(f)
			if s.Node == "stopping" {
				f.forwarder.Drain(time.Now(), time.Now().Add(time.Second))
			}
			parts := lo.Map(strings.FieldsFunc(s.Parts, func(r rune) bool { return r == ',' }), func(id string, _ int) forwarder.PromptPart {
				return forwarder.PromptPart{ID: id, Tokens: 1}
			})
			question := forwarder.Question{
				Request: &forwarder.Request{ID: "r", Host: "h", Target: "/" + s.Route + "/x", Model: s.Model, Adapter: s.Adapter, PromptParts: parts},
				Tenant:  s.Tenant, Software: s.Software,
			}
			before := f.seen()
			asking.Store(true)
			var answer forwarder.Whereabouts
			for range 20 {
				answer = f.forwarder.Where(time.Now(), question)
			}
			asking.Store(false)
			gomega.Expect(f.seen()).To(gomega.Equal(before))
			destination := forwarder.Destination{Refusal: answer.Refusal}
			if len(answer.Services) > 0 {
				destination = answer.Services[0]
			}
			code := ""
			if destination.Refusal != nil {
				code = destination.Refusal.Code
			}
			gomega.Expect(code).To(gomega.Equal(s.Code))
			waits := lo.Map(destination.Waits, func(wait forwarder.Wait, _ int) string { return wait.For })
			gomega.Expect(waits).To(gomega.ConsistOf(lo.ToAnySlice(s.Waits)...))
			reasons := lo.SliceToMap(destination.Workers, func(option forwarder.Option) (string, string) { return option.Worker, option.Reason })
			for worker, reason := range s.Reasons {
				gomega.Expect(reasons).To(gomega.HaveKeyWithValue(worker, reason))
			}
			if s.Urgency > 0 {
				gomega.Expect(destination.Urgency).To(gomega.Equal(s.Urgency))
			}
			if s.Unasked {
				return
			}
			request := f.request("/"+s.Route+"/x", strings.TrimSuffix(s.Model+"/"+s.Adapter, "/"))
			request.Header.Set("Key", s.Tenant)
			request.Header.Set("Parts", s.Parts)
			response, err := http.DefaultTransport.RoundTrip(request)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			body, err := io.ReadAll(response.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			if s.Code != "" {
				gomega.Expect(string(body)).To(gomega.ContainSubstring(fmt.Sprintf("%q", s.Code)), "what the node does")
				gomega.Expect(response.StatusCode).To(gomega.Equal(destination.Refusal.Status))
				return
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			gomega.Expect(f.sentTo).To(gomega.HaveLen(1))
			chosen := lo.Filter(destination.Workers, func(option forwarder.Option, _ int) bool { return f.sentTo[option.Worker] })
			gomega.Expect(chosen[0].Chance).To(gomega.BeNumerically(">", 0), "what the node does")
		})
	}
})
