package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/bufferer"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/selector"
)

// Cost terms of the choice among workers of a service without models, in requests in flight.
const (
	// plainRemoteCost is added for a worker in another zone: one in the local zone is preferred until its load is higher by this much.
	plainRemoteCost = 3.0
	// plainPenaltyCost is the cost of a penalty of 1, the highest; failures of the worker raise its penalty.
	plainPenaltyCost = 40.0
	// plainCutOffCost is added for a worker in a zone that seems cut off.
	plainCutOffCost = 20.0
	// plainDoubtCost is multiplied by the doubt whether the worker can be reached, which is 0 while all are.
	plainDoubtCost = 30.0
	// plainLimitedCost is added for a worker that names a limit, so that the others take what they can.
	plainLimitedCost = 12.0
)

// servePlain serves a request for a service without models. The response is read
// completely before its first byte is sent to the caller, so that an incomplete
// one can be replaced by a retry or an error.
func (f *Forwarder) servePlain(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, cancel := f.withEnd(r, c)
	defer cancel()
	if !c.isCarried { // Counted by the node that the caller reached.
		f.dependencies.Budget.CountRequest(c.arrived, c.service.Name)
		if f.dependencies.Hedger.Enabled() {
			f.dependencies.Hedger.CountRequest(c.service.Name)
		}
	}
	if err := f.findOrigin(ctx, c); err != nil {
		return err
	}
	defer f.boundWrites(w, c)()
	defer func() { f.endTrial(c, time.Now().Add(crashNewsTime)) }()
	response, carried, err := f.obtainPlain(ctx, w, c)
	if carried {
		return err
	}
	if response, err = f.bestOf(c, response, err); err == nil {
		f.passOn(w, c, response)
	}
	return err
}

// obtainPlain sends a call to workers until one brings a response that is not replaced. Carried is set if another node has served it.
func (f *Forwarder) obtainPlain(ctx context.Context, w http.ResponseWriter, c *call) (response *plainResponse, carried bool, err error) {
	latestTrial := c.arrived.Add(maxPlainTrialWait)
	for {
		if err := f.checkCrashes(c); err != nil {
			return nil, false, err
		}
		if err := f.recheckKey(c); err != nil {
			return nil, false, err
		}
		worker, err := f.choosePlainWorker(c)
		if c.mayCarry() && err != nil && f.lacksPath(c) || f.carriesNow(time.Now(), c) {
			if done, err := f.carry(ctx, w, c); done {
				return nil, true, err
			}
			continue
		}
		if err != nil && f.lacksPath(c) {
			return nil, false, f.refuseCutOff(c)
		}
		if err != nil {
			return nil, false, err
		}
		if !f.beginTrial(c) {
			if c.kept != nil {
				latestTrial = time.Now()
			}
			if err := f.awaitTrial(ctx, c, latestTrial); err != nil {
				return nil, false, err
			}
			continue
		}
		if !f.permitSend(c, worker) {
			f.endTrial(c, time.Now())
			continue // The worker is not chosen again before the time at which a permit may be had.
		}
		response, worker, err := f.sendOrHedge(ctx, c, worker)
		if err == nil {
			f.endTrial(c, time.Now())
			if !f.replaceFailed(c, worker, response) {
				return response, false, nil
			}
			var cancel context.CancelFunc // The caller must get the kept response by its deadline.
			ctx, cancel = context.WithDeadline(ctx, c.deadline.Add(-returnReserve))
			defer cancel()
			continue
		}
		if err := f.retry(ctx, c, worker, err); err != nil {
			return nil, false, err
		}
		if err := f.checkRepeat(c); err != nil {
			return nil, false, err
		}
	}
}

// sendPlain sends a request to a worker and reads the complete response. The caller releases the space of the response.
func (f *Forwarder) sendPlain(ctx context.Context, c *call, worker *registrar.Worker) (*plainResponse, error) {
	send := f.newSend(c, worker)
	endSend := f.beginSend(c, worker)
	whole := &plainResponse{send: c.sendState(), held: f.space.Hold()}
	response, err := f.send(ctx, c, send)
	if err != nil {
		endSend(err)
		return nil, err
	}
	whole.Response = response
	whole.body, err = whole.held.ReadAll(response.Body, bufferer.MaxResponseBytes)
	_ = response.Body.Close() // Read to its end or failed.
	if err != nil {
		err = NewBrokenError(worker.ID, err)
	} else {
		err = f.completePlain(c, worker, whole)
	}
	endSend(err)
	if err != nil {
		whole.held.Release()
		return nil, err
	}
	return whole, nil
}

// completePlain records a response that was read to its end. The error is a *BrokenError if it may have broken off.
func (f *Forwarder) completePlain(c *call, worker *registrar.Worker, whole *plainResponse) error {
	if err := f.checkEnd(c, worker, whole.Response, len(whole.body) == 0); err != nil {
		return NewBrokenError(worker.ID, err)
	}
	if whole.Succeeded() {
		f.recordAnswer(c)
		if hasEventStream(whole.Header) {
			f.recordOrigin(time.Now(), c, worker)
		}
	}
	return nil
}

// choosePlainWorker returns the worker of the call's service with the least cost, or an error when none can take the request.
func (f *Forwarder) choosePlainWorker(c *call) (*registrar.Worker, error) {
	now := time.Now()
	var workers []*registrar.Worker
	var candidates []selector.Candidate
	var blocked verdict // The one that ends first, of workers that are not usable; its time is zero without one.
	for _, worker := range f.dependencies.Workers.Fleet().OfService(c.service.Name) {
		verdict, obstacle := f.judgePlain(now, c, worker)
		if obstacle != "" {
			blocked = blocked.orEarlier(verdict)
			continue
		}
		if now.Before(c.avoidUntil[worker.ID]) {
			continue
		}
		workers, candidates = append(workers, worker), append(candidates, f.plainCandidate(now, worker, &verdict))
	}
	if chosen := selector.Select(candidates, rand.Float64); chosen >= 0 {
		c.pace = candidates[chosen].Pace
		return workers[chosen], nil
	}
	return nil, c.refusePlain(now, blocked)
}

// refusePlain returns the error of a call that no worker can take; blocked is the verdict that ends first, if one has a time.
func (c *call) refusePlain(now time.Time, blocked verdict) error {
	if !blocked.retryAt.IsZero() {
		return c.refuse(blocked.code, refusalMessages[blocked.code], blocked.retryAt.Sub(now))
	}
	return c.refuse("no_worker", "no worker of the service takes requests now", busyRetry)
}

// judgePlain returns why a worker of the call's service must not be sent the call, and an empty obstacle if it may. The verdict is the zero one if
// the call may not be sent there at any time.
func (f *Forwarder) judgePlain(now time.Time, c *call, worker *registrar.Worker) (verdict, obstacle) {
	switch {
	case worker.Leaving:
		return verdict{}, obstacleLeaving
	case !f.matches(c, worker):
		return verdict{}, obstacleSoftware
	}
	judged := f.judge(now, worker, -1)
	return judged, judged.obstacle()
}

// plainCandidate returns a worker with its load and pace, and the cost of its zone, penalty and limit.
func (f *Forwarder) plainCandidate(now time.Time, worker *registrar.Worker, verdict *verdict) selector.Candidate {
	candidate := selector.Candidate{
		Load:       max(verdict.ReportedLoad+verdict.RecentSends, verdict.Running),
		RecentLoad: max(verdict.DecayedLoad+float64(verdict.RecentSends), float64(verdict.Running)),
		Slots:      worker.Slots, Pace: verdict.Pace, Surcharge: verdict.Penalty * plainPenaltyCost,
	}
	candidate.Surcharge += plainDoubtCost * f.reach.Doubt(now, whereIs(worker))
	if worker.Zone != f.dependencies.Zone {
		candidate.Surcharge += plainRemoteCost
	}
	if f.seemsCutOff(now, worker.Zone) {
		candidate.Surcharge += plainCutOffCost
	}
	if verdict.limited {
		candidate.Surcharge += plainLimitedCost
	}
	return candidate
}

// Limits of the retries of one call.
const (
	// avoidFull, avoidUnreachable and avoidBroken are how long a call avoids a worker that was full, was unreachable, or failed otherwise.
	avoidFull        = 80 * time.Millisecond
	avoidUnreachable = 1 * time.Second
	avoidBroken      = 10 * time.Second
	// maxSends is the number of sends from which on a send that did not run is not retried.
	maxSends = 8
	// minResendTime is the minimum time left until the deadline for another send.
	minResendTime = 20 * time.Millisecond
	// resendPause is the pause before the next send after one that did not run.
	resendPause = 5 * time.Millisecond
)

// retry returns nil when a call may be sent once more after a failed send, else the error with which it ends.
func (f *Forwarder) retry(ctx context.Context, c *call, worker *registrar.Worker, err error) error {
	now := time.Now()
	var notRun *NotRunError
	f.logFailedSend(c, worker, err)
	if errors.As(err, &notRun) && notRun.reason == ReasonUncleared && c.sends < maxSends {
		f.endTrial(c, now)
		return nil // The check before the next choice of a worker decides.
	}
	if errors.As(err, &notRun) {
		return f.handleNotRun(ctx, c, worker, notRun)
	}
	c.avoidUntil[worker.ID] = now.Add(avoidBroken)
	if ctx.Err() == nil {
		f.reach.Break(whereIs(worker))
	}
	if ctx.Err() != nil {
		f.endTrial(c, now.Add(crashNewsTime))
		f.logNoCrash(c, worker, ctx.Err().Error())
		f.watchBrokenSend(c, worker, false)
		return newFailure(http.StatusGatewayTimeout, "late", "the worker did not answer in time: "+err.Error())
	}
	crashed := f.recordCrash(c, worker)
	if crashed {
		f.endTrial(c, now.Add(crashNewsTime))
	} else {
		f.endTrial(c, now.Add(crashShownWithin))
	}
	if c.origin != nil && !crashed {
		c.avoidUntil[worker.ID] = now.Add(avoidOrigin)
	}
	if !f.mayRepeat(c) || c.ledger.MayHaveRun() >= c.route.MaxAttempts || c.deadline.Sub(now) < minResendTime {
		return newFailure(http.StatusBadGateway, "broken", err.Error())
	}
	if err := f.checkCrashes(c); err != nil && !c.awaitsClearing() {
		return err
	}
	if !f.allowRetry(now, c) {
		return newFailure(http.StatusBadGateway, "no_budget", "the budget for repeated sends is spent: "+err.Error())
	}
	if err := f.chargeRepeat(ctx, c); err != nil {
		f.returnRetry(time.Now(), c)
		return err
	}
	f.dependencies.Recorder.Count("sends repeated")
	logger.Info("send repeated").Str("request", c.ID).Int("sends", c.sends).Int("runs", c.ledger.MayHaveRun()).Str("after_event", c.lastEventID).
		Int64("left_ms", c.deadline.Sub(now).Milliseconds()).Msg("send repeated")
	return nil
}

// logFailedSend records and logs the error of the last send.
func (f *Forwarder) logFailedSend(c *call, worker *registrar.Worker, err error) {
	var notRun *NotRunError
	c.tries.fail(c.ID, err)
	f.logForeign(c, worker, err)
	evidence := c.tries.evidence()
	logger.Info("send failed").Str("request", c.ID).Str("worker", worker.ID).Str("software", worker.Software).Int("send", c.tries.number()).Str("after_event", c.lastEventID).Int64("age_ms", c.stateAgeMS).
		Bool("not_run", errors.As(err, &notRun)).Str("answered_request", clip(evidence.ReceivedID())).Str("connection", evidence.Kind()).Str("address", evidence.Address()).Int64("connection_number", evidence.Connection()).
		Int("earlier", evidence.Earlier()).Err(err).Msg("send failed")
}

// allowRetry reports whether a call may be sent to a worker, by this node or another: none has got it yet, or the retry budget allows one
// more send. It logs the budget's decision.
func (f *Forwarder) allowRetry(now time.Time, c *call) bool {
	if !c.reached || c.retryAllowed {
		return true
	}
	allowed, left := f.dependencies.Budget.AllowRetry(now, c.service.Name)
	f.dependencies.Recorder.Count(lo.Ternary(allowed, "retries allowed ", "retries denied ") + c.service.Name)
	logger.Info("retry decided").Str("request", c.ID).Str("service", c.service.Name).Bool("allowed", allowed).Float64("left", left).Int("sends", c.sends).Int("runs", c.ledger.MayHaveRun()).
		Bool("passed_on", c.carryTried).Bool("for_other", c.isCarried).Msg("retry decided")
	c.retryAllowed = allowed
	return allowed
}

// returnRetry gives back a retry that allowRetry has allowed and that is not sent.
func (f *Forwarder) returnRetry(now time.Time, c *call) {
	if !c.retryAllowed {
		return // The call needed none.
	}
	c.retryAllowed = false
	f.dependencies.Budget.ReturnRetry(now, c.service.Name)
	f.dependencies.Recorder.Count("retries returned " + c.service.Name)
	logger.Info("retry returned").Str("request", c.ID).Str("service", c.service.Name).Int("sends", c.sends).Msg("retry returned")
}

// handleNotRun returns nil when a call that a worker certainly did not run may be sent once more, else the error with which it ends.
func (f *Forwarder) handleNotRun(ctx context.Context, c *call, worker *registrar.Worker, notRun *NotRunError) error {
	f.recordNotRun(ctx, c, worker, notRun)
	refusal := c.refuse("full", notRun.Error(), busyRetry)
	now := time.Now()
	if ctx.Err() != nil || c.deadline.Sub(now) < minResendTime || c.sends >= maxSends {
		return refusal
	}
	if !f.allowRetry(now, c) {
		return refusal
	}
	time.Sleep(resendPause)
	return nil
}

// recordNotRun records what a worker that certainly did not run a call tells of itself.
func (f *Forwarder) recordNotRun(ctx context.Context, c *call, worker *registrar.Worker, notRun *NotRunError) {
	now := time.Now()
	if notRun.reason == ReasonUncleared { // Nothing was sent, which tells nothing of the worker.
		f.endTrial(c, now)
		return
	}
	f.reportLoad(worker, notRun.load)
	f.observePause(c, worker, notRun.pauseS)
	if notRun.reason != ReasonReplaced {
		f.dependencies.Limiter.ObserveBrittle(now, worker.Service, worker.ID, notRun.brittle)
	}
	if notRun.perSecond != nil && notRun.reason != ReasonReplaced {
		f.observeLimit(c, worker, notRun.perSecond) // A rejection without a limit does not end one.
	}
	if notRun.reason == ReasonFull {
		f.endTrial(c, now.Add(crashNewsTime))
	} else {
		f.endTrial(c, now)
	}
	switch notRun.reason {
	case ReasonNotLoaded:
		f.dependencies.Tracker.MarkRefused(now, worker.ID, c.Model, c.Adapter)
	case ReasonFull:
		f.dependencies.Limiter.Rejected(now, worker.Service, worker.ID)
		c.avoidUntil[worker.ID] = now.Add(avoidFull)
	case ReasonUnreachable:
		if ctx.Err() == nil { // Else the call has ended while it was connecting.
			f.recordLoss(now, c, worker)
		}
		f.dependencies.Assessor.MarkUnreachable(now, worker.ID)
		c.avoidUntil[worker.ID] = now.Add(avoidUnreachable)
	default:
		c.avoidUntil[worker.ID] = now.Add(avoidBroken)
	}
	if notRun.reason != ReasonUnreachable {
		f.reach.Hear(now, whereIs(worker))
	}
}
