// Package recorder counts what a node does and keeps histograms for each
// tenant and class. Everything is published through expvar.
package recorder

import (
	"encoding/json"
	"expvar"
	"fmt"
	"hash/maphash"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Measures of a request, each with a histogram for every tenant and class.
const (
	// MeasureQueue is the wait for a saturated worker.
	MeasureQueue = "queue"
	// MeasureCold is the wait for a unit that was loaded nowhere.
	MeasureCold = "cold"
	// MeasureEstimate is by how much the first estimate of a wait for a unit was wrong, either way.
	MeasureEstimate = "estimate"
	// MeasureFirst is the time to the first token.
	MeasureFirst = "first"
	// MeasureBetween is the time between two tokens.
	MeasureBetween = "between"
	// MeasureWhole is the time to the end of the answer.
	MeasureWhole = "whole"
)

// Range and precision of the histograms, in microseconds.
const (
	leastMicroseconds = 1
	mostMicroseconds  = 600_000_000
	precisionDigits   = 2
)

// maxSeries bounds the number of histograms; further tenants share one name.
const maxSeries = 512

// otherTenant stands for the tenants beyond maxSeries.
const otherTenant = "other"

const shardCount = 16

type seriesKey struct{ measure, tenant, class string }

type shard struct {
	// mu guards series.
	mu     sync.Mutex
	series map[seriesKey]*hdrhistogram.Histogram
}

// Recorder is safe for use by several goroutines.
type Recorder struct {
	shards   [shardCount]shard
	seed     maphash.Seed
	counters *expvar.Map
}

var (
	publishOnce sync.Once
	counters    = new(expvar.Map).Init()
	// published is the first recorder of the process, whose histograms expvar and Text show.
	published *Recorder
)

// New returns a recorder without values. The counters of all recorders of a
// process are one map.
func New() *Recorder {
	r := &Recorder{seed: maphash.MakeSeed(), counters: counters}
	for i := range r.shards {
		r.shards[i].series = map[seriesKey]*hdrhistogram.Histogram{}
	}
	publishOnce.Do(func() {
		published = r
		expvar.Publish("counters", counters)
		expvar.Publish("histograms", expvar.Func(func() any { return r.Summaries() }))
		expvar.Publish("processor_seconds", expvar.Func(func() any { return processorSeconds() }))
	})
	return r
}

// Count adds one to a counter.
func (r *Recorder) Count(name string) { r.counters.Add(name, 1) }

// Counted returns a counter.
func (r *Recorder) Counted(name string) int64 {
	counter, known := r.counters.Get(name).(*expvar.Int)
	if !known {
		return 0
	}
	return counter.Value()
}

// Observe records one or more durations of a measure.
func (r *Recorder) Observe(measure, tenant, class string, durations ...time.Duration) {
	key := seriesKey{measure, tenant, class}
	s := &r.shards[maphash.Comparable(r.seed, key)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	histogram, known := s.series[key]
	if !known {
		if len(s.series) >= maxSeries/shardCount {
			key.tenant = otherTenant
			histogram = s.series[key]
		}
		if histogram == nil {
			histogram = hdrhistogram.New(leastMicroseconds, mostMicroseconds, precisionDigits)
			s.series[key] = histogram
		}
	}
	for _, duration := range durations {
		_ = histogram.RecordValue(min(max(duration.Microseconds(), leastMicroseconds), mostMicroseconds))
	}
}

// Summary describes one histogram, in milliseconds.
type Summary struct {
	Measure string  `json:"measure"`
	Tenant  string  `json:"tenant"`
	Class   string  `json:"class"`
	Count   int64   `json:"count"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	Max     float64 `json:"max_ms"`
}

// microsecondsPerMillisecond converts recorded values for summaries.
const microsecondsPerMillisecond = 1000

// Summaries returns a summary of every histogram.
func (r *Recorder) Summaries() []Summary {
	summaries := []Summary{}
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for key, histogram := range s.series {
			summaries = append(summaries, summarize(key, histogram))
		}
		s.mu.Unlock()
	}
	return summaries
}

func summarize(key seriesKey, histogram *hdrhistogram.Histogram) Summary {
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / microsecondsPerMillisecond
	}
	return Summary{
		Measure: key.measure, Tenant: key.tenant, Class: key.class, Count: histogram.TotalCount(),
		P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: at(100),
	}
}

// processorSeconds returns the user and system time of this process.
func processorSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// Vars returns every expvar variable as JSON.
func Vars() []byte {
	all := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	text, err := json.Marshal(all)
	if err != nil {
		return []byte("{}")
	}
	return text
}

// Text returns the counters and histograms as lines of a name, labels and a value.
func Text() string {
	var text strings.Builder
	counters.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(&text, "acaciaproxy_count{name=%q} %s\n", kv.Key, kv.Value.String())
	})
	fmt.Fprintf(&text, "acaciaproxy_processor_seconds %g\n", processorSeconds())
	if published == nil {
		return text.String()
	}
	summaries := published.Summaries()
	sort.Slice(summaries, func(i, j int) bool { return summaries[i].key() < summaries[j].key() })
	for _, s := range summaries {
		labels := fmt.Sprintf("measure=%q,of=%q,class=%q", s.Measure, s.Tenant, s.Class)
		for _, quantile := range []struct {
			name  string
			value float64
		}{{"0.5", s.P50}, {"0.95", s.P95}, {"0.99", s.P99}, {"0.999", s.P999}, {"1", s.Max}} {
			fmt.Fprintf(&text, "acaciaproxy_latency_ms{%s,quantile=%q} %g\n", labels, quantile.name, quantile.value)
		}
		fmt.Fprintf(&text, "acaciaproxy_latency_count{%s} %d\n", labels, s.Count)
	}
	return text.String()
}

func (s *Summary) key() string { return s.Measure + "\x00" + s.Tenant + "\x00" + s.Class }
