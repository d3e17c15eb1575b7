package fleettracker_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

func TestFleetTracker(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fleettracker")
}

// event is what a node learns about worker w at the time At, in milliseconds, and the view that must follow from it.
type event struct {
	At int64
	// Beat holds the models of a heartbeat; the values are not used. Leaving and Born are those of the heartbeat.
	Beat    map[string]bool
	Leaving bool
	Born    int64
	// Announced holds the models of a leader's announcement for Epoch, with the milliseconds until they are ready.
	Announced map[string]int64 `json:"Told"`
	Epoch     int64
	// Silence is set when the stream to the leader ends, Absent names a model that the worker refused.
	Silence bool
	Absent  string
	// Ready and Coming are the models that the view must show as loaded and as being loaded.
	Ready, Coming []string
}

var _ = ginkgo.Describe("models loaded on a worker", func() {
	var cases []struct {
		Name   string
		Events []event
	}
	gomega.Expect(casereader.Read("testdata/views.json", &cases)).To(gomega.Succeed())
	for _, c := range cases {
		ginkgo.It(c.Name, func() {
			list := registrar.New()
			tracker := fleettracker.New(list)
			start := time.Unix(7000, 0)
			for i, e := range c.Events {
				now := start.Add(time.Duration(e.At) * time.Millisecond)
				apply(list, tracker, now, int64(i+1), e)
				gomega.Expect(visibleModels(tracker, now, true)).To(gomega.ConsistOf(lo.ToAnySlice(e.Ready)...), "loaded at %d ms", e.At)
				gomega.Expect(visibleModels(tracker, now, false)).To(gomega.ConsistOf(lo.ToAnySlice(e.Coming)...), "being loaded at %d ms", e.At)
			}
		})
	}
})

func apply(list *registrar.Registrar, tracker *fleettracker.Tracker, now time.Time, version int64, e event) {
	if e.Beat != nil {
		loaded := lo.MapValues(e.Beat, func(bool, string) []string { return nil })
		list.Apply(now, []registrar.Change{{Worker: registrar.Worker{
			ID: "w", Service: "s", Zone: "z", Loaded: loaded, Incarnation: e.Born, Leaving: e.Leaving, RowVersion: version, SeenAt: now,
		}}})
	}
	if e.Announced != nil {
		announcement := fleettracker.Announcement{Worker: "w", Zone: "z", Incarnation: e.Born, ReceivedAt: now}
		for model, readyMS := range e.Announced {
			unit := fleettracker.Unit{Model: model}
			if readyMS > 0 {
				unit.ReadyAt = now.Add(time.Duration(readyMS) * time.Millisecond)
			}
			announcement.Units = append(announcement.Units, unit)
		}
		tracker.ApplyAnnouncements(now, "z", e.Epoch, []fleettracker.Announcement{announcement}, false)
	}
	if e.Silence {
		tracker.MarkLeaderLost("z")
	}
	if e.Absent != "" {
		tracker.MarkRefused(now, "w", e.Absent, "")
	}
}

func visibleModels(tracker *fleettracker.Tracker, now time.Time, loaded bool) []string {
	return lo.Filter([]string{"a", "b", "c"}, func(model string, _ int) bool {
		holders := tracker.Holders(now, "s", model, "")
		return len(holders) > 0 && holders[0].ReadyAt.IsZero() == loaded
	})
}
