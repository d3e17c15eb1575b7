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

	"github.com/acaciaproxy/acaciaproxy/adminserver"
)

func verbStatus() verb {
	return verb{
		name:      "status",
		summary:   "Shows the state of nodes: leaders, leases, versions in force, workers and their loaded units.",
		arguments: "-operators ADDRESS[,ADDRESS...]",
		prepare:   prepareStatus,
	}
}

// nodeFlags are the flags of verbs that query nodes.
type nodeFlags struct {
	operators, tokenFile *string
	asJSON               *bool
}

func addNodeFlags(flags *flag.FlagSet) nodeFlags {
	return nodeFlags{
		operators: flags.String("operators", "", "`address` of a node for operators, IP and port"),
		tokenFile: flags.String("token", "", "`file` that holds the operators' token"),
		asJSON:    flags.Bool("json", false, "print JSON"),
	}
}

func (n nodeFlags) address() string { return *n.operators }

func (n nodeFlags) wantsJSON() bool { return *n.asJSON }

// nodeTimeout bounds one request to a node.
const nodeTimeout = 3 * time.Second

// get returns the body of the response for a path, for verbs that query one node.
func (n nodeFlags) get(path string) ([]byte, error) { return n.getFrom(*n.operators, path) }

// getFrom returns the body of a node's response; any status but 200 is an error.
func (n nodeFlags) getFrom(address, path string) ([]byte, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("invalid address of a node, %q: %w", address, err)
	}
	if *n.tokenFile != "" {
		token, err := os.ReadFile(*n.tokenFile)
		if err != nil {
			return nil, fmt.Errorf("read token file: %w", err)
		}
		request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	}
	client := http.Client{Timeout: nodeTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("query node at %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read response of node at %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("node at %s: status %d, want 200: %s", address, response.StatusCode, body)
	}
	return body, nil
}

func prepareStatus(flags *flag.FlagSet) func([]string, streams) int {
	node := addNodeFlags(flags)
	return func(arguments []string, s streams) int {
		if node.address() == "" || len(arguments) > 0 {
			return verbStatus().usageError(s, "-operators ADDRESS is needed and nothing else")
		}
		return showStatuses(node, s)
	}
}

// showStatuses queries every node of the -operators flag and prints the statuses
// of those that responded; the exit code is ExitFailure unless all did.
func showStatuses(node nodeFlags, s streams) int {
	code := ExitSuccess
	statuses := []adminserver.Status{}
	for _, address := range strings.Split(node.address(), ",") {
		body, err := node.getFrom(address, "/status")
		var status adminserver.Status
		if err == nil {
			err = json.Unmarshal(body, &status)
		}
		if err != nil {
			code = verbStatus().fail(s, err)
			continue
		}
		statuses = append(statuses, status)
	}
	if node.wantsJSON() {
		text, err := json.MarshalIndent(statuses, "", "  ")
		if err != nil {
			return verbStatus().fail(s, err)
		}
		writeLine(s.stdout, string(text))
		return code
	}
	printTables(s.stdout, statuses)
	return code
}

// printTables prints one table of the nodes and one of the workers of their zones.
func printTables(w io.Writer, statuses []adminserver.Status) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tZONE\tVERSION\tLEADS\tEPOCH\tHOLDER\tINFLIGHT")
	for _, status := range statuses {
		fmt.Fprintf(table, "%s\t%s\t%d\t%v\t%d\t%s\t%d\n", status.Node, status.Zone, status.Version, status.Leading, status.Lease.Epoch, status.Lease.Holder.Node, status.InFlight)
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "WORKER\tZONE\tGROUP\tSTATE\tRUNNING\tQUEUED\tUNITS")
	shown := map[string]bool{}
	for _, status := range statuses {
		printWorkers(table, status, shown)
	}
	_ = table.Flush()
}

// printWorkers prints the workers in the zone of the status's node that are not
// in shown yet, and adds them to it.
func printWorkers(w io.Writer, status adminserver.Status, shown map[string]bool) {
	for _, worker := range status.Workers {
		if worker.Zone != status.Zone || shown[worker.ID] {
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
