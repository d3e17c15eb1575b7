// Command launch starts the platform, engines, registers and nodes of an example on
// this machine. It runs the quick start, or keeps the processes running until Ctrl-C.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/acaciaproxy/acaciaproxy/launcher"
)

func main() {
	programs := flag.String("programs", "bin", "`folder` with the acaciaproxy and standin programs")
	configuration := flag.String("configuration", "examples/quickstart", "`folder` with the configuration to publish")
	nodes := flag.Int("nodes", 2, "nodes in each zone")
	first := flag.Int("first", 20, "engines' time to the first token in `milliseconds`")
	token := flag.Int("token", 5, "engines' time between tokens in `milliseconds`")
	cores := flag.Int("cores", 0, "maximum number of cores of each node; 0 means no limit")
	keep := flag.Bool("keep", false, "keep the processes running until Ctrl-C instead of running the quick start")
	flag.Parse()
	spec := launcher.Spec{Programs: *programs, Configuration: *configuration, NodesPerZone: *nodes, FirstTokenMS: *first, TokenMS: *token, NodeCores: *cores}
	if err := run(spec, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "launch:", err)
		os.Exit(1)
	}
}

func run(spec launcher.Spec, keep bool) error {
	set, err := launcher.Start(spec)
	if err != nil {
		return err
	}
	defer set.Close()
	printSet(set)
	if !keep {
		return launcher.QuickStart(set, os.Stdout)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return nil
}

// printSet prints the addresses of the processes and an example request; scripts/overhead.sh parses it.
func printSet(set *launcher.Set) {
	fmt.Printf("platform   %s\n", set.Platform().Address())
	for _, node := range set.Nodes() {
		fmt.Printf("node       %s callers %s operators %s\n", node.Name(), node.Address(), node.OperatorAddress())
	}
	for _, engine := range set.Engines() {
		fmt.Printf("engine     %s %s\n", engine.Name(), engine.Address())
	}
	for _, register := range set.Registers() {
		fmt.Printf("register   %s %s\n", register.Name(), register.Address())
	}
	fmt.Printf("\ncurl -si http://%s/v1/chat/completions -d '{\"model\": \"occupations\", \"messages\": [{\"role\": \"user\", \"content\": \"goat herder\"}]}'\n", set.Nodes()[0].Address())
}
