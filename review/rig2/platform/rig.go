// Command rig2 plays the scripts of the second review: it starts nodes as the deploy file does, and stands in for the platform's store, workers and
// clients.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is what one case uses.
type rig struct {
	store   *store
	program string
	// root is the repository, folder a temporary one.
	root, folder string
	subnet       int
	began        time.Time
	trouble      bool
	mu           sync.Mutex
	record       *os.File
	nodes        []*node
	ended        []func()
	endOnce      sync.Once
	ids          int
}

// say writes a line to the record.
func (r *rig) say(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *rig) ip(n int) string { return fmt.Sprintf("127.77.%d.%d", r.subnet, n) }

// node is one process of the system.
type node struct {
	name, zone, ip, callers, ready, nodes string
	platform                              string
	rig                                   *rig
	command                               *exec.Cmd
	exited                                chan struct{}
	log                                   *os.File
}

func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("listen at %s: %v", ip, err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// startNode starts a node with the settings that deploy/settings.json renders for a small deployment.
func (r *rig) startNode(name, zone, platform string) *node {
	n := &node{name: name, zone: zone, ip: r.ip(10 + len(r.nodes)), platform: platform, rig: r}
	n.callers = fmt.Sprintf("%s:%d", n.ip, freePort(n.ip))
	n.ready = fmt.Sprintf("%s:%d", n.ip, freePort(n.ip))
	n.nodes = fmt.Sprintf("%s:%d", n.ip, freePort(n.ip))
	log, err := os.Create(filepath.Join(r.folder, name+".log"))
	if err != nil {
		fail("log: %v", err)
	}
	n.log = log
	r.nodes = append(r.nodes, n)
	n.start()
	return n
}

func (n *node) start() {
	settings := map[string]any{
		"name": n.name, "zone": n.zone, "form": "fleet", "callers": n.callers, "ready": n.ready, "nodes": n.nodes, "operators": n.ip + ":9464",
		"platform": n.platform, "drain": 8, "cores": 1, "share": 0.4, "memory": 284, "descriptors": 4100, "quiet": 3000, "ratio": 0.2, "slack": 56, "window": 10,
	}
	text, _ := json.MarshalIndent(settings, "", "  ")
	path := filepath.Join(n.rig.folder, n.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		fail("settings: %v", err)
	}
	n.command = exec.Command(n.rig.program, "serve", "-settings", path)
	n.command.Stdout, n.command.Stderr = n.log, n.log
	n.command.Dir = n.rig.root
	n.command.SysProcAttr = dieWithUs
	n.command.Env = []string{"ACACIAPROXY_BOOT=" + path, "PATH=" + os.Getenv("PATH")}
	if err := n.command.Start(); err != nil {
		fail("start %s: %v", n.name, err)
	}
	n.exited = make(chan struct{})
	go func() {
		_ = n.command.Wait()
		close(n.exited)
	}()
	n.rig.say("%s started", n.name)
}

func (n *node) signal(signal syscall.Signal) {
	n.rig.say("%s gets %v", n.name, signal)
	_ = n.command.Process.Signal(signal)
}

// isReady asks the readiness path.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/acaciaproxy/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

func (r *rig) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range r.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				fail("%s does not get ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.say("all nodes ready")
}

// end ends all processes, once.
func (r *rig) end() {
	r.endOnce.Do(r.endAll)
}

func (r *rig) endAll() {
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(r.folder) }()
	}
	for _, f := range r.ended {
		f()
	}
	for _, n := range r.nodes {
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		<-n.exited
	}
}

// nextID returns the id of a client attempt.
func (r *rig) nextID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), r.ids)
}

// beat is a worker's entry in the store.
type beat struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int    `json:"coldLeftMs"`
	Stage      string `json:"stage,omitempty"`
	Models     []held `json:"models,omitempty"`
	Seq        int    `json:"seq"`
	Born       int64  `json:"born"`
}

type held struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// run is one request that a worker has run.
type run struct {
	ID, Service, Worker string
	At                  time.Time
}

// worker stands in for a worker in this process.
type worker struct {
	rig                      *rig
	id, service, zone, shown string
	address                  string
	models                   []held
	mu                       sync.Mutex
	state                    string
	seq                      int
	born                     int64
	orders                   int
	runs                     []run
	stopped                  chan struct{}
	// serve writes the response to a request that runs.
	serve func(w http.ResponseWriter, r *http.Request)
}

func (r *rig) newWorker(id, service, zone, ip string, models []held, serve func(http.ResponseWriter, *http.Request)) *worker {
	w := &worker{rig: r, id: id, service: service, zone: zone, models: models, state: "ready", born: time.Now().UnixMilli(), stopped: make(chan struct{}), serve: serve}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("listen: %v", err)
	}
	w.address = listener.Addr().String()
	w.shown = w.address
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(listener) }()
	go w.beatOn()
	r.ended = append(r.ended, func() { close(w.stopped); _ = server.Close() })
	return w
}

func (w *worker) beatOn() {
	for {
		w.mu.Lock()
		w.seq++
		b := beat{Service: w.service, Address: w.shown, Zone: w.zone, Version: "v1", Slots: 64, State: w.state, Models: w.models, Seq: w.seq, Born: w.born}
		if len(w.models) > 0 {
			b.Stage = "mixed"
		}
		w.rig.store.put("servers", w.id, b)
		w.mu.Unlock()
		select {
		case <-w.stopped:
			return
		case <-time.After(beatPause):
		}
	}
}

// beatPause is the time between two heartbeats of a worker.
const beatPause = 1200 * time.Millisecond

const (
	headAttempt  = "X-Acaciaproxy-Attempt-Id"
	headSeal     = "X-Acaciaproxy-Server-Seal"
	headExpect   = "X-Acaciaproxy-Expect-Instance"
	headInstance = "X-Acaciaproxy-Instance-Id"
	headDeadline = "X-Acaciaproxy-Deadline-Ms"
)

func sealOf(worker, id string) string { return "seal." + worker + "." + id }

// ServeHTTP serves reports, orders and requests.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(headExpect); expected != "" && expected != w.id {
		out.Header().Set(headInstance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/acaciaproxy/report":
		w.mu.Lock()
		text, _ := json.Marshal(map[string]any{"stage": "mixed", "models": w.models, "busy": false, "seq": w.orders, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 90000, "handleCount": 0, "born": w.born})
		w.mu.Unlock()
		out.Header().Set("Content-Type", "application/json")
		_, _ = out.Write(text)
		return
	case "/acaciaproxy/order":
		w.rig.say("worker %s refuses an order", w.id)
		out.WriteHeader(http.StatusConflict) // No case needs a load.
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(headAttempt)
	w.mu.Lock()
	w.runs = append(w.runs, run{ID: id, Service: w.service, Worker: w.id, At: time.Now()})
	w.mu.Unlock()
	w.rig.say("worker %s of %s runs %s", w.id, w.service, id)
	out.Header().Set(headAttempt, id)
	out.Header().Set(headSeal, sealOf(w.id, id))
	w.serve(out, r)
}

// took returns the runs of a worker.
func (w *worker) took() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// plain answers after some time with 800 bytes.
func plain(after time.Duration) func(http.ResponseWriter, *http.Request) {
	return func(out http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(after):
		case <-r.Context().Done():
			return
		}
		_, _ = out.Write(bytes.Repeat([]byte("x"), 800))
	}
}

// route is a route of the configuration.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Sticky          bool   `json:"sticky"`
	Resumable       bool   `json:"resumable"`
	GapAimMs        int    `json:"gapAimMs,omitempty"`
}

// configure writes a version of the configuration.
func (r *rig) configure(version int, routes []route, services ...map[string]any) {
	r.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	r.say("configuration %d acknowledged", version)
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}
}

// answer is what a client got.
type answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is set if the channel ended without a complete answer.
	Err error
	// Took is the time from the last byte that was sent.
	Took time.Duration
}

func (a answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no complete answer after %d ms (status %d, %d bytes): %v", a.Took.Milliseconds(), a.Status, len(a.Body), a.Err)
	}
	return fmt.Sprintf("%d, %d bytes, after %d ms", a.Status, len(a.Body), a.Took.Milliseconds())
}

// channel is a client's channel to a node.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func (r *rig) open(n *node) (*channel, error) {
	connection, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: connection, reader: bufio.NewReader(connection)}, nil
}

// ask sends a request over a channel and reads the answer.
func (c *channel) ask(method, path, id string, budget time.Duration, extra string) answer {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: %d\r\n%s", method, path, headAttempt, id, headDeadline, budget.Milliseconds(), extra)
	if method == http.MethodPost {
		text.WriteString("Content-Length: 2\r\n\r\n{}")
	} else {
		text.WriteString("\r\n")
	}
	_ = c.SetDeadline(time.Now().Add(budget + 500*time.Millisecond))
	if _, err := io.WriteString(c, text.String()); err != nil {
		return answer{Err: err}
	}
	sentAt := time.Now()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{Err: err, Took: time.Since(sentAt)}
	}
	body, err := io.ReadAll(response.Body)
	return answer{Status: response.StatusCode, Header: response.Header, Body: body, Err: err, Took: time.Since(sentAt)}
}

// askNode sends a request over a new channel.
func (r *rig) askNode(n *node, method, path string, budget time.Duration, extra string) (string, answer) {
	id := r.nextID()
	c, err := r.open(n)
	if err != nil {
		return id, answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	got := c.ask(method, path, id, budget, extra)
	r.say("client: %s %s %s at %s: %s", method, path, id, n.name, got)
	return id, got
}

// leaderOf returns the node that the lease of a zone in the store names.
func (r *rig) leaderOf(zone string) string {
	value, found := r.store.get("zones", zone)
	if !found {
		return ""
	}
	var lease struct {
		Holder struct{ Node string }
	}
	_ = json.Unmarshal(value, &lease)
	return lease.Holder.Node
}

// dieWithUs has the system kill a child when the thread that started it ends, which is that of main.
var dieWithUs = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

// init keeps main, which starts all children, on the first thread of the process.
func init() { runtime.LockOSThread() }

// cases are the scripts by the number of their folder; each returns whether the rule was broken.
var cases = map[string]func(r *rig) bool{}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "worker" {
		serveWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(playCase(play, os.Args[2], os.Args[3]))
}

func playCase(play func(*rig) bool, root, recordPath string) (code int) {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println(folder)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	r := &rig{store: newStore(), program: filepath.Join(root, "target", "acaciaproxy"), root: root, folder: folder, subnet: 1 + rand.IntN(250), began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: record}
	r.say("trouble %s", strconv.FormatBool(r.trouble))
	defer func() {
		cause := recover()
		r.end()
		if cause == nil {
			return
		}
		r.say("the case could not run: %v", cause)
		fmt.Fprintln(os.Stderr, "the case could not run:", cause)
		code = 2
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.say("the case could not run: it was ended")
		r.end()
		os.Exit(2)
	}()
	time.AfterFunc(115*time.Second, func() {
		r.say("the case could not run: it takes too long")
		r.end()
		os.Exit(2)
	})
	if play(r) {
		r.say("RULE BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	r.say("rule held")
	fmt.Println("rule held")
	return 0
}
