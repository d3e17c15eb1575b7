package leader

import (
	"context"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/planner"
)

// zoneView numbers the changes of the planner's view, so that nodes pull only
// what changed since their last pull.
type zoneView struct {
	// epoch is the lease epoch; the sequences of different epochs are not comparable.
	epoch int64
	// sequence is the number of the last change.
	sequence int64
	// workers are the local zone's workers by ID, removed ones included.
	workers map[string]*trackedWorker
	// remote holds the workers of all other zones by ID, as their leaders describe them.
	remote map[string]*trackedWorker
}

// trackedWorker is a worker's state with the sequences of its last changes.
type trackedWorker struct {
	// residentsKey and loadKey are the residents and the load as text, compared to
	// find changes. They are empty for removed workers and for those of
	// other zones.
	residentsKey, loadKey string
	state                 *nodewire.WorkerState
	// residentsSequence and loadSequence are the view's sequences at the last change of each.
	residentsSequence, loadSequence int64
}

func (v *zoneView) reset(epoch int64) {
	*v = zoneView{epoch: epoch, workers: map[string]*trackedWorker{}, remote: map[string]*trackedWorker{}}
}

// changedSince returns the workers that changed after a sequence. The residents,
// which are most of a worker's bytes, are left out if only the load changed.
func changedSince(workers map[string]*trackedWorker, sequence int64) []*nodewire.WorkerState {
	var states []*nodewire.WorkerState
	for _, worker := range workers {
		switch {
		case worker.residentsSequence > sequence:
			states = append(states, worker.state)
		case worker.loadSequence > sequence:
			states = append(states, &nodewire.WorkerState{
				Id: worker.state.GetId(), Leaving: worker.state.GetLeaving(), Running: worker.state.GetRunning(), Queued: worker.state.GetQueued(),
				Incarnation: worker.state.GetIncarnation(), LoadOnly: true,
			})
		}
	}
	return states
}

// updateRemote applies the changes that another zone's leader sent. A change of
// the load alone keeps the residents known before.
func (v *zoneView) updateRemote(states []*nodewire.WorkerState) {
	for _, state := range states {
		v.sequence++
		known, found := v.remote[state.GetId()]
		if !found {
			known = &trackedWorker{}
			v.remote[state.GetId()] = known
		}
		known.loadSequence = v.sequence
		if !state.GetLoadOnly() {
			known.residentsSequence = v.sequence
		} else if known.state != nil {
			state.Residents, state.LoadOnly = known.state.GetResidents(), false
		}
		known.state = state
	}
}

// update compares the planner's view with the last one, numbers each change and
// reports whether there was any. A worker no longer listed is marked as removed.
func (v *zoneView) update(views []planner.WorkerView) bool {
	before := v.sequence
	listed := map[string]bool{}
	for _, view := range views {
		listed[view.ID] = true
		v.updateWorker(view)
	}
	for id, known := range v.workers {
		if !listed[id] && !known.state.GetRemoved() {
			v.sequence++
			v.workers[id] = &trackedWorker{state: &nodewire.WorkerState{Id: id, Removed: true}, residentsSequence: v.sequence, loadSequence: v.sequence}
		}
	}
	return v.sequence != before
}

func (v *zoneView) updateWorker(view planner.WorkerView) {
	residentsKey := fmt.Sprint(view.Units)
	loadKey := fmt.Sprint(view.Leaving, view.Running, view.Queued, view.Incarnation)
	known, found := v.workers[view.ID]
	if found && known.residentsKey == residentsKey && known.loadKey == loadKey {
		return
	}
	v.sequence++
	updated := &trackedWorker{residentsKey: residentsKey, loadKey: loadKey, state: workerState(view), residentsSequence: v.sequence, loadSequence: v.sequence}
	if found && known.residentsKey == residentsKey {
		updated.residentsSequence = known.residentsSequence
	}
	v.workers[view.ID] = updated
}

func workerState(view planner.WorkerView) *nodewire.WorkerState {
	state := &nodewire.WorkerState{Id: view.ID, Leaving: view.Leaving, Running: int32(view.Running), Queued: int32(view.Queued), Incarnation: view.Incarnation}
	for _, unit := range view.Units {
		state.Residents = append(state.Residents, &nodewire.Resident{Unit: unit.Unit, Phase: unit.Phase})
	}
	return state
}

// Pull handles the call of a node, or of another zone's leader, for the changes of
// this leader's view. Nodes of the local zone name their incarnation, count as
// candidates for successor, and get the workers of the other zones too.
func (l *Leader) Pull(request *nodewire.PullRequest) *nodewire.PullReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.follower.ObserveVersion(request.GetConfig())
	fromLocalZone := request.GetIncarnation() != ""
	if fromLocalZone {
		l.members[request.GetIncarnation()] = seenMember{
			Member: elector.Member{Node: request.GetNode(), Incarnation: request.GetIncarnation(), Address: request.GetAddress()},
			seenAt: now,
		}
	}
	reply := &nodewire.PullReply{Config: l.follower.Current().Version(), Incarnation: l.Self().Incarnation}
	epoch, leading := l.elector.Leading(now)
	if !leading || l.planner == nil {
		return reply
	}
	l.recordUses(now, request.GetUses())
	reply.Leading, reply.Epoch, reply.Sequence = true, epoch, l.view.sequence
	sequence := request.GetSince()
	if request.GetEpoch() != l.view.epoch {
		sequence = 0
	}
	reply.Workers = changedSince(l.view.workers, sequence)
	if l.quarantines != nil {
		reply.Quarantines = l.quarantines(now)
	}
	if fromLocalZone {
		reply.Workers = append(reply.Workers, changedSince(l.view.remote, sequence)...)
	}
	return reply
}

// recordUses passes to the planner the uses of units that a node reports. Uses that
// another zone served are queued for that zone's leader. The caller holds mu.
func (l *Leader) recordUses(now time.Time, uses []*nodewire.Use) {
	configuration := l.follower.Current().Configuration()
	for _, use := range uses {
		if use.GetZone() != "" && use.GetZone() != l.zone {
			l.queueRemoteUse(use)
			continue
		}
		spec, found := UnitSpec(configuration, use.GetUnit())
		if !found {
			continue
		}
		l.planner.RecordUse(spec, now, int(use.GetRequests()))
		if use.GetSaturated() {
			l.planner.MarkSaturated(now, spec)
		}
	}
}

// classWeight returns the weight of a request class; units with a higher weight are loaded first.
func classWeight(class string) float64 {
	switch class {
	case configreader.ClassUrgent:
		return 3
	case configreader.ClassBatch:
		return 1
	default:
		return 2
	}
}

// maxAskWait is how long Ask waits for a unit to become ready before it replies with VERDICT_WAIT.
const maxAskWait = 250 * time.Millisecond

// Ask handles the call of a node whose requests wait for a unit. It replies as
// soon as the unit is ready or cannot be ready in time, otherwise after
// maxAskWait with the expected time.
func (l *Leader) Ask(ctx context.Context, request *nodewire.AskRequest) *nodewire.AskReply {
	l.follower.ObserveVersion(request.GetConfig())
	if request.GetPeek() {
		return l.peek(request.GetUnit())
	}
	now := time.Now()
	deadline := now.Add(time.Duration(request.GetRemainingMs()) * time.Millisecond)
	waitUntil := now.Add(maxAskWait)
	for {
		reply, changed := l.currentReply(request, deadline)
		if reply.GetVerdict() != nodewire.Verdict_VERDICT_WAIT || !time.Now().Before(waitUntil) {
			return reply
		}
		select {
		case <-changed:
		case <-time.After(time.Until(waitUntil)):
		case <-ctx.Done():
			return reply
		case <-l.stopped:
			return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_NOT_LEADING}
		}
	}
}

// peek returns where a unit is ready in the local zone, without adding demand for it.
func (l *Leader) peek(unit string) *nodewire.AskReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, leading := l.elector.Leading(time.Now()); !leading || l.planner == nil {
		return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_NOT_LEADING}
	}
	if workers := l.planner.Ready(unit); len(workers) > 0 {
		return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_READY, Workers: workers}
	}
	return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_REFUSED, Reason: "not ready in this zone"}
}

// currentReply adds demand for the requested unit and returns the reply as of
// now. If the verdict is to wait, the channel is closed at the next change.
func (l *Leader) currentReply(request *nodewire.AskRequest, deadline time.Time) (*nodewire.AskReply, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if _, leading := l.elector.Leading(now); !leading || l.planner == nil {
		return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_NOT_LEADING}, nil
	}
	configuration := l.follower.Current().Configuration()
	spec, found := UnitSpec(configuration, request.GetUnit())
	if !found {
		return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_REFUSED, Reason: "unit is not in the configuration", RetryMs: 1000}, nil
	}
	if worker := request.GetWorker(); worker != "" {
		l.planner.Pin(now, spec, worker)
	}
	if spec.Adapter() {
		if base, found := UnitSpec(configuration, spec.Base); found {
			l.planner.AddDemand(now, base, deadline, classWeight(request.GetClass()))
		}
	}
	l.planner.AddDemand(now, spec, deadline, classWeight(request.GetClass()))
	verdict := l.planner.Ask(now, request.GetUnit(), request.GetWorker(), deadline)
	switch verdict.Kind {
	case planner.VerdictReady:
		return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_READY, Workers: verdict.Workers}, nil
	case planner.VerdictRefuse:
		log.Info().Str("zone", l.zone).Int64("epoch", l.planner.Epoch()).Str("request", request.GetRequest()).
			Str("unit", request.GetUnit()).Str("reason", verdict.Reason).Msg("cold request refused")
		return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_REFUSED, Reason: verdict.Reason, Elsewhere: verdict.Elsewhere, RetryMs: max(verdict.RetryAt.Sub(now).Milliseconds(), 1)}, nil
	}
	l.triggerPlan()
	return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_WAIT, RetryMs: max(verdict.RetryAt.Sub(now).Milliseconds(), 1)}, l.changed
}
