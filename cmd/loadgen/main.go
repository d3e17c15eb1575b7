// Command loadgen sends nodes a load generated from a seed and checks every response.
package main

import (
	"os"

	"github.com/acaciaproxy/acaciaproxy/loadgenerator"
)

func main() {
	os.Exit(loadgenerator.Main(os.Args[1:], os.Stdout, os.Stderr))
}
