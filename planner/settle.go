package planner

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/asserter"
)

// Report takes in a worker's report. Reports that are older than one already
// seen are ignored, because they arrive late and out of order.
func (p *Planner) Report(now time.Time, id string, report Report) {
	w, known := p.workers[id]
	if !known || isOlder(w, report) {
		return
	}
	p.replicaCounts = nil
	w.report = report
	w.reported = true
	w.listedUpTo = p.listedUpTo(report)
	if w.adopted {
		p.adoptUnits(w)
		p.reconcile(now, w)
	}
}

// listedUpTo returns the highest number of this leader's orders that a report
// lists. Orders go to a worker one after the other, so that the report was
// made after the end of every order with a lower number.
func (p *Planner) listedUpTo(report Report) int64 {
	prefix := p.orderPrefix()
	var highest int64
	for _, id := range report.Orders {
		if number, found := strings.CutPrefix(id, prefix); found {
			parsed, _ := strconv.ParseInt(number, 10, 64)
			highest = max(highest, parsed)
		}
	}
	return highest
}

// adoptUnits charges the units that a worker held before this leader's first
// order and that no row names, which happens when every node that held a
// decision is lost.
func (p *Planner) adoptUnits(w *worker) {
	if w.unitsAdopted || w.listedUpTo < w.firstOrder {
		return
	}
	w.unitsAdopted = true
	for _, state := range w.report.Units {
		if w.row.find(state.Unit) < 0 {
			w.row.Charges = append(w.row.Charges, Charge{
				Unit: state.Unit, Memory: state.Memory, Phase: PhaseLoading, Issuer: p.issuer, Settled: true,
			})
			w.proofs[state.Unit] = w.firstOrder
			p.persist(w)
		}
	}
}

func isOlder(w *worker, report Report) bool {
	if !w.reported {
		return false
	}
	if report.Incarnation != w.report.Incarnation {
		return report.Incarnation < w.report.Incarnation
	}
	return report.Sequence <= w.report.Sequence
}

// reconcile compares the charges with the newest report.
func (p *Planner) reconcile(now time.Time, w *worker) {
	changed := false
	kept := w.row.Charges[:0:0]
	for _, charge := range w.row.Charges {
		updated, freed := p.reconcileCharge(now, w, charge)
		if freed {
			p.freed(now, w, charge)
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
	p.checkAccounted(w)
}

// checkAccounted asserts that every unit at a worker has a charge, and unloads one that has none.
func (p *Planner) checkAccounted(w *worker) {
	if !w.unitsAdopted {
		return
	}
	for _, state := range w.report.Units {
		if w.row.find(state.Unit) >= 0 {
			continue
		}
		if asserter.Check(false, "replicas", "worker %s holds unit %q that no decision loaded", w.spec.ID, state.Unit) != nil {
			order := p.newOrder(w, VerbUnload)
			order.Unit = state.Unit
			p.send(order)
		}
	}
}

func (p *Planner) freed(now time.Time, w *worker, charge Charge) {
	p.unloadedAt[charge.Unit] = now
	delete(w.timeouts, charge.Unit)
	delete(w.retryAt, charge.Unit)
	delete(w.proofs, charge.Unit)
	if charge.Phase == PhaseLoading {
		p.loadFailed(now, charge.Unit)
	}
}

// reconcileCharge returns the charge after the newest report, and whether its
// memory is free. An absent unit frees its memory only if its load order can
// have no further effect and the report was made after that was so.
func (p *Planner) reconcileCharge(now time.Time, w *worker, charge Charge) (Charge, bool) {
	state, present := w.stateOf(charge.Unit)
	p.settle(now, w, &charge)
	if !present {
		return charge, charge.Settled && w.listedUpTo >= w.proofs[charge.Unit]
	}
	if state.Ready && charge.Phase == PhaseLoading {
		charge.Phase = PhaseReady
		p.loadDone(charge.Unit)
	}
	return charge, false
}

// settle marks a charge as settled when its load order can have no further
// effect. Unless the report lists the order, what the order did is known only
// from a report made after the settlement, which a new order proves.
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
		w.proofs[charge.Unit] = p.sendFence(now, w)
	}
}

// decidedHere reports whether this leader decided a charge under its present lease.
func (p *Planner) decidedHere(charge Charge) bool {
	return strings.HasPrefix(charge.Order, p.orderPrefix())
}

func (p *Planner) canSettle(now time.Time, w *worker, charge Charge) bool {
	if !p.decidedHere(charge) {
		return p.issuersGone[charge.Issuer] || (w.spec.Fencing && w.fenced)
	}
	timeout, unanswered := w.timeouts[charge.Unit]
	return unanswered && now.After(timeout)
}

func (w *worker) stateOf(unit string) (UnitState, bool) {
	for _, state := range w.report.Units {
		if state.Unit == unit {
			return state, true
		}
	}
	return UnitState{}, false
}

// Answered takes in the outcome of an order.
func (p *Planner) Answered(now time.Time, order Order, outcome OrderOutcome) {
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
		p.loadAnswered(now, w, order, outcome)
	}
}

// unloadRetry is the pause before an unload that was not accepted is sent again.
const unloadRetry = 200 * time.Millisecond

func (p *Planner) loadAnswered(now time.Time, w *worker, order Order, outcome OrderOutcome) {
	at := w.row.find(order.Unit)
	if at < 0 || w.row.Charges[at].Order != order.ID {
		return
	}
	switch outcome {
	case OrderAccepted:
		w.row.Charges[at].Settled = true
	case OrderUnknown:
		w.timeouts[order.Unit] = now.Add(OrderTimeout)
	case OrderRefused:
		charge := w.row.Charges[at]
		p.replicaCounts = nil
		w.row.Charges = slices.Delete(w.row.Charges, at, at+1)
		p.freed(now, w, charge)
		p.persist(w)
	}
}

// checkMemory asserts that the charges of a worker fit its memory.
func (p *Planner) checkMemory(w *worker, row Row) error {
	return asserter.Check(row.memory() <= w.spec.Memory, "memory",
		"worker %s holds %d bytes of charges in %d bytes", w.spec.ID, row.memory(), w.spec.Memory)
}
