package loadgenerator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/arrivalgenerator"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/enginestandin"
	"github.com/acaciaproxy/acaciaproxy/gateway"
)

// OfferOptions describe a load and the systems under test.
type OfferOptions struct {
	// Configuration holds the routes and tenants that the load is drawn from.
	Configuration *configreader.Configuration
	// Nodes are the callers' addresses of the nodes. Engines and Registers are the addresses of the
	// engine and register stand-ins whose records the responses are compared with; both may be empty.
	Nodes, Engines, Registers []string
	// Seed determines the load, so that it can be repeated.
	Seed int64
	// Rate is the mean number of requests per second.
	Rate float64
	// Length is how long requests are sent.
	Length time.Duration
	// StartOfDay is the time of day at the start of the load.
	StartOfDay time.Duration
	// JSONPath is the file for the report as JSON; empty for none.
	JSONPath string
	// Balanced sends requests only to nodes whose /readyz responds with status 200, as the platform's load balancer does.
	Balanced bool
}

// Classes of how a request ended.
const (
	endAnswered = "answered"
	endRefused  = "refused"
	endUnknown  = "unknown"
	// endLost is a request that got no valid response, endCrossed one that got the response to another
	// request, endTruncated one whose response is incomplete but was sent as complete.
	endLost      = "lost"
	endCrossed   = "crossed"
	endTruncated = "truncated"
	// endLate is a request whose response ended after its deadline.
	endLate = "late"
)

// progressInterval is the time between two progress lines.
const progressInterval = 5 * time.Second

// lateTolerance is how long after its deadline a response may end without counting as
// late; it covers the transfer back to the load generator.
const lateTolerance = 500 * time.Millisecond

// loadRun is a load that is being sent.
type loadRun struct {
	options OfferOptions
	client  *http.Client
	started time.Time
	report  *Report
	// sent and ended count requests; the report's lock guards them.
	sent, ended int
	// ready holds the nodes that were ready at the last poll; the report's lock guards it.
	ready []string
}

// Offer sends a load, open loop: each request is sent at its scheduled time, no
// matter how many others are in flight, and its latency counts from that time.
// Progress lines go to progress. An error means that a record of a stand-in could
// not be read; faults of the responses are in the report.
func Offer(options OfferOptions, progress io.Writer) (*Report, error) {
	l := &loadRun{
		options: options,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		started: time.Now(),
		report:  newReport(options),
	}
	stopPolling := l.pollReadiness()
	defer stopPolling()
	stopSampling := l.sampleEngines()
	stopProgress := l.printProgress(progress)
	l.sendAll()
	stopProgress()
	stopSampling()
	return l.report, l.reconcile()
}

func (l *loadRun) sendAll() {
	load := arrivalgenerator.New(l.options.Configuration, arrivalgenerator.Options{
		Seed: l.options.Seed, Rate: l.options.Rate, Nodes: len(l.options.Nodes), StartOfDay: l.options.StartOfDay, Services: true,
	})
	var group sync.WaitGroup
	for {
		arrival := load.Next()
		if arrival.At > l.options.Length {
			break
		}
		due := l.started.Add(arrival.At)
		time.Sleep(time.Until(due))
		l.report.withLock(func() { l.sent++ })
		group.Go(func() { l.send(arrival, due) })
	}
	group.Wait()
}

// send sends one request and records how it ended. Its latency counts from due.
func (l *loadRun) send(arrival arrivalgenerator.Arrival, due time.Time) {
	route, _ := l.options.Configuration.Route(arrival.Route)
	key := ""
	if !route.Idempotent() {
		key = fmt.Sprintf("key-%d-%d", l.options.Seed, arrival.Number)
	}
	request, err := l.newRequest(arrival, route, key)
	if err != nil {
		l.report.recordEnd(arrival, endLost, time.Since(due), key)
		return
	}
	end, first := l.exchange(request, arrival, route, due)
	elapsed := time.Since(due)
	if elapsed > route.Timeout()+lateTolerance {
		end = endLate
	}
	l.report.recordEnd(arrival, end, elapsed, key)
	l.report.recordFirstByte(arrival, first)
	l.report.withLock(func() { l.ended++ })
}

// newRequest builds the request of an arrival. A route that is not idempotent gets
// an idempotency key.
func (l *loadRun) newRequest(arrival arrivalgenerator.Arrival, route configreader.Route, key string) (*http.Request, error) {
	address := l.nodeFor(arrival)
	method, path := http.MethodPost, "/v1/chat/completions"
	var body any = map[string]any{
		"model": arrival.Route, "stream": arrival.Stream, "max_tokens": arrival.Tokens,
		"messages": []map[string]string{{"role": "user", "content": arrival.Prompt(l.options.Seed)}},
	}
	switch {
	case route.Service() != "" && route.Idempotent():
		method, path, body = http.MethodGet, route.Path()+"/price/item-"+strconv.Itoa(arrival.Number), nil
	case route.Service() != "":
		path, body = route.Path()+"/assign", map[string]int{"number": arrival.Number}
	}
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request %d: %w", arrival.Number, err)
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("create request %d: %w", arrival.Number, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(gateway.HeaderTenant, arrival.Tenant)
	if key != "" {
		request.Header.Set(gateway.HeaderIdempotencyKey, key)
	}
	return request, nil
}

// nodeFor returns the node that an arrival is sent to: one of the ready nodes, or
// one of all nodes when none is known to be ready.
func (l *loadRun) nodeFor(arrival arrivalgenerator.Arrival) string {
	nodes := l.options.Nodes
	l.report.withLock(func() {
		if len(l.ready) > 0 {
			nodes = l.ready
		}
	})
	return nodes[arrival.Node%len(nodes)]
}

// readinessInterval is the time between two readiness checks of the nodes.
const readinessInterval = 100 * time.Millisecond

// pollReadiness updates the list of ready nodes until the returned function is
// called. It does nothing unless the load is balanced.
func (l *loadRun) pollReadiness() (stop func()) {
	if !l.options.Balanced {
		return func() {}
	}
	done := make(chan struct{})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(readinessInterval):
			}
			ready := lo.Filter(l.options.Nodes, func(node string, _ int) bool { return isReady(client, node) })
			l.report.withLock(func() { l.ready = ready })
		}
	}()
	return func() { close(done) }
}

func isReady(client *http.Client, node string) bool {
	response, err := client.Get("http://" + node + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// exchange sends a request and reads its response. It returns how the request
// ended, and the time from due to the first byte of the body, 0 without a body.
func (l *loadRun) exchange(request *http.Request, arrival arrivalgenerator.Arrival, route configreader.Route, due time.Time) (end string, first time.Duration) {
	response, err := l.client.Do(request)
	if err != nil {
		return endLost, 0
	}
	defer response.Body.Close()
	var body bytes.Buffer
	firstByte := make([]byte, 1)
	if n, _ := io.ReadFull(response.Body, firstByte); n == 1 {
		first = time.Since(due)
		body.Write(firstByte)
	}
	_, err = io.Copy(&body, response.Body)
	switch response.Header.Get(gateway.HeaderOutcome) {
	case gateway.OutcomeRefused:
		return classifyRefusal(response), first
	case gateway.OutcomeUnknown:
		return endUnknown, first
	case gateway.OutcomeStreaming:
		return l.classifyStream(body.String(), err, arrival, route), first
	case gateway.OutcomeAnswered:
		return l.classifyResponse(body.Bytes(), err, arrival, route), first
	}
	return endLost, first
}

// classifyRefusal counts a refusal with a server error (5xx) as lost unless it has the
// header Retry-After. A client error (4xx) is final and needs none.
func classifyRefusal(response *http.Response) string {
	if response.StatusCode >= http.StatusInternalServerError && response.Header.Get("Retry-After") == "" {
		return endLost
	}
	return endRefused
}

// expectedText returns the text of the engine stand-in's response to an arrival.
func (l *loadRun) expectedText(arrival arrivalgenerator.Arrival, route configreader.Route) string {
	unit, _ := gateway.UnitOf(l.options.Configuration, route)
	return enginestandin.Completion(unit, arrival.Prompt(l.options.Seed)+"\n", arrival.Tokens)
}

// classifyResponse classifies a response that was sent as complete.
func (l *loadRun) classifyResponse(body []byte, err error, arrival arrivalgenerator.Arrival, route configreader.Route) string {
	if err != nil {
		return endTruncated
	}
	if route.Service() != "" {
		return classifyServiceResponse(body, arrival, route)
	}
	var response struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &response) != nil || len(response.Choices) != 1 {
		return endTruncated
	}
	return classifyText(response.Choices[0].Text, l.expectedText(arrival, route))
}

// classifyServiceResponse checks that the response of a service is the one to this arrival.
func classifyServiceResponse(body []byte, arrival arrivalgenerator.Arrival, route configreader.Route) string {
	var response struct {
		Item    string `json:"item"`
		Request struct {
			Number int `json:"number"`
		} `json:"request"`
	}
	if json.Unmarshal(body, &response) != nil {
		return endTruncated
	}
	if route.Idempotent() && response.Item == "item-"+strconv.Itoa(arrival.Number) || !route.Idempotent() && response.Request.Number == arrival.Number {
		return endAnswered
	}
	return endCrossed
}

// classifyStream classifies a streamed response. Complete streams end with [DONE];
// one that ends with an error event or a broken connection has an unknown outcome.
func (l *loadRun) classifyStream(text string, err error, arrival arrivalgenerator.Arrival, route configreader.Route) string {
	var content strings.Builder
	done := false
	for _, event := range strings.Split(text, "\n\n") {
		if strings.HasPrefix(event, "event: error") {
			return endUnknown
		}
		data, found := strings.CutPrefix(event, "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1 {
			content.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	if !done && err != nil {
		return endUnknown
	}
	if !done {
		return endTruncated
	}
	return classifyText(content.String(), l.expectedText(arrival, route))
}

// classifyText compares the text of a complete response with the expected one.
func classifyText(got, expected string) string {
	switch {
	case got == expected:
		return endAnswered
	case strings.HasPrefix(expected, got):
		return endTruncated
	default:
		return endCrossed
	}
}

// printProgress prints a line at each progressInterval until the returned function is called.
func (l *loadRun) printProgress(out io.Writer) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				l.report.withLock(func() {
					fmt.Fprintf(out, "%3.0f s: %d sent, %d ended, %v\n", time.Since(l.started).Seconds(), l.sent, l.ended, l.report.Ends)
				})
			}
		}
	}()
	return func() { close(done) }
}

// sampleInterval is the time between two samples of an engine's report.
const sampleInterval = 200 * time.Millisecond

// sampleEngines adds up the time in which engines have units loaded or loading, and
// the part of it in which they run no request, until the returned function is called.
func (l *loadRun) sampleEngines() (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, address := range l.options.Engines {
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(sampleInterval):
				}
				var report enginestandin.Report
				if getJSON(l.client, address, "/report", &report) == nil && len(report.Units) > 0 {
					l.report.addLoadedTime(sampleInterval, report.Running == 0)
				}
			}
		})
	}
	return func() {
		close(done)
		group.Wait()
	}
}

func getJSON(client *http.Client, address, path string, result any) error {
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(result)
}

// reconcile compares the responses with the records of what the stand-ins ran.
func (l *loadRun) reconcile() error {
	for _, address := range l.options.Registers {
		var runs map[string]int
		if err := getJSON(l.client, address, "/record", &runs); err != nil {
			return fmt.Errorf("read record of register %s: %w", address, err)
		}
		l.report.addRuns(runs)
	}
	for _, address := range l.options.Engines {
		var record enginestandin.Record
		if err := getJSON(l.client, address, "/record", &record); err != nil {
			return fmt.Errorf("read record of engine %s: %w", address, err)
		}
		l.report.addEngineRecord(record)
	}
	l.report.evaluate()
	return nil
}
