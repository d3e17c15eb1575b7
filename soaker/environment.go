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

	"github.com/acaciaproxy/acaciaproxy/faultinjector"
	"github.com/acaciaproxy/acaciaproxy/launcher"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Sizes and times of the environment.
const (
	modelWorkers = 4
	plainWorkers = 2
	// modelCapacity is how many models fit in a worker's memory.
	modelCapacity = 2
	modelCount    = 9
	// heartbeatInterval is the interval at which a worker writes heartbeats to the store.
	heartbeatInterval = 400 * time.Millisecond
	// startTimeout bounds the wait for the first readiness of a node.
	startTimeout = 15 * time.Second
	// faultEffectTime is how long after its end a fault may still affect requests.
	faultEffectTime = 3 * time.Second
	// drainTime is the time that a node has for a planned stop: the "drain" of its settings, in whole seconds.
	drainTime = 6 * time.Second
)

var zones = []string{"a", "b"}

// endpoint is a worker behind a proxy. The proxy keeps its address when the worker is replaced by a new process.
type endpoint struct {
	service, zone string
	// software is the version of the software of all its workers.
	software string
	proxy    *faultinjector.Proxy
	// replacing is held while the worker is being replaced by a new process.
	replacing sync.Mutex
	// mu guards the fields below.
	mu     sync.Mutex
	worker *fleetstandin.Worker
	server *http.Server
	// brittle is the number that its workers name as brittle ones, or 0.
	brittle int
	// faults are those of its workers.
	faults fleetstandin.Faults
	// successions counts the workers that took over the connections of the one before.
	successions int
	// silent is set from the stop of a worker to the start of the next one; no heartbeats are written meanwhile.
	silent bool
	// lapsedUntil is when heartbeats are written again after the entry has lapsed in an outage of the store.
	lapsedUntil time.Time
}

// environment holds the nodes and the stand-ins of the platform, and records the faults injected into them.
type environment struct {
	spec   Spec
	folder string
	store  *fleetstandin.Store
	// storeAddress is the store's own address; the nodes connect to it through their proxies.
	storeAddress string
	record       *fleetstandin.Record
	nodes        []*node
	endpoints    []*endpoint
	models       []string
	parts        *partLoad
	streams      *streamLoad
	// tenants holds the tenants' keys; nil if the configuration has no tenants.
	tenants *tenantKeys
	stopped chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// activeFaults counts the faults that have not ended; lastFaultChange is when a fault last started or ended.
	activeFaults    int
	lastFaultChange time.Time
	// faultSpans holds the times of all faults, ended ones included, crashSpans those of crashes by requests, which are no faults of the nodes.
	faultSpans, crashSpans []*faultSpan
	// versions maps each configuration version to the time at which it was written.
	versions      map[int]time.Time
	newestVersion int
	// configuration is the newest version's text.
	configuration string
	// workerStarts numbers the worker processes.
	workerStarts int
	// failures are breaches that callers do not see, and failures of the soak itself, each as "RULE: detail".
	failures []string
	// notes say when the kernel did not run a process for lack of a processor.
	notes []string
	// startedAt is when all nodes were ready; the first action comes later.
	startedAt time.Time
}

func newEnvironment(spec Spec, folder string) (*environment, error) {
	e := &environment{spec: spec, folder: folder, store: fleetstandin.NewStore(), stopped: make(chan struct{}), versions: map[int]time.Time{}}
	e.record = fleetstandin.NewRecord(e.faultFreeSince)
	e.parts = &partLoad{environment: e}
	e.streams = &streamLoad{environment: e}
	if spec.Tenants {
		e.tenants = newTenantKeys(spec.Seed)
	}
	for i := range modelCount {
		e.models = append(e.models, fmt.Sprint("m", i))
	}
	address, err := e.listen(e.store)
	if err != nil {
		return nil, err
	}
	e.storeAddress = address
	e.publishVersion()
	for i := range modelWorkers {
		if err := e.addEndpoint("models", zones[i%len(zones)], i); err != nil {
			return nil, err
		}
	}
	for i := range plainWorkers {
		if err := e.addEndpoint("plain", zones[i%len(zones)], i); err != nil {
			return nil, err
		}
	}
	for _, zone := range zones {
		for i := range spec.Nodes {
			if err := e.addNode(zone, i); err != nil {
				return nil, err
			}
		}
	}
	if err := e.awaitReady(); err != nil {
		e.close()
		return nil, err
	}
	e.startedAt = time.Now()
	go e.watchStarvation()
	return e, nil
}

// listen serves a handler on a free loopback port and returns its address.
func (e *environment) listen(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for the store stand-in: %w", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // Never closed; ends with this process.
	return listener.Addr().String(), nil
}

// publishVersion writes the next configuration version to the store.
func (e *environment) publishVersion() {
	e.mu.Lock()
	defer e.mu.Unlock() // Held during the write, so that versions are written in ascending order.
	e.newestVersion++
	e.versions[e.newestVersion] = time.Now()
	e.configuration = fleetstandin.Configuration(e.newestVersion, max(e.newestVersion-keptRoutes, 1), e.models, e.tenants.configured()...)
	e.store.PutConfiguration(e.configuration)
}

// restoreStore brings back a copy of the store, and writes the newest configuration again as the operator does.
func (e *environment) restoreStore(copied *fleetstandin.Copy) {
	e.mu.Lock()
	defer e.mu.Unlock() // Held during the write, as by publishVersion.
	e.store.Restore(copied)
	e.store.PutConfiguration(e.configuration)
}

// keptRoutes is how many earlier versions keep their route in the newest version.
const keptRoutes = 20

func (e *environment) addEndpoint(service, zone string, index int) error {
	target := &endpoint{service: service, zone: zone, software: "v1"}
	var err error
	if target.proxy, err = faultinjector.New("127.0.0.1:1"); err != nil {
		return err
	}
	e.endpoints = append(e.endpoints, target)
	var loaded, onDisk []string
	if service == "models" {
		target.software = fmt.Sprint("v", 1+index*max(e.spec.Versions, 1)/modelWorkers)
		for i := range modelCapacity {
			if e.spec.SameModels {
				loaded = append(loaded, e.models[i])
				continue
			}
			loaded = append(loaded, e.models[(index*modelCapacity+i)%modelCount])
		}
		for i := range modelCount / 2 {
			onDisk = append(onDisk, e.models[(index*2+i)%modelCount])
		}
	}
	e.startWorker(target, loaded, onDisk)
	go e.writeHeartbeats(target)
	return nil
}

// recordInterruption records that requests may break off now, without suspending the guarantees with a time limit.
func (e *environment) recordInterruption() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.crashSpans = append(e.crashSpans, &faultSpan{startedAt: now, endedAt: now.Add(entryExpiry)})
}

// writeHeartbeats writes the worker's heartbeats while the worker runs and the store is available.
func (e *environment) writeHeartbeats(target *endpoint) {
	for {
		target.mu.Lock()
		if !target.silent && !e.store.Unavailable() && time.Now().After(target.lapsedUntil) {
			target.worker.WriteHeartbeat(e.store, target.proxy.Address())
		}
		target.mu.Unlock()
		select {
		case <-e.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (e *environment) addNode(zone string, index int) error {
	n := &node{
		name: fmt.Sprintf("%s%d", zone, index+1), zone: zone, program: e.spec.Program,
		callerAddress: launcher.FreeAddress(), readyAddress: launcher.FreeAddress(), peerAddress: launcher.FreeAddress(), operatorAddress: launcher.FreeAddress(),
	}
	if e.spec.Other != "" && index%2 == 1 {
		n.program = e.spec.Other
	}
	var err error
	if n.storeProxy, err = faultinjector.New(e.storeAddress); err != nil {
		return err
	}
	n.settingsPath = filepath.Join(e.folder, n.name+".json")
	text := fmt.Sprintf(`{"name":%q,"zone":%q,"form":"fleet","callers":%q,"ready":%q,"nodes":%q,"operators":%q,"platform":%q,"drain":%d,"quiet":3000,"ratio":%g,"slack":%d,"window":%d,"memory":%d,"descriptors":%d%s}`,
		n.name, zone, n.callerAddress, n.readyAddress, n.peerAddress, n.operatorAddress, n.storeProxy.Address(), int(drainTime.Seconds()), retryRatio, retrySlack, retryWindowS, e.spec.MemoryMB, e.spec.Descriptors, e.tenants.settings())
	if err := os.WriteFile(n.settingsPath, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings of node %q: %w", n.name, err)
	}
	e.nodes = append(e.nodes, n)
	return e.startNode(n)
}

// NotReadyError reports that a node was not ready in time after its start.
type NotReadyError struct {
	// node is its name, state what describe returned.
	node, state string
}

// Error names the node, the time and the state.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("node %q was not ready within %s: %s", e.node, startTimeout, e.state)
}

// awaitReady waits until all nodes are ready. It returns a *NotReadyError if one is not in time.
func (e *environment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, n := range e.nodes {
		for deadline := time.Now().Add(startTimeout); !fleetstandin.IsReady(client, n.readyAddress); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				return &NotReadyError{node: n.name, state: n.describe()}
			}
		}
	}
	return nil
}

// beginFault records the start of a fault; the returned function records its end. The owner is the node or the endpoint that it affects, the
// store, or nil if it affects all.
func (e *environment) beginFault(owner any) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeFaults++
	e.lastFaultChange = time.Now()
	span := &faultSpan{owner: owner, startedAt: e.lastFaultChange}
	e.faultSpans = append(e.faultSpans, span)
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.activeFaults--
		e.lastFaultChange = time.Now()
		span.endedAt = e.lastFaultChange
	}
}

// wasFaultFree reports whether no fault was active at any moment from faultEffectTime before a request was sent until
// starvationNoticeTime after its end. It must be called at the end of a run, when all processor starvation has been recorded.
func (e *environment) wasFaultFree(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	overlaps := func(span *faultSpan) bool {
		return span.overlaps(from.Add(-faultEffectTime), to.Add(starvationNoticeTime))
	}
	return !lo.SomeBy(e.faultSpans, overlaps) && !lo.SomeBy(e.crashSpans, overlaps)
}

// hadNoFault reports whether no fault was active from faultEffectTime before a moment until then. Crashes of workers by requests are no
// faults. It must be called at the end of a run, like wasFaultFree.
func (e *environment) hadNoFault(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !lo.SomeBy(e.faultSpans, func(span *faultSpan) bool { return span.overlaps(at.Add(-faultEffectTime), at) })
}

// starvationNoticeTime bounds the time from the starvation of a node until it is recorded, provided that the soak itself
// gets a processor.
const starvationNoticeTime = time.Second

// faultSpan is the time from the start to the end of one fault.
type faultSpan struct {
	// owner is what the fault affects, as beginFault describes it.
	owner any
	// endedAt is zero until the fault ends.
	startedAt, endedAt time.Time
}

// overlaps reports whether a part of the span lies between two times.
func (s *faultSpan) overlaps(from, to time.Time) bool {
	return s.startedAt.Before(to) && (s.endedAt.IsZero() || s.endedAt.After(from))
}

// faultFreeSince returns the time from which the guarantees with a time limit hold: faultEffectTime after the last fault.
// It is in the future while a fault is active.
func (e *environment) faultFreeSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.activeFaults > 0 {
		return time.Now().Add(faultEffectTime)
	}
	return e.lastFaultChange.Add(faultEffectTime)
}

func (e *environment) addFailure(rule, detail string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures = append(e.failures, rule+": "+detail)
}

// breaches returns the breaches that workers recorded and the failures.
func (e *environment) breaches() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(e.record.Breaches(), e.failures...)
}

// starvationNotes returns a note on each time that the kernel did not run a process for lack of a processor.
func (e *environment) starvationNotes() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.notes...)
}

func (e *environment) close() {
	close(e.stopped)
	for _, n := range e.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.awaitEnd()
		n.storeProxy.Close()
	}
	for _, target := range e.endpoints {
		target.stopWorker()
		target.proxy.Close()
	}
}
