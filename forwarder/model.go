package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/demandcounter"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
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

// maxAdapterBytes is the largest length of an adapter's name, the same as that of a key in the platform's store.
const maxAdapterBytes = 200

// serveModel serves a request for a model, waiting for a worker that has the model loaded if need be.
func (f *Forwarder) serveModel(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, cancel := f.withEnd(r, c)
	defer cancel()
	if !c.isCarried { // Counted by the node that the caller reached.
		f.dependencies.Budget.CountRequest(c.arrived, c.service.Name)
	}
	if err := c.checkModel(); err != nil {
		return err
	}
	if c.service.Models[c.Model].HasAdapter != nil { // The configuration has the adapter.
		f.dependencies.DemandCounter.Admit(c.modelKey())
	}
	if !c.isCarried {
		f.dependencies.DemandCounter.CountArrival(c.modelKey())
	}
	if err := f.findOrigin(ctx, c); err != nil {
		return err
	}
	defer f.boundWrites(w, c)()
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
			return relay.endError(f.endFull(c, err, retryErr))
		}
		if !relay.canContinue() {
			return relay.endError(err)
		}
	}
}

// checkModel returns the error with which a call for a model ends that no worker can ever have loaded.
func (c *call) checkModel() error {
	model, known := c.service.Models[c.Model]
	if !known {
		// Not a 404, since a newer configuration may have the model.
		return c.refuse("no_model", "the service has no such model", configurationRetry)
	}
	if len(c.Adapter) > maxAdapterBytes || c.Adapter != "" && model.HasAdapter != nil && !model.HasAdapter(c.Adapter) {
		return c.refuse("no_adapter", "the model has no such adapter", configurationRetry) // As above.
	}
	if needed := model.MemoryMB + lo.Ternary(c.Adapter == "", 0, model.AdapterMB); c.service.MemoryMB > 0 && needed > c.service.MemoryMB {
		message := fmt.Sprintf("the model and the adapter need %.0f MB; a worker of the service has %.0f MB", needed, c.service.MemoryMB)
		return c.refuse("too_large", message, configurationRetry)
	}
	return nil
}

// sendModel sends a request to a worker and relays the response.
func (f *Forwarder) sendModel(ctx context.Context, c *call, worker *registrar.Worker, relay *relay) error {
	send := f.newSend(c, worker)
	endSend := f.beginSend(c, worker)
	endRun := f.dependencies.DemandCounter.StartRunning(demandcounter.RunKey{Worker: worker.ID, Model: c.Model})
	defer endRun()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel() // Closes the connection to the worker, so that it stops running the request.
	send.Urgency = f.urgency(c)
	send.ResumeAfter = c.lastEventID
	sentAt := time.Now()
	response, err := f.send(sendCtx, c, send)
	if err == nil {
		c.slot.Accept()
		f.acceptPlace(c)
		if response.Succeeded() {
			f.dependencies.DemandCounter.Admit(c.modelKey())
		}
		c.firstByteMS = time.Since(sentAt).Milliseconds()
		f.dependencies.Recorder.Observe(recorder.MeasureFirstToken, c.service.Name, c.route.Name, time.Since(sentAt))
		err = relay.relayResponse(response, worker)
	}
	endSend(err)
	f.endPlace(c, err)
	return err
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
	defer func() {
		if worker == nil {
			f.releasePlace(c)
		}
	}()
	for {
		if err := f.checkCrashes(c); err != nil {
			if !c.awaitsClearing() {
				return nil, err
			}
			if err := f.awaitTrial(ctx, c, f.latestFor(c.eventDeadline())); err != nil {
				return nil, err
			}
			continue
		}
		if err := f.recheckKey(c); err != nil {
			return nil, err
		}
		viewChanged := f.dependencies.Tracker.Changed()
		now := time.Now()
		if f.wouldCarry(now, c) {
			return nil, &cutOffError{}
		}
		holders := f.matching(c, f.dependencies.Tracker.Holders(now, c.service.Name, c.Model, c.Adapter))
		if c.origin != nil && len(holders) == 0 {
			return nil, f.refuseVersion(c)
		}
		worker, full := f.pickModelWorker(now, c, holders)
		if worker != nil && f.carriesNow(now, c) {
			return nil, &cutOffError{}
		}
		if worker != nil {
			if !f.beginTrial(c) {
				f.releasePlace(c)
				if err := f.awaitTrial(ctx, c, f.latestStart(c)); err != nil {
					return nil, err
				}
				continue
			}
			if f.permitSend(c, worker) {
				return worker, nil
			}
			f.releasePlace(c)
			f.endTrial(c, now)
			continue // The worker is not chosen again before the time at which a permit may be had.
		}
		if full {
			if endWait == nil {
				endWait = f.beginPlaceWait(c, len(holders))
			}
			if err := f.checkPlaceWait(now, c, holders); err != nil {
				return nil, err
			}
			if err := f.waitForChange(ctx, c, viewChanged); err != nil {
				return nil, err
			}
			continue
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
func (f *Forwarder) latestStart(c *call) time.Time { return f.latestFor(c.startDeadline()) }

// latestFor returns until when a call may wait whose next event, or response, must begin by a time.
func (f *Forwarder) latestFor(due time.Time) time.Time {
	latest := due.Add(-responseReserve)
	if d := f.drain.Load(); d != nil && d.endsAt.Add(-streamReserve).Before(latest) {
		return d.endsAt.Add(-streamReserve)
	}
	return latest
}

// checkWait returns nil if a call may go on waiting for its model, else the error with which it ends.
func (f *Forwarder) checkWait(now, began time.Time, c *call, holders []fleettracker.Holder) error {
	expected, estimated := f.estimateReady(now, c, holders)
	if estimated && c.expectedReadyAt.IsZero() && now.Before(f.latestStart(c)) {
		c.expectedReadyAt = expected
	}
	isLack, err := f.judgeWait(now, began, c, holders)
	if isLack {
		f.dependencies.DemandCounter.CountRefusal(c.modelKey())
	}
	return err
}

// judgeWait returns what checkWait does; isLack is set if the call ends for lack of workers, which leaders are told.
func (f *Forwarder) judgeWait(now, began time.Time, c *call, holders []fleettracker.Holder) (isLack bool, err error) {
	latest := f.latestStart(c)
	if !now.Before(latest) {
		return true, c.refuse("not_loaded", "the model was not loaded in time", notLoadedRetry)
	}
	expected, estimated := f.estimateReady(now, c, holders)
	if first, blocked := f.blockedUntil(now, holders); blocked && first.retryAt.After(latest) && !estimated {
		return true, c.refuse(first.code, refusalMessages[first.code], first.retryAt.Sub(now))
	}
	if estimated && expected.After(latest) {
		return true, c.refuse("loads_late", "the model will not be loaded in time", expected.Sub(now))
	}
	if estimated || len(f.dependencies.Tracker.LiveZones(now)) > 0 {
		return false, nil
	}
	if f.dependencies.Isolated() {
		return false, c.refuse("isolated", "this node is cut off; another may load the model", isolatedRetry)
	}
	if now.Sub(began) > noLeaderWait {
		return false, c.refuse("no_leader", "no leader is known that could load the model", notLoadedRetry)
	}
	return false, nil
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
	case <-c.place.grants():
	case <-time.After(lo.Ternary(c.place == nil, viewPollInterval, placePollInterval)):
	}
	return nil
}
