package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/tallier"
	"github.com/acaciaproxy/acaciaproxy/viewer"
)

// Costs of a worker that has the model, in milliseconds until the first event.
const (
	// runCost is the cost of each request in the worker's batch.
	runCost = 4.0
	// remoteModelCost is the cost of another zone.
	remoteModelCost = 30.0
	// modelPenaltyCost is the cost of a worker that lost all its traffic by failures.
	modelPenaltyCost = 3000.0
	// tokenCost is the cost of a prompt token that must be read anew.
	tokenCost = 0.033
	// noise is the random part, which keeps nodes that see the same loads apart.
	noise = 8.0
	// affinityTokens is the number of shared tokens from which a prompt is sent where its parts likely are.
	affinityTokens = 1000
	// silentCost is the cost of a zone that seems cut off.
	silentCost = 150.0
	// jumpCost is the cost of running beyond a worker's slots.
	jumpCost = 1000.0
)

// Times of waiting for a model.
const (
	// answerReserve is the time that a request needs at a worker once its model is ready.
	answerReserve = 250 * time.Millisecond
	// blindWait is how long a request waits while no zone has a leader that could load its model.
	blindWait = 350 * time.Millisecond
	// lookAgain is the longest pause between two looks at the view.
	lookAgain = 100 * time.Millisecond
)

// serveModel takes a request to a worker that has its model, waiting for one if need be.
func (f *Forwarder) serveModel(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	f.parts.Budget.Earn(c.arrived, c.service.Name)
	f.parts.Tally.Ask(c.key())
	if _, known := c.service.Models[c.Model]; !known {
		// A newer configuration may have it, so this is no 404.
		return newRefusal("no_model", "the service has no such model", startRetry)
	}
	relay := &relay{forwarder: f, writer: w, call: c}
	for {
		worker, err := f.acquire(ctx, c)
		if err != nil {
			return relay.ended(err)
		}
		err = f.sendModel(ctx, c, worker, relay)
		if err == nil {
			return nil
		}
		if err := f.again(ctx, c, worker, err); err != nil {
			return relay.ended(err)
		}
	}
}

// sendModel sends a request once and relays the answer.
func (f *Forwarder) sendModel(ctx context.Context, c *call, worker *registrar.Worker, relay *relay) error {
	end := f.begin(c, worker)
	endRun := f.parts.Tally.Run(tallier.RunKey{Worker: worker.ID, Model: c.Model})
	defer endRun()
	attempt, cancel := context.WithCancel(ctx)
	defer cancel() // Closes the worker's connection, so that it stops work.
	send := f.sendOf(c, worker)
	send.Urgency = urgencyOf(c)
	send.ResumeAfter = c.lastEvent
	sentAt := time.Now()
	answer, err := f.parts.Send(attempt, c.Request, send)
	if err == nil {
		f.tell(worker, answer.Load)
		c.firstMS = time.Since(sentAt).Milliseconds()
		f.parts.Recorder.Observe(recorder.MeasureFirst, c.service.Name, c.route.Name, time.Since(sentAt))
		err = relay.pass(answer, worker)
	}
	end(err)
	return err
}

// Urgencies by what a route promises; lower goes first.
const (
	urgentAim    = 1000 // milliseconds
	urgencyFirst = 3
	urgencyUsual = 5
)

// urgencyOf returns a call's urgency at the worker.
func urgencyOf(c *call) int {
	if c.route.AimMS <= urgentAim {
		return urgencyFirst
	}
	return urgencyUsual
}

// acquire returns a worker that has the call's model ready, waiting for a load if need be.
func (f *Forwarder) acquire(ctx context.Context, c *call) (worker *registrar.Worker, err error) {
	var endWait func()
	began := time.Now()
	defer func() {
		if endWait != nil {
			endWait()
			c.heldMS += time.Since(began).Milliseconds()
			f.parts.Recorder.Observe(recorder.MeasureCold, c.service.Name, c.route.Name, time.Since(began))
		}
	}()
	defer func() { f.checkEstimate(c, err) }()
	for {
		changed := f.parts.View.Changed()
		now := time.Now()
		holders := f.parts.View.Holders(now, c.service.Name, c.Model, c.Adapter)
		if worker := f.choose(now, c, holders); worker != nil {
			return worker, nil
		}
		if endWait == nil {
			endWait = f.parts.Tally.Wait(c.key(), c.arrived.Add(c.route.Aim()))
			logger.Info("request held").Str("request", c.ID).Str("model", c.Model).Str("adapter", c.Adapter).Int("holders", len(holders)).
				Int64("left_ms", time.Until(c.firstBy()).Milliseconds()).Int("leaders", len(f.parts.View.Zones(now))).Int64("expected_ms", f.expectedMS(now, c, holders)).Msg("request held")
			f.parts.Recorder.Count("held " + c.route.Name)
		}
		if err := f.mayWait(now, began, c, holders); err != nil {
			return nil, err
		}
		if err := f.pause(ctx, c, changed); err != nil {
			return nil, err
		}
	}
}

// mayWait returns why a call must not wait any longer, or nil.
func (f *Forwarder) mayWait(now, began time.Time, c *call, holders []viewer.Holder) error {
	latest := c.firstBy().Add(-answerReserve)
	if end := f.drainEnd.Load(); end != nil && end.Add(-streamReserve).Before(latest) {
		latest = end.Add(-streamReserve)
	}
	if !now.Before(latest) {
		f.parts.Tally.Refuse(c.key())
		return f.without(c, newRefusal("not_loaded", "the model was not loaded in time", swapRetry))
	}
	expected, estimated := f.estimate(now, c, holders)
	if estimated && c.expectedAt.IsZero() {
		c.expectedAt = expected
	}
	if estimated && expected.After(latest) {
		f.parts.Tally.Refuse(c.key())
		return f.without(c, newRefusal("loads_late", "the model will not be loaded in time", expected.Sub(now)))
	}
	if estimated || len(f.parts.View.Zones(now)) > 0 {
		return nil
	}
	if f.parts.Isolated() {
		return f.without(c, newRefusal("isolated", "this node is cut off; another may load the model", otherRetry))
	}
	if now.Sub(began) > blindWait {
		return f.without(c, newRefusal("no_leader", "no leader is known that could load the model", swapRetry))
	}
	return nil
}

// estimate returns when a call's model should be ready: by the load under way,
// or by what the leaders expect while none is.
func (f *Forwarder) estimate(now time.Time, c *call, holders []viewer.Holder) (at time.Time, known bool) {
	if lo.SomeBy(holders, func(holder viewer.Holder) bool { return holder.ReadyAt.IsZero() }) {
		return time.Time{}, false // The model is there; an adapter, or a worker that can be reached, is not.
	}
	if at, coming := earliest(holders); coming {
		return at, true
	}
	return f.parts.View.Expected(now, c.service.Name, c.Model)
}

// expectedMS returns in how many milliseconds a call's model should be ready, or -1 when nobody knows yet.
func (f *Forwarder) expectedMS(now time.Time, c *call, holders []viewer.Holder) int64 {
	at, known := f.estimate(now, c, holders)
	if !known {
		return -1
	}
	return at.Sub(now).Milliseconds()
}

// checkEstimate records by how much the first estimate of a held call's model was wrong.
func (f *Forwarder) checkEstimate(c *call, err error) {
	if err != nil || c.expectedAt.IsZero() {
		return
	}
	f.parts.Recorder.Observe(recorder.MeasureEstimate, c.service.Name, c.route.Name, time.Since(c.expectedAt).Abs())
}

// earliest returns when the first load under way should end.
func earliest(holders []viewer.Holder) (at time.Time, coming bool) {
	for _, holder := range holders {
		if !holder.ReadyAt.IsZero() && (!coming || holder.ReadyAt.Before(at)) {
			at, coming = holder.ReadyAt, true
		}
	}
	return at, coming
}

// pause waits for a change of the view.
func (f *Forwarder) pause(ctx context.Context, c *call, changed <-chan struct{}) error {
	draining := f.draining
	if f.drainEnd.Load() != nil {
		draining = nil
	}
	select {
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return newFailure(http.StatusServiceUnavailable, "caller_left", "the caller left while its request was held")
		}
		return f.without(c, newRefusal("not_loaded", "the model was not loaded in time", swapRetry))
	case <-changed:
	case <-draining:
	case <-time.After(lookAgain):
	}
	return nil
}

// choose returns the worker with the least cost among those that have model and adapter ready, or nil.
func (f *Forwarder) choose(now time.Time, c *call, holders []viewer.Holder) *registrar.Worker {
	var best *registrar.Worker
	bestCost := 0.0
	preferred, elsewhereCost := f.preferred(c, holders)
	for i := range holders {
		holder := &holders[i]
		if !holder.ReadyAt.IsZero() || !holder.HasAdapter || now.Before(c.avoid[holder.Worker.ID]) {
			continue
		}
		cost, usable := f.modelCost(now, holder)
		if !usable {
			continue
		}
		if holder.Worker.ID != preferred {
			cost += elsewhereCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = holder.Worker, cost
			c.load = holder.Running
		}
	}
	return best
}

// modelCost weighs a worker by its load, zone and evidence.
func (f *Forwarder) modelCost(now time.Time, holder *viewer.Holder) (cost float64, usable bool) {
	known := f.parts.Assessor.Assess(now, holder.Worker.ID)
	if known.Out {
		return 0, false
	}
	load := max(holder.Running+known.Recent, known.Running)
	cost = float64(load)*runCost + known.Penalty*modelPenaltyCost + rand.Float64()*noise
	if holder.Worker.Zone != f.parts.Zone {
		cost += remoteModelCost
	}
	if load >= holder.Worker.Slots {
		cost += jumpCost
	}
	if f.isSilent(now, holder.Worker.Zone) {
		cost += silentCost
	}
	return cost, true
}

// isSilent reports whether another zone seems cut off: its leader was not heard of lately.
func (f *Forwarder) isSilent(now time.Time, zone string) bool {
	return zone != f.parts.Zone && !f.parts.View.Live(now, zone)
}

// sharedTokens returns the tokens of the prompt's shared parts.
func sharedTokens(c *call) int {
	total := 0
	for _, part := range c.Parts[:max(len(c.Parts)-1, 0)] {
		total += part.Tokens
	}
	return total
}

// preferred returns the worker that rendezvous hashing assigns to a prompt's
// shared parts, if these are long, so that all nodes send them to the same one,
// and what it costs to read them anew elsewhere.
func (f *Forwarder) preferred(c *call, holders []viewer.Holder) (worker string, elsewhereCost float64) {
	shared := sharedTokens(c)
	if shared < affinityTokens {
		return "", 0
	}
	parts := c.Model + "/" + c.Adapter
	for _, part := range c.Parts[:len(c.Parts)-1] {
		parts += "\x00" + part.ID
	}
	best, bestScore := "", uint64(0)
	for i := range holders {
		if !holders[i].ReadyAt.IsZero() || !holders[i].HasAdapter {
			continue
		}
		if score := xxhash.Sum64String(holders[i].Worker.ID + "\x00" + parts); best == "" || score > bestScore {
			best, bestScore = holders[i].Worker.ID, score
		}
	}
	return best, tokenCost * float64(shared)
}
