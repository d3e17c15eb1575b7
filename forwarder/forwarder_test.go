package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
	"github.com/acaciaproxy/acaciaproxy/crashreporter"
	"github.com/acaciaproxy/acaciaproxy/demandcounter"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/limiter"
	"github.com/acaciaproxy/acaciaproxy/prover"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/streamkeeper"
	"github.com/acaciaproxy/acaciaproxy/trier"
)

func TestForwarder(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "forwarder")
}

// scriptedSend is the result of one send of a script.
type scriptedSend struct {
	// NotRun is the reason why the worker did not run the request; Broken is set when the connection fails before the response.
	NotRun string
	Broken bool
	// Connected is set if the refusal of NotRun came over a connection, which had carried Earlier requests before. Answered is the ID in the refusal; if it is not
	// the request's, the refusal belongs to another send.
	Connected bool
	Earlier   int
	Answered  string
	// Crashed is set if a probe of the worker shows that it has ended.
	Crashed bool
	// Status and Body are the response's; Cut is set when the connection fails after Body. Stream is set for an event stream; a body with events is always one.
	Status int
	Body   string
	Cut    bool
	Stream bool
	// AfterMS is how long the send takes. Deaf is set if it goes on when its context ends.
	AfterMS int
	Deaf    bool
	// Unframed is set for a response without a length.
	Unframed bool
	// After is the event id after which the send must resume, empty for none. Worker is the intended worker; it is not checked.
	Worker, After string
}

// script is a request, the results of its sends, and how the request must end.
type script struct {
	Name string
	// Route is "once", "idempotent", "stream" or "resumable".
	Route, Model string
	// Parts are the IDs of the parts of the prompt, separated by commas.
	Parts string
	Sends []scriptedSend
	// NoBudget is set when the budget allows no retry.
	NoBudget bool
	// Status is the HTTP status; 0 means that the connection must be closed early. Retry is set when the response must have Retry-After.
	Status int
	Retry  bool
	Body   string
	// Lines are log lines that must appear, Counts counters that must increase.
	Lines, Counts []string
}

// fixture is a forwarder with two workers of a service without models and two of a service with models.
type fixture struct {
	forwarder *forwarder.Forwarder
	// dependencies are those of forwarder.
	dependencies forwarder.Dependencies
	server       *httptest.Server
	recorder     *recorder.Recorder
	tracker      *fleettracker.Tracker
	list         *registrar.Registrar
	crashes      *crashkeeper.Keeper
	limiter      *limiter.Limiter
	streams      *streamkeeper.Keeper
	// origins are those that the leaders know, by attempt; listOld is set while the list of workers cannot be confirmed.
	origins map[string]streamkeeper.Origin
	// originsAt is when the leaders begin to know them.
	originsAt time.Time
	listOld   bool
	// listedMeanwhile are the workers that a confirmation of the list finds.
	listedMeanwhile []registrar.Change
	// leadersAnswer is set if all leaders answer, leadersList holds the software versions that they have listed.
	leadersAnswer bool
	leadersList   []string
	// archived is the version at which the stream of the attempt "first" began, as the store holds it; archiveRead is set if the store can be read.
	archived    string
	archiveRead bool
	// named is the limit that responses name, or nil.
	named *float64
	// permits is the number of permits that the leader grants; it denies more for a second.
	permits int
	// crashed makes the probes of the workers in sentTo fail, to which requests were sent; pathGone makes those of all fail, or of those in one zone.
	crashed      bool
	sentTo       map[string]bool
	pathGone     bool
	pathGoneZone string
	isolated     bool
	// carrier says how another node takes a request: "answer", "break" or "break off"; "refuse" and "refuse untried" if all refuse it after a send that
	// reached a worker, or without one; else there is none. carriedCount counts the nodes that were asked.
	carrier string
	// carriedOnce is set if the last request that was passed on must run once.
	carriedOnce bool
	// newKind is the kind, "once" or "idempotent", that all routes of plain services have in a newer version, which is in force from the first send on; empty for none.
	newKind string
	// keys are those of a keyScript; nil for others.
	keys *keyPlayer
	// newKindFrom is the number of the send with which that version is in force, the first if it is 0.
	newKindFrom int
	// retries is the number of retries that the budget still allows, -1 for any number; retriesMu guards it while requests run. It is not mu, which is
	// held while other nodes refuse a request.
	retries      int
	retriesMu    sync.Mutex
	carriedCount int
	// mu guards sends and sent.
	mu    sync.Mutex
	sends []scriptedSend
	// tenants are those of the configuration, tokens those of the one that is limited.
	tenants []cataloger.Tenant
	tokens  tokens
	// versions answers the sends of a versionScript; nil for others.
	versions *versionPlayer
	// pauses are the results of the sends of a pauseScript; nil for others.
	pauses []string
	sent   int
	// hang makes every send wait until its context ends, which is then signalled on contextEnded.
	hang         bool
	contextEnded chan struct{}
}

// newFixture returns a fixture that plays sends, with a server; change adjusts the forwarder's dependencies.
func newFixture(sends []scriptedSend, noBudget bool, change ...func(*forwarder.Dependencies)) *fixture {
	f := newUnservedFixture(sends, noBudget, change...)
	f.server = httptest.NewServer(f.forwarder)
	return f
}

// newUnservedFixture is newFixture without a server, for tests with a fake clock, which does not advance while a goroutine waits for the network.
func newUnservedFixture(sends []scriptedSend, noBudget bool, change ...func(*forwarder.Dependencies)) *fixture {
	f := &fixture{sends: sends, sentTo: map[string]bool{}, list: registrar.New(), recorder: recorder.New(), contextEnded: make(chan struct{}, 8)}
	if f.retries = -1; noBudget {
		f.retries = 0
	}
	f.streams = streamkeeper.New()
	f.tracker = fleettracker.New(f.list)
	f.limiter = limiter.New(f.ask, func() int { return 1 }, f.recorder.Count)
	createRows := func(time.Time, map[string]string) ([]crashkeeper.Row, error) { return nil, nil }
	f.crashes = crashkeeper.New("n", crashkeeper.Rows{Create: createRows}, f.recorder.Count)
	now := time.Now()
	worker := func(id, service string, port int, models map[string][]string) registrar.Worker {
		return registrar.Worker{ID: id, Service: service, Zone: "z", Address: fmt.Sprint("127.0.0.1:", port), Software: "v1", Slots: 8, Loaded: models, SeenAt: now}
	}
	f.list.Replace(now, []registrar.Worker{
		worker("p1", "plain", 1, nil), worker("p2", "plain", 2, nil),
		worker("m1", "models", 3, map[string][]string{"m": nil}), worker("m2", "models", 4, map[string][]string{"m": nil}), worker("o1", "other", 5, nil),
	}, 1)
	route := func(name string, kind cataloger.Kind, service string, resumable bool) cataloger.Route {
		return cataloger.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, TimeoutMS: 1500, TargetLatencyMS: 100, MaxAttempts: 2, Resumable: resumable,
			Shares: []cataloger.Share{{Service: service, Weight: 1}},
		}
	}
	lasting := func(route cataloger.Route) cataloger.Route {
		route.TimeoutMS = 8000
		return route
	}
	catalog := cataloger.New(1, []cataloger.Route{
		route("once", cataloger.KindOnce, "plain", false), route("idempotent", cataloger.KindIdempotent, "plain", false),
		route("stream", cataloger.KindStream, "models", false), route("resumable", cataloger.KindStream, "models", true),
		lasting(route("lasting", cataloger.KindOnce, "plain", false)), lasting(route("lastingstream", cataloger.KindStream, "models", false)),
		lasting(route("longresumable", cataloger.KindStream, "models", true)),
	}, []cataloger.Service{
		{Name: "plain"}, {Name: "models", MemoryMB: 1000, Models: map[string]cataloger.Model{"m": {Name: "m"}, "cold": {Name: "cold"}, "few": {Name: "few", HasAdapter: func(name string) bool { return name == "a1" }}, "huge": {Name: "huge", MemoryMB: 990, AdapterMB: 20}}},
	}, cataloger.Limits{BodyBytes: 100})
	f.dependencies = forwarder.Dependencies{
		Zone: "z", Catalog: func() *cataloger.Catalog { return f.newest(catalog) }, Workers: f.list, Tracker: f.tracker, DemandCounter: demandcounter.New(),
		Assessor: assessor.New(), Limiter: f.limiter, Recorder: f.recorder, Ready: func() bool { return true }, Isolated: func() bool { return f.isolated },
		Decode: decode, Send: f.send, SetAttemptID: func(http.Header, string) {}, Crashed: f.hasCrashed,
		Streams: f.streams, FindStream: f.findStream, FindArchived: f.findArchived, ConfirmList: f.confirmList,
		Carry:   f.carry,
		Crashes: f.crashes, CrashesKnown: func() bool { return true }, StoreAvailable: func() bool { return true },
		Trier: trier.New("n", func() int { return 1 }, trier.Arbitration{
			Begin: func(time.Time, trier.Trial) (bool, error) { return true, nil }, End: func(time.Time, trier.Trial, time.Time) error { return nil },
		}, f.recorder.Count),
		Budget: forwarder.Budget{CountRequest: func(time.Time, string) {}, AllowRetry: f.allowRetry, ReturnRetry: func(time.Time, string) { f.retries++ }},
		Keys: forwarder.Keys{
			Fresh: func() bool { return f.keys == nil || f.keys.isFresh() }, Behind: func() bool { return f.keys != nil && f.keys.script.Behind },
			ProofAge: func() (time.Duration, bool) { return time.Second, true }, Remove: func(header http.Header) { header.Del("Key") },
		},
		Allowances: forwarder.Allowances{
			Take: func(ctx context.Context, tenant *cataloger.Tenant, cost int64, latest time.Time) (*quotakeeper.Ticket, quotakeeper.Result, time.Time) {
				return f.tokens.take(ctx, tenant, cost, latest)
			},
			Refund: func(charge *quotakeeper.Ticket) { f.tokens.refund(charge) },
		},
	}
	for _, change := range change {
		change(&f.dependencies)
	}
	f.forwarder = forwarder.New(f.dependencies, "/ready")
	return f
}

// setLimit lets workers name a limit, in requests per second.
func (f *fixture) setLimit(perSecond float64, workers ...string) {
	f.named = &perSecond
	for _, worker := range workers {
		f.limiter.Observe(time.Now(), time.Now(), worker, 0, &perSecond)
	}
}

// allowRetry uses one of the retries of the fixture's budget.
func (f *fixture) allowRetry(time.Time, string) (allowed bool, left float64) {
	f.retriesMu.Lock()
	defer f.retriesMu.Unlock()
	if f.retries == 0 {
		return false, 0
	}
	f.retries--
	return true, float64(f.retries)
}

// hasCrashed reports whether a probe of a worker fails.
func (f *fixture) hasCrashed(worker *registrar.Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pathGone || worker.Zone == f.pathGoneZone || f.crashed && f.sentTo[worker.ID]
}

// setCrashed makes the probes of workers fail.
func (f *fixture) setCrashed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed = true
}

// findStream returns the origins that the leaders know.
func (f *fixture) findStream(_ time.Time, _ string, attempt uint64) streamkeeper.Inquiry {
	for name, origin := range f.origins {
		if streamkeeper.Hash(name) == attempt && !time.Now().Before(f.originsAt) {
			return streamkeeper.Inquiry{Origin: origin, Known: true}
		}
	}
	return streamkeeper.Inquiry{Complete: f.leadersAnswer, Versions: f.leadersList}
}

// confirmList lists the workers that the store has listed meanwhile.
func (f *fixture) confirmList(time.Time, time.Time) bool {
	if f.listOld {
		return false
	}
	f.list.Apply(time.Now(), f.listedMeanwhile)
	f.tracker.MarkWorkersChanged()
	return true
}

// findArchived returns the origins that the store holds.
func (f *fixture) findArchived(attempt uint64) (origin streamkeeper.Origin, known, read bool) {
	if f.archived != "" && attempt == streamkeeper.Hash("first") {
		return streamkeeper.Origin{Service: "models", Software: f.archived}, true, true
	}
	return streamkeeper.Origin{}, false, f.archiveRead
}

// ask grants the permits of the fixture.
func (f *fixture) ask(time.Time, string, limiter.Limit, int) (granted int, retryAt time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	granted = min(f.permits, 1)
	f.permits -= granted
	return granted, time.Now().Add(time.Second), nil
}

func decode(r *http.Request, arrived time.Time) (*forwarder.Request, error) {
	if r.Header.Get("Bad") != "" {
		return nil, forwarder.NewBadRequestError("Bad", "1")
	}
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	var parts []forwarder.PromptPart
	if names := r.Header.Get("Parts"); names != "" {
		parts = lo.Map(strings.Split(names, ","), func(name string, _ int) forwarder.PromptPart { return forwarder.PromptPart{ID: name, Tokens: 1} })
	}
	return &forwarder.Request{
		ID: "r", KeyDigest: digestOf(r.Header.Get("Key")), PromptParts: parts, Resumes: r.Header.Get("Resumes"), LastEventID: r.Header.Get("After"), Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Model: model, Adapter: adapter, Deadline: arrived.Add(5 * time.Second),
	}, nil
}

// brokenBody returns its text and then an error.
type brokenBody struct{ text *strings.Reader }

func (b *brokenBody) Read(buffer []byte) (int, error) {
	n, err := b.text.Read(buffer)
	if err != nil {
		return n, errors.New("connection reset")
	}
	return n, nil
}

func (f *fixture) send(ctx context.Context, request *forwarder.Request, attempt forwarder.Send) (*forwarder.Response, error) {
	f.mu.Lock()
	f.sentTo[attempt.Worker.ID] = true
	f.mu.Unlock()
	if f.keys != nil {
		if err := f.keys.observeSend(request, attempt); err != nil {
			return nil, err
		}
	}
	if f.hang {
		<-ctx.Done()
		f.contextEnded <- struct{}{}
		return nil, forwarder.NewBrokenError(attempt.Worker.ID, ctx.Err())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pauses != nil {
		return f.sendPausing(ctx, attempt)
	}
	if f.versions != nil {
		return f.versions.send(attempt)
	}
	if f.sent >= len(f.sends) {
		f.sent++
		return nil, forwarder.NewBrokenError(attempt.Worker.ID, errors.New("the script has no more sends"))
	}
	next := f.sends[f.sent]
	f.sent++
	if next.AfterMS > 0 {
		f.mu.Unlock()
		ended := false
		done := ctx.Done()
		if next.Deaf {
			done = nil
		}
		select {
		case <-done:
			ended = true
			f.contextEnded <- struct{}{}
		case <-time.After(time.Duration(next.AfterMS) * time.Millisecond):
		}
		if f.mu.Lock(); ended && next.NotRun == "" {
			return nil, forwarder.NewBrokenError(attempt.Worker.ID, ctx.Err())
		}
	}
	if next.Crashed {
		f.crashed = true
	}
	if next.After != attempt.ResumeAfter {
		return nil, forwarder.NewBrokenError(attempt.Worker.ID, errors.New("resumed after "+attempt.ResumeAfter))
	}
	switch {
	case next.Connected:
		return nil, next.refusal(attempt.Worker)
	case next.NotRun != "":
		return nil, forwarder.NewNotRunError(prover.Unsent(), attempt.Worker.ID, forwarder.Reason(next.NotRun), 503, nil)
	case next.Broken:
		return nil, forwarder.NewBrokenError(attempt.Worker.ID, errors.New("connection reset"))
	}
	response := &forwarder.Response{Evidence: exchangeAfter(4, attempt.Worker.Address).Evidence(), Status: next.Status, Unframed: next.Unframed, Header: http.Header{"Content-Type": {"text/plain"}, "Signature": {next.Body}}, PerSecond: f.named}
	if next.Stream || strings.Contains(next.Body, "id:") {
		response.Header.Set("Content-Type", "text/event-stream")
	}
	response.Body = io.NopCloser(strings.NewReader(next.Body))
	if next.Cut {
		response.Body = io.NopCloser(&brokenBody{strings.NewReader(next.Body)})
	}
	return response, nil
}

// refusal returns the error of a send that was refused over a connection.
func (s scriptedSend) refusal(worker *registrar.Worker) error {
	exchange := exchangeAfter(s.Earlier, worker.Address)
	proof, err := exchange.Refusal(s.Answered)
	if err != nil {
		return forwarder.NewBrokenError(worker.ID, err).WithEvidence(exchange.Evidence()).WithStatus(s.Status)
	}
	return forwarder.NewNotRunError(proof, worker.ID, forwarder.Reason(s.NotRun), s.Status, nil).WithEvidence(exchange.Evidence())
}

// exchangeAfter begins the request of the fixture on a connection that has carried others.
func exchangeAfter(earlier int, address string) *prover.Exchange {
	connection := prover.NewConnection(address)
	for i := range earlier {
		_, err := connection.Begin(fmt.Sprint("earlier", i))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
	exchange, err := connection.Begin("r")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return exchange
}

func (f *fixture) request(path, model string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, f.server.URL+path, strings.NewReader("body"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "h"
	if model != "" {
		request.Header.Set("Model", model)
	}
	return request
}

var _ = ginkgo.Describe("request outcomes", func() {
	var scripts []script
	gomega.Expect(casereader.Read("testdata/ends.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			f := newFixture(s.Sends, s.NoBudget)
			defer f.server.Close()
			logged := casereader.NewCapture()
			defer logged.Close()
			before := lo.SliceToMap(s.Counts, func(name string) (string, int64) { return name, f.recorder.CounterValue(name) })
			defer func() {
				gomega.Eventually(func() []string { return logged.Missing(s.Lines) }, time.Second).Should(gomega.BeEmpty(), "log lines")
				for _, name := range s.Counts {
					gomega.Eventually(func() int64 { return f.recorder.CounterValue(name) }, time.Second).Should(gomega.BeNumerically(">", before[name]), name)
				}
			}()
			request := f.request("/"+s.Route+"/x", s.Model)
			request.Header.Set("Parts", s.Parts)
			response, err := http.DefaultTransport.RoundTrip(request)
			if s.Status == 0 {
				if err == nil {
					var body []byte
					body, err = io.ReadAll(response.Body)
					if s.Body != "" {
						gomega.Expect(string(body)).To(gomega.Equal(s.Body))
					}
				}
				gomega.Expect(err).To(gomega.HaveOccurred())
				f.mu.Lock()
				defer f.mu.Unlock()
				gomega.Expect(f.sent).To(gomega.Equal(len(s.Sends)), "sends")
				return
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			body, err := io.ReadAll(response.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(response.StatusCode).To(gomega.Equal(s.Status), string(body))
			gomega.Expect(response.Header.Get("Retry-After") != "").To(gomega.Equal(s.Retry))
			if s.Body != "" {
				gomega.Expect(string(body)).To(gomega.Equal(s.Body))
			}
			gomega.Expect(f.sent).To(gomega.Equal(len(s.Sends)), "sends")
		})
	}
})

var _ = ginkgo.Describe("requests", func() {
	ginkgo.It("are cancelled at the worker immediately when the caller disconnects", func() {
		f := newFixture(nil, false)
		f.hang = true
		defer f.server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		request := f.request("/stream/x", "m").WithContext(ctx)
		go func() { _, _ = http.DefaultTransport.RoundTrip(request) }()
		gomega.Consistently(f.contextEnded, 100*time.Millisecond).ShouldNot(gomega.Receive())
		cancel()
		gomega.Eventually(f.contextEnded, 500*time.Millisecond).Should(gomega.Receive())
	})
	ginkgo.It("are refused immediately while no worker can be reached", func() {
		f := newFixture([]scriptedSend{{NotRun: "unreachable"}, {NotRun: "unreachable"}}, false)
		defer f.server.Close()
		for range 2 {
			response, err := http.DefaultTransport.RoundTrip(f.request("/once/x", ""))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		}
		gomega.Expect(f.sent).To(gomega.Equal(2), "the second request must not be sent to any worker")
	})
	ginkgo.It("get status 504 at the route's timeout", func() {
		f := newFixture(nil, false)
		f.hang = true
		defer f.server.Close()
		began := time.Now()
		response, err := http.DefaultTransport.RoundTrip(f.request("/once/x", ""))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusGatewayTimeout))
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("~", 1500*time.Millisecond, 200*time.Millisecond))
	})
	ginkgo.It("wait for a model that is announced as ready in time", func() {
		f := newFixture([]scriptedSend{{Status: 200, Body: "id:1\ndata:x\n\n"}}, false)
		defer f.server.Close()
		announce := func(readyAt time.Time) {
			f.tracker.ApplyAnnouncements(time.Now(), "z", 1, []fleettracker.Announcement{{Worker: "m1", Zone: "z", ReceivedAt: time.Now(), Units: []fleettracker.Unit{{Model: "cold", ReadyAt: readyAt}}}}, false)
		}
		announce(time.Now().Add(200 * time.Millisecond))
		time.AfterFunc(200*time.Millisecond, func() { announce(time.Time{}) })
		response, err := http.DefaultTransport.RoundTrip(f.request("/stream/x", "cold"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	})
	ginkgo.It("are refused immediately when the load in progress ends too late for them", func() {
		f := newFixture(nil, false)
		defer f.server.Close()
		f.tracker.ApplyAnnouncements(time.Now(), "z", 1, []fleettracker.Announcement{{Worker: "m1", Zone: "z", ReceivedAt: time.Now(), Units: []fleettracker.Unit{{Model: "cold", ReadyAt: time.Now().Add(6 * time.Second)}}}}, false)
		began := time.Now()
		response, err := http.DefaultTransport.RoundTrip(f.request("/stream/x", "cold"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(response.Header.Get("Retry-After")).To(gomega.MatchRegexp(`^5\.9`))
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 100*time.Millisecond))
	})
	ginkgo.It("wait for an adapter on a holder while another worker loads the model from the store", func() {
		f := newFixture([]scriptedSend{{Status: 200, Body: "id:1\ndata:x\n\n", Worker: "m1"}}, false)
		defer f.server.Close()
		announce := func(adapters ...string) {
			now := time.Now()
			f.tracker.ApplyAnnouncements(now, "z", 1, []fleettracker.Announcement{
				{Worker: "m1", Zone: "z", ReceivedAt: now, Units: []fleettracker.Unit{{Model: "m", Adapters: adapters}}},
				{Worker: "m2", Zone: "z", ReceivedAt: now, Units: []fleettracker.Unit{{Model: "m", ReadyAt: now.Add(6 * time.Second)}}},
			}, true)
		}
		announce()
		time.AfterFunc(100*time.Millisecond, func() { announce("a9") })
		response, err := http.DefaultTransport.RoundTrip(f.request("/stream/x", "m/a9"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	})
	ginkgo.It("are refused immediately when the leaders expect the load to end too late for them", func() {
		f := newFixture(nil, false)
		defer f.server.Close()
		now := time.Now()
		f.tracker.ApplyAnnouncements(now, "z", 1, nil, true)
		f.tracker.SetEstimate(now, "z", "models", "cold", now.Add(20*time.Second))
		f.tracker.SetEstimate(now, "y", "models", "cold", now.Add(8*time.Second))
		began := time.Now()
		response, err := http.DefaultTransport.RoundTrip(f.request("/stream/x", "cold"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(response.Header.Get("Retry-After")).To(gomega.MatchRegexp(`^7\.9`), "must follow the earliest estimate of a leader")
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 100*time.Millisecond))
	})
	ginkgo.It("are refused after a short wait while no leader is known", func() {
		f := newFixture(nil, false)
		defer f.server.Close()
		began := time.Now()
		response, err := http.DefaultTransport.RoundTrip(f.request("/stream/x", "cold"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 700*time.Millisecond))
	})
	ginkgo.It("are refused immediately with a short Retry-After by an isolated node, which also fails its readiness check", func() {
		f := newFixture(nil, false)
		f.isolated = true
		defer f.server.Close()
		began := time.Now()
		response, err := http.DefaultTransport.RoundTrip(f.request("/stream/x", "cold"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(response.Header.Get("Retry-After")).To(gomega.Equal("0.030"))
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 100*time.Millisecond))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		go func() { _ = f.forwarder.ServeReady(listener) }()
		defer f.forwarder.Close()
		ready, err := http.Get("http://" + listener.Addr().String() + "/ready")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(ready.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	})
	ginkgo.It("are refused once they were running on two workers that crashed", func() {
		f := newFixture([]scriptedSend{{Broken: true}, {Broken: true}, {Status: 200, Body: "id:1\ndata:x\n\n"}}, false)
		f.setCrashed()
		defer f.server.Close()
		foundBefore := f.recorder.CounterValue("crashes found")
		logged := casereader.NewCapture()
		defer logged.Close()
		response, err := http.DefaultTransport.RoundTrip(f.request("/resumable/x", "m"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusBadGateway))
		response, err = http.DefaultTransport.RoundTrip(f.request("/resumable/x", "m"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(f.sent).To(gomega.Equal(2))
		found, _ := f.crashes.Since(time.Now(), 0, true)
		gomega.Expect(found).To(gomega.HaveLen(2))
		gomega.Expect(f.recorder.CounterValue("crashes found") - foundBefore).To(gomega.Equal(int64(2)))
		gomega.Eventually(func() []string {
			return logged.Missing([]string{"request was running at a worker that crashed|\"crashes\":2", "request checked for crashes|\"crashes\":2|\"refused\":true"})
		}, time.Second).Should(gomega.BeEmpty(), "log lines")
	})
})

var _ = ginkgo.Describe("requests that crash workers", func() {
	// Guards against a verdict that is known before the send but checked only at the arrival of the request.
	ginkgo.It("are refused without a send if the crashes become known while they wait for their model", func() {
		f := newFixture([]scriptedSend{{Status: 200, Body: "id:1\ndata:x\n\n"}}, false)
		defer f.server.Close()
		f.tracker.ApplyAnnouncements(time.Now(), "z", 1, nil, true) // A leader that may load the model.
		held, refused := f.recorder.CounterValue("held stream"), f.recorder.CounterValue("ended crashes_workers")
		fingerprint := crashreporter.Fingerprint("POST h/stream/x", []byte("body"))
		go func() {
			defer ginkgo.GinkgoRecover()
			gomega.Eventually(func() int64 { return f.recorder.CounterValue("held stream") }, time.Second).Should(gomega.Equal(held + 1))
			now := time.Now()
			for _, worker := range []string{"m1", "m2"} {
				f.crashes.Learn(now, crashkeeper.Crash{Fingerprint: fingerprint, Worker: worker, FoundAt: now}, "test")
			}
			f.list.Replace(now, []registrar.Worker{{ID: "m1", Service: "models", Zone: "z", Address: "127.0.0.1:1", Slots: 8, Loaded: map[string][]string{"cold": nil}, SeenAt: now, RowVersion: 2}}, 2)
			f.tracker.MarkWorkersChanged()
		}()
		response, err := http.DefaultTransport.RoundTrip(f.request("/stream/x", "cold"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(f.sent).To(gomega.BeZero())
		gomega.Expect(f.recorder.CounterValue("ended crashes_workers")).To(gomega.Equal(refused + 1))
	})
})

// Guards against limits of workers that are read but not kept.
var _ = ginkgo.Describe("requests to workers that name a limit", func() {
	ginkgo.It("go to other workers first", func() {
		f := newFixture([]scriptedSend{{Status: 200, Body: "ok"}, {Status: 200, Body: "ok"}, {Status: 200, Body: "ok"}}, false)
		defer f.server.Close()
		f.setLimit(1, "p1")
		f.named, f.permits = nil, 3 // The other worker names no limit.
		for range 3 {
			response, err := http.DefaultTransport.RoundTrip(f.request("/idempotent/x", ""))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		}
		gomega.Expect(f.permits).To(gomega.Equal(3))
	})
	ginkgo.It("are refused immediately with the time of the next permit if no worker of a plain service may take them", func() {
		f := newFixture([]scriptedSend{{Status: 200, Body: "ok"}}, false)
		defer f.server.Close()
		f.setLimit(1, "p1", "p2")
		f.permits = 1
		statuses := []int{}
		for range 2 {
			response, err := http.DefaultTransport.RoundTrip(f.request("/idempotent/x", ""))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			statuses = append(statuses, response.StatusCode)
			if response.StatusCode == http.StatusServiceUnavailable {
				seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(seconds).To(gomega.BeNumerically("~", 1, 0.2))
			}
		}
		gomega.Expect(statuses).To(gomega.Equal([]int{http.StatusOK, http.StatusServiceUnavailable}))
	})
})

// deadlineRecorder is a response recorder that accepts the settings of a connection, and ignores them.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (*deadlineRecorder) EnableFullDuplex() error          { return nil }
func (*deadlineRecorder) SetReadDeadline(time.Time) error  { return nil }
func (*deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// Guards against requests that are refused, or sent without a permit, while the leader denies permits for a while; and against a wait that goes on
// after a permit may be had. The clock is fake: on a busy machine the wait was longer than its bound.
func TestPermitWait(t *testing.T) {
	gomega.RegisterTestingT(t) // For the fixture.
	synctest.Test(t, func(t *testing.T) {
		const deniedTime, pollTime = time.Second, 100 * time.Millisecond
		g := gomega.NewWithT(t)
		f := newUnservedFixture([]scriptedSend{{Status: 200, Body: "id:1\ndata:x\n\n"}}, false)
		f.tracker.ApplyAnnouncements(time.Now(), "z", 1, nil, true) // A leader that grants permits.
		f.setLimit(1, "m1", "m2")
		began := time.Now()
		time.AfterFunc(300*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.permits = 1
		})
		request := httptest.NewRequest(http.MethodPost, "/stream/x", strings.NewReader("body"))
		request.Host = "h"
		request.Header.Set("Model", "m")
		response := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		f.forwarder.ServeHTTP(response, request)
		g.Expect(response.Code).To(gomega.Equal(http.StatusOK))
		g.Expect(time.Since(began)).To(gomega.And(gomega.BeNumerically(">=", deniedTime), gomega.BeNumerically("<=", deniedTime+pollTime)), "the leader denied permits for a second")
		g.Expect(f.sent).To(gomega.Equal(1))
	})
}

var _ = ginkgo.Describe("crashes of workers that a probe does not show", func() {
	fingerprint := crashreporter.Fingerprint("POST h/stream/x", []byte("body"))
	var f *fixture
	crashes := func() int { return f.crashes.Crashes(time.Now(), fingerprint) }
	// list replaces the list of workers by m1 with an incarnation, or by none.
	version := int64(1)
	list := func(incarnations ...int64) {
		version++
		workers := lo.Map(incarnations, func(incarnation int64, _ int) registrar.Worker {
			return registrar.Worker{ID: "m1", Service: "models", Zone: "z", Address: "127.0.0.1:1", Slots: 8, Loaded: map[string][]string{"m": nil}, SeenAt: time.Now(), Incarnation: incarnation, RowVersion: version}
		})
		f.list.Replace(time.Now(), workers, version)
		f.tracker.MarkWorkersChanged()
	}
	send := func() {
		response, err := http.DefaultTransport.RoundTrip(f.request("/stream/x", "m"))
		if err == nil {
			_ = response.Body.Close()
		}
	}
	ginkgo.BeforeEach(func() {
		f = newFixture([]scriptedSend{{Broken: true}, {Broken: true}}, false)
		ginkgo.DeferCleanup(f.server.Close)
		list(1)
	})
	// Guards against a request that crashes one worker again and again: the list shows the new incarnation seconds later.
	ginkgo.It("count each time if a worker crashes again before the list shows that it had restarted", func() {
		f.setCrashed()
		send()
		send()
		gomega.Expect(crashes()).To(gomega.Equal(2))
	})
	// Guards against crashes that are not counted since the worker is back when its address is probed.
	ginkgo.It("count once the list shows that the worker has restarted", func() {
		send()
		gomega.Expect(crashes()).To(gomega.BeZero())
		list(2)
		gomega.Eventually(crashes, time.Second).Should(gomega.Equal(1))
	})
	// Guards against sound requests that count as crashing workers since their node has lost the path to all workers.
	ginkgo.It("do not count while no other worker answers a probe either", func() {
		version++
		sound := func(id, service string) registrar.Worker {
			return registrar.Worker{ID: id, Service: service, Zone: "z", Address: "127.0.0.1:1", Slots: 8, Loaded: map[string][]string{"m": nil}, SeenAt: time.Now(), Incarnation: 1, RowVersion: version}
		}
		f.list.Replace(time.Now(), []registrar.Worker{sound("m1", "models"), sound("o1", "other")}, version)
		f.tracker.MarkWorkersChanged()
		f.mu.Lock()
		f.pathGone = true
		f.mu.Unlock()
		send()
		gomega.Consistently(crashes, 600*time.Millisecond).Should(gomega.BeZero())
	})
	// Guards against sound requests that count as crashing workers since their node has lost the path to the workers of one zone.
	ginkgo.It("do not count while no other worker of the zone answers a probe, though those of other zones do", func() {
		version++
		sound := func(id, service, zone string) registrar.Worker {
			return registrar.Worker{ID: id, Service: service, Zone: zone, Address: "127.0.0.1:1", Slots: 8, Loaded: map[string][]string{"m": nil}, SeenAt: time.Now(), Incarnation: 1, RowVersion: version}
		}
		f.list.Replace(time.Now(), []registrar.Worker{sound("m1", "models", "y"), sound("o1", "other", "y"), sound("o2", "other", "z"), sound("o3", "other", "z")}, version)
		f.tracker.MarkWorkersChanged()
		f.mu.Lock()
		f.pathGoneZone = "y"
		f.mu.Unlock()
		send()
		gomega.Consistently(crashes, 600*time.Millisecond).Should(gomega.BeZero())
	})
	// Guards against crashes that are not counted since no other worker of the zone could answer.
	ginkgo.It("count if the worker is the only one of its zone and those of other zones answer a probe", func() {
		version++
		sound := func(id, service, zone string) registrar.Worker {
			return registrar.Worker{ID: id, Service: service, Zone: zone, Address: "127.0.0.1:1", Slots: 8, Loaded: map[string][]string{"m": nil}, SeenAt: time.Now(), Incarnation: 1, RowVersion: version}
		}
		f.list.Replace(time.Now(), []registrar.Worker{sound("m1", "models", "y"), sound("o2", "other", "z")}, version)
		f.tracker.MarkWorkersChanged()
		f.setCrashed()
		send()
		gomega.Expect(crashes()).To(gomega.Equal(1))
	})
	// Guards against crashes that are not counted since the worker's connections break before its address refuses new ones, while the list shows nothing new.
	ginkgo.It("count if the worker's address fails shortly after the send broke", func() {
		send()
		gomega.Expect(crashes()).To(gomega.BeZero())
		f.setCrashed()
		gomega.Eventually(crashes, time.Second).Should(gomega.Equal(1))
	})
	// Guards against crashes that are not counted since the worker falls silent and the send ends by its deadline.
	ginkgo.It("count once the entry of a silent worker is removed after a send that ended by its deadline", func() {
		f.hang = true
		send()
		gomega.Expect(crashes()).To(gomega.BeZero())
		f.setCrashed()
		list()
		gomega.Eventually(crashes, time.Second).Should(gomega.Equal(1))
	})
	ginkgo.It("do not count if the worker goes on, leaves as planned, or restarts much later", func() {
		send()
		gomega.Consistently(crashes, 400*time.Millisecond).Should(gomega.BeZero(), "goes on")
		list() // A worker that leaves without notice still serves; its address answers the probe.
		gomega.Consistently(crashes, 400*time.Millisecond).Should(gomega.BeZero(), "leaves")
		list(1)
		time.Sleep(5 * time.Second)
		list(2)
		gomega.Consistently(crashes, 400*time.Millisecond).Should(gomega.BeZero(), "restarts later")
	})
})

// drainRequest is a request of testdata/drains.json.
type drainRequest struct {
	// AtMS is when it is sent, from the beginning of the drain.
	AtMS   int64
	Path   string
	Status int
	Why    string
}

var _ = ginkgo.Describe("drain", func() {
	ginkgo.It("serves requests on open connections, asks callers to close these, and refuses requests that it cannot finish", func() {
		f := newFixture([]scriptedSend{{Status: 200, Body: "ok"}}, false)
		defer f.server.Close()
		now := time.Now()
		go f.forwarder.Drain(now.Add(time.Second), now.Add(2*time.Second))
		time.Sleep(50 * time.Millisecond)
		connection, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = connection.Close() }()
		_, err = connection.Write([]byte("POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		gomega.Expect(response.Close).To(gomega.BeTrue())
		response, err = http.DefaultTransport.RoundTrip(f.request("/stream/x", "m"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	})

	// Guards against requests that are taken late in a planned stop and cut off at its end.
	ginkgo.It("refuses requests that come late and may last longer than the drain", func() {
		var requests []drainRequest
		gomega.Expect(casereader.Read("testdata/drains.json", &requests)).To(gomega.Succeed())
		sends := lo.FilterMap(requests, func(r drainRequest, _ int) (scriptedSend, bool) {
			return scriptedSend{Status: 200, Body: "ok"}, r.Status == http.StatusOK
		})
		f := newFixture(sends, false)
		defer f.server.Close()
		began := time.Now()
		go f.forwarder.Drain(began.Add(2500*time.Millisecond), began.Add(7100*time.Millisecond))
		for _, r := range requests {
			time.Sleep(time.Until(began.Add(time.Duration(r.AtMS) * time.Millisecond)))
			model := lo.Ternary(strings.Contains(r.Path, "stream"), "m", "")
			response, err := http.DefaultTransport.RoundTrip(f.request(r.Path, model))
			gomega.Expect(err).NotTo(gomega.HaveOccurred(), r.Why)
			gomega.Expect(response.StatusCode).To(gomega.Equal(r.Status), r.Why)
			gomega.Expect(response.Close).To(gomega.BeTrue(), r.Why)
			gomega.Expect(response.Header.Get("Retry-After") != "").To(gomega.Equal(r.Status == http.StatusServiceUnavailable), r.Why)
		}
		gomega.Expect(f.sent).To(gomega.Equal(len(sends)), "requests that are refused reach no worker")
	})
	ginkgo.It("refuses requests of other nodes that may last longer than it, also those that come early", func() {
		f := newFixture([]scriptedSend{{Status: 200, Body: "ok"}}, false)
		defer f.server.Close()
		now := time.Now()
		go f.forwarder.Drain(now.Add(time.Second), now.Add(4*time.Second))
		time.Sleep(50 * time.Millisecond)
		carried := func(path string) (status int, refused bool) {
			request := httptest.NewRequest(http.MethodPost, path, http.NoBody)
			request.Host = "h"
			recorded, outcome := httptest.NewRecorder(), &forwarder.CarriedOutcome{}
			f.forwarder.ServeCarried(recorded, request, "n0", false, forwarder.Credential{}, outcome)
			return recorded.Code, outcome.Untried()
		}
		status, untried := carried("/lasting/x")
		gomega.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(untried).To(gomega.BeTrue())
		status, _ = carried("/once/x")
		gomega.Expect(status).To(gomega.Equal(http.StatusOK))
	})
	// Guards against connections that are closed without a response at the end of a planned stop.
	ginkgo.It("answers requests that are in flight at its end, and asks their callers to close the connection", func() {
		f := newFixture(nil, false)
		defer f.server.Close()
		f.hang, f.contextEnded = true, make(chan struct{}, 1)
		type result struct {
			response *http.Response
			err      error
		}
		results := make(chan result, 1)
		go func() {
			response, err := http.DefaultTransport.RoundTrip(f.request("/lasting/x", ""))
			results <- result{response, err}
		}()
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		f.forwarder.Drain(now, now.Add(300*time.Millisecond))
		var got result
		gomega.Eventually(results, time.Second).Should(gomega.Receive(&got))
		gomega.Expect(got.err).NotTo(gomega.HaveOccurred())
		gomega.Expect(got.response.StatusCode).To(gomega.Equal(http.StatusGatewayTimeout))
		gomega.Expect(got.response.Close).To(gomega.BeTrue())
	})
})
