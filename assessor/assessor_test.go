package assessor_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/casereader"
)

func TestAssessor(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "assessor")
}

// step is one event of a script and the assessment expected after it. At is in milliseconds.
type step struct {
	At int64
	// Do is the event: "begin", "answered", "failed", "unreached", "load", which reports the step's Report as load and as pace, or "" for none.
	Do     string
	Report float64
	// Load and Pace are the decayed load and pace.
	Load, Pace float64
	// Least and Most bound the penalty. Out is whether the worker is excluded, Recent the number of recent sends.
	Least, Most float64
	Out         bool
	Recent      int
}

var _ = ginkgo.Describe("assessment of a worker", func() {
	var scripts []struct {
		Name  string
		Steps []step
	}
	gomega.Expect(casereader.Read("testdata/evidence.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			a := assessor.New()
			start := time.Unix(9000, 0)
			for _, next := range s.Steps {
				now := start.Add(time.Duration(next.At) * time.Millisecond)
				switch next.Do {
				case "begin":
					a.BeginSend(now, "w")
				case "answered":
					a.EndSend(now, "w", false)
				case "failed":
					a.EndSend(now, "w", true)
				case "load":
					a.ReportLoad(now, "w", int(next.Report))
					a.ReportPace(now, "w", next.Report)
				case "unreached":
					a.MarkUnreachable(now, "w")
				}
				got := a.Assess(now, "w")
				gomega.Expect(got.Penalty).To(gomega.And(gomega.BeNumerically(">=", next.Least), gomega.BeNumerically("<=", next.Most)), "at %d ms", next.At)
				gomega.Expect(got.Excluded).To(gomega.Equal(next.Out), "at %d ms", next.At)
				gomega.Expect(got.DecayedLoad).To(gomega.BeNumerically("~", next.Load, 1e-6), "at %d ms", next.At)
				gomega.Expect(got.Pace).To(gomega.BeNumerically("~", next.Pace, 1e-6), "at %d ms", next.At)
				gomega.Expect(got.RecentSends).To(gomega.Equal(next.Recent), "at %d ms", next.At)
			}
		})
	}
})
