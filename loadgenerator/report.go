package loadgenerator

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/acaciaproxy/acaciaproxy/arrivalgenerator"
	"github.com/acaciaproxy/acaciaproxy/enginestandin"
)

// Range of the histograms in microseconds, and their precision in significant digits.
const (
	minMicroseconds = 1
	maxMicroseconds = 600_000_000
	precisionDigits = 3
)

// Latency holds the count and percentiles of one histogram, in milliseconds.
type Latency struct {
	Name  string  `json:"name"`
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func summarize(name string, histogram *hdrhistogram.Histogram) Latency {
	milliseconds := func(percentile float64) float64 { return float64(histogram.ValueAtQuantile(percentile)) / 1000 }
	return Latency{Name: name, Count: histogram.TotalCount(), P50: milliseconds(50), P95: milliseconds(95), P99: milliseconds(99), P999: milliseconds(99.9), Max: milliseconds(100)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicroseconds, maxMicroseconds, precisionDigits)
}

func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(duration.Microseconds(), minMicroseconds), maxMicroseconds))
}

// Report is the result of a load. Its mu guards all fields while the load runs.
type Report struct {
	// Seed, Rate (requests per second) and Seconds (length) are those of the load.
	Seed    int64   `json:"seed"`
	Rate    float64 `json:"rate"`
	Seconds float64 `json:"seconds"`
	// Ends counts the requests by how they ended.
	Ends map[string]int `json:"ends"`
	// RanTwice lists the idempotency keys whose request ran more than once, FalselyRefused those whose
	// request was refused and ran.
	RanTwice       []string `json:"doubled"`
	FalselyRefused []string `json:"falsely_refused"`
	// NeverRan lists the idempotency keys whose request was answered and did not run.
	NeverRan []string `json:"never_ran"`
	// Loads counts the loads of units at all engines, OvercommittedLoads those that exceeded an engine's memory.
	Loads              int   `json:"loads"`
	OvercommittedLoads int64 `json:"overcommits"`
	// LoadedSeconds is the time in which engines have units loaded or loading, IdleSeconds the part of it
	// without a running request. Both are sums over the engines.
	LoadedSeconds float64 `json:"held_seconds"`
	IdleSeconds   float64 `json:"idle_seconds"`
	// Latencies holds one entry for each histogram, sorted by name.
	Latencies []Latency `json:"latencies"`

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	// keys maps idempotency keys to how their request ended, runs to how often it ran by the registers' records.
	keys map[string]string
	runs map[string]int
}

func newReport(options OfferOptions) *Report {
	return &Report{
		Seed: options.Seed, Rate: options.Rate, Seconds: options.Length.Seconds(), Ends: map[string]int{},
		RanTwice: []string{}, FalselyRefused: []string{}, NeverRan: []string{},
		histograms: map[string]*hdrhistogram.Histogram{}, keys: map[string]string{}, runs: map[string]int{},
	}
}

// withLock calls a function with mu held.
func (r *Report) withLock(update func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update()
}

// observe records a duration in the named histogram. mu must be held.
func (r *Report) observe(name string, duration time.Duration) {
	histogram, found := r.histograms[name]
	if !found {
		histogram = newHistogram()
		r.histograms[name] = histogram
	}
	recordDuration(histogram, duration)
}

// recordEnd records how a request ended, and its latency when it was answered or refused.
func (r *Report) recordEnd(arrival arrivalgenerator.Arrival, end string, elapsed time.Duration, key string) {
	r.withLock(func() {
		r.Ends[end]++
		if key != "" {
			r.keys[key] = end
		}
		if end == endAnswered {
			r.observe("whole class "+arrival.Class, elapsed)
			r.observe("whole tenant "+arrival.Tenant, elapsed)
		}
		if end == endRefused {
			r.observe("time to refusal", elapsed)
		}
	})
}

// recordFirstByte records the time to the first byte of a streamed response; 0 is none.
func (r *Report) recordFirstByte(arrival arrivalgenerator.Arrival, first time.Duration) {
	if first > 0 && arrival.Stream {
		r.withLock(func() { r.observe("first byte class "+arrival.Class, first) })
	}
}

func (r *Report) addLoadedTime(interval time.Duration, idle bool) {
	r.withLock(func() {
		r.LoadedSeconds += interval.Seconds()
		if idle {
			r.IdleSeconds += interval.Seconds()
		}
	})
}

func (r *Report) addRuns(runs map[string]int) {
	for key, count := range runs {
		r.runs[key] += count
	}
}

func (r *Report) addEngineRecord(record enginestandin.Record) {
	r.OvercommittedLoads += record.OvercommittedLoads
	for _, count := range record.Loads {
		r.Loads += count
	}
}

// evaluate compares how each key's request ended with how often it ran, and
// summarizes the histograms. It is called once, after the load.
func (r *Report) evaluate() {
	for key, end := range r.keys {
		switch runs := r.runs[key]; {
		case runs > 1:
			r.RanTwice = append(r.RanTwice, key)
		case runs == 1 && end == endRefused:
			r.FalselyRefused = append(r.FalselyRefused, key)
		case runs == 0 && end == endAnswered && len(r.runs) > 0:
			r.NeverRan = append(r.NeverRan, key)
		}
	}
	for name, histogram := range r.histograms {
		r.Latencies = append(r.Latencies, summarize(name, histogram))
	}
	sort.Slice(r.Latencies, func(i, j int) bool { return r.Latencies[i].Name < r.Latencies[j].Name })
}

// Faults returns one line for each kind of fault found, none after a correct run.
func (r *Report) Faults() []string {
	var faults []string
	for _, end := range []string{endLost, endCrossed, endTruncated, endLate} {
		if r.Ends[end] > 0 {
			faults = append(faults, fmt.Sprintf("%d requests %s", r.Ends[end], end))
		}
	}
	lists := []struct {
		name string
		keys []string
	}{{"ran twice", r.RanTwice}, {"were refused and ran", r.FalselyRefused}, {"were answered and never ran", r.NeverRan}}
	for _, list := range lists {
		if len(list.keys) > 0 {
			faults = append(faults, fmt.Sprintf("%d keys %s: %v", len(list.keys), list.name, list.keys))
		}
	}
	if r.OvercommittedLoads > 0 {
		faults = append(faults, fmt.Sprintf("%d overcommitments", r.OvercommittedLoads))
	}
	return faults
}

// Write prints the report, and writes it to a file as JSON unless the path is
// empty. The error lists the faults found, if any.
func (r *Report) Write(out io.Writer, jsonPath string) error {
	fmt.Fprintf(out, "seed %d, %.0f requests/s for %.0f s: %v\n", r.Seed, r.Rate, r.Seconds, r.Ends)
	fmt.Fprintf(out, "loads %d, accelerator seconds held %.0f, idle %.0f\n", r.Loads, r.LoadedSeconds, r.IdleSeconds)
	fmt.Fprintf(out, "%-36s %8s %9s %9s %9s %9s %9s\n", "milliseconds", "count", "p50", "p95", "p99", "p99.9", "max")
	for _, l := range r.Latencies {
		fmt.Fprintf(out, "%-36s %8d %9.1f %9.1f %9.1f %9.1f %9.1f\n", l.Name, l.Count, l.P50, l.P95, l.P99, l.P999, l.Max)
	}
	if jsonPath != "" {
		text, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return fmt.Errorf("encode report: %w", err)
		}
		if err := os.WriteFile(jsonPath, text, 0o644); err != nil {
			return fmt.Errorf("write report file: %w", err)
		}
	}
	faults := r.Faults()
	if len(faults) > 0 {
		return fmt.Errorf("faults found: %v", faults)
	}
	fmt.Fprintln(out, "no answer lost, doubled, crossed, truncated or late")
	return nil
}
