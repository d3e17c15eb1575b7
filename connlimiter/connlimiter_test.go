package connlimiter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/connlimiter"
	"github.com/acaciaproxy/acaciaproxy/lingerer"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
)

// testServer is a server behind a limiter.
type testServer struct {
	limiter  *connlimiter.Limiter
	listener *connlimiter.Listener
	server   *http.Server
	// seconds counts the requests for "/second".
	seconds atomic.Int64
}

// start starts a server with limits for the length of a test. It answers each request with the size of its body.
func start(t *testing.T, host connlimiter.Host, port connlimiter.Port, limits connlimiter.HeadLimits) *testServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	s := &testServer{limiter: connlimiter.New(host, func() connlimiter.HeadLimits { return limits }, func(string) {})}
	port.Name, port.HTTP, port.HandlersHold = "test", true, true
	s.listener = s.limiter.Listen(lingerer.New(inner, lingerer.DefaultLimits()), port)
	s.server = &http.Server{MaxHeaderBytes: 16 << 20, ConnState: connlimiter.ObserveState, Handler: s}
	go func() { _ = s.server.Serve(s.listener) }() // Ends with Close.
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// ServeHTTP answers a request with the size of its body.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		time.Sleep(300 * time.Millisecond)
	}
	if r.URL.Path == "/second" {
		s.seconds.Add(1)
	}
	if r.URL.Path == "/long" {
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-r.Context().Done(): // As where the node ends the send to a worker.
			panic(http.ErrAbortHandler)
		}
	}
	controller := http.NewResponseController(w)
	held := s.limiter.Bodies().Hold(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }) // Fails only on a closed connection.
	defer held.Release()
	body, err := held.ReadAll(r.Body, r.ContentLength, 8<<20, time.Time{})
	if err != nil && r.URL.Path == "/stays" {
		time.Sleep(time.Second) // Its connection stays open meanwhile.
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(w, len(body)) // The test reads it.
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", s.listener.Addr().String())
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(10 * time.Second)) // Fails only on a closed connection.
	return connection
}

// status returns the status of the next response on a connection, or 0 without one.
func status(reader *bufio.Reader) int {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// TestRequests guards against heads that take many times their bytes when they are parsed, and against refusals of requests within the limits.
func TestRequests(t *testing.T) {
	var cases []struct {
		Name string
		rawpeer.Crowd
		Status, Next int
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/requests.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		t.Run(test.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := start(t, connlimiter.Host{}, connlimiter.Port{Connections: 10}, connlimiter.HeadLimits{})
			connection := s.dial(t)
			go func() { _, _ = connection.Write(test.Text()) }() // Fails when the server closes the connection.
			reader := bufio.NewReader(connection)
			g.Expect(status(reader)).To(gomega.Equal(test.Status))
			if test.Next != 0 {
				g.Expect(status(reader)).To(gomega.Equal(test.Next))
			}
			_ = connection.Close()
			g.Eventually(s.listener.Open, 3*time.Second).Should(gomega.BeZero())
			g.Expect(s.limiter.Heads().Taken()).To(gomega.BeZero(), "bytes that are held of heads")
		})
	}
}

// TestReuse guards against connections that are closed between two requests, and against the heads of later requests escaping the limits.
func TestReuse(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, connlimiter.Host{}, connlimiter.Port{Connections: 10}, connlimiter.HeadLimits{IdleMS: 400, HeadMS: 200})
	connection := s.dial(t)
	reader := bufio.NewReader(connection)
	for range 4 {
		_, err := fmt.Fprint(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"+
			"POST /slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"+
			"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for range 3 {
			g.Expect(status(reader)).To(gomega.Equal(http.StatusOK))
		}
		time.Sleep(320 * time.Millisecond) // Four fifths of the idle time.
	}
	_, err := fmt.Fprint(connection, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 600))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status(reader)).To(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge))
}

// TestTimes guards against connections that stay open without a request or in the middle of a head.
func TestTimes(t *testing.T) {
	s := start(t, connlimiter.Host{}, connlimiter.Port{Connections: 10}, connlimiter.HeadLimits{IdleMS: 600, HeadMS: 200})
	for name, test := range map[string]struct {
		text     string
		min, max time.Duration
	}{
		"nothing":                {"", 550 * time.Millisecond, 2 * time.Second},
		"after a request":        {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 550 * time.Millisecond, 2 * time.Second},
		"a part of a head":       {"GET / HTTP/1.1\r\nHost", 150 * time.Millisecond, 550 * time.Millisecond},
		"a part of a later head": {"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost", 150 * time.Millisecond, 550 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			connection := s.dial(t)
			began := time.Now()
			_, err := fmt.Fprint(connection, test.text)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.Copy(io.Discard, connection)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(time.Since(began)).To(gomega.And(gomega.BeNumerically(">", test.min), gomega.BeNumerically("<", test.max)))
		})
	}
}

// TestConnections guards against connections without a request that keep out callers with one, and against the end of those that have one.
func TestConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, connlimiter.Host{}, connlimiter.Port{Connections: 3}, connlimiter.HeadLimits{})
	busy := s.dial(t)
	_, err := fmt.Fprint(busy, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhell")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	idle := s.dial(t)
	_, err = fmt.Fprint(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status(bufio.NewReader(idle))).To(gomega.Equal(http.StatusOK))
	for range 20 {
		s.dial(t)
	}
	g.Eventually(s.listener.Open, time.Second).Should(gomega.Equal(3))
	last := s.dial(t)
	_, err = fmt.Fprint(last, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status(bufio.NewReader(last))).To(gomega.Equal(http.StatusOK))
	_, err = fmt.Fprint(busy, "o")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status(bufio.NewReader(busy))).To(gomega.Equal(http.StatusOK))
	g.Expect(s.listener.Open()).To(gomega.BeNumerically("<=", 3))
}

// TestStalledConnections guards against small bodies that stop short of their end and keep all connections.
func TestStalledConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, connlimiter.Host{}, connlimiter.Port{Connections: 3}, connlimiter.HeadLimits{})
	for range 3 {
		_, err := fmt.Fprint(s.dial(t), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhell")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	time.Sleep(600 * time.Millisecond)
	g.Eventually(func() int {
		connection := s.dial(t)
		_, _ = fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // Fails when the connection is refused.
		return status(bufio.NewReader(connection))
	}, 2*time.Second, 50*time.Millisecond).Should(gomega.Equal(http.StatusOK))
}

// TestDisplaced guards against a connection that gives way without being closed while more are open than the port has places for: the next request of
// its caller was lost.
func TestDisplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, connlimiter.Host{}, connlimiter.Port{Connections: 8}, connlimiter.HeadLimits{})
	for range 8 {
		_, err := fmt.Fprint(s.dial(t), "POST /stays HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhell")
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	time.Sleep(600 * time.Millisecond) // The bodies have stalled; one of them is ended for the next connection.
	request := func() *bufio.Reader {
		connection := s.dial(t)
		_, err := fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		reader := bufio.NewReader(connection)
		g.Expect(status(reader)).To(gomega.Equal(http.StatusOK))
		return reader
	}
	kept := request()
	g.Expect(s.listener.Open()).To(gomega.Equal(9))
	request()
	began := time.Now()
	_, err := kept.ReadByte()
	g.Expect(err).To(gomega.Equal(io.EOF))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 500*time.Millisecond))
}

// TestHeadSpace guards against many heads within the limits that fill the memory together, and against stalled ones that keep out others.
func TestHeadSpace(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, connlimiter.Host{Memory: 12 << 20}, connlimiter.Port{Connections: 100}, connlimiter.HeadLimits{})
	for range 30 { // 60 KB of each take 180 KB of the 1 MB for heads.
		connection := s.dial(t)
		go func() {
			_, _ = fmt.Fprint(connection, "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: "+strings.Repeat("x", 60000))
		}()
	}
	time.Sleep(200 * time.Millisecond)
	g.Expect(s.limiter.Heads().Taken()).To(gomega.And(gomega.BeNumerically(">", 500<<10), gomega.BeNumerically("<=", 1<<20)))
	small := s.dial(t)
	_, err := fmt.Fprint(small, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status(bufio.NewReader(small))).To(gomega.Equal(http.StatusOK))
	time.Sleep(1500 * time.Millisecond) // Those that wait for space are refused, the others stall.
	large := s.dial(t)
	_, err = fmt.Fprint(large, "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: "+strings.Repeat("x", 60000)+"\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status(bufio.NewReader(large))).To(gomega.Equal(http.StatusOK))
}
