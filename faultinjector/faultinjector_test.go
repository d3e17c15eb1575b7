package faultinjector_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/faultinjector"
)

// startEchoServer returns the address of a server that sends back all bytes that it receives.
func startEchoServer() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// exchange sends a line and returns the line that is received before the timeout.
func exchange(conn net.Conn, timeout time.Duration) (string, error) {
	if _, err := conn.Write([]byte("x\n")); err != nil {
		return "", err
	}
	gomega.Expect(conn.SetReadDeadline(time.Now().Add(timeout))).To(gomega.Succeed())
	return bufio.NewReader(conn).ReadString('\n')
}

// TestModes checks the effect of each mode and of Reset on an open connection, and that a new connection works after a reset.
func TestModes(t *testing.T) {
	gomega.RegisterTestingT(t)
	proxy, err := faultinjector.New(startEchoServer())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer proxy.Close()
	conn, err := net.Dial("tcp", proxy.Address())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	const timeout = 400 * time.Millisecond

	received, err := exchange(conn, timeout)
	gomega.Expect([]any{received, err}).To(gomega.Equal([]any{"x\n", nil}))

	proxy.SetMode(faultinjector.ModeDelay)
	startedAt := time.Now()
	received, err = exchange(conn, timeout)
	gomega.Expect([]any{received, err}).To(gomega.Equal([]any{"x\n", nil}))
	gomega.Expect(time.Since(startedAt)).To(gomega.BeNumerically(">", 100*time.Millisecond))

	for _, mode := range []faultinjector.Mode{faultinjector.ModeDropResponses, faultinjector.ModeDropAll} {
		proxy.SetMode(mode)
		_, err = exchange(conn, timeout)
		gomega.Expect(err).To(gomega.HaveOccurred(), "bytes came back although the mode drops them")
	}

	proxy.SetMode(faultinjector.ModePass)
	proxy.Reset()
	_, err = exchange(conn, timeout)
	gomega.Expect(err).To(gomega.HaveOccurred())
	newConn, err := net.Dial("tcp", proxy.Address())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	received, err = exchange(newConn, timeout)
	gomega.Expect([]any{received, err}).To(gomega.Equal([]any{"x\n", nil}))
}

// TestSilence checks that connections hang from Silence to Accept, and that no one is refused.
func TestSilence(t *testing.T) {
	gomega.RegisterTestingT(t)
	proxy, err := faultinjector.New(startEchoServer())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer proxy.Close()
	conn, err := net.Dial("tcp", proxy.Address())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	const timeout = 400 * time.Millisecond

	gomega.Expect(proxy.Silence()).To(gomega.Succeed())
	_, err = exchange(conn, timeout)
	gomega.Expect(err).To(gomega.HaveOccurred())
	_, err = net.DialTimeout("tcp", proxy.Address(), timeout)
	var failure net.Error
	gomega.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
	gomega.Expect(failure.Timeout()).To(gomega.BeTrue(), "%v", err)

	proxy.SetMode(faultinjector.ModePass)
	gomega.Expect(proxy.Accept(time.Now().Add(time.Second))).To(gomega.Succeed())
	newConn, err := net.Dial("tcp", proxy.Address())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	received, err := exchange(newConn, timeout)
	gomega.Expect([]any{received, err}).To(gomega.Equal([]any{"x\n", nil}))
}
