package configurer

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// sized returns the text of a configuration with adapters, and a route for each.
func sized(adapters int) []byte {
	var text strings.Builder
	text.WriteString(`{"deployments": [{"name": "d", "zones": ["z"], "rate": 12, "parallel": 4}],
"workers": [{"name": "w", "zone": "z", "count": 80, "memory": 640}],
"versions": [{"name": "v", "checkpoint": "c", "memory": 14}], "models": [{"name": "m", "version": "v"}], "adapters": [`)
	for i := range adapters {
		if i > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"name": "adapter-%05d", "model": "m", "checkpoint": "adapters/%05d"}`, i, i)
	}
	text.WriteString(`], "routes": [`)
	for i := range adapters {
		if i > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"name": "route-%05d", "adapter": "adapter-%05d"}`, i, i)
	}
	text.WriteString(`]}`)
	return []byte(text.String())
}

var sizes = []int{500, 2000, 8000, 19000}

// BenchmarkParse measures what a whole configuration costs to parse and to hold.
func BenchmarkParse(b *testing.B) {
	for _, adapters := range sizes {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			text := sized(adapters)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			held, err := Parse("bench", text)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				if _, err := Parse("bench", text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "held-KiB")
			b.ReportMetric(float64(len(text))/1024, "text-KiB")
			runtime.KeepAlive(held)
		})
	}
}

// BenchmarkApply measures what one change costs at a node.
func BenchmarkApply(b *testing.B) {
	for _, adapters := range sizes {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			held, err := Parse("bench", sized(adapters))
			if err != nil {
				b.Fatal(err)
			}
			edits := []Edit{{Kind: KindAdapter, Name: "adapter-00001", Body: `{"name":"adapter-00001","model":"m","checkpoint":"new"}`}}
			for b.Loop() {
				if _, err := held.Apply(edits); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
