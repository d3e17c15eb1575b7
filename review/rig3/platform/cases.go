package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
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
				"X-Acaciaproxy-Deadline-Ms: 1500", fmt.Sprintf("Api-Key: key-of-tenant-%d", 1+sent%4),
			}}
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
		time.Sleep(350 * time.Millisecond)
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

// playReturn: a worker leaves by the removal of its entry. The store comes back from a copy that still holds the entry, and a machine is added
// just then. The store removes the entry again, since the worker writes nothing.
func playReturn(r *rig) bool {
	const drain, contact = 2 * time.Second, 3 * time.Second
	r.store.put("op", "config", configuration(7, []map[string]any{onceRoute("registrs-app")}, []map[string]any{plainService("registrs-app")}))
	go r.store.keepCopies()
	var removedMu sync.Mutex
	var removedAgain time.Time
	go r.store.removeSilent(func(id string, at time.Time) {
		r.record("the store removes the entry of %s, which has been silent for three heartbeats", id)
		removedMu.Lock()
		removedAgain = at
		removedMu.Unlock()
	})
	leaver := r.startWorker("i-1", "registrs-app", "riga-a", 6, nil, plain(30*time.Millisecond))
	r.startWorker("i-2", "registrs-app", "riga-b", 6, nil, plain(30*time.Millisecond))
	r.startWorker("i-3", "registrs-app", "riga-c", 6, nil, plain(30*time.Millisecond))
	r.startNode("front-riga-a-1", "riga-a")
	r.startNode("front-riga-b-1", "riga-b")
	r.startNode("front-riga-c-1", "riga-c")
	for _, n := range r.nodes {
		n.awaitReady()
	}
	time.Sleep(10 * time.Second)
	once := func() request {
		return request{method: "POST", host: host, path: "/once/x", id: newAttempt(), body: "an assignment", headers: []string{"X-Acaciaproxy-Deadline-Ms: 1000"}}
	}
	for _, n := range r.nodes {
		if a := r.ask(n, once(), time.Second); a.status != 200 || !a.whole {
			broken("a request in calm is not served: " + a.String())
		}
	}
	leftAt := leaver.leave()
	r.record("%s leaves: its entry is removed; it goes on serving for some seconds", leaver.id)
	time.Sleep(1500 * time.Millisecond)
	if trouble() {
		r.record("the store is away")
		for _, n := range r.nodes {
			n.door.cut()
		}
		time.Sleep(500 * time.Millisecond)
		r.store.restore(3 * time.Second)
		for _, n := range r.nodes {
			n.door.heal()
		}
		r.record("the store is back from a copy that is 3 s old; the operator has written its configuration again, workers write at their next heartbeat")
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	backAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	added := r.startNode("front-riga-a-2", "riga-a")
	startedAt := time.Now()
	r.record("%s is added", added.name)
	added.awaitReady()
	gone := leftAt
	if trouble() {
		time.Sleep(time.Until(backAt.Add(silence + 200*time.Millisecond)))
		removedMu.Lock()
		gone = removedAgain
		removedMu.Unlock()
		if gone.IsZero() {
			broken("the store did not remove the entry again")
		}
		if gone.Sub(backAt) < contact {
			broken("the store was not stable when it removed the entry")
		}
	}
	time.Sleep(time.Until(backAt.Add(silence + drain + 500*time.Millisecond)))
	held := true
	for range 8 {
		q := once()
		sentAt := time.Now()
		r.ask(added, q, time.Second)
		for _, run := range r.runsOf(q.id) {
			if run.worker == leaver.id && run.at.Sub(gone) > drain && sentAt.Sub(startedAt) > contact {
				held = false
				r.record("DRAIN: %s reached %s from %s %v after the acknowledged removal of its entry, %v after the first one; %s had run for %v, the store had been undisturbed for %v", q.id, run.worker,
					added.name, run.at.Sub(gone).Round(time.Millisecond), run.at.Sub(leftAt).Round(time.Millisecond), added.name, sentAt.Sub(startedAt).Round(time.Millisecond), sentAt.Sub(backAt).Round(time.Millisecond))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	_ = leaver.server.Close()
	return held
}

// holder returns the node that the lease row of a zone names.
func (r *rig) holder(zone string) *node {
	r.store.mu.Lock()
	row := r.store.rows[rowID{"zones", "", zone}]
	r.store.mu.Unlock()
	text, err := base64.StdEncoding.DecodeString(row.Value)
	must(err)
	var lease struct{ Holder struct{ Node string } }
	must(json.Unmarshal(text, &lease))
	for _, n := range r.nodes {
		if n.name == lease.Holder.Node {
			return n
		}
	}
	broken("zone " + zone + " has no leader")
	return nil
}

// playFollower: the store comes back from an older copy. Long after that, the machine that leads a zone stands still, and a worker leaves by the
// removal of its entry. With DRILL=0, the store does not come back from a copy.
func playFollower(r *rig) bool {
	const drain, contact, freeze = 2 * time.Second, 3 * time.Second, 4 * time.Second
	r.store.put("op", "config", configuration(7, []map[string]any{onceRoute("registrs-app")}, []map[string]any{plainService("registrs-app")}))
	go r.store.keepCopies()
	leaver := r.startWorker("i-1", "registrs-app", "riga-a", 6, nil, plain(30*time.Millisecond))
	r.startWorker("i-2", "registrs-app", "riga-b", 6, nil, plain(30*time.Millisecond))
	r.startWorker("i-3", "registrs-app", "riga-c", 6, nil, plain(30*time.Millisecond))
	for _, name := range []string{"front-riga-a-1", "front-riga-a-2", "front-riga-b-1", "front-riga-c-1"} {
		r.startNode(name, name[6:12])
	}
	for _, n := range r.nodes {
		n.awaitReady()
	}
	time.Sleep(10 * time.Second)
	once := func() request {
		return request{method: "POST", host: host, path: "/once/x", id: newAttempt(), body: "an assignment", headers: []string{"X-Acaciaproxy-Deadline-Ms: 1000"}}
	}
	ask := func(n *node) {
		if a := r.ask(n, once(), time.Second); a.status != 200 || !a.whole {
			broken("a request in calm is not served: " + a.String())
		}
	}
	for _, n := range r.nodes {
		ask(n)
	}
	drill := trouble() && os.Getenv("DRILL") != "0"
	if drill {
		r.record("the store is away")
		for _, n := range r.nodes {
			n.door.cut()
		}
		time.Sleep(500 * time.Millisecond)
		r.store.restore(3 * time.Second)
		for _, n := range r.nodes {
			n.door.heal()
		}
		r.record("the store is back from a copy that is 3 s old; the operator has written its configuration again, workers write at their next heartbeat")
	}
	backAt := time.Now()
	time.Sleep(12 * time.Second)
	leader := r.holder("riga-a")
	follower := r.nodes[0]
	if leader == follower {
		follower = r.nodes[1]
	}
	ask(follower)
	frozenAt := time.Now()
	if trouble() {
		r.record("%s, which leads riga-a, is stopped for %v", leader.name, freeze)
		leader.signal(syscall.SIGSTOP)
		time.AfterFunc(freeze, func() {
			leader.signal(syscall.SIGCONT)
			r.record("%s goes on", leader.name)
		})
	}
	time.Sleep(100 * time.Millisecond)
	gone := leaver.leave()
	r.record("%s leaves: its entry is removed; it goes on serving for some seconds", leaver.id)
	time.Sleep(time.Until(gone.Add(drain + 150*time.Millisecond)))
	held := true
	for range 12 {
		q := once()
		sentAt := time.Now()
		r.ask(follower, q, time.Second)
		for _, run := range r.runsOf(q.id) {
			if run.worker == leaver.id && run.at.Sub(gone) > drain && sentAt.Sub(backAt) > contact {
				held = false
				r.record("DRAIN: %s reached %s from %s, which was disturbed by nothing, %v after the acknowledged removal of its entry", q.id, run.worker, follower.name, run.at.Sub(gone).Round(time.Millisecond))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(frozenAt.Add(freeze + 200*time.Millisecond)))
	_ = leaver.server.Close()
	return held
}

// playTakeUp: two services have models, and workers of two software versions serve side by side in one of them. Then workers of a second version join
// the other one, and the process that relays its streams is killed. With SIDE=0, the workers of the first service have one version.
func playTakeUp(r *rig) bool {
	const streams, events, pause = 24, 40, 250 * time.Millisecond
	route := func(service string) map[string]any {
		route := streamRoute(service)
		route["name"], route["pathPrefix"], route["resumable"], route["maxAttempts"], route["timeoutMs"], route["targetLatencyMs"] = "r-"+service, "/"+service+"/", true, 2, 13000, 3000
		return route
	}
	r.store.put("op", "config", configuration(7, []map[string]any{route("one"), route("other")}, []map[string]any{modelService("one"), modelService("other")}))
	zones := []string{"riga-a", "riga-b", "riga-c"}
	for i := range 3 {
		r.startWorker(fmt.Sprintf("i-one-%d", i+1), "one", zones[i], 64, []string{"m1"}, stream(events, pause))
		r.startWorker(fmt.Sprintf("i-other-%d", i+1), "other", zones[i], 64, []string{"m1"}, stream(events, pause))
	}
	if os.Getenv("SIDE") != "0" {
		r.software = "v2"
		for i := range 3 {
			r.startWorker(fmt.Sprintf("i-other-%d", i+4), "other", zones[i], 64, []string{"m1"}, stream(events, pause))
		}
	}
	for _, name := range []string{"front-riga-a-1", "front-riga-b-1", "front-riga-b-2", "front-riga-c-1"} {
		r.startNode(name, name[6:12])
	}
	for _, n := range r.nodes {
		n.awaitReady()
	}
	time.Sleep(10 * time.Second)
	relay := r.nodes[1]
	if r.holder("riga-b") == relay {
		relay = r.nodes[2]
	}
	others := []*node{r.nodes[0], r.nodes[3]}
	timed := func(service string, headers ...string) request {
		q := streamRequest("/" + service + "/x")
		q.headers[3] = "X-Acaciaproxy-Deadline-Ms: 13000"
		q.headers = append(q.headers, headers...)
		return q
	}
	type begun struct {
		q request
		a answer
	}
	var first, side []begun // The streams of the service one, and of the other.
	var mu sync.Mutex       // Guards both, and the counts below.
	var group sync.WaitGroup
	begin := func(into *[]begun, service string, n int) {
		for range n {
			group.Add(1)
			go func() {
				defer group.Done()
				q := timed(service)
				a := r.quiet(relay, q, 13*time.Second)
				mu.Lock()
				*into = append(*into, begun{q, a})
				mu.Unlock()
			}()
		}
	}
	r.record("%d streams of the service one begin at %s, which leads no zone", streams, relay.name)
	begin(&first, "one", streams)
	time.Sleep(300 * time.Millisecond)
	r.record("3 streams of the service other begin there")
	begin(&side, "other", 3)
	time.Sleep(1200 * time.Millisecond)
	r.software = "v2"
	r.startWorker("i-one-4", "one", zones[0], 64, []string{"m1"}, stream(events, pause))
	r.record("one worker of the version v2 joins the service one; its three workers of v1 serve on")
	time.Sleep(2500 * time.Millisecond)
	if trouble() {
		r.record("%s is killed", relay.name)
		relay.kill()
		time.AfterFunc(3*time.Second, func() {
			relay.restart(r)
			r.record("%s is started again", relay.name)
		})
	}
	group.Wait()
	goOn, began, taken := 0, 0, 0
	for i, b := range first {
		if b.a.whole {
			continue
		}
		taken++
		last := lastEvent(b.a.body)
		if last == 0 || b.a.status != 200 {
			broken("a stream had not begun")
		}
		group.Add(2)
		n := others[i%2]
		go func() {
			defer group.Done()
			for range 3 {
				a := r.quiet(n, timed("one", fmt.Sprintf("Last-Event-Id: %d", last), "Resumes: "+b.q.id), 13*time.Second)
				ok := a.whole && a.status == 200 && lastEvent(a.body) == events
				mu.Lock()
				if ok {
					goOn++
				}
				mu.Unlock()
				if ok {
					return
				}
				r.record("take-up of %s after event %d at %s: %s", b.q.id, last, n.name, a)
				time.Sleep(400 * time.Millisecond)
			}
		}()
		go func() {
			defer group.Done()
			a := r.quiet(n, timed("one"), 13*time.Second)
			mu.Lock()
			if a.whole && a.status == 200 {
				began++
			}
			mu.Unlock()
		}()
	}
	group.Wait()
	r.record("%d streams of the service one ended whole at once", streams-taken)
	r.record("%d streams were taken up, %d of them went on; of %d new streams at the same time %d began and ended whole", taken, goOn, taken, began)
	return taken < 12 || goOn*2 >= began // As many new streams were sent as were taken up.
}

// lastEvent returns the id of the last whole event of a stream.
func lastEvent(body string) int {
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return 0
	}
	last := 0
	for _, line := range strings.Split(body[:end], "\n") {
		if id, found := strings.CutPrefix(line, "id: "); found {
			last, _ = strconv.Atoi(id)
		}
	}
	return last
}
