package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["carry"] = playCarry
	cases["silent"] = playSilent
	cases["unframed"] = playUnframed
}

// playCarry: a node that has served a route by a new version passes requests to another one, which has the older version only.
func playCarry(r *rig) bool {
	const workersPerService = 3
	proxies := map[string]*proxy{}
	var oldOnes, newOnes []*worker
	add := func(service string, i int, zone string) *worker {
		w := r.newWorker(fmt.Sprintf("i-%s-%d", service, i), service, zone, r.ip(30+i), nil, plain(20*time.Millisecond))
		p := newProxy(r.ip(60+i), w.address)
		proxies[w.id] = p
		return w
	}
	for i := range workersPerService {
		oldOnes = append(oldOnes, add("old", i, "z-b"))
		newOnes = append(newOnes, add("new", i, "z-b"))
	}
	for i := range 9 {
		add("other", i, "z-a")
	}
	routes := func(service string) []route {
		return []route{{Name: "r1", Host: "ficu95.example", PathPrefix: "/puxa403/", Kind: "non_idempotent", TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, Service: service, MaxAttempts: 1}}
	}
	services := []map[string]any{plainService("old"), plainService("new"), plainService("other")}
	r.configure(7, routes("old"), services...)
	direct := r.store.endpoint("store", r.ip(1), nil)
	viewed := r.store.endpoint("store-a", r.ip(1), func(row storedRow) storedRow {
		return rewriteAddress(row, proxies)
	})
	a := r.startNode("front-a-1", "z-a", viewed)
	paths := map[string]*proxy{}
	var others []*node
	for _, name := range []string{"front-b-1", "front-b-2", "front-b-3"} {
		paths[name] = newProxy(r.ip(4), direct)
		others = append(others, r.startNode(name, "z-b", paths[name].address))
	}
	r.awaitReady()
	time.Sleep(6 * time.Second)
	leader := r.leaderOf("z-b")
	r.say("leader of z-b is %s", leader)
	var b *node
	for _, n := range others {
		if n.name != leader {
			b = n
		}
	}
	for _, n := range r.nodes {
		if _, got := r.askNode(n, "POST", "/puxa403/2f", time.Second, ""); got.Status != 200 {
			fail("first request at %s: %s", n.name, got)
		}
	}
	if r.trouble {
		r.say("%s loses its path to the store", b.name)
		paths[b.name].cut()
		time.AfterFunc(9*time.Second, paths[b.name].heal)
	}
	time.Sleep(500 * time.Millisecond)
	r.configure(9, routes("new"), services...)
	acked := time.Now()
	time.Sleep(2200 * time.Millisecond)
	if _, got := r.askNode(a, "POST", "/puxa403/2f", time.Second, ""); got.Status != 200 {
		fail("request by the new version: %s", got)
	}
	var seenAt time.Time
	for _, w := range newOnes {
		for _, one := range w.took() {
			seenAt = one.At
		}
	}
	if seenAt.IsZero() {
		fail("no worker has seen the new version")
	}
	if r.trouble {
		r.say("%s loses its path to the workers of service new", a.name)
		for _, w := range newOnes {
			proxies[w.id].cut()
			time.AfterFunc(5*time.Second, proxies[w.id].heal)
		}
	}
	sentAt := map[string]time.Time{}
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(4500 * time.Millisecond)
	for time.Now().Before(end) {
		at := time.Now()
		all.Go(func() {
			id, _ := r.askNode(a, "POST", "/puxa403/2f", time.Second, "")
			mu.Lock()
			sentAt[id] = at
			mu.Unlock()
		})
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	broken := 0
	for _, w := range oldOnes {
		for _, one := range w.took() {
			at, found := sentAt[one.ID]
			if found && at.After(seenAt.Add(250*time.Millisecond)) && at.After(acked.Add(2*time.Second)) {
				r.say("%s, sent to %s %d ms after a worker saw version 9, ran at %s of the old service", one.ID, a.name, at.Sub(seenAt).Milliseconds(), one.Worker)
				broken++
			}
		}
	}
	r.say("%d of %d requests were handled as only version 7 allows", broken, len(sentAt))
	return broken > 0
}

// rewriteAddress shows the address of the proxy of a worker.
func rewriteAddress(row storedRow, proxies map[string]*proxy) storedRow {
	p, found := proxies[row.Key]
	if !found {
		return row
	}
	row.Value = editBeat(row.Value, p.address)
	return row
}

// playSilent: all open channels to the store fall silent; new ones work.
func playSilent(r *rig) bool {
	var oldOnes []*worker
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		oldOnes = append(oldOnes, r.newWorker(fmt.Sprintf("i-old-%d", i), "old", zone, r.ip(30+i), nil, plain(20*time.Millisecond)))
		r.newWorker(fmt.Sprintf("i-new-%d", i), "new", zone, r.ip(40+i), nil, plain(20*time.Millisecond))
	}
	routes := func(service string, timeout int) []route {
		return []route{
			{Name: "r1", Host: "ficu95.example", PathPrefix: "/cufi504/", Kind: "idempotent", TimeoutMs: 1000, TargetLatencyMs: 300, Service: service, MaxAttempts: 2},
			{Name: "r2", Host: "ficu95.example", PathPrefix: "/other/", Kind: "idempotent", TimeoutMs: timeout, TargetLatencyMs: 300, Service: "old", MaxAttempts: 2},
		}
	}
	services := []map[string]any{plainService("old"), plainService("new")}
	r.configure(7, routes("old", 1000), services...)
	direct := r.store.endpoint("store", r.ip(1), nil)
	var paths []*proxy
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		p := newProxy(r.ip(4+i), direct)
		paths = append(paths, p)
		r.startNode(fmt.Sprintf("front-%s-1", zone), zone, p.address)
	}
	r.awaitReady()
	time.Sleep(8 * time.Second)
	for _, n := range r.nodes {
		if _, got := r.askNode(n, "GET", "/cufi504/2f", time.Second, ""); got.Status != 200 {
			fail("first request at %s: %s", n.name, got)
		}
	}
	r.configure(8, routes("old", 1200), services...)
	time.Sleep(30 * time.Millisecond)
	silentAt := time.Now()
	if r.trouble {
		r.say("all open channels to the store fall silent")
		for _, p := range paths {
			p.silence(false)
		}
	}
	time.Sleep(230 * time.Millisecond)
	r.configure(9, routes("new", 1200), services...)
	acked := time.Now()
	bound := acked.Add(2 * time.Second)
	if r.trouble && silentAt.Add(3*time.Second).After(bound) {
		bound = silentAt.Add(3 * time.Second)
	}
	sentAt := map[string]time.Time{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for time.Since(silentAt) < 6*time.Second {
		for _, n := range r.nodes {
			at := time.Now()
			all.Go(func() {
				id, _ := r.askNode(n, "GET", "/cufi504/2f", time.Second, "")
				mu.Lock()
				sentAt[id] = at
				mu.Unlock()
			})
		}
		time.Sleep(25 * time.Millisecond)
	}
	all.Wait()
	broken := 0
	last := time.Time{}
	for _, w := range oldOnes {
		for _, one := range w.took() {
			at, found := sentAt[one.ID]
			if found && at.After(last) {
				last = at
			}
			if found && at.After(bound) {
				r.say("%s, sent %d ms after the silence and %d ms after the acknowledgement, ran at %s of the old service", one.ID, at.Sub(silentAt).Milliseconds(), at.Sub(acked).Milliseconds(), one.Worker)
				broken++
			}
		}
	}
	r.say("%d of %d requests were handled as only version 8 allows; the last one at all was sent %d ms after the silence", broken, len(sentAt), last.Sub(silentAt).Milliseconds())
	return broken > 0
}
