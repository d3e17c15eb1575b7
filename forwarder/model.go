package forwarder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/demandcounter"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// Cost terms of the choice among workers that have the model loaded, in estimated milliseconds until the first event.
const (
	// modelRequestCost is added for each request that the worker runs in its batch.
	modelRequestCost = 4.0
	// modelRemoteCost is added for a worker in another zone.
	modelRemoteCost = 30.0
	// modelPenaltyCost is the cost of a penalty of 1, the highest; failures of the worker raise its penalty.
	modelPenaltyCost = 3000.0
	// promptTokenCost is added for each shared prompt token that the worker likely has not cached.
	promptTokenCost = 0.033
	// modelCostJitter bounds a random term, which keeps nodes with the same information from all choosing the same worker.
	modelCostJitter = 8.0
	// minAffinityTokens is the number of shared prompt tokens from which on the worker that likely caches them is preferred.
	minAffinityTokens = 1000
	// modelCutOffCost is added for a worker in a zone that seems cut off.
	modelCutOffCost = 150.0
	// modelLimitedCost is added for a worker that names a limit, so that others with the model take what they can.
	modelLimitedCost = 120.0
	// modelFullCost is added when all slots of the worker are taken.
	modelFullCost = 1000.0
)

// Times that bound the wait for a model.
const (
	// responseReserve is the time that a request needs on a worker once its model is loaded.
	responseReserve = 250 * time.Millisecond
	// noLeaderWait is how long a request waits while no zone is known to have a leader that could load its model.
	noLeaderWait = 350 * time.Millisecond
	// viewPollInterval is the longest time between two checks of the tracker's view of the fleet while a request waits.
	viewPollInterval = 100 * time.Millisecond
)

// serveModel serves a request for a model, waiting for a worker that has the model loaded if need be.
func (f *Forwarder) serveModel(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, cancel := f.withEnd(r, c)
	defer cancel()
	if !c.isCarried { // Counted by the node that the caller reached.
		f.dependencies.Budget.CountRequest(c.arrived, c.service.Name)
		f.dependencies.DemandCounter.CountArrival(c.modelKey())
	}
	model, known := c.service.Models[c.Model]
	if !known {
		// Not a 404, since a newer configuration may have the model.
		return c.refuse("no_model", "the service has no such model", configurationRetry)
	}
	if needed := model.MemoryMB + lo.Ternary(c.Adapter == "", 0, model.AdapterMB); c.service.MemoryMB > 0 && needed > c.service.MemoryMB {
		return c.refuse("too_large", fmt.Sprintf("the model and the adapter need %.0f MB; a worker of the service has %.0f MB", needed, c.service.MemoryMB), configurationRetry)
	}
	if err := f.findOrigin(ctx, c); err != nil {
		return err
	}
	relay := &relay{forwarder: f, writer: w, call: c}
	defer func() { f.endTrial(c, time.Now().Add(crashNewsTime)) }()
	for {
		var cutOff *cutOffError
		worker, err := f.acquireWorker(ctx, c)
		if errors.As(err, &cutOff) {
			if done, err := f.carry(ctx, w, c); done {
				return err
			}
			continue
		}
		if err != nil {
			return relay.endError(err)
		}
		err = f.sendModel(ctx, c, worker, relay)
		if err == nil {
			f.endTrial(c, time.Now())
			return nil
		}
		if retryErr := f.retry(ctx, c, worker, err); retryErr != nil {
			return relay.endError(retryErr)
		}
		if !relay.canContinue() {
			return relay.endError(err)
		}
	}
}

// sendModel sends a request to a worker and relays the response.
func (f *Forwarder) sendModel(ctx context.Context, c *call, worker *registrar.Worker, relay *relay) error {
	send := f.newSend(c, worker)
	endSend := f.beginSend(c, worker)
	endRun := f.dependencies.DemandCounter.StartRunning(demandcounter.RunKey{Worker: worker.ID, Model: c.Model})
	defer endRun()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel() // Closes the connection to the worker, so that it stops running the request.
	send.Urgency = urgency(c)
	send.ResumeAfter = c.lastEventID
	sentAt := time.Now()
	response, err := f.send(sendCtx, c, send)
	if err == nil {
		c.slot.Accept()
		c.firstByteMS = time.Since(sentAt).Milliseconds()
		f.dependencies.Recorder.Observe(recorder.MeasureFirstToken, c.service.Name, c.route.Name, time.Since(sentAt))
		err = relay.relayResponse(response, worker)
	}
	endSend(err)
	return err
}

// Urgency of a request, by its route's target latency; workers run lower values first.
const (
	// urgentLatencyMS is the target latency in milliseconds up to which a route's requests are urgent.
	urgentLatencyMS = 1000
	urgencyHigh     = 3
	urgencyNormal   = 5
)

// urgency returns the urgency that is sent to the worker for a call.
func urgency(c *call) int {
	if c.route.TargetLatencyMS <= urgentLatencyMS {
		return urgencyHigh
	}
	return urgencyNormal
}

// acquireWorker returns a worker that has the call's model and adapter loaded, waiting for a load to end if need be.
func (f *Forwarder) acquireWorker(ctx context.Context, c *call) (worker *registrar.Worker, err error) {
	var endWait func()
	began := time.Now()
	defer func() {
		if endWait != nil {
			endWait()
			c.heldMS += time.Since(began).Milliseconds()
			f.dependencies.Recorder.Observe(recorder.MeasureLoadWait, c.service.Name, c.route.Name, time.Since(began))
		}
	}()
	defer func() { f.recordEstimateError(c, err) }()
	for {
		if err := f.checkCrashes(c); err != nil {
			return nil, err
		}
		if err := f.recheckKey(c); err != nil {
			return nil, err
		}
		viewChanged := f.dependencies.Tracker.Changed()
		now := time.Now()
		if c.mayCarry() && f.reach.carries(now) {
			return nil, &cutOffError{}
		}
		holders := f.matching(c, f.dependencies.Tracker.Holders(now, c.service.Name, c.Model, c.Adapter))
		if c.origin != nil && len(holders) == 0 {
			return nil, f.refuseVersion(c)
		}
		if worker := f.chooseModelWorker(now, c, holders); worker != nil {
			if !f.beginTrial(c) {
				if err := f.awaitTrial(ctx, c, f.latestStart(c)); err != nil {
					return nil, err
				}
				continue
			}
			if f.permitSend(c, worker) {
				return worker, nil
			}
			f.endTrial(c, now)
			continue // The worker is not chosen again before the time at which a permit may be had.
		}
		if f.lacksPath(c) {
			if c.mayCarry() {
				return nil, &cutOffError{}
			}
			if c.isCarried {
				return nil, f.refuseCutOff(c)
			}
		}
		if endWait == nil {
			endWait = f.dependencies.DemandCounter.StartWaiting(c.modelKey(), c.arrived.Add(c.route.TargetLatency()))
			logger.Info("request held").Str("request", c.ID).Str("model", c.Model).Str("adapter", c.Adapter).Int("holders", len(holders)).
				Int64("left_ms", time.Until(c.startDeadline()).Milliseconds()).Int("leaders", len(f.dependencies.Tracker.LiveZones(now))).Int64("expected_ms", f.expectedMS(now, c, holders)).Msg("request held")
			f.dependencies.Recorder.Count("held " + c.route.Name)
		}
		if err := f.checkWait(now, began, c, holders); err != nil {
			return nil, err
		}
		if err := f.waitForChange(ctx, c, viewChanged); err != nil {
			return nil, err
		}
	}
}

// latestStart returns until when a call may wait for the start of its response.
func (f *Forwarder) latestStart(c *call) time.Time {
	latest := c.startDeadline().Add(-responseReserve)
	if d := f.drain.Load(); d != nil && d.endsAt.Add(-streamReserve).Before(latest) {
		return d.endsAt.Add(-streamReserve)
	}
	return latest
}

// checkWait returns nil if a call may go on waiting for its model, else the error with which it ends.
func (f *Forwarder) checkWait(now, began time.Time, c *call, holders []fleettracker.Holder) error {
	latest := f.latestStart(c)
	if !now.Before(latest) {
		f.dependencies.DemandCounter.CountRefusal(c.modelKey())
		return c.refuse("not_loaded", "the model was not loaded in time", notLoadedRetry)
	}
	expected, estimated := f.estimateReady(now, c, holders)
	if estimated && c.expectedReadyAt.IsZero() {
		c.expectedReadyAt = expected
	}
	if first, blocked := f.blockedUntil(now, holders); blocked && first.retryAt.After(latest) && !estimated {
		f.dependencies.DemandCounter.CountRefusal(c.modelKey())
		return c.refuse(first.code, refusalMessages[first.code], first.retryAt.Sub(now))
	}
	if estimated && expected.After(latest) {
		f.dependencies.DemandCounter.CountRefusal(c.modelKey())
		return c.refuse("loads_late", "the model will not be loaded in time", expected.Sub(now))
	}
	if estimated || len(f.dependencies.Tracker.LiveZones(now)) > 0 {
		return nil
	}
	if f.dependencies.Isolated() {
		return c.refuse("isolated", "this node is cut off; another may load the model", isolatedRetry)
	}
	if now.Sub(began) > noLeaderWait {
		return c.refuse("no_leader", "no leader is known that could load the model", notLoadedRetry)
	}
	return nil
}

// blockedUntil returns the verdict that ends first of the workers that have the model loaded, and whether none of these may be sent a request
// because it names a limit or asks for a pause.
func (f *Forwarder) blockedUntil(now time.Time, holders []fleettracker.Holder) (first verdict, blocked bool) {
	for i := range holders {
		holder := &holders[i]
		if !holder.ReadyAt.IsZero() || !holder.HasAdapter {
			continue
		}
		verdict := f.judge(now, holder.Worker, holder.Running)
		if verdict.retryAt.IsZero() {
			return verdict, false
		}
		first = first.orEarlier(verdict)
	}
	return first, !first.retryAt.IsZero()
}

// estimateReady returns when a call's model should be ready: the earliest end of
// the loads in progress or, without one, the time that the leaders expect.
func (f *Forwarder) estimateReady(now time.Time, c *call, holders []fleettracker.Holder) (at time.Time, known bool) {
	if lo.SomeBy(holders, func(holder fleettracker.Holder) bool { return holder.ReadyAt.IsZero() }) {
		return time.Time{}, false // The model is loaded; what is missing is its adapter or a reachable worker.
	}
	if at, loading := earliestReady(holders); loading {
		return at, true
	}
	return f.dependencies.Tracker.Estimate(now, c.service.Name, c.Model)
}

// expectedMS returns the milliseconds until a call's model should be ready, or -1 without an estimate.
func (f *Forwarder) expectedMS(now time.Time, c *call, holders []fleettracker.Holder) int64 {
	at, known := f.estimateReady(now, c, holders)
	if !known {
		return -1
	}
	return at.Sub(now).Milliseconds()
}

// recordEstimateError records the absolute error of the first estimate for a held call whose model became ready.
func (f *Forwarder) recordEstimateError(c *call, err error) {
	if err != nil || c.expectedReadyAt.IsZero() {
		return
	}
	f.dependencies.Recorder.Observe(recorder.MeasureEstimate, c.service.Name, c.route.Name, time.Since(c.expectedReadyAt).Abs())
}

// earliestReady returns when the first of the loads in progress should end.
func earliestReady(holders []fleettracker.Holder) (at time.Time, loading bool) {
	for _, holder := range holders {
		if !holder.ReadyAt.IsZero() && (!loading || holder.ReadyAt.Before(at)) {
			at, loading = holder.ReadyAt, true
		}
	}
	return at, loading
}

// waitForChange waits until the tracker's view changes, a drain begins, viewPollInterval is over or ctx ends. The
// error is the one with which the call ends; it is nil unless ctx has ended.
func (f *Forwarder) waitForChange(ctx context.Context, c *call, viewChanged <-chan struct{}) error {
	draining := f.draining
	if f.drain.Load() != nil {
		draining = nil
	}
	select {
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return f.endWait(c)
		}
		return c.refuse("not_loaded", "the model was not loaded in time", notLoadedRetry)
	case <-viewChanged:
	case <-draining:
	case <-time.After(viewPollInterval):
	}
	return nil
}

// chooseModelWorker returns the worker with the least cost among those that have model and adapter loaded, or nil.
func (f *Forwarder) chooseModelWorker(now time.Time, c *call, holders []fleettracker.Holder) *registrar.Worker {
	var best *registrar.Worker
	bestCost := 0.0
	affinity, otherWorkerCost := f.affinityWorker(c, holders)
	for i := range holders {
		holder := &holders[i]
		if !holder.ReadyAt.IsZero() || !holder.HasAdapter || now.Before(c.avoidUntil[holder.Worker.ID]) {
			continue
		}
		cost, usable := f.modelCost(now, holder)
		if !usable {
			continue
		}
		if holder.Worker.ID != affinity {
			cost += otherWorkerCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = holder.Worker, cost
			c.workerLoad = holder.Running
		}
	}
	return best
}

// modelCost returns the cost of a worker from its load, zone and penalty; a worker that is not usable gets no requests.
func (f *Forwarder) modelCost(now time.Time, holder *fleettracker.Holder) (cost float64, usable bool) {
	verdict := f.judge(now, holder.Worker, holder.Running)
	if !verdict.usable {
		return 0, false
	}
	load := max(holder.Running+verdict.RecentSends, verdict.Running)
	cost = float64(load)*modelRequestCost + verdict.Penalty*modelPenaltyCost + rand.Float64()*modelCostJitter
	if holder.Worker.Zone != f.dependencies.Zone {
		cost += modelRemoteCost
	}
	if load >= holder.Worker.Slots {
		cost += modelFullCost
	}
	if verdict.limited {
		cost += modelLimitedCost
	}
	if f.seemsCutOff(now, holder.Worker.Zone) {
		cost += modelCutOffCost
	}
	return cost, true
}

// sharedTokens returns the number of tokens in the prompt's shared parts, which are all but the last.
func sharedTokens(c *call) int {
	total := 0
	for _, part := range c.PromptParts[:max(len(c.PromptParts)-1, 0)] {
		total += part.Tokens
	}
	return total
}

// affinityWorker returns the worker that rendezvous hashing assigns to a prompt's
// shared parts, so that all nodes send them to the same one; it is empty when these
// parts are short. otherWorkerCost is the cost of processing them on any other worker.
func (f *Forwarder) affinityWorker(c *call, holders []fleettracker.Holder) (worker string, otherWorkerCost float64) {
	shared := sharedTokens(c)
	if shared < minAffinityTokens {
		return "", 0
	}
	hashKey := c.Model + "/" + c.Adapter
	for _, part := range c.PromptParts[:len(c.PromptParts)-1] {
		hashKey += "\x00" + part.ID
	}
	best, bestScore := "", uint64(0)
	for i := range holders {
		if !holders[i].ReadyAt.IsZero() || !holders[i].HasAdapter {
			continue
		}
		if score := xxhash.Sum64String(holders[i].Worker.ID + "\x00" + hashKey); best == "" || score > bestScore {
			best, bestScore = holders[i].Worker.ID, score
		}
	}
	return best, promptTokenCost * float64(shared)
}
