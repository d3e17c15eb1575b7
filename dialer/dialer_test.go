package dialer_test

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/dialer"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
)

// TestEarlyResponses checks that a client gets the response of a server that answers before it has read the request.
func TestEarlyResponses(t *testing.T) {
	var cases []struct {
		Name    string
		Body    int
		PauseMS int `json:"pause_ms"`
		Status  int
		Count   int
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/early_responses.json", &cases)).To(gomega.Succeed())
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			response := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno", c.Status, http.StatusText(c.Status))
			server, err := rawpeer.NewWorker(response, time.Duration(c.PauseMS)*time.Millisecond)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer server.Close()
			client := dialer.New(server.Address(), time.Second)
			lost := 0
			for range c.Count {
				lost += send(g, client, server.Address(), c.Body, c.Status)
			}
			g.Expect(lost).To(gomega.BeZero(), "responses lost of %d", c.Count)
		})
	}
}

// send returns 1 if the response was lost, else 0.
func send(g *gomega.WithT, client *fasthttp.HostClient, address string, size, status int) int {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/v1/completions")
	request.Header.SetMethod(http.MethodPost)
	request.SetBody(make([]byte, size))
	if err := client.DoDeadline(request, response, time.Now().Add(5*time.Second)); err != nil {
		return 1
	}
	g.Expect(response.StatusCode()).To(gomega.Equal(status))
	g.Expect(string(response.Body())).To(gomega.Equal("no"))
	return 0
}

// Bounds of what a server may cost that sends bytes without end.
const (
	floodTimeout  = 1 * time.Second
	maxFloodBytes = 36 << 20 // The buffer of the largest body that is read, 16 MB, grows twofold; 4 MB are for all else.
)

// TestFloods guards against servers whose responses have no end holding a client after its deadline, or filling the memory.
func TestFloods(t *testing.T) {
	var cases []struct{ Name, Head, Filler string }
	gomega.NewWithT(t).Expect(casereader.Read("testdata/floods.json", &cases)).To(gomega.Succeed())
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server, err := rawpeer.NewFloodingWorker(rawpeer.Flood{Head: c.Head, Filler: c.Filler})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer server.Close()
			client := dialer.New(server.Address(), time.Second)
			request, response := &fasthttp.Request{}, &fasthttp.Response{}
			request.SetRequestURI("http://" + server.Address() + "/x")
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			began := time.Now()
			g.Expect(client.DoDeadline(request, response, began.Add(floodTimeout))).NotTo(gomega.Succeed())
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*floodTimeout))
			runtime.GC() // What is not held any more depends on the moment of the last collection.
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(response)
			g.Expect(int64(after.HeapAlloc)-int64(before.HeapAlloc)).To(gomega.BeNumerically("<", maxFloodBytes), "bytes held")
			g.Eventually(server.Floods, 2*floodTimeout).Should(gomega.BeZero(), "connections that the client still reads from")
		})
	}
}
