package configfollower

import (
	"fmt"
	"strings"
	"testing"

	"github.com/acaciaproxy/acaciaproxy/configreader"
)

// BenchmarkApplyChange measures the time to apply one published change at a node whose
// configuration has many adapters.
func BenchmarkApplyChange(b *testing.B) {
	for _, adapters := range []int{500, 2000, 8000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			var snapshot strings.Builder
			snapshot.WriteString(`{"deployments": [{"name": "d", "zones": ["z"], "rate": 1, "parallel": 1}], "workers": [{"name": "w", "zone": "z", "count": 1, "memory": 80}],
"versions": [{"name": "v", "checkpoint": "c", "memory": 14}], "models": [{"name": "m", "version": "v"}], "adapters": [`)
			for i := range adapters {
				fmt.Fprintf(&snapshot, `{"name": "a%05d", "model": "m", "checkpoint": "c%05d"},`, i, i)
			}
			snapshot.WriteString(`]}`)
			follower := New(nil, nil)
			if err := follower.ApplySnapshot(1, []byte(snapshot.String())); err != nil {
				b.Fatal(err)
			}
			version := int64(1)
			for b.Loop() {
				version++
				edit := configreader.Edit{Kind: configreader.KindAdapter, Name: "a00001", Body: fmt.Sprintf(`{"name":"a00001","model":"m","checkpoint":"new%d"}`, version)}
				if err := follower.ApplyChange(Change{Version: version, Edits: []configreader.Edit{edit}}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
