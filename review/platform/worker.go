package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// model is one model of the configuration.
type model struct {
	name                string
	weightsMB           float64
	loadS, diskS, warmS float64
	adapters            int
}

// Adapters of all models.
const (
	adapterMB    = 66
	adapterSlots = 8
	adapterTime  = 19 * time.Millisecond
)

// run is one run of a request at a worker.
type run struct {
	attempt, worker, software string
	began, ended              time.Time
	after                     int    // Last-Event-Id
	target                    string // as in the request line
	whole                     bool
}

// order is one order as it arrived at a worker.
type order struct {
	at                                time.Time
	worker, holder, op, model, remote string
	fence, status                     int
}

// seen is what all workers have seen.
type seen struct {
	mu     sync.Mutex
	runs   []*run
	orders []order
}

func (s *seen) runsOf(attempt string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []run
	for _, r := range s.runs {
		if r.attempt == attempt {
			found = append(found, *r)
		}
	}
	return found
}

func (s *seen) allOrders() []order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]order(nil), s.orders...)
}

// worker is a stand-in of one process of a worker.
type worker struct {
	id, service, zone, software, address string
	store                                *store
	seen                                 *seen
	models                               []model
	capacityMB                           float64
	slots                                int
	events                               int
	gap, work                            time.Duration
	born                                 int64
	server                               *http.Server
	stopped                              chan struct{}
	mu                                   sync.Mutex
	loaded, onDisk, inMemory             map[string]bool
	adapters                             map[string]map[string]bool // by model; loaded or on their way
	crash                                func(why string)           // called when more is ordered than the worker holds; nil leaves it running
	busyUntil, adapterReady              time.Time
	loading                              string
	seq, beats, active                   int
	draining, listed                     bool
}

const heartbeat = 1200 * time.Millisecond

// start serves and writes heartbeats.
func (w *worker) start() {
	listener := listen()
	w.address, w.born, w.stopped, w.listed = listener.Addr().String(), time.Now().UnixMilli(), make(chan struct{}), true
	for _, set := range []*map[string]bool{&w.loaded, &w.onDisk, &w.inMemory} {
		if *set == nil {
			*set = map[string]bool{}
		}
	}
	w.adapters = map[string]map[string]bool{}
	w.server = &http.Server{Handler: w, IdleTimeout: 30 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	w.beat()
	go func() {
		for {
			select {
			case <-w.stopped:
				return
			case <-time.After(heartbeat):
				w.beat()
			}
		}
	}()
	notes.add("worker %s of %s (software %s) started at %s", w.id, w.service, w.software, w.address)
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.listed {
		return
	}
	w.complete()
	w.beats++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	text, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.software, "slots": w.slots, "state": state, "coldLeftMs": 0,
		"seq": w.beats, "born": w.born, "stage": "mixed", "models": w.held(), "atHand": map[string]any{"inMemory": keys(w.inMemory), "onDisk": keys(w.onDisk)},
	})
	w.store.put("servers", w.id, string(text))
}

// drain makes the worker report that it leaves; it goes on serving.
func (w *worker) drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	notes.add("worker %s reports draining", w.id)
	w.beat()
}

// unlist removes the worker's entry.
func (w *worker) unlist() {
	w.mu.Lock()
	w.listed = false
	w.mu.Unlock()
	w.store.remove("servers", w.id)
	notes.add("entry of worker %s removed", w.id)
}

// stop ends the process.
func (w *worker) stop() {
	close(w.stopped)
	_ = w.server.Close()
	notes.add("worker %s has ended", w.id)
}

// busy returns how many requests run.
func (w *worker) busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}

func keys(set map[string]bool) []string {
	names := []string{}
	for name := range set {
		names = append(names, name)
	}
	return names
}

// held returns the loaded models as entries and reports name them. The caller holds mu.
func (w *worker) held() []any {
	held := []any{}
	for name := range w.loaded {
		held = append(held, map[string]any{"name": name, "version": 1, "adapters": keys(w.adapters[name])})
	}
	return held
}

// complete ends the order in progress if its time is over. The caller holds mu.
func (w *worker) complete() {
	if w.busyUntil.IsZero() || time.Now().Before(w.busyUntil) {
		return
	}
	if w.loading != "" {
		w.loaded[w.loading], w.onDisk[w.loading], w.inMemory[w.loading] = true, true, true
	}
	w.loading, w.busyUntil = "", time.Time{}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("X-Acaciaproxy-Instance-Id", w.id)
	if expected := r.Header.Get("X-Acaciaproxy-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/acaciaproxy/report":
		w.report(out)
	case "/acaciaproxy/order":
		w.order(out, r)
	default:
		w.request(out, r)
	}
}

func (w *worker) report(out http.ResponseWriter) {
	w.mu.Lock()
	w.complete()
	text, _ := json.Marshal(map[string]any{
		"stage": "mixed", "models": w.held(), "busy": !w.busyUntil.IsZero(), "seq": w.seq, "born": w.born, "queued": 0, "active": w.active, "kvUsed": 0, "kvTotal": 200000, "handleCount": 0,
		"atHand": map[string]any{"inMemory": keys(w.inMemory), "onDisk": keys(w.onDisk)},
	})
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write(text)
}

func (w *worker) order(out http.ResponseWriter, r *http.Request) {
	var body struct {
		Op, Model, Adapter, Holder string
		Fence                      int
		Expected                   *int
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Holder == "" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	status, over := w.carryOut(body.Op, body.Model, body.Adapter, body.Expected)
	w.mu.Unlock()
	w.seen.mu.Lock()
	w.seen.orders = append(w.seen.orders, order{at: time.Now(), worker: w.id, holder: body.Holder, op: body.Op, model: body.Model, remote: r.RemoteAddr, fence: body.Fence, status: status})
	w.seen.mu.Unlock()
	notes.add("worker %s: order %s %s %s, holder %s, fence %d: %d", w.id, body.Op, body.Model, body.Adapter, body.Holder, body.Fence, status)
	if over != "" && w.crash != nil {
		w.crash(over)
		panic(http.ErrAbortHandler)
	}
	out.WriteHeader(status)
}

// carryOut starts an order and returns the status of the answer, and how far it exceeds what the worker holds. The caller holds mu.
func (w *worker) carryOut(op, name, adapter string, expected *int) (status int, over string) {
	w.complete()
	load := op == "model_load"
	var wanted model
	for _, m := range w.models {
		if m.name == name {
			wanted = m
		}
	}
	switch {
	case wanted.name == "" || op != "model_load" && op != "model_unload":
		return http.StatusBadRequest, ""
	case !w.busyUntil.IsZero():
		return http.StatusConflict, ""
	case adapter == "" && w.loaded[name] == load, adapter != "" && w.adapters[name][adapter] == load:
		return http.StatusOK, ""
	case expected != nil && *expected != w.seq, adapter != "" && !w.loaded[name]:
		return http.StatusConflict, ""
	}
	w.seq++
	if adapter != "" {
		if w.adapters[name] == nil {
			w.adapters[name] = map[string]bool{}
		}
		if !load {
			delete(w.adapters[name], adapter)
			return http.StatusOK, ""
		}
		w.adapters[name][adapter] = true
		w.adapterReady = time.Now().Add(adapterTime)
		return http.StatusAccepted, w.excess("")
	}
	if !load {
		delete(w.loaded, name)
		delete(w.adapters, name)
		w.busyUntil = time.Now().Add(50 * time.Millisecond)
		return http.StatusAccepted, ""
	}
	seconds := wanted.loadS
	if w.onDisk[name] {
		seconds = wanted.diskS
	}
	if w.inMemory[name] {
		seconds = wanted.warmS
	}
	w.loading, w.busyUntil = name, time.Now().Add(time.Duration(seconds*float64(time.Second)))
	return http.StatusAccepted, w.excess(name)
}

// excess returns in what the loaded models and adapters, and a model that is being loaded, exceed what the worker holds. The caller holds mu.
func (w *worker) excess(loading string) string {
	taken, slots := 0.0, 0
	for _, m := range w.models {
		if w.loaded[m.name] || m.name == loading {
			taken += m.weightsMB + float64(len(w.adapters[m.name]))*adapterMB
			slots += len(w.adapters[m.name])
		}
	}
	if taken > w.capacityMB {
		return fmt.Sprintf("%.0f MB of weights and adapters, weightsMb is %.0f", taken, w.capacityMB)
	}
	if slots > adapterSlots {
		return fmt.Sprintf("%d adapters, adapterSlots is %d", slots, adapterSlots)
	}
	return ""
}

func (w *worker) request(out http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get("X-Acaciaproxy-Attempt-Id")
	out.Header().Set("X-Acaciaproxy-Attempt-Id", attempt)
	name, adapter, _ := strings.Cut(r.Header.Get("X-Acaciaproxy-Model"), "/")
	budget, _ := strconv.Atoi(r.Header.Get("X-Acaciaproxy-Deadline-Ms"))
	w.mu.Lock()
	w.complete()
	out.Header().Set("X-Acaciaproxy-Server-Load", fmt.Sprintf("%d,0,%d", w.active, w.slots))
	switch {
	case len(w.models) > 0 && (!w.loaded[name] || adapter != "" && (!w.adapters[name][adapter] || time.Now().Before(w.adapterReady))):
		w.mu.Unlock()
		notes.add("worker %s: %s refused, 421", w.id, attempt)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case w.active >= w.slots:
		w.mu.Unlock()
		notes.add("worker %s: %s refused, full", w.id, attempt)
		out.Header().Set("X-Acaciaproxy-Not-Run", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.active++
	w.mu.Unlock()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	this := &run{attempt: attempt, worker: w.id, software: w.software, began: time.Now(), after: after, target: r.RequestURI}
	w.seen.mu.Lock()
	w.seen.runs = append(w.seen.runs, this)
	w.seen.mu.Unlock()
	notes.add("worker %s: runs %s, %s %s, after event %d", w.id, attempt, r.Method, r.RequestURI, after)
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
		w.seen.mu.Lock()
		this.ended = time.Now()
		w.seen.mu.Unlock()
		notes.add("worker %s: run of %s has ended, whole: %t", w.id, attempt, this.whole)
	}()
	deadline := time.Now().Add(time.Duration(budget) * time.Millisecond)
	out.Header().Set("X-Acaciaproxy-Server-Seal", "seal."+w.id+"."+attempt)
	if len(w.models) == 0 {
		w.wait(r, w.work)
		this.whole = true
		_, _ = fmt.Fprintf(out, "answer to %s by %s\n", attempt, w.id)
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	for event := after + 1; event <= w.events; event++ {
		if budget > 0 && time.Now().After(deadline) {
			panic(http.ErrAbortHandler)
		}
		w.wait(r, w.gap)
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d of %d, software %s\n\n", event, event, w.events, w.software); err != nil {
			return
		}
		_ = http.NewResponseController(out).Flush()
	}
	this.whole = true
}

// wait waits, and ends the request if the process ends or the channel is closed.
func (w *worker) wait(r *http.Request, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-w.stopped:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}
