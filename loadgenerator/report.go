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

	"github.com/acaciaproxy/acaciaproxy/arriver"
	"github.com/acaciaproxy/acaciaproxy/enginestandin"
)

// Range and precision of the histograms, in microseconds.
const (
	leastMicroseconds = 1
	mostMicroseconds  = 600_000_000
	precisionDigits   = 3
)

// Latency summarises one histogram, in milliseconds.
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
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Latency{Name: name, Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: at(100)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastMicroseconds, mostMicroseconds, precisionDigits)
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(duration.Microseconds(), leastMicroseconds), mostMicroseconds))
}

// Report is the outcome of a load.
type Report struct {
	Seed    int64   `json:"seed"`
	Rate    float64 `json:"rate"`
	Seconds float64 `json:"seconds"`
	// Ends counts the requests by their end.
	Ends map[string]int `json:"ends"`
	// Doubled lists keys that ran more than once, FalselyRefused keys that were refused and ran.
	Doubled        []string `json:"doubled"`
	FalselyRefused []string `json:"falsely_refused"`
	// NeverRan lists keys that were answered and did not run.
	NeverRan []string `json:"never_ran"`
	// Loads counts the loads at all engines.
	Loads       int   `json:"loads"`
	Overcommits int64 `json:"overcommits"`
	// HeldSeconds is the accelerator time with something loaded, IdleSeconds the part of it with nothing running.
	HeldSeconds float64   `json:"held_seconds"`
	IdleSeconds float64   `json:"idle_seconds"`
	Latencies   []Latency `json:"latencies"`

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
	// keys maps idempotency keys to how their request ended.
	keys map[string]string
	runs map[string]int
}

func newReport(options OfferOptions) *Report {
	return &Report{
		Seed: options.Seed, Rate: options.Rate, Seconds: options.Length.Seconds(), Ends: map[string]int{},
		Doubled: []string{}, FalselyRefused: []string{}, NeverRan: []string{},
		histograms: map[string]*hdrhistogram.Histogram{}, keys: map[string]string{}, runs: map[string]int{},
	}
}

func (r *Report) lock(work func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	work()
}

// observe records a duration; the caller holds the lock.
func (r *Report) observe(name string, duration time.Duration) {
	histogram, known := r.histograms[name]
	if !known {
		histogram = newHistogram()
		r.histograms[name] = histogram
	}
	record(histogram, duration)
}

func (r *Report) end(arrival arriver.Arrival, end string, took time.Duration, key string) {
	r.lock(func() {
		r.Ends[end]++
		if key != "" {
			r.keys[key] = end
		}
		if end == endAnswered {
			r.observe("whole class "+arrival.Class, took)
			r.observe("whole tenant "+arrival.Tenant, took)
		}
		if end == endRefused {
			r.observe("time to refusal", took)
		}
	})
}

func (r *Report) first(arrival arriver.Arrival, first time.Duration) {
	if first > 0 && arrival.Stream {
		r.lock(func() { r.observe("first byte class "+arrival.Class, first) })
	}
}

func (r *Report) addHeld(span time.Duration, idle bool) {
	r.lock(func() {
		r.HeldSeconds += span.Seconds()
		if idle {
			r.IdleSeconds += span.Seconds()
		}
	})
}

func (r *Report) addRuns(runs map[string]int) {
	for key, count := range runs {
		r.runs[key] += count
	}
}

func (r *Report) addEngine(record enginestandin.Record) {
	r.Overcommits += record.Overcommits
	for _, count := range record.Loads {
		r.Loads += count
	}
}

// judgeRuns compares how keys ended with how often they ran.
func (r *Report) judgeRuns() {
	for key, end := range r.keys {
		switch runs := r.runs[key]; {
		case runs > 1:
			r.Doubled = append(r.Doubled, key)
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

// Faults returns one line for each kind of wrong end.
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
	}{{"ran twice", r.Doubled}, {"were refused and ran", r.FalselyRefused}, {"were answered and never ran", r.NeverRan}}
	for _, list := range lists {
		if len(list.keys) > 0 {
			faults = append(faults, fmt.Sprintf("%d keys %s: %v", len(list.keys), list.name, list.keys))
		}
	}
	if r.Overcommits > 0 {
		faults = append(faults, fmt.Sprintf("%d overcommitments", r.Overcommits))
	}
	return faults
}

// Write prints the report and stores it as JSON when a path is given. The
// error lists the faults found.
func (r *Report) Write(out io.Writer, jsonPath string) error {
	fmt.Fprintf(out, "seed %d, %.0f requests/s for %.0f s: %v\n", r.Seed, r.Rate, r.Seconds, r.Ends)
	fmt.Fprintf(out, "loads %d, accelerator seconds held %.0f, idle %.0f\n", r.Loads, r.HeldSeconds, r.IdleSeconds)
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
			return fmt.Errorf("report file: %w", err)
		}
	}
	faults := r.Faults()
	if len(faults) > 0 {
		return fmt.Errorf("faults found: %v", faults)
	}
	fmt.Fprintln(out, "no answer lost, doubled, crossed, truncated or late")
	return nil
}
