package commander

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/acaciaproxy/acaciaproxy/operator"
)

func verbStatus() verb {
	return verb{
		name:      "status",
		summary:   "Shows what nodes know: leaders, leases, versions in force, workers and residency.",
		arguments: "-operators ADDRESS[,ADDRESS...]",
		prepare:   prepareStatus,
	}
}

// nodeFlags are the flags of verbs that speak with a node.
type nodeFlags struct {
	operators, tokenFile *string
	asJSON               *bool
}

func addNodeFlags(flags *flag.FlagSet) nodeFlags {
	return nodeFlags{
		operators: flags.String("operators", "", "`address` for operators of a node, IP and port"),
		tokenFile: flags.String("token", "", "`file` that holds the operators' token"),
		asJSON:    flags.Bool("json", false, "print JSON"),
	}
}

func (n nodeFlags) address() string { return *n.operators }

func (n nodeFlags) wantsJSON() bool { return *n.asJSON }

// nodeTime bounds a call to a node.
const nodeTime = 3 * time.Second

// get returns the body of a node's answer.
func (n nodeFlags) get(path string) ([]byte, error) { return n.getFrom(*n.operators, path) }

func (n nodeFlags) getFrom(address, path string) ([]byte, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	if *n.tokenFile != "" {
		token, err := os.ReadFile(*n.tokenFile)
		if err != nil {
			return nil, fmt.Errorf("token file: %w", err)
		}
		request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	client := http.Client{Timeout: nodeTime}
	answer, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("node at %s: %w", address, err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, fmt.Errorf("node at %s: %w", address, err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("node at %s: status %d: %s", address, answer.StatusCode, body)
	}
	return body, nil
}

func prepareStatus(flags *flag.FlagSet) func([]string, streams) int {
	node := addNodeFlags(flags)
	return func(arguments []string, s streams) int {
		if node.address() == "" || len(arguments) > 0 {
			return verbStatus().usageError(s, "-operators ADDRESS is needed and nothing else")
		}
		return status(node, s)
	}
}

func status(node nodeFlags, s streams) int {
	code := ExitDone
	statuses := []operator.Status{}
	for _, address := range strings.Split(node.address(), ",") {
		text, err := node.getFrom(address, "/status")
		var one operator.Status
		if err == nil {
			err = json.Unmarshal(text, &one)
		}
		if err != nil {
			code = verbStatus().refuse(s, err)
			continue
		}
		statuses = append(statuses, one)
	}
	if node.wantsJSON() {
		text, err := json.MarshalIndent(statuses, "", "  ")
		if err != nil {
			return verbStatus().refuse(s, err)
		}
		writeLine(s.out, string(text))
		return code
	}
	printStatuses(s.out, statuses)
	return code
}

func printStatuses(w io.Writer, statuses []operator.Status) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tZONE\tVERSION\tLEADS\tEPOCH\tHOLDER\tINFLIGHT")
	for _, one := range statuses {
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%d\t%s\t%d\n", one.Node, one.Zone, one.Version, one.Leading, one.Lease.Epoch, one.Lease.Holder.Node, one.InFlight)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "WORKER\tZONE\tGROUP\tSTATE\tRUNNING\tQUEUED\tUNITS")
	shown := map[string]bool{}
	for _, one := range statuses {
		printWorkers(table, one, shown)
	}
	_ = table.Flush()
}

// printWorkers prints the workers of the status's own zone that are not shown yet.
func printWorkers(w io.Writer, one operator.Status, shown map[string]bool) {
	for _, worker := range one.Workers {
		if worker.Zone != one.Zone || shown[worker.ID] {
			continue
		}
		shown[worker.ID] = true
		state := "live"
		if worker.Leaving {
			state = "leaving"
		}
		units := make([]string, 0, len(worker.Units))
		for unit, phase := range worker.Units {
			units = append(units, unit+":"+phase)
		}
		sort.Strings(units)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", worker.ID, worker.Zone, worker.Group, state, worker.Running, worker.Queued, strings.Join(units, " "))
	}
}
