package serviceclient_test

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
	"github.com/acaciaproxy/acaciaproxy/serviceclient"
)

const (
	// uploads is how often each case is played, uploadBytes the size of a request's body unless the case names one.
	uploads     = 40
	uploadBytes = 95_000
)

// TestTruncatedResponses guards against a part of a response that is taken for the whole one because the request was still being written when the
// connection was reset, and against responses whose status is none.
func TestTruncatedResponses(t *testing.T) {
	var cases []struct {
		Name, Head, Ends, Want string
		Body, Reads, Upload    int
	}
	gomega.NewWithT(t).Expect(casereader.Read("../platform/testdata/truncated_responses.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		if test.Upload > 0 {
			continue // This client writes its whole request before it reads, so a peer that does not read holds it until the deadline.
		}
		t.Run(test.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			service, err := rawpeer.NewTruncatingWorker(rawpeer.Truncation{Head: test.Head, BodyBytes: test.Body, Reads: test.Reads, Ends: test.Ends}, "X-Request-Id", "")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { g.Expect(service.Close()).To(gomega.Succeed()) }()
			client := serviceclient.New(service.Address())
			whole := 0
			for number := range uploads {
				err := upload(client, service.Address(), fmt.Sprintf("r%d", number))
				var broken *serviceclient.BrokenError
				if err == nil {
					whole++
				} else {
					g.Expect(errors.As(err, &broken)).To(gomega.BeTrue(), "%v", err)
				}
			}
			if test.Want == "whole" {
				g.Expect(whole).To(gomega.Equal(uploads))
				return
			}
			g.Expect(whole).To(gomega.BeZero())
		})
	}
}

// upload sends a request with a long body and reads the response to its end.
func upload(client *serviceclient.Client, address, id string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/upload")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set("X-Request-Id", id)
	request.SetBody(make([]byte, uploadBytes))
	return client.SendIdempotent(request, response, time.Now().Add(2*time.Second), func(stream io.Reader) error {
		_, err := io.Copy(io.Discard, stream)
		return err
	})
}
