package leader

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/planner"
)

// holdTime is the length of one promise; it is asked for again while the platform is away.
const holdTime = 5 * time.Second

// reachesPlatform is the age of the platform's last answer up to which a
// successor refuses to promise, because it could take the lease itself.
const reachesPlatform = 1500 * time.Millisecond

// heldRows are the decisions that this node keeps for a leader in hold-over.
type heldRows struct {
	epoch int64
	// rows maps row keys to the newest replicated row.
	rows map[string]*nodewire.Row
}

// take keeps newer rows and forgets those of earlier epochs.
func (h *heldRows) take(epoch int64, rows []*nodewire.Row) {
	if h.rows == nil || epoch > h.epoch {
		h.epoch, h.rows = epoch, map[string]*nodewire.Row{}
	}
	for _, row := range rows {
		if held, found := h.rows[row.GetKey()]; !found || held.GetSequence() < row.GetSequence() {
			h.rows[row.GetKey()] = row
		}
	}
}

// holdOver asks every successor to promise not to take the lease.
func (l *Leader) holdOver() {
	l.mu.Lock()
	_, leading := l.elector.Leading(time.Now())
	lease := l.elector.Lease()
	lease.Successors = l.elector.Successors()
	l.mu.Unlock()
	if !leading || len(lease.Successors) == 0 {
		return
	}
	sentAt := time.Now()
	if !l.replicate(lease, nil) {
		return
	}
	l.mu.Lock()
	l.elector.HoldOverUntil(sentAt.Add(holdTime))
	l.mu.Unlock()
	log.Info().Str("zone", l.zone).Int64("epoch", lease.Epoch).Msg("successors promised; lease is held over")
}

// replicate sends rows to every successor of the lease and reports whether all promised.
func (l *Leader) replicate(lease elector.Lease, rows []*nodewire.Row) bool {
	request := &nodewire.HoldRequest{Leader: l.Self().Incarnation, Epoch: lease.Epoch, HoldMs: holdTime.Milliseconds(), Rows: rows}
	promised := make([]bool, len(lease.Successors))
	var group sync.WaitGroup
	for i, successor := range lease.Successors {
		group.Go(func() { promised[i] = l.askPromise(successor, request) })
	}
	group.Wait()
	for _, ok := range promised {
		if !ok {
			return false
		}
	}
	return len(promised) > 0
}

func (l *Leader) askPromise(successor elector.Member, request *nodewire.HoldRequest) bool {
	client, err := l.peers.Node(successor.Address)
	if err != nil {
		return false
	}
	ctx, cancel := peerclient.Until(time.Now().Add(peerTime))
	defer cancel()
	reply, err := client.Hold(ctx, request)
	return err == nil && reply.GetPromised() && reply.GetIncarnation() == successor.Incarnation
}

// Hold answers a leader that asks for a promise and replicates decisions.
func (l *Leader) Hold(request *nodewire.HoldRequest) *nodewire.HoldReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reply := &nodewire.HoldReply{Incarnation: l.Self().Incarnation}
	if now.Sub(l.platformSeenAt) < reachesPlatform {
		return reply
	}
	hold := time.Duration(request.GetHoldMs()) * time.Millisecond
	reply.Promised = l.elector.Promise(now, request.GetLeader(), request.GetEpoch(), hold)
	if reply.Promised {
		l.held.take(request.GetEpoch(), request.GetRows())
	}
	return reply
}

// Collect answers a new leader with the decisions that this node holds.
func (l *Leader) Collect() *nodewire.CollectReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &nodewire.CollectReply{Incarnation: l.Self().Incarnation, Epoch: l.held.epoch}
	for _, row := range l.held.rows {
		reply.Rows = append(reply.Rows, row)
	}
	return reply
}

// collectHeld fetches what the previous lease's successors hold. Each holds
// every decision of a hold-over, so that one answer is enough.
func (l *Leader) collectHeld(previous elector.Lease) {
	var group sync.WaitGroup
	for _, successor := range previous.Successors {
		if successor.Incarnation != l.Self().Incarnation {
			group.Go(func() { l.collectFrom(successor, previous.Epoch) })
		}
	}
	group.Wait()
}

func (l *Leader) collectFrom(successor elector.Member, epoch int64) {
	client, err := l.peers.Node(successor.Address)
	if err != nil {
		return
	}
	ctx, cancel := peerclient.Until(time.Now().Add(peerTime))
	defer cancel()
	reply, err := client.Collect(ctx, &nodewire.CollectRequest{Epoch: epoch})
	if err != nil || reply.GetIncarnation() != successor.Incarnation {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.take(reply.GetEpoch(), reply.GetRows())
}

// heldRow returns the newest row that a hold-over left for a worker, if any; the caller holds mu.
func (l *Leader) heldRow(worker string) (planner.Row, bool) {
	row, found := l.held.rows[l.rowPrefix()+worker]
	if !found {
		return planner.Row{}, false
	}
	decoded, err := planner.DecodeRow(worker, row.GetValue())
	if err != nil {
		log.Error().Str("zone", l.zone).Str("worker", worker).Err(err).Msg("held row cannot be read")
		return planner.Row{}, false
	}
	return decoded, true
}
