package connlimiter

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// pipe returns a connection of a limited listener and the caller's end of it.
func pipe() (c *connection, caller net.Conn) {
	limiter := New(Host{}, func() HeadLimits { return HeadLimits{} }, func(string) {})
	accepted, caller := net.Pipe()
	return newConnection(accepted, limiter.Listen(nil, Port{Name: "test", Connections: 1, HTTP: true})), caller
}

// TestSlowReaders guards against callers that hold a response for ever by not reading it, and against the end of those that read slowly.
func TestSlowReaders(t *testing.T) {
	const size = 1 << 20
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c, caller := pipe()
		began := time.Now()
		_, err := c.Write(make([]byte, size))
		g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue())
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<=", writeTimeout))
		g.Expect(errors.Join(c.Close(), caller.Close())).To(gomega.Succeed())
	})
	synctest.Test(t, func(t *testing.T) { // The server's deadline, although the caller reads.
		g := gomega.NewWithT(t)
		c, caller := pipe()
		g.Expect(c.SetWriteDeadline(time.Now().Add(50 * time.Second))).To(gomega.Succeed())
		go func() {
			for range 2 {
				time.Sleep(20 * time.Second)
				_, _ = io.CopyN(io.Discard, caller, writeBytes) // A failure shows at the writer.
			}
		}()
		began := time.Now()
		n, err := c.Write(make([]byte, size))
		g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue())
		g.Expect(n).To(gomega.Equal(2 * writeBytes))
		g.Expect(time.Since(began)).To(gomega.Equal(50 * time.Second))
		g.Expect(errors.Join(c.Close(), caller.Close())).To(gomega.Succeed())
	})
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c, caller := pipe()
		go func() {
			for range size / writeBytes {
				time.Sleep(20 * time.Second)
				_, _ = io.CopyN(io.Discard, caller, writeBytes) // A failure shows at the writer.
			}
		}()
		n, err := c.Write(make([]byte, size))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(size))
		g.Expect(errors.Join(c.Close(), caller.Close())).To(gomega.Succeed())
	})
}

// TestLateReads guards against the end of connections whose request arrived in time, but while the process did not run.
func TestLateReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		c, caller := pipe()
		time.Sleep(defaultIdleTimeout + time.Second) // As if frozen: the deadline has passed at the first read.
		go func() { _, _ = caller.Write([]byte("G")) }()
		synctest.Wait()
		n, err := c.Read(make([]byte, 10))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(1))
		g.Expect(errors.Join(c.Close(), caller.Close())).To(gomega.Succeed())
	})
}
