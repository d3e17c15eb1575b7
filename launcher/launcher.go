// Package launcher starts a set of processes on this machine for the quick
// start and for tests: stand-ins of the platform, the engines and the registers,
// and real nodes. acaciaproxy itself starts no other processes.
package launcher

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Spec holds the parameters of a set.
type Spec struct {
	// Programs is the folder with the acaciaproxy and standin programs.
	Programs string
	// Configuration is the configuration folder to publish. It also determines the zones and the workers to start.
	Configuration string
	// NodesPerZone is the number of nodes in each zone.
	NodesPerZone int
	// FirstTokenMS and TokenMS are the engine stand-ins' times to the first and to each further token, in milliseconds.
	FirstTokenMS, TokenMS int
	// Token is the token that operators must present to a node, or empty.
	Token string
	// NodeCores limits the processor cores that each node uses; 0 means no limit.
	NodeCores int
	// MemoryMB and Descriptors are the settings "memory" and "descriptors" of the nodes; 0 for none.
	MemoryMB, Descriptors int
}

// Set is a started set of processes. It is safe for concurrent use.
type Set struct {
	spec          Spec
	folder        string
	configuration *configreader.Configuration
	// mu guards the fields below.
	mu        sync.Mutex
	processes map[string]*Process
	// startOrder lists the names of the processes in the order of their start.
	startOrder []string
	// hosts maps the name of a process to its entry in the platform's host list.
	hosts map[string]platformclient.Host
}

// startTimeout bounds the wait for a started process to respond.
const startTimeout = 20 * time.Second

// Start starts a set, publishes its configuration and waits until every node is ready for callers. On an error it kills the
// processes that it has started.
func Start(spec Spec) (*Set, error) {
	configuration, err := configreader.ReadFolder(spec.Configuration)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "acaciaproxy-set-")
	if err != nil {
		return nil, fmt.Errorf("create folder for settings and logs: %w", err)
	}
	s := &Set{spec: spec, folder: folder, configuration: configuration, processes: map[string]*Process{}, hosts: map[string]platformclient.Host{}}
	if err := s.startAll(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Set) startAll() error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	for _, group := range s.configuration.WorkerGroups() {
		for number := 1; number <= group.Count(); number++ {
			if err := s.startWorker(group, number); err != nil {
				return err
			}
		}
	}
	deployment, _ := s.configuration.Deployment()
	for _, zone := range deployment.Zones() {
		for number := 1; number <= s.spec.NodesPerZone; number++ {
			if err := s.startNode(zone, number); err != nil {
				return err
			}
		}
	}
	if output, err := s.Run("publish", "-platform", s.Platform().address, "-operator", "launcher", s.spec.Configuration); err != nil {
		return fmt.Errorf("publish the configuration: %w: %s", err, output)
	}
	for _, node := range s.Nodes() {
		if err := awaitOK(node.address, "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// Run runs the acaciaproxy program, waits for it to exit and returns its output, standard error included.
func (s *Set) Run(arguments ...string) (string, error) {
	output, err := exec.Command(filepath.Join(s.spec.Programs, "acaciaproxy"), arguments...).CombinedOutput()
	return string(output), err
}

func (s *Set) startPlatform() error {
	deployment, _ := s.configuration.Deployment()
	address := FreeAddress()
	return s.launch(&Process{
		name: "platform", address: address,
		arguments: []string{
			filepath.Join(s.spec.Programs, "standin"), "platform", "-listen", address, "-rate", fmt.Sprint(deployment.LoadRate()),
			"-parallel", fmt.Sprint(deployment.ParallelLoads()), "-transit", fmt.Sprint(deployment.ParallelAdapterLoads()),
		},
	}, "/stats")
}

func (s *Set) startWorker(group configreader.WorkerGroup, number int) error {
	name := fmt.Sprintf("%s-%d", group.Name(), number)
	address := FreeAddress()
	process := &Process{name: name, address: address, zone: group.Zone()}
	program := filepath.Join(s.spec.Programs, "standin")
	if group.RunsModels() {
		process.arguments = []string{
			program, "engine", "-listen", address, "-id", name, "-platform", s.Platform().address,
			"-memory", fmt.Sprint(float64(group.Memory()) / (1 << 30)), fmt.Sprintf("-fencing=%v", group.Fencing()),
			"-slots", fmt.Sprint(group.Slots()), "-first", fmt.Sprint(s.spec.FirstTokenMS), "-token", fmt.Sprint(s.spec.TokenMS),
		}
	} else {
		process.arguments = []string{program, "register", "-listen", address}
	}
	if err := s.launch(process, "/health"); err != nil {
		return err
	}
	return s.SetHost(platformclient.Host{
		ID: name, Kind: platformclient.HostWorker, Group: group.Name(), Zone: group.Zone(), Address: address, State: platformclient.StateLive,
	})
}

func (s *Set) startNode(zone string, number int) error {
	name := fmt.Sprintf("node-%s-%d", zone, number)
	settings := map[string]any{
		"name": name, "zone": zone, "callers": FreeAddress(), "operators": FreeAddress(), "nodes": FreeAddress(),
		"platform": s.Platform().address, "drain": 30, "memory": s.spec.MemoryMB, "descriptors": s.spec.Descriptors,
	}
	if s.spec.Token != "" {
		settings["token"] = s.spec.Token
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return fmt.Errorf("encode settings of node %q: %w", name, err)
	}
	path := filepath.Join(s.folder, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("write settings of node %q: %w", name, err)
	}
	process := &Process{
		name: name, zone: zone, address: settings["callers"].(string), operatorAddress: settings["operators"].(string),
		arguments: []string{filepath.Join(s.spec.Programs, "acaciaproxy"), "serve", "-settings", path},
	}
	if s.spec.NodeCores > 0 {
		process.environment = []string{fmt.Sprintf("GOMAXPROCS=%d", s.spec.NodeCores)}
	}
	host := platformclient.Host{ID: name, Kind: platformclient.HostNode, Zone: zone, Address: settings["nodes"].(string), State: platformclient.StateLive}
	if err := s.SetHost(host); err != nil {
		return err
	}
	return s.launch(process, "/healthz")
}

// launch starts a process, adds it to the set and waits until a request for the path gets status 200.
func (s *Set) launch(process *Process, path string) error {
	process.logPath = filepath.Join(s.folder, process.name+".log")
	if err := process.start(); err != nil {
		return err
	}
	s.mu.Lock()
	if _, known := s.processes[process.name]; !known {
		s.startOrder = append(s.startOrder, process.name)
	}
	s.processes[process.name] = process
	s.mu.Unlock()
	return awaitOK(process.address, path)
}

func (p *Process) start() error {
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log of process %q: %w", p.name, err)
	}
	defer output.Close()
	p.command = exec.Command(p.arguments[0], p.arguments[1:]...)
	p.command.Env = append(os.Environ(), p.environment...)
	p.command.Stdout, p.command.Stderr = output, output
	p.ended = make(chan struct{})
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start process %q: %w", p.name, err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.ended)
	}()
	return nil
}

// Platform returns the process of the platform stand-in.
func (s *Set) Platform() *Process { return s.Process("platform") }

// Nodes returns the nodes in the order of their start.
func (s *Set) Nodes() []*Process {
	return s.filter(func(p *Process) bool { return p.operatorAddress != "" })
}

// Engines returns the engine stand-ins in the order of their start.
func (s *Set) Engines() []*Process {
	return s.filter(func(p *Process) bool { return len(p.arguments) > 1 && p.arguments[1] == "engine" })
}

// Registers returns the register stand-ins in the order of their start.
func (s *Set) Registers() []*Process {
	return s.filter(func(p *Process) bool { return len(p.arguments) > 1 && p.arguments[1] == "register" })
}

func (s *Set) filter(matches func(*Process) bool) []*Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*Process
	for _, name := range s.startOrder {
		if matches(s.processes[name]) {
			found = append(found, s.processes[name])
		}
	}
	return found
}

// SetHost adds or replaces an entry of the platform's host list.
func (s *Set) SetHost(host platformclient.Host) error {
	s.mu.Lock()
	s.hosts[host.ID] = host
	s.mu.Unlock()
	return PutJSON(s.Platform().address, "/hosts/"+host.ID, host)
}

// SetState changes the state of a process's entry in the platform's host list.
func (s *Set) SetState(name, state string) error {
	s.mu.Lock()
	host := s.hosts[name]
	s.mu.Unlock()
	host.State = state
	return s.SetHost(host)
}

// Restart starts an ended process again at the same addresses and waits until it is ready.
func (s *Set) Restart(name string) error {
	process := s.Process(name)
	if err := process.start(); err != nil {
		return err
	}
	path := "/health"
	if process.operatorAddress != "" {
		path = "/readyz"
	}
	return awaitOK(process.address, path)
}

// Close kills all processes in the reverse order of their start and removes the folder with settings and logs.
func (s *Set) Close() {
	for i := len(s.startOrder) - 1; i >= 0; i-- {
		process := s.Process(s.startOrder[i])
		_ = process.Signal(syscall.SIGCONT)
		process.Kill()
	}
	_ = os.RemoveAll(s.folder)
}
