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
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Process is a process of a set.
type Process struct {
	name string
	// arguments is the command line; the first one is the path of the program.
	arguments []string
	logPath   string
	command   *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// environment holds "NAME=value" entries that are added to the environment of the launching process.
	environment []string
	// address is a node's address for callers, or the address of a stand-in.
	address string
	// operatorAddress is a node's address for operators; it is empty for stand-ins.
	operatorAddress string
	zone            string
}

// Name returns the name of the process, under which the platform lists it if it is a node or worker.
func (p *Process) Name() string { return p.name }

// Address returns a node's address for callers, or the address of a stand-in, as "host:port".
func (p *Process) Address() string { return p.address }

// OperatorAddress returns a node's address for operators as "host:port", or an empty string for a stand-in.
func (p *Process) OperatorAddress() string { return p.operatorAddress }

// Zone returns the availability zone of a node or worker, or an empty string for the platform.
func (p *Process) Zone() string { return p.zone }

// LogPath returns the path of the file that holds the output of the process.
func (p *Process) LogPath() string { return p.logPath }

// Process returns the process of that name. It panics if the set has none.
func (s *Set) Process(name string) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	process, known := s.processes[name]
	if !known {
		panic(fmt.Sprintf("process %q was not started", name))
	}
	return process
}

// controlTimeout bounds a control request, since a paused process does not respond.
const controlTimeout = 2 * time.Second

// controlClient sends control requests, each over a new connection, since a fault may have silenced the open ones.
var controlClient = &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// PutJSON sends a PUT request with a JSON body. A status of 300 or above is an error.
func PutJSON(address, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode body for %s: %w", path, err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("PUT %s: %w", path, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := controlClient.Do(request)
	if err != nil {
		return fmt.Errorf("PUT %s: %w", path, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(response.Body)
		return fmt.Errorf("PUT %s: status %d: %s", path, response.StatusCode, text)
	}
	return nil
}

// GetJSON sends a GET request and decodes the JSON body of the response into result, whatever its status.
func GetJSON(address, path string, result any) error {
	response, err := controlClient.Get("http://" + address + path)
	if err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return fmt.Errorf("GET %s: %w", path, err)
	}
	return nil
}

// Signal sends a signal to the process. It returns an error if the process has ended.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// peakPattern finds the most memory that a process has taken, in KB.
var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// PeakBytes returns the most memory in bytes that a running process of this machine has taken since its start.
func PeakBytes(pid int) (int64, error) {
	path := fmt.Sprintf("/proc/%d/status", pid)
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read the peak of the memory: %w", err)
	}
	match := peakPattern.FindSubmatch(text)
	if match == nil {
		return 0, fmt.Errorf("%s does not tell the peak of the memory", path)
	}
	kilobytes, err := strconv.ParseInt(string(match[1]), 10, 64)
	return kilobytes << 10, err
}

// PeakBytes returns the most memory in bytes that the process has taken.
func (p *Process) PeakBytes() (int64, error) { return PeakBytes(p.command.Process.Pid) }

// AwaitEnd waits until the process has ended, at most until the deadline, and reports whether it has.
func (p *Process) AwaitEnd(deadline time.Time) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(time.Until(deadline)):
		return false
	}
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.ended
}

// issuedAddresses holds all addresses that FreeAddress has returned.
var issuedAddresses sync.Map

// FreeAddress returns an unused "host:port" that it has not returned before. The host is a loopback address derived from the
// process ID, so that concurrent test processes do not take each other's addresses.
func FreeAddress() string {
	const octetValues = 250
	host := fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()%octetValues, 1+os.Getpid()/octetValues%octetValues)
	for {
		listener, err := net.Listen("tcp", host)
		if err != nil {
			panic(err)
		}
		address := listener.Addr().String()
		_ = listener.Close() // Frees the port for the process that will use it.
		if _, taken := issuedAddresses.LoadOrStore(address, true); !taken {
			return address
		}
	}
}

// readinessPoll is the pause between two requests to a starting process.
const readinessPoll = 20 * time.Millisecond

// awaitOK waits until a request for a path gets status 200, at most startTimeout.
func awaitOK(address, path string) error {
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		response, err := client.Get("http://" + address + path)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readinessPoll)
	}
	return fmt.Errorf("http://%s%s did not answer with status 200 within %s", address, path, startTimeout)
}
