package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/demandcounter"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/prover"
)

// roomScript is a number of requests at once, and how they must end.
type roomScript struct {
	Name     string
	Requests int
	Tenant   string
	// Running is the announced load of the workers, Rejects says which of them reject all requests.
	Running map[string]int
	Rejects map[string]bool
	Status  int
	// Rejected is the largest number of rejected sends, WaitedMS the least time and RetryMS the least Retry-After of the slowest request.
	Rejected, WaitedMS, RetryMS, Urgency int
	// NoBudget is set when the budget allows no retry.
	NoBudget bool
	// Refused is the number of requests that leaders are told were refused.
	Refused int64
}

// newRoomFixture returns a fixture whose requests wait while workers are full, and are sent by send.
func newRoomFixture(tenant string, send func(forwarder.Send) (*forwarder.Response, error)) *fixture {
	f := newFixture(nil, false)
	f.server.Close()
	catalog := f.dependencies.Catalog()
	if tenant != "" {
		tenants := []cataloger.Tenant{{Name: "first"}, {Name: "second", Priority: 1}, {Name: "last", Priority: 30}}
		for i := range tenants {
			tenants[i].Keys = []cataloger.Digest{cataloger.DigestOf(tenants[i].Name)}
		}
		gomega.Expect(catalog.SetTenants(tenants)).To(gomega.Succeed())
	}
	f.dependencies.Room = true
	f.dependencies.Send = func(_ context.Context, _ *forwarder.Request, attempt forwarder.Send) (*forwarder.Response, error) {
		return send(attempt)
	}
	f.dependencies.Decode = func(r *http.Request, arrived time.Time) (*forwarder.Request, error) {
		request, err := decode(r, arrived)
		request.KeyDigest = digestOf(tenant)
		return request, err
	}
	f.forwarder = forwarder.New(f.dependencies, "/ready")
	f.server = httptest.NewServer(f.forwarder)
	return f
}

// Guards against sends to workers that are known to be full, which are rejected and use up the retry budget, and against refusals for lack of places
// that leaders do not see, so that they load no more copies of the model.
var _ = ginkgo.Describe("requests that wait for room are sent", func() {
	var scripts []roomScript
	gomega.Expect(casereader.Read("testdata/room.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			var rejected, urgency atomic.Int64
			f := newRoomFixture(s.Tenant, func(send forwarder.Send) (*forwarder.Response, error) {
				urgency.Store(int64(send.Urgency))
				if s.Rejects[send.Worker.ID] {
					rejected.Add(1)
					load := &forwarder.Load{Running: 8, Waiting: 4, Slots: 8}
					return nil, forwarder.NewNotRunError(prover.Unsent(), send.Worker.ID, forwarder.ReasonFull, 503, load)
				}
				return &forwarder.Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x"))}, nil
			})
			defer f.server.Close()
			if s.NoBudget {
				f.retries = 0
			}
			now := time.Now()
			for worker, running := range s.Running {
				announcement := fleettracker.Announcement{Worker: worker, Zone: "z", ReceivedAt: now, Running: running, Units: []fleettracker.Unit{{Model: "m"}}}
				f.tracker.ApplyAnnouncements(now, "z", 1, []fleettracker.Announcement{announcement}, false)
			}
			var waiting sync.WaitGroup
			var retryMS, waitedMS atomic.Int64
			for range s.Requests {
				waiting.Go(func() {
					defer ginkgo.GinkgoRecover()
					response, err := http.DefaultTransport.RoundTrip(f.request("/stream/x", "m"))
					gomega.Expect(err).NotTo(gomega.HaveOccurred())
					gomega.Expect(response.StatusCode).To(gomega.Equal(s.Status))
					seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // 0 without.
					retryMS.Store(max(retryMS.Load(), int64(seconds*1000)))
					waitedMS.Store(max(waitedMS.Load(), time.Since(now).Milliseconds()))
				})
			}
			waiting.Wait()
			gomega.Expect(rejected.Load()).To(gomega.BeNumerically("<=", s.Rejected), "rejected sends")
			gomega.Expect(waitedMS.Load()).To(gomega.BeNumerically(">=", s.WaitedMS), "time waited")
			gomega.Expect(retryMS.Load()).To(gomega.BeNumerically(">=", s.RetryMS), "Retry-After")
			gomega.Expect(urgency.Load()).To(gomega.BeEquivalentTo(s.Urgency), "urgency")
			demands, _ := f.dependencies.DemandCounter.Snapshot()
			gomega.Expect(demands[demandcounter.Key{Service: "models", Model: "m"}].Refused).To(gomega.Equal(s.Refused), "refused demand")
		})
	}
})

// stalledWriter is the connection of a caller that reads nothing: each write waits until the deadline.
type stalledWriter struct {
	*httptest.ResponseRecorder
	deadline atomic.Int64
}

func (w *stalledWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadline.Store(deadline.UnixNano())
	return nil
}

func (w *stalledWriter) SetReadDeadline(time.Time) error { return nil }

func (w *stalledWriter) Write([]byte) (int, error) {
	time.Sleep(time.Until(time.Unix(0, w.deadline.Load())))
	return 0, os.ErrDeadlineExceeded
}

// endlessBody is a stream of events without end, which counts the bytes that were read.
type endlessBody struct{ read atomic.Int64 }

func (b *endlessBody) Read(buffer []byte) (int, error) {
	b.read.Add(int64(len(buffer)))
	return copy(buffer, strings.Repeat("id:1\ndata:x\n\n", len(buffer)/13+1)), nil
}

func (b *endlessBody) Close() error { return nil }

// Guards against a node that reads a worker's stream faster than its caller takes it, and against a caller that keeps a place for ever.
var _ = ginkgo.It("a caller that does not read its stream gets little of it held and is cut off after the deadline", func() {
	body := &endlessBody{}
	f := newRoomFixture("", func(forwarder.Send) (*forwarder.Response, error) {
		return &forwarder.Response{Status: 200, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: body}, nil
	})
	defer f.server.Close()
	began := time.Now()
	request := f.request("/stream/x", "m")
	request.RequestURI = "/stream/x"
	func() {
		defer func() { gomega.Expect(recover()).To(gomega.Equal(http.ErrAbortHandler)) }()
		f.forwarder.ServeHTTP(&stalledWriter{ResponseRecorder: httptest.NewRecorder()}, request)
	}()
	gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 4*time.Second))
	gomega.Expect(body.read.Load()).To(gomega.BeNumerically("<=", 8<<10))
	gomega.Expect(f.recorder.CounterValue("slow readers")).To(gomega.BeEquivalentTo(1))
})

// deadlineWriter records the write deadline that is in force when the body is written.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline, atWrite time.Time
}

func (w *deadlineWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadline = deadline
	return nil
}

func (w *deadlineWriter) SetReadDeadline(time.Time) error { return nil }

func (w *deadlineWriter) Write(data []byte) (int, error) {
	w.atWrite = w.deadline
	return len(data), nil
}

// Guards against a caller that does not read a plain service's response and keeps the space that all responses share.
var _ = ginkgo.It("a plain service's response is written until soon after the deadline", func() {
	f := newFixture([]scriptedSend{{Status: 200, Body: "a"}}, false, func(dependencies *forwarder.Dependencies) { dependencies.Room = true })
	defer f.server.Close()
	request := f.request("/once/x", "")
	request.RequestURI = "/once/x"
	writer := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	f.forwarder.ServeHTTP(writer, request)
	gomega.Expect(writer.atWrite).To(gomega.BeTemporally("~", time.Now().Add(2500*time.Millisecond), 500*time.Millisecond))
	gomega.Expect(writer.deadline.IsZero()).To(gomega.BeTrue(), "the connection's next response is not bounded by it")
})

// Guards against a stream that breaks off after its start deadline and is refused at once, since it may not wait for room any more.
var _ = ginkgo.It("a stream that goes on at another worker waits for room as a new request does", func() {
	var sends atomic.Int64
	var f *fixture
	f = newRoomFixture("first", func(send forwarder.Send) (*forwarder.Response, error) {
		header := http.Header{"Content-Type": {"text/event-stream"}}
		if sends.Add(1) == 1 {
			time.Sleep(2200 * time.Millisecond)
			now := time.Now()
			for _, worker := range []string{"m1", "m2"} {
				announcement := fleettracker.Announcement{Worker: worker, Zone: "z", ReceivedAt: now, Running: 9, Units: []fleettracker.Unit{{Model: "m"}}}
				f.tracker.ApplyAnnouncements(now, "z", 1, []fleettracker.Announcement{announcement}, false)
			}
			return &forwarder.Response{Status: 200, Header: header, Body: io.NopCloser(&brokenBody{strings.NewReader("id:1\ndata:x\n\n")})}, nil
		}
		gomega.Expect(send.ResumeAfter).To(gomega.Equal("1"))
		return &forwarder.Response{Status: 200, Header: header, Body: io.NopCloser(strings.NewReader("id:2\ndata:y\n\n"))}, nil
	})
	defer f.server.Close()
	request := f.request("/longresumable/x", "m")
	request.Header.Set("Key", "first")
	response, err := http.DefaultTransport.RoundTrip(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(string(body)).To(gomega.ContainSubstring("id:2"))
})
