package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/acaciaproxy/acaciaproxy/disturber"
)

// node is a host with its process.
type node struct {
	name, zone, settings       string
	callers, ready, nodes, ops string
	// store is the node's own way to the store.
	store *disturber.Proxy
	// mu guards everything below.
	mu      sync.Mutex
	command *exec.Cmd
	// log is the file of the present process.
	log string
	// ended is closed when the process has ended; expected is set when a fault has ended it.
	ended    chan struct{}
	expected bool
	// stoppingAt is when the process was told to stop, or zero.
	stoppingAt time.Time
	// starts counts the processes.
	starts int
}

// startNode starts a node's process, whose log goes to a file.
func (w *world) startNode(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	n.log = filepath.Join(w.folder, fmt.Sprintf("%s-%d.log", n.name, n.starts))
	output, err := os.Create(n.log)
	if err != nil {
		return fmt.Errorf("log of node %q: %w", n.name, err)
	}
	command := exec.Command(w.spec.Program, "serve", "-settings", n.settings)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return fmt.Errorf("start node %q: %w", n.name, err)
	}
	ended := make(chan struct{})
	n.command, n.ended, n.expected, n.stoppingAt = command, ended, false, time.Time{}
	go func() {
		err := command.Wait()
		_ = output.Close() // Written to the end by the process.
		n.mu.Lock()
		expected := n.expected
		n.mu.Unlock()
		if !expected {
			w.fail("EXIT", fmt.Sprintf("node %s ended by itself: %v", n.name, err))
		}
		close(ended)
	}()
	return nil
}

// awaitStarted waits until the node's process has written a line. Before the runtime of a program runs, and the kernel
// may not run it for a while, nothing in it can hold a signal; how soon it can is tested in signaler and commander.
func (n *node) awaitStarted() {
	for deadline := time.Now().Add(startTime); time.Now().Before(deadline); time.Sleep(startPoll) {
		n.mu.Lock()
		path := n.log
		n.mu.Unlock()
		if written, err := os.Stat(path); err == nil && written.Size() > 0 {
			return
		}
	}
}

// startPoll is the pause between two looks at a node that starts.
const startPoll = 20 * time.Millisecond

// signal sends a signal to a node's process.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch signal {
	case syscall.SIGKILL:
		n.expected = true
	case syscall.SIGTERM:
		n.expected, n.stoppingAt = true, time.Now()
	}
	_ = n.command.Process.Signal(signal) // One that has just ended gets none.
}

// awaitEnd waits until the process has ended.
func (n *node) awaitEnd() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// stopping returns when the process was told to stop, and which process it is.
func (n *node) stopping() (at time.Time, start int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stoppingAt, n.starts
}
