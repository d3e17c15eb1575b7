package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the case join.
const (
	joinStreams = 24
	joinEvents  = 17
	joinGap     = 280 * time.Millisecond // the sheet allows pauses of 300 ms
	drainTime   = 2 * time.Second        // drainMs, for which a worker that leaves goes on serving
	killAfter   = 3 * time.Second        // from the report of the last old worker to the kill
	restartTime = 500 * time.Millisecond // from the kill of a process to its next start
	maxTakeUps  = 3                      // retries of a client
)

// pieces are the parts of one stream as its client got them.
type pieces struct {
	ids      []int
	software []string
	whole    bool
	takeUps  int
	refused  []int
}

// playJoin replaces the workers of a service by ones of a newer software version, one after the other, and kills all nodes once while
// streams still run at the last old worker. Clients take up their streams as the pages allow.
func playJoin(trouble bool) bool {
	s, saw := newStore(), &seen{}
	models := []model{{name: "m0", weightsMB: 65000, loadS: 2, diskS: 1, warmS: 0.8}}
	s.put("op", "config", configuration(10, models, 230000))
	newWorker := func(number int, software string) *worker {
		w := &worker{id: fmt.Sprintf("i-model-%d", number), service: modelService, zone: "riga-a", software: software, store: s, seen: saw, models: models, capacityMB: 230000, slots: 64, events: joinEvents, gap: joinGap}
		if software == "v1" {
			w.loaded = map[string]bool{"m0": true}
		}
		w.start()
		return w
	}
	old := []*worker{newWorker(1, "v1"), newWorker(2, "v1")}
	plain := &worker{id: "i-plain-1", service: plainService, zone: "riga-a", software: "v1", store: s, seen: saw, slots: 6, work: 30 * time.Millisecond}
	plain.start()
	var all []*node
	for i := range 3 {
		n := addNode(s, fmt.Sprintf("front-riga-a-%d", i+1), "riga-a")
		n.start()
		all = append(all, n)
	}
	awaitReady(all...)
	time.Sleep(4 * time.Second)
	// Planned: a release. Each new worker starts first, then the old one drains and leaves.
	leave := func(w *worker) {
		time.Sleep(drainTime + 500*time.Millisecond)
		for w.busy() > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		w.unlist()
		w.stop()
	}
	newWorker(3, "v2")
	time.Sleep(time.Second)
	old[0].drain()
	leave(old[0])
	newWorker(4, "v2")
	time.Sleep(2 * time.Second)
	results := make([]pieces, joinStreams)
	var running sync.WaitGroup
	for i := range results {
		running.Add(1)
		go func() {
			defer running.Done()
			results[i] = takeStream(fmt.Sprintf("stream-%d", i), all, i)
		}()
	}
	time.Sleep(700 * time.Millisecond) // The streams begin.
	old[1].drain()
	left := make(chan struct{})
	go func() { leave(old[1]); close(left) }()
	// New requests for the model have it loaded at the new workers.
	go takeStream("new-1", all, 0)
	time.Sleep(killAfter)
	if trouble {
		// Unplanned: all processes are killed at the same moment and start again.
		for _, n := range all {
			n.kill()
		}
		time.Sleep(restartTime)
		for _, n := range all {
			n.start()
		}
	}
	running.Wait()
	<-left
	joined, whole, broken := 0, 0, 0
	for i, p := range results {
		versions := slices.Compact(slices.Clone(p.software))
		complete := p.whole && len(p.ids) == joinEvents
		notes.add("stream-%d: pieces %v, software %v, whole %t, taken up %d times, refused with %v", i, p.ids, versions, p.whole, p.takeUps, p.refused)
		switch {
		case complete && len(versions) > 1:
			joined++
			notes.say("ORDER: stream-%d was answered 200 to its end with pieces of software %v", i, versions)
		case complete:
			whole++
		default:
			broken++
		}
	}
	notes.say("%d streams: %d whole from one version, %d joined from two, %d not finished", joinStreams, whole, joined, broken)
	if !trouble && whole < joinStreams {
		void("the streams were not served without the disruption")
	}
	return joined > 0
}

// takeStream asks for a stream and takes it up where it breaks off, each time on a new channel to another node and under an ID of its own.
func takeStream(name string, all []*node, first int) pieces {
	var p pieces
	deadline := time.Now().Add(batchBudget)
	origin := ""
	for try := 0; p.takeUps <= maxTakeUps && time.Now().Before(deadline); try++ {
		c, err := dial(all[(first+try)%len(all)].front)
		if err != nil { // No machine has this channel.
			time.Sleep(300 * time.Millisecond)
			continue
		}
		r := request{method: http.MethodPost, path: pathBatch + "2f", attempt: fmt.Sprintf("%s-%d", name, try), model: "m0", budget: time.Until(deadline)}
		if len(p.ids) > 0 {
			r.lastEvent = strconv.Itoa(p.ids[len(p.ids)-1])
			if os.Getenv("RESUMES") != "0" { // The bench's clients send it; the users' pages do not name it.
				r.resumes = origin
			}
		}
		a := c.send(r)
		c.close()
		ids, software := a.events()
		if origin == "" && len(ids) > 0 {
			origin = r.attempt
		}
		if a.status == http.StatusOK {
			p.ids, p.software = append(p.ids, ids...), append(p.software, software...)
			if p.whole = a.whole; p.whole {
				return p
			}
		} else if a.status != 0 {
			p.refused = append(p.refused, a.status)
			notes.add("client: %s refused: %s", r.attempt, strings.TrimSpace(a.body))
		}
		p.takeUps++
		time.Sleep(1500 * time.Millisecond)
	}
	return p
}
