package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// node is one machine of the system: its addresses, its settings and its process.
type node struct {
	name, zone                   string
	front, ready, peers, metrics string
	settings, logs               string
	door                         *door
	command                      *exec.Cmd
	ended                        chan struct{}
	starts                       int
	frozen, thawed               time.Time
}

// graceS is how long after SIGTERM the platform sends SIGKILL, as in the settings of the users' installations.
const graceS = 8

var program, folder string

// Ports of nodes are below those that the kernel gives to outgoing connections, so that no connection takes one before its node starts.
const (
	firstPort = 14000
	lastPort  = 31000
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

func freeAddress() string {
	for range lastPort - firstPort {
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	void("no free port")
	return ""
}

// newNode writes the settings of a node, as the platform fills in deploy/settings.json.
func newNode(s *store, name, zone string) *node {
	n := &node{name: name, zone: zone, front: freeAddress(), ready: freeAddress(), peers: freeAddress(), metrics: freeAddress(), door: s.open()}
	n.settings, n.logs = filepath.Join(folder, name+".json"), filepath.Join(folder, name+".log")
	text := fmt.Sprintf(`{"name":%q,"zone":%q,"form":"fleet","callers":%q,"ready":%q,"nodes":%q,"operators":%q,"platform":%q,"drain":%d,"cores":1,"share":0.4,"quiet":%d,"ratio":0.2,"slack":56,"window":10}`,
		name, zone, n.front, n.ready, n.peers, n.metrics, n.door.address, graceS, leaseMS)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		void("write settings: %v", err)
	}
	return n
}

// leaseMS is the bound leaseMs of the users' installations.
const leaseMS = 3000

// start starts the node's process with the command of the deploy file.
func (n *node) start() {
	output, err := os.OpenFile(n.logs, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		void("open log: %v", err)
	}
	n.command = exec.Command(program, "serve", "-settings", n.settings)
	n.command.Stdout, n.command.Stderr = output, output
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startProcess(n.command); err != nil {
		void("start %s: %v", n.name, err)
	}
	n.starts++
	notes.add("node %s started, process %d", n.name, n.command.Process.Pid)
	command, ended := n.command, make(chan struct{})
	n.ended = ended
	go func() {
		err := command.Wait()
		_ = output.Close()
		notes.add("node %s: process %d has ended: %v", n.name, command.Process.Pid, err)
		close(ended)
	}()
}

// starts are processes to be started, each with where the result goes.
var starts = make(chan struct {
	command *exec.Cmd
	result  chan error
})

// startProcess starts a process that ends with this one, however that ends. The kernel ties it to the thread that started it, so one thread starts
// all of them and never ends before.
func startProcess(command *exec.Cmd) error {
	startThread.Do(func() {
		go func() {
			runtime.LockOSThread()
			for start := range starts {
				start.result <- start.command.Start()
			}
		}()
	})
	result := make(chan error)
	starts <- struct {
		command *exec.Cmd
		result  chan error
	}{command, result}
	return <-result
}

var startThread sync.Once

func (n *node) signal(signal syscall.Signal) {
	notes.add("node %s: %v", n.name, signal)
	_ = n.command.Process.Signal(signal)
}

// stop sends SIGTERM and, at the end of the grace period, SIGKILL. It returns once the process has ended.
func (n *node) stop() {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(graceS * time.Second):
		n.signal(syscall.SIGKILL)
		<-n.ended
	}
}

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// freeze stands the process still for a time.
func (n *node) freeze(until time.Time) {
	n.frozen = time.Now()
	n.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(until))
	n.signal(syscall.SIGCONT)
	n.thawed = time.Now()
}

// running reports whether the process runs.
func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// isReady asks the readiness check of the node.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/acaciaproxy/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func awaitReady(nodes ...*node) {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				void("node %s did not get ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
