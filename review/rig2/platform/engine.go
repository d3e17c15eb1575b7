package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineWorker stands in for a model worker: it runs streams for the models that it holds, and carries out orders to load and unload models.
type engineWorker struct {
	rig               *rig
	id, address, zone string
	// version is that of the software; a stream has some events with pauses between them.
	version       string
	events        int
	pause         time.Duration
	listener      net.Listener
	server        *http.Server
	stopped       chan struct{}
	once          sync.Once
	mu            sync.Mutex
	born          int64
	orders, beats int
	busy          bool
	models        map[string]bool
	// reading counts the requests whose prompts are read.
	reading int
}

// reads returns the number of requests whose prompts are read.
func (w *engineWorker) reads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reading
}

// read is called with 1 when the worker begins to read a prompt, and with -1 when it has.
func (w *engineWorker) read(change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reading += change
}

const (
	prefillTime    = 150 * time.Millisecond
	engineEvents   = 17
	enginePause    = 30 * time.Millisecond
	engineLoadTime = 6 * time.Second
)

func (r *rig) startEngine(id, address, zone string, models ...string) *engineWorker {
	w := r.newEngine(id, address, zone, models...)
	w.start()
	return w
}

// newEngine returns a worker that does not serve before start.
func (r *rig) newEngine(id, address, zone string, models ...string) *engineWorker {
	w := &engineWorker{rig: r, id: id, zone: zone, version: "v1", events: engineEvents, pause: enginePause, born: time.Now().UnixMilli(), models: map[string]bool{}, stopped: make(chan struct{})}
	for _, model := range models {
		w.models[model] = true
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fail("listen: %v", err)
	}
	w.listener, w.address = listener, listener.Addr().String()
	w.server = &http.Server{Handler: w}
	return w
}

func (w *engineWorker) start() {
	go func() { _ = w.server.Serve(w.listener) }()
	go w.beatOn()
	w.rig.ended = append(w.rig.ended, w.crash)
}

// crash ends the worker at once: its channels break, its address refuses, its entry lapses after three heartbeats.
func (w *engineWorker) crash() {
	w.once.Do(func() {
		close(w.stopped)
		_ = w.server.Close()
		time.AfterFunc(3*beatPause, func() { w.rig.store.drop("servers", w.id) })
	})
}

func (w *engineWorker) held() []held {
	all := []held{}
	for model := range w.models {
		all = append(all, held{Name: model, Version: 1, Adapters: []string{}})
	}
	return all
}

func (w *engineWorker) beatOn() {
	for {
		w.mu.Lock()
		w.beats++
		w.rig.store.put("servers", w.id, beat{Service: "engines", Address: w.address, Zone: w.zone, Version: w.version, Slots: 64, State: "ready", Stage: "mixed", Models: w.held(), Seq: w.beats, Born: w.born})
		w.mu.Unlock()
		select {
		case <-w.stopped:
			return
		case <-time.After(beatPause):
		}
	}
}

func (w *engineWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(headExpect); expected != "" && expected != w.id {
		out.Header().Set(headInstance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/acaciaproxy/report":
		w.mu.Lock()
		text, _ := json.Marshal(map[string]any{"stage": "mixed", "models": w.held(), "busy": w.busy, "seq": w.orders, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 220555, "handleCount": 0, "born": w.born})
		w.mu.Unlock()
		out.Header().Set("Content-Type", "application/json")
		_, _ = out.Write(text)
	case "/acaciaproxy/order":
		out.WriteHeader(w.order(r))
	default:
		w.stream(out, r)
	}
}

// order returns the status of the response to an order.
func (w *engineWorker) order(r *http.Request) int {
	var order struct {
		Op, Model, Holder string
		Expected          *int
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	isLoad := order.Op == "model_load"
	switch {
	case w.models[order.Model] == isLoad:
		return http.StatusOK
	case w.busy || order.Expected != nil && *order.Expected != w.orders:
		return http.StatusConflict
	}
	w.orders++
	w.busy = true
	w.rig.say("worker %s takes the order %s %s of %s", w.id, order.Op, order.Model, order.Holder)
	takes := engineLoadTime
	if !isLoad {
		takes = 50 * time.Millisecond
	}
	time.AfterFunc(takes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy = false
		if w.models[order.Model] = true; !isLoad {
			delete(w.models, order.Model)
		}
	})
	return http.StatusAccepted
}

func (w *engineWorker) stream(out http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	attempt := r.Header.Get(headAttempt)
	model, _, _ := strings.Cut(r.Header.Get("X-Acaciaproxy-Model"), "/")
	out.Header().Set(headAttempt, attempt)
	w.mu.Lock()
	holds := w.models[model]
	w.mu.Unlock()
	if !holds {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	first := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	w.rig.say("worker %s (%s) runs %s from event %d", w.id, w.version, attempt, first)
	out.Header().Set(headSeal, sealOf(w.id, attempt))
	out.Header().Set("Content-Type", "text/event-stream")
	out.WriteHeader(http.StatusOK)
	out.(http.Flusher).Flush()
	w.read(1)
	time.Sleep(prefillTime)
	w.read(-1)
	for event := first; event <= w.events && r.Context().Err() == nil; event++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", event, event, attempt); err != nil {
			return
		}
		out.(http.Flusher).Flush()
		time.Sleep(w.pause)
	}
}
