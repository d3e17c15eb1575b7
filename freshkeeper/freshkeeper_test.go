package freshkeeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/freshkeeper"
)

// step is one event at a node or at its leader. Times are in milliseconds on the node's boot clock; that of the leader is leaderOffset ahead.
type step struct {
	At int64
	// Leader is set for events at the leader.
	Leader bool
	// Begins is set when a read is sent. Read ends the one that was sent at Sent: it returned Version, of the whole configuration if Whole is set.
	Begins bool
	Read   *struct {
		Sent, Version int64
		Whole         bool
	}
	// Applies is a version that comes in force, Hears one that another node names.
	Applies, Hears int64
	// Stamp is one that arrives at the leader. View is built by the leader with the proof that is due, Delivers the view that the node gets; Empty is
	// set if the view has no proof.
	Stamp          int64
	View, Delivers string
	Empty          bool
	// NewLeader is set when another node becomes the leader.
	NewLeader bool
	// Fresh and Behind, if set, are checked after the event.
	Fresh, Behind *bool
}

const leaderOffset = 777 * time.Hour

func at(ms int64) time.Time { return time.UnixMilli(ms) }

// TestKeeper plays the scripts of testdata/proofs.json.
//
// Guards against keys that are accepted after they were taken away, by proofs that count from a receipt, by reads that began before a stamp arrived,
// and by versions that are not in force.
func TestKeeper(t *testing.T) {
	var scripts []struct {
		Name   string
		Revoke int64
		Steps  []step
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/proofs.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			p := &player{node: freshkeeper.New(time.Duration(script.Revoke) * time.Millisecond), leader: freshkeeper.New(0), views: map[string]view{}}
			for i := range script.Steps {
				p.play(gomega.NewWithT(t), fmt.Sprintf("step %d at %d", i, script.Steps[i].At), &script.Steps[i])
			}
		})
	}
}

// view is a leader's message.
type view struct{ stamp, version int64 }

// player is a node and its leader.
type player struct {
	node, leader *freshkeeper.Keeper
	stamps       freshkeeper.Stamps
	views        map[string]view
}

func (p *player) play(g *gomega.WithT, name string, s *step) {
	keeper, offset := p.node, time.Duration(0)
	if s.NewLeader {
		p.leader, p.stamps = freshkeeper.New(0), freshkeeper.Stamps{}
	}
	if s.Leader {
		keeper, offset = p.leader, leaderOffset
	}
	now := at(s.At).Add(offset)
	if s.Begins {
		keeper.Begin(now)
	}
	keeper.Apply(s.Applies)
	keeper.Hear(now, s.Hears)
	if s.Read != nil {
		keeper.Complete(at(s.Read.Sent).Add(offset), s.Read.Version, s.Read.Whole)
	}
	begunAt, completed := p.leader.Reads()
	p.stamps.Receive(at(s.At).Add(leaderOffset), s.Stamp, begunAt, completed)
	if s.View != "" {
		stamp, version, found := p.stamps.Next(completed)
		g.Expect(found).To(gomega.Equal(!s.Empty), name)
		p.views[s.View] = view{stamp: stamp, version: version}
	}
	if s.Delivers != "" {
		p.node.Learn(at(s.At), at(p.views[s.Delivers].stamp), p.views[s.Delivers].version)
	}
	if s.Fresh != nil {
		g.Expect(p.node.Fresh(at(s.At))).To(gomega.Equal(*s.Fresh), name+": fresh")
	}
	if s.Behind != nil {
		g.Expect(p.node.Behind()).To(gomega.Equal(*s.Behind), name+": behind")
	}
}

// Guards against followers that send often and get no proof, since their last stamp has always arrived after the read began.
func TestStampsOfABusyFollower(t *testing.T) {
	g := gomega.NewWithT(t)
	var stamps freshkeeper.Stamps
	leader, sentMS, latest, oldest := freshkeeper.New(0), int64(0), int64(0), int64(0)
	for ms := int64(10); ms < 10_000; ms += 10 {
		if ms%500 == 0 {
			leader.Complete(at(sentMS), 1, false)
			leader.Begin(at(ms))
			sentMS = ms
		}
		begunAt, completed := leader.Reads()
		stamps.Receive(at(ms), ms, begunAt, completed)
		if ms%300 == 0 {
			if stamp, _, found := stamps.Next(completed); found {
				latest = stamp
			}
			if ms > 2000 {
				oldest = max(oldest, ms-latest)
			}
		}
	}
	g.Expect(oldest).To(gomega.BeNumerically("<=", 1300), "age of the stamp that the node knows: two reads and a view")
}
