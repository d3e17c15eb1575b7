package commander

import (
	"flag"
	"fmt"
	"io"

	"github.com/acaciaproxy/acaciaproxy/configreader"
)

func verbCheck() verb {
	return verb{
		name:      "check",
		summary:   "Checks a configuration folder as a whole and reports every fault.",
		arguments: "FOLDER",
		details: "Each fault is one line on standard error: file:line:column: object: what is wrong and what is expected.\n" +
			"Exits with 0 when there is none, 1 when there are faults, 2 when the command line is invalid.",
		prepare: prepareCheck,
	}
}

func prepareCheck(*flag.FlagSet) func([]string, streams) int {
	return func(arguments []string, s streams) int {
		if len(arguments) != 1 {
			return verbCheck().usageError(s, "one folder is needed; got %d arguments", len(arguments))
		}
		configuration, err := configreader.ReadFolder(arguments[0])
		if err != nil {
			return failWithFaults(verbCheck(), s, err)
		}
		writeLine(s.stdout, fmt.Sprintf("%s: %d objects, no faults", arguments[0], len(configuration.Objects())))
		return ExitSuccess
	}
}

func writeLine(w io.Writer, line string) { fmt.Fprintln(w, line) }
