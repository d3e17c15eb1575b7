package placer_test

import (
	"cmp"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/placer"
)

func TestPlacer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "placer")
}

// workerCase describes a placer.Worker. Other stands for not Own, Busy for not AcceptsOrder, Leaving for not Usable.
type workerCase struct {
	ID               string
	Other, Busy      bool
	Leaving, CutOff  bool
	Limited          bool
	Units            []placer.Unit
	Loading          string
	InMemory, OnDisk []string
	Running          int
	BusyMS           float64
}

// planCase is an input of Plan and the moves expected for it, in their order. Places are the workers, StoreLoads is
// Limits.AllowedStoreLoads, InProgress Limits.StoreLoadsInProgress, and Passed holds the IDs of the skipped workers.
type planCase struct {
	Name       string
	Places     []workerCase
	Demands    []placer.Demand
	StoreLoads int
	InProgress int
	// Limit is Limits.MaxConcurrentStoreLoads; 2 if it is 0.
	Limit  int
	Passed []string
	Moves  []expectedMove
	// Waits maps models to their expected Wait.ReadyMS; other waits are not checked.
	Waits map[string]float64
}

// expectedMove is the part of a placer.Move that is checked. Other stands for not Own.
type expectedMove struct {
	Worker, Model, Tier, Reason string
	Victims                     []string
	Other                       bool
}

var _ = ginkgo.Describe("plans", func() {
	files, err := filepath.Glob("testdata/plans/*.json")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, file := range files {
		var cases []planCase
		gomega.Expect(casereader.Read(file, &cases)).To(gomega.Succeed())
		for _, c := range cases {
			ginkgo.It(filepath.Base(file)+": "+c.Name, func() {
				decision := placer.Plan(newInput(c))
				gomega.Expect(summarize(decision.Moves)).To(gomega.Equal(append([]expectedMove{}, c.Moves...)))
				for model, readyMS := range c.Waits {
					gomega.Expect(decision.Waits).To(gomega.ContainElement(placer.Wait{Model: model, ReadyMS: readyMS}))
				}
			})
		}
	}
})

// newInput builds an input of workers with memory for three models each.
func newInput(c planCase) placer.Input {
	input := placer.Input{
		Models: map[string]placer.Model{}, Demands: c.Demands, Skipped: map[string]bool{},
		Limits: placer.Limits{AllowedStoreLoads: c.StoreLoads, MaxConcurrentStoreLoads: cmp.Or(c.Limit, 2), StoreLoadsInProgress: c.InProgress, TargetRunsPerHolder: 10},
	}
	for _, id := range c.Passed {
		input.Skipped[id] = true
	}
	for _, w := range c.Places {
		worker := placer.Worker{
			ID: w.ID, Own: !w.Other, AcceptsOrder: !w.Busy, Usable: !w.Leaving, CutOff: w.CutOff, Limited: w.Limited, MemoryMB: 300, Units: w.Units, Loading: w.Loading, Running: w.Running, BusyMS: w.BusyMS,
			InMemory: newSet(w.InMemory), OnDisk: newSet(w.OnDisk),
		}
		input.Workers = append(input.Workers, worker)
		for _, unit := range w.Units {
			addModel(input.Models, unit.Model)
		}
	}
	for _, demand := range c.Demands {
		addModel(input.Models, demand.Model)
	}
	return input
}

func addModel(models map[string]placer.Model, name string) {
	models[name] = placer.Model{Name: name, MemoryMB: 100, TierMS: [3]float64{800, 1000, 6000}}
}

func newSet(names []string) map[string]bool {
	members := map[string]bool{}
	for _, name := range names {
		members[name] = true
	}
	return members
}

func summarize(moves []placer.Move) []expectedMove {
	summaries := []expectedMove{}
	for _, move := range moves {
		summaries = append(summaries, expectedMove{
			Worker: move.Worker, Model: move.Model, Tier: move.Tier.String(), Reason: move.Reason, Victims: move.Victims, Other: !move.Own,
		})
	}
	return summaries
}
