package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["blamed"] = playBlamed }

// playBlamed: the three workers that hold a model crash together, then all processes of the system are killed. Nothing serves the model's requests after that.
func playBlamed(r *rig) bool {
	const recovery = 12 * time.Second
	zones := []string{"z-a", "z-b", "z-c"}
	models := []map[string]any{}
	for _, name := range []string{"daka510000", "rada7437b5"} {
		models = append(models, map[string]any{"name": name, "weightsMb": 65100.0, "loadTimeS": engineLoadTime.Seconds(), "adapters": 0, "adapterSizeMb": 12.0})
	}
	r.configure(7, []route{{Name: "r1", Host: "ficu95.example", PathPrefix: "/lohu930/", Kind: "streaming", TimeoutMs: 6000, TargetLatencyMs: 300, Priority: 0, Service: "engines", MaxAttempts: 1, Sticky: true, GapAimMs: 300}},
		map[string]any{"name": "engines", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvCapacity": 220555, "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 12.0, "models": models}})
	endpoint := r.store.endpoint("store", r.ip(1), nil)
	var rack []*engineWorker
	for i := range 18 {
		model := "rada7437b5"
		if i < 3 {
			model = "daka510000"
		}
		w := r.startEngine(fmt.Sprintf("i-engine-%d", i), r.ip(30+i)+":0", zones[i/6], model)
		if i < 3 {
			rack = append(rack, w)
		}
	}
	for _, zone := range zones {
		r.startNode("front-"+zone+"-1", zone, endpoint)
	}
	r.awaitReady()
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	var all sync.WaitGroup
	// send sends a request forty times a second until a time, and returns how many were served.
	send := func(until time.Time) (sent, served int) {
		var batch sync.WaitGroup
		for i := 0; time.Now().Before(until); i++ {
			n := r.nodes[i%len(r.nodes)]
			sent++
			extra := fmt.Sprintf("X-Acaciaproxy-Model: daka510000\r\nX-Acaciaproxy-Token-Count: 646,68\r\nX-Acaciaproxy-Prompt-Prefix: 5c1e07a2:155,%s:491\r\n", r.nextID()[:8])
			batch.Go(func() {
				// Each attempt is another request with a path of its own.
				_, got := r.askNode(n, "POST", "/lohu930/"+r.nextID(), 6*time.Second, extra)
				mu.Lock()
				defer mu.Unlock()
				if got.Err == nil && got.Status == 200 && bytes.Count(got.Body, []byte("\n\n")) == engineEvents {
					served++
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
		batch.Wait()
		return sent, served
	}
	var sentBefore, servedBefore int
	crashAt := time.Now().Add(10 * time.Second)
	all.Go(func() { sentBefore, servedBefore = send(crashAt.Add(2 * time.Second)) })
	time.Sleep(time.Until(crashAt) - time.Second)
	for rack[0].reads() == 0 || rack[1].reads() == 0 || rack[2].reads() == 0 {
		if time.Now().After(crashAt.Add(time.Second)) {
			fail("the three workers never read prompts in the same moment")
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(30 * time.Millisecond) // The responses have begun by now, and have brought no event yet.
	if r.trouble {
		r.say("the workers of a rack crash: %s, %s, %s", rack[0].id, rack[1].id, rack[2].id)
		for _, w := range rack {
			w.crash()
		}
		time.AfterFunc(4500*time.Millisecond, func() {
			for i, w := range rack {
				r.startEngine(fmt.Sprintf("i-engine-%d", 20+i), w.address, w.zone)
			}
			r.say("the workers are back, empty")
		})
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.say("all processes of the system are killed")
		for _, n := range r.nodes {
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
		time.Sleep(time.Second)
		for _, n := range r.nodes {
			n.start()
		}
	}
	all.Wait()
	r.awaitReady()
	back := time.Now()
	_, _ = send(back.Add(recovery))
	sentAfter, servedAfter := send(time.Now().Add(12 * time.Second))
	r.say("before: %d of %d served; from %d s after the machines were back: %d of %d served", servedBefore, sentBefore, int(recovery.Seconds()), servedAfter, sentAfter)
	return 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter
}
