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

	"github.com/acaciaproxy/acaciaproxy/arriver"
	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/enginestandin"
	"github.com/acaciaproxy/acaciaproxy/gateway"
)

// OfferOptions describe a load and where it goes.
type OfferOptions struct {
	Configuration             *configurer.Configuration
	Nodes, Engines, Registers []string
	Seed                      int64
	Rate                      float64
	Length                    time.Duration
	StartOfDay                time.Duration
	JSONPath                  string
	// Balanced sends requests only to nodes whose /readyz answers 200, as the platform's balancer does.
	Balanced bool
}

// Ends of a request as the load generator judges them.
const (
	endAnswered = "answered"
	endRefused  = "refused"
	endUnknown  = "unknown"
	// endLost is a request without any end, endCrossed an answer to another
	// request, endTruncated an answer that is not whole but looks so.
	endLost      = "lost"
	endCrossed   = "crossed"
	endTruncated = "truncated"
	// endLate is an end that came after the deadline.
	endLate = "late"
)

// progressInterval is how often the progress line is printed.
const progressInterval = 5 * time.Second

// lateness is how long after its deadline an end may arrive for the way back.
const lateness = 500 * time.Millisecond

// offer is a load in progress.
type offer struct {
	options OfferOptions
	client  *http.Client
	began   time.Time
	report  *Report
	// sent and ended are guarded by the report's lock.
	sent, ended int
	// ready holds the nodes that take requests, and is guarded by the report's lock.
	ready []string
}

// Offer sends a load, open loop: a request is sent at its time however many
// others have not ended, and its latency counts from that time.
func Offer(options OfferOptions, progress io.Writer) (*Report, error) {
	o := &offer{
		options: options,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		began:   time.Now(),
		report:  newReport(options),
	}
	stopBalancing := o.watchReady()
	defer stopBalancing()
	stopSampling := o.sampleEngines()
	stopProgress := o.printProgress(progress)
	o.sendAll()
	stopProgress()
	stopSampling()
	return o.report, o.reconcile()
}

func (o *offer) sendAll() {
	load := arriver.New(o.options.Configuration, arriver.Options{
		Seed: o.options.Seed, Rate: o.options.Rate, Nodes: len(o.options.Nodes), StartOfDay: o.options.StartOfDay, Services: true,
	})
	var group sync.WaitGroup
	for {
		arrival := load.Next()
		if arrival.At > o.options.Length {
			break
		}
		due := o.began.Add(arrival.At)
		time.Sleep(time.Until(due))
		o.report.lock(func() { o.sent++ })
		group.Go(func() { o.send(arrival, due) })
	}
	group.Wait()
}

// send sends one request and records its end.
func (o *offer) send(arrival arriver.Arrival, due time.Time) {
	route, _ := o.options.Configuration.Route(arrival.Route)
	key := ""
	if !route.Idempotent() {
		key = fmt.Sprintf("key-%d-%d", o.options.Seed, arrival.Number)
	}
	request, err := o.request(arrival, route, key)
	if err != nil {
		o.report.end(arrival, endLost, time.Since(due), key)
		return
	}
	end, first := o.exchange(request, arrival, route, due)
	took := time.Since(due)
	if took > route.Timeout()+lateness {
		end = endLate
	}
	o.report.end(arrival, end, took, key)
	o.report.first(arrival, first)
	o.report.lock(func() { o.ended++ })
}

func (o *offer) request(arrival arriver.Arrival, route configurer.Route, key string) (*http.Request, error) {
	address := o.nodeFor(arrival)
	method, path := http.MethodPost, "/v1/chat/completions"
	var body any = map[string]any{
		"model": arrival.Route, "stream": arrival.Stream, "max_tokens": arrival.Tokens,
		"messages": []map[string]string{{"role": "user", "content": arrival.Prompt(o.options.Seed)}},
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
		return nil, fmt.Errorf("request %d: %w", arrival.Number, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(gateway.HeaderTenant, arrival.Tenant)
	if key != "" {
		request.Header.Set(gateway.HeaderKey, key)
	}
	return request, nil
}

// nodeFor returns the node that gets an arrival.
func (o *offer) nodeFor(arrival arriver.Arrival) string {
	nodes := o.options.Nodes
	o.report.lock(func() {
		if len(o.ready) > 0 {
			nodes = o.ready
		}
	})
	return nodes[arrival.Node%len(nodes)]
}

// readyInterval is how often the nodes are asked whether they take requests.
const readyInterval = 100 * time.Millisecond

// watchReady keeps the list of ready nodes until the returned function is called.
func (o *offer) watchReady() (stop func()) {
	if !o.options.Balanced {
		return func() {}
	}
	done := make(chan struct{})
	probe := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(readyInterval):
			}
			ready := lo.Filter(o.options.Nodes, func(node string, _ int) bool { return isReady(probe, node) })
			o.report.lock(func() { o.ready = ready })
		}
	}()
	return func() { close(done) }
}

func isReady(client *http.Client, node string) bool {
	answer, err := client.Get("http://" + node + "/readyz")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// exchange returns the end of a request and the time to its first byte of body.
func (o *offer) exchange(request *http.Request, arrival arriver.Arrival, route configurer.Route, due time.Time) (end string, first time.Duration) {
	answer, err := o.client.Do(request)
	if err != nil {
		return endLost, 0
	}
	defer answer.Body.Close()
	var body bytes.Buffer
	head := make([]byte, 1)
	if n, _ := io.ReadFull(answer.Body, head); n == 1 {
		first = time.Since(due)
		body.Write(head)
	}
	_, err = io.Copy(&body, answer.Body)
	switch answer.Header.Get(gateway.HeaderOutcome) {
	case gateway.OutcomeRefused:
		return refusalEnd(answer), first
	case gateway.OutcomeUnknown:
		return endUnknown, first
	case gateway.OutcomeStreaming:
		return o.judgeStream(body.String(), err, arrival, route), first
	case gateway.OutcomeAnswered:
		return o.judgeWhole(body.Bytes(), err, arrival, route), first
	}
	return endLost, first
}

// refusalEnd accepts a refusal only if it says when to come back or is final.
func refusalEnd(answer *http.Response) string {
	if answer.StatusCode >= http.StatusInternalServerError && answer.Header.Get("Retry-After") == "" {
		return endLost
	}
	return endRefused
}

func (o *offer) wanted(arrival arriver.Arrival, route configurer.Route) string {
	unit, _ := gateway.UnitOf(o.options.Configuration, route)
	return enginestandin.Answer(unit, arrival.Prompt(o.options.Seed)+"\n", arrival.Tokens)
}

func (o *offer) judgeWhole(body []byte, err error, arrival arriver.Arrival, route configurer.Route) string {
	if err != nil {
		return endTruncated
	}
	if route.Service() != "" {
		return judgeService(body, arrival, route)
	}
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 {
		return endTruncated
	}
	return judgeText(answer.Choices[0].Text, o.wanted(arrival, route))
}

func judgeService(body []byte, arrival arriver.Arrival, route configurer.Route) string {
	var answer struct {
		Item    string `json:"item"`
		Request struct {
			Number int `json:"number"`
		} `json:"request"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return endTruncated
	}
	if route.Idempotent() && answer.Item == "item-"+strconv.Itoa(arrival.Number) || !route.Idempotent() && answer.Request.Number == arrival.Number {
		return endAnswered
	}
	return endCrossed
}

// judgeStream accepts a stream that ends with [DONE], or with an error event
// and a broken connection.
func (o *offer) judgeStream(text string, err error, arrival arriver.Arrival, route configurer.Route) string {
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
	return judgeText(content.String(), o.wanted(arrival, route))
}

func judgeText(got, wanted string) string {
	switch {
	case got == wanted:
		return endAnswered
	case strings.HasPrefix(wanted, got):
		return endTruncated
	default:
		return endCrossed
	}
}

// printProgress prints a line now and then until the returned function is called.
func (o *offer) printProgress(out io.Writer) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				o.report.lock(func() {
					fmt.Fprintf(out, "%3.0f s: %d sent, %d ended, %v\n", time.Since(o.began).Seconds(), o.sent, o.ended, o.report.Ends)
				})
			}
		}
	}()
	return func() { close(done) }
}

// sampleInterval is how often the engines are asked what is loaded and running.
const sampleInterval = 200 * time.Millisecond

// sampleEngines adds up the time in which engines hold something and run nothing.
func (o *offer) sampleEngines() (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, address := range o.options.Engines {
		group.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(sampleInterval):
				}
				var report enginestandin.Report
				if getJSON(o.client, address, "/report", &report) == nil && len(report.Units) > 0 {
					o.report.addHeld(sampleInterval, report.Running == 0)
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
	answer, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return json.NewDecoder(answer.Body).Decode(result)
}

// reconcile compares what callers were told with what the stand-ins ran.
func (o *offer) reconcile() error {
	for _, address := range o.options.Registers {
		var runs map[string]int
		if err := getJSON(o.client, address, "/record", &runs); err != nil {
			return fmt.Errorf("record of register %s: %w", address, err)
		}
		o.report.addRuns(runs)
	}
	for _, address := range o.options.Engines {
		var record enginestandin.Record
		if err := getJSON(o.client, address, "/record", &record); err != nil {
			return fmt.Errorf("record of engine %s: %w", address, err)
		}
		o.report.addEngine(record)
	}
	o.report.judgeRuns()
	return nil
}
