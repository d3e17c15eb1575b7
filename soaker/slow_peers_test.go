package soaker

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
)

// slowWorkers is the number of slow workers that serve a crowd.
const slowWorkers = 8

// slowPath is a part of the path of each request of the crowd.
const slowPath = "/slow/"

// slowCase is one entry of testdata/slow_peers.json.
type slowCase struct {
	Name    string
	Kind    fleetstandin.Kind
	Callers int
	slowResponse
}

// slowResponse is what a worker answers to each request of a crowd, whose callers read nothing of it. It is safe for concurrent use once it serves.
type slowResponse struct {
	// Size is the length of the response, 0 for a response without a length that has no end.
	Size int
	// Head is written first, then Filler again and again, AtOnce bytes altogether without a pause; after that once every PauseMS.
	Head, Filler    string
	AtOnce, PauseMS int
	// first is what is written without a pause, shared by all responses.
	first string
	// begun counts the responses, sent their bytes.
	begun, sent atomic.Int64
}

// Guards against nodes that hold for each caller what it does not read, or what a slow worker has not sent whole: both end the node's process.
var _ = ginkgo.Describe("callers that send more than a node can hold", ginkgo.Serial, func() {
	ginkgo.It("or read nothing, and workers that send slowly, end no process, and leave memory for an ordinary request", func() {
		var cases []*slowCase
		gomega.Expect(casereader.Read("testdata/slow_peers.json", &cases)).To(gomega.Succeed())
		e := startCrowdEnvironment(Spec{Nodes: (len(cases) + 1) / 2, MemoryMB: crowdMemoryMB})
		var breaches []string
		for i, c := range cases {
			n := e.nodes[i]
			c.play(e, n, i)
			ginkgo.GinkgoWriter.Printf("%s: %d responses begun, %d MB sent\n", c.Name, c.begun.Load(), c.sent.Load()>>20)
			if c.begun.Load() == 0 {
				breaches = append(breaches, "SOAK: no request reached a slow worker: "+c.Name)
			}
			breaches = append(breaches, e.checkAfterCrowd(n, c.Name)...)
		}
		gomega.Expect(append(breaches, e.breaches()...)).To(gomega.BeEmpty())
	})
})

// play replaces the workers of the case's service by slow ones while a crowd sends requests for them to a node.
func (c *slowCase) play(e *environment, n *node, number int) {
	service, model := "plain", ""
	if c.Kind == fleetstandin.KindStream {
		service, model = "models", e.models[0]
	}
	c.first = c.Head + strings.Repeat(c.Filler, (c.AtOnce-len(c.Head))/len(c.Filler))
	server := httptest.NewServer(c)
	defer server.Close()
	defer server.CloseClientConnections() // Else Close waits for the responses.
	for _, target := range e.endpoints {
		if target.service == service {
			target.lapse(e.store, time.Now().Add(listTime+crowdTime))
		}
	}
	for i := range slowWorkers {
		capacity := 0
		if service == "models" {
			capacity = modelCapacity
		}
		entry := fleetstandin.NewWorker(fmt.Sprintf("i-slow-%d-%d", number, i), service, zones[i%len(zones)], capacity, e.models[:capacity], nil, e.record)
		entry.WriteHeartbeat(e.store, strings.TrimPrefix(server.URL, "http://"))
		defer entry.DeleteEntry(e.store)
	}
	time.Sleep(listTime)
	// Each request has a target of its own: equal ones would be refused after the first workers have stopped, since they would seem to crash workers.
	head := fleetstandin.RequestHead(fleetstandin.Attempt{
		Path: fmt.Sprintf("/%s%s%d-NUMBER", c.Kind, slowPath, number), ID: fmt.Sprintf("slow-%d-NUMBER", number), Model: model, Timeout: requestTimeout,
	})
	rawpeer.Crowd{Callers: c.Callers, Head: head}.Play(n.callerAddress, time.Now().Add(crowdTime))
}

// ServeHTTP answers the requests of the crowd; orders and requests for reports get status 404.
func (r *slowResponse) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if !strings.Contains(request.URL.Path, slowPath) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.begun.Add(1)
	fleetstandin.SignResponse(w, request)
	if r.Size > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(r.Size))
	} else {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	next := r.first
	for sent := 0; r.Size == 0 || sent < r.Size; next = r.Filler {
		if r.Size > 0 {
			next = next[:min(len(next), r.Size-sent)]
		}
		count, err := w.Write([]byte(next))
		sent += count
		r.sent.Add(int64(count))
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return // The node has left.
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(time.Duration(r.PauseMS) * time.Millisecond):
		}
	}
}
