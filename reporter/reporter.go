// Package reporter explains logs: the path of one request over all nodes, and
// sums over all requests.
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
	// before and after bound the lines around a request that are shown as what it depended on.
	before = 5 * time.Second
	after  = 1 * time.Second
	// slowest is how many of the slowest requests a report names.
	slowest = 10
)

// beliefs are the messages that change what all requests depend on.
var beliefs = map[string]bool{
	"lease taken": true, "lease lost": true, "lease handed over": true, "lease held over by promises": true, "orders begin": true, "orders end": true,
	"leader heard": true, "leader lost": true, "dependency lost": true, "dependency regained": true, "configuration in force": true, "node stops": true,
}

// Trace writes the path of one request in the order of time, with the loads of
// its model and the beliefs around it. It reports whether any line names it.
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
		if line.At.Before(first.Add(-before)) || line.At.After(last.Add(after)) {
			continue
		}
		mark := " "
		switch {
		case line.Text("request") == id:
			mark = ">"
		case model != "" && line.Text("model") == model && line.Text("request") == "":
		case beliefs[line.Message] && nodes[line.Node]:
		default:
			continue
		}
		fmt.Fprintf(w, "%s %8.3f %s %s%s\n", mark, line.At.Sub(first).Seconds(), line.Node, line.Message, details(line))
	}
	return true
}

// details returns a line's other fields in the order of their names.
func details(line *logreader.Line) string {
	keys := make([]string, 0, len(line.Fields))
	for key := range line.Fields {
		if key != "time" && key != "level" && key != "message" && key != "request" {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	var text strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&text, " %s=%v", key, line.Fields[key])
	}
	return text.String()
}

// Count is a name with how often it occurred.
type Count struct {
	Name  string
	Count int
}

// Request is a request among the slowest.
type Request struct {
	ID, Route, Model string
	MS, HeldMS       float64
}

// Report is the sums over logs.
type Report struct {
	// Ends counts requests by how they ended, Loads loads by tier, Leaders changes of leaders by zone.
	Ends, Loads, Leaders []Count
	// LoadMS is the mean time of loads by tier, in milliseconds.
	LoadMS map[string]float64
	// Slowest are the slowest requests that were answered.
	Slowest []Request
	// Seconds counts the ends of each second that are no answers.
	Seconds []Count
	// Omitted counts the lines that nodes left out.
	Omitted int
	// Bad are sentences about lines that could not be read.
	Bad []string
}

// Sum returns the sums over a log.
func Sum(log *logreader.Log) *Report {
	ends, loads, leaders, seconds := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	times := map[string]float64{}
	report := &Report{LoadMS: map[string]float64{}, Bad: log.Warnings()}
	for i := range log.Lines() {
		line := &log.Lines()[i]
		report.Omitted += int(line.Number("omitted"))
		switch line.Message {
		case "request answered":
			ends["answered"]++
			report.Slowest = append(report.Slowest, Request{
				ID: line.Text("request"), Route: line.Text("route"), Model: line.Text("model"), MS: line.Number("after_ms"), HeldMS: line.Number("held_ms"),
			})
		case "request not answered":
			ends[line.Text("code")]++
			seconds[line.At.UTC().Format("15:04:05")]++
		case "load done":
			loads[line.Text("tier")]++
			times[line.Text("tier")] += line.Number("unload_ms") + line.Number("load_ms")
		case "lease taken":
			leaders[line.Text("zone")]++
		}
	}
	for tier, count := range loads {
		report.LoadMS[tier] = times[tier] / float64(count)
	}
	sort.SliceStable(report.Slowest, func(i, j int) bool { return report.Slowest[i].MS > report.Slowest[j].MS })
	report.Slowest = report.Slowest[:min(len(report.Slowest), slowest)]
	report.Ends, report.Loads, report.Leaders, report.Seconds = sorted(ends), sorted(loads), sorted(leaders), sorted(seconds)
	return report
}

func sorted(counts map[string]int) []Count {
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
	for _, tier := range r.Loads {
		fmt.Fprintf(w, "  mean of %s: %.0f ms\n", tier.Name, r.LoadMS[tier.Name])
	}
	section("leases taken by zone", r.Leaders)
	fmt.Fprintln(w, "slowest answers")
	for _, request := range r.Slowest {
		fmt.Fprintf(w, "  %s %s %s %.0f ms, held %.0f ms\n", request.ID, request.Route, request.Model, request.MS, request.HeldMS)
	}
	fmt.Fprintf(w, "lines left out by nodes: %d\n", r.Omitted)
	for _, sentence := range r.Bad {
		fmt.Fprintln(w, sentence)
	}
}

// page shows a report without a network: bars are plain elements.
var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>acaciaproxy report</title>
<style>body{font:14px sans-serif;margin:2em}td{padding:0 .5em}.bar{background:#468;height:1em}</style>
{{define "bars"}}<table>{{range .}}<tr><td>{{.Name}}</td><td>{{.Count}}</td><td><div class="bar" style="width:{{.Count}}px;max-width:600px"></div></td></tr>{{end}}</table>{{end}}
<h1>Requests by their end</h1>{{template "bars" .Ends}}
<h1>Ends that are no answers, by second</h1>{{template "bars" .Seconds}}
<h1>Loads by tier</h1>{{template "bars" .Loads}}
<h1>Leases taken by zone</h1>{{template "bars" .Leaders}}
<h1>Slowest answers</h1><table>{{range .Slowest}}<tr><td>{{.ID}}</td><td>{{.Route}}</td><td>{{.Model}}</td><td>{{printf "%.0f" .MS}} ms</td><td>held {{printf "%.0f" .HeldMS}} ms</td></tr>{{end}}</table>
<p>Lines left out by nodes: {{.Omitted}}</p>{{range .Bad}}<p>{{.}}</p>{{end}}
</html>
`))

// Draw writes a report as a page.
func (r *Report) Draw(w io.Writer) error {
	if err := page.Execute(w, r); err != nil {
		return fmt.Errorf("draw report: %w", err)
	}
	return nil
}
