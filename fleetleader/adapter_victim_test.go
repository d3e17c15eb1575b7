package fleetleader

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
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
		service := &cataloger.Service{Name: "s", Models: map[string]cataloger.Model{"m0": {}}, AdapterSlots: 3}
		victims := func() []Order {
			orders, possible := l.adapterVictims(service, state, demandKey{service: "s", model: "m0", adapter: "a4"})
			gomega.Expect(possible).To(gomega.BeTrue())
			return orders
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		gomega.Expect(victims()).To(gomega.Equal([]Order{{Unload: true, Model: "m0", Adapter: "a1"}}))
		l.demand.rateOf(now, demandKey{service: "s", model: "m0", adapter: "a1"}).add(now, 3)
		gomega.Expect(victims()).To(gomega.Equal([]Order{{Unload: true, Model: "m0", Adapter: "a2"}}))
	})
})

// roomScript is one script of testdata/rooms.json.
type roomScript struct {
	Name string
	// MemoryMB and Slots are those of the worker.
	MemoryMB float64
	Slots    int
	// Loaded and Pending are the adapters on the worker as MODEL/ADAPTER, Models its models; the ones loaded longest ago come first. Loading is the model being
	// loaded. Rates are requests a moment ago by MODEL or MODEL/ADAPTER, Waiting and Running the models with such requests.
	Models, Loaded, Pending []string
	Loading                 string
	Rates                   map[string]int64
	Waiting, Running        []string
	Wanted                  string
	Victims                 []string
	Impossible              bool
}

// Guards against adapters that are ordered beyond a worker's memory, and against unloads that others could spare.
var _ = ginkgo.Describe("room for an adapter", func() {
	var scripts []roomScript
	gomega.Expect(casereader.Read("testdata/rooms.json", &scripts)).To(gomega.Succeed())
	models := map[string]cataloger.Model{"big": {Name: "big", MemoryMB: 500, AdapterMB: 60}, "small": {Name: "small", MemoryMB: 300, AdapterMB: 10}, "other": {Name: "other", MemoryMB: 400, AdapterMB: 60}}
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			l := newFakeZone(1, 0, 0).leader
			now := time.Now()
			key := func(text string) demandKey {
				model, adapter, _ := strings.Cut(text, "/")
				return demandKey{service: "s", model: model, adapter: adapter}
			}
			state := &workerState{loadedModels: map[string]*loadedModel{}, running: lo.SliceToMap(s.Running, func(model string) (string, int) { return model, 1 }), loadingModel: s.Loading}
			for _, model := range s.Models {
				state.loadedModels[model] = newLoadedModel(nil, now)
			}
			for i, adapter := range s.Loaded {
				state.loadedModels[key(adapter).model].adapters[key(adapter).adapter] = now.Add(time.Duration(i) * time.Second)
			}
			for _, adapter := range s.Pending {
				state.loadedModels[key(adapter).model].pendingAdapters[key(adapter).adapter] = now
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			for text, count := range s.Rates {
				l.demand.rateOf(now, key(text)).add(now, count)
			}
			for _, model := range s.Waiting {
				l.demand.waiting[key(model)] = map[*nodeDemand]waitingRequests{{}: {count: 1}}
			}
			service := &cataloger.Service{Name: "s", Models: models, MemoryMB: s.MemoryMB, AdapterSlots: s.Slots}
			victims, possible := l.adapterVictims(service, state, key(s.Wanted))
			gomega.Expect(possible).To(gomega.Equal(!s.Impossible))
			gomega.Expect(lo.Map(victims, func(victim Order, _ int) string { return victim.unit() })).To(gomega.Equal(append([]string{}, s.Victims...)), fmt.Sprintf("%.0f MB are free", state.freeMB(service)))
		})
	}
})
