package fleetleader

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// Guards against a leader that keeps, for as long as a node lives, a count for each name that a caller of that node has invented.
func TestForgottenKeys(t *testing.T) {
	var scripts []struct {
		Name     string
		Messages []struct {
			Whole  bool
			Models []struct {
				Adapter string
				Asked   int64
				Waiting int32
			}
			Keys     int
			Arrivals float64
		}
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/forgotten_keys.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			g, now, demand := gomega.NewWithT(t), time.Now(), newDemandAggregator()
			for i, step := range script.Messages {
				message := &nodewire.Demand{Node: "n", Whole: step.Whole}
				for _, model := range step.Models {
					message.Models = append(message.Models, &nodewire.ModelDemand{Service: "s", Model: "m", Adapter: model.Adapter, Asked: model.Asked, Waiting: model.Waiting})
				}
				demand.apply(now, message)
				node := demand.nodes["n"]
				g.Expect(node.requestCounts).To(gomega.HaveLen(step.Keys), "message %d", i)
				g.Expect(len(node.refusalCounts)).To(gomega.BeNumerically("<=", step.Keys), "message %d", i)
				arrivals := 0.0
				for _, r := range demand.rates {
					arrivals += r.slow * slowRateDecay.Seconds()
				}
				g.Expect(arrivals).To(gomega.BeNumerically("~", step.Arrivals, 1e-9), "message %d", i)
			}
		})
	}
}
