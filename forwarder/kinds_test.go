package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
)

// newest returns the catalog or, once a request was sent, a newer one in which the routes of plain services have the fixture's kind.
func (f *fixture) newest(catalog *cataloger.Catalog) *cataloger.Catalog {
	if f.keys != nil {
		return f.keys.configuration()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tenants != nil {
		gomega.Expect(catalog.SetTenants(f.tenants)).To(gomega.Succeed())
		f.tenants = nil // They are set before the first request.
	}
	if f.newKind == "" || f.sent < max(f.newKindFrom, 1) {
		return catalog
	}
	var routes []cataloger.Route
	for _, name := range []string{"once", "idempotent"} {
		route, _ := catalog.Find("h", "/"+name+"/")
		changed := *route
		changed.Kind = map[string]cataloger.Kind{"once": cataloger.KindOnce, "idempotent": cataloger.KindIdempotent}[f.newKind]
		routes = append(routes, changed)
	}
	return cataloger.New(2, routes, []cataloger.Service{{Name: "plain"}}, cataloger.Limits{BodyBytes: 100})
}

// Guards against a request that runs twice (TWICE) because two versions of the configuration, or two nodes, do not agree on whether it may be repeated.
var _ = ginkgo.Describe("a request whose route changes its kind", func() {
	var scripts []struct {
		Name, Route string
		// NewKind is the kind in the newer version, empty without one. Once is set if another node passes the request on as one that must run once.
		NewKind string
		Once    bool
		Sends   []scriptedSend
		// Status is the response's, Sent the number of sends. PassedOnce is set if the request is passed on as one that must run once.
		Status, Sent int
		PassedOnce   bool
	}
	gomega.Expect(casereader.Read("testdata/kinds.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			f := newFixture(script.Sends, false)
			defer f.server.Close()
			f.carrier, f.newKind = "answer", script.NewKind
			status := 0
			if script.Once {
				recorded := httptest.NewRecorder()
				request := f.request(script.Route, "")
				request.RequestURI = script.Route
				f.forwarder.ServeCarried(&carriedRecorder{recorded}, request, "n0", true, forwarder.Credential{}, &forwarder.CarriedOutcome{})
				status = recorded.Code
			} else {
				response, err := http.DefaultTransport.RoundTrip(f.request(script.Route, ""))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = io.ReadAll(response.Body)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				status = response.StatusCode
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			gomega.Expect(fmt.Sprint(status, f.sent, f.carriedOnce)).To(gomega.Equal(fmt.Sprint(script.Status, script.Sent, script.PassedOnce)), "status, sent, passed on once")
		})
	}
})

// Guards against a panic in a request that is in flight when a starting node finds that its configuration is outdated.
var _ = ginkgo.It("a request is served although its configuration is not in force any more", func() {
	f := newFixture([]scriptedSend{{Status: 200, Body: "a"}}, false)
	f.server.Close()
	catalog, calls := f.dependencies.Catalog(), atomic.Int64{}
	f.dependencies.Catalog = func() *cataloger.Catalog {
		if calls.Add(1) == 1 {
			return catalog
		}
		return nil
	}
	f.forwarder = forwarder.New(f.dependencies, "/ready")
	f.server = httptest.NewServer(f.forwarder)
	defer f.server.Close()
	response, err := http.DefaultTransport.RoundTrip(f.request("/idempotent/x", ""))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
})
