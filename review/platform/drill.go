package main

import (
	"fmt"
	"time"
)

const (
	drillAfter      = 4 * time.Second        // from the start of the nodes to the drill
	drillAway       = 300 * time.Millisecond // for which the store is away
	drillAfterwards = 8 * time.Second
)

// playDrill adds a machine while the store comes back from a copy that was made just before the system started.
func playDrill(trouble bool) bool {
	s, saw, models := leaseWorld()
	time.Sleep(time.Second)
	older := s.copy()
	notes.add("copy of the store made, version %d", older.version)
	byName := map[string]*node{}
	var fronts []*node
	began := time.Now()
	for i := range 3 {
		n := addNode(s, fmt.Sprintf("front-riga-a-%d", i+1), leaseZone)
		n.start()
		byName[n.name], fronts = n, append(fronts, n)
	}
	awaitReady(fronts...)
	load := startLeaseLoad(models)
	added := newNode(s, "front-riga-a-4", leaseZone)
	byName[added.name] = added
	time.Sleep(time.Until(began.Add(drillAfter)))
	notes.add("leader: %s", holder(s))
	if trouble {
		for _, n := range byName {
			n.door.set("busy")
		}
		time.Sleep(drillAway)
		s.restore(older)
		for _, n := range byName {
			n.door.set("")
		}
		notes.add("the store is back from a copy %.1f s old", time.Since(began).Seconds())
	}
	nodes.Lock()
	nodes.all = append(nodes.all, added)
	added.start()
	nodes.Unlock()
	awaitReady(added)
	time.Sleep(drillAfterwards)
	close(load.ending)
	orders := saw.allOrders()
	notes.say("%d requests served, %d not; %d orders", load.served.Load(), load.failed.Load(), len(orders))
	if load.served.Load() < 20 || len(orders) < 20 {
		void("the system did not serve")
	}
	lower := 0
	fences := map[string]int{}
	for _, o := range orders {
		if o.fence < fences[o.worker] {
			lower++
			notes.add("ONE: worker %s got an order with fence %d after one with fence %d", o.worker, o.fence, fences[o.worker])
		}
		fences[o.worker] = max(fences[o.worker], o.fence)
	}
	notes.say("%d orders with a lower fencing token after a higher one", lower)
	return turns(orders, byName)+lower > 0
}
