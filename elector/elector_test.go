package elector

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checks is the number of random sequences. The library's default of 100 missed
// two faults that let two nodes lead at the same time; 2000 found both.
const checks = "5000"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.checks", checks); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fakeRow is a lease row with compare-and-set.
type fakeRow struct {
	lease   Lease
	version int64
}

func (r *fakeRow) write(proposal Proposal) bool {
	if proposal.Version != r.version {
		return false
	}
	r.lease = proposal.Lease
	r.version++
	return true
}

// simulatedNode is an elector with a read result that it has not observed yet.
type simulatedNode struct {
	elector *Elector
	// delayedRead is the result of a read whose response is delayed; sentAt is when the read was sent.
	delayedRead *Row
	sentAt      time.Time
	// pausedUntil is the time until which the node does nothing.
	pausedUntil time.Time
}

// TestAtMostOneLeader runs random sequences of reads, writes, lost responses, pauses,
// promises and clock steps, and checks that no two nodes lead at the same time.
func TestAtMostOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		row := &fakeRow{}
		var nodes []*simulatedNode
		var members []Member
		recalls := rapid.Bool().Draw(t, "recalls")
		for i := range 4 {
			self := Member{Node: fmt.Sprint(i), Incarnation: fmt.Sprintf("%d@1", i), Recalls: recalls}
			members = append(members, self)
			nodes = append(nodes, &simulatedNode{elector: New(self)})
		}
		led := 0
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			node := nodes[rapid.IntRange(0, 3).Draw(t, "node")]
			if !now.Before(node.pausedUntil) {
				act(t, now, row, node, nodes, members)
			}
			led += checkLeaders(t, now, nodes)
		}
	})
}

// act makes one node take a random action.
func act(t *rapid.T, now time.Time, row *fakeRow, node *simulatedNode, nodes []*simulatedNode, members []Member) {
	switch rapid.IntRange(0, 7).Draw(t, "act") {
	case 0:
		node.delayedRead, node.sentAt = &Row{Lease: row.lease, Version: row.version}, now
	case 1:
		if node.delayedRead != nil {
			node.elector.Observe(node.sentAt, *node.delayedRead)
		}
	case 2:
		node.elector.Observe(now, Row{Lease: row.lease, Version: row.version})
	case 3, 4, 5:
		propose(t, now, row, node, members)
	case 6:
		node.pausedUntil = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause")) * time.Millisecond)
	case 7:
		holdOver(t, now, node, nodes)
	}
}

func propose(t *rapid.T, now time.Time, row *fakeRow, node *simulatedNode, members []Member) {
	var successors []Member
	for _, other := range members {
		if other != node.elector.Self() && rapid.Bool().Draw(t, "successor") {
			successors = append(successors, other)
		}
	}
	proposal := node.elector.Propose(now, successors)
	if proposal == nil {
		return
	}
	done := row.write(*proposal)
	if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
		node.elector.RecordWrite(done, row.version)
	}
}

// holdOver asks the successors for promises, some of whom are unreachable.
func holdOver(t *rapid.T, now time.Time, node *simulatedNode, nodes []*simulatedNode) {
	if _, leading := node.elector.Leading(now); !leading {
		return
	}
	const hold = 5 * time.Second
	for _, successor := range node.elector.Successors() {
		for _, other := range nodes {
			if other.elector.Self() != successor {
				continue
			}
			reached := rapid.IntRange(0, 4).Draw(t, "reached") > 0 && !now.Before(other.pausedUntil)
			if !reached || !other.elector.Promise(now, node.elector.Self().Incarnation, node.elector.Lease().Epoch, hold) {
				return
			}
		}
	}
	node.elector.HoldOverUntil(now.Add(hold))
}

func checkLeaders(t *rapid.T, now time.Time, nodes []*simulatedNode) int {
	leaders := 0
	for _, node := range nodes {
		if _, leading := node.elector.Leading(now); leading {
			leaders++
		}
	}
	if leaders > 1 {
		t.Fatalf("%d nodes lead at %s, want at most 1", leaders, now)
	}
	return leaders
}

func TestHandoverNeedsNoTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	row := &fakeRow{}
	first, second := New(Member{Incarnation: "a@1"}), New(Member{Incarnation: "b@1"})
	first.Observe(now, Row{})
	proposal := first.Propose(now, nil)
	if proposal == nil || !row.write(*proposal) {
		t.Fatal("the first node did not take the lease that has no holder")
	}
	first.RecordWrite(true, row.version)
	second.Observe(now, Row{Lease: row.lease, Version: row.version})
	if second.Propose(now, nil) != nil {
		t.Fatal("the second node took a lease that the first still holds")
	}
	resignation := first.Resign(now)
	if resignation == nil || !row.write(*resignation) {
		t.Fatal("the first node did not write a lease without a holder when it resigned")
	}
	second.Observe(now, Row{Lease: row.lease, Version: row.version})
	taken := second.Propose(now, nil)
	if taken == nil || !row.write(*taken) {
		t.Fatal("the second node did not take the lease immediately after the first resigned")
	}
	second.RecordWrite(true, row.version)
	if epoch, leading := second.Leading(now); !leading || epoch != 2 {
		t.Fatalf("second node: leading %v at epoch %d, want leading at epoch 2", leading, epoch)
	}
	if first.Propose(now.Add(time.Hour), nil) != nil {
		t.Fatal("the first node proposed to take the lease again after it resigned")
	}
}

// TestVersionOfTheSameWrite guards against zones without a leader for good, since the response to the write of a lease named the store's newest version, which is
// higher than the row's.
func TestVersionOfTheSameWrite(t *testing.T) {
	now := time.Unix(1000, 0)
	holder, other := New(Member{Node: "1", Incarnation: "1@1"}), New(Member{Node: "2", Incarnation: "2@1"})
	holder.Observe(now, Row{})
	written := holder.Propose(now, []Member{other.Self()})
	holder.RecordWrite(true, 9)
	row := Row{Lease: written.Lease, Version: 7}
	other.Observe(now, Row{Lease: written.Lease, Version: 9})

	now = now.Add(RenewAfter)
	holder.Observe(now, row)
	if renewal := holder.Propose(now, []Member{other.Self()}); renewal == nil || renewal.Version != 7 || renewal.Lease.Epoch != written.Lease.Epoch {
		t.Errorf("renewal is %+v, want one of the row with version 7", renewal)
	}
	now = now.Add(Term)
	other.Observe(now, row)
	if taken := other.Propose(now, nil); taken == nil || taken.Version != 7 {
		t.Errorf("lease taken over is %+v, want one of the row with version 7", taken)
	}

	late := Row{Lease: written.Lease, Version: 3}
	late.Lease.Renewal--
	other.Observe(now, late)
	if other.Version() != 7 {
		t.Errorf("version is %d after a read of an earlier write, want 7", other.Version())
	}
}
