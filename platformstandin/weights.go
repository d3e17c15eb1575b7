package platformstandin

import (
	"sync"
	"time"
)

// Fetch asks the weight store for one checkpoint.
type Fetch struct {
	Checkpoint string `json:"checkpoint"`
	// Adapter is set for adapters, which have a limit of their own.
	Adapter bool `json:"adapter"`
	// Milliseconds is how long the fetch takes at full speed.
	Milliseconds int64 `json:"milliseconds"`
}

// weightStore delays fetches by its rate and by the number in progress.
type weightStore struct {
	// mu guards all fields.
	mu sync.Mutex
	// interval is the least time between the starts of two model fetches.
	interval time.Duration
	// next is the earliest start of the next model fetch.
	next time.Time
	// parallel and transit are the numbers of models and adapters that run at full speed.
	parallel, transit int
	models, adapters  int
	// slowness multiplies every fetch time, at least 1.
	slowness float64
	fetches  int64
}

func newWeightStore(rate float64, parallel, transit int) *weightStore {
	return &weightStore{interval: time.Duration(float64(time.Second) / rate), parallel: parallel, transit: transit, slowness: 1}
}

// progressStep is how often a running fetch re-reads the share it gets.
const progressStep = 2 * time.Millisecond

// fetch returns when the checkpoint would have been read.
func (w *weightStore) fetch(request Fetch) {
	if !request.Adapter {
		time.Sleep(w.waitForStart())
	}
	remaining := time.Duration(request.Milliseconds) * time.Millisecond
	w.join(request.Adapter, 1)
	defer w.join(request.Adapter, -1)
	last := time.Now()
	for remaining > 0 {
		time.Sleep(min(progressStep, remaining))
		now := time.Now()
		remaining -= time.Duration(float64(now.Sub(last)) * w.speed(request.Adapter))
		last = now
	}
}

func (w *weightStore) waitForStart() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fetches++
	now := time.Now()
	if w.next.Before(now) {
		w.next = now
	}
	start := w.next
	w.next = w.next.Add(w.interval)
	return start.Sub(now)
}

func (w *weightStore) join(adapter bool, by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if adapter {
		w.adapters += by
		return
	}
	w.models += by
}

// speed returns the share of full speed that each running fetch gets.
func (w *weightStore) speed(adapter bool) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, limit := w.models, w.parallel
	if adapter {
		running, limit = w.adapters, w.transit
	}
	if running <= limit {
		return 1 / w.slowness
	}
	return float64(limit) / float64(running) / w.slowness
}
