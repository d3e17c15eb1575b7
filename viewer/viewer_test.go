package viewer_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/scripter"
	"github.com/acaciaproxy/acaciaproxy/viewer"
)

func TestViewer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "viewer")
}

// event is something that a node learns at a time in milliseconds.
type event struct {
	At int64
	// Beat maps models to nothing: a heartbeat of worker w; Leaving is its state, Born its start.
	Beat    map[string]bool
	Leaving bool
	Born    int64
	// Told is a leader's announcement for w of an epoch: models with the milliseconds until they are ready.
	Told  map[string]int64
	Epoch int64
	// Silence is set when the stream to the leader ends, Absent when the worker refused a model.
	Silence bool
	Absent  string
	// Ready and Coming are the models that w must be believed to have and to load.
	Ready, Coming []string
}

var _ = ginkgo.Describe("what a worker holds", func() {
	var scripts []struct {
		Name   string
		Events []event
	}
	gomega.Expect(scripter.Read("testdata/views.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			list := registrar.New()
			view := viewer.New(list)
			start := time.Unix(7000, 0)
			for i, next := range s.Events {
				now := start.Add(time.Duration(next.At) * time.Millisecond)
				play(list, view, now, int64(i+1), next)
				gomega.Expect(models(view, now, true)).To(gomega.ConsistOf(lo.ToAnySlice(next.Ready)...), "ready at %d ms", next.At)
				gomega.Expect(models(view, now, false)).To(gomega.ConsistOf(lo.ToAnySlice(next.Coming)...), "coming at %d ms", next.At)
			}
		})
	}
})

func play(list *registrar.Registrar, view *viewer.Viewer, now time.Time, version int64, next event) {
	if next.Beat != nil {
		held := lo.MapValues(next.Beat, func(bool, string) []string { return nil })
		list.Apply(now, []registrar.Change{{Worker: registrar.Worker{
			ID: "w", Service: "s", Zone: "z", Held: held, Born: next.Born, Leaving: next.Leaving, RowVersion: version, SeenAt: now,
		}}})
	}
	if next.Told != nil {
		announcement := viewer.Announcement{Worker: "w", Zone: "z", Born: next.Born, HeardAt: now}
		for model, readyMS := range next.Told {
			unit := viewer.Unit{Model: model}
			if readyMS > 0 {
				unit.ReadyAt = now.Add(time.Duration(readyMS) * time.Millisecond)
			}
			announcement.Units = append(announcement.Units, unit)
		}
		view.Announce(now, "z", next.Epoch, []viewer.Announcement{announcement}, false)
	}
	if next.Silence {
		view.Silence("z")
	}
	if next.Absent != "" {
		view.SetAbsent(now, "w", next.Absent, "")
	}
}

func models(view *viewer.Viewer, now time.Time, ready bool) []string {
	return lo.Filter([]string{"a", "b", "c"}, func(model string, _ int) bool {
		holders := view.Holders(now, "s", model, "")
		return len(holders) > 0 && holders[0].ReadyAt.IsZero() == ready
	})
}
