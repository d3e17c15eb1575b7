package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["latent"] = playLatent }

// playLatent: the open channels to the store fall silent while the nodes that follow a leader do not use theirs. Some seconds later the leader stands
// still, and a worker says that it leaves.
func playLatent(r *rig) bool {
	var workers []*worker
	for i := range 7 {
		workers = append(workers, r.newWorker(fmt.Sprintf("i-app-%d", i), "app", "z-a", r.ip(30+i), nil, plain(20*time.Millisecond)))
	}
	r.configure(7, []route{{Name: "r1", Host: "ficu95.example", PathPrefix: "/cufi504/", Kind: "idempotent", TimeoutMs: 1000, TargetLatencyMs: 150, Service: "app", MaxAttempts: 2}}, plainService("app"))
	direct := r.store.endpoint("store", r.ip(1), nil)
	var paths []*proxy
	for i := range 3 {
		p := newProxy(r.ip(4+i), direct)
		paths = append(paths, p)
		r.startNode(fmt.Sprintf("front-a-%d", i+1), "z-a", p.address)
	}
	r.awaitReady()
	time.Sleep(8 * time.Second)
	leaderName := r.leaderOf("z-a")
	r.say("leader of z-a is %s", leaderName)
	var leader *node
	var followers []*node
	for _, n := range r.nodes {
		if n.name == leaderName {
			leader = n
		} else {
			followers = append(followers, n)
		}
	}
	if leader == nil {
		fail("no leader")
	}
	if r.trouble {
		for i, p := range paths {
			r.say("%d channels of %s to the store, over which nothing has passed for 5 s, fall silent", p.silenceIdle(5*time.Second), r.nodes[i].name)
		}
	}
	time.Sleep(4 * time.Second)
	for _, n := range followers {
		if _, got := r.askNode(n, "GET", "/cufi504/2f", time.Second, ""); got.Status != 200 {
			fail("first request at %s: %s", n.name, got)
		}
	}
	if r.trouble {
		leader.signal(syscall.SIGSTOP)
		time.AfterFunc(4*time.Second, func() { leader.signal(syscall.SIGCONT) })
	}
	time.Sleep(20 * time.Millisecond)
	leaving := workers[0]
	leaving.mu.Lock()
	leaving.state = "draining"
	leaving.seq++
	r.store.put("servers", leaving.id, beat{Service: "app", Address: leaving.shown, Zone: "z-a", Version: "v1", Slots: 64, State: "draining", Seq: leaving.seq, Born: leaving.born})
	leaving.mu.Unlock()
	acked := time.Now()
	r.say("worker %s is draining, acknowledged", leaving.id)
	var all sync.WaitGroup
	for time.Since(acked) < 3500*time.Millisecond {
		for _, n := range followers {
			all.Go(func() { r.askNode(n, "GET", "/cufi504/2f", time.Second, "") })
		}
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
	broken, last := 0, time.Duration(0)
	for _, one := range leaving.took() {
		after := one.At.Sub(acked)
		last = max(last, after)
		if after > 2*time.Second {
			r.say("%s reached %s %d ms after the acknowledgement", one.ID, leaving.id, after.Milliseconds())
			broken++
		}
	}
	r.say("%d requests reached the worker later than 2000 ms after the acknowledgement; the last one after %d ms", broken, last.Milliseconds())
	return broken > 0
}
