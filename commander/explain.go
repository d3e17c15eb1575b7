package commander

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/url"

	"github.com/acaciaproxy/acaciaproxy/adminserver"
)

func verbExplain() verb {
	return verb{
		name:      "explain",
		summary:   "Says which worker a node would choose for a route now, and why.",
		arguments: "-operators ADDRESS ROUTE",
		prepare:   prepareExplain,
	}
}

func prepareExplain(flags *flag.FlagSet) func([]string, streams) int {
	node := addNodeFlags(flags)
	return func(arguments []string, s streams) int {
		if node.address() == "" || len(arguments) != 1 {
			return verbExplain().usageError(s, "-operators ADDRESS and one route are needed")
		}
		body, err := node.get("/explain/" + url.PathEscape(arguments[0]))
		if err != nil {
			return verbExplain().fail(s, err)
		}
		if node.wantsJSON() {
			writeLine(s.stdout, string(body))
			return ExitSuccess
		}
		var explanation adminserver.Explanation
		if err := json.Unmarshal(body, &explanation); err != nil {
			return verbExplain().fail(s, fmt.Errorf("decode the node's explanation: %w", err))
		}
		printExplanation(explanation, s)
		return ExitSuccess
	}
}

func printExplanation(e adminserver.Explanation, s streams) {
	served := e.Unit
	if e.Service != "" {
		served = e.Service
	}
	fmt.Fprintf(s.stdout, "route %s at version %d serves %s\n", e.Route, e.Version, served)
	if e.Worker != "" {
		fmt.Fprintf(s.stdout, "worker %s: %s\n", e.Worker, e.Reason)
	} else {
		fmt.Fprintf(s.stdout, "no worker: %s\n", e.Reason)
	}
	for _, candidate := range e.Candidates {
		fmt.Fprintf(s.stdout, "  candidate %s load %d of %d slots, penalty %.2f, remote %v\n",
			candidate.ID, candidate.Load, candidate.Slots, candidate.Penalty, candidate.Remote)
	}
}
