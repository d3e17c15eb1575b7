package connlimiter_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/connlimiter"
)

// TestFraming guards against ways to write the length of a body that fasthttp, which allocates it at once, reads in another way than the scanner, so
// that the body takes no space.
func TestFraming(t *testing.T) {
	const length = 4 << 20
	var cases []struct {
		Name string
		// Header has LENGTH for the length; BLANKS stands for 100 blanks.
		Header string
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/framing.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		t.Run(test.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			limiter := connlimiter.New(connlimiter.Host{}, func() connlimiter.HeadLimits { return connlimiter.HeadLimits{} }, func(string) {})
			listener := limiter.Listen(inner, connlimiter.Port{Name: "test", Connections: 10, HTTP: true, BodyLimit: 8 << 20})
			server := &fasthttp.Server{
				Handler: func(c *fasthttp.RequestCtx) { c.SetStatusCode(fasthttp.StatusOK) }, MaxRequestBodySize: 8 << 20,
				ConnState: connlimiter.ObserveFastState,
			}
			go func() { _ = server.Serve(listener) }() // Ends with the listener.
			defer func() { _ = listener.Close() }()
			connection, err := net.Dial("tcp", inner.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = connection.Close() }()
			header := strings.NewReplacer("LENGTH", fmt.Sprint(length), "BLANKS", strings.Repeat(" ", 100)).Replace(test.Header)
			_, err = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", header)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, _ = connection.Write(make([]byte, 1<<20)) // Fails if the server has refused the head by now.
			time.Sleep(200 * time.Millisecond)
			taken := limiter.Bodies().Taken()
			_ = connection.SetDeadline(time.Now().Add(10 * time.Second))  // Fails only on a closed connection.
			_, _ = connection.Write(make([]byte, length-1<<20))           // Fails if the request was refused.
			if status(bufio.NewReader(connection)) == fasthttp.StatusOK { // Else the server did not read the body either.
				g.Expect(taken).To(gomega.BeNumerically(">=", length))
			}
		})
	}
}
