package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync/atomic"
	"time"
)

// thawMS is the bound thawMs: orders that arrive within it after their sender was thawed do not count.
const thawMS = 300

const (
	leaseZone    = "riga-a"
	leaseModels  = 16
	leaseWorkers = 4
	leaseClients = 24
	maxReplaced  = 4
	freezeTime   = 4 * time.Second
	rollGap      = 1 * time.Second // between two machines of a rolling restart
)

// holder returns the node that the zone's lease row names. The row is the system's own; the case reads it only to choose whom to disrupt.
func holder(s *store) string {
	var lease struct {
		Holder struct{ Node, Incarnation string }
	}
	_ = json.Unmarshal([]byte(s.read("zones", leaseZone)), &lease)
	if lease.Holder.Incarnation == "" {
		return ""
	}
	return lease.Holder.Node
}

// awaitHolder waits until another node than one leads.
func awaitHolder(s *store, not string, limit time.Duration) string {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if name := holder(s); name != "" && name != not {
			return name
		}
	}
	void("no other leader than %q", not)
	return ""
}

// leaseWorld returns a store with the configuration and model workers that hold half of the models, so that a leader gives orders all the time.
func leaseWorld() (*store, *seen, []model) {
	s, saw := newStore(), &seen{}
	var models []model
	for i := range leaseModels {
		models = append(models, model{name: fmt.Sprintf("m%d", i), weightsMB: 65000, loadS: 1, diskS: 0.5, warmS: 0.3})
	}
	s.put("op", "config", configuration(10, models, 140000))
	for i := range leaseWorkers {
		w := &worker{
			id: fmt.Sprintf("i-model-%d", i), service: modelService, zone: leaseZone, software: "v1", store: s, seen: saw, models: models, capacityMB: 140000, slots: 64,
			events: 4, gap: 30 * time.Millisecond, loaded: map[string]bool{models[2*i].name: true, models[2*i+1].name: true},
		}
		w.start()
	}
	return s, saw, models
}

// leaseLoad are clients that ask for all models alike, each time at another node.
type leaseLoad struct {
	ending         chan struct{}
	served, failed atomic.Int64
}

func startLeaseLoad(models []model) *leaseLoad {
	l := &leaseLoad{ending: make(chan struct{})}
	for i := range leaseClients {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-l.ending:
					return
				default:
				}
				nodes.Lock()
				target := nodes.all[rand.IntN(len(nodes.all))]
				nodes.Unlock()
				c, err := dial(target.front)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				a := c.send(request{method: http.MethodPost, path: pathBatch + "2f", attempt: fmt.Sprintf("c%d-%d", i, n), model: models[rand.IntN(len(models))].name, budget: batchBudget})
				c.close()
				if a.whole && a.status == http.StatusOK {
					l.served.Add(1)
				} else {
					l.failed.Add(1)
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
	return l
}

// playLease freezes the machine that gives the orders, lets it wake, and then restarts the machines of the zone one after the other.
func playLease(trouble bool) bool {
	s, saw, models := leaseWorld()
	byName := map[string]*node{}
	startNode := func(name string) *node {
		n := addNode(s, name, leaseZone)
		n.start()
		byName[name] = n
		return n
	}
	var fronts []*node
	for i := range 3 {
		fronts = append(fronts, startNode(fmt.Sprintf("front-riga-a-%d", i+1)))
	}
	awaitReady(fronts...)
	load := startLeaseLoad(models)
	time.Sleep(8 * time.Second)
	first := awaitHolder(s, "", 5*time.Second)
	notes.add("leader: %s", first)
	if !trouble {
		time.Sleep(30 * time.Second)
	} else {
		// Planned: a new machine is added, and the one that leads is taken away, again if the new one does not lead then.
		second := first
		for replaced := 1; ; replaced++ {
			added := startNode(fmt.Sprintf("front-riga-a-%d", 3+replaced))
			awaitReady(added)
			time.Sleep(2 * time.Second)
			removed := byName[second]
			go removed.stop()
			second = awaitHolder(s, removed.name, 6*time.Second)
			notes.add("leader: %s", second)
			<-removed.ended
			if second == added.name {
				break
			}
			if replaced == maxReplaced {
				void("no new machine came to lead")
			}
		}
		time.Sleep(6 * time.Second)
		second = holder(s)
		// Unplanned: the machine that leads stands still for four seconds.
		byName[second].freeze(time.Now().Add(freezeTime))
		third := awaitHolder(s, second, 8*time.Second)
		notes.add("leader: %s", third)
		time.Sleep(10 * time.Second)
		// Planned: a rolling restart, the leading machine first, a second between two machines.
		for range 2 {
			name := awaitHolder(s, "", 3*time.Second)
			if byName[name].command == nil || !byName[name].running() {
				break
			}
			notes.add("rolling restart: %s", name)
			go func() {
				byName[name].stop()
				byName[name].start()
			}()
			time.Sleep(rollGap)
			awaitHolder(s, name, 5*time.Second)
		}
		time.Sleep(10 * time.Second)
	}
	close(load.ending)
	orders := saw.allOrders()
	notes.say("%d requests served, %d not; %d orders", load.served.Load(), load.failed.Load(), len(orders))
	if load.served.Load() < 50 || len(orders) < 20 {
		void("the system did not serve")
	}
	return turns(orders, byName) > 0
}

// turns counts the orders to one worker that came from another holder than the order before, within leaseMs.
func turns(orders []order, byName map[string]*node) int {
	sort.Slice(orders, func(i, j int) bool { return orders[i].at.Before(orders[j].at) })
	last, found := map[string]order{}, 0
	for _, o := range orders {
		if n := byName[o.holder]; n != nil && !n.thawed.IsZero() && o.at.After(n.frozen) && o.at.Before(n.thawed.Add(thawMS*time.Millisecond)) {
			continue // On its way while its sender was frozen, or just after.
		}
		before, known := last[o.worker]
		if known && before.holder != o.holder && o.at.Sub(before.at) < leaseMS*time.Millisecond {
			found++
			notes.say("ONE: worker %s got an order of %s (fence %d) %d ms after one of %s (fence %d)", o.worker, o.holder, o.fence, o.at.Sub(before.at).Milliseconds(), before.holder, before.fence)
		}
		last[o.worker] = o
	}
	return found
}
