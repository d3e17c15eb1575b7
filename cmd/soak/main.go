// Command soak runs the soak test, which injects faults drawn from a seed, against the acaciaproxy
// program. The exit code is 1 when a seed fails or cannot be run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/soaker"
)

func main() {
	program := flag.String("program", "bin/acaciaproxy", "`path` of the program")
	other := flag.String("other", "", "`path` of another version of the program, which every second node runs")
	folder := flag.String("folder", "out/soak", "`folder` for settings and logs")
	seed := flag.Uint64("seed", 1, "first seed")
	count := flag.Int("count", 1, "number of consecutive seeds to run, one after the other")
	span := flag.Duration("span", 30*time.Second, "time after the start during which faults are started")
	nodes := flag.Int("nodes", 2, "nodes in each zone")
	only := flag.String("only", "", "run only faults whose names begin with `name`")
	flag.Parse()
	log.DefaultLogger.SetLevel(log.WarnLevel) // The fault proxies log each target that cannot be reached at debug level.
	failed := 0
	for i := range *count {
		report, err := soaker.Run(soaker.Spec{Program: *program, Other: *other, OutputFolder: *folder, Seed: *seed + uint64(i), Until: time.Now().Add(*span), Nodes: *nodes, NamePrefix: *only})
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(1)
		}
		fmt.Println(report)
		if len(report.Breaches) > 0 {
			failed++
		}
	}
	if failed > 0 {
		fmt.Printf("%d of %d seeds failed; logs are in %s\n", failed, *count, *folder)
		os.Exit(1)
	}
}
