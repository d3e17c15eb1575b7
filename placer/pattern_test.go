package placer_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sort"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/placer"
	"github.com/acaciaproxy/acaciaproxy/scripter"
)

// pattern is a load that the plan is played against, and what it must serve.
type pattern struct {
	// Name says what the load is like.
	Name string
	// Workers hold Places models each, and copies of OnDisk others on their disks.
	Workers, Places, OnDisk int
	// Rare models are asked for evenly, RareRate times a second in all; an answer in RareMS is in time.
	Rare     int
	RareRate float64
	RareMS   int
	// Busy lists rates a second; requests run RunMS. From ShiftS on, the first Shift busy models are silent and others rise.
	Busy          []float64
	RunMS         int
	ShiftS, Shift int
	// BurstS is when rare models are asked for Burst times as often, for five seconds.
	BurstS int
	Burst  float64
	// CrashS is when a quarter of the workers restart empty, ReplaceS when half of them are replaced by new ones without copies.
	CrashS, ReplaceS int
	Seconds          int
	// VainShare is the most of all time that requests for rare models may be held and then not answered, as a share of
	// what they could be held; 1 when it is not given.
	VainShare float64
	// Unserved is how many of the rare models may never be answered though they were asked for four times or more.
	Unserved int
	// RareShare and BusyShare are the least shares in time, StaticRare what a placement that never changes serves at most.
	RareShare, BusyShare, StaticRare float64
}

var _ = ginkgo.Describe("load patterns", func() {
	files, err := filepath.Glob("testdata/patterns/*.json")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, file := range files {
		var p pattern
		gomega.Expect(scripter.Read(file, &p)).To(gomega.Succeed())
		ginkgo.It(p.Name, func() {
			planned := newPlay(p, true).run()
			static := newPlay(p, false).run()
			gomega.Expect(planned.share("rare")).To(gomega.BeNumerically(">=", p.RareShare), "rare models in time")
			gomega.Expect(planned.share("busy")).To(gomega.BeNumerically(">=", p.BusyShare), "busy models in time")
			gomega.Expect(static.share("rare")).To(gomega.BeNumerically("<=", p.StaticRare), "rare models in time without moves")
			if p.VainShare > 0 {
				gomega.Expect(planned.vainMS/float64(holdMS*planned.asked["rare"])).To(gomega.BeNumerically("<=", p.VainShare), "time held in vain")
				gomega.Expect(len(planned.starved())).To(gomega.BeNumerically("<=", p.Unserved), "rare models never answered: %v", planned.starved())
			}
			gomega.Expect(planned.overfull).To(gomega.BeZero(), "loads beyond a worker's memory")
		})
	}
})

// storeAtOnce is how many loads from the weight store may be under way.
const storeAtOnce = 3

// stepMS is the pause between two plans, holdMS how long requests wait at most, busyAimMS within what a busy model's answer is in time.
const (
	stepMS    = 50
	holdMS    = 12000
	busyAimMS = 300
)

// worker is a played worker.
type worker struct {
	units  map[string]int64 // when each was last used
	disk   map[string]bool
	warm   map[string]bool
	busyTo int64
	loads  string
	runs   map[string][]int64 // ends of runs
}

type waiting struct {
	model string
	since int64
	// again is set when it was refused before.
	again bool
}

// returning is a refused request that comes back.
type returning struct {
	waiting
	at int64
}

// play is a pattern being played.
type play struct {
	pattern pattern
	plans   bool
	random  *rand.Rand
	now     int64
	workers []*worker
	models  map[string]placer.Model
	rates   map[string]*[2]float64
	waiting []waiting
	// expects holds when models without a move should be ready, in milliseconds.
	expects   map[string]float64
	returning []returning
	refused   map[string]float64
	unserved  map[string]int64
	// vainMS is for how long requests were held that got no answer.
	vainMS   float64
	answered map[string]int
	asked    map[string]int
	inTime   map[string]int
	overfull int
}

func newPlay(p pattern, plans bool) *play {
	y := &play{
		pattern: p, plans: plans, random: rand.New(rand.NewPCG(1, 2)), models: map[string]placer.Model{}, rates: map[string]*[2]float64{},
		asked: map[string]int{}, inTime: map[string]int{}, expects: map[string]float64{}, refused: map[string]float64{},
		unserved: map[string]int64{}, answered: map[string]int{},
	}
	var names []string
	for i := range p.Rare {
		names = append(names, fmt.Sprintf("rare%d", i))
	}
	for i := range 2 * len(p.Busy) {
		names = append(names, fmt.Sprintf("busy%d", i))
	}
	for _, name := range names {
		y.models[name] = placer.Model{Name: name, MemoryMB: 100, TierMS: [3]float64{800, 1050, 6000}}
		y.rates[name] = &[2]float64{}
	}
	for i := range p.Workers {
		w := &worker{units: map[string]int64{}, disk: map[string]bool{}, warm: map[string]bool{}, runs: map[string][]int64{}}
		for j := range p.OnDisk {
			w.disk[names[(i*p.OnDisk+j)%len(names)]] = true
		}
		w.units[fmt.Sprintf("busy%d", i%len(p.Busy))] = 0
		for j := 0; len(w.units) < p.Places; j++ {
			w.units[fmt.Sprintf("rare%d", (i*p.Places+j)%p.Rare)] = 0
		}
		y.workers = append(y.workers, w)
	}
	return y
}

func (y *play) share(kind string) float64 {
	return float64(y.inTime[kind]) / float64(max(y.asked[kind], 1))
}

func (y *play) run() *play {
	for y.now = 0; y.now < int64(y.pattern.Seconds)*1000; y.now += stepMS {
		y.crash()
		y.replace()
		y.arrive()
		y.finish()
		y.serve()
		if y.plans {
			y.plan()
		}
	}
	return y
}

func (y *play) crash() {
	if y.pattern.CrashS == 0 || y.now != int64(y.pattern.CrashS)*1000 {
		return
	}
	for _, w := range y.workers[:len(y.workers)/4] {
		w.units, w.warm, w.runs, w.loads = map[string]int64{}, map[string]bool{}, map[string][]int64{}, ""
		w.busyTo = y.now + 2000
	}
}

// replace takes half of the workers away and adds new ones without copies.
func (y *play) replace() {
	if y.pattern.ReplaceS == 0 || y.now != int64(y.pattern.ReplaceS)*1000 {
		return
	}
	for i := range len(y.workers) / 2 {
		y.workers[i] = &worker{units: map[string]int64{}, disk: map[string]bool{}, warm: map[string]bool{}, runs: map[string][]int64{}, busyTo: y.now + 1000}
	}
}

// starved returns the rare models that were asked for often and never answered.
func (y *play) starved() []string {
	var names []string
	for i := range y.pattern.Rare {
		if name := fmt.Sprintf("rare%d", i); y.asked[name] >= 4 && y.answered[name] == 0 {
			names = append(names, name)
		}
	}
	return names
}

// arrive draws the requests of one step.
func (y *play) arrive() {
	rareRate := y.pattern.RareRate
	if second := int(y.now / 1000); y.pattern.Burst > 0 && second >= y.pattern.BurstS && second < y.pattern.BurstS+5 {
		rareRate *= y.pattern.Burst
	}
	for range y.draw(rareRate) {
		y.ask("rare", fmt.Sprintf("rare%d", y.random.IntN(y.pattern.Rare)))
	}
	for i, rate := range y.pattern.Busy {
		name := fmt.Sprintf("busy%d", i)
		if y.pattern.ShiftS > 0 && y.now >= int64(y.pattern.ShiftS)*1000 && i < y.pattern.Shift {
			name = fmt.Sprintf("busy%d", i+len(y.pattern.Busy))
		}
		for range y.draw(rate) {
			y.ask("busy", name)
		}
	}
	kept := y.returning[:0]
	for _, r := range y.returning {
		if r.at > y.now {
			kept = append(kept, r)
			continue
		}
		y.waiting = append(y.waiting, r.waiting)
	}
	y.returning = kept
	for model := range y.refused {
		y.refused[model] *= 1 - stepMS/5000.0
	}
	for _, r := range y.rates {
		r[0] *= 1 - stepMS/5000.0
		r[1] *= 1 - stepMS/1000.0
	}
}

// draw returns a number of arrivals in one step at a rate a second.
func (y *play) draw(rate float64) int {
	expected := rate * stepMS / 1000
	count := int(expected)
	if y.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

func (y *play) ask(kind, model string) {
	y.asked[kind]++
	y.asked[model]++
	y.rates[model][0] += 1 / 5.0
	y.rates[model][1] += 1
	y.waiting = append(y.waiting, waiting{model: model, since: y.now})
}

// finish ends loads and runs.
func (y *play) finish() {
	for _, w := range y.workers {
		if w.loads != "" && y.now >= w.busyTo {
			w.units[w.loads], w.disk[w.loads], w.warm[w.loads] = y.now, true, true
			w.loads = ""
		}
		for model, ends := range w.runs {
			kept := ends[:0]
			for _, end := range ends {
				if end > y.now {
					kept = append(kept, end)
				}
			}
			w.runs[model] = kept
		}
	}
}

// serve sends what waits to the least loaded holder.
func (y *play) serve() {
	kept := y.waiting[:0]
	for _, request := range y.waiting {
		best := y.holder(request.model)
		switch {
		case best != nil:
			y.answer(best, request)
		case y.isHopeless(request):
			y.refuse(request)
		default:
			kept = append(kept, request)
		}
	}
	y.waiting = kept
}

// isHopeless reports whether a request will not be served while it may be held.
func (y *play) isHopeless(request waiting) bool {
	left := float64(holdMS - (y.now - request.since))
	return left <= 0 || y.expects[request.model] > left
}

// comeBackMS is when a refused request comes back, once.
const comeBackMS = 4000

func (y *play) refuse(request waiting) {
	y.vainMS += float64(y.now - request.since)
	y.refused[request.model]++
	if !request.again {
		request.again, request.since = true, y.now+comeBackMS
		y.returning = append(y.returning, returning{waiting: request, at: y.now + comeBackMS})
	}
}

func (y *play) holder(model string) *worker {
	var best *worker
	for _, w := range y.workers {
		if _, holds := w.units[model]; holds && (best == nil || w.load() < best.load()) {
			best = w
		}
	}
	return best
}

func (w *worker) load() int {
	total := 0
	for _, ends := range w.runs {
		total += len(ends)
	}
	return total
}

// slowRuns is the load of a worker from which its first events are late.
const slowRuns = 30

func (y *play) answer(w *worker, request waiting) {
	took := y.now - request.since
	y.answered[request.model]++
	if request.again {
		took += comeBackMS
	}
	if w.load() >= slowRuns {
		took += busyAimMS
	}
	kind, aim := request.model[:4], int64(busyAimMS)
	if kind == "rare" {
		aim = int64(y.pattern.RareMS)
	}
	if took <= aim {
		y.inTime[kind]++
	}
	w.units[request.model] = y.now
	w.runs[request.model] = append(w.runs[request.model], y.now+int64(y.pattern.RunMS))
}

// plan plans and carries the moves out.
func (y *play) plan() {
	decision := placer.Plan(y.input())
	y.expects = map[string]float64{}
	for _, wait := range decision.Waits {
		y.expects[wait.Model] = wait.EndsMS
	}
	for _, move := range decision.Moves {
		var index int
		if _, err := fmt.Sscanf(move.Worker, "w%d", &index); err != nil {
			ginkgo.Fail(err.Error())
		}
		w := y.workers[index]
		takes := move.TakesMS
		for _, victim := range move.Victims {
			for _, end := range w.runs[victim] {
				takes = max(takes, float64(end-y.now)+y.models[move.Model].TierMS[move.Tier])
			}
			delete(w.units, victim)
		}
		if len(w.units) >= y.pattern.Places {
			y.overfull++
		}
		w.loads, w.busyTo = move.Model, y.now+int64(takes)
	}
}

func (y *play) input() placer.Input {
	underWay := 0
	for _, w := range y.workers {
		if w.loads != "" && !w.disk[w.loads] && !w.warm[w.loads] {
			underWay++
		}
	}
	input := placer.Input{Models: y.models, Limits: placer.Limits{
		StoreLoads: storeAtOnce - underWay, StoreAtOnce: storeAtOnce, StoreUnderWay: underWay, RunsPerHolder: 12.8,
	}}
	held := map[string]bool{}
	running := map[string]int{}
	for i, w := range y.workers {
		place := placer.Place{
			ID: fmt.Sprintf("w%d", i), Mine: true, Open: y.now >= w.busyTo && w.loads == "", Usable: true, MemoryMB: float64(100 * y.pattern.Places),
			Loading: w.loads, OnDisk: w.disk, InMemory: w.warm, Running: w.load(),
		}
		for model, usedAt := range w.units {
			held[model] = true
			place.Units = append(place.Units, placer.Unit{Model: model, Running: len(w.runs[model]), IdleMS: float64(y.now - usedAt)})
			running[model] += len(w.runs[model])
		}
		sort.Slice(place.Units, func(a, b int) bool { return place.Units[a].Model < place.Units[b].Model })
		input.Places = append(input.Places, place)
	}
	waits := map[string][]waiting{}
	for _, request := range y.waiting {
		waits[request.model] = append(waits[request.model], request)
	}
	for model, r := range y.rates {
		demand := placer.Demand{Model: model, Rate: r[0], Recent: r[1], Running: running[model], Waiting: len(waits[model]), Refused: y.refused[model]}
		if held[model] || r[0] < 0.001 {
			y.unserved[model] = y.now
		}
		demand.UnservedMS = float64(y.now - y.unserved[model])
		if demand.Waiting > 0 {
			demand.WaitedMS = float64(y.now - waits[model][0].since)
			demand.DueMS = float64(y.pattern.RareMS) - demand.WaitedMS
		}
		input.Demands = append(input.Demands, demand)
	}
	sort.Slice(input.Demands, func(a, b int) bool { return input.Demands[a].Model < input.Demands[b].Model })
	return input
}
