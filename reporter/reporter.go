// Package reporter evaluates the logs of nodes: it traces one request over all
// nodes, and it computes and prints totals over all requests.
package reporter

import (
	"fmt"
	"html/template"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/logreader"
)

const (
	// contextBefore and contextAfter are how long before a request's arrival and after its last line a
	// trace shows related lines.
	contextBefore = 5 * time.Second
	contextAfter  = 1 * time.Second
	// slowestCount is how many of the slowest requests a report lists.
	slowestCount = 10
)

// contextMessages are the log messages about what all requests of a node depend
// on: leases, leaders, dependencies, the configuration and the node's end.
var contextMessages = map[string]bool{
	"lease taken": true, "lease lost": true, "lease handed over": true, "lease held over by promises": true, "orders begin": true, "orders end": true,
	"leader heard": true, "leader lost": true, "dependency lost": true, "dependency regained": true, "configuration in force": true, "node stops": true,
	"store has come back from an older copy": true, "lease has come back from an older copy of the store": true, "lease written again": true,
	"keys are stale: no key is accepted": true, "keys are fresh again": true,
}

// Trace writes the lines of one request in the order of time, marked with ">",
// and between them the lines about its model, the lines of other requests that got
// a response to it, and the context messages of the nodes that handled it. Times are seconds from the request's arrival. Trace
// reports whether any line names the request.
func Trace(w io.Writer, log *logreader.Log, id string) bool {
	var first, last time.Time
	model, nodes := "", map[string]bool{}
	for i := range log.Lines() {
		line := &log.Lines()[i]
		if line.Text("request") != id {
			continue
		}
		if first.IsZero() {
			first = line.At.Add(-time.Duration(line.Number("after_ms")) * time.Millisecond)
		}
		last = line.At
		nodes[line.Node] = true
		if name := line.Text("model"); name != "" {
			model = name
		}
	}
	if first.IsZero() {
		return false
	}
	for i := range log.Lines() {
		line := &log.Lines()[i]
		if line.At.Before(first.Add(-contextBefore)) || line.At.After(last.Add(contextAfter)) {
			continue
		}
		mark := " "
		switch {
		case line.Text("request") == id:
			mark = ">"
		case line.Text("answered_request") == id: // A response to it met another request.
		case model != "" && line.Text("model") == model && line.Text("request") == "":
		case contextMessages[line.Message] && nodes[line.Node]:
		default:
			continue
		}
		fmt.Fprintf(w, "%s %8.3f %s %s%s\n", mark, line.At.Sub(first).Seconds(), line.Node, line.Message, formatFields(line, id))
		tries, _ := line.Fields["tries"].([]any)
		for _, try := range tries {
			fmt.Fprintf(w, "%s %8s   try %v\n", mark, "", try)
		}
	}
	return true
}

// formatFields returns " key=value" for each field of a line except those that the
// trace of a request shows otherwise or leaves out, in the order of the keys.
func formatFields(line *logreader.Line, id string) string {
	keys := make([]string, 0, len(line.Fields))
	for key := range line.Fields {
		if key == "time" || key == "level" || key == "message" || key == "tries" || key == "request" && (line.Text(key) == id || line.Text(key) == "") {
			continue
		}
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var text strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&text, " %s=%v", key, line.Fields[key])
	}
	return text.String()
}

// Count is how often a name occurred.
type Count struct {
	Name  string
	Count int
}

// AnsweredRequest is a request that was answered.
type AnsweredRequest struct {
	ID, Route, Model string
	// DurationMS is the time from arrival to the end of the response, HeldMS the part
	// of it in which the request waited for its model, both in milliseconds.
	DurationMS, HeldMS float64
}

// Report holds the totals over the lines of a log.
type Report struct {
	// Ends counts requests by how they ended: "answered", or the code of the failure. Loads counts
	// loads by tier, LeasesTaken the leases that leaders took, by zone.
	Ends, Loads, LeasesTaken []Count
	// MeanLoadMS is the mean time of a load by tier, in milliseconds, including that of the unload before it.
	MeanLoadMS map[string]float64
	// Slowest lists up to slowestCount answered requests, the slowest first.
	Slowest []AnsweredRequest
	// Unanswered counts the requests that were not answered, by second of the day in UTC.
	Unanswered []Count
	// OmittedLines counts the lines that the nodes' loggers suppressed.
	OmittedLines int
	// Warnings has one entry for each file with lines that could not be parsed.
	Warnings []string
}

// Summarize returns the totals over a log.
func Summarize(log *logreader.Log) *Report {
	ends, loads, leases, unanswered := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	loadTimes := map[string]float64{}
	report := &Report{MeanLoadMS: map[string]float64{}, Warnings: log.Warnings()}
	for i := range log.Lines() {
		line := &log.Lines()[i]
		report.OmittedLines += int(line.Number("omitted"))
		switch line.Message {
		case "request answered":
			ends["answered"]++
			report.Slowest = append(report.Slowest, AnsweredRequest{
				ID: line.Text("request"), Route: line.Text("route"), Model: line.Text("model"), DurationMS: line.Number("after_ms"), HeldMS: line.Number("held_ms"),
			})
		case "request not answered":
			ends[line.Text("code")]++
			unanswered[line.At.UTC().Format("15:04:05")]++
		case "load done":
			loads[line.Text("tier")]++
			loadTimes[line.Text("tier")] += line.Number("unload_ms") + line.Number("load_ms")
		case "lease taken":
			leases[line.Text("zone")]++
		}
	}
	for tier, count := range loads {
		report.MeanLoadMS[tier] = loadTimes[tier] / float64(count)
	}
	sort.SliceStable(report.Slowest, func(i, j int) bool { return report.Slowest[i].DurationMS > report.Slowest[j].DurationMS })
	report.Slowest = report.Slowest[:min(len(report.Slowest), slowestCount)]
	report.Ends, report.Loads, report.LeasesTaken, report.Unanswered = sortByName(ends), sortByName(loads), sortByName(leases), sortByName(unanswered)
	return report
}

func sortByName(counts map[string]int) []Count {
	list := make([]Count, 0, len(counts))
	for name, count := range counts {
		list = append(list, Count{name, count})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Print writes a report as text.
func (r *Report) Print(w io.Writer) {
	section := func(title string, counts []Count) {
		fmt.Fprintln(w, title)
		for _, c := range counts {
			fmt.Fprintf(w, "  %-20s %d\n", c.Name, c.Count)
		}
	}
	section("requests by their end", r.Ends)
	section("loads by tier", r.Loads)
	for _, load := range r.Loads {
		fmt.Fprintf(w, "  mean of %s: %.0f ms\n", load.Name, r.MeanLoadMS[load.Name])
	}
	section("leases taken by zone", r.LeasesTaken)
	fmt.Fprintln(w, "slowest answers")
	for _, request := range r.Slowest {
		fmt.Fprintf(w, "  %s %s %s %.0f ms, held %.0f ms\n", request.ID, request.Route, request.Model, request.DurationMS, request.HeldMS)
	}
	fmt.Fprintf(w, "lines left out by nodes: %d\n", r.OmittedLines)
	for _, warning := range r.Warnings {
		fmt.Fprintln(w, warning)
	}
}

// pageTemplate is the HTML page of a report. The bars are plain HTML elements, so
// that the page needs nothing from a network.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>acaciaproxy report</title>
<style>body{font:14px sans-serif;margin:2em}td{padding:0 .5em}.bar{background:#468;height:1em}</style>
{{define "bars"}}<table>{{range .}}<tr><td>{{.Name}}</td><td>{{.Count}}</td><td><div class="bar" style="width:{{.Count}}px;max-width:600px"></div></td></tr>{{end}}</table>{{end}}
<h1>Requests by their end</h1>{{template "bars" .Ends}}
<h1>Ends that are no answers, by second</h1>{{template "bars" .Unanswered}}
<h1>Loads by tier</h1>{{template "bars" .Loads}}
<h1>Leases taken by zone</h1>{{template "bars" .LeasesTaken}}
<h1>Slowest answers</h1><table>{{range .Slowest}}<tr><td>{{.ID}}</td><td>{{.Route}}</td><td>{{.Model}}</td><td>{{printf "%.0f" .DurationMS}} ms</td><td>held {{printf "%.0f" .HeldMS}} ms</td></tr>{{end}}</table>
<p>Lines left out by nodes: {{.OmittedLines}}</p>{{range .Warnings}}<p>{{.}}</p>{{end}}
</html>
`))

// WritePage writes a report as an HTML page with bar charts.
func (r *Report) WritePage(w io.Writer) error {
	if err := pageTemplate.Execute(w, r); err != nil {
		return fmt.Errorf("render report page: %w", err)
	}
	return nil
}
