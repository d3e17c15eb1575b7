package placer_test

import (
	"fmt"
	"testing"

	"github.com/acaciaproxy/acaciaproxy/placer"
)

// BenchmarkPlan plans for workers that have up to three of 120 models loaded each, while
// requests wait for one model in ten.
func BenchmarkPlan(b *testing.B) {
	for _, workerCount := range []int{18, 160, 640} {
		b.Run(fmt.Sprint(workerCount), func(b *testing.B) {
			input := benchInput(workerCount)
			b.ReportAllocs()
			for b.Loop() {
				placer.Plan(input)
			}
		})
	}
}

func benchInput(workerCount int) placer.Input {
	const modelCount = 120
	input := placer.Input{Models: map[string]placer.Model{}, Limits: placer.Limits{AllowedStoreLoads: 1, MaxConcurrentStoreLoads: 1, TargetRunsPerHolder: 10}}
	modelName := func(i int) string { return fmt.Sprintf("m%d", i%modelCount) }
	for i := range modelCount {
		addModel(input.Models, modelName(i))
		demand := placer.Demand{Model: modelName(i), Rate: 0.2, Recent: 0.2}
		if i%10 == 0 {
			demand.Waiting, demand.DueMS = 1, 2500
		}
		input.Demands = append(input.Demands, demand)
	}
	for i := range workerCount {
		worker := placer.Worker{ID: fmt.Sprintf("w%d", i), Own: i%8 == 0, AcceptsOrder: i%3 == 0, Usable: true, MemoryMB: 300, OnDisk: map[string]bool{}, InMemory: map[string]bool{}}
		for j := range 20 {
			worker.OnDisk[modelName(i*7+j)] = true
		}
		for j := range 3 {
			if model := (i*3 + j) % modelCount; model%10 != 0 {
				worker.Units = append(worker.Units, placer.Unit{Model: modelName(model), IdleMS: 3000})
			}
		}
		input.Workers = append(input.Workers, worker)
	}
	return input
}
