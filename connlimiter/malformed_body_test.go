package connlimiter_test

import (
	"errors"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/connlimiter"
)

// TestMalformedBodies guards against handlers that read a body for good, without pause, because the connection has ended the body by a violation that
// the server does not see.
func TestMalformedBodies(t *testing.T) {
	var cases []struct {
		Name string
		// Sent is what a caller sends; each part follows 100 ms after the one before.
		Sent []string
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/malformed_bodies.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		t.Run(test.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			s := start(t, connlimiter.Host{Memory: 64 << 20}, connlimiter.Port{Connections: 10}, connlimiter.HeadLimits{})
			connection := s.dial(t)
			for _, part := range test.Sent {
				_, err := fmt.Fprint(connection, part)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				time.Sleep(100 * time.Millisecond)
			}
			g.Expect(connection.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
			_, err := io.ReadAll(connection)
			g.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeFalse(), "the connection is still open")
		})
	}
}
