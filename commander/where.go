package commander

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"github.com/acaciaproxy/acaciaproxy/forwarder"
)

func verbWhere() verb {
	return verb{
		name:      "where",
		summary:   "Says where a node would send a request now, and why not to the other workers.",
		arguments: "-node ADDRESS -host HOST -path PATH | -node ADDRESS -route ROUTE",
		details: `Asks a node with form "fleet". Nothing is sent to workers, and no permit, token, place or trial is taken.
The tenant is given by its name, never by a key.`,
		prepare: prepareWhere,
	}
}

// whereParameters are the flags that describe the request, and their help; the node gets them under the same names.
func whereParameters() [][2]string {
	return [][2]string{
		{"host", "`host` of the request"},
		{"path", "`path` of the request"},
		{"route", "`name` of a route, instead of host and path"},
		{"model", "`name` of the model"},
		{"adapter", "`name` of the adapter"},
		{"parts", "`parts` of the prompt in order, ID:TOKENS,ID:TOKENS"},
		{"tokens", "`tokens` of the prompt and the longest response, PROMPT,RESPONSE"},
		{"tenant", "`name` of the tenant"},
		{"software", "software `version` at which the stream began that the request takes up"},
	}
}

func prepareWhere(flags *flag.FlagSet) func([]string, streams) int {
	node := nodeFlags{
		operators: flags.String("node", "", "`address` of a node for operators, IP and port"), tokenFile: new(string),
		asJSON: flags.Bool("json", false, "print JSON"),
	}
	values := map[string]*string{}
	for _, parameter := range whereParameters() {
		values[parameter[0]] = flags.String(parameter[0], "", parameter[1])
	}
	return func(arguments []string, s streams) int {
		if node.address() == "" || len(arguments) > 0 || (*values["route"] == "") == (*values["host"] == "") {
			return verbWhere().usageError(s, "-node ADDRESS and either -host HOST or -route ROUTE are needed")
		}
		query := url.Values{}
		for name, value := range values {
			if *value != "" {
				query.Set(name, *value)
			}
		}
		body, err := node.get("/where?" + query.Encode())
		if err != nil {
			return verbWhere().fail(s, err)
		}
		if node.wantsJSON() {
			writeLine(s.stdout, string(body))
			return ExitSuccess
		}
		var answer forwarder.Whereabouts
		if err := json.Unmarshal(body, &answer); err != nil {
			return verbWhere().fail(s, fmt.Errorf("decode the node's answer: %w", err))
		}
		printWhereabouts(s.stdout, &answer)
		return ExitSuccess
	}
}

func printWhereabouts(w io.Writer, answer *forwarder.Whereabouts) {
	if answer.Route != "" {
		fmt.Fprintf(w, "route %s at version %d, priority %d\n", answer.Route, answer.Version, answer.Priority)
	}
	if answer.Tenant != "" {
		fmt.Fprintf(w, "tenant %s, priority %d\n", answer.Tenant, answer.TenantPriority)
	}
	if answer.Refusal != nil {
		printRefusal(w, "", answer.Refusal)
	}
	for i := range answer.Services {
		printDestination(w, &answer.Services[i])
	}
}

func printRefusal(w io.Writer, indent string, refusal *forwarder.Refusal) {
	fmt.Fprintf(w, "%srefused with %d %s: %s", indent, refusal.Status, refusal.Code, refusal.Message)
	if refusal.RetryMS > 0 {
		fmt.Fprintf(w, "; retry after %d ms", refusal.RetryMS)
	}
	fmt.Fprintln(w)
}

func printDestination(w io.Writer, d *forwarder.Destination) {
	fmt.Fprintf(w, "service %s, %.0f%% of the route's requests", d.Service, d.Share*100)
	if d.Urgency >= 0 {
		fmt.Fprintf(w, ", urgency %d", d.Urgency)
	}
	fmt.Fprintf(w, ": %s\n", d)
	if d.Refusal != nil {
		printRefusal(w, "  ", d.Refusal)
	}
	for _, wait := range d.Waits {
		expected := "an unknown time"
		if wait.ExpectedMS >= 0 {
			expected = fmt.Sprintf("%d ms", wait.ExpectedMS)
		}
		fmt.Fprintf(w, "  waits for its %s: %s, %d ms at most", wait.For, expected, wait.LatestMS)
		if wait.Before > 0 {
			fmt.Fprintf(w, ", after %d others", wait.Before)
		}
		fmt.Fprintln(w)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  WORKER\tZONE\tCHANCE\tLOAD\tCOST\tWHY NOT")
	for _, option := range d.Workers {
		reason := option.Reason
		if reason == "" {
			reason = "-"
		}
		if option.UntilMS > 0 {
			reason += fmt.Sprintf(" for %d ms", option.UntilMS)
		}
		load, cost := "", ""
		if option.Slots > 0 {
			load, cost = fmt.Sprintf("%d of %d", option.Load, option.Slots), fmt.Sprintf("%.2f", option.Cost)
		}
		fmt.Fprintf(table, "  %s\t%s\t%.3f\t%s\t%s\t%s\n", option.Worker, option.Zone, option.Chance, load, cost, reason)
	}
	_ = table.Flush()
}
