package fleetleader

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

// Timing of orders.
const (
	// orderTimeout is how long the response to an order and its repetitions is awaited.
	orderTimeout = 800 * time.Millisecond
	// reportTimeout is how long a report is awaited.
	reportTimeout = 800 * time.Millisecond
	// unloadTimeout is how long an unload may take, as the model's running requests end by themselves. It bounds the
	// retries of each order while another is in progress.
	unloadTimeout = 6 * time.Second
	// copyLoadSlack is how much longer than expected a load from a copy may take before it counts as a load from the
	// weight store; it leaves time to read a report.
	copyLoadSlack = 600 * time.Millisecond
	// storeLoadFactor is how many times its expected duration a load from the weight store may take: that many loads may
	// share a store that serves one at full speed.
	storeLoadFactor = maxLoadLimit
	// minRetryPause and maxRetryPause bound the pause after a failure.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 2 * time.Second
)

// OrderError is returned when an order was not executed or its execution could not be confirmed.
type OrderError struct {
	// order is the order and outcome the worker's last response to it.
	order   Order
	outcome Outcome
	// stillBusy is set if, at the deadline, a report had shown the worker busy with the expected order count.
	stillBusy bool
	// cause is the error of the order or of a report; it is nil if the worker's response itself is the failure.
	cause error
}

// Error names the operation, the model, the expected order count, the outcome and the cause.
func (e *OrderError) Error() string {
	verb := "load"
	if e.order.Unload {
		verb = "unload"
	}
	text := fmt.Sprintf("%s of model %q at order count %d failed, outcome %s", verb, e.order.Model, e.order.ExpectedOrderCount, e.outcome)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause; it may be nil.
func (e *OrderError) Unwrap() error { return e.cause }

// executeMove unloads the victims of a move, loads its model and waits until the load has ended.
func (l *Leader) executeMove(epoch int64, state *workerState, model cataloger.Model, move placer.Move) {
	began := time.Now()
	w := l.workerOf(state)
	var before Order
	for _, victim := range move.Victims {
		unload := Order{Unload: true, Model: victim}
		if err := l.sendWithRetry(epoch, state, w, newDelivery(unload), before); err != nil {
			l.failMove(epoch, state, err)
			return
		}
		before = unload
	}
	sending := newDelivery(Order{Model: model.Name})
	if err := l.orderLoad(epoch, state, w, model, move, sending, before); err != nil {
		l.failMove(epoch, state, err)
		return
	}
	ordered := sending.startedAt(time.Now())
	if err := l.awaitLoad(epoch, state, w, model, move.Tier, sending); err != nil {
		l.failMove(epoch, state, err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch != epoch {
		return
	}
	now := time.Now()
	state.loadedModels[model.Name] = newLoadedModel(nil, now)
	state.loadedModels[model.Name].lastUsedAt = now
	l.endMove(now, state)
	state.failures = 0
	l.recordStoreLoad(model, move, now.Sub(ordered))
	log.Info().Str("worker", w.ID).Str("model", model.Name).Str("tier", move.Tier.String()).Int64("unload_ms", ordered.Sub(began).Milliseconds()).
		Int64("load_ms", now.Sub(ordered).Milliseconds()).Int64("orders", state.orderCount).Int64("epoch", epoch).Msg("load done")
}

// recordStoreLoad adapts the limit of concurrent loads after a load from the weight store; the caller holds mu.
func (l *Leader) recordStoreLoad(model cataloger.Model, move placer.Move, took time.Duration) {
	if move.Tier != placer.TierStore {
		return
	}
	before := l.storeThrottle.limit
	l.storeThrottle.recordLoad(took, time.Duration(model.StoreMS)*time.Millisecond, move.StoreLoadsInProgress+1)
	if l.storeThrottle.limit != before {
		log.Info().Int("at_once", l.storeThrottle.limit).Int("before", before).Int("under_way", move.StoreLoadsInProgress+1).
			Int64("took_ms", took.Milliseconds()).Float64("expected_ms", model.StoreMS).Msg("loads from the weight store at once")
	}
}

func (l *Leader) workerOf(state *workerState) *registrar.Worker {
	l.mu.Lock()
	defer l.mu.Unlock()
	return state.worker
}

// endMove ends the move of a worker, so that the next can start; the caller holds mu.
func (l *Leader) endMove(now time.Time, state *workerState) {
	l.markChanged(state.worker.ID, state.loadingModel)
	state.moveActive = false
	state.loadingModel = ""
	state.awaited = Order{}
	state.changedAt = now
	l.notifyFollowers()
	l.Wake()
}

// failMove ends a failed move; the worker's state must then be read from a report.
func (l *Leader) failMove(epoch int64, state *workerState, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	log.Warn().Str("worker", state.worker.ID).Int64("epoch", epoch).Err(err).Msg("load not done")
	l.dependencies.Recorder.Count("loads failed")
	if l.epoch != epoch {
		return
	}
	now := time.Now()
	state.recordFailure(now)
	l.endMove(now, state)
}

// sendOrder sends an order with the worker's current order count, again if no response arrives. The count rises once it is certain that the worker
// has accepted the order; the worker does not count an order again that is repeated while it executes it.
func (l *Leader) sendOrder(epoch int64, state *workerState, w *registrar.Worker, sending *delivery) (Outcome, error) {
	state.orderMu.Lock()
	defer state.orderMu.Unlock()
	order := sending.order
	l.mu.Lock()
	if l.epoch != epoch {
		l.mu.Unlock()
		return OutcomeRefused, &OrderError{order: order, outcome: OutcomeRefused}
	}
	order.Holder, order.Fence, order.ExpectedOrderCount = l.dependencies.Node, epoch, state.orderCount
	sending.follow(state.orderCount, state.incarnation)
	l.mu.Unlock()
	outcome, err := l.deliver(epoch, w, order, sending)
	if sending.receive(time.Now(), outcome) {
		l.mu.Lock()
		state.orderCount++
		state.changedAt = time.Now()
		l.mu.Unlock()
	}
	if err != nil || outcome == OutcomeReplaced || outcome == OutcomeRefused {
		return outcome, &OrderError{order: order, outcome: outcome, cause: err}
	}
	return outcome, nil
}

// sendWithRetry sends an order, retrying for up to unloadTimeout while the worker is busy with the order before, which
// unloads a model or an adapter; busyWith is that order, or the zero value. An unload that may have been accepted without a response is repeated
// until the worker responds that it is done, as the next order needs its memory; a load may still be in progress.
func (l *Leader) sendWithRetry(epoch int64, state *workerState, w *registrar.Worker, sending *delivery, busyWith Order) error {
	began := time.Now()
	asking := newInquiry(began, began.Add(unloadTimeout), nil)
	if busyWith.Unload && busyWith.Adapter == "" {
		time.Sleep(idleUnloadTime)
	}
	for {
		l.expectNews(state, busyWith)
		outcome, err := l.sendOrder(epoch, state, w, sending)
		if err != nil {
			return err
		}
		if outcome != OutcomeConflict {
			return nil
		}
		accepted := !sending.acceptedAt.IsZero()
		if err := l.waitAfterConflict(state, w, sending, asking); err != nil {
			return err
		}
		if sending.acceptedAt.IsZero() || accepted {
			continue
		}
		if !sending.order.Unload {
			return nil
		}
		busyWith, asking.deadline = sending.order, time.Now().Add(unloadTimeout)
	}
}

// orderLoad orders a move's load after the order before, which unloads the last of its victims, and updates when it should end.
func (l *Leader) orderLoad(
	epoch int64, state *workerState, w *registrar.Worker, model cataloger.Model, move placer.Move, sending *delivery, before Order,
) error {
	if err := l.sendWithRetry(epoch, state, w, sending, before); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	takes := loadTimesMS(model)[move.Tier]
	if move.Tier == placer.TierStore {
		takes = max(takes, move.LoadMS)
	}
	state.readyAt = sending.startedAt(time.Now()).Add(time.Duration(takes) * time.Millisecond)
	l.markChanged(w.ID, model.Name)
	l.notifyFollowers()
	return nil
}

// maxReportAge is how old the state in a report may be.
const maxReportAge = 250 * time.Millisecond // The platform specifies a few hundred milliseconds.

// waitAfterConflict waits before an order is repeated; it returns an error if the order must not be repeated. It returns at once if a report newly
// proves that the order was accepted and no unload is in progress.
func (l *Leader) waitAfterConflict(state *workerState, w *registrar.Worker, sending *delivery, asking *inquiry) error {
	order := sending.order
	l.mu.Lock()
	order.ExpectedOrderCount = state.orderCount
	sending.follow(state.orderCount, state.incarnation)
	l.mu.Unlock()
	now := time.Now()
	if sending.uncertain() && sending.acceptedAt.IsZero() {
		// The report decides what the conflict is due to, and is read as soon as it must be newer than the first attempt.
		asking.reportBy(sending.unansweredAt.Add(maxReportAge))
	}
	if now.After(asking.reportAt) {
		asking.readAt, asking.reportAt = now, now.Add(conflictReportPause)
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		report, err := l.dependencies.ReadReport(ctx, w)
		if err != nil {
			return &OrderError{order: order, outcome: OutcomeConflict, cause: err}
		}
		accepted := !sending.acceptedAt.IsZero()
		proved := sending.judge(now, report)
		l.recordVerdict(w, sending, report, proved)
		if proved == verdictLost {
			return &OrderError{order: order, outcome: OutcomeConflict}
		}
		asking.busy = asking.busy || proved != verdictOpen && report.Busy
		if proved == verdictAccepted && !accepted && (!order.Unload || !report.Busy) {
			return nil
		}
	}
	// Checked after the report, so that a node that was slow reads a report before it gives up.
	if now.After(asking.deadline) {
		return &OrderError{order: order, outcome: OutcomeConflict, stillBusy: asking.busy}
	}
	l.awaitNews(state, asking.nextAt(now))
	return nil
}

// awaitLoad waits until a load has ended. If a load from a copy is still in progress
// copyLoadSlack after its expected end, the worker no longer had the copy and
// fetches the weights from the weight store; the deadline is extended to match.
func (l *Leader) awaitLoad(epoch int64, state *workerState, w *registrar.Worker, model cataloger.Model, tier placer.Tier, sending *delivery) error {
	if sending.done {
		return nil
	}
	ordered := sending.startedAt(time.Now())
	ends := loadEnds(ordered, model, tier)
	time.Sleep(time.Until(ends[0]))
	expected := time.Duration(loadTimesMS(model)[tier]) * time.Millisecond
	if tier == placer.TierStore {
		return l.awaitDone(epoch, state, w, sending, newStoreInquiry(ordered, expected, ends))
	}
	err := l.awaitDone(epoch, state, w, sending, newInquiry(ordered, ordered.Add(expected+copyLoadSlack), ends))
	if !isStillBusy(err) {
		return err
	}
	fromStore := time.Duration(model.StoreMS) * time.Millisecond
	l.mu.Lock()
	state.readyAt = ordered.Add(fromStore)
	l.markChanged(w.ID, model.Name)
	l.notifyFollowers()
	l.mu.Unlock()
	log.Warn().Str("worker", w.ID).Str("model", model.Name).Int64("expected_ms", expected.Milliseconds()).Int64("store_ms", fromStore.Milliseconds()).
		Int64("epoch", epoch).Msg("load takes longer than its copy would")
	return l.awaitDone(epoch, state, w, sending, newStoreInquiry(ordered, fromStore, ends))
}

// isStillBusy reports whether an order failed only because the worker was still busy with it at the deadline.
func isStillBusy(err error) bool {
	var failed *OrderError
	return errors.As(err, &failed) && failed.outcome == OutcomeConflict && failed.stillBusy
}

// awaitDone repeats an order until the worker responds that it is already in the ordered state. A report would not
// suffice, as it may be outdated.
func (l *Leader) awaitDone(epoch int64, state *workerState, w *registrar.Worker, sending *delivery, asking *inquiry) error {
	for {
		l.expectNews(state, sending.order)
		outcome, err := l.sendOrder(epoch, state, w, sending)
		if err != nil {
			return err
		}
		if outcome == OutcomeAlreadyDone {
			return nil
		}
		l.announceLaterEnd(state, sending.order, asking)
		if err := l.waitAfterConflict(state, w, sending, asking); err != nil {
			return err
		}
	}
}

// announceLaterEnd announces the next likely end of a load from the weight store that was announced to have ended by now, so that requests which
// cannot wait so long are refused.
func (l *Leader) announceLaterEnd(state *workerState, order Order, asking *inquiry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !asking.fromStore || order.Model != state.loadingModel || now.Before(state.readyAt) {
		return
	}
	if end, known := asking.laterEnd(now); known {
		state.readyAt = end
		l.markChanged(state.worker.ID, order.Model)
		l.notifyFollowers()
	}
}

// readReport reads a worker's report and replaces the worker's state by it.
func (l *Leader) readReport(epoch int64, state *workerState) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	w := l.workerOf(state)
	report, err := l.dependencies.ReadReport(ctx, w)
	l.mu.Lock()
	defer l.mu.Unlock()
	state.readingReport = false
	if l.epoch != epoch {
		return
	}
	now := time.Now()
	if err != nil {
		state.recordFailure(now)
		log.Warn().Str("worker", w.ID).Err(err).Msg("worker report could not be read")
		return
	}
	if current := state.worker.Incarnation; report.Incarnation != 0 && report.Incarnation < current {
		// The worker's entry shows that it has restarted since, without what the report lists.
		state.recordFailure(now)
		log.Warn().Str("worker", w.ID).Int64("born", report.Incarnation).Int64("restarted", current).Msg("worker report is from before its restart")
		return
	}
	state.applyReport(now, report)
	if state.needsReport {
		state.retryAt = now.Add(minRetryPause)
	}
	log.Info().Str("worker", w.ID).Int64("orders", report.OrderCount).Bool("busy", report.Busy).Strs("models", state.modelNames()).Msg("worker's state read")
	l.markChanged(w.ID, state.modelNames()...)
	l.notifyFollowers()
	l.Wake()
}
