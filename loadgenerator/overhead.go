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

// OverheadOptions describe a comparison between a node and an engine.
type OverheadOptions struct {
	Node, Operators, Engine string
	Route, Unit             string
	Rate                    float64
	Seconds                 float64
	// Streams is how many streams run at once when tokens a second are measured.
	Streams int
	// Tokens is the length of each stream.
	Tokens int
}

func prepareOverhead(flags *flag.FlagSet) func(io.Writer) error {
	var options OverheadOptions
	flags.StringVar(&options.Node, "node", "", "callers' `address` of a node")
	flags.StringVar(&options.Operators, "operators", "", "operators' `address` of the same node")
	flags.StringVar(&options.Engine, "engine", "", "`address` of the engine that holds the unit")
	flags.StringVar(&options.Route, "route", "", "route that the node serves from the engine")
	flags.StringVar(&options.Unit, "unit", "", "unit of the route at the engine")
	flags.Float64Var(&options.Rate, "rate", 200, "requests a second on each way")
	flags.Float64Var(&options.Seconds, "seconds", 10, "length of each part")
	flags.IntVar(&options.Streams, "streams", 32, "streams at once")
	flags.IntVar(&options.Tokens, "tokens", 2000, "tokens of each stream")
	return func(out io.Writer) error {
		if options.Node == "" || options.Engine == "" || options.Route == "" || options.Unit == "" {
			return fmt.Errorf("-node, -engine, -route and -unit are needed")
		}
		return Overhead(options, out)
	}
}

// way is one of the two ways to the engine.
type way struct {
	address, model string
	latency        *hdrhistogram.Histogram
	first          *hdrhistogram.Histogram
	failed         int
}

// Overhead measures what a node adds, both ways in one run, request by request.
func Overhead(options OverheadOptions, out io.Writer) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	ways := []*way{
		{address: options.Node, model: options.Route, latency: newHistogram(), first: newHistogram()},
		{address: options.Engine, model: options.Unit, latency: newHistogram(), first: newHistogram()},
	}
	offerBothWays(client, options, ways)
	names := []string{"through the node", "straight"}
	for i, w := range ways {
		whole, first := summarize("", w.latency), summarize("", w.first)
		fmt.Fprintf(out, "%-17s whole p50 %.2f ms, p99 %.2f ms; first p50 %.2f ms, p99 %.2f ms; %d ended, %d failed\n",
			names[i], whole.P50, whole.P99, first.P50, first.P99, whole.Count, w.failed)
	}
	node, straight := summarize("", ways[0].latency), summarize("", ways[1].latency)
	fmt.Fprintf(out, "added             whole p50 %.2f ms, p99 %.2f ms\n", node.P50-straight.P50, node.P99-straight.P99)
	if options.Operators == "" {
		return nil
	}
	return streamRate(client, options, out)
}

// offerBothWays sends each request on both ways, open loop.
func offerBothWays(client *http.Client, options OverheadOptions, ways []*way) {
	var mu sync.Mutex
	var group sync.WaitGroup
	began := time.Now()
	count := int(options.Rate * options.Seconds)
	for i := range count {
		due := began.Add(time.Duration(float64(i) / options.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		for _, w := range ways {
			group.Go(func() {
				first, err := stream(client, w.address, w.model, fmt.Sprintf("overhead %d", i), 8)
				took := time.Since(due)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					w.failed++
					return
				}
				record(w.latency, took)
				record(w.first, first.Sub(due))
			})
		}
	}
	group.Wait()
}

// stream runs one streamed request to its end and returns when its first event came.
func stream(client *http.Client, address, model, prompt string, tokens int) (first time.Time, err error) {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return first, fmt.Errorf("encode request: %w", err)
	}
	answer, err := client.Post("http://"+address+"/v1/chat/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return first, err
	}
	defer answer.Body.Close()
	events := 0
	done := false
	scanner := bufio.NewScanner(answer.Body)
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
		return first, fmt.Errorf("stream ended after %d events, done %v", events, done)
	}
	return first, scanner.Err()
}

// streamRate measures the streamed tokens for each second of the node's processor time.
func streamRate(client *http.Client, options OverheadOptions, out io.Writer) error {
	before, err := processorSeconds(client, options.Operators)
	if err != nil {
		return err
	}
	began := time.Now()
	end := began.Add(time.Duration(options.Seconds * float64(time.Second)))
	var mu sync.Mutex
	var group sync.WaitGroup
	tokens, failed := 0, 0
	for i := range options.Streams {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				_, err := stream(client, options.Node, options.Route, fmt.Sprintf("rate %d %d", i, n), options.Tokens)
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
	took := time.Since(began).Seconds()
	after, err := processorSeconds(client, options.Operators)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "streams           %d at once: %.0f tokens/s, node used %.2f processor seconds in %.1f s: %.0f tokens for each processor second; %d failed\n",
		options.Streams, float64(tokens)/took, after-before, took, float64(tokens)/(after-before), failed)
	return nil
}

// processorSeconds returns the processor time that a node has used.
func processorSeconds(client *http.Client, operators string) (float64, error) {
	var vars struct {
		Processor float64 `json:"processor_seconds"`
	}
	if err := getJSON(client, operators, "/debug/vars", &vars); err != nil {
		return 0, fmt.Errorf("metrics of node %s: %w", operators, err)
	}
	return vars.Processor, nil
}
