package planner

import "sort"

// UnitView is one unit at a worker, as the rest of the zone should see it.
type UnitView struct {
	Unit  string
	Phase string
}

// WorkerView is one worker, as the rest of the zone should see it.
type WorkerView struct {
	ID      string
	Leaving bool
	Running int
	Queued  int
	// Incarnation is the worker's by its newest report, or 0.
	Incarnation int64
	Units       []UnitView
	// Charged and Memory are in bytes.
	Charged, Memory int64
	Accelerators    int
}

// View returns every adopted worker in the order of its ID.
func (p *Planner) View() []WorkerView {
	views := make([]WorkerView, 0, len(p.workers))
	for _, id := range p.workerIDs() {
		w := p.workers[id]
		if !w.adopted || w.gone {
			continue
		}
		view := WorkerView{
			ID: id, Leaving: !w.usable(), Running: w.report.Running, Queued: w.report.Queued, Incarnation: w.report.Incarnation,
			Charged: w.row.memory(), Memory: w.spec.Memory, Accelerators: w.spec.Accelerators,
		}
		for _, charge := range w.row.Charges {
			view.Units = append(view.Units, UnitView{Unit: charge.Unit, Phase: charge.Phase})
		}
		sort.Slice(view.Units, func(i, j int) bool { return view.Units[i].Unit < view.Units[j].Unit })
		views = append(views, view)
	}
	return views
}

// LoadCounts returns how many loads were decided, and how many of them came
// within a minute of an unload of the same unit.
func (p *Planner) LoadCounts() (decided, reloads int64) { return p.decided, p.reloads }

// Busy reports whether something is being loaded or unloaded at a worker, or
// nothing is known of it yet.
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
