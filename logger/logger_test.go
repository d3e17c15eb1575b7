package logger_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/scripter"
)

func TestLogger(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "logger")
}

var _ = ginkgo.Describe("volume", func() {
	var cases []struct {
		Name string
		// PerSecond lines are asked for in each of Seconds seconds.
		PerSecond, Seconds int
		// Most is how many may be written in all; Omitted is set when the last line must count others.
		Most    int
		Omitted bool
	}
	gomega.Expect(scripter.Read("testdata/floods.json", &cases)).To(gomega.Succeed())
	for _, c := range cases {
		ginkgo.It("is bounded: "+c.Name, func() {
			limiter := logger.NewLimiter()
			now := time.Unix(100, 0)
			written, counted := 0, int64(0)
			for range c.Seconds * c.PerSecond {
				now = now.Add(time.Second / time.Duration(c.PerSecond))
				omitted, allowed := limiter.Allow(now, "kind")
				if allowed {
					written++
					counted += omitted
				}
			}
			gomega.Expect(written).To(gomega.BeNumerically("<=", c.Most))
			gomega.Expect(counted > 0).To(gomega.Equal(c.Omitted))
		})
	}
})

// stuckWriter never returns.
type stuckWriter struct{}

func (stuckWriter) Write([]byte) (int, error) { select {} }

var _ = ginkgo.Describe("an output that is stuck", func() {
	ginkgo.It("holds nobody up", func() {
		before := log.DefaultLogger
		defer func() { log.DefaultLogger = before }()
		logger.Open("info", stuckWriter{})
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
