package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/connlimiter"
)

// bodyServer reads bodies as the forwarder does, whose space is 12 MB, and reports how each ended.
func bodyServer(t *testing.T) (f *Forwarder, address string, ended chan *FailureError) {
	t.Helper()
	limits := func() connlimiter.HeadLimits { return connlimiter.HeadLimits{} }
	f = &Forwarder{limiter: connlimiter.New(connlimiter.Host{Memory: 1 << 20}, limits, func(string) {})}
	ended = make(chan *FailureError, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{deadline: time.Now().Add(4 * time.Second)}
		defer func() { c.held.Release() }() // It is set by readBody.
		_, err := f.readBody(w, r, 12<<20, c)
		var failure *FailureError
		_ = errors.As(err, &failure) // Nil for a body that was read.
		ended <- failure
	}))
	t.Cleanup(server.Close)
	return f, strings.TrimPrefix(server.URL, "http://"), ended
}

// post sends a request whose body has a size, of which it writes only a part.
func post(t *testing.T, address string, size, written int) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = connection.Close() })
	go func() {
		// Both fail when the server ends the request early.
		_, _ = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", written))
		_, _ = io.Copy(io.Discard, connection)
	}()
}

// Guards against bodies that stop short of their end and keep out others, and against a status for them that does not say that the request has not run.
func TestStalledBodies(t *testing.T) {
	g := gomega.NewWithT(t)
	_, address, ended := bodyServer(t)
	for range 12 { // Each takes 1 MB of the 12 MB.
		post(t, address, 1<<20, 1<<20-10)
	}
	time.Sleep(700 * time.Millisecond)
	post(t, address, 3<<20, 3<<20)
	served := 0
	for range 5 {
		var failure *FailureError
		g.Eventually(ended, 3*time.Second).Should(gomega.Receive(&failure))
		if failure == nil {
			served++
			break
		}
		g.Expect([]any{failure.status, failure.code, failure.promise.Given()}).To(gomega.Equal([]any{http.StatusRequestTimeout, "body_stalled", true}))
	}
	g.Expect(served).To(gomega.Equal(1))
}

// Guards against whole bodies that fill the memory together, and against a refusal of more of them that does not say when to come again.
func TestBodySpace(t *testing.T) {
	g := gomega.NewWithT(t)
	f, address, ended := bodyServer(t)
	others := f.limiter.Bodies().Hold(func() { t.Error("a whole body was ended") })
	g.Expect(errors.Join(others.Grow(12<<20, time.Time{}), others.Keep())).To(gomega.Succeed())
	post(t, address, 100000, 100000)
	var failure *FailureError
	g.Eventually(ended, 3*time.Second).Should(gomega.Receive(&failure))
	g.Expect([]any{failure.status, failure.code, failure.promise.Given()}).To(gomega.Equal([]any{http.StatusServiceUnavailable, "body_space", true}))
	g.Expect(failure.retryMS).To(gomega.BeNumerically(">", 0))
	post(t, address, 4000, 4000)
	g.Eventually(ended, 3*time.Second).Should(gomega.Receive(gomega.BeNil()))
	others.Release()
	post(t, address, 4<<20, 4<<20)
	g.Eventually(ended, 3*time.Second).Should(gomega.Receive(gomega.BeNil()))
	g.Eventually(f.limiter.Bodies().Taken, time.Second).Should(gomega.BeZero())
}
