package conductor

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
)

const (
	// adaptersAtWorker bounds the adapters on their way to one worker; the platform takes four.
	adaptersAtWorker = 4
	// adapterTime is how long an adapter may be on its way before it is ordered again.
	adapterTime = 1 * time.Second
	// adapterPause is the first wait for an adapter; it takes 5 to 20 ms when few are on their way.
	adapterPause = 8 * time.Millisecond
)

// planAdapters loads the adapters that callers wait for at a worker that has
// their model; the caller holds mu.
func (c *Conductor) planAdapters(now time.Time, service *cataloger.Service) {
	var keys []demandKey
	for key := range c.demand.waiting {
		if key.service == service.Name && key.adapter != "" {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].model+"/"+keys[i].adapter < keys[j].model+"/"+keys[j].adapter })
	for _, key := range keys {
		c.planAdapter(now, service, key)
	}
}

// planAdapter loads one adapter, unless it is held or coming somewhere; the caller holds mu.
func (c *Conductor) planAdapter(now time.Time, service *cataloger.Service, key demandKey) {
	target, needed := c.adapterTarget(now, service, key)
	if !needed {
		return
	}
	known, mine := c.workers[target]
	if !mine {
		return
	}
	known.reserved = true // No swap begins there before the adapter is ordered.
	if !known.idle() || known.unsure || now.Before(known.retryAt) {
		return
	}
	unit, held := known.units[key.model]
	if !held || !c.coming(now, unit, key.adapter) {
		return
	}
	c.startAdapter(now, service, known, unit, key)
}

// adapterTarget returns the worker that should load an adapter: one that no
// order keeps busy if there is one, and for each adapter another one.
func (c *Conductor) adapterTarget(now time.Time, service *cataloger.Service, key demandKey) (worker string, needed bool) {
	best, bestBusy, bestScore := "", false, uint64(0)
	for _, holder := range c.parts.View.Holders(now, service.Name, key.model, key.adapter) {
		if !holder.ReadyAt.IsZero() {
			continue
		}
		if holder.HasAdapter || holder.AdapterComing {
			return "", false
		}
		id := holder.Worker.ID
		busy := c.isBusy(now, id)
		score := xxhash.Sum64String(id + "\x00" + key.model + "/" + key.adapter)
		if best == "" || bestBusy && !busy || busy == bestBusy && score > bestScore {
			best, bestBusy, bestScore = id, busy, score
		}
	}
	return best, best != ""
}

// isBusy reports whether a swap is under way at a worker; the caller holds mu.
func (c *Conductor) isBusy(now time.Time, worker string) bool {
	if known, mine := c.workers[worker]; mine {
		return known.swapping || known.unsure
	}
	announcement := c.parts.View.Announcement(worker)
	return announcement != nil && now.Before(announcement.BusyUntil)
}

// coming reports whether an adapter may be ordered for a unit, forgetting orders that took too long.
func (c *Conductor) coming(now time.Time, unit *heldUnit, adapter string) bool {
	for name, since := range unit.coming {
		if now.Sub(since) > adapterTime {
			delete(unit.coming, name)
		}
	}
	_, under := unit.coming[adapter]
	_, ready := unit.adapters[adapter]
	return !under && !ready && len(unit.coming) < adaptersAtWorker
}

// startAdapter begins to load an adapter, after unloading the one unused longest if the places are taken; the caller holds mu.
func (c *Conductor) startAdapter(now time.Time, service *cataloger.Service, known *charge, unit *heldUnit, key demandKey) {
	var victim Order
	if known.adapterCount() >= service.AdapterSlots {
		victim = known.oldestAdapter()
		if victim.Adapter == "" {
			return
		}
		delete(known.units[victim.Model].adapters, victim.Adapter)
	}
	known.adapting = true
	unit.coming[key.adapter] = now
	c.touch(known.worker.ID, key.model)
	log.Info().Str("worker", known.worker.ID).Str("model", key.model).Str("adapter", key.adapter).Str("victim", victim.Adapter).
		Int64("orders", known.orders).Int64("epoch", c.epoch).Msg("adapter load decided")
	go c.adapt(c.epoch, known, key, victim)
}

// oldestAdapter returns the unload of the adapter that was used least recently.
func (c *charge) oldestAdapter() Order {
	var oldest Order
	var oldestAt time.Time
	for _, model := range c.models() {
		for adapter, usedAt := range c.units[model].adapters {
			if oldest.Adapter == "" || usedAt.Before(oldestAt) {
				oldest, oldestAt = Order{Unload: true, Model: model, Adapter: adapter}, usedAt
			}
		}
	}
	return oldest
}

// adapt carries the load of an adapter out.
func (c *Conductor) adapt(epoch int64, known *charge, key demandKey, victim Order) {
	w := c.workerOf(known)
	var err error
	if victim.Adapter != "" {
		err = c.order(epoch, known, w, victim)
	}
	order := Order{Model: key.model, Adapter: key.adapter}
	if err == nil {
		err = c.order(epoch, known, w, order)
	}
	if err == nil {
		time.Sleep(adapterPause)
		err = c.awaitHolds(epoch, known, w, order, time.Now().Add(adapterTime))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch != epoch {
		return
	}
	now := time.Now()
	known.adapting = false
	unit, held := known.units[key.model]
	if held {
		delete(unit.coming, key.adapter)
	}
	if err != nil {
		known.doubt(now)
		log.Warn().Str("worker", w.ID).Str("adapter", key.adapter).Err(err).Msg("adapter not loaded")
	} else if held {
		unit.adapters[key.adapter] = now
	}
	known.changedAt = now
	c.touch(w.ID, key.model)
	c.flush()
	c.Kick()
}
