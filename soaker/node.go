package soaker

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/acaciaproxy/acaciaproxy/faultinjector"
	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// node is a proxy node: its fixed addresses and settings, and its current process.
type node struct {
	name, zone, settingsPath string
	// program is the path of the program that it runs.
	program                                                   string
	callerAddress, readyAddress, peerAddress, operatorAddress string
	// storeProxy is the node's only path to the store, so faults on it affect no other node.
	storeProxy *faultinjector.Proxy
	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	// logPath is the log file of the current process.
	logPath string
	// ended is closed when the process has ended; endExpected is set before a signal that ends the process is sent.
	ended       chan struct{}
	endExpected bool
	// stoppingAt is when the process was sent SIGTERM, or zero.
	stoppingAt time.Time
	// processCount is how many processes have been started for this node, the current one included.
	processCount int
}

// reachable reports whether the node's process answers readiness checks.
func (n *node) reachable(client *http.Client) bool {
	return fleetstandin.IsReady(client, n.readyAddress)
}

// startNode starts a process for a node. Its output goes to a log file of its own.
func (e *environment) startNode(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processCount++
	n.logPath = filepath.Join(e.folder, fmt.Sprintf("%s-%d.log", n.name, n.processCount))
	output, err := os.Create(n.logPath)
	if err != nil {
		return fmt.Errorf("create log of node %q: %w", n.name, err)
	}
	command := exec.Command(n.program, "serve", "-settings", n.settingsPath)
	command.Stdout, command.Stderr = output, output
	if cores := e.spec.Cores; cores > 0 {
		command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", cores))
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start node %q: %w", n.name, err)
	}
	ended := make(chan struct{})
	n.command, n.ended, n.endExpected, n.stoppingAt = command, ended, false, time.Time{}
	go func() {
		err := command.Wait()
		_ = output.Close() // The process has ended, so nothing more is written.
		n.mu.Lock()
		expected := n.endExpected
		n.mu.Unlock()
		if !expected {
			e.addFailure("EXIT", fmt.Sprintf("node %s ended by itself: %v", n.name, err))
		}
		close(ended)
	}()
	return nil
}

// awaitStarted waits until the node's process has written a log line, at most startTimeout. The program cannot
// handle signals before its Go runtime runs, which the kernel may delay. That it handles them soon after that is tested in
// signalhandler and commander.
func (n *node) awaitStarted() {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(startPoll) {
		n.mu.Lock()
		path := n.logPath
		n.mu.Unlock()
		if written, err := os.Stat(path); err == nil && written.Size() > 0 {
			return
		}
	}
}

// describedLogBytes is how much of the end of a node's log describe returns.
const describedLogBytes = 8 << 10

// describe returns whether the node's current process runs, and the end of its log, which is deleted with the output folder of a test.
func (n *node) describe() string {
	n.mu.Lock()
	ended, path := n.ended, n.logPath
	n.mu.Unlock()
	state := "its process runs"
	select {
	case <-ended:
		state = "its process has ended"
	default:
	}
	written, err := os.ReadFile(path)
	if err != nil {
		return fmt.Sprintf("%s; %v", state, err)
	}
	return fmt.Sprintf("%s; the end of its log %s:\n%s", state, path, written[max(0, len(written)-describedLogBytes):])
}

// startPoll is the interval at which the log of a starting process is checked.
const startPoll = 20 * time.Millisecond

// signal sends a signal to the node's process. SIGKILL and SIGTERM make the end of the process expected.
func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch signal {
	case syscall.SIGKILL:
		n.endExpected = true
	case syscall.SIGTERM:
		n.endExpected, n.stoppingAt = true, time.Now()
	}
	_ = n.command.Process.Signal(signal) // Fails only if the process has ended.
}

// awaitEnd waits until the current process has ended.
func (n *node) awaitEnd() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// stopping returns when the current process was sent SIGTERM, or zero, and the number of that process.
func (n *node) stopping() (at time.Time, processNumber int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stoppingAt, n.processCount
}
