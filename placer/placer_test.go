package placer_test

import (
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/placer"
	"github.com/acaciaproxy/acaciaproxy/scripter"
)

func TestPlacer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "placer")
}

// place is a short form of placer.Place.
type place struct {
	ID               string
	Other, Busy      bool
	Leaving, CutOff  bool
	Units            []placer.Unit
	Loading          string
	InMemory, OnDisk []string
	Running          int
}

// script is one input and the moves that must come out.
type script struct {
	Name       string
	Places     []place
	Demands    []placer.Demand
	StoreLoads int
	Passed     []string
	Moves      []expected
	// Waits maps models to when they should be ready, in milliseconds; it is checked when it is given.
	Waits map[string]float64
}

// expected is what a move must be.
type expected struct {
	Worker, Model, Tier, Reason string
	Victims                     []string
	Other                       bool
}

var _ = ginkgo.Describe("plans", func() {
	files, err := filepath.Glob("testdata/plans/*.json")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, file := range files {
		var scripts []script
		gomega.Expect(scripter.Read(file, &scripts)).To(gomega.Succeed())
		for _, s := range scripts {
			ginkgo.It(filepath.Base(file)+": "+s.Name, func() {
				decision := placer.Plan(inputOf(s))
				gomega.Expect(outcome(decision.Moves)).To(gomega.Equal(append([]expected{}, s.Moves...)))
				for model, endsMS := range s.Waits {
					gomega.Expect(decision.Waits).To(gomega.ContainElement(placer.Wait{Model: model, EndsMS: endsMS}))
				}
			})
		}
	}
})

// inputOf builds an input of workers that hold three models each.
func inputOf(s script) placer.Input {
	input := placer.Input{
		Models: map[string]placer.Model{}, Demands: s.Demands, Passed: map[string]bool{},
		Limits: placer.Limits{StoreLoads: s.StoreLoads, StoreAtOnce: 2, RunsPerHolder: 10},
	}
	for _, id := range s.Passed {
		input.Passed[id] = true
	}
	for _, p := range s.Places {
		place := placer.Place{
			ID: p.ID, Mine: !p.Other, Open: !p.Busy, Usable: !p.Leaving, CutOff: p.CutOff, MemoryMB: 300, Units: p.Units, Loading: p.Loading, Running: p.Running,
			InMemory: set(p.InMemory), OnDisk: set(p.OnDisk),
		}
		input.Places = append(input.Places, place)
		for _, unit := range p.Units {
			addModel(input.Models, unit.Model)
		}
	}
	for _, demand := range s.Demands {
		addModel(input.Models, demand.Model)
	}
	return input
}

func addModel(models map[string]placer.Model, name string) {
	models[name] = placer.Model{Name: name, MemoryMB: 100, TierMS: [3]float64{800, 1000, 6000}}
}

func set(names []string) map[string]bool {
	members := map[string]bool{}
	for _, name := range names {
		members[name] = true
	}
	return members
}

func outcome(moves []placer.Move) []expected {
	got := []expected{}
	for _, move := range moves {
		got = append(got, expected{
			Worker: move.Worker, Model: move.Model, Tier: move.Tier.String(), Reason: move.Reason, Victims: move.Victims, Other: !move.Mine,
		})
	}
	return got
}
