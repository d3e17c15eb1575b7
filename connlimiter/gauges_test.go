package connlimiter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/connlimiter"
	"github.com/acaciaproxy/acaciaproxy/recorder"
)

// TestGauges guards against memory and connections of callers that no metric shows until a limit is met, and against gauges that do not return to 0.
func TestGauges(t *testing.T) {
	g := gomega.NewWithT(t)
	s := start(t, connlimiter.Host{}, connlimiter.Port{Connections: 10}, connlimiter.HeadLimits{})
	published := recorder.New() // The first of this test's process, which is the one that is published.
	published.AddGauges(s.limiter.Gauges)
	metrics := func(heads, bodies, connections string) {
		for name, value := range map[string]string{"heads bytes": heads, "bodies bytes": bodies, "connections test": connections} {
			line := fmt.Sprintf("acaciaproxy_gauge{name=%q} %s", "callers "+name, value)
			g.Eventually(recorder.MetricsText, time.Second).Should(gomega.MatchRegexp(`(?m)^` + strings.ReplaceAll(line, "{", `\{`) + `$`))
			g.Eventually(func() string { return string(recorder.ExpvarJSON()) }, time.Second).Should(gomega.MatchRegexp(`"callers %s":%s\b`, name, value))
		}
	}
	metrics("0", "0", "0")
	head, body := s.dial(t), s.dial(t)
	_, err := fmt.Fprint(head, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 200))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = fmt.Fprintf(body, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", 50000))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	metrics("[1-9][0-9]+", "[1-9][0-9]+", "2")
	g.Expect(head.Close()).To(gomega.Succeed())
	g.Expect(body.Close()).To(gomega.Succeed())
	metrics("0", "0", "0")
}
