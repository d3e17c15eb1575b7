package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what the run writes of itself: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

var notes = &record{began: time.Now()}

func (r *record) open(path string) {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitVoid)
	}
	r.file = file
}

// add writes one line with the seconds since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
	if r.file != nil {
		_, _ = r.file.WriteString(line)
	}
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitVoid   = 2
)

// voidError ends a case that could not run.
type voidError struct{ text string }

// void ends the case: it could not run.
func void(format string, values ...any) { panic(voidError{fmt.Sprintf(format, values...)}) }
