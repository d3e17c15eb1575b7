package registrar

import (
	"github.com/samber/lo"
)

// Departure is a worker's own word that it leaves. It holds until the process of the worker ends, whatever the list says.
type Departure struct {
	// Worker is the ID of the worker, Incarnation identifies the start of its process.
	Worker      string
	Incarnation int64
}

// departureRecord is a departure that this node knows.
type departureRecord struct {
	departure Departure
	// own is set if the worker said so to this node. Number increases by one with each departure.
	own    bool
	number int64
}

// maxKeptDepartures bounds the memory; the departures that were learned first are dropped.
const maxKeptDepartures = 4096

// RecordDeparture records that a worker leaves; own is set if the worker said so to this node. It reports whether that was not known.
func (r *Registrar) RecordDeparture(departure Departure, own bool) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, found := r.departures[departure.Worker]
	if found && known.departure.Incarnation >= departure.Incarnation {
		return false
	}
	if !found && len(r.departures) >= maxKeptDepartures {
		oldest := lo.MinBy(lo.Values(r.departures), func(a, b departureRecord) bool { return a.number < b.number })
		delete(r.departures, oldest.departure.Worker)
	}
	r.departures[departure.Worker] = departureRecord{departure: departure, own: own, number: r.nextDeparture}
	r.nextDeparture++
	r.publish()
	return true
}

// DeparturesSince returns the departures with numbers from first on, or only those that workers told this node, and the number from which to
// continue.
func (r *Registrar) DeparturesSince(first int64, ownOnly bool) (departures []Departure, next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first >= r.nextDeparture {
		return nil, r.nextDeparture
	}
	for _, known := range r.departures {
		if known.number >= first && (known.own || !ownOnly) {
			departures = append(departures, known.departure)
		}
	}
	return departures, r.nextDeparture
}

// withDeparture returns a worker as Fleet lists it: it leaves if its entry or the worker itself says so. The caller holds mu.
func (r *Registrar) withDeparture(w *Worker) *Worker {
	known, found := r.departures[w.ID]
	if !found || w.Leaving || known.departure.Incarnation != w.Incarnation {
		return w
	}
	leaving := *w
	leaving.Leaving = true
	return &leaving
}
