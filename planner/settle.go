package planner

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/asserter"
)

// Report updates a worker's charges from a report. A report that is not newer
// than the last one is ignored, because reports may arrive out of order.
func (p *Planner) Report(now time.Time, id string, report Report) {
	w, known := p.workers[id]
	if !known || isOutdated(w, report) {
		return
	}
	p.replicaCounts = nil
	w.report = report
	w.reported = true
	w.lastListedOrder = p.lastListedOrder(report)
	if w.adopted {
		p.adoptUnits(w)
		p.reconcile(now, w)
	}
}

// lastListedOrder returns the highest number of this leader's orders that a report
// lists, or 0. Orders are sent to a worker one at a time, so the report was made
// after the end of every order with a lower number.
func (p *Planner) lastListedOrder(report Report) int64 {
	prefix := p.orderPrefix()
	var highest int64
	for _, id := range report.Orders {
		if suffix, found := strings.CutPrefix(id, prefix); found {
			number, _ := strconv.ParseInt(suffix, 10, 64)
			highest = max(highest, number)
		}
	}
	return highest
}

// adoptUnits charges the units that a worker had before this leader's first order
// and that its row does not name. This happens when every node that stored a
// decision has failed.
func (p *Planner) adoptUnits(w *worker) {
	if w.unitsAdopted || w.lastListedOrder < w.firstOrder {
		return
	}
	w.unitsAdopted = true
	for _, state := range w.report.Units {
		if w.row.chargeIndex(state.Unit) < 0 {
			w.row.Charges = append(w.row.Charges, Charge{
				Unit: state.Unit, Memory: state.Memory, Phase: PhaseLoading, Issuer: p.issuer, Settled: true,
			})
			w.provenBy[state.Unit] = w.firstOrder
			p.persist(w)
		}
	}
}

func isOutdated(w *worker, report Report) bool {
	if !w.reported {
		return false
	}
	if report.Incarnation != w.report.Incarnation {
		return report.Incarnation < w.report.Incarnation
	}
	return report.Sequence <= w.report.Sequence
}

// reconcile updates the charges from the newest report, and removes those whose memory is free.
func (p *Planner) reconcile(now time.Time, w *worker) {
	changed := false
	kept := w.row.Charges[:0:0]
	for _, charge := range w.row.Charges {
		updated, freed := p.reconcileCharge(now, w, charge)
		if freed {
			p.chargeFreed(now, w, charge)
			changed = true
			continue
		}
		changed = changed || updated != charge
		kept = append(kept, updated)
	}
	if changed {
		w.row.Charges = kept
		p.persist(w)
	}
	p.checkUnitsCharged(w)
}

// checkUnitsCharged asserts that every unit in the newest report has a charge, and unloads one that has none.
func (p *Planner) checkUnitsCharged(w *worker) {
	if !w.unitsAdopted {
		return
	}
	for _, state := range w.report.Units {
		if w.row.chargeIndex(state.Unit) >= 0 {
			continue
		}
		if asserter.Check(false, "replicas", "worker %s reports unit %q, which has no charge in its decision row", w.spec.ID, state.Unit) != nil {
			order := p.newOrder(w, VerbUnload)
			order.Unit = state.Unit
			p.send(order)
		}
	}
}

// chargeFreed cleans up after a removed charge. A unit that never became ready
// counts as a failed load.
func (p *Planner) chargeFreed(now time.Time, w *worker, charge Charge) {
	p.unloadedAt[charge.Unit] = now
	delete(w.timeouts, charge.Unit)
	delete(w.retryAt, charge.Unit)
	delete(w.provenBy, charge.Unit)
	if charge.Phase == PhaseLoading {
		p.loadFailed(now, charge.Unit)
	}
}

// reconcileCharge returns the charge as of the newest report, and whether its
// memory is free. An absent unit frees its memory only if its load order can have
// no further effect and the report was made after that was certain.
func (p *Planner) reconcileCharge(now time.Time, w *worker, charge Charge) (Charge, bool) {
	state, present := w.unitState(charge.Unit)
	p.settle(now, w, &charge)
	if !present {
		return charge, charge.Settled && w.lastListedOrder >= w.provenBy[charge.Unit]
	}
	if state.Ready && charge.Phase == PhaseLoading {
		charge.Phase = PhaseReady
		p.loadDone(charge.Unit)
	}
	return charge, false
}

// settle marks a charge as settled once its load order can have no further
// effect. If the report does not list the order, only a report made after the
// settlement shows whether the order took effect. Such a report lists the fence
// order that is sent at the settlement.
func (p *Planner) settle(now time.Time, w *worker, charge *Charge) {
	if charge.Settled {
		return
	}
	if slices.Contains(w.report.Orders, charge.Order) {
		charge.Settled = true
		return
	}
	if p.canSettle(now, w, *charge) {
		charge.Settled = true
		w.provenBy[charge.Unit] = p.sendFence(now, w)
	}
}

// decidedUnderLease reports whether this leader decided the charge under its current lease epoch.
func (p *Planner) decidedUnderLease(charge Charge) bool {
	return strings.HasPrefix(charge.Order, p.orderPrefix())
}

// canSettle reports whether the load order of a charge can have no further
// effect. For an order of an earlier lease, its issuer is settled or the worker
// refuses it by its fencing number; for one of this lease, its timeout has passed.
func (p *Planner) canSettle(now time.Time, w *worker, charge Charge) bool {
	if !p.decidedUnderLease(charge) {
		return p.settledIssuers[charge.Issuer] || (w.spec.Fencing && w.fenced)
	}
	timeout, unanswered := w.timeouts[charge.Unit]
	return unanswered && now.After(timeout)
}

func (w *worker) unitState(unit string) (UnitState, bool) {
	for _, state := range w.report.Units {
		if state.Unit == unit {
			return state, true
		}
	}
	return UnitState{}, false
}

// RecordOutcome records the outcome of an order that was sent.
func (p *Planner) RecordOutcome(now time.Time, order Order, outcome OrderOutcome) {
	w, known := p.workers[order.Worker]
	if !known {
		return
	}
	switch order.Verb {
	case VerbFence:
		w.fenced = w.fenced || outcome == OrderAccepted
	case VerbUnload:
		if outcome != OrderAccepted {
			w.retryAt[order.Unit] = now.Add(unloadRetry)
		}
	case VerbLoad:
		p.handleLoadOutcome(now, w, order, outcome)
	}
}

// unloadRetry is the delay before an unload is ordered again after an order was not accepted.
const unloadRetry = 200 * time.Millisecond

func (p *Planner) handleLoadOutcome(now time.Time, w *worker, order Order, outcome OrderOutcome) {
	index := w.row.chargeIndex(order.Unit)
	if index < 0 || w.row.Charges[index].Order != order.ID {
		return
	}
	switch outcome {
	case OrderAccepted:
		w.row.Charges[index].Settled = true
	case OrderUnknown:
		w.timeouts[order.Unit] = now.Add(OrderTimeout)
	case OrderRefused:
		charge := w.row.Charges[index]
		p.replicaCounts = nil
		w.row.Charges = slices.Delete(w.row.Charges, index, index+1)
		p.chargeFreed(now, w, charge)
		p.persist(w)
	}
}

// checkMemory asserts that the charges of a row fit the worker's memory.
func (p *Planner) checkMemory(w *worker, row Row) error {
	return asserter.Check(row.chargedMemory() <= w.spec.Memory, "memory",
		"worker %s would have %d bytes charged, but its memory is %d bytes", w.spec.ID, row.chargedMemory(), w.spec.Memory)
}
