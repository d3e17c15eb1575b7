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

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/scripter"
)

func TestLeaseholder(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "leaseholder")
}

// event advances the clock and names what must hold then.
type event struct {
	// AfterMS is how far the clock goes on, in steps of the loop; JumpMS is how far it jumps, as in a suspension.
	AfterMS, JumpMS int64
	// Do is "", "down", "up", "lose" (writes take effect unanswered), "resign NODE", "kill NODE", "start NODE", "cut NODE" or "join NODE".
	Do string
	// Leads names the node that may give orders, or is empty when none may.
	Leads string
	// Unchecked is set when a leader may or may not be there yet.
	Unchecked bool
}

// zone is a zone of nodes before a fake store.
type zone struct {
	// mu guards everything below.
	mu      sync.Mutex
	now     time.Time
	row     platformclient.Row
	version int64
	down    bool
	losing  bool
	cut     map[string]bool
	nodes   map[string]*Leaseholder
	ordered map[string]time.Time
}

var _ = ginkgo.Describe("leases", func() {
	var scripts []struct {
		Name  string
		Nodes []string
		Steps []event
		// Lines are log lines that must come.
		Lines []string
	}
	gomega.Expect(scripter.Read("testdata/leases.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			logged := scripter.NewCapture()
			defer logged.Close()
			z := &zone{now: time.Unix(1e6, 0), cut: map[string]bool{}, nodes: map[string]*Leaseholder{}, ordered: map[string]time.Time{}}
			for _, name := range s.Nodes {
				z.start(name)
			}
			for i, next := range s.Steps {
				z.play(next)
				if !next.Unchecked {
					gomega.Expect(z.leader()).To(gomega.Equal(next.Leads), "step %d", i)
				}
			}
			gomega.Expect(logged.Missing(s.Lines)).To(gomega.BeEmpty(), "log lines: %s", logged)
		})
	}
})

var _ = ginkgo.Describe("a node that is asked while it renews its lease", func() {
	ginkgo.It("answers, also when the question comes from who names its successors", func() {
		z := &zone{now: time.Unix(1e6, 0), cut: map[string]bool{}, nodes: map[string]*Leaseholder{}, ordered: map[string]time.Time{}}
		z.start("a")
		asked := 0
		z.nodes["a"].parts.Successors = func() []elector.Member {
			asked++
			z.nodes["a"].Known()
			z.nodes["a"].Quiet()
			return nil
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			z.play(event{AfterMS: 2000, Leads: "a"})
		}()
		gomega.Eventually(done, 2*time.Second).Should(gomega.BeClosed(), "the lease's lock is held while others are asked")
		gomega.Expect(asked).To(gomega.BeNumerically(">", 0))
	})
})

var _ = ginkgo.Describe("a lease that is handed over right after an order", func() {
	ginkgo.It("keeps the next leader quiet for longer, since the order may still be on its way", func() {
		z := &zone{now: time.Unix(1e6, 0), cut: map[string]bool{}, nodes: map[string]*Leaseholder{}, ordered: map[string]time.Time{}}
		z.start("a")
		z.play(event{AfterMS: 5000})
		gomega.Expect(z.leader()).To(gomega.Equal("a"))
		gomega.Expect(z.nodes["a"].Resign()).To(gomega.BeTrue())
		var lease elector.Lease
		gomega.Expect(json.Unmarshal([]byte(z.row.Value), &lease)).To(gomega.Succeed())
		gomega.Expect(lease.Quiet).To(gomega.BeNumerically(">=", quietMS+orderTravel.Milliseconds()))
	})
})

const quietMS = 3000

func (z *zone) start(name string) {
	self := elector.Member{Node: name, Incarnation: name + z.now.String(), Address: name}
	z.nodes[name] = New(Parts{
		Zone: "z", Self: self, QuietMS: quietMS, Strength: strengthOf(name), Changed: func() {}, Now: func() time.Time { z.mu.Lock(); defer z.mu.Unlock(); return z.now },
		Rows:       &platformclient.Platform{ReadRows: z.read(name), Write: z.write(name)},
		Heard:      func(string) bool { return z.heard(name) },
		Successors: func() []elector.Member { return z.others(name) },
		Ask: func(_ time.Time, successor elector.Member, epoch int64, hold time.Duration) bool {
			peer, alive := z.nodes[successor.Node]
			return alive && !z.cut[name] && !z.cut[successor.Node] && peer.Promise(self.Incarnation, epoch, hold)
		},
	})
}

// strengthOf returns a node's share of a core; names that begin with "weak" have little.
func strengthOf(name string) float64 {
	if strings.HasPrefix(name, "weak") {
		return 0.1
	}
	return 1
}

var errAway = errors.New("the store is away")

func (z *zone) read(name string) func(time.Time, []string, string) ([]platformclient.Row, error) {
	return func(time.Time, []string, string) ([]platformclient.Row, error) {
		z.mu.Lock()
		defer z.mu.Unlock()
		if z.down || z.cut[name] {
			return nil, errAway
		}
		if z.version == 0 {
			return nil, nil
		}
		return []platformclient.Row{z.row}, nil
	}
}

func (z *zone) write(name string) func(time.Time, platformclient.Transaction) (platformclient.Verdict, error) {
	return func(_ time.Time, t platformclient.Transaction) (platformclient.Verdict, error) {
		z.mu.Lock()
		defer z.mu.Unlock()
		if z.down || z.cut[name] {
			return platformclient.Verdict{}, errAway
		}
		if t.Checks[0].Version != z.version {
			return platformclient.Verdict{Conflicts: []platformclient.Row{z.row}}, nil
		}
		z.version++
		z.row = platformclient.Row{Key: "z", Value: t.Puts[0].Value, Version: z.version}
		if z.losing {
			return platformclient.Verdict{}, errAway
		}
		return platformclient.Verdict{Done: true, Versions: map[string]int64{"z": z.version}}, nil
	}
}

// heard reports whether a node hears a leader of the zone.
func (z *zone) heard(name string) bool {
	if z.cut[name] {
		return false
	}
	for other, node := range z.nodes {
		if other == name || z.cut[other] {
			continue
		}
		if _, leading := node.Leading(); leading {
			return true
		}
	}
	return false
}

func (z *zone) others(name string) []elector.Member {
	var members []elector.Member
	for other, node := range z.nodes {
		if other != name && !z.cut[other] && !z.cut[name] {
			members = append(members, node.Self())
		}
	}
	return members
}

// leader returns the node that may give orders, and fails when two may or one
// may too soon after another.
func (z *zone) leader() string {
	found := ""
	for name, node := range z.nodes {
		epoch, leading := node.Leading()
		if !leading || node.CheckOrder(epoch) != nil {
			continue
		}
		gomega.Expect(found).To(gomega.BeEmpty(), "two leaders")
		found = name
	}
	if found == "" {
		return ""
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	for other, at := range z.ordered {
		if other != found {
			gomega.Expect(z.now.Sub(at)).To(gomega.BeNumerically(">=", quietMS*time.Millisecond), "orders of %s after those of %s", found, other)
		}
	}
	z.ordered[found] = z.now
	return found
}

func (z *zone) play(next event) {
	var verb, name string
	for i := range next.Do {
		if next.Do[i] == ' ' {
			verb, name = next.Do[:i], next.Do[i+1:]
		}
	}
	switch next.Do {
	case "down", "up":
		z.down = next.Do == "down"
	case "lose", "keep":
		z.losing = next.Do == "lose"
	}
	switch verb {
	case "resign":
		z.nodes[name].Resign()
		delete(z.nodes, name)
	case "kill":
		delete(z.nodes, name)
	case "start":
		z.start(name)
	case "cut", "join":
		z.cut[name] = verb == "cut"
	}
	z.mu.Lock()
	z.now = z.now.Add(time.Duration(next.JumpMS) * time.Millisecond)
	z.mu.Unlock()
	for passed := int64(0); passed < next.AfterMS; passed += loopMS {
		z.mu.Lock()
		z.now = z.now.Add(loopMS * time.Millisecond)
		z.mu.Unlock()
		for _, node := range z.nodes {
			node.keep()
			node.askSuccessors()
		}
		z.leader()
	}
}

// loopMS is the pause between two looks of a node, in milliseconds.
const loopMS = 50
