package subscriber

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// newChange converts a forwarded change of the list of workers.
func newChange(now time.Time, heartbeat *nodewire.Heartbeat) registrar.Change {
	loaded := map[string][]string{}
	for _, unit := range heartbeat.GetUnits() {
		loaded[unit.GetModel()] = unit.GetAdapters()
	}
	return registrar.Change{Removed: heartbeat.GetRemoved(), Worker: registrar.Worker{
		ID: heartbeat.GetWorker(), Service: heartbeat.GetService(), Zone: heartbeat.GetZone(), Address: heartbeat.GetAddress(), Software: heartbeat.GetSoftware(), Slots: int(heartbeat.GetSlots()),
		Leaving: heartbeat.GetLeaving(), Incarnation: heartbeat.GetBorn(), Loaded: loaded, RowVersion: heartbeat.GetRowVersion(), SeenAt: now,
	}}
}

// newAnnouncement converts the state of a worker in a leader's view.
func newAnnouncement(now time.Time, zone string, worker *nodewire.WorkerView) fleettracker.Announcement {
	announcement := fleettracker.Announcement{
		Worker: worker.GetWorker(), Zone: zone, Incarnation: worker.GetBorn(), Running: int(worker.GetRunning()), ReceivedAt: now,
	}
	if worker.GetBusyMs() > 0 {
		announcement.BusyUntil = now.Add(time.Duration(worker.GetBusyMs()) * time.Millisecond)
	}
	for _, unit := range worker.GetUnits() {
		announced := fleettracker.Unit{Model: unit.GetModel(), Adapters: unit.GetAdapters(), LoadingAdapters: unit.GetComing(), Running: int(unit.GetRunning())}
		if unit.GetReadyMs() > 0 {
			announced.ReadyAt = now.Add(time.Duration(unit.GetReadyMs()) * time.Millisecond)
		}
		announcement.Units = append(announcement.Units, announced)
	}
	return announcement
}
