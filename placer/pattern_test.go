package placer_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sort"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/placer"
)

// requestPattern is a simulated pattern of requests, and the least service that plans must reach for it.
type requestPattern struct {
	// Name is the title of the test.
	Name string
	// Workers is the number of workers; each has memory for Places models and copies of OnDisk models on its disk.
	Workers, Places, OnDisk int
	// Rare is the number of rare models. They are requested evenly, RareRate times a second in all; a response within
	// RareMS is in time.
	Rare     int
	RareRate float64
	RareMS   int
	// Busy lists the rates of the busy models, in requests a second; every request runs for RunMS. From second ShiftS
	// on, the requests of the first Shift busy models go to models that were not requested before.
	Busy          []float64
	RunMS         int
	ShiftS, Shift int
	// BurstS is the second from which rare models are requested Burst times as often, for five seconds.
	BurstS int
	Burst  float64
	// CrashS is the second at which a quarter of the workers restart with empty memory, ReplaceS the one at which half of
	// the workers are replaced by new ones without copies; 0 for never.
	CrashS, ReplaceS int
	// StoreMS is the time of a load from the weight store, 6000 if it is 0; StoreAtOnce is how many of them the store serves at
	// full speed, 3 if it is 0. StoreBelief is the number that plans assume instead, if it is not 0.
	StoreMS, StoreAtOnce, StoreBelief int
	// Gone is the number of rare models without a copy on any worker.
	Gone    int
	Seconds int
	// VainShare bounds the time that requests were held and then refused, as a share of the longest time that all
	// requests for rare models could have been held. VainShare and Unserved are checked only if VainShare is above 0.
	VainShare float64
	// Unserved is how many rare models may be requested four times or more without any response.
	Unserved int
	// RareShare and BusyShare are the least shares of responses in time. StaticRare is the largest share in time for rare
	// models under a placement that never changes; it proves that the pattern needs moves.
	RareShare, BusyShare, StaticRare float64
}

var _ = ginkgo.Describe("request patterns", func() {
	files, err := filepath.Glob("testdata/patterns/*.json")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, file := range files {
		var pattern requestPattern
		gomega.Expect(casereader.Read(file, &pattern)).To(gomega.Succeed())
		ginkgo.It(pattern.Name, func() {
			withMoves := newSimulation(pattern, true).run()
			withoutMoves := newSimulation(pattern, false).run()
			gomega.Expect(withMoves.inTimeShare("rare")).To(gomega.BeNumerically(">=", pattern.RareShare), "rare models in time")
			gomega.Expect(withMoves.inTimeShare("busy")).To(gomega.BeNumerically(">=", pattern.BusyShare), "busy models in time")
			gomega.Expect(withoutMoves.inTimeShare("rare")).To(gomega.BeNumerically("<=", pattern.StaticRare), "rare models in time without moves")
			if pattern.VainShare > 0 {
				gomega.Expect(withMoves.unansweredHoldMS/float64(maxHoldMS*withMoves.submitted["rare"])).To(gomega.BeNumerically("<=", pattern.VainShare), "share of the time that requests were held and then refused")
				gomega.Expect(len(withMoves.neverAnswered())).To(gomega.BeNumerically("<=", pattern.Unserved), "rare models that never got a response: %v", withMoves.neverAnswered())
			}
			gomega.Expect(withMoves.overcommits).To(gomega.BeZero(), "loads that exceeded the memory of a worker")
		})
	}
})

// Defaults of the weight store.
const (
	defaultStoreMS     = 6000
	defaultStoreAtOnce = 3
)

// stepMS is the time between two plans, maxHoldMS the longest time that a request waits, busyTargetMS the time within
// which a response of a busy model is in time.
const (
	stepMS       = 50
	maxHoldMS    = 12000
	busyTargetMS = 300
)

// worker is a simulated worker.
type worker struct {
	units     map[string]int64 // Time of the last use by model.
	onDisk    map[string]bool
	inMemory  map[string]bool
	busyUntil int64
	loading   string
	runEnds   map[string][]int64 // Ends of the running requests by model.
}

type request struct {
	model        string
	waitingSince int64
	// isRetry is set when it was refused before; such a request is not retried again.
	isRetry bool
}

// retry is a refused request that its caller sends again.
type retry struct {
	request
	retryAt int64
}

// simulation is the run of a pattern in steps of stepMS.
type simulation struct {
	pattern requestPattern
	// usesPlans is set when plans are made and executed; otherwise the placement never changes.
	usesPlans bool
	random    *rand.Rand
	nowMS     int64
	workers   []*worker
	models    map[string]placer.Model
	// rates holds Demand.Rate and Demand.Recent by model.
	rates   map[string]*[2]float64
	waiting []request
	// expectedReadyMS is the expected time until models without a move are loaded, in milliseconds.
	expectedReadyMS map[string]float64
	retries         []retry
	refused         map[string]float64
	// unserved holds when each model was last loaded somewhere or not requested, in milliseconds.
	unserved map[string]int64
	// unansweredHoldMS is the total time that requests were held before they were refused.
	unansweredHoldMS float64
	answered         map[string]int
	submitted        map[string]int
	inTime           map[string]int
	overcommits      int
}

func newSimulation(pattern requestPattern, usesPlans bool) *simulation {
	if pattern.StoreMS == 0 {
		pattern.StoreMS = defaultStoreMS
	}
	if pattern.StoreAtOnce == 0 {
		pattern.StoreAtOnce = defaultStoreAtOnce
	}
	if pattern.StoreBelief == 0 {
		pattern.StoreBelief = pattern.StoreAtOnce
	}
	s := &simulation{
		pattern: pattern, usesPlans: usesPlans, random: rand.New(rand.NewPCG(1, 2)), models: map[string]placer.Model{}, rates: map[string]*[2]float64{},
		submitted: map[string]int{}, inTime: map[string]int{}, expectedReadyMS: map[string]float64{}, refused: map[string]float64{},
		unserved: map[string]int64{}, answered: map[string]int{},
	}
	var names []string
	for i := range pattern.Rare {
		names = append(names, fmt.Sprintf("rare%d", i))
	}
	for i := range 2 * len(pattern.Busy) {
		names = append(names, fmt.Sprintf("busy%d", i))
	}
	for _, name := range names {
		s.models[name] = placer.Model{Name: name, MemoryMB: 100, TierMS: [3]float64{800, 1050, float64(pattern.StoreMS)}}
		s.rates[name] = &[2]float64{}
	}
	for i := range pattern.Workers {
		w := &worker{units: map[string]int64{}, onDisk: map[string]bool{}, inMemory: map[string]bool{}, runEnds: map[string][]int64{}}
		for j := range pattern.OnDisk {
			if index := (i*pattern.OnDisk + j) % len(names); index >= pattern.Gone {
				w.onDisk[names[index]] = true
			}
		}
		w.units[fmt.Sprintf("busy%d", i%len(pattern.Busy))] = 0
		for j := 0; len(w.units) < pattern.Places; j++ {
			w.units[fmt.Sprintf("rare%d", (i*pattern.Places+j)%pattern.Rare)] = 0
		}
		s.workers = append(s.workers, w)
	}
	return s
}

func (s *simulation) inTimeShare(kind string) float64 {
	return float64(s.inTime[kind]) / float64(max(s.submitted[kind], 1))
}

func (s *simulation) run() *simulation {
	for s.nowMS = 0; s.nowMS < int64(s.pattern.Seconds)*1000; s.nowMS += stepMS {
		s.restartWorkers()
		s.replaceWorkers()
		s.generateRequests()
		s.finishLoadsAndRuns()
		s.serveWaiting()
		if s.usesPlans {
			s.applyPlan()
		}
	}
	return s
}

func (s *simulation) restartWorkers() {
	if s.pattern.CrashS == 0 || s.nowMS != int64(s.pattern.CrashS)*1000 {
		return
	}
	for _, w := range s.workers[:len(s.workers)/4] {
		w.units, w.inMemory, w.runEnds, w.loading = map[string]int64{}, map[string]bool{}, map[string][]int64{}, ""
		w.busyUntil = s.nowMS + 2000
	}
}

// replaceWorkers replaces half of the workers by new ones without copies.
func (s *simulation) replaceWorkers() {
	if s.pattern.ReplaceS == 0 || s.nowMS != int64(s.pattern.ReplaceS)*1000 {
		return
	}
	for i := range len(s.workers) / 2 {
		s.workers[i] = &worker{units: map[string]int64{}, onDisk: map[string]bool{}, inMemory: map[string]bool{}, runEnds: map[string][]int64{}, busyUntil: s.nowMS + 1000}
	}
}

// neverAnswered returns the rare models that were requested four times or more and never answered.
func (s *simulation) neverAnswered() []string {
	var names []string
	for i := range s.pattern.Rare {
		if name := fmt.Sprintf("rare%d", i); s.submitted[name] >= 4 && s.answered[name] == 0 {
			names = append(names, name)
		}
	}
	return names
}

// generateRequests adds the new requests and due retries of one step.
func (s *simulation) generateRequests() {
	rareRate := s.pattern.RareRate
	if second := int(s.nowMS / 1000); s.pattern.Burst > 0 && second >= s.pattern.BurstS && second < s.pattern.BurstS+5 {
		rareRate *= s.pattern.Burst
	}
	for range s.drawArrivals(rareRate) {
		s.submit("rare", fmt.Sprintf("rare%d", s.random.IntN(s.pattern.Rare)))
	}
	for i, rate := range s.pattern.Busy {
		name := fmt.Sprintf("busy%d", i)
		if s.pattern.ShiftS > 0 && s.nowMS >= int64(s.pattern.ShiftS)*1000 && i < s.pattern.Shift {
			name = fmt.Sprintf("busy%d", i+len(s.pattern.Busy))
		}
		for range s.drawArrivals(rate) {
			s.submit("busy", name)
		}
	}
	kept := s.retries[:0]
	for _, r := range s.retries {
		if r.retryAt > s.nowMS {
			kept = append(kept, r)
			continue
		}
		s.waiting = append(s.waiting, r.request)
	}
	s.retries = kept
	for model := range s.refused {
		s.refused[model] *= 1 - stepMS/5000.0
	}
	for _, r := range s.rates {
		r[0] *= 1 - stepMS/5000.0
		r[1] *= 1 - stepMS/1000.0
	}
}

// drawArrivals returns a random number of arrivals in one step at a rate a second.
func (s *simulation) drawArrivals(rate float64) int {
	expected := rate * stepMS / 1000
	count := int(expected)
	if s.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

func (s *simulation) submit(kind, model string) {
	s.submitted[kind]++
	s.submitted[model]++
	s.rates[model][0] += 1 / 5.0
	s.rates[model][1] += 1
	s.waiting = append(s.waiting, request{model: model, waitingSince: s.nowMS})
}

// finishLoadsAndRuns ends the loads and runs that are due.
func (s *simulation) finishLoadsAndRuns() {
	for _, w := range s.workers {
		if w.loading != "" && s.nowMS >= w.busyUntil {
			w.units[w.loading], w.onDisk[w.loading], w.inMemory[w.loading] = s.nowMS, true, true
			w.loading = ""
		}
		for model, ends := range w.runEnds {
			kept := ends[:0]
			for _, end := range ends {
				if end > s.nowMS {
					kept = append(kept, end)
				}
			}
			w.runEnds[model] = kept
		}
	}
}

// serveWaiting sends waiting requests to the holder with the fewest running requests, and refuses those that cannot be
// served in their time.
func (s *simulation) serveWaiting() {
	kept := s.waiting[:0]
	for _, r := range s.waiting {
		best := s.leastBusyHolder(r.model)
		switch {
		case best != nil:
			s.serve(best, r)
		case s.cannotBeServed(r):
			s.refuse(r)
		default:
			kept = append(kept, r)
		}
	}
	s.waiting = kept
}

// cannotBeServed reports whether a request's model is not expected to be loaded before maxHoldMS has passed.
func (s *simulation) cannotBeServed(r request) bool {
	leftMS := float64(maxHoldMS - (s.nowMS - r.waitingSince))
	return leftMS <= 0 || s.expectedReadyMS[r.model] > leftMS
}

// retryDelayMS is the delay after which a refused request is sent again, once.
const retryDelayMS = 4000

func (s *simulation) refuse(r request) {
	s.unansweredHoldMS += float64(s.nowMS - r.waitingSince)
	s.refused[r.model]++
	if !r.isRetry {
		r.isRetry, r.waitingSince = true, s.nowMS+retryDelayMS
		s.retries = append(s.retries, retry{request: r, retryAt: s.nowMS + retryDelayMS})
	}
}

func (s *simulation) leastBusyHolder(model string) *worker {
	var best *worker
	for _, w := range s.workers {
		if _, holds := w.units[model]; holds && (best == nil || w.runCount() < best.runCount()) {
			best = w
		}
	}
	return best
}

func (w *worker) runCount() int {
	total := 0
	for _, ends := range w.runEnds {
		total += len(ends)
	}
	return total
}

// slowRunCount is the number of running requests from which a worker's first events are late.
const slowRunCount = 30

func (s *simulation) serve(w *worker, r request) {
	tookMS := s.nowMS - r.waitingSince
	s.answered[r.model]++
	if r.isRetry {
		tookMS += retryDelayMS
	}
	if w.runCount() >= slowRunCount {
		tookMS += busyTargetMS
	}
	kind, targetMS := r.model[:4], int64(busyTargetMS)
	if kind == "rare" {
		targetMS = int64(s.pattern.RareMS)
	}
	if tookMS <= targetMS {
		s.inTime[kind]++
	}
	w.units[r.model] = s.nowMS
	w.runEnds[r.model] = append(w.runEnds[r.model], s.nowMS+int64(s.pattern.RunMS))
}

// applyPlan makes a plan and executes its moves.
func (s *simulation) applyPlan() {
	decision := placer.Plan(s.planInput())
	s.expectedReadyMS = map[string]float64{}
	for _, wait := range decision.Waits {
		s.expectedReadyMS[wait.Model] = wait.ReadyMS
	}
	for _, move := range decision.Moves {
		var index int
		if _, err := fmt.Sscanf(move.Worker, "w%d", &index); err != nil {
			ginkgo.Fail(err.Error())
		}
		w := s.workers[index]
		durationMS := move.DurationMS
		if move.Tier == placer.TierStore {
			// The store fixes the time of a load at its start.
			atOnce := max(float64(s.storeLoads()+1)/float64(s.pattern.StoreAtOnce), 1)
			durationMS = float64(s.pattern.StoreMS) * atOnce
		}
		for _, victim := range move.Victims {
			for _, end := range w.runEnds[victim] {
				durationMS = max(durationMS, float64(end-s.nowMS)+s.models[move.Model].TierMS[move.Tier])
			}
			delete(w.units, victim)
		}
		if len(w.units) >= s.pattern.Places {
			s.overcommits++
		}
		w.loading, w.busyUntil = move.Model, s.nowMS+int64(durationMS)
	}
}

// storeLoads returns how many loads from the weight store are in progress.
func (s *simulation) storeLoads() int {
	count := 0
	for _, w := range s.workers {
		if w.loading != "" && !w.onDisk[w.loading] && !w.inMemory[w.loading] {
			count++
		}
	}
	return count
}

func (s *simulation) planInput() placer.Input {
	storeLoads := s.storeLoads()
	input := placer.Input{Models: s.models, Limits: placer.Limits{
		AllowedStoreLoads: 1000, MaxConcurrentStoreLoads: s.pattern.StoreBelief, StoreLoadsInProgress: storeLoads, TargetRunsPerHolder: 12.8,
	}}
	isHeld := map[string]bool{}
	running := map[string]int{}
	for i, w := range s.workers {
		worker := placer.Worker{
			ID: fmt.Sprintf("w%d", i), Own: true, AcceptsOrder: s.nowMS >= w.busyUntil && w.loading == "", Usable: true, MemoryMB: float64(100 * s.pattern.Places),
			Loading: w.loading, OnDisk: w.onDisk, InMemory: w.inMemory, Running: w.runCount(), BusyMS: float64(max(w.busyUntil-s.nowMS, 0)),
		}
		for model, usedAt := range w.units {
			isHeld[model] = true
			worker.Units = append(worker.Units, placer.Unit{Model: model, Running: len(w.runEnds[model]), IdleMS: float64(s.nowMS - usedAt)})
			running[model] += len(w.runEnds[model])
		}
		sort.Slice(worker.Units, func(a, b int) bool { return worker.Units[a].Model < worker.Units[b].Model })
		input.Workers = append(input.Workers, worker)
	}
	waitingByModel := map[string][]request{}
	for _, r := range s.waiting {
		waitingByModel[r.model] = append(waitingByModel[r.model], r)
	}
	for model, r := range s.rates {
		demand := placer.Demand{Model: model, Rate: r[0], Recent: r[1], Running: running[model], Waiting: len(waitingByModel[model]), Refused: s.refused[model]}
		if isHeld[model] || r[0] < 0.001 {
			s.unserved[model] = s.nowMS
		}
		demand.UnservedMS = float64(s.nowMS - s.unserved[model])
		if demand.Waiting > 0 {
			demand.WaitedMS = float64(s.nowMS - waitingByModel[model][0].waitingSince)
			demand.DueMS = float64(s.pattern.RareMS) - demand.WaitedMS
		}
		input.Demands = append(input.Demands, demand)
	}
	sort.Slice(input.Demands, func(a, b int) bool { return input.Demands[a].Model < input.Demands[b].Model })
	return input
}
