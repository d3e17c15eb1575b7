package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/prover"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// carry takes a request as other nodes do, of which there are three if they refuse it.
func (f *fixture) carry(_ context.Context, request *forwarder.Request, once bool, _ time.Time, refused func(node string, untried bool) bool) (*forwarder.Carried, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carriedOnce = once
	if f.keys != nil {
		f.keys.observe(request)
	}
	if strings.HasPrefix(f.carrier, "refuse") {
		for asked := 0; asked < 3; asked++ {
			f.carriedCount++
			if !refused(fmt.Sprint("n", asked+1), f.carrier == "refuse untried") {
				break
			}
		}
		return nil, forwarder.NewNotRunError(prover.Relayed(), "", forwarder.ReasonUnreachable, 0, nil)
	}
	f.carriedCount++
	response := &forwarder.Carried{Node: "n1", Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: io.NopCloser(strings.NewReader("id:1\ndata:x\n\n"))}
	switch f.carrier {
	case "answer":
		return response, nil
	case "break off":
		response.Body = io.NopCloser(&brokenBody{text: strings.NewReader("id:1\ndata")})
		return response, nil
	case "own 503":
		response.Status = http.StatusServiceUnavailable
		return response, nil
	case "break":
		return &forwarder.Carried{Node: "n1"}, errors.New("connection reset")
	}
	return nil, forwarder.NewNotRunError(prover.Relayed(), "", forwarder.ReasonUnreachable, 0, nil)
}

// carryScript is one script of testdata/carry.json.
type carryScript struct {
	Name, Carrier, Route, Model string
	// Sends are the results of sends to workers.
	Sends []scriptedSend
	// Foreign is set for a request that another node passed on. OneAddress is set if all entries of the service are of workers that had one address in turn.
	Foreign, OneAddress bool
	// Retries is the number of retries that the budget allows, -1 for any number.
	Retries int
	// Status is the response's, 0 for a connection that is closed before its end. Passed is the number of times that it is passed on, Sent the number of sends.
	Status  int
	Refused bool
	// Untried is set if the other node must be told that no worker has got the request.
	Untried      bool
	Passed, Sent int
}

// Guards against callers of a node that reaches no worker being refused while another node does, and against a request that may have run being passed on.
var _ = ginkgo.Describe("a request that reaches no worker", func() {
	var scripts []carryScript
	gomega.Expect(casereader.Read("testdata/carry.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			f := newFixture(script.Sends, false)
			defer f.server.Close()
			f.carrier, f.retries = script.Carrier, script.Retries
			if script.OneAddress {
				f.listSuccessors()
			}
			status, refused, untried := 0, false, false
			if script.Foreign {
				recorded := httptest.NewRecorder()
				request := f.request(script.Route, script.Model)
				request.RequestURI = script.Route
				outcome := &forwarder.CarriedOutcome{}
				f.forwarder.ServeCarried(&carriedRecorder{recorded}, request, "n0", false, forwarder.Credential{}, outcome)
				status, refused, untried = recorded.Code, outcome.Refused(), outcome.Untried()
			} else if response, err := http.DefaultTransport.RoundTrip(f.request(script.Route, script.Model)); err == nil {
				if _, err := io.ReadAll(response.Body); err == nil {
					status = response.StatusCode
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			gomega.Expect(fmt.Sprint(status, refused, untried, f.carriedCount, f.sent)).To(gomega.Equal(fmt.Sprint(script.Status, script.Refused, script.Untried, script.Passed, script.Sent)), "status, refused, untried, passed on, sent")
		})
	}
})

// listSuccessors lists more workers of the plain service, all at the address of the first.
func (f *fixture) listSuccessors() {
	changes := lo.Map([]string{"p2", "p3", "p4", "p5"}, func(id string, _ int) registrar.Change {
		return registrar.Change{Worker: registrar.Worker{ID: id, Service: "plain", Zone: "z", Address: "127.0.0.1:1", Software: "v1", Slots: 8, SeenAt: time.Now(), RowVersion: 2}}
	})
	f.list.Apply(time.Now(), changes)
}

// Guards against a node that counts as cut off from all workers because one address is dead at which several were listed in turn.
var _ = ginkgo.Describe("a node that does not reach one address", func() {
	ginkgo.It("is not cut off from all workers", func() {
		unreachable := scriptedSend{NotRun: "unreachable"}
		f := newFixture([]scriptedSend{unreachable, unreachable, unreachable, unreachable, unreachable}, false)
		defer f.server.Close()
		f.listSuccessors()
		response, err := http.DefaultTransport.RoundTrip(f.request("/once/x", ""))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
		f.mu.Lock()
		defer f.mu.Unlock()
		gomega.Expect(f.sent).To(gomega.Equal(5))
		gomega.Expect(f.forwarder.CutOff()).To(gomega.BeFalse())
	})
})

// Guards against a node that takes a crash in its zone for a cut because it asks no worker elsewhere.
var _ = ginkgo.Describe("a node that did not reach two workers of its zone", func() {
	ginkgo.It("sends the request to another zone", func() {
		unreachable := scriptedSend{NotRun: "unreachable"}
		f := newFixture([]scriptedSend{unreachable, unreachable, {Status: 200, Body: "ok"}}, false)
		defer f.server.Close()
		f.list.Apply(time.Now(), lo.Times(6, func(i int) registrar.Change {
			worker := registrar.Worker{ID: fmt.Sprint("q", i), Service: "plain", Zone: "z", Address: fmt.Sprint("127.0.0.1:", 10+i), Software: "v1", Slots: 8}
			worker.SeenAt, worker.RowVersion = time.Now(), 2
			if i == 5 {
				worker.Zone = "y"
			}
			return registrar.Change{Worker: worker}
		}))
		response, err := http.DefaultTransport.RoundTrip(f.request("/once/x", ""))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		f.mu.Lock()
		defer f.mu.Unlock()
		gomega.Expect(fmt.Sprint(f.sent, f.sentTo["q5"])).To(gomega.Equal("3 true"), "sends, one of them to the other zone")
	})
})

// Guards against a node that goes on to pass its requests on after the end of a cut, because those that no worker can serve take the place of the ones
// that would notice it.
var _ = ginkgo.Describe("a node that was cut off", func() {
	ginkgo.It("notices the end by the next request that has a worker", func() {
		unreachable := scriptedSend{NotRun: "unreachable"}
		f := newFixture([]scriptedSend{unreachable, unreachable, unreachable, {Status: 200, Body: "ok"}}, false)
		defer f.server.Close()
		f.carrier = "answer"
		f.list.Apply(time.Now(), lo.Times(6, func(i int) registrar.Change {
			worker := registrar.Worker{ID: fmt.Sprint("q", i), Service: "plain", Zone: "z", Address: fmt.Sprint("127.0.0.1:", 10+i), Software: "v1", Slots: 8}
			worker.SeenAt, worker.RowVersion = time.Now(), 2
			return registrar.Change{Worker: worker}
		}))
		request := func(path, model string) {
			response, err := http.DefaultTransport.RoundTrip(f.request(path, model))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
		}
		request("/once/x", "")
		gomega.Expect(f.forwarder.CutOff()).To(gomega.BeTrue())
		time.Sleep(600 * time.Millisecond) // Until the next request may be sent to a worker.
		request("/stream/x", "cold")       // No worker has this model.
		request("/once/x", "")
		f.mu.Lock()
		defer f.mu.Unlock()
		gomega.Expect(f.forwarder.CutOff()).To(gomega.BeFalse())
		gomega.Expect(fmt.Sprint(f.sent, f.carriedCount)).To(gomega.Equal("4 2"), "sends, requests passed on")
	})
})

// tickingBody is a stream whose events arrive one by one until its context ends.
type tickingBody struct {
	ctx  context.Context
	next int
}

func (b *tickingBody) Read(buffer []byte) (int, error) {
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-time.After(5 * time.Millisecond):
		b.next++
		return copy(buffer, fmt.Sprintf("id:%d\n\n", b.next)), nil
	}
}

func (*tickingBody) Close() error { return nil }

// Guards against a node that counts as cut off, and passes its requests on, because workers crashed while streams of others went on.
var _ = ginkgo.Describe("a node that streams arrive at", func() {
	ginkgo.It("is not cut off when some workers crash, and sends requests to the others", func() {
		sent := 0
		f := newFixture(nil, false, func(dependencies *forwarder.Dependencies) {
			dependencies.Send = func(ctx context.Context, _ *forwarder.Request, send forwarder.Send) (*forwarder.Response, error) {
				if send.Worker.Service == "models" {
					header := http.Header{"Content-Type": {"text/event-stream"}}
					return &forwarder.Response{Status: http.StatusOK, Header: header, Body: &tickingBody{ctx: ctx}}, nil
				}
				time.Sleep(60 * time.Millisecond)
				if sent++; sent <= 5 {
					return nil, forwarder.NewNotRunError(prover.Unsent(), send.Worker.ID, forwarder.ReasonUnreachable, 0, nil)
				}
				return &forwarder.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok"))}, nil
			}
		})
		defer f.server.Close()
		f.carrier = "answer"
		f.list.Apply(time.Now(), lo.Times(6, func(i int) registrar.Change {
			worker := registrar.Worker{ID: fmt.Sprint("q", i), Service: "plain", Zone: "z", Address: fmt.Sprint("127.0.0.1:", 10+i), Software: "v1", Slots: 8}
			worker.SeenAt, worker.RowVersion = time.Now(), 2
			return registrar.Change{Worker: worker}
		}))
		stream, err := http.DefaultTransport.RoundTrip(f.request("/lastingstream/x", "m"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = stream.Body.Close() }()
		go func() { _, _ = io.Copy(io.Discard, stream.Body) }() // Ends when the body is closed.
		response, err := http.DefaultTransport.RoundTrip(f.request("/once/x", ""))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		f.mu.Lock()
		defer f.mu.Unlock()
		gomega.Expect(f.forwarder.CutOff()).To(gomega.BeFalse())
		gomega.Expect(fmt.Sprint(response.StatusCode, f.carriedCount, sent)).To(gomega.Equal("200 0 6"), "status, passed on, sent")
	})
})

// carriedRecorder is a recorder that allows a deadline for the body.
type carriedRecorder struct{ *httptest.ResponseRecorder }

// SetReadDeadline does nothing.
func (*carriedRecorder) SetReadDeadline(time.Time) error { return nil }
