package planner

import "sort"

// UnitView is one unit on a worker, as published to the nodes.
type UnitView struct {
	Unit string
	// Phase is PhaseLoading, PhaseReady or PhaseUnloading.
	Phase string
}

// WorkerView is one worker, as published to the nodes.
type WorkerView struct {
	ID string
	// Leaving is true if the worker must get no new work.
	Leaving bool
	// Running and Queued are numbers of requests by the newest report.
	Running int
	Queued  int
	// Incarnation is that of the newest report, or 0 before the first.
	Incarnation int64
	// Units are sorted by name.
	Units []UnitView
	// Charged is the sum of the charges and Memory the worker's memory, both in bytes.
	Charged, Memory int64
	Accelerators    int
}

// View returns the listed workers whose rows are adopted, sorted by ID.
func (p *Planner) View() []WorkerView {
	views := make([]WorkerView, 0, len(p.workers))
	for _, id := range p.workerIDs() {
		w := p.workers[id]
		if !w.adopted || w.unlisted {
			continue
		}
		view := WorkerView{
			ID: id, Leaving: !w.usable(), Running: w.report.Running, Queued: w.report.Queued, Incarnation: w.report.Incarnation,
			Charged: w.row.chargedMemory(), Memory: w.spec.Memory, Accelerators: w.spec.Accelerators,
		}
		for _, charge := range w.row.Charges {
			view.Units = append(view.Units, UnitView{Unit: charge.Unit, Phase: charge.Phase})
		}
		sort.Slice(view.Units, func(i, j int) bool { return view.Units[i].Unit < view.Units[j].Unit })
		views = append(views, view)
	}
	return views
}

// LoadCounts returns how many loads were decided, and how many of them within a
// minute of an unload of the same unit.
func (p *Planner) LoadCounts() (loads, reloads int64) { return p.loads, p.reloads }

// Busy reports whether a worker is loading or unloading a unit, or its state
// after the takeover is not known yet.
func (p *Planner) Busy(id string) bool {
	w, known := p.workers[id]
	if !known {
		return false
	}
	for _, charge := range w.row.Charges {
		if charge.Phase != PhaseReady {
			return true
		}
	}
	return !w.reported || !w.fenced || !w.unitsAdopted
}
