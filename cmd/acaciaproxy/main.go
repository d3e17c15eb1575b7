// Command acaciaproxy serves rarely used models from a shared set of workers.
package main

import (
	"os"

	"github.com/acaciaproxy/acaciaproxy/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
