package launcher

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/tailscale/hujson"

	"github.com/acaciaproxy/acaciaproxy/adminserver"
	"github.com/acaciaproxy/acaciaproxy/balancer"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/enginestandin"
	"github.com/acaciaproxy/acaciaproxy/loadgenerator"
)

// step is one step of a scenario file. The action determines which of the fields are used.
type step struct {
	// Action is one of send, await, fault, silence, crash, pause, resume, kill, stop, restart, host, sleep, name, runs, loads,
	// overcommits, crashes, unchanged, load and settle.
	Action string `json:"do"`
	// Target is a process: its name; a label of an earlier step; "leader ZONE"; "other ZONE", a node of the zone that is not
	// its leader; "holder UNIT", an engine that has the unit loaded or loading; or "notholder UNIT", an engine that has not.
	// In place of the zone, "home UNIT" stands for the home zone of the unit.
	Target string `json:"who"`
	// Label names requests, a generated load or a process for later steps.
	Label string `json:"as"`
	// Fields of a request. A route that starts with "/" is sent as a path, any other as a model name. TimeoutMS is the
	// timeout to send, in milliseconds; 0 sends none. Repeat is how many requests are sent concurrently; 0 means 1.
	Route     string `json:"route"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	Tokens    int    `json:"tokens"`
	Key       string `json:"key"`
	TimeoutMS int    `json:"timeout"`
	Repeat    int    `json:"times"`
	// Expected values. Outcome lists the outcomes that are allowed.
	Outcome []string `json:"outcome"`
	// MaxPercent is the maximum time to the end of the request, in percent of its timeout; 0 means no limit.
	MaxPercent int    `json:"within"`
	Code       string `json:"code"`
	Replayed   bool   `json:"replayed"`
	// Count is the expected number of runs or loads of a unit, or the maximum number of crashes.
	Count int `json:"count"`
	// Fields of other actions.
	Faults       json.RawMessage `json:"faults"`
	State        string          `json:"state"`
	Milliseconds int             `json:"ms"`
	Unit         string          `json:"unit"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	Seed int64   `json:"seed"`
	// MinAnswered is the minimum share of a generated load's requests that must be answered, from 0 to 1.
	MinAnswered float64 `json:"answered"`
}

// defaultTimeoutMS is the timeout in milliseconds of a request without one, on a route without one.
const defaultTimeoutMS = 30000

// result is what Send returned for one request.
type result struct {
	response Response
	err      error
}

// scenarioRunner runs the steps of one scenario on a set of its own.
type scenarioRunner struct {
	set *Set
	// mu guards results.
	mu      sync.Mutex
	pending map[string]*sync.WaitGroup
	results map[string][]result
	// processNames maps the labels of steps to names of processes.
	processNames map[string]string
	loadReports  map[string]chan *loadgenerator.Report
}

var _ = ginkgo.Describe("scenario", func() {
	files, err := filepath.Glob("testdata/scenarios/*.json")
	if err != nil || len(files) == 0 {
		panic(fmt.Sprintf("no scenario files match testdata/scenarios/*.json: %v", err))
	}
	for _, file := range files {
		ginkgo.It(strings.TrimSuffix(filepath.Base(file), ".json"), func() { runScenario(file) })
	}
})

func runScenario(file string) {
	text, err := os.ReadFile(file)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	standard, err := hujson.Standardize(text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var steps []step
	gomega.Expect(json.Unmarshal(standard, &steps)).To(gomega.Succeed())
	r := &scenarioRunner{
		set: startQuickStartSet(), pending: map[string]*sync.WaitGroup{}, results: map[string][]result{},
		processNames: map[string]string{}, loadReports: map[string]chan *loadgenerator.Report{},
	}
	for i, s := range steps {
		ginkgo.By(fmt.Sprintf("step %d: %s %s", i+1, s.Action, s.Target))
		r.run(s)
	}
}

func (r *scenarioRunner) run(s step) {
	switch s.Action {
	case "send":
		r.send(s)
	case "await":
		r.await(s)
	case "fault":
		process := r.process(s.Target)
		gomega.Expect(PutJSON(process.address, "/faults", s.Faults)).To(gomega.Succeed())
	case "silence":
		r.post(r.process(s.Target), "/faults/silence")
	case "crash":
		r.post(r.process(s.Target), "/faults/crash")
	case "pause":
		process := r.process(s.Target)
		r.processNames[s.Label] = process.name
		gomega.Expect(process.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
	case "resume":
		gomega.Expect(r.process(s.Target).Signal(syscall.SIGCONT)).To(gomega.Succeed())
	case "kill":
		process := r.process(s.Target)
		r.processNames[s.Label] = process.name
		process.Kill()
	case "stop":
		process := r.process(s.Target)
		r.processNames[s.Label] = process.name
		gomega.Expect(process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
		gomega.Expect(process.AwaitEnd(time.Now().Add(20*time.Second))).To(gomega.BeTrue(), "node %s did not stop within 20 s of SIGTERM", process.name)
	case "restart":
		gomega.Expect(r.set.Restart(r.process(s.Target).name)).To(gomega.Succeed())
	case "host":
		gomega.Expect(r.set.SetState(r.process(s.Target).name, s.State)).To(gomega.Succeed())
	case "sleep":
		time.Sleep(time.Duration(s.Milliseconds) * time.Millisecond)
	default:
		r.runCheck(s)
	}
}

// runCheck runs the actions that check records of the stand-ins, name a process, or start or await a generated load.
func (r *scenarioRunner) runCheck(s step) {
	switch s.Action {
	case "name":
		r.processNames[s.Label] = r.process(s.Target).name
	case "runs":
		gomega.Expect(r.registerRuns(s.Key)).To(gomega.Equal(s.Count), "runs of key %s", s.Key)
	case "loads":
		gomega.Expect(r.loadCount(s.Unit)).To(gomega.Equal(s.Count), "loads of unit %s", s.Unit)
	case "overcommits":
		gomega.Expect(r.sumOverEngines(func(record enginestandin.Record) int64 { return record.OvercommittedLoads })).To(gomega.BeZero())
	case "crashes":
		gomega.Expect(r.sumOverEngines(func(record enginestandin.Record) int64 { return record.Crashes })).To(gomega.BeNumerically("<=", s.Count))
	case "unchanged":
		r.expectNoNewRuns(s)
	case "load":
		r.startLoad(s)
	case "settle":
		r.awaitLoad(s)
	default:
		ginkgo.Fail(fmt.Sprintf("unknown scenario action %q", s.Action))
	}
}

// process returns the process that a step's Target stands for.
func (r *scenarioRunner) process(target string) *Process {
	kind, argument, _ := strings.Cut(target, " ")
	switch kind {
	case "leader":
		return r.findNode(argument, true)
	case "other":
		return r.findNode(argument, false)
	case "holder":
		return r.findEngine(argument, true)
	case "notholder":
		return r.findEngine(argument, false)
	}
	if name, known := r.processNames[target]; known {
		target = name
	}
	return r.set.Process(target)
}

// findNode waits until a node of the zone is, or is not, the leader, and returns it. The zone "home UNIT" stands for the
// home zone of the unit.
func (r *scenarioRunner) findNode(zone string, leads bool) *Process {
	if unit, found := strings.CutPrefix(zone, "home "); found {
		zone = balancer.HomeZone([]string{"zone-a", "zone-b"}, unit)
	}
	var found *Process
	gomega.Eventually(func() *Process {
		for _, node := range r.set.Nodes() {
			var status adminserver.Status
			if node.zone == zone && GetJSON(node.operatorAddress, "/status", &status) == nil && status.Leading == leads {
				found = node
			}
		}
		return found
	}, 20*time.Second, 100*time.Millisecond).ShouldNot(gomega.BeNil())
	return found
}

// findEngine returns an engine that has, or has not, the unit loaded or loading.
func (r *scenarioRunner) findEngine(unit string, holds bool) *Process {
	for _, engine := range r.set.Engines() {
		var report enginestandin.Report
		gomega.Expect(GetJSON(engine.address, "/report", &report)).To(gomega.Succeed())
		loaded := false
		for _, state := range report.Units {
			loaded = loaded || state.Unit == unit
		}
		if loaded == holds {
			return engine
		}
	}
	ginkgo.Fail(fmt.Sprintf("no engine found with loaded=%v for unit %s", holds, unit))
	return nil
}

func (r *scenarioRunner) post(process *Process, path string) {
	response, err := controlClient.Post("http://"+process.address+path, "", nil)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(response.Body.Close()).To(gomega.Succeed())
}

// send sends one or more requests concurrently. A step without a label has no later await, so that
// send waits for the ends of its requests and checks them.
func (r *scenarioRunner) send(s step) {
	node := r.process(s.Target)
	requests := &sync.WaitGroup{}
	r.pending[s.Label] = requests
	r.results[s.Label] = nil
	for i := range max(s.Repeat, 1) {
		requests.Go(func() {
			response, err := r.sendOne(node, s, i)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.results[s.Label] = append(r.results[s.Label], result{response, err})
		})
	}
	if s.Label == "" {
		r.await(s)
	}
}

func (r *scenarioRunner) sendOne(node *Process, s step, number int) (Response, error) {
	headers := map[string]string{}
	if s.TimeoutMS > 0 {
		headers["Acacia-Timeout-Ms"] = fmt.Sprint(s.TimeoutMS)
	}
	if s.Key != "" {
		headers["Idempotency-Key"] = s.Key
	}
	if strings.HasPrefix(s.Route, "/") {
		return Send(node.address, http.MethodPost, s.Route, map[string]string{"text": s.Prompt}, headers)
	}
	prompt := s.Prompt
	if s.Repeat > 1 {
		prompt = fmt.Sprintf("%s %d", s.Prompt, number)
	}
	body := CompletionBody(s.Route, prompt, s.Stream)
	if s.Tokens > 0 {
		body["max_tokens"] = s.Tokens
	}
	return Send(node.address, http.MethodPost, "/v1/chat/completions", body, headers)
}

// await waits for the ends of the requests with the step's label and checks them.
func (r *scenarioRunner) await(s step) {
	r.pending[s.Label].Wait()
	for _, end := range r.results[s.Label] {
		r.checkResponse(s, end)
	}
}

func (r *scenarioRunner) checkResponse(s step, end result) {
	outcome := end.response.Header.Get("Acacia-Outcome")
	if outcome == "streaming" {
		outcome = streamOutcome(end)
	} else {
		gomega.Expect(end.err).NotTo(gomega.HaveOccurred())
	}
	gomega.Expect(s.Outcome).To(gomega.ContainElement(outcome), "status %d: %s", end.response.Status, end.response.Body)
	if s.MaxPercent > 0 {
		timeout := s.TimeoutMS
		if timeout == 0 {
			timeout = defaultTimeoutMS
		}
		gomega.Expect(100*end.response.Took.Milliseconds()/int64(timeout)).To(gomega.BeNumerically("<=", s.MaxPercent), "time to the end in percent of the timeout")
	}
	if s.Code != "" {
		gomega.Expect(string(end.response.Body)).To(gomega.ContainSubstring(`"code":"` + s.Code + `"`))
	}
	gomega.Expect(end.response.Header.Get("Acacia-Replayed") == "true").To(gomega.Equal(s.Replayed))
	if outcome == "refused" && end.response.Status >= http.StatusInternalServerError {
		gomega.Expect(end.response.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	}
}

// streamOutcome returns "answered" for a complete stream, "unknown" for one that ended with an error event and a broken
// connection, and a description for any other.
func streamOutcome(end result) string {
	text := string(end.response.Body)
	if strings.HasSuffix(text, "data: [DONE]\n\n") && end.err == nil {
		return "answered"
	}
	if strings.Contains(text, "event: error") && end.err != nil {
		return "unknown"
	}
	return fmt.Sprintf("stream ended with neither [DONE] nor an error event and a broken connection: %q, %v", text, end.err)
}

// registerRuns returns how many times the registers ran requests with the key.
func (r *scenarioRunner) registerRuns(key string) int {
	sum := 0
	for _, register := range r.set.Registers() {
		var runs map[string]int
		gomega.Expect(GetJSON(register.address, "/record", &runs)).To(gomega.Succeed())
		sum += runs[key]
	}
	return sum
}

func (r *scenarioRunner) sumOverEngines(value func(enginestandin.Record) int64) int64 {
	var sum int64
	for _, engine := range r.set.Engines() {
		var record enginestandin.Record
		gomega.Expect(GetJSON(engine.address, "/record", &record)).To(gomega.Succeed())
		sum += value(record)
	}
	return sum
}

// loadCount returns how many times the engines loaded the unit.
func (r *scenarioRunner) loadCount(unit string) int {
	return int(r.sumOverEngines(func(record enginestandin.Record) int64 { return int64(record.Loads[unit]) }))
}

// expectNoNewRuns asserts that an engine runs no new request during the step's Milliseconds.
func (r *scenarioRunner) expectNoNewRuns(s step) {
	process := r.process(s.Target)
	count := func() int {
		var record enginestandin.Record
		gomega.Expect(GetJSON(process.address, "/record", &record)).To(gomega.Succeed())
		return len(record.Runs)
	}
	before := count()
	time.Sleep(time.Duration(s.Milliseconds) * time.Millisecond)
	gomega.Expect(count()).To(gomega.Equal(before), "engine %s ran new requests", process.name)
}

// startLoad starts sending a generated load to all nodes in the background.
func (r *scenarioRunner) startLoad(s step) {
	configuration, err := configreader.ReadFolder(r.set.spec.Configuration)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	options := loadgenerator.OfferOptions{
		Configuration: configuration, Seed: s.Seed, Rate: s.Rate, Length: time.Duration(s.Milliseconds) * time.Millisecond,
		StartOfDay: 10 * time.Hour, Balanced: true,
	}
	for _, node := range r.set.Nodes() {
		options.Nodes = append(options.Nodes, node.address)
	}
	for _, engine := range r.set.Engines() {
		options.Engines = append(options.Engines, engine.address)
	}
	for _, register := range r.set.Registers() {
		options.Registers = append(options.Registers, register.address)
	}
	ended := make(chan *loadgenerator.Report, 1)
	r.loadReports[s.Label] = ended
	go func() {
		defer ginkgo.GinkgoRecover()
		report, err := loadgenerator.Offer(options, ginkgo.GinkgoWriter)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ended <- report
	}()
}

// awaitLoad waits for the end of a generated load, and checks that its report has no faults and enough answered requests.
func (r *scenarioRunner) awaitLoad(s step) {
	report := <-r.loadReports[s.Label]
	fmt.Fprintf(ginkgo.GinkgoWriter, "load %s: %v, loads %d\n", s.Label, report.Ends, report.Loads)
	gomega.Expect(report.Faults()).To(gomega.BeEmpty())
	total := 0
	for _, count := range report.Ends {
		total += count
	}
	gomega.Expect(float64(report.Ends["answered"]) / float64(total)).To(gomega.BeNumerically(">=", s.MinAnswered))
}
