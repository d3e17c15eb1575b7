package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["unframed"] = playUnframed }

const (
	streamEvents = 45
	eventPause   = 200 * time.Millisecond
)

// serveWorker is a model worker in a process of its own. One in so many of its streams has no length and ends with its channel.
func serveWorker(arguments []string) {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	id := flags.String("id", "", "id of the worker")
	born := flags.Int64("born", 0, "Unix millisecond of the start")
	unframed := flags.Int64("unframed", 0, "one in so many streams has no length; 0 for none")
	_ = flags.Parse(arguments)
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	var mu sync.Mutex
	say := func(format string, values ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", values...)
	}
	var runs atomic.Int64
	handler := http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get(headExpect); expected != "" && expected != *id {
			out.Header().Set(headInstance, *id)
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		switch r.URL.Path {
		case "/acaciaproxy/report":
			text, _ := json.Marshal(map[string]any{"stage": "mixed", "models": holding, "busy": false, "seq": 0, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 90000, "handleCount": 0, "born": *born})
			out.Header().Set("Content-Type", "application/json")
			_, _ = out.Write(text)
			return
		case "/acaciaproxy/order":
			say("refuses an order") // The case needs no load, and none is ordered.
			out.WriteHeader(http.StatusConflict)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		attempt := r.Header.Get(headAttempt)
		first := 1
		if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = after + 1
		}
		number := runs.Add(1)
		if *unframed == 0 || number%*unframed != 0 {
			say("runs %s from event %d", attempt, first)
			streamChunked(out, r, *id, attempt, first)
			return
		}
		say("runs %s from event %d, without a length", attempt, first)
		streamUnframed(out, *id, attempt, first)
	})
	say("listens")
	_ = http.Serve(listener, handler)
}

var holding = []held{{Name: "daka510000", Version: 1, Adapters: []string{}}}

func writeEvent(to io.Writer, attempt string, event int) error {
	time.Sleep(eventPause)
	_, err := fmt.Fprintf(to, "id: %d\ndata: piece %d of %s\n\n", event, event, attempt)
	return err
}

func streamChunked(out http.ResponseWriter, r *http.Request, id, attempt string, first int) {
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set(headAttempt, attempt)
	out.Header().Set(headSeal, sealOf(id, attempt))
	out.WriteHeader(http.StatusOK)
	for event := first; event <= streamEvents && r.Context().Err() == nil; event++ {
		if writeEvent(out, attempt, event) != nil {
			return
		}
		out.(http.Flusher).Flush()
	}
}

func streamUnframed(out http.ResponseWriter, id, attempt string, first int) {
	connection, buffered, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", headAttempt, attempt, headSeal, sealOf(id, attempt))
	_ = buffered.Flush()
	for event := first; event <= streamEvents; event++ {
		if writeEvent(connection, attempt, event) != nil {
			return
		}
	}
}

// ownWorker is a worker in a process of its own.
type ownWorker struct {
	rig               *rig
	id, address, zone string
	command           *exec.Cmd
	done              chan struct{}
	stopBeats         chan struct{}
	once              sync.Once
}

func (r *rig) startOwnWorker(id, address, zone string, unframed int) *ownWorker {
	w := &ownWorker{rig: r, id: id, address: address, zone: zone, done: make(chan struct{}), stopBeats: make(chan struct{})}
	born := time.Now().UnixMilli()
	w.command = exec.Command(os.Args[0], "worker", "-listen", address, "-id", id, "-born", fmt.Sprint(born), "-unframed", fmt.Sprint(unframed))
	w.command.SysProcAttr = dieWithUs
	output, err := w.command.StdoutPipe()
	if err == nil {
		err = w.command.Start()
	}
	if err != nil {
		fail("start worker: %v", err)
	}
	listens := make(chan struct{})
	go func() {
		defer close(w.done)
		var first sync.Once
		for lines := bufio.NewScanner(output); lines.Scan(); {
			r.say("worker %s %s", id, lines.Text())
			first.Do(func() { close(listens) })
		}
		_ = w.command.Wait()
	}()
	select {
	case <-listens:
	case <-time.After(5 * time.Second):
		fail("worker %s does not listen", id)
	}
	go func() {
		for seq := 1; ; seq++ {
			r.store.put("servers", id, beat{Service: "engines", Address: address, Zone: zone, Version: "v1", Slots: 64, State: "ready", Stage: "mixed", Models: holding, Seq: seq, Born: born})
			select {
			case <-w.stopBeats:
				return
			case <-time.After(beatPause):
			}
		}
	}()
	r.ended = append(r.ended, w.kill)
	return w
}

// kill kills the process; its entry in the store lapses after three heartbeats.
func (w *ownWorker) kill() {
	w.once.Do(func() {
		close(w.stopBeats)
		_ = w.command.Process.Kill()
		<-w.done
		time.AfterFunc(3*beatPause, func() { w.rig.store.drop("servers", w.id) })
	})
}

// playUnframed: a worker crashes in the middle of a stream without a length and is back, while the node that relays the stream stands still.
func playUnframed(r *rig) bool {
	const workers, streams = 6, 180
	engine := map[string]any{
		"name": "engines", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kvCapacity": 220555, "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 12.0,
			"models": []map[string]any{{"name": "daka510000", "weightsMb": 65100.0, "loadTimeS": 6.0, "adapters": 0, "adapterSizeMb": 12.0, "warmS": 0.76, "diskS": 0.99}},
		},
	}
	r.configure(7, []route{{Name: "r1", Host: "ficu95.example", PathPrefix: "/pufi791/", Kind: "streaming", TimeoutMs: 13000, TargetLatencyMs: 3000, Service: "engines", MaxAttempts: 2, Sticky: true, Resumable: true, GapAimMs: 300}}, engine)
	endpoint := r.store.endpoint("store", r.ip(1), nil)
	zones := []string{"z-a", "z-b", "z-c"}
	var first *ownWorker
	for i := range workers {
		unframed := 0
		if i < workers/2 {
			unframed = 20
		}
		address := fmt.Sprintf("%s:%d", r.ip(30+i), freePort(r.ip(30+i)))
		w := r.startOwnWorker(fmt.Sprintf("i-engine-%d", i), address, zones[i%len(zones)], unframed)
		if i == 0 {
			first = w
		}
	}
	var a *node
	for _, zone := range zones {
		n := r.startNode("front-"+zone+"-1", zone, endpoint)
		if a == nil {
			a = n
		}
	}
	r.awaitReady()
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	broken, whole := 0, 0
	var all sync.WaitGroup
	for range streams {
		extra := fmt.Sprintf("X-Acaciaproxy-Model: daka510000\r\nX-Acaciaproxy-Token-Count: 146,80\r\nX-Acaciaproxy-Prompt-Prefix: 5c1e07a2:100,%s:46\r\n", r.nextID()[:8])
		all.Go(func() {
			id, got := r.askNode(a, "POST", "/pufi791/2f", 13*time.Second, extra)
			events := bytes.Count(got.Body, []byte("\n\n"))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.Err == nil && got.Status == 200 && events < streamEvents:
				r.say("%s ended as complete after %d of %d events, with the seal %q", id, events, streamEvents, got.Header.Get(headSeal))
				broken++
			case got.Err == nil && got.Status == 200:
				whole++
			}
		})
		time.Sleep(4 * time.Millisecond)
	}
	if r.trouble {
		time.Sleep(1500 * time.Millisecond)
		a.signal(syscall.SIGSTOP)
		time.Sleep(300 * time.Millisecond)
		r.say("worker %s crashes", first.id)
		first.kill()
		time.Sleep(2 * time.Second)
		r.say("the worker is back")
		r.startOwnWorker("i-engine-9", first.address, first.zone, 0)
		time.Sleep(1500 * time.Millisecond)
		a.signal(syscall.SIGCONT)
	}
	all.Wait()
	r.say("%d of %d streams were whole, %d ended as complete before their last event", whole, streams, broken)
	return broken > 0
}
