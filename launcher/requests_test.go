package launcher

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/tailscale/hujson"
)

// wrongRequest is one line of testdata/requests.json.
type wrongRequest struct {
	Name       string            `json:"name"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       string            `json:"body"`
	Fill       int               `json:"fill"`
	HeaderFill int               `json:"header_fill"`
	Status     int               `json:"status"`
	Code       string            `json:"code"`
}

var _ = ginkgo.Describe("callers' interface", func() {
	ginkgo.It("answers wrong requests clearly and holds nothing", func() {
		text, err := os.ReadFile("testdata/requests.json")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		standard, err := hujson.Standardize(text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var requests []wrongRequest
		gomega.Expect(json.Unmarshal(standard, &requests)).To(gomega.Succeed())
		set := startQuick()
		for _, request := range requests {
			ginkgo.By(request.Name)
			request.check(set.Nodes()[0])
		}
		checkHalfClosed(set.Nodes()[0])
		var status struct {
			InFlight int `json:"in_flight"`
		}
		gomega.Eventually(func() int {
			gomega.Expect(Get(set.Nodes()[0].operators, "/status", &status)).To(gomega.Succeed())
			return status.InFlight
		}, 5*time.Second).Should(gomega.BeZero())
	})
})

// check sends the request and compares its end.
func (w wrongRequest) check(node *Process) {
	body := w.Body
	if w.Fill > 0 {
		body = strings.Repeat("a", w.Fill)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+node.address+w.Path, strings.NewReader(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for key, value := range w.Headers {
		request.Header.Set(key, value)
	}
	if w.HeaderFill > 0 {
		request.Header.Set("X-Fill", strings.Repeat("a", w.HeaderFill))
	}
	answer, err := control.Do(request)
	if err != nil && w.Fill > 0 {
		return // The node closed the connection while the caller was still sending.
	}
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer answer.Body.Close()
	var failure struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	gomega.Expect(json.NewDecoder(answer.Body).Decode(&failure)).To(gomega.Succeed())
	gomega.Expect(answer.StatusCode).To(gomega.Equal(w.Status), w.Name)
	gomega.Expect(failure.Error.Code).To(gomega.Equal(w.Code), w.Name)
	gomega.Expect(failure.Error.Outcome).To(gomega.Equal("refused"), w.Name)
}

// checkHalfClosed sends half a request and closes the sending side: the node must close too.
func checkHalfClosed(node *Process) {
	connection, err := net.Dial("tcp", node.address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer connection.Close()
	_, err = connection.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(connection.(*net.TCPConn).CloseWrite()).To(gomega.Succeed())
	gomega.Expect(connection.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	_, err = io.ReadAll(connection)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), "the node held a half-closed connection")
}
