package server

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/do/v2"
	"google.golang.org/grpc"

	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/enginestandin"
	"github.com/acaciaproxy/acaciaproxy/loadrequester"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/platformstandin"
	"github.com/acaciaproxy/acaciaproxy/publisher"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
)

// zone is one availability zone for tests on the fake clock of testing/synctest:
// real nodes with a stand-in platform and stand-in engines, connected by direct
// calls instead of a network.
type zone struct {
	t        *testing.T
	platform *platformstandin.Platform
	engines  map[string]*enginestandin.Engine
	// mu guards everything below, and the counts of a randomRun.
	mu sync.Mutex
	// nodes are the nodes that run or are paused, by name.
	nodes map[string]*zoneNode
	// names are all nodes ever started; the node at index i has port i+1.
	names []string
	// disconnected is set while the nodes cannot reach each other.
	disconnected bool
}

// zoneNode is one node with the gate of its calls.
type zoneNode struct {
	server *Server
	gate   *gate
}

// gate blocks the calls of a simulated process while it is paused, and fails them
// after it was killed.
type gate struct {
	// mu guards everything below.
	mu sync.Mutex
	// resumed is closed when the paused process resumes; nil while it runs.
	resumed chan struct{}
	dead    bool
	// pausingUnit is the unit whose next load order pauses the process.
	pausingUnit string
	// released is closed to let that order be sent.
	released chan struct{}
}

// pauseAtOrder makes the next load order of a unit pause the process just before it is sent.
func (g *gate) pauseAtOrder(unit string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pausingUnit, g.released = unit, make(chan struct{})
}

// holdOrder pauses the process if the order is that of pauseAtOrder, and returns once the order may be sent.
func (g *gate) holdOrder(order engineclient.Order) {
	g.mu.Lock()
	released := g.released
	hold := g.pausingUnit != "" && order.Unit == g.pausingUnit && order.Verb == "load"
	if hold {
		g.pausingUnit = ""
	}
	g.mu.Unlock()
	if hold {
		g.pause()
		<-released
	}
}

// releaseOrder lets the order that holdOrder blocks be sent, though the process stays paused.
func (g *gate) releaseOrder() { close(g.released) }

// isStopped reports whether the process is dead or paused.
func (g *gate) isStopped() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dead || g.resumed != nil
}

func (g *gate) isPaused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed != nil
}

var errDead = errors.New("simulated process was killed")

// awaitRunning returns nil once the process is not paused, or errDead if it was killed.
func (g *gate) awaitRunning() error {
	for {
		g.mu.Lock()
		dead, resumed := g.dead, g.resumed
		g.mu.Unlock()
		if dead {
			return errDead
		}
		if resumed == nil {
			return nil
		}
		<-resumed
	}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil && !g.dead {
		g.resumed = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		close(g.resumed)
		g.resumed = nil
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	g.dead = true
	g.mu.Unlock()
	g.resume()
}

// newZone publishes a configuration, adds its workers and starts the nodes.
func newZone(t *testing.T, configuration string, nodes []string) *zone {
	z := &zone{
		t: t, engines: map[string]*enginestandin.Engine{}, nodes: map[string]*zoneNode{},
		platform: platformstandin.New(platformstandin.Settings{Rate: 12, Parallel: 4, Transit: 32}),
	}
	z.publish(configuration, 0)
	parsed, err := configreader.Parse("test", []byte(configuration))
	if err != nil {
		t.Fatal(err)
	}
	for _, group := range parsed.WorkerGroups() {
		for number := 1; number <= group.Count(); number++ {
			id := fmt.Sprintf("%s-%d", group.Name(), number)
			z.engines[id] = enginestandin.New(enginestandin.Settings{ID: id, Memory: group.Memory(), Fencing: group.Fencing(), Slots: 8})
			z.platform.SetHost(platformstandin.Host{ID: id, Kind: platformclient.HostWorker, Group: group.Name(), Zone: "z", Address: id, State: platformclient.StateLive})
		}
	}
	for _, name := range nodes {
		z.startNode(name)
	}
	return z
}

// publish publishes a configuration as the successor of version base.
func (z *zone) publish(configuration string, base int64) {
	target, err := configreader.Parse("test", []byte(configuration))
	if err != nil {
		z.t.Fatal(err)
	}
	request := publisher.Request{ID: fmt.Sprint("publish-", base), Operator: "test", Base: base, Target: target}
	if _, err := publisher.Publish(z.platform.DirectClient(""), request, time.Now().Add(time.Minute)); err != nil {
		z.t.Fatal(err)
	}
}

// startNode starts a node, or starts it again after killNode.
func (z *zone) startNode(name string) {
	settings, err := settingsreader.Parse("test", []byte(fmt.Sprintf(
		`{"name": %q, "zone": "z", "callers": "127.0.0.1:1", "operators": "127.0.0.1:1", "nodes": "127.0.0.1:%d", "platform": "127.0.0.1:1"}`, name, z.port(name))))
	if err != nil {
		z.t.Fatal(err)
	}
	nodeGate := &gate{}
	server, err := build(settings, func(injector do.Injector) {
		do.OverrideValue(injector, gatePlatform(nodeGate, z.platform.DirectClient("z")))
		do.OverrideValue(injector, func(address string) *engineclient.Control {
			return gateEngine(nodeGate, z.engines[address].DirectControl(address))
		})
		do.OverrideValue(injector, &peerclient.Pool{NodeClient: func(address string) (nodewire.NodeClient, error) {
			return &zoneClient{zone: z, callerGate: nodeGate, address: address}, nil
		}})
	})
	if err != nil {
		z.t.Fatal(err)
	}
	z.mu.Lock()
	z.nodes[name] = &zoneNode{server: server, gate: nodeGate}
	z.mu.Unlock()
	z.platform.SetHost(platformstandin.Host{ID: name, Kind: platformclient.HostNode, Zone: "z", Address: settings.Nodes(), State: platformclient.StateLive})
	server.startLoops()
}

// port returns the port of a node's address, which it assigns at the first call.
func (z *zone) port(name string) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	for i, startedName := range z.names {
		if startedName == name {
			return i + 1
		}
	}
	z.names = append(z.names, name)
	return len(z.names)
}

// nodeAt returns the node with an address, or nil when it is not running.
func (z *zone) nodeAt(address string) *zoneNode {
	z.mu.Lock()
	defer z.mu.Unlock()
	for i, name := range z.names {
		if address == fmt.Sprintf("127.0.0.1:%d", i+1) {
			return z.nodes[name]
		}
	}
	return nil
}

func (z *zone) node(name string) *zoneNode {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.nodes[name]
}

// killNode ends a node immediately, as a crash does: it hands nothing over, and its calls in progress fail or are lost.
func (z *zone) killNode(name string) {
	n := z.node(name)
	n.gate.kill()
	n.server.stopLoops()
	z.mu.Lock()
	defer z.mu.Unlock()
	delete(z.nodes, name)
}

// close ends every node and all faults, so that no goroutine is left in the synctest bubble.
func (z *zone) close() {
	z.platform.SetFaults(platformstandin.Faults{})
	for _, engine := range z.engines {
		engine.SetFaults(enginestandin.Faults{})
	}
	z.mu.Lock()
	for _, n := range z.nodes {
		n.gate.kill()
		n.server.stopLoops()
	}
	z.mu.Unlock()
	time.Sleep(time.Minute) // Lets loads and calls in progress end.
}

// waitForUnit waits at a node until a unit is ready, as a caller's request would.
// It returns the error with which the node would refuse the request.
func (z *zone) waitForUnit(node, unit string, deadline time.Time) error {
	n := z.node(node)
	n.server.poller.countUse(unit, "", false)
	requester := do.MustInvoke[*loadrequester.Requester](n.server.injector)
	return requester.Wait(loadrequester.Request{Unit: unit, Class: configreader.ClassNormal, ID: "test", Deadline: deadline})
}

// setOutage makes all calls of the nodes to the platform fail, or ends that.
func (z *zone) setOutage(on bool) {
	z.platform.SetFaults(platformstandin.Faults{Outage: on, Slowness: 1})
}

// leaderName returns the name of a running node that considers itself the leader, or "" when there is none.
func (z *zone) leaderName() string {
	z.mu.Lock()
	defer z.mu.Unlock()
	for name, n := range z.nodes {
		if _, leading := n.server.leader.Leading(); leading && !n.gate.isStopped() {
			return name
		}
	}
	return ""
}

// describe returns the decisions of the leaders and the units in the engines as text, for failed tests.
func (z *zone) describe() string {
	z.mu.Lock()
	defer z.mu.Unlock()
	var text strings.Builder
	for name, n := range z.nodes {
		lease, leading := n.server.leader.Leading()
		fmt.Fprintf(&text, "%s leading %v epoch %d\n", name, leading, lease.Epoch)
		for _, view := range n.server.leader.View() {
			fmt.Fprintf(&text, "  decided %+v\n", view)
		}
	}
	for id, engine := range z.engines {
		report, err := engine.DirectControl(id).Report(time.Now().Add(time.Second))
		fmt.Fprintf(&text, "engine %s: %+v %v\n", id, report.Units, err)
	}
	return text.String()
}

// gatePlatform returns a platform whose calls, and most of their responses, pass a gate.
func gatePlatform(g *gate, inner *platformclient.Platform) *platformclient.Platform {
	return &platformclient.Platform{
		ReadRows: func(deadline time.Time, keys []string, prefix string) ([]platformclient.Row, error) {
			if err := g.awaitRunning(); err != nil {
				return nil, platformclient.NewNoResponseError("read", err)
			}
			rows, err := inner.ReadRows(deadline, keys, prefix)
			return rows, errors.Join(err, g.awaitRunning())
		},
		Write: func(deadline time.Time, transaction platformclient.Transaction) (platformclient.WriteResult, error) {
			if err := g.awaitRunning(); err != nil {
				return platformclient.WriteResult{}, platformclient.NewNoResponseError("write", err)
			}
			result, err := inner.Write(deadline, transaction)
			return result, errors.Join(err, g.awaitRunning())
		},
		GetObject: func(deadline time.Time, name string) ([]byte, error) {
			if err := g.awaitRunning(); err != nil {
				return nil, platformclient.NewNoResponseError("get", err)
			}
			return inner.GetObject(deadline, name)
		},
		PutObject: inner.PutObject,
		ListHosts: func(deadline time.Time) ([]platformclient.Host, error) {
			if err := g.awaitRunning(); err != nil {
				return nil, platformclient.NewNoResponseError("list", err)
			}
			hosts, err := inner.ListHosts(deadline)
			return hosts, errors.Join(err, g.awaitRunning())
		},
	}
}

// gateEngine returns an engine client whose calls and their responses pass a gate.
func gateEngine(g *gate, inner *engineclient.Control) *engineclient.Control {
	return &engineclient.Control{
		Address: inner.Address,
		Report: func(deadline time.Time) (engineclient.Report, error) {
			if err := g.awaitRunning(); err != nil {
				return engineclient.Report{}, err
			}
			report, err := inner.Report(deadline)
			return report, errors.Join(err, g.awaitRunning())
		},
		Order: func(deadline time.Time, order engineclient.Order) (engineclient.OrderResponse, error) {
			if err := g.awaitRunning(); err != nil {
				return engineclient.OrderResponse{}, engineclient.NewBrokenError(err)
			}
			g.holdOrder(order)
			response, err := inner.Order(deadline, order)
			return response, errors.Join(err, g.awaitRunning())
		},
	}
}

// zoneClient calls another node of the zone without a network. It implements nodewire.NodeClient.
type zoneClient struct {
	zone *zone
	// callerGate is the gate of the calling node.
	callerGate *gate
	// address is that of the called node.
	address string
}

var errDisconnected = errors.New("nodes cannot reach each other")

// calledService returns the service of the called node, and waits while that node is paused.
func (c *zoneClient) calledService(ctx context.Context) (*nodeService, error) {
	if err := c.callerGate.awaitRunning(); err != nil {
		return nil, err
	}
	n := c.zone.nodeAt(c.address)
	if n == nil {
		return nil, errDead
	}
	c.zone.mu.Lock()
	disconnected := c.zone.disconnected && n.gate != c.callerGate
	c.zone.mu.Unlock()
	if disconnected {
		<-ctx.Done()
		return nil, errDisconnected
	}
	running := make(chan error, 1)
	go func() { running <- n.gate.awaitRunning() }()
	select {
	case err := <-running:
		return &nodeService{server: n.server}, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *zoneClient) Ask(ctx context.Context, in *nodewire.AskRequest, _ ...grpc.CallOption) (*nodewire.AskReply, error) {
	service, err := c.calledService(ctx)
	if err != nil {
		return nil, err
	}
	return service.Ask(ctx, in)
}

func (c *zoneClient) Pull(ctx context.Context, in *nodewire.PullRequest, _ ...grpc.CallOption) (*nodewire.PullReply, error) {
	service, err := c.calledService(ctx)
	if err != nil {
		return nil, err
	}
	return service.Pull(ctx, in)
}

func (c *zoneClient) Hold(ctx context.Context, in *nodewire.HoldRequest, _ ...grpc.CallOption) (*nodewire.HoldReply, error) {
	service, err := c.calledService(ctx)
	if err != nil {
		return nil, err
	}
	return service.Hold(ctx, in)
}

func (c *zoneClient) Collect(ctx context.Context, in *nodewire.CollectRequest, _ ...grpc.CallOption) (*nodewire.CollectReply, error) {
	service, err := c.calledService(ctx)
	if err != nil {
		return nil, err
	}
	return service.Collect(ctx, in)
}

func (c *zoneClient) Resign(ctx context.Context, in *nodewire.ResignRequest, _ ...grpc.CallOption) (*nodewire.ResignReply, error) {
	service, err := c.calledService(ctx)
	if err != nil {
		return nil, err
	}
	return service.Resign(ctx, in)
}

func (c *zoneClient) Changes(ctx context.Context, in *nodewire.ChangesRequest, _ ...grpc.CallOption) (*nodewire.ChangesReply, error) {
	service, err := c.calledService(ctx)
	if err != nil {
		return nil, err
	}
	return service.Changes(ctx, in)
}

func (c *zoneClient) Suspect(ctx context.Context, in *nodewire.SuspectRequest, _ ...grpc.CallOption) (*nodewire.SuspectReply, error) {
	service, err := c.calledService(ctx)
	if err != nil {
		return nil, err
	}
	return service.Suspect(ctx, in)
}

func (c *zoneClient) Invite(ctx context.Context, in *nodewire.InviteRequest, _ ...grpc.CallOption) (*nodewire.InviteReply, error) {
	service, err := c.calledService(ctx)
	if err != nil {
		return nil, err
	}
	return service.Invite(ctx, in)
}
