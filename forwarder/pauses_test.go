package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/prover"
)

// pauseScript is a script of testdata/pauses.json.
type pauseScript struct {
	Name    string
	Results []string
	Steps   []struct {
		At          int64
		Path, Model string
		Status      int
		RetryS      []float64
		Sends       int
		Within      int64
		Code        string
	}
	Lines []string
}

// Guards against a worker's Retry-After that is read but not kept, or kept blindly.
var _ = ginkgo.Describe("workers that refuse a request with Retry-After", func() {
	var scripts []pauseScript
	gomega.Expect(casereader.Read("testdata/pauses.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			logged := casereader.NewCapture()
			defer logged.Close()
			f := newFixture(nil, false)
			defer f.server.Close()
			f.pauses = s.Results
			f.tracker.ApplyAnnouncements(time.Now(), "z", 1, nil, true)
			began := time.Now()
			for i, step := range s.Steps {
				time.Sleep(time.Until(began.Add(time.Duration(step.At) * time.Millisecond)))
				sentAt := time.Now()
				response, err := http.DefaultTransport.RoundTrip(f.request(step.Path, step.Model))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				body, err := io.ReadAll(response.Body)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(time.Since(sentAt).Milliseconds()).To(gomega.BeNumerically("<=", step.Within), "step %d", i)
				gomega.Expect(response.StatusCode).To(gomega.Equal(step.Status), "step %d", i)
				gomega.Expect(f.sent).To(gomega.Equal(step.Sends), "step %d", i)
				gomega.Expect(string(body)).To(gomega.ContainSubstring(step.Code), "step %d", i)
				if step.RetryS != nil {
					retryS, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
					gomega.Expect(err).NotTo(gomega.HaveOccurred())
					gomega.Expect(retryS).To(gomega.And(gomega.BeNumerically(">=", step.RetryS[0]), gomega.BeNumerically("<=", step.RetryS[1])), "step %d", i)
				}
			}
			gomega.Eventually(func() []string { return logged.Missing(s.Lines) }, time.Second).Should(gomega.BeEmpty(), "log lines")
		})
	}
})

// sendPausing returns the result of the next send of a pauseScript; the caller holds mu.
func (f *fixture) sendPausing(_ context.Context, attempt forwarder.Send) (*forwarder.Response, error) {
	result := f.pauses[f.sent]
	f.sent++
	if result == "ok" {
		return &forwarder.Response{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
	}
	seconds, err := strconv.ParseFloat(result, 64)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return nil, forwarder.NewNotRunError(prover.Unsent(), attempt.Worker.ID, forwarder.ReasonFull, http.StatusServiceUnavailable, nil).WithPause(&seconds)
}
