package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	roomWeightsMB = 65500
	roomMemoryMB  = 131072
	roomModels    = 4
	roomAdapters  = 4
	roomTime      = 12 * time.Second
	roomClients   = 8
	roomSteady    = 4               // clients whose demand stays at the models
	roomDown      = 3 * time.Second // a crashed worker is back after some seconds
)

// playRoom fills the memory of the workers with models, as the system itself loads them, and then lets the demand move to adapters of these models.
func playRoom(trouble bool) bool {
	s, saw := newStore(), &seen{}
	var models []model
	for i := range roomModels {
		models = append(models, model{name: fmt.Sprintf("m%d", i), weightsMB: roomWeightsMB, loadS: 2, diskS: 1, warmS: 0.8, adapters: roomAdapters})
	}
	capacity := float64(roomMemoryMB)
	s.put("op", "config", configuration(10, models, capacity))
	var mu sync.Mutex
	crashes := 0
	var startWorker func(number, process int, loaded ...string)
	startWorker = func(number, process int, loaded ...string) {
		w := &worker{id: fmt.Sprintf("i-model-%d-%d", number, process), service: modelService, zone: "riga-a", software: "v1", store: s, seen: saw, models: models, capacityMB: capacity, slots: 64, events: 17, gap: 100 * time.Millisecond, loaded: map[string]bool{}}
		for _, name := range loaded {
			w.loaded[name] = true
		}
		w.crash = func(why string) {
			mu.Lock()
			crashes++
			mu.Unlock()
			notes.say("LIMIT: worker %s was ordered to load more than it holds (%s), and crashes with %d requests running", w.id, why, w.busy())
			go func() {
				w.stop()
				time.Sleep(roomDown)
				w.unlist()
				startWorker(number, process+1)
			}()
		}
		w.start()
	}
	startWorker(1, 1, "m0", "m1")
	startWorker(2, 1, "m2", "m3")
	var all []*node
	for i := range 3 {
		n := addNode(s, fmt.Sprintf("front-riga-a-%d", i+1), "riga-a")
		n.start()
		all = append(all, n)
	}
	awaitReady(all...)
	time.Sleep(6 * time.Second)
	var running sync.WaitGroup
	served, failed := 0, 0
	began := time.Now()
	for i := range roomClients {
		running.Add(1)
		go func() {
			defer running.Done()
			for n := 0; time.Since(began) < roomTime; n++ {
				name := models[(i+n)%roomModels].name
				if trouble && i >= roomSteady && time.Since(began) > 3*time.Second {
					name += fmt.Sprintf("/a%d", 1+(n+i)%roomAdapters)
				}
				c, err := dial(all[(i+n)%len(all)].front)
				if err != nil {
					void("dial: %v", err)
				}
				a := c.send(request{method: http.MethodPost, path: pathBatch + "2f", attempt: fmt.Sprintf("c%d-%d", i, n), model: name, budget: batchBudget})
				c.close()
				mu.Lock()
				if a.whole && a.status == http.StatusOK {
					served++
				} else {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	notes.say("%d requests served, %d not; %d workers crashed", served, failed, crashes)
	if served == 0 {
		void("no request was served")
	}
	return crashes > 0
}
