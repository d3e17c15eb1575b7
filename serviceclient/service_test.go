package serviceclient_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
	"github.com/acaciaproxy/acaciaproxy/serviceclient"
)

// TestKeptConnections guards against a response too many on a connection that is relayed as the response to a later request there.
func TestKeptConnections(t *testing.T) {
	var cases []struct {
		Name string
		// Connections are the scripts of the service's connections.
		Connections [][]string
		// Requests are sent one after another; End is the status and the body of the response, or "broken". Head is the length of a header of the request.
		Requests []struct {
			ID, End string
			Once    bool
			Head    int
		}
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/kept_connections.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		t.Run(test.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			service, err := rawpeer.NewScriptedWorker(test.Connections)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer service.Close()
			client := serviceclient.New(service.Address())
			for i, sent := range test.Requests {
				g.Expect(send(client, service.Address(), sent.ID, sent.Once, sent.Head)).To(gomega.Equal(sent.End), "request %d", i+1)
			}
		})
	}
}

// send sends a request with a header of head bytes before its ID, and returns how it ended, as in TestKeptConnections.
func send(client *serviceclient.Client, address, id string, once bool, head int) string {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/x")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("X-Long", strings.Repeat("x", head))
	if id != "" {
		request.Header.Set("X-Request-Id", id)
	}
	var body []byte
	read := func(stream io.Reader) (err error) {
		body, err = io.ReadAll(stream)
		return err
	}
	deadline := time.Now().Add(5 * time.Second)
	var err error
	if once {
		err = client.SendOnce(request, response, "/health", deadline, read)
	} else {
		err = client.SendIdempotent(request, response, deadline, read)
	}
	if err != nil {
		return "broken"
	}
	return fmt.Sprintf("%d %s", response.StatusCode(), body)
}
