package leader

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/planner"
)

// BenchmarkPullReply measures the bytes of a whole view, of one in which the
// load of every worker changed, and of one in which one unit changed.
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
			var v zoneView
			v.reset(1)
			size := func(sequence int64) float64 {
				return float64(proto.Size(&nodewire.PullReply{Leading: true, Epoch: 1, Incarnation: "node@1", Workers: since(v.workers, sequence)}))
			}
			for b.Loop() {
				views[0].Running++
				v.update(views)
			}
			b.ReportMetric(size(0), "whole-bytes")
			before := v.sequence
			for i := range views {
				views[i].Running++
			}
			v.update(views)
			b.ReportMetric(size(before), "all-loads-bytes")
			before = v.sequence
			views[0].Units[0].Phase = planner.PhaseUnloading
			v.update(views)
			b.ReportMetric(size(before), "one-unit-bytes")
		})
	}
}
