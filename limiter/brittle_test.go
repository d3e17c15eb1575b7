package limiter_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/limiter"
)

// Guards against sends to brittle workers that have no room for them.
var _ = ginkgo.Describe("brittle workers", func() {
	var scripts []struct {
		Name  string
		Nodes int
		// Steps are described in the data file; without Names and Rejects, a step asks for room.
		Steps []struct {
			AtMS         int
			Names        float64
			Rejects      bool
			Load, Recent int
			Room         bool
		}
	}
	gomega.Expect(casereader.Read("testdata/brittle.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			l := limiter.New(nil, func() int { return s.Nodes }, func(string) {})
			for i, step := range s.Steps {
				now := time.Unix(9000, 0).Add(time.Duration(step.AtMS) * time.Millisecond)
				switch {
				case step.Names != 0:
					l.ObserveBrittle(now, "s", "w2", &step.Names)
				case step.Rejects:
					l.Rejected(now, "s", "w1")
				default:
					room, retryAt := l.HasRoom(now, "s", "w1", step.Load, step.Recent, 8)
					gomega.Expect(room).To(gomega.Equal(step.Room), "step %d", i)
					gomega.Expect(room || retryAt.After(now)).To(gomega.BeTrue(), "a time at which there may be room, step %d", i)
				}
			}
		})
	}
})
