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

// promiseDuration is how long one promise lasts; the leader asks again while the
// platform does not respond.
const promiseDuration = 5 * time.Second

// platformResponseMaxAge is the age of the platform's last response up to which this
// node refuses to promise, because it could write the lease row itself.
const platformResponseMaxAge = 1500 * time.Millisecond

// replicatedRows are the decision rows that this node, as a successor, stores
// for a leader that holds its lease over: a leader that cannot reach the
// platform keeps the lease while all successors promise not to take it.
type replicatedRows struct {
	epoch int64
	// rows maps table keys to the newest row of the epoch.
	rows map[string]*nodewire.Row
}

// merge adds the rows that are newer than the stored ones. A higher epoch
// discards all rows stored before.
func (r *replicatedRows) merge(epoch int64, rows []*nodewire.Row) {
	if r.rows == nil || epoch > r.epoch {
		r.epoch, r.rows = epoch, map[string]*nodewire.Row{}
	}
	for _, row := range rows {
		if stored, found := r.rows[row.GetKey()]; !found || stored.GetSequence() < row.GetSequence() {
			r.rows[row.GetKey()] = row
		}
	}
}

// requestHoldOver asks every successor to promise not to take the lease, and
// holds the lease over if all do.
func (l *Leader) requestHoldOver() {
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
	l.elector.HoldOverUntil(sentAt.Add(promiseDuration))
	l.mu.Unlock()
	log.Info().Str("zone", l.zone).Int64("epoch", lease.Epoch).Msg("all successors promised not to take the lease; it is held over")
}

// replicate sends rows to every successor of the lease and reports whether all
// promised not to take the lease; those that promise store the rows. Without
// successors it reports false.
func (l *Leader) replicate(lease elector.Lease, rows []*nodewire.Row) bool {
	request := &nodewire.HoldRequest{Leader: l.Self().Incarnation, Epoch: lease.Epoch, HoldMs: promiseDuration.Milliseconds(), Rows: rows}
	promised := make([]bool, len(lease.Successors))
	var group sync.WaitGroup
	for i, successor := range lease.Successors {
		group.Go(func() { promised[i] = l.requestPromise(successor, request) })
	}
	group.Wait()
	for _, ok := range promised {
		if !ok {
			return false
		}
	}
	return len(promised) > 0
}

func (l *Leader) requestPromise(successor elector.Member, request *nodewire.HoldRequest) bool {
	client, err := l.peers.NodeClient(successor.Address)
	if err != nil {
		return false
	}
	ctx, cancel := peerclient.WithDeadline(time.Now().Add(peerTimeout))
	defer cancel()
	reply, err := client.Hold(ctx, request)
	return err == nil && reply.GetPromised() && reply.GetIncarnation() == successor.Incarnation
}

// Hold handles the call of a leader that asks for a promise and replicates
// decision rows. The rows are stored only if this node promises.
func (l *Leader) Hold(request *nodewire.HoldRequest) *nodewire.HoldReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	reply := &nodewire.HoldReply{Incarnation: l.Self().Incarnation}
	if now.Sub(l.platformSeenAt) < platformResponseMaxAge {
		return reply
	}
	hold := time.Duration(request.GetHoldMs()) * time.Millisecond
	reply.Promised = l.elector.Promise(now, request.GetLeader(), request.GetEpoch(), hold)
	if reply.Promised {
		l.replicated.merge(request.GetEpoch(), request.GetRows())
	}
	return reply
}

// Collect handles the call of a new leader for the decision rows that this node
// stores for the previous one.
func (l *Leader) Collect() *nodewire.CollectReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &nodewire.CollectReply{Incarnation: l.Self().Incarnation, Epoch: l.replicated.epoch}
	for _, row := range l.replicated.rows {
		reply.Rows = append(reply.Rows, row)
	}
	return reply
}

// collectReplicated fetches the rows that the previous lease's successors store.
// Each of them stores every decision of a hold-over, so one reply is enough.
func (l *Leader) collectReplicated(previous elector.Lease) {
	var group sync.WaitGroup
	for _, successor := range previous.Successors {
		if successor.Incarnation != l.Self().Incarnation {
			group.Go(func() { l.collectFrom(successor, previous.Epoch) })
		}
	}
	group.Wait()
}

func (l *Leader) collectFrom(successor elector.Member, epoch int64) {
	client, err := l.peers.NodeClient(successor.Address)
	if err != nil {
		return
	}
	ctx, cancel := peerclient.WithDeadline(time.Now().Add(peerTimeout))
	defer cancel()
	reply, err := client.Collect(ctx, &nodewire.CollectRequest{Epoch: epoch})
	if err != nil || reply.GetIncarnation() != successor.Incarnation {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replicated.merge(reply.GetEpoch(), reply.GetRows())
}

// replicatedRow returns a worker's row from the last hold-over, if there is one;
// the caller holds mu.
func (l *Leader) replicatedRow(worker string) (planner.Row, bool) {
	row, found := l.replicated.rows[l.rowPrefix()+worker]
	if !found {
		return planner.Row{}, false
	}
	decoded, err := planner.DecodeRow(worker, row.GetValue())
	if err != nil {
		log.Error().Str("zone", l.zone).Str("worker", worker).Err(err).Msg("replicated decision row cannot be decoded")
		return planner.Row{}, false
	}
	return decoded, true
}
