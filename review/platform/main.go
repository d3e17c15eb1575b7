// Command player plays a case of the review: it starts nodes as separate processes beside stand-ins of the store, workers and clients,
// disrupts them, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// nodes are all nodes that were created.
var nodes struct {
	sync.Mutex
	all []*node
}

var cases = map[string]func(trouble bool) (broken bool){
	"stop":   playStop,
	"lease":  playLease,
	"join":   playJoin,
	"path":   playPath,
	"resume": playResume,
	"drill":  playDrill,
	"room":   playRoom,
}

func main() {
	flag.StringVar(&program, "program", "", "the program that the deploy file runs")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, found := cases[flag.Arg(0)]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(exitVoid)
	}
	notes.open(*path)
	os.Exit(run1(play, os.Getenv("TROUBLE") != "0"))
}

// run1 plays a case and ends all processes that it started.
func run1(play func(bool) bool, trouble bool) (status int) {
	var err error
	if folder, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitVoid
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- playSafely(play, trouble) }()
	select {
	case status = <-result:
	case <-time.After(maxTime):
		notes.say("the case took too long")
		status = exitVoid
	case <-interrupted:
		status = exitVoid
	}
	nodes.Lock()
	for _, n := range nodes.all {
		if n.command != nil && n.running() {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
			<-n.ended
		}
	}
	nodes.Unlock()
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		_ = os.RemoveAll(kept)
		_ = os.Rename(folder, filepath.Clean(kept))
	}
	_ = os.RemoveAll(folder)
	notes.say("exit %d", status)
	return status
}

func playSafely(play func(bool) bool, trouble bool) (status int) {
	defer func() {
		if cause := recover(); cause != nil {
			failure, isVoid := cause.(voidError)
			if !isVoid {
				panic(cause)
			}
			notes.say("the case could not run: %s", failure.text)
			status = exitVoid
		}
	}()
	if play(trouble) {
		return exitBroken
	}
	return exitHeld
}

func addNode(s *store, name, zone string) *node {
	n := newNode(s, name, zone)
	nodes.Lock()
	nodes.all = append(nodes.all, n)
	nodes.Unlock()
	return n
}
