package conductor

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/placer"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// Times of orders.
const (
	// orderTime bounds the wait for an order's answer.
	orderTime = 800 * time.Millisecond
	// reportTime bounds the wait for a report.
	reportTime = 800 * time.Millisecond
	// orderPoll is the pause between two tries of an order that waits for another to end.
	orderPoll = 25 * time.Millisecond
	// unloadLimit is how long an unload may take: its runs end by themselves.
	unloadLimit = 6 * time.Second
	// loadSlack is how much longer than expected a load from a copy may take before it counts as one from the store;
	// it leaves time for a report.
	loadSlack = 600 * time.Millisecond
	// loadFactor is how many times longer than expected a load from the store may take.
	loadFactor = 3
	// firstRetry and lastRetry bound the pause after moves that failed.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// SwapError says why a move was not carried out.
type SwapError struct {
	// order is what was ordered, outcome what became of it.
	order   Order
	outcome Outcome
	// underWay is set when the worker was busy and its count of orders as expected.
	underWay bool
	// cause is nil when the worker answered.
	cause error
}

// Error names the order and the outcome.
func (e *SwapError) Error() string {
	verb := "load"
	if e.order.Unload {
		verb = "unload"
	}
	text := fmt.Sprintf("%s of %q after %d orders: %s", verb, e.order.Model, e.order.Expected, e.outcome)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *SwapError) Unwrap() error { return e.cause }

// swap carries a move out.
func (c *Conductor) swap(epoch int64, known *charge, model cataloger.Model, move placer.Move) {
	began := time.Now()
	w := c.workerOf(known)
	for _, victim := range move.Victims {
		if err := c.order(epoch, known, w, Order{Unload: true, Model: victim}); err != nil {
			c.swapFailed(epoch, known, err)
			return
		}
	}
	if err := c.orderLoad(epoch, known, w, model, move); err != nil {
		c.swapFailed(epoch, known, err)
		return
	}
	ordered := time.Now()
	if err := c.awaitLoad(epoch, known, w, model, move.Tier); err != nil {
		c.swapFailed(epoch, known, err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch != epoch {
		return
	}
	now := time.Now()
	known.units[model.Name] = newHeldUnit(nil, now)
	known.units[model.Name].usedAt = now
	c.endSwap(now, known)
	known.failures = 0
	c.learnStore(model, move, now.Sub(ordered))
	log.Info().Str("worker", w.ID).Str("model", model.Name).Str("tier", move.Tier.String()).Int64("unload_ms", ordered.Sub(began).Milliseconds()).
		Int64("load_ms", now.Sub(ordered).Milliseconds()).Int64("orders", known.orders).Int64("epoch", epoch).Msg("load done")
}

// learnStore takes in how long a load from the weight store took; the caller holds mu.
func (c *Conductor) learnStore(model cataloger.Model, move placer.Move, took time.Duration) {
	if move.Tier != placer.TierStore {
		return
	}
	before := c.atOnce.limit
	c.atOnce.ended(took, time.Duration(model.StoreMS)*time.Millisecond, move.StoreUnderWay+1)
	if c.atOnce.limit != before {
		log.Info().Int("at_once", c.atOnce.limit).Int("before", before).Int("under_way", move.StoreUnderWay+1).
			Int64("took_ms", took.Milliseconds()).Float64("expected_ms", model.StoreMS).Msg("loads from the weight store at once")
	}
}

func (c *Conductor) workerOf(known *charge) *registrar.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return known.worker
}

// endSwap makes a worker open for the next move; the caller holds mu.
func (c *Conductor) endSwap(now time.Time, known *charge) {
	c.touch(known.worker.ID, known.loading)
	known.swapping = false
	known.loading = ""
	known.changedAt = now
	c.flush()
	c.Kick()
}

// swapFailed ends a move whose outcome must be read from the worker.
func (c *Conductor) swapFailed(epoch int64, known *charge, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	log.Warn().Str("worker", known.worker.ID).Int64("epoch", epoch).Err(err).Msg("load not done")
	c.parts.Recorder.Count("loads failed")
	if c.epoch != epoch {
		return
	}
	now := time.Now()
	known.doubt(now)
	c.endSwap(now, known)
}

// give sends one order with the worker's present count and takes in an
// acceptance. An order that is repeated while it is carried out is accepted
// again but not counted by the worker.
func (c *Conductor) give(epoch int64, known *charge, w *registrar.Worker, order Order, repeated bool) (Outcome, error) {
	known.giving.Lock()
	defer known.giving.Unlock()
	c.mu.Lock()
	if c.epoch != epoch {
		c.mu.Unlock()
		return OutcomeRefused, &SwapError{order: order, outcome: OutcomeRefused}
	}
	order.Holder, order.Fence, order.Expected = c.parts.Node, epoch, known.orders
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), orderTime)
	defer cancel()
	outcome, err := c.parts.Order(ctx, w, order, func() error { return c.parts.Lease.CheckOrder(epoch) })
	c.parts.Recorder.Count("orders " + outcome.String())
	// An adapter is unloaded at once, which is answered like an order that holds already, but counted.
	counted := outcome == OutcomeAccepted || outcome == OutcomeHolds && order.Unload && order.Adapter != ""
	if counted && !repeated {
		c.mu.Lock()
		known.orders++
		known.changedAt = time.Now()
		c.mu.Unlock()
	}
	if err != nil || outcome == OutcomeReplaced || outcome == OutcomeRefused {
		return outcome, &SwapError{order: order, outcome: outcome, cause: err}
	}
	return outcome, nil
}

// order gives an order, waiting for another one that is under way.
func (c *Conductor) order(epoch int64, known *charge, w *registrar.Worker, order Order) error {
	tries := newConflicts(time.Now().Add(unloadLimit))
	for {
		outcome, err := c.give(epoch, known, w, order, false)
		if err != nil {
			return err
		}
		if outcome != OutcomeConflict {
			return nil
		}
		if err := c.afterConflict(known, w, order, tries); err != nil {
			return err
		}
	}
}

// orderLoad gives the load once the victims are gone.
func (c *Conductor) orderLoad(epoch int64, known *charge, w *registrar.Worker, model cataloger.Model, move placer.Move) error {
	if err := c.order(epoch, known, w, Order{Model: model.Name}); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known.readyAt = time.Now().Add(time.Duration(tierMS(model)[move.Tier]) * time.Millisecond)
	c.touch(w.ID, model.Name)
	c.flush()
	return nil
}

// patience is how long an order may meet conflicts before a report is read,
// which tells a worker that is busy from one whose count differs.
const patience = 400 * time.Millisecond

// reportLag is how old what a report says may be.
const reportLag = 250 * time.Millisecond // The platform speaks of some hundred milliseconds.

// conflicts is the state of an order that is tried again until it is taken.
type conflicts struct {
	// deadline is when the order is given up, reportAt when the next report is read.
	deadline, reportAt time.Time
	// busy is set once a report has shown that the worker carries the order out.
	busy bool
}

func newConflicts(deadline time.Time) *conflicts {
	return &conflicts{deadline: deadline, reportAt: time.Now().Add(patience)}
}

// afterConflict waits before an order is tried again, or returns why it must not be.
func (c *Conductor) afterConflict(known *charge, w *registrar.Worker, order Order, tries *conflicts) error {
	c.mu.Lock()
	order.Expected = known.orders
	born := known.born
	c.mu.Unlock()
	now := time.Now()
	if now.After(tries.reportAt) {
		tries.reportAt = now.Add(patience)
		ctx, cancel := context.WithTimeout(context.Background(), reportTime)
		defer cancel()
		report, err := c.parts.Report(ctx, w)
		if err != nil {
			return &SwapError{order: order, outcome: OutcomeConflict, cause: err}
		}
		if report.Orders != order.Expected || report.Born != born || !report.Busy {
			return &SwapError{order: order, outcome: OutcomeConflict}
		}
		tries.busy = true
	}
	// After the report, so that a node that was slow does not give up what it has not looked at.
	if now.After(tries.deadline) {
		return &SwapError{order: order, outcome: OutcomeConflict, underWay: tries.busy}
	}
	time.Sleep(orderPoll)
	return nil
}

// awaitLoad returns once a load has ended. A worker that is still busy with it
// when it should have ended had no copy of the weights any more and fetches them
// from the store.
func (c *Conductor) awaitLoad(epoch int64, known *charge, w *registrar.Worker, model cataloger.Model, tier placer.Tier) error {
	ordered := time.Now()
	c.mu.Lock()
	expected := known.readyAt.Sub(ordered)
	c.mu.Unlock()
	time.Sleep(expected)
	order := Order{Model: model.Name}
	fromStore := time.Duration(model.StoreMS) * time.Millisecond
	if tier == placer.TierStore {
		return c.awaitHolds(epoch, known, w, order, ordered.Add(loadFactor*expected))
	}
	err := c.awaitHolds(epoch, known, w, order, ordered.Add(expected+loadSlack))
	if !isUnderWay(err) {
		return err
	}
	c.mu.Lock()
	known.readyAt = ordered.Add(fromStore)
	c.touch(w.ID, model.Name)
	c.flush()
	c.mu.Unlock()
	log.Warn().Str("worker", w.ID).Str("model", model.Name).Int64("expected_ms", expected.Milliseconds()).Int64("store_ms", fromStore.Milliseconds()).
		Int64("epoch", epoch).Msg("load takes longer than its copy would")
	return c.awaitHolds(epoch, known, w, order, ordered.Add(loadFactor*fromStore))
}

// isUnderWay reports whether an order failed only because the worker was still busy with it at the deadline.
func isUnderWay(err error) bool {
	var failed *SwapError
	return errors.As(err, &failed) && failed.outcome == OutcomeConflict && failed.underWay
}

// awaitHolds repeats an order until the worker answers that it holds; reports lag.
func (c *Conductor) awaitHolds(epoch int64, known *charge, w *registrar.Worker, order Order, deadline time.Time) error {
	tries := newConflicts(deadline)
	for {
		outcome, err := c.give(epoch, known, w, order, true)
		if err != nil {
			return err
		}
		if outcome == OutcomeHolds {
			return nil
		}
		if err := c.afterConflict(known, w, order, tries); err != nil {
			return err
		}
	}
}

// resync reads a worker's report after an order whose outcome is not known.
func (c *Conductor) resync(epoch int64, known *charge) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTime)
	defer cancel()
	w := c.workerOf(known)
	report, err := c.parts.Report(ctx, w)
	c.mu.Lock()
	defer c.mu.Unlock()
	known.reporting = false
	if c.epoch != epoch {
		return
	}
	now := time.Now()
	if err != nil {
		known.doubt(now)
		log.Warn().Str("worker", w.ID).Err(err).Msg("worker does not report")
		return
	}
	known.adoptReport(now, report)
	if known.unsure {
		known.retryAt = now.Add(firstRetry)
	}
	log.Info().Str("worker", w.ID).Int64("orders", report.Orders).Bool("busy", report.Busy).Strs("models", known.models()).Msg("worker's state read")
	c.touch(w.ID, known.models()...)
	c.flush()
	c.Kick()
}
