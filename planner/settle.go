package planner

import (
	"slices"
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
	if w.reported && report.Incarnation > w.report.Incarnation {
		w.fenced = false // A restarted engine has forgotten the fencing number.
	}
	w.report = report
	w.reported = true
	w.reportedAt = now
	if w.adopted {
		p.adoptUnits(w)
		p.reconcile(now, w)
	}
}

// adoptUnits charges the units that a worker held before this leader's first
// order and that no row names, which happens when every node that held a
// decision is lost.
func (p *Planner) adoptUnits(w *worker) {
	if w.unitsAdopted || !slices.Contains(w.report.Orders, w.fenceOrder) {
		return
	}
	w.unitsAdopted = true
	for _, state := range w.report.Units {
		if w.row.find(state.Unit) < 0 {
			w.row.Charges = append(w.row.Charges, Charge{
				Unit: state.Unit, Memory: state.Memory, Phase: PhaseLoading, Issuer: p.issuer,
				Order: w.fenceOrder, Settled: true, Engine: w.report.Incarnation,
			})
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
	delete(w.unloads, charge.Unit)
	delete(w.timeouts, charge.Unit)
	delete(w.retryAt, charge.Unit)
	delete(w.proofs, charge.Unit)
	if charge.Phase == PhaseLoading {
		p.loadFailed(now, charge.Unit)
	}
}

// reconcileCharge returns the charge after the newest report, and whether its memory is free.
func (p *Planner) reconcileCharge(now time.Time, w *worker, charge Charge) (Charge, bool) {
	state, present := w.stateOf(charge.Unit)
	listed := slices.Contains(w.report.Orders, charge.Order)
	p.settle(now, w, &charge, listed)
	if !present {
		return charge, charge.Settled && provesAbsence(w, charge, listed)
	}
	if listed {
		charge.Engine = w.report.Incarnation
	}
	if state.Ready && charge.Phase == PhaseLoading {
		charge.Phase = PhaseReady
		p.loadDone(charge.Unit)
	}
	return charge, false
}

// settle marks a charge as settled when its load order can have no further
// effect. Unless the report lists the order, its effect is known only from a
// report that is newer than the settlement, which a fence order proves.
func (p *Planner) settle(now time.Time, w *worker, charge *Charge, listed bool) {
	if charge.Settled {
		return
	}
	if listed {
		charge.Settled = true
		return
	}
	if !p.canSettle(now, w, *charge) {
		return
	}
	charge.Settled = true
	p.sendFence(now, w)
	w.proofs[charge.Unit] = w.fenceOrder
}

func (p *Planner) canSettle(now time.Time, w *worker, charge Charge) bool {
	if charge.Issuer != p.issuer {
		return p.issuersGone[charge.Issuer] || (w.spec.Fencing && w.fenced)
	}
	timeout, unanswered := w.timeouts[charge.Unit]
	return unanswered && now.After(timeout)
}

// provesAbsence reports whether the newest report was made after the last
// order about the charge's unit, so that the unit's absence frees its memory.
func provesAbsence(w *worker, charge Charge, listed bool) bool {
	if charge.Engine != 0 && w.report.Incarnation > charge.Engine {
		return true
	}
	if unload, ordered := w.unloads[charge.Unit]; ordered {
		return slices.Contains(w.report.Orders, unload)
	}
	if proof, needed := w.proofs[charge.Unit]; needed {
		return slices.Contains(w.report.Orders, proof)
	}
	return listed
}

func (w *worker) stateOf(unit string) (UnitState, bool) {
	for _, state := range w.report.Units {
		if state.Unit == unit {
			return state, true
		}
	}
	return UnitState{}, false
}

// Answered takes in the outcome of an order and, when it was accepted, the
// incarnation of the worker that accepted it.
func (p *Planner) Answered(now time.Time, order Order, outcome OrderOutcome, engine int64) {
	w, known := p.workers[order.Worker]
	if !known {
		return
	}
	switch order.Verb {
	case VerbFence:
		w.fenced = w.fenced || (outcome == OrderAccepted && order.ID == w.fenceOrder)
	case VerbUnload:
		p.unloadAnswered(now, w, order, outcome)
	case VerbLoad:
		p.loadAnswered(now, w, order, outcome, engine)
	}
}

// unloadRetry is the pause before an unload that was not accepted is sent again.
const unloadRetry = 200 * time.Millisecond

func (p *Planner) unloadAnswered(now time.Time, w *worker, order Order, outcome OrderOutcome) {
	w.unloads[order.Unit] = order.ID
	if outcome != OrderAccepted {
		w.retryAt[order.Unit] = now.Add(unloadRetry)
	}
}

func (p *Planner) loadAnswered(now time.Time, w *worker, order Order, outcome OrderOutcome, engine int64) {
	at := w.row.find(order.Unit)
	if at < 0 || w.row.Charges[at].Order != order.ID {
		return
	}
	switch outcome {
	case OrderAccepted:
		w.row.Charges[at].Settled = true
		w.row.Charges[at].Engine = engine
	case OrderUnknown:
		w.timeouts[order.Unit] = now.Add(OrderTimeout)
	case OrderRefused:
		charge := w.row.Charges[at]
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
