package soaker

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// starvationPoll is the time between two looks at the nodes' threads.
	starvationPoll = 250 * time.Millisecond
	// starvedTime is the wait of one thread for a processor between two looks from which its node counts as starved: such a
	// host does not run, so promises with a bound in seconds do not hold for it.
	starvedTime = 200 * time.Millisecond
)

// watchStarvation counts a node that gets no processor as a fault. The kernel
// tells how long threads were ready to run and did not.
func (w *world) watchStarvation() {
	waited := map[string]time.Duration{}
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-w.stopped:
			return
		case <-time.After(starvationPoll):
		}
		if late := time.Since(last) - starvationPoll; late > starvedTime {
			w.starved(fmt.Sprintf("the soak itself woke up %s late", late.Round(time.Millisecond)))
		}
		now := map[string]time.Duration{}
		for _, n := range w.nodes {
			longest := time.Duration(0)
			for thread, wait := range n.processorWaits() {
				now[thread] = wait
				if before, known := waited[thread]; known {
					longest = max(longest, wait-before)
				}
			}
			if longest > starvedTime {
				w.starved(fmt.Sprintf("node %s waited %s for a processor", n.name, longest.Round(time.Millisecond)))
			}
		}
		waited = now
	}
}

// starved takes in that the machine does not run a process.
func (w *world) starved(what string) {
	w.begin()()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%.1fs %s", time.Since(w.began).Seconds(), what))
}

// processorWaits returns for how long each thread of a node's process has waited for a processor in all.
func (n *node) processorWaits() map[string]time.Duration {
	n.mu.Lock()
	pid := n.command.Process.Pid
	n.mu.Unlock()
	waits := map[string]time.Duration{}
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return waits // The pattern is fixed and well formed.
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		fields := strings.Fields(string(text))
		if err != nil || len(fields) < 2 {
			continue // The thread has ended.
		}
		if wait, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			waits[file] = time.Duration(wait)
		}
	}
	return waits
}
