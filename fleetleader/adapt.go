package fleetleader

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
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
	if !held || !l.canOrderAdapter(now, loaded, key.adapter) {
		return
	}
	l.startAdapter(now, service, state, loaded, key)
}

// adapterTarget returns the worker that should load an adapter, preferring workers
// that are not busy; a hash of worker and adapter spreads the adapters over the
// workers. No load is needed if a worker has the adapter loaded or is loading it.
// The caller holds mu.
func (l *Leader) adapterTarget(now time.Time, service *cataloger.Service, key demandKey) (worker string, needed bool) {
	best, bestBusy, bestScore := "", false, uint64(0)
	for _, holder := range l.dependencies.Tracker.Holders(now, service.Name, key.model, key.adapter) {
		if !holder.ReadyAt.IsZero() {
			continue
		}
		if holder.HasAdapter || holder.AdapterLoading {
			return "", false
		}
		id := holder.Worker.ID
		busy := l.isBusy(now, id)
		score := xxhash.Sum64String(id + "\x00" + key.model + "/" + key.adapter)
		if best == "" || bestBusy && !busy || busy == bestBusy && score > bestScore {
			best, bestBusy, bestScore = id, busy, score
		}
	}
	return best, best != ""
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

// canOrderAdapter reports whether an adapter may be ordered for a model, after dropping pending adapters older than
// adapterTimeout.
func (l *Leader) canOrderAdapter(now time.Time, loaded *loadedModel, adapter string) bool {
	for name, since := range loaded.pendingAdapters {
		if now.Sub(since) > adapterTimeout {
			delete(loaded.pendingAdapters, name)
		}
	}
	_, pending := loaded.pendingAdapters[adapter]
	_, ready := loaded.adapters[adapter]
	return !pending && !ready && len(loaded.pendingAdapters) < maxPendingAdapters
}

// startAdapter starts loading an adapter. If all adapter slots are taken, the adapter that is requested least often is
// unloaded first; if none is loaded, nothing is started. The caller holds mu.
func (l *Leader) startAdapter(now time.Time, service *cataloger.Service, state *workerState, loaded *loadedModel, key demandKey) {
	var victim Order
	if state.adapterCount() >= service.AdapterSlots {
		victim = l.unloadOfIdlestAdapter(service.Name, state)
		if victim.Adapter == "" {
			return
		}
		delete(state.loadedModels[victim.Model].adapters, victim.Adapter)
	}
	state.adapterOrderActive = true
	loaded.pendingAdapters[key.adapter] = now
	l.markChanged(state.worker.ID, key.model)
	log.Info().Str("worker", state.worker.ID).Str("model", key.model).Str("adapter", key.adapter).Str("victim", victim.Adapter).
		Int64("orders", state.orderCount).Int64("epoch", l.epoch).Msg("adapter load decided")
	go l.loadAdapter(l.epoch, state, key, victim)
}

// unloadOfIdlestAdapter returns the order that unloads the adapter with the lowest rate of requests, since an adapter in
// use stays until its requests end and the worker takes no other order meanwhile; of several, the one loaded longest ago.
// The order is empty if no adapter is loaded. The caller holds mu.
func (l *Leader) unloadOfIdlestAdapter(service string, state *workerState) Order {
	var idlest Order
	var idlestAt time.Time
	idlestRate := 0.0
	for _, model := range state.modelNames() {
		for adapter, loadedAt := range state.loadedModels[model].adapters {
			adapterRate := 0.0
			if r, found := l.demand.rates[demandKey{service: service, model: model, adapter: adapter}]; found {
				adapterRate = r.fast
			}
			if idlest.Adapter == "" || adapterRate < idlestRate || adapterRate == idlestRate && loadedAt.Before(idlestAt) {
				idlest, idlestAt, idlestRate = Order{Unload: true, Model: model, Adapter: adapter}, loadedAt, adapterRate
			}
		}
	}
	return idlest
}

// loadAdapter loads an adapter, after unloading the victim if there is one.
func (l *Leader) loadAdapter(epoch int64, state *workerState, key demandKey, victim Order) {
	w := l.workerOf(state)
	var err error
	if victim.Adapter != "" {
		err = l.sendWithRetry(epoch, state, w, victim, Order{})
	}
	order := Order{Model: key.model, Adapter: key.adapter}
	if err == nil {
		err = l.sendWithRetry(epoch, state, w, order, victim)
	}
	if err == nil {
		ordered := time.Now()
		time.Sleep(adapterFirstWait)
		err = l.awaitDone(epoch, state, w, order, newInquiry(ordered, ordered.Add(adapterFirstWait+adapterTimeout), nil))
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
