package fleetleader

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

const (
	// maxPendingAdapters is how many adapters of one model a worker may be loading concurrently; the platform allows four.
	maxPendingAdapters = 4
	// adapterTimeout is how long an adapter may be pending before it may be ordered again.
	adapterTimeout = 1 * time.Second
	// adapterFirstWait is the pause before an adapter's load is first checked; a load takes 5 to 20 ms while few are pending.
	adapterFirstWait = 8 * time.Millisecond
)

// planAdapters starts loading the adapters for which requests wait, each on a
// worker that has its model loaded; the caller holds mu.
func (l *Leader) planAdapters(now time.Time, service *cataloger.Service) {
	var keys []demandKey
	for key := range l.demand.waiting {
		if key.service == service.Name && key.adapter != "" {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].model+"/"+keys[i].adapter < keys[j].model+"/"+keys[j].adapter })
	for _, key := range keys {
		l.planAdapter(now, service, key)
	}
}

// planAdapter starts loading an adapter, unless a worker has it loaded or is loading it; the caller holds mu.
func (l *Leader) planAdapter(now time.Time, service *cataloger.Service, key demandKey) {
	target, needed := l.adapterTarget(now, service, key)
	if !needed {
		return
	}
	state, found := l.workers[target]
	if !found {
		return
	}
	state.reservedForAdapter = true // No move starts on this worker before the adapter is ordered.
	if !state.idle() || state.needsReport || now.Before(state.retryAt) {
		return
	}
	loaded, held := state.loadedModels[key.model]
	if !held || !l.canOrderAdapter(now, state, loaded, key.adapter) {
		return
	}
	l.startAdapter(now, service, state, loaded, key)
}

// adapterTarget returns the worker that should load an adapter, preferring workers whose models leave room for it, then
// workers that are not busy; a hash of worker and adapter spreads the adapters over the
// workers. No load is needed if a worker has the adapter loaded or is loading it.
// The caller holds mu.
func (l *Leader) adapterTarget(now time.Time, service *cataloger.Service, key demandKey) (worker string, needed bool) {
	best, bestCrowded, bestBusy, bestScore := "", false, false, uint64(0)
	for _, holder := range l.dependencies.Tracker.Holders(now, service.Name, key.model, key.adapter) {
		if !holder.ReadyAt.IsZero() {
			continue
		}
		if holder.HasAdapter || holder.AdapterLoading {
			return "", false
		}
		id := holder.Worker.ID
		crowded, busy := l.isCrowded(now, service, holder.Worker, key.model), l.isBusy(now, id)
		score := xxhash.Sum64String(id + "\x00" + key.model + "/" + key.adapter)
		better := score > bestScore
		if crowded != bestCrowded {
			better = bestCrowded
		} else if busy != bestBusy {
			better = bestBusy
		}
		if best == "" || better {
			best, bestCrowded, bestBusy, bestScore = id, crowded, busy, score
		}
	}
	return best, best != ""
}

// isCrowded reports whether the models on a worker, as all leaders know them, leave no room for an adapter of a model, even if no other adapter is loaded.
func (l *Leader) isCrowded(now time.Time, service *cataloger.Service, worker *registrar.Worker, model string) bool {
	free := service.MemoryMB
	for _, unit := range l.dependencies.Tracker.Units(now, worker) {
		free -= service.Models[unit.Model].MemoryMB
	}
	return free < service.Models[model].AdapterMB
}

// isBusy reports whether a worker of this zone has a move in progress or needs a report, or whether a worker of another
// zone was announced as busy; the caller holds mu.
func (l *Leader) isBusy(now time.Time, worker string) bool {
	if state, found := l.workers[worker]; found {
		return state.moveActive || state.needsReport
	}
	announcement := l.dependencies.Tracker.Announcement(worker)
	return announcement != nil && now.Before(announcement.BusyUntil)
}

// canOrderAdapter reports whether an adapter may be ordered for a model. A pending adapter that is older than adapterTimeout may have been loaded or given
// up by the worker; a report must show which.
func (l *Leader) canOrderAdapter(now time.Time, state *workerState, loaded *loadedModel, adapter string) bool {
	for _, since := range loaded.pendingAdapters {
		if now.Sub(since) > adapterTimeout {
			state.needsReport = true
			return false
		}
	}
	_, pending := loaded.pendingAdapters[adapter]
	_, ready := loaded.adapters[adapter]
	return !pending && !ready && len(loaded.pendingAdapters) < maxPendingAdapters
}

// startAdapter starts loading an adapter. If it lacks an adapter slot or memory, what costs least is unloaded first; if that does not suffice, nothing is
// started. The caller holds mu.
func (l *Leader) startAdapter(now time.Time, service *cataloger.Service, state *workerState, loaded *loadedModel, key demandKey) {
	victims, possible := l.adapterVictims(service, state, key)
	if !possible {
		return
	}
	freeMB := state.freeMB(service)
	for _, victim := range victims {
		if victim.Adapter == "" {
			delete(state.loadedModels, victim.Model)
		} else {
			delete(state.loadedModels[victim.Model].adapters, victim.Adapter)
		}
		l.markChanged(state.worker.ID, victim.Model)
	}
	state.adapterOrderActive = true
	loaded.pendingAdapters[key.adapter] = now
	l.markChanged(state.worker.ID, key.model)
	units := lo.Map(victims, func(victim Order, _ int) string { return victim.unit() })
	log.Info().Str("worker", state.worker.ID).Str("model", key.model).Str("adapter", key.adapter).Str("victim", strings.Join(units, ",")).
		Float64("free_mb", freeMB).Float64("needed_mb", service.Models[key.model].AdapterMB).Int64("orders", state.orderCount).Int64("epoch", l.epoch).Msg("adapter load decided")
	go l.loadAdapter(l.epoch, state, key, victims)
}

// loadAdapter loads an adapter, after unloading the victims.
func (l *Leader) loadAdapter(epoch int64, state *workerState, key demandKey, victims []Order) {
	w := l.workerOf(state)
	var err error
	var before Order
	var sending *delivery
	for _, next := range append(victims, Order{Model: key.model, Adapter: key.adapter}) {
		sending = newDelivery(next)
		if err = l.sendWithRetry(epoch, state, w, sending, before); err != nil {
			break
		}
		before = next
	}
	if err == nil && !sending.done {
		ordered := time.Now()
		time.Sleep(adapterFirstWait)
		err = l.awaitDone(epoch, state, w, sending, newInquiry(ordered, ordered.Add(adapterFirstWait+adapterTimeout), nil))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch != epoch {
		return
	}
	now := time.Now()
	state.adapterOrderActive = false
	state.awaited = Order{}
	loaded, held := state.loadedModels[key.model]
	if held {
		delete(loaded.pendingAdapters, key.adapter)
	}
	if err != nil {
		state.recordFailure(now)
		log.Warn().Str("worker", w.ID).Str("adapter", key.adapter).Err(err).Msg("adapter load failed")
	} else if held {
		loaded.adapters[key.adapter] = now
	}
	state.changedAt = now
	l.markChanged(w.ID, key.model)
	l.notifyFollowers()
	l.Wake()
}
