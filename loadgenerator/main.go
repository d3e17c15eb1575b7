// Package loadgenerator implements the loadgen program. It sends an open-loop
// load to nodes, checks every response and writes a report; it also measures the
// latency that a node adds, and runs the simulations of package simulator.
package loadgenerator

import (
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/simulator"
)

// mode is one subcommand of the program.
type mode struct {
	name, summary string
	// prepare registers the mode's flags and returns its action.
	prepare func(flags *flag.FlagSet) func(out io.Writer) error
}

func modes() []mode {
	return []mode{
		{"offer", "sends a load generated from a configuration and checks every response", prepareOffer},
		{"overhead", "compares the latency through a node with that of direct requests to an engine", prepareOverhead},
		{"policy", "simulates a long load under the policy in use and under the baselines", preparePolicy},
	}
}

// Main runs the program with the arguments after its name and returns the exit
// code: 0 for success, 1 for a failure or faults found, 2 for a wrong command line.
func Main(arguments []string, stdout, stderr io.Writer) int {
	if len(arguments) > 0 {
		for _, m := range modes() {
			if m.name == arguments[0] {
				return m.run(arguments[1:], stdout, stderr)
			}
		}
	}
	fmt.Fprintln(stderr, "Usage: loadgen MODE [flags]")
	for _, m := range modes() {
		fmt.Fprintf(stderr, "  %-9s %s\n", m.name, m.summary)
	}
	return 2
}

func (m mode) run(arguments []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("loadgen "+m.name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	action := m.prepare(flags)
	if err := flags.Parse(arguments); err != nil {
		return 2
	}
	if err := action(stdout); err != nil {
		fmt.Fprintf(stderr, "loadgen %s: %v\n", m.name, err)
		return 1
	}
	return 0
}

func prepareOffer(flags *flag.FlagSet) func(io.Writer) error {
	var options OfferOptions
	folder := flags.String("configuration", "examples/quickstart", "`folder` with the routes and tenants")
	nodes := flags.String("nodes", "", "callers' `addresses` of the nodes, separated by commas")
	engines := flags.String("engines", "", "`addresses` of the engines, to read their records and idle time")
	registers := flags.String("registers", "", "`addresses` of the registers, to read their records")
	flags.Int64Var(&options.Seed, "seed", 1, "seed of the load")
	flags.Float64Var(&options.Rate, "rate", 50, "requests per second")
	seconds := flags.Float64("seconds", 60, "length of the load in seconds")
	flags.DurationVar(&options.StartOfDay, "start", 10*time.Hour, "time of day at the start")
	flags.StringVar(&options.JSONPath, "json", "", "`file` for the report as JSON")
	return func(out io.Writer) error {
		configuration, err := configreader.ReadFolder(*folder)
		if err != nil {
			return err
		}
		options.Configuration = configuration
		options.Nodes, options.Engines, options.Registers = splitAddresses(*nodes), splitAddresses(*engines), splitAddresses(*registers)
		options.Length = time.Duration(*seconds * float64(time.Second))
		if len(options.Nodes) == 0 {
			return fmt.Errorf("-nodes is missing: it takes the callers' addresses of the nodes, separated by commas")
		}
		report, err := Offer(options, out)
		if err != nil {
			return err
		}
		return report.Write(out, options.JSONPath)
	}
}

func preparePolicy(flags *flag.FlagSet) func(io.Writer) error {
	folder := flags.String("configuration", "examples/klasifikators", "`folder` with the deployment")
	seed := flags.Int64("seed", 1, "seed of the load")
	rate := flags.Float64("rate", 2, "requests per second over all zones")
	hours := flags.Float64("hours", 8, "length of the load in hours")
	idleWeights := flags.String("idle", "", "`weights` of an idle accelerator second, separated by commas, to compare instead of the baselines")
	return func(out io.Writer) error {
		configuration, err := configreader.ReadFolder(*folder)
		if err != nil {
			return err
		}
		length := time.Duration(*hours * float64(time.Hour))
		if *idleWeights == "" {
			simulator.Print(out, simulator.Compare(configuration, *seed, *rate, length))
			return nil
		}
		weights, err := parseWeights(*idleWeights)
		if err != nil {
			return err
		}
		simulator.Print(out, simulator.Sweep(configuration, *seed, *rate, length, weights))
		return nil
	}
}

func parseWeights(list string) ([]float64, error) {
	var weights []float64
	for _, word := range strings.Split(list, ",") {
		weight, err := strconv.ParseFloat(word, 64)
		if err != nil {
			return nil, fmt.Errorf("invalid weight %q in -idle, want a number: %w", word, err)
		}
		weights = append(weights, weight)
	}
	return weights, nil
}

func splitAddresses(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
