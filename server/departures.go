package server

import (
	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// observeDeparture records that a worker's response said that the worker leaves. The request is empty for an order or a report.
func (f *FleetNode) observeDeparture(worker *registrar.Worker, request string) {
	f.recordDeparture(registrar.Departure{Worker: worker.ID, Incarnation: worker.Incarnation}, "worker", request)
}

// learnDeparture records a departure that another node sent; source names that node.
func (f *FleetNode) learnDeparture(departure *nodewire.Departure, source string) {
	f.recordDeparture(registrar.Departure{Worker: departure.GetWorker(), Incarnation: departure.GetBorn()}, source, "")
}

func (f *FleetNode) recordDeparture(departure registrar.Departure, source, request string) {
	if !f.workerList.RecordDeparture(departure, source == "worker") {
		return
	}
	log.Info().Str("worker", departure.Worker).Int64("born", departure.Incarnation).Str("source", source).Str("request", request).
		Int64("list_version", f.watcher.ListVersion()).Msg("worker leaves by its own word")
	f.recorder.Count("departures learned")
	f.fleetTracker.MarkWorkersChanged()
	f.fleetLeader.Wake()
}

// departuresSince returns the workers that leave by their own word, or only those that told this node, with numbers from first on, and the
// number from which to continue.
func (f *FleetNode) departuresSince(first int64, ownOnly bool) (departures []*nodewire.Departure, next int64) {
	known, next := f.workerList.DeparturesSince(first, ownOnly)
	return lo.Map(known, func(departure registrar.Departure, _ int) *nodewire.Departure {
		return &nodewire.Departure{Worker: departure.Worker, Born: departure.Incarnation}
	}), next
}
