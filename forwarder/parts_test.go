package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// partScript is one script of testdata/parts.json.
type partScript struct {
	Name  string
	Steps []struct {
		Do, Worker, Parts string
	}
}

// Guards against a prompt part that crashes every worker being sent on because no two requests with it are alike.
var _ = ginkgo.Describe("requests with a part that crashes workers", func() {
	var scripts []partScript
	gomega.Expect(casereader.Read("testdata/parts.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			f := newFixture(nil, false)
			defer f.server.Close()
			for i, step := range script.Steps {
				description := fmt.Sprintf("step %d: %s %s", i, step.Do, step.Parts)
				if step.Do == "pause" {
					time.Sleep(1100 * time.Millisecond) // Until a trial is due.
					continue
				}
				f.replaceModelWorker(step.Worker, map[string][]string{"m": nil}, int64(i+2))
				next := scriptedSend{Status: http.StatusOK, Body: "id:1\ndata:x\n\n"}
				if step.Do == "crash" {
					next = scriptedSend{Broken: true, Crashed: true}
				}
				f.mu.Lock()
				f.sends, f.sent = []scriptedSend{next}, 0
				f.mu.Unlock()
				response, body := f.sendParts(fmt.Sprint("/stream/", i), step.Parts)
				if step.Do == "refuse" {
					gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), description)
					gomega.Expect(body).To(gomega.ContainSubstring("crashes_workers"), description)
					gomega.Expect(f.sent).To(gomega.BeZero(), description)
					continue
				}
				gomega.Expect(f.sent).To(gomega.Equal(1), description)
				gomega.Expect(response.StatusCode == http.StatusOK).To(gomega.Equal(step.Do == "answer"), description)
			}
		})
	}
})

// Guards against blamed requests being refused although no worker with their model is left at which one of them could clear them: the one that goes
// on has its model loaded, and the others are told to come back soon.
var _ = ginkgo.It("one request with a blamed part waits for its model, and clears the others", func() {
	f := newFixture([]scriptedSend{{Status: http.StatusOK, Body: "id:1\ndata:x\n\n"}, {Status: http.StatusOK, Body: "id:1\ndata:x\n\n"}}, false)
	defer f.server.Close()
	crashed := time.Now().Add(-2 * time.Second)
	for i := range 3 {
		f.crashes.Learn(crashed, crashkeeper.Crash{Fingerprint: crashkeeper.PartFingerprint("x"), Worker: fmt.Sprint("w", i), FoundAt: crashed}, "test")
	}
	f.replaceModelWorker("w4", nil, 2)
	f.tracker.ApplyAnnouncements(time.Now(), "z", 1, nil, false) // A leader is heard that may load the model.
	status := make(chan int, 1)
	go func() {
		defer ginkgo.GinkgoRecover()
		response, _ := f.sendParts("/stream/1", "x,o1")
		status <- response.StatusCode
	}()
	gomega.Consistently(status, 200*time.Millisecond).ShouldNot(gomega.Receive())
	response, body := f.sendParts("/stream/2", "x,o2")
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	gomega.Expect(body).To(gomega.ContainSubstring("crashes_workers"))
	gomega.Expect(strconv.ParseFloat(response.Header.Get("Retry-After"), 64)).To(gomega.BeNumerically("<=", 3))
	f.replaceModelWorker("w4", map[string][]string{"m": nil}, 3)
	gomega.Eventually(status, 2*time.Second).Should(gomega.Receive(gomega.Equal(http.StatusOK)))
	response, _ = f.sendParts("/stream/3", "x,o3")
	gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
})

// replaceModelWorker makes a worker of models the only one.
func (f *fixture) replaceModelWorker(id string, loaded map[string][]string, version int64) {
	now := time.Now()
	f.list.Replace(now, []registrar.Worker{
		{ID: id, Service: "models", Zone: "z", Address: "127.0.0.1:1", Slots: 8, Loaded: loaded, SeenAt: now, RowVersion: version},
	}, version)
	f.tracker.MarkWorkersChanged()
}

// sendParts sends a request with prompt parts and returns the response with its body.
func (f *fixture) sendParts(path, parts string) (response *http.Response, body string) {
	request := f.request(path, "m")
	request.Header.Set("Parts", parts)
	response, err := http.DefaultTransport.RoundTrip(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), path)
	text, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), path)
	return response, string(text)
}
