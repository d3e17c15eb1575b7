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
	"syscall"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/format"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

func TestSpecs(t *testing.T) {
	format.MaxLength = 0 // All breaches of a script are printed.
	gomega.RegisterFailHandler(ginkgo.Fail)
	suiteFolder = FolderKeptOnFailure(t)
	ginkgo.RunSpecs(t, "soaker")
}

// script is a sequence of steps over real processes, played Rounds times.
type script struct {
	Name   string
	Rounds int
	// Versions and SameModels are those of the Spec.
	Versions   int
	SameModels bool
	Steps      []string
}

// playScripts plays the scripts of a data file beside each other, each in an environment of its own. It expects that none breaches a guarantee,
// and that check, which is called at the end of each, returns nothing.
func playScripts(file string, check func(*environment) []string) {
	(&companions{files: map[string]func(*environment) []string{file: check}}).expectKept(file)
}

// companions are data files whose scripts are all played at the same time, when the first spec of one of them runs.
type companions struct {
	// files hold the check of each file, which is called at the end of each of its scripts.
	files map[string]func(*environment) []string
	// playing is done once the scripts were played.
	playing sync.Once
	// breaches are those of each file; a file that could not be played has none of them, not even an empty one.
	breaches map[string][]string
}

// checkNothing is the check of scripts of which the environment checks all.
func checkNothing(*environment) []string { return nil }

// Companions are chosen so that few scripts that load the processor are played at the same time, and none beside those that measure memory.
var (
	crashingRequests = &companions{files: map[string]func(*environment) []string{"testdata/crashing_requests.json": checkCrashes, "testdata/crashing_bursts.json": checkBursts}}
	partsAndRacks    = &companions{files: map[string]func(*environment) []string{
		"testdata/crashing_parts.json": func(e *environment) []string { return e.parts.checkScript(e.record) },
		"testdata/lost_racks.json":     func(e *environment) []string { return e.parts.checkRacks(e.record) },
	}}
	leavesAndStreams = &companions{files: map[string]func(*environment) []string{"testdata/unlisted_workers.json": checkNothing, "testdata/versions.json": checkStreams}}
	entriesAndPauses = &companions{files: map[string]func(*environment) []string{
		"testdata/lapsed_entries.json": checkNothing, "testdata/leaving_workers.json": checkNothing, "testdata/pausing_workers.json": checkNothing,
	}}
	limitsAndEntries = &companions{files: map[string]func(*environment) []string{"testdata/worker_limits.json": checkUse, "testdata/odd_entries.json": checkNothing}}
	passedOnRequests = &companions{files: map[string]func(*environment) []string{"testdata/cut_nodes.json": checkNothing, "testdata/passed_on.json": checkNothing}}
)

// expectKept expects that no script of the file breached a guarantee, after all scripts were played.
func (c *companions) expectKept(file string) {
	programs := os.Getenv("ACACIA_PROCESS_TESTS")
	if programs == "" {
		ginkgo.Skip("ACACIA_PROCESS_TESTS does not name the folder with the programs")
	}
	c.playing.Do(func() { c.play(filepath.Join(programs, "acaciaproxy"), newSpecFolder()) })
	gomega.Expect(c.breaches).To(gomega.HaveKey(file))
	gomega.Expect(lo.Reject(c.breaches[file], func(breach string, _ int) bool { return isKnownRedRack(breach) })).To(gomega.BeEmpty())
}

// play plays the scripts of all files.
func (c *companions) play(program, folder string) {
	scripts := map[string][]script{}
	for file := range c.files {
		var read []script
		gomega.Expect(casereader.Read(file, &read)).To(gomega.Succeed())
		scripts[file] = read
	}
	var mu sync.Mutex // Guards breaches.
	breaches := lo.MapValues(c.files, func(func(*environment) []string, string) []string { return []string{} })
	var running sync.WaitGroup
	for file, check := range c.files {
		for i, s := range scripts[file] {
			running.Go(func() {
				found := s.play(Spec{Program: program, Nodes: 2, Versions: s.Versions, SameModels: s.SameModels}, filepath.Join(folder, filepath.Base(file), fmt.Sprint(i)), check)
				mu.Lock()
				defer mu.Unlock()
				breaches[file] = append(breaches[file], lo.Map(found, func(breach string, _ int) string { return s.Name + ": " + breach })...)
			})
		}
	}
	running.Wait()
	c.breaches = breaches
}

// play plays the script and returns what was breached.
func (s script) play(spec Spec, folder string, check func(*environment) []string) []string {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return []string{err.Error()}
	}
	e, err := newEnvironment(spec, folder)
	if err != nil {
		return []string{err.Error()}
	}
	defer e.close()
	player := &player{environment: e}
	for range s.Rounds {
		for _, step := range s.Steps {
			if err := player.play(step); err != nil {
				return append(e.breaches(), fmt.Sprintf("step %q: %v", step, err))
			}
		}
	}
	player.load.Wait()
	found := append(append(e.breaches(), player.breaches...), player.checkCut()...)
	found = append(found, player.checkPromises()...)
	found = append(found, checkRetries(e.record, player.sentAt())...)
	found = append(found, e.checkDepartures()...)
	found = append(append(found, player.checkServed()...), player.checkLapsed()...)
	found = append(found, player.checkStrictly()...)
	return append(found, check(e)...)
}

// player plays the steps of one script.
type player struct {
	environment *environment
	// load is done when the load of the last "load" step has ended.
	load sync.WaitGroup
	// mu guards breaches, which are those that the callers of the load saw.
	mu       sync.Mutex
	breaches []string
	// attempts are those of the load.
	attempts []nodeAttempt
	// overloaded is set once an "overload" step was played, odd once an "odd" step was.
	overloaded, odd bool
	// cut are the nodes that are cut off from all workers since cutAt.
	cut   []*node
	cutAt time.Time
	// copied is the copy of the store that "restore" brings back.
	copied *fleetstandin.Copy
	// endCuts end the cuts of nodes from the store. Strict is set once a "strict" step was played.
	endCuts []func() error
	strict  bool
	// lapsedAt is when the last "lapse" step began; zero before.
	lapsedAt time.Time
}

// play plays one step; the data files say what each does.
func (p *player) play(step string) error {
	e := p.environment
	verb, rest, _ := strings.Cut(step, " ")
	words := strings.Fields(rest)
	nodes := lo.Filter(e.nodes, func(n *node, _ int) bool { return lo.Contains(words, n.name) })
	switch verb {
	case "calm":
		if err := e.awaitReady(); err != nil {
			return err
		}
		time.Sleep(faultEffectTime)
	case "store":
		e.store.SetFault(fleetstandin.Fault(rest))
	case "copy":
		p.copied = e.store.Copy()
	case "restore":
		e.restoreStore(p.copied)
	case "sound", "crashing", "alike":
		return p.startParts(verb, rest)
	case "kill":
		e.parts.excuse(time.Now().Add(time.Hour))
		defer func() { e.parts.excuse(time.Now().Add(faultEffectTime)) }()
		for _, n := range nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range nodes {
			n.awaitEnd()
			if err := e.startNode(n); err != nil {
				return err
			}
		}
		return e.awaitReady()
	case "send":
		return e.sendUntilCrash(nodes[0])
	case "together":
		count, err := strconv.Atoi(words[0])
		if err != nil {
			return err
		}
		e.sendTogether(count, fleetstandin.CrashCause(words[1]))
	case "partition":
		return p.cutNodes(nodes, words[0])
	case "cut":
		return e.forWorkers(words, func(target *endpoint, every float64) { target.cutStreams(int(every)) })
	case "shed":
		return e.forWorkers(words, func(target *endpoint, runsEvery float64) { target.shed(int(runsEvery)) })
	case "crash":
		return e.forWorkers(words, func(target *endpoint, _ float64) { e.crashByRequest(target, fleetstandin.CauseBody, e.models) })
	case "rack":
		return e.loseRack(words)
	case "streams":
		return p.startStreams(rest)
	case "isolate":
		return p.isolate(nodes, cut(words[0]))
	case "reunite":
		return p.reunite()
	case "strict":
		p.strict = true
	case "unlist":
		return e.forWorkers(words, func(target *endpoint, _ float64) { target.leaveUnlisted(e.store) })
	case "limit":
		return e.forWorkers(words, (*endpoint).setLimit)
	case "faulty":
		return p.setFaulty(words)
	case "rename", "restart", "reassign", "respawn":
		return p.startSuccessions(words, successions[verb])
	case "brittle":
		return e.forWorkers(words, func(target *endpoint, perSecond float64) { target.setBrittle(int(perSecond)) })
	case "odd":
		p.putOddEntries()
	case "depart":
		return e.forWorkers(words, func(target *endpoint, _ float64) { target.depart() })
	case "pause":
		return e.forWorkers(words, func(target *endpoint, seconds float64) {
			target.pause(time.Now().Add(time.Duration(seconds*float64(time.Second))), len(e.nodes))
		})
	case "lapse":
		return p.lapse(words)
	case "load", "overload", "once", "wait":
		seconds, err := strconv.Atoi(rest)
		if err != nil {
			return err
		}
		span := time.Duration(seconds) * time.Second
		if verb == "wait" {
			time.Sleep(span)
			return nil
		}
		if verb == "once" {
			p.startOnce(time.Now().Add(span))
			return nil
		}
		if verb == "overload" {
			p.overloaded = true
			p.startLoad(time.Now().Add(span), overloadCallers, overloadPause)
			return nil
		}
		p.startLoad(time.Now().Add(span), loadCallers, loadPause)
	default:
		return fmt.Errorf("no such step")
	}
	return nil
}

// soundCallers is the number of callers that a "sound" step starts; each pauses for loadPause on average.
const soundCallers = 8

// startParts starts callers of requests with the sound or the crashing part, or of sound ones that are all alike, which go on for some seconds.
func (p *player) startParts(kind, text string) error {
	seconds, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	parts, end := p.environment.parts, time.Now().Add(time.Duration(seconds)*time.Second)
	start := func(seed uint64, pause time.Duration, send func(*http.Client, *node)) {
		p.load.Go(func() { parts.sendUntil(end, pause, rand.New(rand.NewPCG(seed, 11)), send) })
	}
	if kind == "crashing" {
		start(soundCallers, scriptPartPause, parts.sendCrashing)
		return nil
	}
	send := parts.sendSound
	if kind == "alike" {
		send = parts.sendAlike
	}
	for i := range uint64(soundCallers) {
		start(i, loadPause, send)
	}
	return nil
}

// startStreams starts callers of streams, which go on for some seconds.
func (p *player) startStreams(text string) error {
	seconds, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for i := range uint64(loadCallers) {
		random := rand.New(rand.NewPCG(i, 13))
		p.load.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout + timeoutTolerance}
			for time.Now().Before(end) {
				p.environment.streams.sendOne(client, random)
				time.Sleep(time.Duration(random.ExpFloat64() * float64(loadPause)))
			}
		})
	}
	return nil
}

// Parameters of the load of a script.
const (
	loadCallers = 16
	// loadPause is the mean pause between two requests of a caller.
	loadPause = 300 * time.Millisecond
	// overloadCallers and overloadPause are the same for an overload, which the workers cannot serve in full.
	overloadCallers = 96
	overloadPause   = 20 * time.Millisecond
	// maxRefusalTime bounds the time until a request for a plain service, which never has to wait, is refused.
	maxRefusalTime = 1 * time.Second
)

// startLoad starts callers that send requests to random nodes until the end, with a mean pause between two of them.
func (p *player) startLoad(end time.Time, callers int, pause time.Duration) {
	for i := range callers {
		random := rand.New(rand.NewPCG(uint64(i), 7))
		p.load.Go(func() {
			client := &http.Client{Timeout: requestTimeout + timeoutTolerance}
			for number := 0; time.Now().Before(end); number++ {
				p.sendOne(client, random, fmt.Sprintf("l%d-%d", i, number))
				time.Sleep(time.Duration(random.ExpFloat64() * float64(pause)))
			}
		})
	}
}

func (p *player) sendOne(client *http.Client, random *rand.Rand, id string) {
	p.send(client, random, []fleetstandin.Kind{fleetstandin.KindIdempotent, fleetstandin.KindStream}[random.IntN(2)], id, 1)
}

// send sends a request of a kind to a random node.
func (p *player) send(client *http.Client, random *rand.Rand, kind fleetstandin.Kind, id string, number int) {
	e := p.environment
	sentAt := time.Now()
	target := e.nodes[random.IntN(len(e.nodes))]
	result := fleetstandin.SendAttempt(client, target.callerAddress, fleetstandin.Attempt{
		Kind: kind, Path: "/" + string(kind) + "/x", ID: id, Model: e.models[random.IntN(modelCapacity*modelWorkers)], Body: bodyOf(id, number), Timeout: requestTimeout,
	})
	after := time.Since(sentAt)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts = append(p.attempts, nodeAttempt{id: id, kind: kind, node: target, sentAt: sentAt, status: result.Status, served: result.Status == http.StatusOK && fleetstandin.IsComplete(kind, id, result.Body)})
	switch {
	case result.Status == http.StatusOK && !fleetstandin.IsComplete(kind, id, result.Body):
		p.breaches = append(p.breaches, fmt.Sprintf("MIXED: answer %q to %s", result.Body, id))
	case result.Status == http.StatusServiceUnavailable && kind == fleetstandin.KindIdempotent && after > maxRefusalTime:
		p.breaches = append(p.breaches, fmt.Sprintf("LATE: request %s was refused after %s", id, after))
	case result.Status == http.StatusServiceUnavailable && !isDelay(result.RetryAfter):
		p.breaches = append(p.breaches, fmt.Sprintf("RETRY: Retry-After %q is no time", result.RetryAfter))
	}
}

// checkPromises returns the breaches of what nodes promised for the attempts of the load.
func (p *player) checkPromises() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.FilterMap(p.attempts, func(a nodeAttempt, _ int) (string, bool) {
		breach := promiseBreach(a.kind, a.status, p.environment.record.Runs(a.id))
		return fmt.Sprintf("%s (attempt %s at node %s, %s)", breach, a.id, a.node.name, a.kind), breach != ""
	})
}

// sentAt returns when the attempts of the load were sent, by their IDs, for each service.
func (p *player) sentAt() map[string]map[string]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent := map[string]map[string]time.Time{}
	for _, a := range p.attempts {
		addSent(sent, a.kind, a.id, a.sentAt)
	}
	return sent
}

// forWorkers calls act for some workers of a service: the words are the service, the number of workers and a number for act, if it needs one.
func (e *environment) forWorkers(words []string, act func(target *endpoint, number float64)) error {
	count, err := strconv.Atoi(words[1])
	if err != nil {
		return err
	}
	number := 0.0
	if len(words) > 2 {
		if number, err = strconv.ParseFloat(words[2], 64); err != nil {
			return err
		}
	}
	for _, target := range e.endpoints {
		if target.service == words[0] && count > 0 {
			act(target, number)
			count--
		}
	}
	return nil
}
