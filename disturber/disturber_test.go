package disturber_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/disturber"
)

// echo answers every line with the same line.
func echo() string {
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

// exchange sends a line and returns what comes back within a time.
func exchange(conn net.Conn, wait time.Duration) (string, error) {
	if _, err := conn.Write([]byte("x\n")); err != nil {
		return "", err
	}
	gomega.Expect(conn.SetReadDeadline(time.Now().Add(wait))).To(gomega.Succeed())
	return bufio.NewReader(conn).ReadString('\n')
}

// TestModes checks what each mode does to an open connection.
func TestModes(t *testing.T) {
	gomega.RegisterTestingT(t)
	proxy, err := disturber.New(echo())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer proxy.Close()
	conn, err := net.Dial("tcp", proxy.Address())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	const wait = 400 * time.Millisecond

	answer, err := exchange(conn, wait)
	gomega.Expect([]any{answer, err}).To(gomega.Equal([]any{"x\n", nil}))

	proxy.SetMode(disturber.ModeDelay)
	began := time.Now()
	answer, err = exchange(conn, wait)
	gomega.Expect([]any{answer, err}).To(gomega.Equal([]any{"x\n", nil}))
	gomega.Expect(time.Since(began)).To(gomega.BeNumerically(">", 100*time.Millisecond))

	for _, mode := range []disturber.Mode{disturber.ModeOneWay, disturber.ModeSilent} {
		proxy.SetMode(mode)
		_, err = exchange(conn, wait)
		gomega.Expect(err).To(gomega.HaveOccurred(), "nothing comes back, and nobody says so")
	}

	proxy.SetMode(disturber.ModePass)
	proxy.Reset()
	_, err = exchange(conn, wait)
	gomega.Expect(err).To(gomega.HaveOccurred())
	fresh, err := net.Dial("tcp", proxy.Address())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	answer, err = exchange(fresh, wait)
	gomega.Expect([]any{answer, err}).To(gomega.Equal([]any{"x\n", nil}))
}
