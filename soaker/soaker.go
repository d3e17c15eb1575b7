// Package soaker runs the real program as separate processes on one machine,
// harms them from outside by a seed, and checks what callers and workers may
// rely on while it runs.
package soaker

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"
)

// Spec is a run.
type Spec struct {
	// Program is the path of acaciaproxy, Folder an existing folder for settings and logs.
	Program, Folder string
	// Seed fixes the schedule of faults and the callers' draws.
	Seed uint64
	// Until is until when faults begin. The run goes on until all have ended and calm has returned.
	Until time.Time
	// Nodes is how many nodes each of the two zones has.
	Nodes int
	// Only restricts the faults to those whose name begins so; empty allows all.
	Only string
}

// Report is what a run came to.
type Report struct {
	// Seed is the run's, Acts are its faults in order.
	Seed uint64
	Acts []string
	// Broken names the promises that were broken, with what was seen.
	Broken []string
	// Notes say when the machine did not run a process.
	Notes []string
	// Ends counts attempts by how they ended.
	Ends map[string]int
}

// String returns the report as text.
func (r *Report) String() string {
	verdict := "kept every promise"
	if len(r.Broken) > 0 {
		verdict = fmt.Sprintf("broke %d promises", len(r.Broken))
	}
	text := fmt.Sprintf("seed %d: %s; %d acts;", r.Seed, verdict, len(r.Acts))
	names := make([]string, 0, len(r.Ends))
	for name := range r.Ends {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		text += fmt.Sprintf(" %s %d", name, r.Ends[name])
	}
	for _, broken := range r.Broken {
		text += "\n  " + broken
	}
	if len(r.Broken) > 0 {
		text += "\n  acts: " + strings.Join(r.Acts, ", ")
	}
	if len(r.Notes) > 0 {
		text += "\n  notes: " + strings.Join(r.Notes, ", ")
	}
	return text
}

// Run plays one seed.
func Run(spec Spec) (*Report, error) {
	folder := filepath.Join(spec.Folder, fmt.Sprintf("seed-%d", spec.Seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("soak folder: %w", err)
	}
	w, err := newWorld(spec, folder)
	if err != nil {
		return nil, err
	}
	defer w.close()
	callers := newCallers(w, rand.New(rand.NewPCG(spec.Seed, 1)))
	callers.run()
	acts := newSchedule(w, rand.New(rand.NewPCG(spec.Seed, 2)), spec.Only).run(spec.Until)
	callers.awaitCalm()
	callers.stop()
	report := &Report{Seed: spec.Seed, Acts: acts, Ends: callers.counts()}
	report.Notes = w.noted()
	report.Broken = append(append(report.Broken, w.broken()...), callers.check()...)
	return report, nil
}
