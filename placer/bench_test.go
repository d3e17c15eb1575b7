package placer_test

import (
	"fmt"
	"testing"

	"github.com/acaciaproxy/acaciaproxy/placer"
)

// BenchmarkPlan plans for workers that hold three of 120 models each, while one
// model in ten waits.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{18, 160, 640} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			input := benchInput(workers)
			b.ReportAllocs()
			for b.Loop() {
				placer.Plan(input)
			}
		})
	}
}

func benchInput(workers int) placer.Input {
	const models = 120
	input := placer.Input{Models: map[string]placer.Model{}, Limits: placer.Limits{StoreLoads: 1, RunsPerHolder: 10}}
	name := func(i int) string { return fmt.Sprintf("m%d", i%models) }
	for i := range models {
		addModel(input.Models, name(i))
		demand := placer.Demand{Model: name(i), Rate: 0.2, Recent: 0.2}
		if i%10 == 0 {
			demand.Waiting, demand.DueMS = 1, 2500
		}
		input.Demands = append(input.Demands, demand)
	}
	for i := range workers {
		place := placer.Place{ID: fmt.Sprintf("w%d", i), Mine: i%8 == 0, Open: i%3 == 0, Usable: true, MemoryMB: 300, OnDisk: map[string]bool{}, InMemory: map[string]bool{}}
		for j := range 20 {
			place.OnDisk[name(i*7+j)] = true
		}
		for j := range 3 {
			if model := (i*3 + j) % models; model%10 != 0 {
				place.Units = append(place.Units, placer.Unit{Model: name(model), IdleMS: 3000})
			}
		}
		input.Places = append(input.Places, place)
	}
	return input
}
