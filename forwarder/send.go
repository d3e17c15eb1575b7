package forwarder

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/bufferer"
	"github.com/acaciaproxy/acaciaproxy/limiter"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/prover"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// send sends a request to a worker and records what the head of its response tells of the worker. A status that promises that the request has not
// run becomes a *BrokenError: a worker that says so of a request is reported as a *NotRunError.
func (f *Forwarder) send(ctx context.Context, c *call, send Send) (*Response, error) {
	response, err := f.dependencies.Send(ctx, c.Request, send)
	if err != nil {
		return nil, err
	}
	f.hear(send.Worker, response)
	if err := f.recordHead(c, send.Worker, response); err != nil {
		_ = response.Body.Close() // Unread bytes are discarded.
		return nil, err
	}
	return response, nil
}

// recordHead records what the head of the response to the last send tells of the worker. The error is a *BrokenError for a status that promises that
// the request has not run.
func (f *Forwarder) recordHead(c *call, worker *registrar.Worker, response *Response) error {
	c.tries.respond(response)
	f.reportLoad(worker, response.Load)
	f.observeLimit(c, worker, response.PerSecond)
	f.observePause(c, worker, response.PauseS)
	f.dependencies.Limiter.ObserveBrittle(time.Now(), worker.Service, worker.ID, response.Brittle)
	if prover.Promises(response.Status) {
		f.dependencies.Recorder.Count("refusals without a proof")
		return NewBrokenError(worker.ID, &UnprovedRefusalError{status: response.Status})
	}
	return nil
}

// newSend returns the parameters of a send of a call to a worker, without urgency.
func (f *Forwarder) newSend(c *call, worker *registrar.Worker) Send {
	return Send{Worker: worker, Deadline: c.deadline.Add(-returnReserve), Urgency: -1, NotRetryable: !f.mayRepeat(c), Check: f.newSendCheck(c)}
}

// mayRepeat reports whether a call may be sent again although a send of it may have run: its route allows that, by the configuration with which the call
// arrived, by the newest one, and at the node that passed it on. While no configuration is in force, it may not.
func (f *Forwarder) mayRepeat(c *call) bool {
	if c.once || !c.route.Retryable() {
		return false
	}
	newest := f.dependencies.Catalog()
	if newest == nil {
		return false // A starting node's configuration has turned out to be older than those of its peers.
	}
	if newest.Version() == c.catalog.Version() {
		return true
	}
	path, _, _ := strings.Cut(c.Target, "?")
	route, found := newest.Find(c.Host, path)
	return found && route.Retryable()
}

// returnReserve is how long before the call's deadline the worker's deadline is, so that its response reaches the caller in time.
const returnReserve = 15 * time.Millisecond

// beginSend counts a send and returns the function that records its end.
func (f *Forwarder) beginSend(c *call, worker *registrar.Worker) (endSend func(error)) {
	c.sends++
	f.useTrial(c)
	c.ledger.Begin()
	c.tries.begin(c.sends, worker)
	c.sentAt, c.events = time.Now(), 0
	c.worker, c.software, c.stateAgeMS = worker.ID, worker.Software, f.stateAge(worker).Milliseconds()
	if c.pace > 0 {
		f.dependencies.Recorder.Count("workers chosen by pace " + c.service.Name)
	}
	f.dependencies.Assessor.BeginSend(time.Now(), worker.ID)
	f.reach.Try(c.sentAt, whereIs(worker))
	perSecond, limited := f.dependencies.Limiter.PerSecond(worker.ID, worker.Incarnation)
	if c.limitPerSecond = perSecond; limited {
		f.dependencies.Recorder.Count("sends to limited workers")
	}
	log.Debug().Str("request", c.ID).Str("worker", worker.ID).Int("send", c.sends).Int64("left_ms", time.Until(c.deadline).Milliseconds()).
		Int64("age_ms", c.stateAgeMS).Msg("request sent")
	slot := c.slot
	endSilence := func() bool { return false }
	if slot != nil {
		endSilence = time.AfterFunc(limiter.SilenceTime, slot.Accept).Stop
	}
	return func(err error) {
		endSilence()
		var notRun *NotRunError
		isNotRun := errors.As(err, &notRun)
		if isNotRun {
			c.ledger.Prove(notRun.proof)
		}
		slot.End(isNotRun && notRun.reason == ReasonFull)
		if !isNotRun || notRun.reason != ReasonUnreachable && notRun.reason != ReasonUncleared {
			c.reached, c.retryAllowed = true, false
		} else {
			c.permission = c.usedPermission
		}
		c.usedPermission = nil
		f.recordOutcome(c, worker, f.isWorkerFault(c, err))
	}
}

// stateAge returns the age of the newest information about a worker, from its heartbeat or a leader's announcement.
func (f *Forwarder) stateAge(worker *registrar.Worker) time.Duration {
	updatedAt := worker.SeenAt
	if announcement := f.dependencies.Tracker.Announcement(worker.ID); announcement != nil && announcement.ReceivedAt.After(updatedAt) {
		updatedAt = announcement.ReceivedAt
	}
	return time.Since(updatedAt)
}

// recordOutcome reports the end of a send to the assessor, and logs a worker that is ejected or reinstated by it.
func (f *Forwarder) recordOutcome(c *call, worker *registrar.Worker, failed bool) {
	change, penalty := f.dependencies.Assessor.EndSend(time.Now(), worker.ID, failed)
	if change == assessor.Unchanged {
		return
	}
	f.dependencies.Recorder.Count("workers " + change.String())
	logger.Info("worker judged").Str("request", c.ID).Str("worker", worker.ID).Str("change", change.String()).Float64("penalty", penalty).Msg("worker judged")
}

// isWorkerFault reports whether the error of a send counts as a failure of the worker.
func (f *Forwarder) isWorkerFault(c *call, err error) bool {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return notRun.reason == ReasonUnreachable || notRun.reason == ReasonReplaced || notRun.reason == ReasonFull && !c.service.RunsModels()
	}
	var oversized *bufferer.OversizedError
	if errors.As(err, &oversized) && oversized.Shared() { // This node lacks the space, whichever worker responds.
		return false
	}
	return err != nil && !errors.Is(err, context.Canceled)
}

// observeLimit passes on the limit that a worker's response to the last send names, or nil.
func (f *Forwarder) observeLimit(c *call, worker *registrar.Worker, perSecond *float64) {
	f.dependencies.Limiter.Observe(time.Now(), c.sentAt, worker.ID, worker.Incarnation, perSecond)
}

// reportLoad reports a worker's load and pace to the assessor, unless load is nil.
func (f *Forwarder) reportLoad(worker *registrar.Worker, load *Load) {
	if load != nil {
		now := time.Now()
		f.dependencies.Assessor.ReportLoad(now, worker.ID, load.Running+load.Waiting)
		f.dependencies.Assessor.ReportPace(now, worker.ID, load.Pace)
	}
}
