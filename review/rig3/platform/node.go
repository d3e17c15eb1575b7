package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is one machine's process of the system, started with the command of the deploy file.
type node struct {
	name, zone                       string
	callers, ready, nodes, operators string
	door                             *door
	command                          *exec.Cmd
	exited                           chan struct{}
}

// freeAddress returns an address that nobody listens at. Its port is below those that the system gives to outgoing connections, of which one could take it
// before the node does.
func freeAddress() string {
	for range 100 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000)))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String()
		}
	}
	broken("no free port")
	return ""
}

// startNode starts a node whose settings have the values of a small installation.
func (r *rig) startNode(name, zone string) *node {
	n := &node{name: name, zone: zone, callers: freeAddress(), ready: freeAddress(), nodes: freeAddress(), operators: freeAddress(), door: r.store.newDoor()}
	settings := fmt.Sprintf(`{"name": %q, "zone": %q, "form": "fleet", "callers": %q, "ready": %q, "nodes": %q, "operators": %q, "platform": %q,
 "drain": 8, "cores": 1, "share": 0.4, "memory": 284, "descriptors": 4100, "quiet": 3000, "ratio": 0.2, "slack": 56, "window": 10%s}`,
		name, zone, n.callers, n.ready, n.nodes, n.operators, n.door.address(), r.settings)
	path := filepath.Join(r.folder, name+".json")
	must(os.WriteFile(path, []byte(settings), 0o600))
	n.start(r, path)
	r.nodes = append(r.nodes, n)
	return n
}

func (n *node) start(r *rig, path string) {
	output, err := os.OpenFile(filepath.Join(r.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	n.command = exec.Command(r.program, "serve", "-settings", path)
	n.command.Stdout, n.command.Stderr = output, output
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(n.command.Start())
	n.exited = make(chan struct{})
	go func() {
		_ = n.command.Wait()
		close(n.exited)
	}()
}

// isReady asks the readiness check as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/acaciaproxy/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// restart starts the node's process again, with the settings that it had.
func (n *node) restart(r *rig) { n.start(r, filepath.Join(r.folder, n.name+".json")) }

// awaitReady waits until the node is ready.
func (n *node) awaitReady() {
	for deadline := time.Now().Add(15 * time.Second); !n.isReady(); time.Sleep(100 * time.Millisecond) {
		select {
		case <-n.exited:
			broken("the process of node " + n.name + " ended at its start")
		default:
		}
		if time.Now().After(deadline) {
			broken("node " + n.name + " is not ready after 15 s")
		}
	}
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}
