package main

import (
	"bytes"
	"fmt"
	"strconv"
	"sync"
	"time"
)

func init() { cases["stranded"] = playStranded }

// playStranded: while workers of two software versions serve, the only worker of the older one that holds a model crashes. The streams that began there can be
// taken up at no worker, and no other worker of their version is told to load the model.
func playStranded(r *rig) bool {
	const streams, events = 24, 45
	const budget = 13 * time.Second
	models := []map[string]any{}
	for _, name := range []string{"daka510000", "rada7437b5", "ravo486f6a", "nymi57a71f"} {
		models = append(models, map[string]any{"name": name, "weightsMb": 72700.0, "loadTimeS": engineLoadTime.Seconds(), "adapters": 0, "adapterSizeMb": 66.0})
	}
	r.configure(7, []route{{Name: "r1", Host: "ficu95.example", PathPrefix: "/pufi791/", Kind: "streaming", TimeoutMs: int(budget.Milliseconds()), TargetLatencyMs: 3000, Service: "engines", MaxAttempts: 2, Sticky: true, Resumable: true, GapAimMs: 300}},
		map[string]any{"name": "engines", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacity": 220555, "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 12.0, "models": models}})
	endpoint := r.store.endpoint("store", r.ip(1), nil)
	start := func(i int, version, zone, address string, holds ...string) *engineWorker {
		w := r.newEngine(fmt.Sprintf("i-engine-%d", i), address, zone, holds...)
		w.version, w.events, w.pause = version, events, 200*time.Millisecond
		w.start()
		return w
	}
	first := start(0, "v1", "z-a", r.ip(30)+":0", "daka510000", "rada7437b5", "ravo486f6a")
	for i := 1; i < 4; i++ {
		start(i, "v1", []string{"z-a", "z-b", "z-c"}[i-1], r.ip(30+i)+":0", "rada7437b5", "ravo486f6a", "nymi57a71f")
	}
	for i := 4; i < 6; i++ {
		start(i, "v2", []string{"z-b", "z-c"}[i-4], r.ip(30+i)+":0")
	}
	for _, zone := range []string{"z-a", "z-b", "z-c"} {
		r.startNode("front-"+zone+"-1", zone, endpoint)
	}
	r.awaitReady()
	time.Sleep(6 * time.Second)
	const prompt = "X-Acaciaproxy-Model: daka510000\r\nX-Acaciaproxy-Token-Count: 646,180\r\nX-Acaciaproxy-Prompt-Prefix: 5c1e07a2:155,%s:491\r\n"
	var mu sync.Mutex
	var whole, takenUp, wentOn, sentNew, begun int
	crashed := make(chan struct{})
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			part, path, began := r.nextID()[:8], "/pufi791/"+r.nextID(), time.Now()
			firstID, got := r.askNode(r.nodes[i%3], "POST", path, budget, fmt.Sprintf(prompt, part))
			have := bytes.Count(got.Body, []byte("\n\n"))
			if got.Err == nil && got.Status == 200 && have == events {
				mu.Lock()
				whole++
				mu.Unlock()
				return
			}
			if have == 0 {
				r.say("client: %s got no event", firstID)
				return
			}
			mu.Lock()
			takenUp++
			mu.Unlock()
			// The client takes the stream up on new channels, at other machines, as long as its time budget lasts, and waits as it is told.
			for try := 1; ; try++ {
				left := budget - time.Since(began)
				if left < 500*time.Millisecond {
					return
				}
				extra := fmt.Sprintf(prompt, part) + fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", have, firstID)
				_, got := r.askNode(r.nodes[(i+try)%3], "POST", path, left, extra)
				if have += bytes.Count(got.Body, []byte("\n\n")); got.Status == 200 && got.Err == nil && have == events {
					mu.Lock()
					wentOn++
					mu.Unlock()
					return
				}
				wait, _ := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
				time.Sleep(max(time.Duration(wait*float64(time.Second)), 50*time.Millisecond))
			}
		})
	}
	for i := range streams {
		all.Go(func() {
			<-crashed
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			part, path, began := r.nextID()[:8], "/pufi791/"+r.nextID(), time.Now()
			mu.Lock()
			sentNew++
			mu.Unlock()
			for try := 0; ; try++ {
				left := budget - time.Since(began)
				if left < 500*time.Millisecond {
					return
				}
				_, got := r.askNode(r.nodes[(i+try)%3], "POST", path, left, fmt.Sprintf(prompt, part))
				if bytes.Contains(got.Body, []byte("\n\n")) {
					mu.Lock()
					begun++
					mu.Unlock()
					return
				}
				wait, _ := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
				time.Sleep(max(time.Duration(wait*float64(time.Second)), 50*time.Millisecond))
			}
		})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.say("worker %s, the only one of v1 with the model, crashes", first.id)
		first.crash()
		time.AfterFunc(4500*time.Millisecond, func() {
			start(9, "v1", first.zone, first.address)
			r.say("the worker is back, empty")
		})
	}
	close(crashed)
	all.Wait()
	r.say("%d of %d streams were whole at once, %d were taken up, %d of them went on; %d of %d new streams began", whole, streams, takenUp, wentOn, begun, sentNew)
	return takenUp >= 12 && 2*wentOn*sentNew < begun*takenUp
}
