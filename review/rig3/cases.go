package main

import (
	"fmt"
	"syscall"
	"time"
)

const host = "ficu95.example"

// engine returns the engine of a service whose workers load models.
func engine(models ...string) map[string]any {
	list := []map[string]any{}
	for _, name := range models {
		list = append(list, map[string]any{"name": name, "weightsMb": 65100.0, "loadTimeS": 6.0, "adapters": 0, "adapterSizeMb": 12.0, "warmS": 0.76, "diskS": 0.99})
	}
	return map[string]any{"slots": 64, "kvCapacity": 220555, "models": list, "weightsMb": 230000.0, "adapterSlots": 8, "loadsPerS": 12.0}
}

// configuration returns a configuration in the form of the pages.
func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}

func streamRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-stream", "host": host, "pathPrefix": "/stream/", "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 300, "priority": 0,
		"service": service, "maxAttempts": 1, "sticky": true, "resumable": false, "gapAimMs": 300,
	}
}

func onceRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-once", "host": host, "pathPrefix": "/once/", "kind": "non_idempotent", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
		"service": service, "maxAttempts": 1,
	}
}

func modelService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "engine": engine("m1")}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}
}

func streamRequest(path string) request {
	return request{method: "POST", host: host, path: path, id: newAttempt(), body: "text to be classified", headers: []string{
		"X-Acaciaproxy-Model: m1", "X-Acaciaproxy-Token-Count: 646,85", "X-Acaciaproxy-Prompt-Prefix: 5c1e07a2:155,e4402b7d:491", "X-Acaciaproxy-Deadline-Ms: 6000",
	}}
}

// playCarrier: the route moves to another service. One node is partitioned from the store meanwhile and keeps the old configuration.
// Then the workers crash that have the model in the new service.
func playCarrier(r *rig) bool {
	const configApply, rollbackSlack = 2 * time.Second, 250 * time.Millisecond
	const serviceWorkers = 8
	services := []map[string]any{modelService("old"), modelService("new")}
	r.store.put("op", "config", configuration(10, []map[string]any{streamRoute("old")}, services))
	zones := []string{"riga-a", "riga-b", "riga-c"}
	for i := range serviceWorkers {
		r.startWorker(fmt.Sprintf("i-old-%d", i+1), "old", zones[i%3], 64, map[bool][]string{true: {"m1"}}[i < 2], stream(5, 50*time.Millisecond))
	}
	var holders []*worker
	for i := range serviceWorkers {
		w := r.startWorker(fmt.Sprintf("i-new-%d", i+1), "new", zones[i%3], 64, map[bool][]string{true: {"m1"}}[i < 2], stream(5, 50*time.Millisecond))
		if i < 2 {
			holders = append(holders, w)
		}
	}
	a := r.startNode("front-riga-a-1", "riga-a")
	b := r.startNode("front-riga-b-1", "riga-b")
	r.startNode("front-riga-c-1", "riga-c")
	for _, n := range r.nodes {
		n.awaitReady()
	}
	time.Sleep(10 * time.Second)
	if got := r.ask(a, streamRequest("/stream/before"), 6*time.Second); got.status != 200 || !got.whole {
		broken("a request in calm is not served: " + got.String())
	}
	cutAt := time.Now()
	if trouble() {
		r.record("%s is partitioned from the store", b.name)
		b.door.cut()
	}
	time.Sleep(300 * time.Millisecond)
	acknowledged := r.store.put("op", "config", configuration(11, []map[string]any{streamRoute("new")}, services))
	r.record("version 11 acknowledged: the route leads to the service new")
	time.Sleep(configApply + 200*time.Millisecond)
	q := streamRequest("/stream/effect")
	r.ask(a, q, 6*time.Second)
	runs := r.runsOf(q.id)
	if len(runs) != 1 || runs[0].service != "new" {
		broken(fmt.Sprintf("the effect of version 11 is not seen at %s: %v", a.name, runs))
	}
	seenAt := runs[0].at
	if trouble() {
		r.record("the %d of %d workers of the service new that have the model crash; they are back, empty, 2 s later", len(holders), serviceWorkers)
		for i, w := range holders {
			w.crash()
			time.AfterFunc(2*time.Second, func() {
				r.startWorker(fmt.Sprintf("i-new-%d-again", i+1), "new", w.zone, 64, nil, stream(5, 50*time.Millisecond))
			})
		}
	}
	held := true
	for i := 0; time.Since(seenAt) < 2200*time.Millisecond; i++ {
		time.Sleep(100 * time.Millisecond)
		q := streamRequest(fmt.Sprintf("/stream/after-%d", i))
		sentAt := time.Now()
		r.ask(a, q, 6*time.Second)
		for _, run := range r.runsOf(q.id) {
			if run.service == "old" && sentAt.Sub(acknowledged) > configApply && sentAt.Sub(seenAt) > rollbackSlack {
				held = false
				r.record("CONFIG: %s, sent to %s %v after the acknowledgement of version 11 and %v after its effect was seen there, was run by %s of the service old", q.id, a.name,
					sentAt.Sub(acknowledged).Round(time.Millisecond), sentAt.Sub(seenAt).Round(time.Millisecond), run.worker)
			}
		}
	}
	b.door.heal()
	r.record("%s reaches the store again, %v after the partition began", b.name, time.Since(cutAt).Round(100*time.Millisecond))
	return held
}

// playDrill: the store is away for a second and comes back from a copy that is some seconds old. All processes of the system are killed
// meanwhile, and are started again.
func playDrill(r *rig) bool {
	const recovery, tail = 15 * time.Second, 2500 * time.Millisecond
	r.settings = `, "revoke": 5000, "quotawindow": 8, "quotaovershoot": 0.1, "quotaslack": 110000, "room": 1, "repeat": 1, "zones": "lj-a,lj-b,kr-c"`
	tenants := []map[string]any{}
	for i := range 4 {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("tenant-%d", i+1), "apiKeys": []string{fmt.Sprintf("key-of-tenant-%d", i+1)}, "priority": 1,
			"unit": "token_metering", "plainTokens": 200, "ratePerS": 324852, "burst": 324852,
		})
	}
	once := onceRoute("pay-api")
	once["timeoutMs"] = 1500
	config := configuration(7, []map[string]any{once}, []map[string]any{plainService("pay-api")})
	config["tenants"] = tenants
	r.store.put("op", "config", config)
	go r.store.keepCopies()
	zones := []string{"lj-a", "lj-b", "kr-c"}
	for i, zone := range zones {
		r.startWorker(fmt.Sprintf("i-%d", i+1), "pay-api", zone, 6, nil, plain(15*time.Millisecond))
	}
	for _, zone := range zones {
		r.startNode("front-"+zone+"-1", zone)
	}
	for _, n := range r.nodes {
		n.awaitReady()
	}
	time.Sleep(10 * time.Second)
	var sent int
	count := func(from, to time.Time) (served, all int) {
		for ; time.Now().Before(to); time.Sleep(40 * time.Millisecond) {
			if time.Now().Before(from) {
				continue
			}
			sent++
			q := request{method: "POST", host: host, path: "/once/x", id: newAttempt(), body: "a payment", headers: []string{
				"X-Acaciaproxy-Deadline-Ms: 1500", fmt.Sprintf("Api-Key: key-of-tenant-%d", 1+sent%4)}}
			all++
			a := r.quiet(r.nodes[sent%3], q, 1500*time.Millisecond)
			if a.whole && a.status == 200 {
				served++
			} else if all%10 == 1 {
				r.record("%s to %s: %s", q.id, r.nodes[sent%3].name, a)
			}
		}
		return served, all
	}
	served, all := count(time.Now(), time.Now().Add(5*time.Second))
	r.record("before: %d of %d requests served", served, all)
	if served*4 < all {
		broken("less than a quarter is served in calm")
	}
	backAt := time.Now()
	if trouble() {
		r.record("the store is away")
		for _, n := range r.nodes {
			n.door.cut()
		}
		time.Sleep(300 * time.Millisecond)
		r.record("all processes are killed")
		for _, n := range r.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range r.nodes {
			<-n.exited
		}
		time.Sleep(700 * time.Millisecond)
		r.store.restore(3 * time.Second)
		for _, n := range r.nodes {
			n.door.heal()
		}
		r.record("the store is back from a copy that is 3 s old; the operator has written its configuration again")
		time.Sleep(500 * time.Millisecond)
		for _, n := range r.nodes {
			n.restart(r)
		}
		backAt = time.Now()
		r.record("the processes are started again")
	}
	first, total := count(time.Now(), backAt.Add(recovery))
	r.record("in the %v after the machines are back: %d of %d requests served", recovery, first, total)
	served, all = count(backAt.Add(recovery), backAt.Add(recovery+tail))
	r.record("sent later than that, for %v: %d of %d requests served", tail, served, all)
	return served*4 >= all
}
