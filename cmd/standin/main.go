// Command standin runs a stand-in for one of the outside systems.
package main

import (
	"os"

	"github.com/acaciaproxy/acaciaproxy/standincommander"
)

func main() {
	os.Exit(standincommander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
