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
	// starvationPoll is the interval at which the scheduling statistics of the nodes' threads are read.
	starvationPoll = 250 * time.Millisecond
	// starvedTime is how long a thread must wait for a processor between two polls for its node to count as starved. The
	// guarantees with a time limit assume a host that runs its processes, so they do not hold for a starved node.
	starvedTime = 200 * time.Millisecond
)

// watchStarvation records processor starvation of a node, or of the soak itself, as a fault. The kernel reports
// how long each thread was runnable without running.
func (e *environment) watchStarvation() {
	previous := map[string]time.Duration{}
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-e.stopped:
			return
		case <-time.After(starvationPoll):
		}
		if late := time.Since(last) - starvationPoll; late > starvedTime {
			e.addStarvation(fmt.Sprintf("the soak itself woke up %s late", late.Round(time.Millisecond)))
		}
		current := map[string]time.Duration{}
		for _, n := range e.nodes {
			longest := time.Duration(0)
			for thread, wait := range n.processorWaits() {
				current[thread] = wait
				if before, known := previous[thread]; known {
					longest = max(longest, wait-before)
				}
			}
			if longest > starvedTime {
				e.addStarvation(fmt.Sprintf("node %s waited %s for a processor", n.name, longest.Round(time.Millisecond)))
			}
		}
		previous = current
	}
}

// addStarvation records the starvation of a process as a fault that starts and ends now, and as a note in the report.
func (e *environment) addStarvation(detail string) {
	e.beginFault(nil)()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notes = append(e.notes, fmt.Sprintf("%.1fs %s", time.Since(e.startedAt).Seconds(), detail))
}

// processorWaits returns the total time that each thread of the node's process has waited for a processor,
// by the path of the thread's statistics file.
func (n *node) processorWaits() map[string]time.Duration {
	n.mu.Lock()
	pid := n.command.Process.Pid
	n.mu.Unlock()
	waits := map[string]time.Duration{}
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return waits // Cannot happen: Glob fails only on a malformed pattern.
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
