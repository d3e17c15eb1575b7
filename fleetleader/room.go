package fleetleader

import (
	"cmp"
	"slices"
	"time"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/placer"
)

// adapterMB returns the memory that the adapters of a model take, those that are being loaded included.
func (m *loadedModel) adapterMB(model cataloger.Model) float64 {
	return float64(len(m.adapters)+len(m.pendingAdapters)) * model.AdapterMB
}

// freeMB returns the memory that neither models nor adapters take, those included that are being
// loaded. What is unloaded counts as free from the decision on, since orders are executed in their
// order.
func (s *workerState) freeMB(service *cataloger.Service) float64 {
	free := service.MemoryMB
	for name, loaded := range s.loadedModels {
		model := service.Models[name]
		free -= model.MemoryMB + loaded.adapterMB(model)
	}
	if _, listed := s.loadedModels[s.loadingModel]; s.loadingModel != "" && !listed {
		free -= service.Models[s.loadingModel].MemoryMB
	}
	return free
}

// room is what an adapter lacks on a worker.
type room struct {
	// freeMB and freeSlots are negative if more is taken than there is.
	freeMB, neededMB float64
	freeSlots        int
}

func (r room) suffices() bool { return r.freeMB >= r.neededMB && r.freeSlots >= 1 }

// plus returns the room after the unload of an adapter of a model.
func (r room) plus(model cataloger.Model) room {
	r.freeMB += model.AdapterMB
	r.freeSlots++
	return r
}

// adapterVictims returns the orders that make room for one more adapter on a worker: unloads of the
// adapters that are requested least often or, if the models leave no room, of an idle model.
// Possible is unset if there is no room to be made. The caller holds mu.
func (l *Leader) adapterVictims(service *cataloger.Service, state *workerState, key demandKey) (victims []Order, possible bool) {
	lacking := room{freeMB: state.freeMB(service), neededMB: service.Models[key.model].AdapterMB, freeSlots: service.AdapterSlots - state.adapterCount()}
	remaining := lacking
	for _, victim := range l.idlestAdapters(service.Name, state) {
		if remaining.suffices() {
			break
		}
		victims = append(victims, victim)
		remaining = remaining.plus(service.Models[victim.Model])
	}
	if !remaining.suffices() {
		return l.modelVictim(service, state, key, lacking)
	}
	for i := 0; i < len(victims); i++ { // Those of small adapters may not be needed once a large one is among them.
		others := slices.Delete(slices.Clone(victims), i, i+1)
		kept := lacking
		for _, victim := range others {
			kept = kept.plus(service.Models[victim.Model])
		}
		if kept.suffices() {
			victims = others
			i--
		}
	}
	return victims, true
}

// idlestAdapters returns the orders that unload the adapters of a worker, the one with the lowest
// rate of requests first, since an adapter in use stays until its requests end and the worker takes
// no other order meanwhile; of several, the one loaded longest ago. The caller holds mu.
func (l *Leader) idlestAdapters(service string, state *workerState) []Order {
	type candidate struct {
		order    Order
		rate     float64
		loadedAt time.Time
	}
	var candidates []candidate
	for _, model := range state.modelNames() {
		for adapter, loadedAt := range state.loadedModels[model].adapters {
			rate := l.demand.fastRate(demandKey{service: service, model: model, adapter: adapter})
			candidates = append(candidates, candidate{Order{Unload: true, Model: model, Adapter: adapter}, rate, loadedAt})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.rate != b.rate {
			return cmp.Compare(a.rate, b.rate)
		}
		return a.loadedAt.Compare(b.loadedAt)
	})
	orders := make([]Order, 0, len(candidates))
	for _, c := range candidates {
		orders = append(orders, c.order)
	}
	return orders
}

// modelVictim returns the order that unloads the model with the lowest rate of requests from a
// worker, if that makes room for an adapter that is requested more often. A model with running or
// waiting requests stays. The caller holds mu.
func (l *Leader) modelVictim(service *cataloger.Service, state *workerState, key demandKey, lacking room) (victims []Order, possible bool) {
	victim, lowest := "", l.demand.fastRate(key)
	for _, name := range state.modelNames() {
		loaded, model := state.loadedModels[name], service.Models[name]
		freed := room{
			freeMB: lacking.freeMB + model.MemoryMB + loaded.adapterMB(model), neededMB: lacking.neededMB,
			freeSlots: lacking.freeSlots + len(loaded.adapters) + len(loaded.pendingAdapters),
		}
		if name == key.model || state.running[name] > 0 || len(loaded.pendingAdapters) > 0 || !freed.suffices() || l.demand.isWaiting(service.Name, name) {
			continue
		}
		if rate := l.demand.modelRate(service.Name, name); rate < lowest {
			victim, lowest = name, rate
		}
	}
	if victim == "" {
		return nil, false
	}
	return []Order{{Unload: true, Model: victim}}, true
}

// placerUnit describes a model on a worker of this zone for the placer.
func (s *workerState) placerUnit(now time.Time, name string, model cataloger.Model) placer.Unit {
	loaded := s.loadedModels[name]
	return placer.Unit{Model: name, Running: s.running[name], IdleMS: s.idleMS(now, name, loaded), AdapterMB: loaded.adapterMB(model)}
}
