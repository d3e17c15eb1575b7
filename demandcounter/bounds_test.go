package demandcounter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/demandcounter"
)

// Guards against counts that grow with the names that callers invent, and against a bound that loses real demand.
func TestBounds(t *testing.T) {
	var scripts []struct {
		Name  string
		Steps []struct {
			At                    int
			Prefix                string
			Names, Count, Waiting int
			Known                 bool
			// Adapters is the wanted number of adapters in the snapshot, Contains the name of one that must be among them.
			Adapters int
			Contains string
			// ModelRequests is the wanted number of requests of the model itself, not checked if it is absent.
			ModelRequests *int64
		}
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/bounds.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			g, start := gomega.NewWithT(t), time.Now()
			now := start
			counter := demandcounter.NewAt(func() time.Time { return now })
			for i, step := range script.Steps {
				now = start.Add(time.Duration(step.At) * time.Second)
				for name := range step.Names {
					key := demandcounter.Key{Service: "s", Model: "m", Adapter: fmt.Sprint(step.Prefix, name)}
					if step.Known {
						counter.Admit(key)
					}
					for range step.Count {
						counter.CountArrival(key)
					}
					for range step.Waiting {
						counter.StartWaiting(key, now)
					}
				}
				demands, _ := counter.Snapshot()
				adapters := map[string]bool{}
				for key := range demands {
					if key.Adapter != "" {
						adapters[key.Adapter] = true
					}
				}
				g.Expect(adapters).To(gomega.HaveLen(step.Adapters), "step %d", i)
				if step.Contains != "" {
					g.Expect(adapters).To(gomega.HaveKey(step.Contains), "step %d", i)
				}
				if step.ModelRequests != nil {
					g.Expect(demands[demandcounter.Key{Service: "s", Model: "m"}].Requests).To(gomega.Equal(*step.ModelRequests), "step %d", i)
				}
			}
		})
	}
}
