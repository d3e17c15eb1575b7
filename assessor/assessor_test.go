package assessor_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/scripter"
)

func TestAssessor(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "assessor")
}

// step is one event at a time in milliseconds, and what must hold after it.
type step struct {
	At int64
	// Do is "begin", "answered", "failed", "unreached" or "".
	Do          string
	Least, Most float64
	Out         bool
	Recent      int
}

var _ = ginkgo.Describe("evidence of a worker", func() {
	var scripts []struct {
		Name  string
		Steps []step
	}
	gomega.Expect(scripter.Read("testdata/evidence.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			a := assessor.New()
			start := time.Unix(9000, 0)
			for _, next := range s.Steps {
				now := start.Add(time.Duration(next.At) * time.Millisecond)
				switch next.Do {
				case "begin":
					a.Begin(now, "w")
				case "answered":
					a.End(now, "w", false)
				case "failed":
					a.End(now, "w", true)
				case "unreached":
					a.Unreached(now, "w")
				}
				got := a.Assess(now, "w")
				gomega.Expect(got.Penalty).To(gomega.And(gomega.BeNumerically(">=", next.Least), gomega.BeNumerically("<=", next.Most)), "at %d ms", next.At)
				gomega.Expect(got.Out).To(gomega.Equal(next.Out), "at %d ms", next.At)
				gomega.Expect(got.Recent).To(gomega.Equal(next.Recent), "at %d ms", next.At)
			}
		})
	}
})
