package leader

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/planner"
)

// BenchmarkPullReply measures the update of a view and the size of three pull
// replies: of the whole view, after the load of every worker changed, and after
// one unit changed its phase.
func BenchmarkPullReply(b *testing.B) {
	for _, workers := range []int{20, 40, 80} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var views []planner.WorkerView
			for i := range workers {
				view := planner.WorkerView{ID: fmt.Sprintf("worker-%04d", i), Running: 12, Incarnation: 1 << 60}
				for u := range 30 {
					view.Units = append(view.Units, planner.UnitView{Unit: fmt.Sprintf("model-%03d/adapter-%05d", u, i*30+u), Phase: planner.PhaseReady})
				}
				views = append(views, view)
			}
			var tracked zoneView
			tracked.reset(1)
			size := func(sequence int64) float64 {
				return float64(proto.Size(&nodewire.PullReply{Leading: true, Epoch: 1, Incarnation: "node@1", Workers: changedSince(tracked.workers, sequence)}))
			}
			for b.Loop() {
				views[0].Running++
				tracked.update(views)
			}
			b.ReportMetric(size(0), "whole-bytes")
			before := tracked.sequence
			for i := range views {
				views[i].Running++
			}
			tracked.update(views)
			b.ReportMetric(size(before), "all-loads-bytes")
			before = tracked.sequence
			views[0].Units[0].Phase = planner.PhaseUnloading
			tracked.update(views)
			b.ReportMetric(size(before), "one-unit-bytes")
		})
	}
}
