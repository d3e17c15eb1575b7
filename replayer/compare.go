package replayer

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/keeper"
)

// windows are the fixed keep-alive windows among which the best is looked for.
var windows = []time.Duration{15 * time.Second, time.Minute, 3 * time.Minute, 10 * time.Minute, 30 * time.Minute}

// Compare replays the same load under every baseline and the policy in use.
func Compare(configuration *configurer.Configuration, seed int64, rate float64, span time.Duration) []Result {
	deployment, _ := configuration.Deployment()
	policies := []func() *keeper.Policy{keeper.NewImmediate}
	for _, window := range windows {
		policies = append(policies, func() *keeper.Policy { return keeper.NewFixed(window) })
	}
	policies = append(policies, keeper.NewLeastRecent, func() *keeper.Policy {
		return keeper.NewHazard(deployment.ColdWeight(), deployment.IdleWeight())
	})
	// The last entry is the policy in use with zones that know nothing of each other.
	policies = append(policies, policies[len(policies)-1])
	results := make([]Result, len(policies))
	var group sync.WaitGroup
	for i, newPolicy := range policies {
		group.Go(func() {
			results[i] = Run(Options{
				Configuration: configuration, Seed: seed, Rate: rate, Span: span, WarmUp: span / 4, NewPolicy: newPolicy,
				ZonesAlone: i == len(policies)-1,
			})
		})
	}
	group.Wait()
	results[len(results)-1].Policy += " zones alone"
	return results
}

// Sweep replays the same load under the policy in use with several weights of
// an idle accelerator second.
func Sweep(configuration *configurer.Configuration, seed int64, rate float64, span time.Duration, weights []float64) []Result {
	deployment, _ := configuration.Deployment()
	results := make([]Result, len(weights))
	var group sync.WaitGroup
	for i, weight := range weights {
		group.Go(func() {
			results[i] = Run(Options{
				Configuration: configuration, Seed: seed, Rate: rate, Span: span, WarmUp: span / 4,
				NewPolicy: func() *keeper.Policy { return keeper.NewHazard(deployment.ColdWeight(), weight) },
			})
			results[i].Policy += fmt.Sprintf(" idle %v", weight)
		})
	}
	group.Wait()
	return results
}

// Print writes the results as a table.
func Print(out io.Writer, results []Result) {
	fmt.Fprintf(out, "%-20s %8s %6s %7s %6s %6s %6s %7s %7s %7s %7s %8s %8s %9s %9s %8s\n",
		"policy", "requests", "cold", "refused", "loads", "wasted", "regret", "p50 s", "p95 s", "p99 s", "p99.9 s", "all p99", "wait s", "idle s", "held s", "est err")
	for _, r := range results {
		fmt.Fprintf(out, "%-20s %8d %6d %7d %6d %6d %6d %7.2f %7.2f %7.2f %7.2f %8.3f %8.0f %9.0f %9.0f %8.2f\n",
			r.Policy, r.Requests, r.Cold, r.Refused+r.Missed, r.Loads, r.Wasted, r.Regrets, r.P50, r.P95, r.P99, r.P999, r.AllP99, r.WaitSum, r.Idle, r.Held, r.EstimateError)
	}
}
