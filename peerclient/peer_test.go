package peerclient_test

import (
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/grpc"

	"github.com/acaciaproxy/acaciaproxy/peerclient"
)

// Guards against a request being sent to a node that has ended: that it has not run could not be promised then.
func TestAwaitReady(t *testing.T) {
	gomega.RegisterTestingT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	server := grpc.NewServer()
	go func() { _ = server.Serve(listener) }() // Ends with Stop.
	pool := peerclient.NewPool()
	defer pool.Close()
	ready := func() bool { return pool.AwaitReady(time.Now().Add(time.Second), listener.Addr().String()) }
	gomega.Expect(ready()).To(gomega.BeTrue())
	server.Stop()
	gomega.Eventually(ready, 3*time.Second, 50*time.Millisecond).Should(gomega.BeFalse())
	began := time.Now()
	gomega.Expect(pool.AwaitReady(began.Add(200*time.Millisecond), "127.0.0.1:1")).To(gomega.BeFalse())
	gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", 500*time.Millisecond))
}
