package leader

import (
	"context"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/planner"
)

// zoneView numbers the changes of what the planner shows, so that nodes fetch only what changed.
type zoneView struct {
	epoch    int64
	sequence int64
	workers  map[string]*viewedWorker
	// remote holds the workers of other zones as their leaders describe them.
	remote map[string]*viewedWorker
}

// viewedWorker is a worker's view with the sequences of its last changes.
type viewedWorker struct {
	// residents and load are what the last change was found by.
	residents, load string
	state           *nodewire.WorkerState
	// residentsAt and loadAt are the sequences at which each last changed.
	residentsAt, loadAt int64
}

func (v *zoneView) reset(epoch int64) {
	*v = zoneView{epoch: epoch, workers: map[string]*viewedWorker{}, remote: map[string]*viewedWorker{}}
}

// since returns what changed in a set of workers after a sequence. Residents,
// which are most of a worker's bytes, are sent only when they changed.
func since(workers map[string]*viewedWorker, sequence int64) []*nodewire.WorkerState {
	var states []*nodewire.WorkerState
	for _, worker := range workers {
		switch {
		case worker.residentsAt > sequence:
			states = append(states, worker.state)
		case worker.loadAt > sequence:
			states = append(states, &nodewire.WorkerState{
				Id: worker.state.GetId(), Leaving: worker.state.GetLeaving(), Running: worker.state.GetRunning(), Queued: worker.state.GetQueued(),
				Incarnation: worker.state.GetIncarnation(), LoadOnly: true,
			})
		}
	}
	return states
}

// updateRemote takes in what changed in another zone.
func (v *zoneView) updateRemote(states []*nodewire.WorkerState) {
	for _, state := range states {
		v.sequence++
		known, found := v.remote[state.GetId()]
		if !found {
			known = &viewedWorker{}
			v.remote[state.GetId()] = known
		}
		known.loadAt = v.sequence
		if !state.GetLoadOnly() {
			known.residentsAt = v.sequence
		} else if known.state != nil {
			state.Residents, state.LoadOnly = known.state.GetResidents(), false
		}
		known.state = state
	}
}

// update takes in the planner's view and reports whether anything changed.
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
			v.workers[id] = &viewedWorker{state: &nodewire.WorkerState{Id: id, Removed: true}, residentsAt: v.sequence, loadAt: v.sequence}
		}
	}
	return v.sequence != before
}

func (v *zoneView) updateWorker(view planner.WorkerView) {
	residents := fmt.Sprint(view.Units)
	load := fmt.Sprint(view.Leaving, view.Running, view.Queued, view.Incarnation)
	known, found := v.workers[view.ID]
	if found && known.residents == residents && known.load == load {
		return
	}
	v.sequence++
	updated := &viewedWorker{residents: residents, load: load, state: workerState(view), residentsAt: v.sequence, loadAt: v.sequence}
	if found && known.residents == residents {
		updated.residentsAt = known.residentsAt
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

// Pull answers a node that follows this leader's view.
func (l *Leader) Pull(request *nodewire.PullRequest) *nodewire.PullReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.follower.Hear(request.GetConfig())
	fromOwnZone := request.GetIncarnation() != ""
	if fromOwnZone {
		l.members[request.GetIncarnation()] = member{
			Member: elector.Member{Node: request.GetNode(), Incarnation: request.GetIncarnation(), Address: request.GetAddress()},
			seenAt: now,
		}
	}
	reply := &nodewire.PullReply{Config: l.follower.Current().Version(), Incarnation: l.Self().Incarnation}
	epoch, leading := l.elector.Leading(now)
	if !leading || l.planner == nil {
		return reply
	}
	l.takeUses(now, request.GetUses())
	reply.Leading, reply.Epoch, reply.Sequence = true, epoch, l.view.sequence
	known := request.GetSince()
	if request.GetEpoch() != l.view.epoch {
		known = 0
	}
	reply.Workers = since(l.view.workers, known)
	if l.quarantines != nil {
		reply.Quarantines = l.quarantines(now)
	}
	if fromOwnZone {
		reply.Workers = append(reply.Workers, since(l.view.remote, known)...)
	}
	return reply
}

// takeUses tells the planner which units a node's requests named; the caller holds mu.
func (l *Leader) takeUses(now time.Time, uses []*nodewire.Use) {
	configuration := l.follower.Current().Configuration()
	for _, use := range uses {
		if use.GetZone() != "" && use.GetZone() != l.zone {
			l.forwardUse(use)
			continue
		}
		spec, found := UnitSpec(configuration, use.GetUnit())
		if !found {
			continue
		}
		l.planner.Use(spec, now, int(use.GetRequests()))
		if use.GetSaturated() {
			l.planner.Pressure(now, spec)
		}
	}
}

// classWeight orders waiting loads by class.
func classWeight(class string) float64 {
	switch class {
	case configurer.ClassUrgent:
		return 3
	case configurer.ClassBatch:
		return 1
	default:
		return 2
	}
}

// askHold is how long an ask waits at the leader for the unit to be ready.
const askHold = 250 * time.Millisecond

// Ask answers a node whose requests wait for a unit: at once when the unit is
// ready or will not be in time, else after askHold with the expected time.
func (l *Leader) Ask(ctx context.Context, request *nodewire.AskRequest) *nodewire.AskReply {
	l.follower.Hear(request.GetConfig())
	if request.GetPeek() {
		return l.peek(request.GetUnit())
	}
	now := time.Now()
	deadline := now.Add(time.Duration(request.GetRemainingMs()) * time.Millisecond)
	holdUntil := now.Add(askHold)
	for {
		reply, changed := l.askOnce(request, deadline)
		if reply.GetVerdict() != nodewire.Verdict_VERDICT_WAIT || !time.Now().Before(holdUntil) {
			return reply
		}
		select {
		case <-changed:
		case <-time.After(time.Until(holdUntil)):
		case <-ctx.Done():
			return reply
		case <-l.stopped:
			return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_NOT_LEADING}
		}
	}
}

// peek says where a unit is ready in the own zone, without wanting it.
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

// askOnce returns the reply of now and a channel that is closed at the next change.
func (l *Leader) askOnce(request *nodewire.AskRequest, deadline time.Time) (*nodewire.AskReply, <-chan struct{}) {
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
			l.planner.Want(now, base, deadline, classWeight(request.GetClass()))
		}
	}
	l.planner.Want(now, spec, deadline, classWeight(request.GetClass()))
	verdict := l.planner.Ask(now, request.GetUnit(), request.GetWorker(), deadline)
	switch verdict.Kind {
	case planner.VerdictReady:
		return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_READY, Workers: verdict.Workers}, nil
	case planner.VerdictRefuse:
		log.Info().Str("zone", l.zone).Int64("epoch", l.planner.Epoch()).Str("request", request.GetRequest()).
			Str("unit", request.GetUnit()).Str("reason", verdict.Reason).Msg("cold request refused")
		return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_REFUSED, Reason: verdict.Reason, Elsewhere: verdict.Elsewhere, RetryMs: max(verdict.RetryAt.Sub(now).Milliseconds(), 1)}, nil
	}
	l.kick()
	return &nodewire.AskReply{Verdict: nodewire.Verdict_VERDICT_WAIT, RetryMs: max(verdict.RetryAt.Sub(now).Milliseconds(), 1)}, l.changed
}
