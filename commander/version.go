package commander

import (
	"flag"
	"runtime"
)

func verbVersion() verb {
	return verb{
		name:    "version",
		summary: "Prints the program's version.",
		prepare: prepareVersion,
	}
}

func prepareVersion(*flag.FlagSet) func([]string, streams) int {
	return func(arguments []string, s streams) int {
		if len(arguments) > 0 {
			return verbVersion().usageError(s, "no argument is needed; got %q", arguments)
		}
		writeLine(s.stdout, program+" "+Version+" "+runtime.Version())
		return ExitSuccess
	}
}
