package fleetleader

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
)

var _ = ginkgo.Describe("decisions in logs and counters", func() {
	var scripts []struct {
		Name string
		// Evicted is set if the worker has lost the copies that its heartbeats still list; Lost is the share of orders whose
		// response is lost.
		Evicted bool
		Lost    float64
		// Wants are the models for which a request waits, one model after the other.
		Wants []string
		// Ends is set if the lease is lost at the end.
		Ends bool
		// Lines are patterns of log lines that must be written, Counts counters that must rise.
		Lines, Counts []string
	}
	gomega.Expect(casereader.Read("testdata/lines.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			logged := casereader.NewCapture()
			defer logged.Close()
			z := newFakeZone(1, s.Lost, 0)
			z.workers["w0"].evicted = s.Evicted
			recorder := z.leader.dependencies.Recorder
			before := lo.SliceToMap(s.Counts, func(name string) (string, int64) { return name, recorder.CounterValue(name) })
			z.leader.Run()
			defer z.leader.Stop()
			for _, model := range s.Wants {
				gomega.Eventually(func() bool { z.sendDemand(model); return z.isLoaded(model) }, 4*time.Second, 10*time.Millisecond).Should(gomega.BeTrue(), model)
			}
			time.Sleep(100 * time.Millisecond) // Until the leader has seen the end of the last load.
			z.mu.Lock()
			z.leading = !s.Ends
			z.mu.Unlock()
			gomega.Eventually(func() []string { return logged.Missing(s.Lines) }, 3*time.Second).Should(gomega.BeEmpty(), "log lines: %s", logged)
			for _, name := range s.Counts {
				gomega.Eventually(func() int64 { return recorder.CounterValue(name) }, time.Second).Should(gomega.BeNumerically(">", before[name]), name)
			}
		})
	}
})
