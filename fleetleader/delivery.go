package fleetleader

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// attemptPause is the time after which an order without a response is sent again. Workers respond within a few milliseconds.
const attemptPause = 150 * time.Millisecond

// delivery decides for one order when it is sent again, and what responses and reports prove about it. It has no clock of its own. Only the goroutine
// of the order's move or adapter load uses it.
type delivery struct {
	order Order
	// expected and incarnation are the order count and the start of the worker's process as the leader knows them; attempts name the count.
	expected, incarnation int64
	// unansweredAt is when the first attempt began that may have been written and got no response; zero if there is none. It may have been accepted,
	// or may still be.
	unansweredAt time.Time
	// conflictAt is when the first conflict after unansweredAt was received; zero if there is none. It may be due to the unanswered attempt.
	conflictAt time.Time
	// acceptedAt is when the order was accepted, or unansweredAt if only a later response or report proved it; zero until then.
	acceptedAt time.Time
	// counted is set once the leader's order count includes the order. A report that shows the worker busy does not suffice, as it does not name the
	// order: until the worker responds that it is in the ordered state, repetitions name the count before the order and cannot be accepted twice.
	counted bool
	// done is set once the worker has responded to a repetition of an unanswered order that it is in the ordered state.
	done bool
	// proved is what the last report proved about the order while it was uncertain.
	proved verdict
	// deadline is when the current series of attempts ends, nextAt when the next one begins, or zero if there is no time for another. attempts is the
	// number of those begun, open of those that have not ended.
	deadline, nextAt time.Time
	attempts, open   int
}

// newDelivery returns the delivery of an order that was not sent yet.
func newDelivery(order Order) *delivery { return &delivery{order: order} }

// follow records the order count and the process of the worker. What is known of an unanswered attempt is kept only while these are the same: another
// process never got it.
func (d *delivery) follow(expected, incarnation int64) {
	if d.expected == expected && d.incarnation == incarnation {
		return
	}
	d.expected, d.incarnation = expected, incarnation
	d.unansweredAt, d.conflictAt = time.Time{}, time.Time{}
	if !d.counted {
		d.acceptedAt = time.Time{}
	}
}

// beginSeries starts a series of attempts, the first of which begins now.
func (d *delivery) beginSeries(now time.Time) {
	d.deadline, d.nextAt, d.attempts, d.open = now.Add(orderTimeout), now, 0, 0
}

// beginAttempt records that an attempt begins. The next one follows after attemptPause, if a response to it can then be awaited as long.
func (d *delivery) beginAttempt(now time.Time) {
	d.attempts++
	d.open++
	d.nextAt = now.Add(attemptPause)
	if d.deadline.Sub(d.nextAt) < attemptPause {
		d.nextAt = time.Time{}
	}
}

// endAttempt records the end of an attempt, which has been written or not, and reports whether the series has ended. A response ends it. After an
// attempt that was not written, none begins: the lease does not permit the order, or no connection can be opened, and another worker should get the
// load. The series ends then too, unless awaited is set: another attempt has been written and not ended, and the worker may have accepted it.
func (d *delivery) endAttempt(outcome Outcome, written bool, begunAt time.Time, awaited bool) (ended bool) {
	d.open--
	switch {
	case outcome != OutcomeUnknown:
		return true
	case !written:
		d.nextAt = time.Time{}
		return !awaited
	}
	d.addUnanswered(begunAt)
	return d.open == 0 && d.nextAt.IsZero()
}

// addUnanswered records an attempt that was written and has no response.
func (d *delivery) addUnanswered(begunAt time.Time) {
	if d.unansweredAt.IsZero() || begunAt.Before(d.unansweredAt) {
		d.unansweredAt = begunAt
	}
}

// uncertain reports whether an attempt without a response may have been accepted and nothing has proved it yet.
func (d *delivery) uncertain() bool { return !d.counted && !d.unansweredAt.IsZero() }

// receive records a response and reports whether the leader must count the order now.
func (d *delivery) receive(now time.Time, outcome Outcome) (counts bool) {
	uncertain := d.uncertain()
	switch outcome {
	case OutcomeAccepted:
		if d.acceptedAt.IsZero() {
			d.acceptedAt = now
		}
		counts = !d.counted
	case OutcomeAlreadyDone:
		// The leader sends an order only if the worker's state at the expected count differs from the ordered one, and a worker that has accepted
		// one order accepts no other with that count: exactly one was accepted, be it this one or an earlier one with the same effect.
		if uncertain {
			d.acceptedAt, d.done = d.unansweredAt, true
		}
		// A worker unloads an adapter immediately: it responds that it is already in the ordered state, but counts the order.
		counts = !d.counted && (uncertain || d.order.Unload && d.order.Adapter != "")
	case OutcomeConflict:
		if uncertain && d.conflictAt.IsZero() {
			d.conflictAt = now
		}
	}
	d.counted = d.counted || counts
	return counts
}

// startedAt returns when the worker began to execute the order, or now if that is unknown.
func (d *delivery) startedAt(now time.Time) time.Time {
	if d.acceptedAt.IsZero() {
		return now
	}
	return d.acceptedAt
}

// verdict is what a report that was read after a conflict proves about an order.
type verdict int

// Verdicts of reports.
const (
	// verdictOpen means that the report may be older than the conflict and proves nothing.
	verdictOpen verdict = iota
	// verdictPending means that the worker is busy at the expected order count: with this order if it is counted, else with an earlier one.
	verdictPending
	// verdictAccepted means that the worker has accepted one order since the unanswered attempt, and shows nothing that contradicts that it is this one.
	verdictAccepted
	// verdictLost means that the worker will not execute the order.
	verdictLost
)

// String returns the name of the verdict as used in logs and metrics.
func (v verdict) String() string { return [...]string{"open", "not accepted", "accepted", "lost"}[v] }

// judge returns what a report proves that was requested at a time.
func (d *delivery) judge(requestedAt time.Time, report Report) verdict {
	switch {
	case report.Incarnation != d.incarnation:
		return verdictLost
	case report.OrderCount == d.expected && report.Busy:
		return verdictPending
	case !d.uncertain():
		return verdictLost
	case report.OrderCount == d.expected+1 && d.mayShowEffect(report):
		d.acceptedAt = d.unansweredAt
		return verdictAccepted
	case report.OrderCount <= d.expected && requestedAt.Before(d.conflictAt.Add(maxReportAge)):
		return verdictOpen
	}
	return verdictLost
}

// mayShowEffect reports whether a report that shows one order more fits the acceptance of this one: a busy worker may be executing a load or unload
// of a model, an idle one must show its effect. Adapters are loaded and unloaded while the worker is not busy.
func (d *delivery) mayShowEffect(report Report) bool {
	adapters, loaded := report.Loaded[d.order.Model]
	if d.order.Adapter == "" {
		return report.Busy || loaded != d.order.Unload
	}
	listed := slices.Contains(adapters, d.order.Adapter) || slices.ContainsFunc(report.LoadingAdapters, func(name string) bool {
		unversioned, _, _ := strings.Cut(name, "@")
		return unversioned == d.order.unit()
	})
	return listed != d.order.Unload
}

// attempt is one attempt to send an order. It is safe for concurrent use, since a connection may ask for the permission to write until the attempt
// has ended.
type attempt struct {
	begunAt time.Time
	check   func() error
	// mu guards everything below.
	mu sync.Mutex
	// written is set once the check has permitted to write; it permits nothing after ended.
	written, ended bool
}

// AttemptEndedError is returned by the check of an attempt that has ended, so that nothing of it is written later.
type AttemptEndedError struct {
	// begunAt is when the attempt began.
	begunAt time.Time
}

// Error names the beginning of the attempt.
func (e *AttemptEndedError) Error() string {
	return "attempt to send an order has ended, begun at " + e.begunAt.Format(time.RFC3339Nano)
}

// permit returns an error unless the order may be written now.
func (a *attempt) permit() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return &AttemptEndedError{begunAt: a.begunAt}
	}
	if err := a.check(); err != nil {
		return err
	}
	a.written = true
	return nil
}

// end ends the attempt and reports whether the order may have been written.
func (a *attempt) end() (written bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.written
}

// awaitsResponse reports whether the order may have been written and the attempt has not ended.
func (a *attempt) awaitsResponse() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written && !a.ended
}

// attemptResult is the end of an attempt.
type attemptResult struct {
	of      *attempt
	outcome Outcome
	err     error
}

// deliver sends an order until a response to one of its attempts arrives or their series ends; the caller holds the state's orderMu. Each attempt
// uses a new connection and is written only if the lease permits it. Earlier attempts go on, so that a slow worker's response still counts.
func (l *Leader) deliver(epoch int64, w *registrar.Worker, order Order, sending *delivery) (Outcome, error) {
	began := time.Now()
	sending.beginSeries(began)
	ctx, cancel := context.WithDeadline(context.Background(), sending.deadline)
	defer cancel()
	results := make(chan attemptResult, orderTimeout/attemptPause+1) // Never full, so that no attempt waits for a reader.
	var attempts []*attempt
	timer := time.NewTimer(0)
	defer timer.Stop()
	var last attemptResult
	for ended := false; !ended; {
		select {
		case <-timer.C:
			a := &attempt{begunAt: time.Now(), check: func() error { return l.dependencies.Lease.CheckOrder(epoch) }}
			attempts = append(attempts, a)
			sending.beginAttempt(a.begunAt)
			go func() {
				outcome, err := l.dependencies.SendOrder(ctx, w, order, a.permit)
				results <- attemptResult{of: a, outcome: outcome, err: err}
			}()
			if !sending.nextAt.IsZero() {
				timer.Reset(time.Until(sending.nextAt))
			}
			if sending.attempts > 1 {
				l.dependencies.Recorder.Count("orders repeated")
			}
		case last = <-results:
			l.dependencies.Recorder.Count("orders " + last.outcome.String())
			written, awaited := last.of.end(), slices.ContainsFunc(attempts, (*attempt).awaitsResponse)
			if ended = sending.endAttempt(last.outcome, written, last.of.begunAt, awaited); sending.nextAt.IsZero() {
				timer.Stop()
			}
		}
	}
	for _, a := range attempts {
		if a != last.of && a.end() {
			sending.addUnanswered(a.begunAt)
		}
	}
	if sending.attempts > 1 {
		l.dependencies.Recorder.Count("repeated orders " + last.outcome.String())
		line := log.Info().Str("worker", w.ID).Str("unit", order.unit()).Bool("unload", order.Unload).Int64("orders", order.ExpectedOrderCount).
			Int("attempts", sending.attempts).Str("outcome", last.outcome.String()).Int64("took_ms", time.Since(began).Milliseconds()).Int64("epoch", epoch)
		if last.err != nil {
			line = line.Err(last.err)
		}
		line.Msg("order repeated")
	}
	return last.outcome, last.err
}

// recordVerdict logs and counts what a report proved about an order that may have been accepted, unless an earlier one did.
func (l *Leader) recordVerdict(w *registrar.Worker, sending *delivery, report Report, proved verdict) {
	if !sending.uncertain() || proved == sending.proved {
		return
	}
	sending.proved = proved
	l.dependencies.Recorder.Count("repeated orders proven " + proved.String())
	log.Info().Str("worker", w.ID).Str("unit", sending.order.unit()).Bool("unload", sending.order.Unload).Int64("orders", sending.expected).
		Int64("reported", report.OrderCount).Bool("busy", report.Busy).Str("proof", proved.String()).Msg("order without a response decided by a report")
}
