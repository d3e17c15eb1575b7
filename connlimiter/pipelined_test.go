package connlimiter_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/connlimiter"
)

// TestPipelinedHeads guards against the end of a request in progress, and the loss of its response, because of the head that follows it on its
// connection.
func TestPipelinedHeads(t *testing.T) {
	var cases []struct {
		Name string
		// Lines is the number of short header lines of the second head, Later that of those which are sent while the first request runs; Ends is set
		// if the head is complete then, AtOnce if it is complete before.
		Lines, Later int
		Ends, AtOnce bool
		// Fills is how many other connections want space for heads, whose account has 1 MB.
		Fills int
		// Full is set if the account has no space from the beginning.
		Full bool
		// HeadMS is the time for a head.
		HeadMS int64
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/pipelined.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		t.Run(test.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := start(t, connlimiter.Host{Memory: 12 << 20}, connlimiter.Port{Connections: 100}, connlimiter.HeadLimits{HeadMS: test.HeadMS})
			if test.Full {
				held := s.limiter.Heads().Hold(func() {})
				g.Expect(held.Grow(1<<20, time.Time{})).To(gomega.Succeed())
				g.Expect(held.Keep()).To(gomega.Succeed()) // From here on it does not stall.
			}
			connection := s.dial(t)
			ends := map[bool]string{true: "\r\n"}
			_, err := fmt.Fprint(connection, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"+
				"GET /second HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", test.Lines)+ends[test.AtOnce])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(100 * time.Millisecond)
			for range test.Fills {
				other := s.dial(t)
				go func() { _, _ = fmt.Fprint(other, "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: "+strings.Repeat("x", 60000)) }() // Fails when it is refused.
			}
			time.Sleep(100 * time.Millisecond)
			_, err = fmt.Fprint(connection, strings.Repeat("a:\n", test.Later)+ends[test.Ends])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			reader := bufio.NewReader(connection)
			g.Expect(status(reader)).To(gomega.Equal(http.StatusOK))
			g.Expect(status(reader)).NotTo(gomega.Equal(http.StatusOK))
			g.Expect(s.seconds.Load()).To(gomega.BeZero(), "requests that got no space and were served")
		})
	}
}

// Guards against callers that are refused for lack of space which only heads have that no server parses yet, and of which the server reads no more
// until the response before them is sent.
func TestSpaceOfPipelinedHeads(t *testing.T) {
	for _, later := range []string{"", "a"} { // The server reads one byte while it serves a request, and then none.
		t.Run(fmt.Sprintf("%d bytes while the request runs", len(later)), func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := start(t, connlimiter.Host{Memory: 12 << 20}, connlimiter.Port{Connections: 100}, connlimiter.HeadLimits{})
			for range 10 {
				connection := s.dial(t)
				_, err := fmt.Fprint(connection, "GET /long HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", 400))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(10 * time.Millisecond)
				_, err = fmt.Fprint(connection, later)
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			time.Sleep(50 * time.Millisecond)
			g.Expect(s.limiter.Heads().Taken()).To(gomega.BeNumerically(">", 800<<10), "of 1 MB")
			other := s.dial(t)
			_, err := fmt.Fprint(other, "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: "+strings.Repeat("x", 60000)+"\r\n\r\n")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(status(bufio.NewReader(other))).To(gomega.Equal(http.StatusOK))
		})
	}
}
