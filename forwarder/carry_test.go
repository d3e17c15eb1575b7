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

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
)

// carry takes a request as another node does.
func (f *fixture) carry(_ context.Context, request *forwarder.Request, _ time.Time) (*forwarder.Carried, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carriedCount++
	response := &forwarder.Carried{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: io.NopCloser(strings.NewReader("id:1\ndata:x\n\n"))}
	switch f.carrier {
	case "answer":
		return response, nil
	case "break off":
		response.Body = io.NopCloser(&brokenBody{text: strings.NewReader("id:1\ndata")})
		return response, nil
	case "break":
		return nil, errors.New("connection reset")
	}
	return nil, forwarder.NewNotRunError("", forwarder.ReasonUnreachable, 0, nil)
}

// carryScript is one script of testdata/carry.json.
type carryScript struct {
	Name, Carrier, Route, Model string
	// Sends are the results of sends to workers.
	Sends []scriptedSend
	// Foreign is set for a request that another node passed on.
	Foreign bool
	// Status is the response's, 0 for a connection that is closed before its end. Passed is the number of times that it is passed on, Sent the number of sends.
	Status       int
	Refused      bool
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
			f.carrier = script.Carrier
			status, refused := 0, false
			if script.Foreign {
				recorded := httptest.NewRecorder()
				request := f.request(script.Route, script.Model)
				request.RequestURI = script.Route
				outcome := &forwarder.CarriedOutcome{}
				f.forwarder.ServeCarried(&carriedRecorder{recorded}, request, outcome)
				status, refused = recorded.Code, outcome.Refused()
			} else if response, err := http.DefaultTransport.RoundTrip(f.request(script.Route, script.Model)); err == nil {
				if _, err := io.ReadAll(response.Body); err == nil {
					status = response.StatusCode
				}
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			gomega.Expect(fmt.Sprint(status, refused, f.carriedCount, f.sent)).To(gomega.Equal(fmt.Sprint(script.Status, script.Refused, script.Passed, script.Sent)), "status, refused, passed on, sent")
		})
	}
})

// carriedRecorder is a recorder that allows a deadline for the body.
type carriedRecorder struct{ *httptest.ResponseRecorder }

// SetReadDeadline does nothing.
func (*carriedRecorder) SetReadDeadline(time.Time) error { return nil }
