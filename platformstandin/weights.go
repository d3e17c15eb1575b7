package platformstandin

import (
	"sync"
	"time"
)

// FetchRequest requests one checkpoint from the weight store.
type FetchRequest struct {
	Checkpoint string `json:"checkpoint"`
	// Adapter is set if the checkpoint is an adapter; adapters have a separate limit.
	Adapter bool `json:"adapter"`
	// Milliseconds is how long the fetch takes at full speed.
	Milliseconds int64 `json:"milliseconds"`
}

// weightStore simulates the durations of fetches, which depend on the rate of starts and on the number in progress.
type weightStore struct {
	// mu guards all fields.
	mu sync.Mutex
	// interval is the minimum time between the starts of two model fetches.
	interval time.Duration
	// nextStart is the earliest start of the next model fetch.
	nextStart time.Time
	// modelLimit and adapterLimit are the numbers of concurrent fetches of models and adapters at full speed.
	modelLimit, adapterLimit int
	// runningModels and runningAdapters are the numbers of fetches in progress.
	runningModels, runningAdapters int
	// slowness multiplies the time of every fetch; it is at least 1.
	slowness float64
	// fetches counts the model fetches since the start.
	fetches int64
}

// newWeightStore returns a weight store that starts at most rate model fetches per second.
func newWeightStore(rate float64, modelLimit, adapterLimit int) *weightStore {
	return &weightStore{interval: time.Duration(float64(time.Second) / rate), modelLimit: modelLimit, adapterLimit: adapterLimit, slowness: 1}
}

// progressStep is the interval at which a fetch in progress updates its speed.
const progressStep = 2 * time.Millisecond

// fetch returns after the simulated time of a fetch.
func (w *weightStore) fetch(request FetchRequest) {
	if !request.Adapter {
		time.Sleep(w.reserveStart())
	}
	remaining := time.Duration(request.Milliseconds) * time.Millisecond
	w.addRunning(request.Adapter, 1)
	defer w.addRunning(request.Adapter, -1)
	updated := time.Now()
	for remaining > 0 {
		time.Sleep(min(progressStep, remaining))
		now := time.Now()
		remaining -= time.Duration(float64(now.Sub(updated)) * w.speed(request.Adapter))
		updated = now
	}
}

// reserveStart reserves the next start of a model fetch and returns the time until then.
func (w *weightStore) reserveStart() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fetches++
	now := time.Now()
	if w.nextStart.Before(now) {
		w.nextStart = now
	}
	start := w.nextStart
	w.nextStart = w.nextStart.Add(w.interval)
	return start.Sub(now)
}

// addRunning changes the number of fetches of models or adapters in progress.
func (w *weightStore) addRunning(adapter bool, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if adapter {
		w.runningAdapters += change
		return
	}
	w.runningModels += change
}

// speed returns the current fraction of full speed of each fetch of models or adapters.
func (w *weightStore) speed(adapter bool) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, limit := w.runningModels, w.modelLimit
	if adapter {
		running, limit = w.runningAdapters, w.adapterLimit
	}
	if running <= limit {
		return 1 / w.slowness
	}
	return float64(limit) / float64(running) / w.slowness
}
