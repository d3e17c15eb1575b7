package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/launcher"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
)

const (
	// floodingWorkers is the number of flooding workers of a service.
	floodingWorkers = 8
	// floodCallers is the number of requests for the flooded service that wait at each node: as many as reach a host of the users' in the longest time budget.
	floodCallers = 260
	// floodTime is how long the callers of one case go on.
	floodTime = 4 * time.Second
	// maxNodeBytes is the memory of the smallest host of the users.
	maxNodeBytes = 184 << 20
)

// floodCase is a response without end of all workers of a service.
type floodCase struct {
	Name string
	// Kind is that of the callers' requests; the other service is sound.
	Kind fleetstandin.Kind
	// Head, Filler and PauseMS are those of rawpeer.Flood. Head is followed by as many short header lines, each with another name, as Lines says, and by Bytes
	// bytes.
	Head, Filler          string
	PauseMS, Lines, Bytes int
	// PassedOn is set if a node is cut off from all workers, so that it passes requests on.
	PassedOn bool
}

// floodsBesideEachOther is the number of cases that are played at the same time.
const floodsBesideEachOther = 2

// Guards against workers that send bytes without end, which fill the memory of the node that called them and so end the requests of its other callers (EXIT, LOST).
var _ = ginkgo.Describe("workers that send bytes without end", func() {
	ginkgo.It("end no process, and cost callers of other services nothing", func() {
		programs := os.Getenv("ACACIA_PROCESS_TESTS")
		if programs == "" {
			ginkgo.Skip("ACACIA_PROCESS_TESTS does not name the folder with the programs")
		}
		var cases []floodCase
		gomega.Expect(casereader.Read("testdata/flooding_workers.json", &cases)).To(gomega.Succeed())
		folder := newSpecFolder()
		breaches := make([][]string, len(cases))
		var running sync.WaitGroup
		free := make(chan struct{}, floodsBesideEachOther)
		for i, c := range cases {
			free <- struct{}{}
			running.Go(func() {
				defer func() { <-free }()
				breaches[i] = lo.Map(c.play(filepath.Join(programs, "acaciaproxy"), filepath.Join(folder, fmt.Sprint(i))), func(breach string, _ int) string { return c.Name + ": " + breach })
			})
		}
		running.Wait()
		gomega.Expect(lo.Flatten(breaches)).To(gomega.BeEmpty())
	})
})

// play plays the case in an environment of its own and returns what was breached.
func (c floodCase) play(program, folder string) []string {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return []string{err.Error()}
	}
	e, err := newEnvironment(Spec{Program: program, Nodes: 1}, folder)
	if err != nil {
		return []string{err.Error()}
	}
	defer e.close()
	service := lo.Ternary(c.Kind == fleetstandin.KindStream, "models", "plain")
	for i := range floodingWorkers {
		worker, err := rawpeer.NewFloodingWorker(rawpeer.Flood{Head: c.head(), Filler: c.Filler, Pause: time.Duration(c.PauseMS) * time.Millisecond})
		if err != nil {
			return []string{err.Error()}
		}
		defer worker.Close()
		entry := fleetstandin.NewWorker(fmt.Sprint("i-flood-", i), service, zones[i%len(zones)], lo.Ternary(service == "models", modelCapacity, 0), e.models[:modelCapacity], nil, e.record)
		entry.WriteHeartbeat(e.store, worker.Address())
	}
	for _, target := range e.endpoints {
		if target.service == service {
			target.leaveUnlisted(e.store)
		}
	}
	if c.PassedOn {
		if err := (&player{environment: e}).cutNodes(e.nodes[:1], "refuse"); err != nil {
			return []string{err.Error()}
		}
	}
	time.Sleep(listTime)
	unserved := c.send(e, lo.Ternary(service == "models", fleetstandin.KindOnce, fleetstandin.KindStream))
	return append(append(e.breaches(), unserved...), e.checkMemory()...)
}

// head returns what is written before the filler.
func (c floodCase) head() string {
	lines := lo.Times(c.Lines, func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" })
	return c.Head + strings.Join(lines, "") + strings.Repeat("x", c.Bytes)
}

// listTime is the time in which all nodes have read a change of the list of workers.
const listTime = 2 * time.Second

// send sends requests for the flooded service to all nodes, and some of a sound kind for the other one. It returns the breach of the guarantee that the latter
// are served, or at least answered by a node that is cut off.
func (c floodCase) send(e *environment, sound fleetstandin.Kind) []string {
	var callers sync.WaitGroup
	var sent, unserved atomic.Int64
	end := time.Now().Add(floodTime)
	start := func(name string, seed int, kind fleetstandin.Kind, target func(*rand.Rand) *node, judge func(fleetstandin.Result)) {
		callers.Go(func() {
			random, client := rand.New(rand.NewPCG(uint64(seed), 23)), &http.Client{Timeout: requestTimeout + timeoutTolerance}
			for number := 0; time.Now().Before(end); number++ {
				judge(fleetstandin.Send(client, target(random).callerAddress, kind, "/"+string(kind)+"/x", fmt.Sprintf("%s%d-%d", name, seed, number), e.models[random.IntN(modelCapacity)], requestTimeout))
				time.Sleep(time.Duration(random.ExpFloat64() * float64(loadPause)))
			}
		})
	}
	for _, n := range e.nodes {
		for i := range floodCallers {
			start("f-"+n.name+"-", i, c.Kind, func(*rand.Rand) *node { return n }, func(fleetstandin.Result) {})
		}
	}
	for i := range loadCallers {
		start("s", i, sound, func(random *rand.Rand) *node { return e.nodes[random.IntN(len(e.nodes))] }, func(result fleetstandin.Result) {
			sent.Add(1)
			if result.Status == 0 || result.Status != http.StatusOK && !c.PassedOn {
				unserved.Add(1)
			}
		})
	}
	callers.Wait()
	if count := unserved.Load(); count > 0 || sent.Load() == 0 {
		return []string{fmt.Sprintf("LOST: %d of %d requests for the other service were not served", count, sent.Load())}
	}
	return nil
}

// checkMemory returns the breaches of the guarantee that no node needs more memory than the smallest host has.
func (e *environment) checkMemory() []string {
	return lo.FilterMap(e.nodes, func(n *node, _ int) (string, bool) {
		n.mu.Lock()
		pid := n.command.Process.Pid
		n.mu.Unlock()
		held, err := launcher.PeakBytes(pid)
		if err != nil {
			return "SOAK: " + err.Error(), true
		}
		return fmt.Sprintf("MEMORY: node %s took %d MB", n.name, held>>20), held > maxNodeBytes
	})
}
