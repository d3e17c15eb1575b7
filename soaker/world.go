package soaker

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/disturber"
	"github.com/acaciaproxy/acaciaproxy/launcher"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Sizes of the world.
const (
	modelWorkers = 4
	plainWorkers = 2
	places       = 2
	modelCount   = 9
	// beatPause is the time between two heartbeats of a worker.
	beatPause = 400 * time.Millisecond
	// startTime bounds the wait for the first readiness of all nodes.
	startTime = 15 * time.Second
	// contact is how long after a fault its victims may still suffer from it.
	contact = 3 * time.Second
	// grace is the time of a planned stop, as in the settings below.
	grace = 6 * time.Second
)

var zones = []string{"a", "b"}

// site is a worker with the way to it.
type site struct {
	service, zone string
	proxy         *disturber.Proxy
	// mu guards everything below.
	mu     sync.Mutex
	worker *fleetstandin.Worker
	server *http.Server
	// silent is set while the worker writes no heartbeats.
	silent bool
}

// world is everything outside the callers.
type world struct {
	spec   Spec
	folder string
	store  *fleetstandin.Store
	// storeAddress is where the store listens.
	storeAddress string
	record       *fleetstandin.Record
	nodes        []*node
	sites        []*site
	models       []string
	stopped      chan struct{}
	// mu guards everything below.
	mu sync.Mutex
	// faults counts those under way; lastFault is when one last began or ended.
	faults    int
	lastFault time.Time
	// spans holds all faults.
	spans []*faultSpan
	// versions maps versions of the configuration to when they were written.
	versions map[int]time.Time
	newest   int
	born     int
	failures []string
	// notes say when the machine did not run a process.
	notes []string
	// began is when the first act may come.
	began time.Time
}

func newWorld(spec Spec, folder string) (*world, error) {
	w := &world{spec: spec, folder: folder, store: fleetstandin.NewStore(), stopped: make(chan struct{}), versions: map[int]time.Time{}}
	w.record = fleetstandin.NewRecord(w.calmSince)
	for i := range modelCount {
		w.models = append(w.models, fmt.Sprint("m", i))
	}
	address, err := w.listen(w.store)
	if err != nil {
		return nil, err
	}
	w.storeAddress = address
	w.configure()
	for i := range modelWorkers {
		if err := w.addSite("models", zones[i%len(zones)], i); err != nil {
			return nil, err
		}
	}
	for i := range plainWorkers {
		if err := w.addSite("plain", zones[i%len(zones)], i); err != nil {
			return nil, err
		}
	}
	for _, zone := range zones {
		for i := range spec.Nodes {
			if err := w.addNode(zone, i); err != nil {
				return nil, err
			}
		}
	}
	if err := w.awaitReady(); err != nil {
		w.close()
		return nil, err
	}
	w.began = time.Now()
	go w.watchStarvation()
	return w, nil
}

// listen serves a handler at an address of its own.
func (w *world) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("soak listener: %w", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // Ends with the process.
	return listener.Addr().String(), nil
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock() // An operator's versions rise.
	w.newest++
	w.versions[w.newest] = time.Now()
	w.store.PutDocument(fleetstandin.Document(w.newest, max(w.newest-keptVersions, 1), w.models))
}

// keptVersions is how many earlier versions' routes stay.
const keptVersions = 20

func (w *world) addSite(service, zone string, index int) error {
	s := &site{service: service, zone: zone}
	var err error
	if s.proxy, err = disturber.New("127.0.0.1:1"); err != nil {
		return err
	}
	w.sites = append(w.sites, s)
	var held, onDisk []string
	if service == "models" {
		for i := range places {
			held = append(held, w.models[(index*places+i)%modelCount])
		}
		for i := range modelCount / 2 {
			onDisk = append(onDisk, w.models[(index*2+i)%modelCount])
		}
	}
	w.startWorker(s, held, onDisk)
	go w.beat(s)
	return nil
}

// startWorker starts a new process of a worker under a new name.
func (w *world) startWorker(s *site, held, onDisk []string) {
	w.mu.Lock()
	w.born++
	id := fmt.Sprintf("i-%s-%d", s.service, w.born)
	w.mu.Unlock()
	count := 0
	if s.service == "models" {
		count = places
	}
	worker := fleetstandin.NewWorker(id, s.service, s.zone, count, held, onDisk, w.record)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("SOAK", err.Error())
		return
	}
	server := &http.Server{Handler: worker}
	go func() { _ = server.Serve(listener) }() // Ends with the worker.
	s.proxy.SetTarget(listener.Addr().String())
	s.mu.Lock()
	s.worker, s.server, s.silent = worker, server, false
	s.mu.Unlock()
}

// stopWorker ends a worker's process at once.
func (s *site) stopWorker() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	s.worker.Stop()
	_ = s.server.Close() // Its requests break off, as they should.
}

// beat writes heartbeats while the worker and the store are there.
func (w *world) beat(s *site) {
	for {
		s.mu.Lock()
		if !s.silent && !w.store.Away() {
			s.worker.Beat(w.store, s.proxy.Address())
		}
		s.mu.Unlock()
		select {
		case <-w.stopped:
			return
		case <-time.After(beatPause):
		}
	}
}

func (w *world) addNode(zone string, index int) error {
	n := &node{
		name: fmt.Sprintf("%s%d", zone, index+1), zone: zone,
		callers: launcher.FreeAddress(), ready: launcher.FreeAddress(), nodes: launcher.FreeAddress(), ops: launcher.FreeAddress(),
	}
	var err error
	if n.store, err = disturber.New(w.storeAddress); err != nil {
		return err
	}
	n.settings = filepath.Join(w.folder, n.name+".json")
	text := fmt.Sprintf(`{"name":%q,"zone":%q,"form":"fleet","callers":%q,"ready":%q,"nodes":%q,"operators":%q,"platform":%q,"drain":%d,"quiet":3000,"ratio":0.2,"slack":50,"window":10}`,
		n.name, zone, n.callers, n.ready, n.nodes, n.ops, n.store.Address(), int(grace.Seconds()))
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings of node %q: %w", n.name, err)
	}
	w.nodes = append(w.nodes, n)
	return w.startNode(n)
}

func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, n := range w.nodes {
		for deadline := time.Now().Add(startTime); !fleetstandin.Ready(client, n.ready); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %q was not ready within %s; its log is in %s", n.name, startTime, w.folder)
			}
		}
	}
	return nil
}

// begin takes in that a fault begins; the returned function takes in its end.
func (w *world) begin() (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults++
	w.lastFault = time.Now()
	span := &faultSpan{began: w.lastFault}
	w.spans = append(w.spans, span)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faults--
		w.lastFault = time.Now()
		span.ended = w.lastFault
	}
}

// wasCalm reports whether no fault touched a time, with contact before it. It is
// asked at the end, when it is known that the machine did not run a process.
func (w *world) wasCalm(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !lo.SomeBy(w.spans, func(span *faultSpan) bool {
		return span.began.Before(to.Add(noticeTime)) && (span.ended.IsZero() || span.ended.After(from.Add(-contact)))
	})
}

// noticeTime is how long after it a starved node is noticed at the latest, when the soak itself runs.
const noticeTime = time.Second

// faultSpan is the time of one fault.
type faultSpan struct {
	// ended is zero while the fault is under way.
	began, ended time.Time
}

// calmSince returns from when on promises with a bound in seconds hold; it is in the future while a fault is under way.
func (w *world) calmSince() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults > 0 {
		return time.Now().Add(contact)
	}
	return w.lastFault.Add(contact)
}

func (w *world) fail(rule, what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, rule+": "+what)
}

// broken returns the promises that were seen broken outside the callers.
func (w *world) broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(w.record.Broken(), w.failures...)
}

// noted returns when the machine did not run a process.
func (w *world) noted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.notes...)
}

func (w *world) close() {
	close(w.stopped)
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.awaitEnd()
		n.store.Close()
	}
	for _, s := range w.sites {
		s.stopWorker()
		s.proxy.Close()
	}
}
