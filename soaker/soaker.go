// Package soaker runs the real program as separate processes on one machine,
// injects faults drawn from a seed, and checks the guarantees given to callers
// and workers.
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

// Spec holds the parameters of a run.
type Spec struct {
	// Program is the path of the acaciaproxy program. OutputFolder is where the run creates its folder for settings and logs;
	// it is created if missing.
	Program, OutputFolder string
	// Other is the path of another version of the program, which every second node runs; empty for none. Requests with a crashing part and workers of several
	// software versions are left out then, since the other version may not know them.
	Other string
	// Seed determines the schedule of actions and the callers' random choices.
	Seed uint64
	// Until is the time after which no action starts. The run then waits for all actions to end, and continues the load
	// without faults for a fixed time.
	Until time.Time
	// Nodes is the number of nodes in each of the two zones.
	Nodes int
	// Versions is the number of software versions of the model workers; 0 stands for 1.
	Versions int
	// SameModels makes all model workers start with the same models loaded.
	SameModels bool
	// MemoryMB and Descriptors are the settings "memory" and "descriptors" of the nodes; 0 for none.
	MemoryMB, Descriptors int
	// Cores is how many processor cores each node uses at most; 0 for no limit.
	Cores int
	// Tenants gives the configuration tenants with keys and rate limits.
	Tenants bool
	// NamePrefix restricts the run to actions whose name begins with this prefix; empty allows all.
	NamePrefix string
}

// Report is the result of a run.
type Report struct {
	// Seed is the seed of the run. Actions lists the actions that the schedule performed, each with its time since the start of the run.
	Seed    uint64
	Actions []string
	// Breaches lists the breached guarantees, each as "RULE: what was observed".
	Breaches []string
	// Notes lists when the kernel did not run a process for lack of a processor.
	Notes []string
	// Ends counts the callers' requests by status code; those without a response are counted under "broken".
	Ends map[string]int
}

// String returns the report as text: one line, followed by the breaches, the actions if there are any breaches, and the notes.
func (r *Report) String() string {
	verdict := "kept every promise"
	if len(r.Breaches) > 0 {
		verdict = fmt.Sprintf("broke %d promises", len(r.Breaches))
	}
	text := fmt.Sprintf("seed %d: %s; %d acts;", r.Seed, verdict, len(r.Actions))
	names := make([]string, 0, len(r.Ends))
	for name := range r.Ends {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		text += fmt.Sprintf(" %s %d", name, r.Ends[name])
	}
	for _, breach := range r.Breaches {
		text += "\n  " + breach
	}
	if len(r.Breaches) > 0 {
		text += "\n  acts: " + strings.Join(r.Actions, ", ")
	}
	if len(r.Notes) > 0 {
		text += "\n  notes: " + strings.Join(r.Notes, ", ")
	}
	return text
}

// soakVersions is the number of software versions of the model workers in a soak: two workers of each.
const soakVersions = 2

// Run runs the soak for one seed. It returns an error if the processes or stand-ins cannot be started.
func Run(spec Spec) (*Report, error) {
	folder := filepath.Join(spec.OutputFolder, fmt.Sprintf("seed-%d", spec.Seed))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("create folder for settings and logs: %w", err)
	}
	if spec.Versions = soakVersions; spec.Other != "" {
		spec.Versions = 1
	}
	spec.Tenants = spec.Other == "" && hasTenants(spec.Seed) // The other version may not know them.
	e, err := newEnvironment(spec, folder)
	if err != nil {
		return nil, err
	}
	defer e.close()
	callers := newCallers(e, rand.New(rand.NewPCG(spec.Seed, 1)))
	callers.run()
	actions := newSchedule(e, rand.New(rand.NewPCG(spec.Seed, 2)), rand.New(rand.NewPCG(spec.Seed, 3)), rand.New(rand.NewPCG(spec.Seed, 4)), rand.New(rand.NewPCG(spec.Seed, 5)), rand.New(rand.NewPCG(spec.Seed, 6)), spec.NamePrefix).run(spec.Until)
	callers.continueWithoutFaults()
	callers.stop()
	report := &Report{Seed: spec.Seed, Actions: actions, Ends: callers.endCounts()}
	report.Notes = append(e.starvationNotes(), callers.tenantNotes()...)
	report.Breaches = append(append(report.Breaches, e.breaches()...), callers.check()...)
	return report, nil
}
