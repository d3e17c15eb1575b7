package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const pathRequests = 20

// playPath sends requests that may not be repeated on a route for all paths of its host. With the disruption, their paths begin with two
// slashes, as a client's do that joins a base address which ends with a slash and a path which begins with one.
func playPath(trouble bool) bool {
	s, saw := newStore(), &seen{}
	s.put("op", "config", strings.Replace(configuration(10, nil, 230000), `"`+pathOnce+`"`, `"/"`, 1))
	for i := range 2 {
		w := &worker{id: fmt.Sprintf("i-plain-%d", i), service: plainService, zone: "riga-a", software: "v1", store: s, seen: saw, slots: 6, work: 30 * time.Millisecond}
		w.start()
	}
	n := addNode(s, "front-riga-a-1", "riga-a")
	n.start()
	awaitReady(n)
	time.Sleep(time.Second)
	c, err := dial(n.front)
	if err != nil {
		void("dial: %v", err)
	}
	changed, ran := 0, 0
	for i := range pathRequests {
		path := fmt.Sprintf("/assign/%d", i)
		if trouble {
			path = "/" + path
		}
		attempt := fmt.Sprintf("record-%d", i)
		a := c.send(request{method: http.MethodPost, path: path, attempt: attempt, budget: time.Second})
		for _, r := range saw.runsOf(attempt) {
			ran++
			if r.target != path {
				changed++
				notes.say("UNASKED: %s, sent as POST %s and answered %d, was run by %s as POST %s", attempt, path, a.status, r.worker, r.target)
			}
		}
		if a.status == 0 || a.closes {
			void("the channel has ended: %v", a.err)
		}
	}
	notes.say("%d requests sent, %d run, %d of them with another path", pathRequests, ran, changed)
	if !trouble && ran < pathRequests {
		void("the requests were not run")
	}
	return changed > 0
}
