// Command standin runs a stand-in for an external system: the platform, a model engine or a register.
package main

import (
	"os"

	"github.com/acaciaproxy/acaciaproxy/standincommander"
)

func main() {
	os.Exit(standincommander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
