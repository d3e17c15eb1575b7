package connlimiter_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/connlimiter"
)

// TestPorts guards against bodies at one port that are ended for a caller who finds no place at another, where their end makes none.
func TestPorts(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, connlimiter.Host{}, connlimiter.Port{Connections: 3}, connlimiter.HeadLimits{})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{ConnState: connlimiter.ObserveState, Handler: s}
	go func() {
		_ = server.Serve(s.limiter.Listen(inner, connlimiter.Port{Name: "other", Connections: 1, HTTP: true}))
	}() // Ends with Close.
	t.Cleanup(func() { _ = server.Close() })
	body := s.dial(t)
	_, err = fmt.Fprint(body, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhell")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(600 * time.Millisecond) // It stalls.
	for range 3 {
		other, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = other.Close() }()                              // The test is over.
		_, _ = fmt.Fprint(other, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n") // Fails when there is no place.
		time.Sleep(100 * time.Millisecond)
	}
	_, err = fmt.Fprint(body, "o")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status(bufio.NewReader(body))).To(gomega.Equal(http.StatusOK))
}
