package planner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/acaciaproxy/acaciaproxy/evictor"
)

// newLoadedPlanner returns a planner whose workers each have the given number of
// ready units, and the time at which they were last used.
func newLoadedPlanner(workers, unitsEach int) (*Planner, time.Time) {
	now := time.Unix(1_000_000, 0)
	p := New(now, "z", "n@1", 1, evictor.NewHazard(1, 1))
	p.SetLimits(Limits{LoadRate: 12, ParallelLoads: 4, ParallelAdapterLoads: 32})
	var specs []WorkerSpec
	for i := range workers {
		specs = append(specs, WorkerSpec{ID: fmt.Sprintf("w%04d", i), Memory: 640 << 30, Slots: 32, Accelerators: 8})
	}
	p.SetWorkers(specs)
	for i, spec := range specs {
		row := Row{Epoch: 1, Sequence: 1}
		report := Report{Incarnation: 1, Sequence: 1, Orders: []string{p.orderPrefix() + "9999"}}
		for u := range unitsEach {
			unit := fmt.Sprintf("v%d/a%d", u%4, i*unitsEach+u)
			row.Charges = append(row.Charges, Charge{Unit: unit, Memory: 1 << 28, Phase: PhaseReady, Settled: true})
			report.Units = append(report.Units, UnitState{Unit: unit, Ready: true})
			p.RecordUse(UnitSpec{Unit: unit, Memory: 1 << 28, LoadMS: 12, MaxReplicas: 1}, now, 1)
		}
		p.Adopt(now, spec.ID, row, 1, 1)
		p.Report(now, spec.ID, report)
	}
	p.Actions()
	return p, now
}

// BenchmarkTick measures one tick and the heap memory that the planner uses.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{10, 20, 40, 80} {
		for _, unitsEach := range []int{10, 30} {
			b.Run(fmt.Sprintf("workers=%d/units=%d", workers, workers*unitsEach), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				p, now := newLoadedPlanner(workers, unitsEach)
				runtime.GC()
				runtime.ReadMemStats(&after)
				for b.Loop() {
					p.Tick(now)
					p.Actions()
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "heap-KiB")
				runtime.KeepAlive(p)
			})
		}
	}
}
