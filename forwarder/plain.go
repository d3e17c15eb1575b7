package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// Costs of a worker of a plain service, in requests in progress.
const (
	// remoteCost is how much longer a queue in the own zone may be before another zone is taken.
	remoteCost = 3.0
	// penaltyCost is the cost of a worker that lost all its traffic by failures.
	penaltyCost = 40.0
	// silentPlainCost is the cost of a zone that seems cut off.
	silentPlainCost = 20.0
	// hopelessCost is the cost from which a request is refused at once: no worker could be reached lately.
	hopelessCost = 1000.0
	// fullCost is the cost of a worker whose slots are taken, so that a free one is preferred anywhere.
	fullCost = 8.0
)

// servePlain takes a request to a plain service. The answer is read whole
// before its first byte is passed on, so that a broken one can be told.
func (f *Forwarder) servePlain(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	f.parts.Budget.Earn(c.arrived, c.service.Name)
	for {
		worker, err := f.choosePlain(c)
		if err != nil {
			return err
		}
		answer, body, err := f.sendPlain(ctx, c, worker)
		if err == nil {
			copyHeader(w.Header(), answer.Header)
			w.WriteHeader(answer.Status)
			_, _ = w.Write(body) // A caller that left is seen by its context.
			return nil
		}
		if err := f.again(ctx, c, worker, err); err != nil {
			return err
		}
	}
}

// sendPlain sends a request once and reads the whole answer.
func (f *Forwarder) sendPlain(ctx context.Context, c *call, worker *registrar.Worker) (*Answer, []byte, error) {
	end := f.begin(c, worker)
	answer, err := f.parts.Send(ctx, c.Request, f.sendOf(c, worker))
	if err != nil {
		end(err)
		return nil, nil, err
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close() // Read to its end or broken.
	if err != nil {
		err = NewBrokenError(worker.ID, err)
		end(err)
		return nil, nil, err
	}
	f.tell(worker, answer.Load)
	end(nil)
	return answer, body, nil
}

// sendOf returns the attempt at a worker.
func (f *Forwarder) sendOf(c *call, worker *registrar.Worker) Send {
	return Send{Worker: worker, Deadline: c.deadline.Add(-returnTime), Urgency: -1, Once: !c.route.Repeatable()}
}

// returnTime is how long before the deadline a worker must have answered.
const returnTime = 15 * time.Millisecond

// begin counts a send and returns the function that counts its end.
func (f *Forwarder) begin(c *call, worker *registrar.Worker) (end func(error)) {
	c.sends++
	c.worker, c.ageMS = worker.ID, f.ageOf(worker).Milliseconds()
	f.parts.Assessor.Begin(time.Now(), worker.ID)
	log.Debug().Str("request", c.ID).Str("worker", worker.ID).Int("send", c.sends).Int64("left_ms", time.Until(c.deadline).Milliseconds()).
		Int64("age_ms", c.ageMS).Msg("request sent")
	return func(err error) { f.judge(c, worker, f.blames(c, err)) }
}

// ageOf returns the age of the newest that was heard of a worker.
func (f *Forwarder) ageOf(worker *registrar.Worker) time.Duration {
	heardAt := worker.SeenAt
	if announcement := f.parts.View.Announcement(worker.ID); announcement != nil && announcement.HeardAt.After(heardAt) {
		heardAt = announcement.HeardAt
	}
	return time.Since(heardAt)
}

// judge takes in how a send ended, and logs a worker that loses its traffic or gets it back.
func (f *Forwarder) judge(c *call, worker *registrar.Worker, failed bool) {
	change, penalty := f.parts.Assessor.End(time.Now(), worker.ID, failed)
	if change == assessor.Unchanged {
		return
	}
	f.parts.Recorder.Count("workers " + change.String())
	logger.Info("worker judged").Str("request", c.ID).Str("worker", worker.ID).Str("change", change.String()).Float64("penalty", penalty).Msg("worker judged")
}

// blames reports whether a failed send speaks against the worker.
func (f *Forwarder) blames(c *call, err error) bool {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return notRun.reason == ReasonUnreachable || notRun.reason == ReasonReplaced || notRun.reason == ReasonFull && !c.service.RunsModels()
	}
	return err != nil && !errors.Is(err, context.Canceled)
}

func (f *Forwarder) tell(worker *registrar.Worker, load *Load) {
	if load != nil {
		f.parts.Assessor.Tell(time.Now(), worker.ID, load.Running+load.Waiting)
	}
}

// choosePlain returns the worker of the call's service with the least cost.
func (f *Forwarder) choosePlain(c *call) (*registrar.Worker, error) {
	now := time.Now()
	var best *registrar.Worker
	bestCost := 0.0
	for _, worker := range f.parts.List.Fleet().Of(c.service.Name) {
		if worker.Leaving || now.Before(c.avoid[worker.ID]) {
			continue
		}
		if cost := f.plainCost(now, worker); best == nil || cost < bestCost {
			best, bestCost = worker, cost
		}
	}
	if best != nil && bestCost < hopelessCost {
		return best, nil
	}
	return nil, f.without(c, newRefusal("no_worker", "no worker of the service takes requests now", busyRetry))
}

// plainCost weighs a worker by its load, zone and evidence. A small random part
// keeps nodes that see the same loads apart.
func (f *Forwarder) plainCost(now time.Time, worker *registrar.Worker) float64 {
	known := f.parts.Assessor.Assess(now, worker.ID)
	load := float64(max(known.Told+known.Recent, known.Running))
	cost := load + known.Penalty*penaltyCost + rand.Float64()
	if worker.Zone != f.parts.Zone {
		cost += remoteCost
	}
	if load >= float64(worker.Slots) {
		cost += fullCost
	}
	if f.isSilent(now, worker.Zone) {
		cost += silentPlainCost
	}
	if known.Out {
		cost += hopelessCost
	}
	return cost
}

// without returns the end of a call that finds no worker: a refusal is true
// only if no earlier send may have run.
func (f *Forwarder) without(c *call, refusal *FailureError) error {
	if c.runs > 0 {
		return newFailure(http.StatusBadGateway, "broken", "an earlier attempt may have run: "+refusal.message)
	}
	return refusal
}

// Times for which a worker that did not serve a call is avoided by it.
const (
	avoidFull      = 80 * time.Millisecond
	avoidUnreached = 1 * time.Second
	avoidBroken    = 10 * time.Second
	maxSends       = 8
	resendLeast    = 20 * time.Millisecond
	resendPause    = 5 * time.Millisecond
)

// again returns nil when a call may be sent once more, else its end.
func (f *Forwarder) again(ctx context.Context, c *call, worker *registrar.Worker, err error) error {
	now := time.Now()
	logger.Info("send failed").Str("request", c.ID).Str("worker", worker.ID).Int("send", c.sends).Int64("age_ms", c.ageMS).Err(err).Msg("send failed")
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return f.afterNotRun(ctx, c, worker, notRun)
	}
	c.runs++
	c.avoid[worker.ID] = now.Add(avoidBroken)
	if ctx.Err() != nil {
		return newFailure(http.StatusGatewayTimeout, "late", "the worker did not answer in time: "+err.Error())
	}
	f.afterBreak(c, worker)
	if !c.route.Repeatable() || c.runs >= c.route.Attempts || c.deadline.Sub(now) < resendLeast {
		return newFailure(http.StatusBadGateway, "broken", err.Error())
	}
	if err := f.checkSuspect(c); err != nil {
		return newFailure(http.StatusBadGateway, "crashes_workers", err.Error())
	}
	if !f.parts.Budget.Spend(now, c.service.Name) {
		return newFailure(http.StatusBadGateway, "no_budget", "the budget for repeated sends is spent: "+err.Error())
	}
	f.parts.Recorder.Count("sends repeated")
	logger.Info("send repeated").Str("request", c.ID).Int("sends", c.sends).Int("runs", c.runs).Str("after_event", c.lastEvent).
		Int64("left_ms", c.deadline.Sub(now).Milliseconds()).Msg("send repeated")
	return nil
}

// afterNotRun decides on a call that a worker surely did not run.
func (f *Forwarder) afterNotRun(ctx context.Context, c *call, worker *registrar.Worker, notRun *NotRunError) error {
	now := time.Now()
	f.tell(worker, notRun.load)
	switch notRun.reason {
	case ReasonAbsent:
		f.parts.View.SetAbsent(now, worker.ID, c.Model, c.Adapter)
	case ReasonFull:
		c.avoid[worker.ID] = now.Add(avoidFull)
	case ReasonUnreachable:
		f.parts.Assessor.Unreached(now, worker.ID)
		c.avoid[worker.ID] = now.Add(avoidUnreached)
	default:
		c.avoid[worker.ID] = now.Add(avoidBroken)
	}
	refusal := newRefusal("full", notRun.Error(), busyRetry)
	if ctx.Err() != nil || c.deadline.Sub(now) < resendLeast || c.sends >= maxSends {
		return f.without(c, refusal)
	}
	if notRun.reason != ReasonUnreachable && !f.parts.Budget.Spend(now, c.service.Name) {
		return f.without(c, refusal)
	}
	time.Sleep(resendPause)
	return nil
}
