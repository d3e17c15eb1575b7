package fleetleader

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// deployment is the size of a deployment in which one zone's leader is measured.
type deployment struct{ nodes, workers, models, zones int }

// benchDeployments are the users' deployment, the same after it has grown, and the size that the design is made for.
var benchDeployments = []deployment{{8, 18, 101, 3}, {75, 90, 500, 3}, {400, 640, 120, 8}}

// benchReportWait is long enough to read the reports of all workers.
const benchReportWait = 100 * time.Millisecond

// newBenchLeader returns the leader of zone z0, with the demand of all nodes received.
func newBenchLeader(d deployment) *Leader {
	models := map[string]cataloger.Model{}
	for i := range d.models {
		models[benchModel(i)] = cataloger.Model{Name: benchModel(i), MemoryMB: 70000, StoreMS: 13200, DiskMS: 1100, MemoryMS: 800}
	}
	catalog := cataloger.New(1, nil, []cataloger.Service{{Name: "s", Models: models, MemoryMB: 230000, AdapterSlots: 8, LoadsPerS: 68}}, cataloger.Limits{})
	list := registrar.New()
	tracker := fleettracker.New(list)
	now := time.Now()
	for i := range d.workers {
		w := registrar.Worker{
			ID: fmt.Sprintf("w%d", i), Service: "s", Zone: fmt.Sprintf("z%d", i%d.zones), Slots: 16, Incarnation: 1, RowVersion: int64(i + 1),
			Loaded: map[string][]string{}, OnDisk: map[string]bool{}, InMemory: map[string]bool{},
		}
		for j := range 3 {
			w.Loaded[benchModel((i*3+j)%d.models)] = nil
		}
		for j := range 18 {
			w.OnDisk[benchModel((i*7+j)%d.models)] = true
		}
		list.Apply(now, []registrar.Change{{Worker: w}})
	}
	for zone := 1; zone < d.zones; zone++ {
		tracker.ApplyAnnouncements(now.Add(time.Hour), fmt.Sprintf("z%d", zone), 1, nil, true)
	}
	leader := New(Dependencies{
		CrashesSince:    func(first int64) ([]*nodewire.Suspicion, int64) { return nil, first },
		BrittleSince:    func(first int64) ([]*nodewire.BrittleService, int64) { return nil, first },
		DeparturesSince: func(first int64) ([]*nodewire.Departure, int64) { return nil, first },
		LimitsSince:     func(first int64) ([]*nodewire.WorkerLimit, int64) { return nil, first }, Limited: func(string, int64) bool { return false },
		Node: "n", Zone: "z0", Catalog: func() *cataloger.Catalog { return catalog }, Workers: list, Tracker: tracker, ListFreshness: readNow, Recorder: recorder.New(),
		Lease: Lease{
			Leading: func() (int64, bool) { return 1, true }, QuietRemaining: func() time.Duration { return time.Hour },
			Leases: func() []*nodewire.LeaseView { return nil }, CheckOrder: func(int64) error { return nil },
		},
		SendOrder: func(context.Context, *registrar.Worker, Order, func() error) (Outcome, error) {
			return OutcomeConflict, nil
		},
		ReadReport: func(_ context.Context, w *registrar.Worker) (Report, error) {
			return Report{Incarnation: 1, Loaded: w.Loaded, OnDisk: w.OnDisk, InMemory: w.InMemory}, nil
		},
	})
	leader.step()
	time.Sleep(benchReportWait) // Reports are read by goroutines.
	for i := range d.nodes {
		leader.ReceiveDemand(benchDemand(d, i, 1))
	}
	return leader
}

func benchModel(i int) string { return fmt.Sprintf("model%d", i) }

// benchDemand returns a node's demand message: requests for all models, and at one node in five a waiting request for
// one model in ten.
func benchDemand(d deployment, node, asked int) *nodewire.Demand {
	message := &nodewire.Demand{Node: fmt.Sprintf("n%d", node), Zone: fmt.Sprintf("z%d", node%d.zones), Whole: asked == 1}
	for i := range d.models {
		demand := &nodewire.ModelDemand{Service: "s", Model: benchModel(i), Asked: int64(asked)}
		if i%10 == 0 && node%5 == 0 {
			demand.Waiting, demand.DueMs = 1, 2500
		}
		message.Models = append(message.Models, demand)
	}
	for i := range d.workers {
		if (i+node)%20 == 0 {
			message.Runs = append(message.Runs, &nodewire.Run{Worker: fmt.Sprintf("w%d", i), Model: benchModel(i * 3 % d.models), Running: 1})
		}
	}
	return message
}

// BenchmarkStep measures one step of a leader and one plan; the plan is called directly, since step skips it in the
// quiet period.
func BenchmarkStep(b *testing.B) {
	for _, d := range benchDeployments {
		b.Run(fmt.Sprintf("%d nodes, %d workers", d.nodes, d.workers), func(b *testing.B) {
			leader := newBenchLeader(d)
			b.ReportAllocs()
			for b.Loop() {
				leader.step()
				leader.mu.Lock()
				leader.plan(time.Now(), leader.dependencies.Catalog())
				leader.mu.Unlock()
			}
		})
	}
}

// BenchmarkReceiveDemand measures receiving a demand message with requests for eight models.
func BenchmarkReceiveDemand(b *testing.B) {
	for _, d := range benchDeployments {
		b.Run(fmt.Sprintf("%d nodes, %d workers", d.nodes, d.workers), func(b *testing.B) {
			leader := newBenchLeader(d)
			asked := 1
			b.ReportAllocs()
			for b.Loop() {
				asked++
				message := benchDemand(deployment{nodes: d.nodes, workers: d.workers, models: 8, zones: d.zones}, asked%d.nodes, asked)
				leader.ReceiveDemand(message)
			}
		})
	}
}
