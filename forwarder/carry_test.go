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

// carriedRecorder is a recorder that allows a deadline for the body.
type carriedRecorder struct{ *httptest.ResponseRecorder }

// SetReadDeadline does nothing.
func (*carriedRecorder) SetReadDeadline(time.Time) error { return nil }
