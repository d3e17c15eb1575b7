// Command loadgen offers a seeded load to nodes and checks every answer.
package main

import (
	"os"

	"github.com/acaciaproxy/acaciaproxy/loadgenerator"
)

func main() {
	os.Exit(loadgenerator.Main(os.Args[1:], os.Stdout, os.Stderr))
}
