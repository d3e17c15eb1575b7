package fleetleader

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Guards against unloading an adapter in use: the worker keeps it until its requests end and refuses all other orders meanwhile.
var _ = ginkgo.Describe("the adapter that makes room for another", func() {
	ginkgo.It("is the one requested least often, and of several the one loaded longest ago", func() {
		z := newFakeZone(1, 0, 0)
		l := z.leader
		now := time.Now()
		loaded := newLoadedModel(nil, now)
		for i, adapter := range []string{"a1", "a2", "a3"} {
			loaded.adapters[adapter] = now.Add(time.Duration(i) * time.Second)
		}
		state := &workerState{loadedModels: map[string]*loadedModel{"m0": loaded}}
		l.mu.Lock()
		defer l.mu.Unlock()
		gomega.Expect(l.unloadOfIdlestAdapter("s", state)).To(gomega.Equal(Order{Unload: true, Model: "m0", Adapter: "a1"}))
		l.demand.rateOf(now, demandKey{service: "s", model: "m0", adapter: "a1"}).add(now, 3)
		gomega.Expect(l.unloadOfIdlestAdapter("s", state)).To(gomega.Equal(Order{Unload: true, Model: "m0", Adapter: "a2"}))
	})
})
