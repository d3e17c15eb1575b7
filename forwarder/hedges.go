package forwarder

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/acaciaproxy/acaciaproxy/bufferer"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/hedger"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/prover"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// flight is a send that runs in a goroutine of its own, so that another one can run beside it. Only the goroutine that serves the call touches the
// call; the flight's goroutine has what it needs in the flight and hands it over at its end.
type flight struct {
	worker  *registrar.Worker
	endSend func(error)
	cancel  context.CancelFunc
	begunAt time.Time
	hedged  bool
	// headArrived is set once the head of a response has arrived. Awaited ends with that, or with the send.
	headArrived atomic.Bool
	awaited     context.Context
	// whole is the response; its Response is nil without a head. Err is the error of the send or of reading the body. Both are the goroutine's until
	// the flight has ended.
	whole *plainResponse
	err   error
}

// startFlight begins a send of a call to a worker; the flight is sent to ended when it has ended.
func (f *Forwarder) startFlight(ctx context.Context, c *call, worker *registrar.Worker, ended chan<- *flight) *flight {
	request, send := c.Request, f.newSend(c, worker)
	endSend := f.beginSend(c, worker)
	ctx, cancel := context.WithCancel(ctx)
	awaited, endAwaited := context.WithCancel(ctx)
	whole := &plainResponse{send: c.sendState(), held: f.space.Hold()}
	started := &flight{worker: worker, endSend: endSend, cancel: cancel, begunAt: time.Now(), awaited: awaited, whole: whole}
	go func() {
		started.whole.Response, started.err = f.dependencies.Send(ctx, request, send)
		started.headArrived.Store(started.err == nil)
		endAwaited()
		if started.err == nil {
			f.hear(worker, started.whole.Response)
			if !prover.Promises(started.whole.Status) { // Else it is not used.
				started.whole.body, started.err = started.whole.held.ReadAll(started.whole.Body, bufferer.MaxResponseBytes)
				if started.err != nil {
					started.err = NewBrokenError(worker.ID, started.err)
				}
			}
			_ = started.whole.Body.Close() // Read to its end, failed or not used.
		}
		ended <- started
	}()
	return started
}

// finishFlight records the end of a flight that has ended, and returns its response. Whether the response may have broken off is found out only if
// it is used.
func (f *Forwarder) finishFlight(c *call, ended *flight, used bool) (*plainResponse, error) {
	ended.cancel()
	whole, err := ended.whole, ended.err
	c.resume(whole.send)
	c.tries.resume(whole.send.number)
	if whole.Response != nil {
		if headErr := f.recordHead(c, ended.worker, whole.Response); headErr != nil {
			err = headErr
		}
	}
	if err == nil && used {
		err = f.completePlain(c, ended.worker, whole)
	}
	ended.endSend(err)
	if err != nil {
		whole.held.Release()
		return nil, err
	}
	return whole, nil
}

// settleTime is how long a call with a response waits for the end of its other send, which is cancelled: long enough for what the other has learned
// to be accounted for, too short for the caller to notice.
const settleTime = 5 * time.Millisecond

// settleFlight cancels the send that is not used and records its end.
func (f *Forwarder) settleFlight(ctx context.Context, c *call, lost *flight, ended <-chan *flight) {
	lost.cancel()
	if !lost.hedged && f.hedges(c) {
		f.dependencies.Hedger.Observe(time.Now(), c.service.Name, c.route.Name, time.Since(lost.begunAt))
	}
	select {
	case <-ended:
		var notRun *NotRunError
		if errors.As(lost.err, &notRun) && notRun.reason == ReasonUnreachable {
			lost.err = NewBrokenError(lost.worker.ID, context.Canceled) // It was cancelled while it was connecting.
		}
		if whole, err := f.finishFlight(c, lost, false); err == nil {
			whole.held.Release()
		} else {
			f.recordFailure(ctx, c, lost.worker, err)
		}
	case <-time.After(settleTime):
		c.resume(lost.whole.send)
		c.tries.resume(lost.whole.send.number)
		cancelled := NewBrokenError(lost.worker.ID, context.Canceled)
		c.tries.fail(c.ID, cancelled)
		lost.endSend(cancelled)
		go func() { (<-ended).whole.held.Release() }()
	}
}

// hedges reports whether the latencies of a call's route are measured and it may get a hedged send.
func (f *Forwarder) hedges(c *call) bool {
	return f.dependencies.Hedger.Enabled() && c.route.Kind == cataloger.KindIdempotent && f.mayRepeat(c)
}

// sendOrHedge sends a call to a worker, and to a second one if the first takes longer than usual. It returns the response that is used, and the
// worker that has sent it or with whose failure the attempt ended.
func (f *Forwarder) sendOrHedge(ctx context.Context, c *call, worker *registrar.Worker) (*plainResponse, *registrar.Worker, error) {
	if !f.hedges(c) {
		response, err := f.sendPlain(ctx, c, worker)
		return response, worker, err
	}
	begunAt := time.Now()
	wait, known := f.dependencies.Hedger.Wait(begunAt, c.service.Name, c.route.Name)
	var response *plainResponse
	var err error
	if known && c.trial == nil {
		response, worker, begunAt, err = f.race(ctx, c, worker, wait)
	} else {
		response, err = f.sendPlain(ctx, c, worker)
	}
	if err == nil {
		f.dependencies.Hedger.Observe(time.Now(), c.service.Name, c.route.Name, time.Since(begunAt))
	}
	return response, worker, err
}

// race sends a call to a worker and, if that takes longer than wait, to a second one. BegunAt is when the send began that the result is of.
func (f *Forwarder) race(ctx context.Context, c *call, worker *registrar.Worker, wait time.Duration) (response *plainResponse, from *registrar.Worker,
	begunAt time.Time, err error,
) {
	ended := make(chan *flight, 2)
	first := f.startFlight(ctx, c, worker, ended)
	result := func(of *flight, response *plainResponse, err error) (*plainResponse, *registrar.Worker, time.Time, error) {
		if of.hedged && err == nil {
			c.hedge = "won"
			f.dependencies.Recorder.Count("hedged sends won " + c.service.Name)
		}
		return response, of.worker, of.begunAt, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ended:
		response, err = f.finishFlight(c, first, true)
		return result(first, response, err)
	case <-timer.C:
	}
	second := f.startHedge(ctx, c, first, wait, ended)
	if second == nil {
		<-ended
		response, err = f.finishFlight(c, first, true)
		return result(first, response, err)
	}
	earlier, later := <-ended, first
	if earlier == first {
		later = second
	}
	response, err = f.finishFlight(c, earlier, true)
	if err == nil && !(response.Status == failedStatus && f.dependencies.RepeatFailed) {
		f.settleFlight(ctx, c, later, ended)
		return result(earlier, response, nil)
	}
	if err != nil {
		f.recordFailure(ctx, c, earlier.worker, err)
		<-ended
	} else {
		select {
		case <-ended:
		case <-time.After(time.Until(c.deadline.Add(-returnReserve))): // The caller must get the failed response by its deadline.
			f.settleFlight(ctx, c, later, ended)
			return result(earlier, response, nil)
		}
		c.avoidUntil[earlier.worker.ID] = time.Now().Add(avoidBroken)
		f.keep(c, response)
	}
	response, err = f.finishFlight(c, later, true)
	return result(later, response, err)
}

// startHedge sends a call to a second worker, unless that is denied; then it returns nil.
func (f *Forwarder) startHedge(ctx context.Context, c *call, first *flight, wait time.Duration, ended chan<- *flight) *flight {
	slot, reached, retryAllowed := c.slot, c.reached, c.retryAllowed
	retryTaken := false
	avoidUntil := c.avoidUntil[first.worker.ID]
	c.avoidUntil[first.worker.ID] = c.deadline
	worker, err := f.choosePlainWorker(c)
	c.avoidUntil[first.worker.ID] = avoidUntil
	denied := f.dependencies.Hedger.Decide(time.Now(), hedger.Situation{
		Service: c.service.Name, MayHaveRun: c.ledger.MayHaveRun(), MaxAttempts: c.route.MaxAttempts, Deadline: c.deadline,
		Checks: []hedger.Check{
			{Reason: "attempts", Allows: func() bool { return c.sends < maxSends }},
			{Reason: "begun", Allows: func() bool { return !first.headArrived.Load() }},
			{Reason: "repeat", Allows: func() bool { return f.mayRepeat(c) }},
			{Reason: "suspected", Allows: func() bool { return f.checkCrashes(c) == nil && len(c.crashVerdict.OnTrial()) == 0 }},
			{Reason: "worker", Allows: func() bool { return err == nil }},
			{Reason: "full", Allows: func() bool { return !f.isFull(worker) }},
			{Reason: "limited", Allows: func() bool { return !f.judge(time.Now(), worker, -1).limited }},
			{Reason: "permit", Allows: func() bool { return f.permitSend(c, worker) }},
			{Reason: "budget", Allows: func() bool {
				c.reached, c.retryAllowed = true, false // The first send may have reached its worker.
				retryTaken = f.allowRetry(time.Now(), c)
				return retryTaken
			}},
			// The first response must not wait for the tokens of a send that it makes superfluous.
			{Reason: "allowance", Allows: func() bool { return f.chargeRepeat(first.awaited, c) == nil }},
			{Reason: "begun", Allows: func() bool { return first.awaited.Err() == nil }},
		},
	})
	if denied != "" && retryTaken {
		f.returnRetry(time.Now(), c)
	}
	c.reached, c.retryAllowed = reached, retryAllowed
	if denied != "" {
		if c.slot != slot {
			c.slot.End(false)
			c.slot = slot
		}
		c.resume(first.whole.send)
		c.hedge = "denied " + denied
		f.dependencies.Recorder.Count("hedged sends denied " + denied)
		return nil
	}
	c.hedge = "sent"
	f.dependencies.Recorder.Count("hedged sends sent " + c.service.Name)
	second := f.startFlight(ctx, c, worker, ended)
	second.hedged = true
	logger.Info("hedged send").Str("request", c.ID).Str("service", c.service.Name).Str("worker", worker.ID).Str("slow_worker", first.worker.ID).
		Int("send", c.sends).Int64("wait_ms", wait.Milliseconds()).Int64("left_ms", time.Until(c.deadline).Milliseconds()).Msg("hedged send")
	return second
}

// isFull reports whether all slots of a worker are known to be taken.
func (f *Forwarder) isFull(worker *registrar.Worker) bool {
	verdict := f.judge(time.Now(), worker, -1)
	return max(verdict.ReportedLoad+verdict.RecentSends, verdict.Running) >= worker.Slots
}

// recordFailure records what a failed send tells of its worker while the call does not depend on it: another send goes on, or has brought the
// response.
func (f *Forwarder) recordFailure(ctx context.Context, c *call, worker *registrar.Worker, err error) {
	if errors.Is(err, context.Canceled) {
		c.tries.fail(c.ID, err)
		return
	}
	var notRun *NotRunError
	f.logFailedSend(c, worker, err)
	if errors.As(err, &notRun) {
		f.recordNotRun(ctx, c, worker, notRun)
	} else {
		c.avoidUntil[worker.ID] = time.Now().Add(avoidBroken)
		f.watchBrokenSend(c, worker, ctx.Err() == nil)
	}
}

// resume makes the try of a send the last one, so that respond and fail record its end.
func (t *tries) resume(number int) {
	for i := range t.last {
		if t.last[i].number == number {
			resumed := t.last[i]
			t.last = append(slices.Delete(t.last, i, i+1), resumed)
			return
		}
	}
}
