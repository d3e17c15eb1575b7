package commander

import (
	"flag"
	"fmt"

	"github.com/acaciaproxy/acaciaproxy/logreader"
	"github.com/acaciaproxy/acaciaproxy/reporter"
)

func verbTrace() verb {
	return verb{
		name:      "trace",
		summary:   "Prints one request's path through the logs of many nodes.",
		arguments: "REQUEST-ID FILE...",
		details: "Lines of the request are marked with \">\"; the others are about its model, about requests that got a response\n" +
			"to it, or about the leases, leaders, dependencies and configuration of the nodes that handled it. Under the line\n" +
			"about its end, \"try\" is one of its last sends. Times are seconds from the request's arrival.",
		prepare: func(*flag.FlagSet) func([]string, streams) int { return trace },
	}
}

func trace(arguments []string, s streams) int {
	if len(arguments) < 2 {
		return verbTrace().usageError(s, "a request's id and at least one log file are needed; got %q", arguments)
	}
	log, err := logreader.ReadFiles(arguments[1:])
	if err != nil {
		return verbTrace().fail(s, err)
	}
	for _, warning := range log.Warnings() {
		writeLine(s.stderr, warning)
	}
	if !reporter.Trace(s.stdout, log, arguments[0]) {
		return verbTrace().fail(s, fmt.Errorf("no line names request %q", arguments[0]))
	}
	return ExitSuccess
}
