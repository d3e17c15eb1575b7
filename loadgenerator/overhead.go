package loadgenerator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// OverheadOptions describe a comparison of requests through a node with requests
// sent directly to the engine behind it.
type OverheadOptions struct {
	// Node is the node's address for callers, Operators its address for operators (empty to skip the
	// measurement of streams), Engine the engine's address.
	Node, Operators, Engine string
	// Route is the route at the node, Unit the unit at the engine that serves it.
	Route, Unit string
	// Rate is the number of requests per second on each path.
	Rate float64
	// Seconds is the length of each of the two measurements.
	Seconds float64
	// Streams is the number of concurrent streams in the measurement of tokens per second.
	Streams int
	// Tokens is the length of each of these streams in tokens.
	Tokens int
}

func prepareOverhead(flags *flag.FlagSet) func(io.Writer) error {
	var options OverheadOptions
	flags.StringVar(&options.Node, "node", "", "callers' `address` of a node")
	flags.StringVar(&options.Operators, "operators", "", "operators' `address` of the same node")
	flags.StringVar(&options.Engine, "engine", "", "`address` of the engine that has the unit loaded")
	flags.StringVar(&options.Route, "route", "", "route that the node serves from the engine")
	flags.StringVar(&options.Unit, "unit", "", "unit of the route at the engine")
	flags.Float64Var(&options.Rate, "rate", 200, "requests per second on each path")
	flags.Float64Var(&options.Seconds, "seconds", 10, "length of each measurement in seconds")
	flags.IntVar(&options.Streams, "streams", 32, "concurrent streams")
	flags.IntVar(&options.Tokens, "tokens", 2000, "length of each stream in tokens")
	return func(out io.Writer) error {
		if options.Node == "" || options.Engine == "" || options.Route == "" || options.Unit == "" {
			return fmt.Errorf("-node, -engine, -route and -unit are needed")
		}
		return Overhead(options, out)
	}
}

// target is one of the two paths to the engine: through the node or direct.
type target struct {
	address, model string
	// latency is the time to the end of the stream, firstEvent the time to its first event.
	latency    *hdrhistogram.Histogram
	firstEvent *hdrhistogram.Histogram
	// failed counts the requests without a complete stream.
	failed int
}

// Overhead measures the latency that a node adds by sending each request both
// through the node and directly to the engine, and then the number of streamed
// tokens per second of the node's processor time. It prints the results to out.
func Overhead(options OverheadOptions, out io.Writer) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	targets := []*target{
		{address: options.Node, model: options.Route, latency: newHistogram(), firstEvent: newHistogram()},
		{address: options.Engine, model: options.Unit, latency: newHistogram(), firstEvent: newHistogram()},
	}
	sendToBoth(client, options, targets)
	names := []string{"through the node", "straight"}
	for i, t := range targets {
		latency, firstEvent := summarize("", t.latency), summarize("", t.firstEvent)
		fmt.Fprintf(out, "%-17s whole p50 %.2f ms, p99 %.2f ms; first p50 %.2f ms, p99 %.2f ms; %d ended, %d failed\n",
			names[i], latency.P50, latency.P99, firstEvent.P50, firstEvent.P99, latency.Count, t.failed)
	}
	node, direct := summarize("", targets[0].latency), summarize("", targets[1].latency)
	fmt.Fprintf(out, "added             whole p50 %.2f ms, p99 %.2f ms\n", node.P50-direct.P50, node.P99-direct.P99)
	if options.Operators == "" {
		return nil
	}
	return measureStreamRate(client, options, out)
}

// sendToBoth sends each request to both targets concurrently, open loop.
func sendToBoth(client *http.Client, options OverheadOptions, targets []*target) {
	var mu sync.Mutex
	var group sync.WaitGroup
	started := time.Now()
	count := int(options.Rate * options.Seconds)
	for i := range count {
		due := started.Add(time.Duration(float64(i) / options.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		for _, t := range targets {
			group.Go(func() {
				first, err := runStream(client, t.address, t.model, fmt.Sprintf("overhead %d", i), 8)
				elapsed := time.Since(due)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.failed++
					return
				}
				recordDuration(t.latency, elapsed)
				recordDuration(t.firstEvent, first.Sub(due))
			})
		}
	}
	group.Wait()
}

// runStream sends one streamed request, reads the response to its end and returns
// the time of its first event. An incomplete stream is an error.
func runStream(client *http.Client, address, model, prompt string, tokens int) (first time.Time, err error) {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return first, fmt.Errorf("encode request: %w", err)
	}
	response, err := client.Post("http://"+address+"/v1/chat/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return first, err
	}
	defer response.Body.Close()
	events := 0
	done := false
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data: ") {
			if events == 0 {
				first = time.Now()
			}
			events++
			done = scanner.Text() == "data: [DONE]"
		}
	}
	if !done || events != tokens+2 {
		return first, fmt.Errorf("stream is incomplete: it ended after %d events, [DONE] received: %v", events, done)
	}
	return first, scanner.Err()
}

// measureStreamRate runs concurrent streams through the node and prints the
// number of streamed tokens per second of the node's processor time.
func measureStreamRate(client *http.Client, options OverheadOptions, out io.Writer) error {
	before, err := processorSeconds(client, options.Operators)
	if err != nil {
		return err
	}
	started := time.Now()
	end := started.Add(time.Duration(options.Seconds * float64(time.Second)))
	var mu sync.Mutex
	var group sync.WaitGroup
	tokens, failed := 0, 0
	for i := range options.Streams {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				_, err := runStream(client, options.Node, options.Route, fmt.Sprintf("rate %d %d", i, n), options.Tokens)
				mu.Lock()
				if err != nil {
					failed++
				} else {
					tokens += options.Tokens
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	elapsed := time.Since(started).Seconds()
	after, err := processorSeconds(client, options.Operators)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "streams           %d at once: %.0f tokens/s, node used %.2f processor seconds in %.1f s: %.0f tokens for each processor second; %d failed\n",
		options.Streams, float64(tokens)/elapsed, after-before, elapsed, float64(tokens)/(after-before), failed)
	return nil
}

// processorSeconds returns the processor time that a node has used since its
// start, in seconds.
func processorSeconds(client *http.Client, operators string) (float64, error) {
	var metrics struct {
		Processor float64 `json:"processor_seconds"`
	}
	if err := getJSON(client, operators, "/debug/vars", &metrics); err != nil {
		return 0, fmt.Errorf("read metrics of node %s: %w", operators, err)
	}
	return metrics.Processor, nil
}
