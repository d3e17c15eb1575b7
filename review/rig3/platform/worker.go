package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker: it runs requests, executes orders at once and writes its entry.
type worker struct {
	rig               *rig
	id, service, zone string
	// software is the version of its software.
	software           string
	born               int64
	slots              int
	models             []string
	server             *http.Server
	address            string
	stop               chan struct{}
	mu                 sync.Mutex
	seq, beats, active int
	// ended is set once it writes no entry any more, leaving once it says that it leaves.
	ended, leaving bool
	// handle runs a request; it is called after the arrival was recorded.
	handle func(w http.ResponseWriter, r *http.Request)
}

func (r *rig) startWorker(id, service, zone string, slots int, models []string, handle func(w *worker) func(http.ResponseWriter, *http.Request)) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w := &worker{rig: r, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: slots, software: r.software, models: models, address: listener.Addr().String(), stop: make(chan struct{})}
	w.handle = handle(w)
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	return w
}

// held returns the models as reports and entries list them.
func (w *worker) held() []map[string]any {
	held := []map[string]any{}
	for _, name := range w.models {
		held = append(held, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return held
}

func (w *worker) beat() {
	for {
		w.mu.Lock()
		w.beats++
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": w.software, "slots": w.slots, "state": "ready", "coldLeftMs": 0,
			"stage": "mixed", "models": w.held(), "seq": w.beats, "born": w.born,
		}
		ended := w.ended
		w.mu.Unlock()
		if ended {
			return
		}
		w.rig.store.put("servers", w.id, entry)
		select {
		case <-w.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// leave ends the heartbeats and removes the worker's entry, without a word of draining. The worker goes on serving, and says in its answers that it leaves.
func (w *worker) leave() time.Time {
	w.mu.Lock()
	w.ended, w.leaving = true, true
	w.mu.Unlock()
	close(w.stop)
	w.rig.store.remove("servers", w.id)
	return time.Now()
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", w.active, w.slots)
}

func (w *worker) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Acaciaproxy-Expect-Instance"); expected != "" && expected != w.id {
		writer.Header().Set("X-Acaciaproxy-Instance-Id", w.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/acaciaproxy/report":
		w.mu.Lock()
		report := map[string]any{"stage": "mixed", "models": w.held(), "busy": false, "seq": w.seq, "queued": 0, "active": w.active, "kvUsed": 0, "kvTotal": 220555, "handleCount": 0, "born": w.born}
		w.mu.Unlock()
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(report)
		return
	case "/acaciaproxy/order":
		w.order(writer, r)
		return
	case "/health":
		writer.Header().Set("X-Acaciaproxy-Instance-Id", w.id)
		writer.Header().Set("X-Acaciaproxy-Server-Load", w.load())
		return
	}
	w.handle(writer, r)
}

// order carries out an order at once; the workers of these cases have room for all models.
func (w *worker) order(writer http.ResponseWriter, r *http.Request) {
	var order struct {
		Op, Model, Adapter, Holder string
		Expected                   *int
		Fence                      *int64
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.Fence == nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rig.record("%s order %s %s by %s fence %d", w.id, order.Op, strings.TrimSuffix(order.Model+"/"+order.Adapter, "/"), order.Holder, *order.Fence)
	if order.Expected != nil && *order.Expected != w.seq {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	index := -1
	for i, name := range w.models {
		if name == order.Model {
			index = i
		}
	}
	switch {
	case order.Op == "model_load" && index >= 0 || order.Op == "model_unload" && index < 0:
		writer.WriteHeader(http.StatusOK)
		return
	case order.Op == "model_load":
		w.models = append(w.models, order.Model)
	default:
		w.models = append(w.models[:index], w.models[index+1:]...)
	}
	w.seq++
	writer.WriteHeader(http.StatusAccepted)
}

// begin records that the worker begins to run a request and sets the headers of its response; the function that it returns ends the run.
func (w *worker) begin(writer http.ResponseWriter, r *http.Request) (end func()) {
	id := r.Header.Get("X-Acaciaproxy-Attempt-Id")
	w.mu.Lock()
	w.active++
	w.mu.Unlock()
	w.rig.ran(id, w)
	writer.Header().Set("X-Acaciaproxy-Attempt-Id", id)
	writer.Header().Set("X-Acaciaproxy-Server-Seal", w.id+".seal")
	writer.Header().Set("X-Acaciaproxy-Instance-Id", w.id)
	writer.Header().Set("X-Acaciaproxy-Server-Load", w.load())
	w.mu.Lock()
	if w.leaving {
		writer.Header().Set("Server-Leaving", "1")
		writer.Header().Set("Connection", "close")
	}
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}
}

// plain runs requests that take some time and have a short body.
func plain(takes time.Duration) func(w *worker) func(http.ResponseWriter, *http.Request) {
	return func(w *worker) func(http.ResponseWriter, *http.Request) {
		return func(writer http.ResponseWriter, r *http.Request) {
			defer w.begin(writer, r)()
			time.Sleep(takes)
			body := "run by " + w.id + " of " + w.service
			writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = writer.Write([]byte(body))
		}
	}
}

// stream runs requests whose response is a series of events.
func stream(events int, pause time.Duration) func(w *worker) func(http.ResponseWriter, *http.Request) {
	return func(w *worker) func(http.ResponseWriter, *http.Request) {
		return func(writer http.ResponseWriter, r *http.Request) {
			defer w.begin(writer, r)()
			writer.Header().Set("Content-Type", "text/event-stream")
			first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for i := first + 1; i <= events; i++ {
				if _, err := fmt.Fprintf(writer, "id: %d\ndata: piece %d of %d by %s\n\n", i, i, events, w.software); err != nil {
					return
				}
				writer.(http.Flusher).Flush()
				select {
				case <-r.Context().Done():
					w.rig.record("%s run of %s broken off by its caller after %d of %d events", w.id, r.Header.Get("X-Acaciaproxy-Attempt-Id"), i, events)
					return
				case <-time.After(pause):
				}
			}
			w.rig.record("%s run of %s ended whole", w.id, r.Header.Get("X-Acaciaproxy-Attempt-Id"))
		}
	}
}
