package logger_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/logger"
)

func TestLogger(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "logger")
}

var _ = ginkgo.Describe("the rate of log lines", func() {
	var cases []struct {
		Name string
		// PerSecond is the number of lines attempted in each of Seconds seconds.
		PerSecond, Seconds int
		// Most is the largest number of lines that may be written; Omitted is set if lines must be dropped and counted.
		Most    int
		Omitted bool
	}
	gomega.Expect(casereader.Read("testdata/floods.json", &cases)).To(gomega.Succeed())
	for _, c := range cases {
		ginkgo.It("is limited: "+c.Name, func() {
			limiter := logger.NewLimiter()
			now := time.Unix(100, 0)
			written, omittedTotal := 0, int64(0)
			for range c.Seconds * c.PerSecond {
				now = now.Add(time.Second / time.Duration(c.PerSecond))
				omitted, allowed := limiter.Allow(now, "kind")
				if allowed {
					written++
					omittedTotal += omitted
				}
			}
			gomega.Expect(written).To(gomega.BeNumerically("<=", c.Most))
			gomega.Expect(omittedTotal > 0).To(gomega.Equal(c.Omitted))
		})
	}
})

// blockedWriter blocks forever in Write.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

var _ = ginkgo.Describe("an output that blocks", func() {
	ginkgo.It("does not block the caller", func() {
		original := log.DefaultLogger
		defer func() { log.DefaultLogger = original }()
		logger.Open("info", blockedWriter{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 20000 {
				log.Info().Msg("line")
			}
		}()
		gomega.Eventually(done, 5*time.Second).Should(gomega.BeClosed())
	})
})
