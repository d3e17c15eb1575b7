package fleetleader

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// loadedModel is a model in a worker's accelerator memory, with its adapters.
type loadedModel struct {
	// adapters holds the loaded adapters, each with the time at which it was loaded or first reported; pendingAdapters
	// holds the adapters being loaded, each with the time at which it was ordered or reported.
	adapters, pendingAdapters map[string]time.Time
	// lastUsedAt is when a request last ran for the model.
	lastUsedAt time.Time
}

func newLoadedModel(adapters []string, now time.Time) *loadedModel {
	return &loadedModel{adapters: lo.SliceToMap(adapters, func(name string) (string, time.Time) { return name, now }), pendingAdapters: map[string]time.Time{}}
}

// workerState is the leader's view of one worker. The Leader's mu guards all fields but orderMu.
type workerState struct {
	// orderMu is held while an order is being sent, since each order must name the order count after the previous one.
	orderMu sync.Mutex
	// worker is the worker's latest heartbeat.
	worker *registrar.Worker
	// incarnation and orderCount are the start of the worker's process and its order count for which loadedModels is valid.
	incarnation, orderCount int64
	loadedModels            map[string]*loadedModel
	// loadingModel is the model being loaded, or empty; readyAt is when its load should end.
	loadingModel string
	readyAt      time.Time
	// moveActive is set while a goroutine executes a move; no other move or adapter load starts meanwhile.
	moveActive bool
	// adapterOrderActive is set while a goroutine loads an adapter.
	adapterOrderActive bool
	// reservedForAdapter is set if requests wait for an adapter that should be loaded on this worker next; no move starts
	// while it is set.
	reservedForAdapter bool
	// needsReport is set if an order failed or has an unknown outcome, or if a heartbeat contradicts the state; a report
	// must be read before the next order.
	needsReport bool
	// foundBusy is set while the last report shows an order of an earlier leader in progress, or one whose outcome is unknown.
	foundBusy bool
	// readingReport is set while a goroutine reads a report.
	readingReport bool
	// changedAt is when an order last changed the state.
	changedAt time.Time
	// inMemory and onDisk are the models with a copy in host memory or on disk.
	inMemory, onDisk map[string]bool
	// running counts the requests of all nodes that run on the worker, by model.
	running map[string]int
	// news is signalled when awaited may have been executed: a heartbeat begins or ceases to list its model, or the last
	// request for a model that it unloads ends. It is never closed and holds one signal.
	news chan struct{}
	// awaited is the order that the goroutine of a move or of an adapter load waits for; the zero value if there is none.
	awaited Order
	// failures counts the failed moves, adapter loads and reports since the last successful move; retryAt is the
	// earliest time of the next one.
	failures int
	retryAt  time.Time
}

// idle reports whether no move, adapter load or read of a report is in progress.
func (s *workerState) idle() bool { return !s.moveActive && !s.adapterOrderActive && !s.readingReport }

// maxEffectDelay is the time after which heartbeats must show the effect of an order.
const maxEffectDelay = 3 * time.Second

// applyHeartbeat updates the state from a heartbeat and reports whether the
// worker is new, was restarted, or began or stopped leaving. A heartbeat carries
// no order count, so its list of models is used only until the first report.
func (s *workerState) applyHeartbeat(now time.Time, w *registrar.Worker) bool {
	if s.worker == w {
		return false
	}
	before := s.worker
	s.worker = w
	if before != nil && s.awaited.Model != "" {
		_, listedBefore := before.Loaded[s.awaited.Model]
		if _, listed := w.Loaded[s.awaited.Model]; listed != listedBefore || before.Incarnation != w.Incarnation {
			s.signalNews()
		}
	}
	if before == nil || w.Incarnation > s.incarnation {
		s.replaceState(now, w.Incarnation, 0, w.Loaded, w.InMemory, w.OnDisk)
		s.needsReport = true
		return true
	}
	if w.Incarnation == s.incarnation {
		// Updated also while the worker is not idle: its loads evict copies.
		s.inMemory, s.onDisk = w.InMemory, w.OnDisk
	}
	if w.Incarnation == s.incarnation && s.idle() {
		if now.Sub(s.changedAt) > maxEffectDelay && !s.hasLoadedExactly(w.Loaded) {
			s.needsReport = true
		}
	}
	return before.Leaving != w.Leaving
}

// hasLoadedExactly reports whether the models and adapters in the state are exactly those of loaded.
func (s *workerState) hasLoadedExactly(loaded map[string][]string) bool {
	if len(loaded) != len(s.loadedModels) {
		return false
	}
	for model, adapters := range loaded {
		loaded, found := s.loadedModels[model]
		if !found || len(loaded.adapters) != len(adapters) {
			return false
		}
		for _, adapter := range adapters {
			if _, ready := loaded.adapters[adapter]; !ready {
				return false
			}
		}
	}
	return true
}

// replaceState replaces the state by what the worker reported, keeping the times of models and adapters known before.
func (s *workerState) replaceState(now time.Time, incarnation, orderCount int64, loaded map[string][]string, inMemory, onDisk map[string]bool) {
	loadedModels := make(map[string]*loadedModel, len(loaded))
	for model, adapters := range loaded {
		loaded := newLoadedModel(adapters, now)
		if previous, found := s.loadedModels[model]; found {
			loaded.lastUsedAt = previous.lastUsedAt
			for name, loadedAt := range previous.adapters {
				if _, found := loaded.adapters[name]; found {
					loaded.adapters[name] = loadedAt
				}
			}
		}
		loadedModels[model] = loaded
	}
	s.incarnation, s.orderCount, s.loadedModels = incarnation, orderCount, loadedModels
	s.loadingModel = ""
	s.inMemory, s.onDisk = inMemory, onDisk
	s.needsReport, s.foundBusy = false, false
	s.changedAt = now
}

// applyReport replaces the state by a report. If the worker is still busy, another report is needed.
func (s *workerState) applyReport(now time.Time, report Report) {
	s.replaceState(now, report.Incarnation, report.OrderCount, report.Loaded, report.InMemory, report.OnDisk)
	s.needsReport, s.foundBusy = report.Busy, report.Busy
	for _, name := range report.LoadingAdapters {
		unversioned, _, _ := strings.Cut(name, "@")
		model, adapter, _ := strings.Cut(unversioned, "/")
		if loaded, found := s.loadedModels[model]; found {
			loaded.pendingAdapters[adapter] = now
		}
	}
}

// recordFailure makes the next order wait for a report. The pause grows with each
// failure and is at least maxReportAge, so that the report is newer than the failed order.
func (s *workerState) recordFailure(now time.Time) {
	s.needsReport = true
	s.retryAt = now.Add(max(min(minRetryPause<<min(s.failures, 8), maxRetryPause), maxReportAge))
	s.failures++
}

// adapterCount returns how many adapter slots are taken, by loaded and pending adapters.
func (s *workerState) adapterCount() int {
	count := 0
	for _, loaded := range s.loadedModels {
		count += len(loaded.adapters) + len(loaded.pendingAdapters)
	}
	return count
}

// totalRunning returns how many requests of all nodes run on the worker.
func (s *workerState) totalRunning() int { return lo.Sum(lo.Values(s.running)) }

// idleMS returns for how long no request has run for a model, in milliseconds.
func (s *workerState) idleMS(now time.Time, model string, loaded *loadedModel) float64 {
	if s.running[model] > 0 {
		return 0
	}
	return float64(now.Sub(loaded.lastUsedAt).Milliseconds())
}

// modelNames returns the names of the loaded models in ascending order.
func (s *workerState) modelNames() []string {
	names := lo.Keys(s.loadedModels)
	slices.Sort(names)
	return names
}
