package limiter_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/limiter"
)

// Guards against more requests at a brittle worker than it runs at the same time, also when the leader's count is wrong or gone.
var _ = ginkgo.Describe("slots of a brittle worker", func() {
	var scripts []struct {
		Name             string
		Slots, PerSecond int
		// Steps are described in the data file.
		Steps []struct {
			AtMS, Times, Granted               int
			Node                               string
			Epoch, Born                        int64
			Running, Accepted, Rejected, Ended int
			EndsMS                             int
		}
	}
	gomega.Expect(casereader.Read("testdata/slots.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			granter := limiter.NewSlotGranter()
			for i, step := range s.Steps {
				now := time.Unix(9000, 0).Add(time.Duration(step.AtMS) * time.Millisecond)
				use := limiter.SlotUse{
					Worker: "w", Incarnation: step.Born, Slots: s.Slots, PerSecond: float64(s.PerSecond), Accepted: step.Accepted, Rejected: step.Rejected, Ended: step.Ended,
				}
				granter.Apply(now, step.Epoch, step.Node, use, step.Running)
				granted := 0
				for range step.Times {
					wanted := limiter.SlotUse{Worker: "w", Incarnation: step.Born, Slots: s.Slots, PerSecond: float64(s.PerSecond), Wanted: true, EndsAt: now.Add(time.Duration(step.EndsMS) * time.Millisecond)}
					isGranted, retryAt := granter.Apply(now, step.Epoch, step.Node, wanted, step.Running)
					gomega.Expect(isGranted || retryAt.After(now)).To(gomega.BeTrue(), "a time at which there may be a slot, step %d", i)
					if isGranted {
						granted++
					}
				}
				gomega.Expect(granted).To(gomega.Equal(step.Granted), "step %d", i)
			}
		})
	}
})
