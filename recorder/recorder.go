// Package recorder counts events of a node, keeps histograms of durations for each
// tenant and class, and reads gauges. All of them are published through expvar. The forwarder,
// whose requests have neither, passes the service as the tenant and the route as the
// class.
package recorder

import (
	"encoding/json"
	"expvar"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Durations measured for a request, each with a histogram for every tenant and class.
const (
	// MeasureQueue is the wait in the queue while all workers are saturated.
	MeasureQueue = "queue"
	// MeasureLoadWait is the wait for the load of a unit that no worker had ready.
	MeasureLoadWait = "cold"
	// MeasureEstimate is the absolute error of the first estimate of a wait for a unit.
	MeasureEstimate = "estimate"
	// MeasureFirstToken is the time to the first token, which the gateway measures from the arrival of the request and
	// the forwarder from sending the request to the worker.
	MeasureFirstToken = "first"
	// MeasureInterToken is the time between two consecutive tokens.
	MeasureInterToken = "between"
	// MeasureTotal is the time from the arrival of the request to the end of the response.
	MeasureTotal = "whole"
	// MeasureTenant is MeasureTotal of the requests of a tenant, for each route.
	MeasureTenant = "tenant"
	// MeasureProof is the age of the latest proof that the configuration is the newest.
	MeasureProof = "proof"
)

// Range of the histograms in microseconds, and their precision in significant decimal digits.
const (
	minMicroseconds = 1
	maxMicroseconds = 600_000_000
	precisionDigits = 2
)

// maxSeries bounds the number of histograms; once a shard has its part of them, durations of
// further tenants are recorded as those of otherTenant.
const maxSeries = 512

// otherTenant is the tenant of the histograms that all tenants beyond maxSeries share.
const otherTenant = "other"

// shardCount is the number of independently locked parts of the histograms.
const shardCount = 16

// seriesKey identifies a histogram.
type seriesKey struct{ measure, tenant, class string }

// shard holds the histograms whose keys have the same hash modulo shardCount.
type shard struct {
	// mu guards series.
	mu     sync.Mutex
	series map[seriesKey]*hdrhistogram.Histogram
}

// Recorder holds the histograms and counters of a node. It is safe for concurrent use.
type Recorder struct {
	shards [shardCount]shard
	// seed is the seed of the hash that assigns keys to shards.
	seed maphash.Seed
	// counters is the map that all recorders of the process share.
	counters *expvar.Map
	// gaugesMu guards gauges, the functions that return gauges by their names.
	gaugesMu sync.Mutex
	gauges   []func() map[string]int64
}

var (
	publishOnce sync.Once
	counters    = new(expvar.Map).Init()
	// publishedRecorder is the first recorder of the process; expvar and MetricsText show its histograms and gauges only.
	publishedRecorder *Recorder
)

// New returns a recorder with empty histograms. All recorders of a process share
// their counters.
func New() *Recorder {
	r := &Recorder{seed: maphash.MakeSeed(), counters: counters}
	for i := range r.shards {
		r.shards[i].series = map[seriesKey]*hdrhistogram.Histogram{}
	}
	publishOnce.Do(func() {
		publishedRecorder = r
		expvar.Publish("counters", counters)
		expvar.Publish("histograms", expvar.Func(func() any { return r.Summaries() }))
		expvar.Publish("gauges", expvar.Func(func() any { return r.Gauges() }))
		expvar.Publish("processor_seconds", expvar.Func(func() any { return processorSeconds() }))
	})
	return r
}

// Count adds one to the counter of a name, and creates the counter at its first use.
func (r *Recorder) Count(name string) { r.counters.Add(name, 1) }

// Add adds a number to the counter of a name, and creates the counter at its first use.
func (r *Recorder) Add(name string, n int64) { r.counters.Add(name, n) }

// CounterValue returns the value of a counter, or 0 when it was never counted.
func (r *Recorder) CounterValue(name string) int64 {
	counter, known := r.counters.Get(name).(*expvar.Int)
	if !known {
		return 0
	}
	return counter.Value()
}

// AddGauges adds gauges: read returns their present values by their names each time the metrics are read. It must be safe for concurrent use.
func (r *Recorder) AddGauges(read func() map[string]int64) {
	r.gaugesMu.Lock()
	defer r.gaugesMu.Unlock()
	r.gauges = append(r.gauges, read)
}

// Gauges returns the present values of all gauges by their names.
func (r *Recorder) Gauges() map[string]int64 {
	r.gaugesMu.Lock()
	reads := slices.Clone(r.gauges)
	r.gaugesMu.Unlock()
	values := map[string]int64{}
	for _, read := range reads {
		maps.Copy(values, read())
	}
	return values
}

// Observe adds durations to the histogram of a measure, tenant and class. Durations
// outside the range of the histograms are recorded as the nearest bound.
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
			histogram = hdrhistogram.New(minMicroseconds, maxMicroseconds, precisionDigits)
			s.series[key] = histogram
		}
	}
	for _, duration := range durations {
		_ = histogram.RecordValue(min(max(duration.Microseconds(), minMicroseconds), maxMicroseconds))
	}
}

// Summary holds the quantiles of one histogram in milliseconds, and the number of its values.
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

const microsecondsPerMillisecond = 1000

// Summaries returns a summary of every histogram, in no particular order.
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
	percentileMS := func(percentile float64) float64 {
		return float64(histogram.ValueAtQuantile(percentile)) / microsecondsPerMillisecond
	}
	return Summary{
		Measure: key.measure, Tenant: key.tenant, Class: key.class, Count: histogram.TotalCount(),
		P50: percentileMS(50), P95: percentileMS(95), P99: percentileMS(99), P999: percentileMS(99.9), Max: percentileMS(100),
	}
}

// processorSeconds returns the user and system time of this process, or 0 when it cannot be read.
func processorSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// ExpvarJSON returns every expvar variable as one JSON object, or an empty object when a variable is not valid JSON.
func ExpvarJSON() []byte {
	variables := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) { variables[kv.Key] = json.RawMessage(kv.Value.String()) })
	encoded, err := json.Marshal(variables)
	if err != nil {
		return []byte("{}")
	}
	return encoded
}

// MetricsText returns the counters, gauges and histograms in the text format of Prometheus: lines of a name, labels and a value.
func MetricsText() string {
	var text strings.Builder
	counters.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(&text, "acaciaproxy_count{name=%q} %s\n", kv.Key, kv.Value.String())
	})
	fmt.Fprintf(&text, "acaciaproxy_processor_seconds %g\n", processorSeconds())
	if publishedRecorder == nil {
		return text.String()
	}
	gauges := publishedRecorder.Gauges()
	for _, name := range slices.Sorted(maps.Keys(gauges)) {
		fmt.Fprintf(&text, "acaciaproxy_gauge{name=%q} %d\n", name, gauges[name])
	}
	summaries := publishedRecorder.Summaries()
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

// key returns a text by which summaries are sorted.
func (s *Summary) key() string { return s.Measure + "\x00" + s.Tenant + "\x00" + s.Class }
