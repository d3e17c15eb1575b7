// Command soak plays seeds of the fault soak against the real program.
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
	folder := flag.String("folder", "out/soak", "`folder` for settings and logs")
	seed := flag.Uint64("seed", 1, "first seed")
	count := flag.Int("count", 1, "how many seeds to play, one after the other")
	span := flag.Duration("span", 30*time.Second, "for how long faults begin")
	nodes := flag.Int("nodes", 2, "nodes in each zone")
	only := flag.String("only", "", "play only faults whose `name` begins so")
	flag.Parse()
	log.DefaultLogger.SetLevel(log.WarnLevel) // The proxies tell of each target that is down.
	failed := 0
	for i := range *count {
		report, err := soaker.Run(soaker.Spec{Program: *program, Folder: *folder, Seed: *seed + uint64(i), Until: time.Now().Add(*span), Nodes: *nodes, Only: *only})
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(1)
		}
		fmt.Println(report)
		if len(report.Broken) > 0 {
			failed++
		}
	}
	if failed > 0 {
		fmt.Printf("%d of %d seeds broke a promise; logs are in %s\n", failed, *count, *folder)
		os.Exit(1)
	}
}
