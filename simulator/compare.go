package simulator

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/evictor"
)

// keepAliveWindows are the fixed keep-alive windows that are compared as baselines.
var keepAliveWindows = []time.Duration{15 * time.Second, time.Minute, 3 * time.Minute, 10 * time.Minute, 30 * time.Minute}

// Compare simulates the same load under every baseline, under the policy in use, and
// under the policy in use with isolated zones. It returns the results in this order. The
// first quarter of the load is the warm-up.
func Compare(configuration *configreader.Configuration, seed int64, rate float64, length time.Duration) []Result {
	deployment, _ := configuration.Deployment()
	policies := []func() *evictor.Policy{evictor.NewImmediate}
	for _, window := range keepAliveWindows {
		policies = append(policies, func() *evictor.Policy { return evictor.NewFixed(window) })
	}
	policies = append(policies, evictor.NewLeastRecentlyUsed, func() *evictor.Policy {
		return evictor.NewHazard(deployment.ColdWeight(), deployment.IdleWeight())
	})
	// The last entry is the policy in use with isolated zones.
	policies = append(policies, policies[len(policies)-1])
	results := make([]Result, len(policies))
	var group sync.WaitGroup
	for i, newPolicy := range policies {
		group.Go(func() {
			results[i] = Run(Options{
				Configuration: configuration, Seed: seed, Rate: rate, Length: length, WarmUp: length / 4, NewPolicy: newPolicy,
				IsolateZones: i == len(policies)-1,
			})
		})
	}
	group.Wait()
	results[len(results)-1].Policy += " zones alone"
	return results
}

// Sweep simulates the same load under the policy in use, once for each weight of an
// idle accelerator second.
func Sweep(configuration *configreader.Configuration, seed int64, rate float64, length time.Duration, weights []float64) []Result {
	deployment, _ := configuration.Deployment()
	results := make([]Result, len(weights))
	var group sync.WaitGroup
	for i, weight := range weights {
		group.Go(func() {
			results[i] = Run(Options{
				Configuration: configuration, Seed: seed, Rate: rate, Length: length, WarmUp: length / 4,
				NewPolicy: func() *evictor.Policy { return evictor.NewHazard(deployment.ColdWeight(), weight) },
			})
			results[i].Policy += fmt.Sprintf(" idle %v", weight)
		})
	}
	group.Wait()
	return results
}

// Print writes the results as a table, one line each. The column refused is the sum
// of the requests refused on arrival and those refused after waiting.
func Print(out io.Writer, results []Result) {
	fmt.Fprintf(out, "%-20s %8s %6s %7s %6s %6s %6s %7s %7s %7s %7s %8s %8s %9s %9s %8s\n",
		"policy", "requests", "cold", "refused", "loads", "wasted", "regret", "p50 s", "p95 s", "p99 s", "p99.9 s", "all p99", "wait s", "idle s", "held s", "est err")
	for _, s := range results {
		fmt.Fprintf(out, "%-20s %8d %6d %7d %6d %6d %6d %7.2f %7.2f %7.2f %7.2f %8.3f %8.0f %9.0f %9.0f %8.2f\n",
			s.Policy, s.Requests, s.ColdStarts, s.Refused+s.RefusedLater, s.Loads, s.UnusedLoads, s.EarlyReloads, s.ColdP50, s.ColdP95, s.ColdP99, s.ColdP999, s.AllP99, s.WaitSum, s.IdleSeconds, s.LoadedSeconds, s.EstimateError)
	}
}
