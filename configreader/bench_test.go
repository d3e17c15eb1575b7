package configreader

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// configurationText returns a configuration with a number of adapters and a route for each.
func configurationText(adapters int) []byte {
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

// adapterCounts are the numbers of adapters that the benchmarks run with.
var adapterCounts = []int{500, 2000, 8000, 19000}

// BenchmarkParse measures the time to parse a complete configuration, the heap that the
// parsed configuration takes (held-KiB) and the size of its text (text-KiB).
func BenchmarkParse(b *testing.B) {
	for _, adapters := range adapterCounts {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			text := configurationText(adapters)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			configuration, err := Parse("bench", text)
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
			runtime.KeepAlive(configuration)
		})
	}
}

// BenchmarkApply measures the time to apply one edit to a configuration.
func BenchmarkApply(b *testing.B) {
	for _, adapters := range adapterCounts {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			configuration, err := Parse("bench", configurationText(adapters))
			if err != nil {
				b.Fatal(err)
			}
			edits := []Edit{{Kind: KindAdapter, Name: "adapter-00001", Body: `{"name":"adapter-00001","model":"m","checkpoint":"new"}`}}
			for b.Loop() {
				if _, err := configuration.Apply(edits); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
