package launcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is one started process.
type Process struct {
	name string
	// arguments start with the path of the program.
	arguments []string
	logPath   string
	command   *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// environment is added to this process's own.
	environment []string
	// address is where callers, or the stand-in's users, reach it.
	address string
	// operators is a node's address for operators.
	operators string
	zone      string
}

// Name returns the process's name in the host list.
func (p *Process) Name() string { return p.name }

// Address returns where callers, or a stand-in's users, reach the process.
func (p *Process) Address() string { return p.address }

// Operators returns a node's address for operators.
func (p *Process) Operators() string { return p.operators }

// Zone returns the availability zone.
func (p *Process) Zone() string { return p.zone }

// LogPath returns the file that holds what the process wrote.
func (p *Process) LogPath() string { return p.logPath }

// Process returns a process by name; it panics when there is none.
func (s *Set) Process(name string) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	process, known := s.processes[name]
	if !known {
		panic(fmt.Sprintf("process %q was not started", name))
	}
	return process
}

// controlTime bounds a look at a process, which may be paused.
const controlTime = 2 * time.Second

// control looks at processes over connections that are not kept, since a fault may have silenced them.
var control = &http.Client{Timeout: controlTime, Transport: &http.Transport{DisableKeepAlives: true}}

// Put sends a JSON body with PUT.
func Put(address, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode body for %s: %w", path, err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("PUT %s: %w", path, err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := control.Do(request)
	if err != nil {
		return fmt.Errorf("PUT %s: %w", path, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(answer.Body)
		return fmt.Errorf("PUT %s: status %d: %s", path, answer.StatusCode, text)
	}
	return nil
}

// Get decodes the JSON answer to a GET.
func Get(address, path string, result any) error {
	answer, err := control.Get("http://" + address + path)
	if err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	defer answer.Body.Close()
	if err := json.NewDecoder(answer.Body).Decode(result); err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	return nil
}

// Signal sends a signal to a process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Ended reports whether the process ends by a deadline.
func (p *Process) Ended(deadline time.Time) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(time.Until(deadline)):
		return false
	}
}

// Kill ends a process at once.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.ended
}

// given holds the addresses that FreeAddress returned.
var given sync.Map

// FreeAddress returns an unused address on a loopback interface of this
// process's own, so that tests beside each other do not take it before it is used.
func FreeAddress() string {
	const hosts = 250
	host := fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()%hosts, 1+os.Getpid()/hosts%hosts)
	for {
		listener, err := net.Listen("tcp", host)
		if err != nil {
			panic(err)
		}
		address := listener.Addr().String()
		_ = listener.Close() // It was never used.
		if _, taken := given.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

// readyPoll is how often a starting process is asked.
const readyPoll = 20 * time.Millisecond

// waitFor waits until a path answers with status 200.
func waitFor(address, path string) error {
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyTime)
	for time.Now().Before(deadline) {
		answer, err := client.Get("http://" + address + path)
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyPoll)
	}
	return fmt.Errorf("http://%s%s did not answer within %s", address, path, readyTime)
}
