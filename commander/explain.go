package commander

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/url"

	"github.com/acaciaproxy/acaciaproxy/operator"
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
		text, err := node.get("/explain/" + url.PathEscape(arguments[0]))
		if err != nil {
			return verbExplain().refuse(s, err)
		}
		if node.wantsJSON() {
			writeLine(s.out, string(text))
			return ExitDone
		}
		var explanation operator.Explanation
		if err := json.Unmarshal(text, &explanation); err != nil {
			return verbExplain().refuse(s, fmt.Errorf("node's answer: %w", err))
		}
		printExplanation(explanation, s)
		return ExitDone
	}
}

func printExplanation(e operator.Explanation, s streams) {
	served := e.Unit
	if e.Service != "" {
		served = e.Service
	}
	fmt.Fprintf(s.out, "route %s at version %d serves %s\n", e.Route, e.Version, served)
	if e.Worker != "" {
		fmt.Fprintf(s.out, "worker %s: %s\n", e.Worker, e.Reason)
	} else {
		fmt.Fprintf(s.out, "no worker: %s\n", e.Reason)
	}
	for _, candidate := range e.Candidates {
		fmt.Fprintf(s.out, "  candidate %s load %d of %d slots, penalty %.2f, remote %v\n",
			candidate.ID, candidate.Load, candidate.Slots, candidate.Penalty, candidate.Remote)
	}
}
