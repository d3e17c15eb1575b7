package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	resumeStreams = 24
	resumeEvents  = 17
	resumeGap     = 280 * time.Millisecond
	resumeBegun   = 1500 * time.Millisecond // from the first stream to the kill
	contactTime   = 3 * time.Second         // contactMs: from then on after its start a machine is in touch
	resumeTries   = 3                       // take-ups of one stream
)

// playResume lets workers of two software versions serve side by side, kills all nodes once while streams run, and has the clients take these up
// once the nodes are in touch again. New streams are sent at the same times.
func playResume(trouble bool) bool {
	s, saw := newStore(), &seen{}
	models := []model{{name: "m0", weightsMB: 65000, loadS: 2, diskS: 1, warmS: 0.8}}
	s.put("op", "config", configuration(10, models, 230000))
	for i := range 4 {
		w := &worker{
			id: fmt.Sprintf("i-model-%d", i), service: modelService, zone: "riga-a", software: fmt.Sprintf("v%d", 1+i/2), store: s, seen: saw, models: models, capacityMB: 230000, slots: 64,
			events: resumeEvents, gap: resumeGap, loaded: map[string]bool{"m0": true},
		}
		w.start()
	}
	var all []*node
	for i := range 3 {
		n := addNode(s, fmt.Sprintf("front-riga-a-%d", i+1), "riga-a")
		n.start()
		all = append(all, n)
	}
	awaitReady(all...)
	time.Sleep(4 * time.Second)
	ask := func(number int, attempt, last, resumes string, budget time.Duration) answer {
		c, err := dial(all[number%len(all)].front)
		if err != nil {
			void("dial: %v", err)
		}
		defer c.close()
		return c.send(request{method: http.MethodPost, path: pathBatch + "2f", attempt: attempt, model: "m0", lastEvent: last, resumes: resumes, budget: budget})
	}
	began := time.Now()
	deadline := began.Add(batchBudget)
	streams := make([]answer, resumeStreams)
	var running sync.WaitGroup
	for i := range streams {
		running.Add(1)
		go func() {
			defer running.Done()
			streams[i] = ask(i, fmt.Sprintf("stream-%d", i), "", "", batchBudget)
		}()
	}
	time.Sleep(resumeBegun)
	if !trouble {
		running.Wait()
		whole := 0
		for _, a := range streams {
			if ids, _ := a.events(); a.whole && len(ids) == resumeEvents {
				whole++
			}
		}
		notes.say("%d streams, %d whole", resumeStreams, whole)
		if whole < resumeStreams {
			void("the streams were not served without the disruption")
		}
		return false
	}
	// Unplanned: all processes are killed at the same moment and start again.
	for _, n := range all {
		n.kill()
	}
	running.Wait()
	time.Sleep(restartTime)
	for _, n := range all {
		n.start()
	}
	inTouch := time.Now().Add(contactTime)
	awaitReady(all...)
	time.Sleep(time.Until(inTouch.Add(200 * time.Millisecond)))
	var mu sync.Mutex
	takenUp, wentOn, sent, begun := 0, 0, 0, 0
	reasons := map[string]int{}
	for i := range streams {
		running.Add(2)
		go func() {
			defer running.Done()
			ids, software := streams[i].events()
			if len(ids) == 0 {
				return
			}
			last := strconv.Itoa(ids[len(ids)-1])
			goes := false
			for try := range resumeTries {
				a := ask(i+1+try, fmt.Sprintf("stream-%d-again-%d", i, try), last, fmt.Sprintf("stream-%d", i), time.Until(deadline))
				more, version := a.events()
				if goes = a.status == http.StatusOK && len(more) > 0 && version[0] == software[0]; goes {
					break
				}
				mu.Lock()
				reasons[fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.body))]++
				mu.Unlock()
				time.Sleep(300 * time.Millisecond) // the Retry-After of the refusals
			}
			mu.Lock()
			defer mu.Unlock()
			takenUp++
			if goes {
				wentOn++
			}
		}()
		go func() {
			defer running.Done()
			a := ask(i, fmt.Sprintf("new-%d", i), "", "", batchBudget)
			ids, _ := a.events()
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.status == http.StatusOK && len(ids) > 0 {
				begun++
			}
		}()
	}
	running.Wait()
	for reason, count := range reasons {
		notes.say("%d take-ups answered %s", count, reason)
	}
	notes.say("%d streams taken up, at machines in touch, while two workers of each version serve: %d went on; %d new streams sent, %d began", takenUp, wentOn, sent, begun)
	if takenUp < 12 || begun < 12 {
		void("too few streams")
	}
	broken := float64(wentOn)/float64(takenUp) < float64(begun)/float64(sent)/2
	if broken {
		notes.say("LOST: the share of streams that went on is under half of the share of new ones that began")
	}
	return broken
}
