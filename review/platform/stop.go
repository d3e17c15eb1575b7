package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of the case stop.
const (
	stopChannels = 24
	stopFirst    = 3100 * time.Millisecond // after SIGTERM, the first request of a kept channel
	stopPause    = 25 * time.Millisecond   // between two channels
	stopEvents   = 17                      // events of a stream, as on the sheet
	stopGap      = 280 * time.Millisecond  // between two events; the sheet allows pauses of 300 ms
	stopEarly    = 4                       // further kept channels; their streams begin stopEarlyAt after SIGTERM and end in time
	stopEarlyAt  = 2 * time.Second
	batchBudget  = 13 * time.Second
	warmUpModel  = "m0"
)

// playStop stops one node with SIGTERM while clients hold kept channels to it, and sends a stream on each of them three seconds later.
func playStop(trouble bool) bool {
	s, saw := newStore(), &seen{}
	models := []model{{name: warmUpModel, weightsMB: 65000, loadS: 2, diskS: 1, warmS: 0.8}}
	s.put("op", "config", configuration(10, models, 230000))
	for i := range 2 {
		w := &worker{
			id: fmt.Sprintf("i-model-%d", i), service: modelService, zone: "riga-a", software: "v1", store: s, seen: saw, models: models, capacityMB: 230000, slots: 64,
			events: stopEvents, gap: stopGap, loaded: map[string]bool{warmUpModel: true},
		}
		w.start()
		p := &worker{id: fmt.Sprintf("i-plain-%d", i), service: plainService, zone: "riga-a", software: "v1", store: s, seen: saw, slots: 6, work: 30 * time.Millisecond}
		p.start()
	}
	var all []*node
	for i := range 3 {
		n := addNode(s, fmt.Sprintf("front-riga-a-%d", i+1), "riga-a")
		n.start()
		all = append(all, n)
	}
	awaitReady(all...)
	time.Sleep(4 * time.Second) // contactMs and more
	target := all[0]
	var channels []*channel
	for i := range stopChannels + stopEarly {
		c, err := dial(target.front)
		if err != nil {
			void("dial: %v", err)
		}
		if a := c.send(request{method: http.MethodGet, path: pathRead + "first", attempt: fmt.Sprintf("first-%d", i), budget: time.Second}); a.status != http.StatusOK || a.closes {
			void("first request of a channel: status %d", a.status)
		}
		channels = append(channels, c)
	}
	stoppedAt := time.Now()
	if trouble {
		target.signal(syscall.SIGTERM)
		go func() {
			select {
			case <-target.ended:
			case <-time.After(time.Until(stoppedAt.Add(graceS * time.Second))):
				target.signal(syscall.SIGKILL)
			}
		}()
	}
	answers := make([]answer, stopChannels)
	var running sync.WaitGroup
	early := make([]answer, stopEarly)
	for i, c := range channels[stopChannels:] {
		running.Add(1)
		go func() {
			defer running.Done()
			time.Sleep(time.Until(stoppedAt.Add(stopEarlyAt)))
			early[i] = c.send(request{method: http.MethodPost, path: pathBatch + "2f", attempt: fmt.Sprintf("early-%d", i), model: warmUpModel, budget: batchBudget})
		}()
	}
	for i, c := range channels[:stopChannels] {
		running.Add(1)
		go func() {
			defer running.Done()
			time.Sleep(time.Until(stoppedAt.Add(stopFirst + time.Duration(i)*stopPause)))
			answers[i] = c.send(request{method: http.MethodPost, path: pathBatch + "2f", attempt: fmt.Sprintf("stream-%d", i), model: warmUpModel, budget: batchBudget})
		}()
	}
	running.Wait()
	lost, served, refused, unread := 0, 0, 0, 0
	for i, a := range answers {
		runs := saw.runsOf(fmt.Sprintf("stream-%d", i))
		ids, _ := a.events()
		sent := a.sent.Sub(stoppedAt).Seconds()
		switch {
		case a.whole && a.status == http.StatusOK && len(ids) == stopEvents:
			served++
		case a.whole:
			refused++
			notes.add("stream-%d, sent %.3f s after SIGTERM: status %d", i, sent, a.status)
		case len(runs) > 0:
			lost++
			notes.say("LOST: stream-%d, sent %.3f s after SIGTERM, passed on to %s, cut %.3f s after SIGTERM after %d of %d events: %v", i, sent, runs[0].worker, a.ended.Sub(stoppedAt).Seconds(), len(ids), stopEvents, a.err)
		default:
			unread++
		}
	}
	notes.say("%d requests on kept channels, sent %.1f to %.1f s after SIGTERM: %d served whole, %d refused, %d not read, %d cut after they were passed on", stopChannels,
		stopFirst.Seconds(), (stopFirst + (stopChannels-1)*stopPause).Seconds(), served, refused, unread, lost)
	if served+refused+unread+lost == 0 || !trouble && served < stopChannels {
		void("the requests were not served without the disruption")
	}
	return lost > 0
}
