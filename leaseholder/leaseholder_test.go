package leaseholder

import (
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

func TestLeaseholder(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "leaseholder")
}

// scenarioStep is an action, an advance of the clock and the expected leader after both.
type scenarioStep struct {
	// AfterMS is how far the clock advances in steps of loopMS; JumpMS is how far it jumps first, as in a suspension.
	AfterMS, JumpMS int64
	// Do is an action or empty: "down" and "up" end and restore the store's service, "lose" and "keep" lose or keep
	// the responses to writes that take effect, "copy" copies the store and "restore" brings the copy back, or "copy NAME" and "restore NAME" one of several, "resign NODE", "kill NODE" and "start NODE" end or start a node, "cut NODE"
	// and "join NODE" disconnect or reconnect it, "away NODE" and "near NODE" move it to or from the part of the zone that is cut off from the store and from the others.
	Do string
	// Leads names the node that may send orders; it is empty if none may.
	Leads string
	// Unchecked is set when it is open whether a node leads already.
	Unchecked bool
}

// fakeZone is a zone of nodes that share a clock and a fake store.
type fakeZone struct {
	// mu guards everything below.
	mu      sync.Mutex
	now     time.Time
	row     platformclient.Row
	version int64 // the store's own row version of row
	era     int64
	// copies are the copies of the row by name; the one of the steps without a name has none.
	copies map[string]rowCopy
	// storeDown makes every call to the store fail; losesResponses makes writes fail that took effect.
	storeDown      bool
	losesResponses bool
	// disconnected nodes reach neither the store nor other nodes; the processes of frozen ones stand still.
	disconnected, frozen map[string]bool
	// away nodes reach each other, but neither the store nor other nodes.
	away  map[string]bool
	nodes map[string]*Leaseholder
	// zones are those that have workers; reads counts the reads of rows. otherRow is the lease row of another zone, without a key if there is none.
	zones    []string
	reads    int
	otherRow platformclient.Row
	// lastOrderAt maps nodes to when they could last send an order, startedAt to when their processes started.
	lastOrderAt, startedAt map[string]time.Time
	// forwards is set if leaders forward what they know of the leases.
	forwards bool
	// earlier are the nodes whose program, of an earlier release, does not keep to elector.Lease.Named.
	earlier map[string]struct{}
	// followMS is for how many milliseconds a process that has started does not hear the leader yet.
	followMS int64
	// highestEpoch is that of all orders.
	highestEpoch int64
	// software maps nodes to the software versions that they have listed, recalled to what they learned from lease rows.
	software, recalled map[string]map[string]map[string]int64
}

// rowCopy is the lease row of a copy of the store.
type rowCopy struct {
	row     platformclient.Row
	version int64
}

// newFakeZone returns a zone without nodes.
func newFakeZone() *fakeZone {
	return &fakeZone{
		now: time.Unix(1e6, 0), disconnected: map[string]bool{}, frozen: map[string]bool{}, away: map[string]bool{}, copies: map[string]rowCopy{}, nodes: map[string]*Leaseholder{}, lastOrderAt: map[string]time.Time{}, startedAt: map[string]time.Time{},
		software: map[string]map[string]map[string]int64{}, recalled: map[string]map[string]map[string]int64{},
	}
}

var _ = ginkgo.Describe("leases", func() {
	var scenarios []struct {
		Name  string
		Nodes []string
		Steps []scenarioStep
		// FollowMS is for how long a process that has started does not hear the leader yet.
		FollowMS int64
		// Forwards is set if leaders forward what they know of the leases.
		Forwards bool
		// Earlier are the nodes whose program is of an earlier release.
		Earlier []string
		// Lines are log lines that must be written.
		Lines []string
	}
	gomega.Expect(casereader.Read("testdata/leases.json", &scenarios)).To(gomega.Succeed())
	for _, scenario := range scenarios {
		ginkgo.It(scenario.Name, func() {
			logged := casereader.NewCapture()
			defer logged.Close()
			z := newFakeZone()
			z.followMS, z.forwards, z.earlier = scenario.FollowMS, scenario.Forwards, lo.Keyify(scenario.Earlier)
			for _, name := range scenario.Nodes {
				z.start(name)
			}
			for i, step := range scenario.Steps {
				z.run(step)
				if !step.Unchecked {
					gomega.Expect(z.leader()).To(gomega.Equal(step.Leads), "step %d", i)
				}
			}
			gomega.Expect(logged.Missing(scenario.Lines)).To(gomega.BeEmpty(), "log lines: %s", logged)
		})
	}
})

var _ = ginkgo.Describe("a leaseholder that is called while it renews its lease", func() {
	ginkgo.It("returns from calls made from its Successors function", func() {
		z := newFakeZone()
		z.start("a")
		calls := 0
		z.nodes["a"].dependencies.Successors = func() []elector.Member {
			calls++
			z.nodes["a"].Leases()
			z.nodes["a"].QuietRemaining()
			return nil
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			z.run(scenarioStep{AfterMS: 2000, Leads: "a"})
		}()
		gomega.Eventually(done, 2*time.Second).Should(gomega.BeClosed(), "the lock of the leaseholder is held while Successors is called")
		gomega.Expect(calls).To(gomega.BeNumerically(">", 0))
	})
})

var _ = ginkgo.Describe("a node that starts before another zone has a leader", func() {
	newZone := func() *fakeZone {
		z := newFakeZone()
		z.zones = []string{"z", "y"}
		z.start("a")
		z.run(scenarioStep{AfterMS: 1000})
		return z
	}
	ginkgo.It("knows that leader soon after it took its lease", func() {
		z := newZone()
		z.otherRow = platformclient.Row{Key: "y", Value: `{"holder":{"node":"o","incarnation":"o1","address":"o"},"epoch":1}`, Version: 1}
		z.run(scenarioStep{AfterMS: 1000})
		_, _, known := z.nodes["a"].Holder("y")
		gomega.Expect(known).To(gomega.BeTrue())
	})
	ginkgo.It("reads no more rows than others if that zone never gets one", func() {
		z := newZone()
		z.run(scenarioStep{AfterMS: 15000})
		before := z.reads
		z.run(scenarioStep{AfterMS: 60000})
		gomega.Expect(z.reads-before).To(gomega.BeNumerically("<=", 6), "one read in ten seconds")
	})
})

// Guards against zones without a leader for the longest hold-over, although the store came back from its copy long before.
var _ = ginkgo.Describe("a node of a new zone in a store that has come back from a copy", func() {
	startAfter := func(ago time.Duration) *fakeZone {
		z := newFakeZone()
		z.era = 1
		version, _ := platformclient.NewVersion(z.era, 9)
		lease := elector.Lease{Holder: elector.Member{Node: "o", Incarnation: "o1", Address: "o"}, Epoch: 1 << 20, Era: 1, SinceMS: z.now.Add(-ago).UnixMilli()}
		value, err := json.Marshal(lease)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		z.otherRow = platformclient.Row{Key: "y", Value: string(value), Version: version}
		z.start("a")
		return z
	}
	ginkgo.It("takes the lease at once if the lease of another zone shows that no earlier holder can lead", func() {
		z := startAfter(term + maxHoldOver)
		z.run(scenarioStep{AfterMS: quietMS + 300})
		gomega.Expect(z.leader()).To(gomega.Equal("a"))
	})
	ginkgo.It("waits from the return of the store, not from its own start", func() {
		z := startAfter(7 * time.Second)
		z.run(scenarioStep{AfterMS: 9900 + quietMS})
		gomega.Expect(z.leader()).To(gomega.BeEmpty())
		z.run(scenarioStep{AfterMS: 1000})
		gomega.Expect(z.leader()).To(gomega.Equal("a"))
	})
})

var _ = ginkgo.Describe("a node that resigns right after it sent an order", func() {
	ginkgo.It("lengthens the next leader's quiet period, since the order may still be in transit", func() {
		z := newFakeZone()
		z.start("a")
		z.run(scenarioStep{AfterMS: 5000})
		gomega.Expect(z.leader()).To(gomega.Equal("a"))
		gomega.Expect(z.nodes["a"].Resign()).To(gomega.BeTrue())
		var lease elector.Lease
		gomega.Expect(json.Unmarshal([]byte(z.row.Value), &lease)).To(gomega.Succeed())
		gomega.Expect(lease.QuietMS).To(gomega.BeNumerically(">=", quietMS+maxOrderTransit.Milliseconds()))
	})
})

// Guards against a process that takes the only software version that it has listed for the only one of the last minute.
var _ = ginkgo.Describe("software versions in lease rows", func() {
	listed := map[string]map[string]int64{"s": {"v1": 500, "v2": 0}}
	ginkgo.It("are known to a process that starts after all others have ended", func() {
		z := newFakeZone()
		z.software["a"] = listed
		z.start("a")
		z.run(scenarioStep{AfterMS: 3000})
		z.run(scenarioStep{Do: "kill a"})
		z.start("b")
		z.run(scenarioStep{AfterMS: 200})
		gomega.Expect(z.recalled["b"]).To(gomega.Equal(listed))
	})
	ginkgo.It("are known to be none in a store without lease rows that never came back from a copy", func() {
		z := newFakeZone()
		z.start("a")
		z.run(scenarioStep{AfterMS: 200})
		gomega.Expect(z.recalled["a"]).To(gomega.And(gomega.BeEmpty(), gomega.Not(gomega.BeNil())))
	})
	ginkgo.It("are not taken from a row that has come back from an older copy, nor from the lack of one there", func() {
		z := newFakeZone()
		z.software["a"] = listed
		z.start("a")
		z.run(scenarioStep{AfterMS: 3000})
		z.run(scenarioStep{Do: "copy"})
		z.run(scenarioStep{Do: "kill a"})
		z.run(scenarioStep{Do: "restore"})
		z.start("b")
		z.run(scenarioStep{AfterMS: 1000})
		gomega.Expect(z.recalled["b"]).To(gomega.BeNil())
		empty := newFakeZone()
		empty.run(scenarioStep{Do: "copy"})
		empty.run(scenarioStep{Do: "restore"})
		empty.start("a")
		empty.run(scenarioStep{AfterMS: 1000})
		gomega.Expect(empty.recalled["a"]).To(gomega.BeNil())
	})
})

const quietMS = 3000

func (z *fakeZone) start(name string) {
	z.startedAt[name] = z.now
	self := elector.Member{Node: name, Incarnation: name + z.now.String(), Address: name, Recalls: !lo.HasKey(z.earlier, name)}
	z.nodes[name] = New(Dependencies{
		Zone: "z", Self: self, QuietMS: quietMS, Cores: coresOf(name), Changed: func() {}, Now: func() time.Time { z.mu.Lock(); defer z.mu.Unlock(); return z.now },
		Rows:       &platformclient.Platform{ReadRows: z.read(name), Write: z.write(name), Era: func() int64 { z.mu.Lock(); defer z.mu.Unlock(); return z.era }, Clock: z.clockMS},
		Software:   func() map[string]map[string]int64 { return z.software[name] },
		OnSoftware: func(software map[string]map[string]int64) { z.recalled[name] = software },
		OnEra:      func(int64, time.Duration) {},
		Zones:      func() []string { return z.zones },
		Heard:      func(string) bool { return z.hearsLeader(name) },
		Successors: func() []elector.Member { return z.otherMembers(name) },
		Ask: func(_ time.Time, successor elector.Member, epoch int64, hold time.Duration) bool {
			peer, running := z.nodes[successor.Node]
			return running && z.connected(name, successor.Node) && !z.frozen[successor.Node] && peer.Promise(self.Incarnation, epoch, hold)
		},
	})
}

// clockMS returns the store's clock.
func (z *fakeZone) clockMS() int64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.now.UnixMilli()
}

// coresOf returns a node's share of a core; names that begin with "weak" have little.
func coresOf(name string) float64 {
	if strings.HasPrefix(name, "weak") {
		return 0.1
	}
	return 1
}

var errUnavailable = errors.New("the store is unavailable or lost the response")

func (z *fakeZone) read(name string) func(time.Time, []string, string) ([]platformclient.Row, error) {
	return func(time.Time, []string, string) ([]platformclient.Row, error) {
		z.mu.Lock()
		defer z.mu.Unlock()
		z.reads++
		if z.storeDown || z.disconnected[name] || z.away[name] {
			return nil, errUnavailable
		}
		rows := []platformclient.Row{}
		if z.otherRow.Key != "" {
			rows = append(rows, z.otherRow)
		}
		if z.version == 0 {
			return rows, nil
		}
		row := z.row
		row.Version, _ = platformclient.NewVersion(z.era, z.version)
		return append(rows, row), nil
	}
}

func (z *fakeZone) write(name string) func(time.Time, platformclient.Transaction) (platformclient.WriteResult, error) {
	return func(_ time.Time, transaction platformclient.Transaction) (platformclient.WriteResult, error) {
		z.mu.Lock()
		defer z.mu.Unlock()
		if z.storeDown || z.disconnected[name] || z.away[name] {
			return platformclient.WriteResult{}, errUnavailable
		}
		if platformclient.RowVersion(transaction.Checks[0].Version) != z.version {
			return platformclient.WriteResult{Conflicts: []platformclient.Row{z.row}}, nil
		}
		z.version++
		z.row = platformclient.Row{Key: "z", Value: transaction.Puts[0].Value}
		if z.losesResponses || platformclient.Era(transaction.Checks[0].Version) != z.era {
			return platformclient.WriteResult{}, errUnavailable // The platform folder reports a rise of the era as a lost response.
		}
		version, _ := platformclient.NewVersion(z.era, z.version)
		return platformclient.WriteResult{Done: true, Versions: map[string]int64{"z": version}}, nil
	}
}

// connected reports whether two nodes reach each other.
func (z *fakeZone) connected(name, other string) bool {
	return !z.disconnected[name] && !z.disconnected[other] && z.away[name] == z.away[other]
}

// forwardLeases sends what a leader knows of the leases to the nodes that it reaches.
func (z *fakeZone) forwardLeases(name string) {
	if _, leading := z.nodes[name].Leading(); !leading || !z.forwards {
		return
	}
	for other, node := range z.nodes {
		if other == name || z.frozen[other] || !z.connected(name, other) {
			continue
		}
		for _, lease := range z.nodes[name].Leases() {
			node.ApplyForwarded(lease)
		}
	}
}

// hearsLeader reports whether a node is connected to another node that leads.
func (z *fakeZone) hearsLeader(name string) bool {
	if z.disconnected[name] || z.now.Before(z.startedAt[name].Add(time.Duration(z.followMS)*time.Millisecond)) {
		return false
	}
	for other, node := range z.nodes {
		if other == name || !z.connected(name, other) || z.frozen[other] {
			continue
		}
		if _, leading := node.Leading(); leading {
			return true
		}
	}
	return false
}

func (z *fakeZone) otherMembers(name string) []elector.Member {
	var members []elector.Member
	for other, node := range z.nodes {
		if other != name && z.connected(name, other) {
			members = append(members, node.Self())
		}
	}
	return members
}

// leader returns the node that may send orders, or "" if none may. It fails the test
// when two may, or one may within the quiet period after another.
func (z *fakeZone) leader() string {
	found := ""
	for name, node := range z.nodes {
		epoch, leading := node.Leading()
		if !leading || z.frozen[name] || node.CheckOrder(epoch) != nil {
			continue
		}
		gomega.Expect(found).To(gomega.BeEmpty(), "two nodes may send orders")
		gomega.Expect(epoch).To(gomega.BeNumerically(">=", z.highestEpoch), "epoch of an order of %s", name)
		found, z.highestEpoch = name, epoch
	}
	if found == "" {
		return ""
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	for other, at := range z.lastOrderAt {
		if other != found {
			gomega.Expect(z.now.Sub(at)).To(gomega.BeNumerically(">=", quietMS*time.Millisecond), "time between an order of %s and the last one of %s", found, other)
		}
	}
	z.lastOrderAt[found] = z.now
	return found
}

func (z *fakeZone) run(step scenarioStep) {
	var action, name string
	for i := range step.Do {
		if step.Do[i] == ' ' {
			action, name = step.Do[:i], step.Do[i+1:]
		}
	}
	switch step.Do {
	case "down", "up":
		z.storeDown = step.Do == "down"
	case "lose", "keep":
		z.losesResponses = step.Do == "lose"
	case "copy", "restore":
		action = step.Do
	}
	switch action {
	case "copy":
		z.copies[name] = rowCopy{row: z.row, version: z.version}
	case "restore":
		z.row, z.version = z.copies[name].row, z.copies[name].version
		z.era++
	case "resign":
		z.nodes[name].Resign()
		delete(z.nodes, name)
		for other := range z.nodes {
			if !z.frozen[other] && !z.disconnected[other] {
				z.nodes[other].ReadNow()
			}
		}
	case "freeze", "thaw":
		z.frozen[name] = action == "freeze"
	case "kill":
		delete(z.nodes, name)
	case "start":
		z.start(name)
	case "cut", "join":
		z.disconnected[name] = action == "cut"
	case "away", "near":
		z.away[name] = action == "away"
	}
	z.mu.Lock()
	z.now = z.now.Add(time.Duration(step.JumpMS) * time.Millisecond)
	z.mu.Unlock()
	for elapsed := int64(0); elapsed < step.AfterMS; elapsed += loopMS {
		z.mu.Lock()
		z.now = z.now.Add(loopMS * time.Millisecond)
		z.mu.Unlock()
		for name, node := range z.nodes {
			if z.frozen[name] {
				continue
			}
			select {
			case <-node.readNow:
				node.readRows()
			default:
			}
			node.maintainLease()
			node.requestPromises()
			z.forwardLeases(name)
		}
		z.leader()
	}
}

// loopMS is the interval in milliseconds at which the test runs the loops of a node.
const loopMS = 50
