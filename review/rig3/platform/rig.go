// Command rig3 plays one case of the third review with real processes of the system and stand-ins of the store, the workers and the clients.
//
//	rig3 CASE FOLDER
//
// It runs in the repository's root and writes record.txt to the folder. Exit code 0: the rule held; 1: it was broken; 2: the case could not be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is one play of a case.
type rig struct {
	folder, program string
	// settings are further settings of all nodes.
	settings string
	// software is the version of the software of the workers that are started from now on.
	software string
	store    *store
	nodes    []*node
	began    time.Time
	mu       sync.Mutex
	lines    strings.Builder
	runs     map[string][]run
}

// run is the beginning of one run of a request at a worker.
type run struct {
	worker, service string
	at              time.Time
}

// trouble reports whether the disruption of the case is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// brokenCase ends a play that shows nothing.
type brokenCase struct{ why string }

func broken(why string) { panic(brokenCase{why}) }

func must(err error) {
	if err != nil {
		broken(err.Error())
	}
}

func (r *rig) record(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.lines, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// ran records that a worker began to run a request.
func (r *rig) ran(id string, w *worker) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], run{w.id, w.service, time.Now()})
	r.mu.Unlock()
	r.record("%s runs %s", w.id, id)
}

// runsOf returns the runs of a request.
func (r *rig) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs[id]...)
}

// end ends all processes and writes the record.
func (r *rig) end(path string) {
	for _, n := range r.nodes {
		n.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = os.WriteFile(path, []byte(r.lines.String()), 0o644)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], filepath.Join(os.Args[2], "record.txt")))
}

func play(name, record string) (code int) {
	cases := map[string]func(*rig) bool{"drill": playDrill, "return": playReturn, "follower": playFollower, "takeup": playTakeUp}
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil || cases[name] == nil {
		fmt.Fprintln(os.Stderr, "rig3: no such case, or no temporary folder")
		return 2
	}
	r := &rig{folder: folder, program: "target/acaciaproxy", software: "v1", store: newStore(), began: time.Now(), runs: map[string][]run{}}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", folder)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var once sync.Once
	end := func() { once.Do(func() { r.end(record) }) }
	stopped := func(why string) {
		r.record("the case could not be played: %s", why)
		end()
		os.Exit(2)
	}
	go func() {
		<-signals
		stopped("ended by a signal")
	}()
	time.AfterFunc(115*time.Second, func() { stopped("it took too long") })
	defer func() {
		if cause := recover(); cause != nil {
			why, expected := cause.(brokenCase)
			if !expected {
				end()
				panic(cause)
			}
			r.record("the case could not be played: %s", why.why)
			end()
			fmt.Println("could not be played:", why.why)
			code = 2
		}
	}()
	held := cases[name](r)
	verdict := map[bool]string{true: "the rule held", false: "the rule was BROKEN"}[held]
	r.record("%s", verdict)
	end()
	fmt.Println(verdict)
	if held {
		return 0
	}
	return 1
}
