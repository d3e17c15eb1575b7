package watcher

import (
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// applyChanges logs changes of the list of workers and applies them.
func (w *Watcher) applyChanges(now time.Time, changes []registrar.Change) {
	w.logChanges(changes)
	w.trackMissing(func() { w.registrar.Apply(now, changes) })
}

// logChanges logs the workers that are added, removed, restarted or leaving; it must be called before the changes are applied.
func (w *Watcher) logChanges(changes []registrar.Change) {
	fleet, missing := w.registrar.Fleet(), w.registrar.Missing()
	for i := range changes {
		entry := &changes[i].Worker
		known, found := fleet.Worker(entry.ID)
		switch {
		case changes[i].Removed:
			if found && !lo.Contains(missing, entry.ID) {
				log.Info().Str("worker", entry.ID).Int64("version", entry.RowVersion).Msg("worker's entry removed")
			}
		case !found:
			log.Info().Str("worker", entry.ID).Str("service", entry.Service).Str("zone", entry.Zone).Int64("version", entry.RowVersion).Msg("worker in")
		case entry.Leaving && !known.Leaving:
			log.Info().Str("worker", entry.ID).Int64("version", entry.RowVersion).Msg("worker leaving")
		case entry.Incarnation != known.Incarnation:
			log.Info().Str("worker", entry.ID).Int64("born", entry.Incarnation).Int64("version", entry.RowVersion).Msg("worker restarted")
		}
	}
}

// replaceList applies a whole list with one of the registrar's functions, and logs which workers are missing from it.
func (w *Watcher) replaceList(now time.Time, changes []registrar.Change, version int64, replace func(time.Time, []registrar.Worker, int64) []string, message string) {
	workers := lo.Map(changes, func(change registrar.Change, _ int) registrar.Worker { return change.Worker })
	w.trackMissing(func() {
		known := w.registrar.Missing()
		gone, _ := lo.Difference(replace(now, workers, version), known)
		for _, id := range gone {
			log.Info().Str("worker", id).Int64("version", version).Msg(message)
		}
	})
}

// replaceForwarded applies the whole list of the leader.
func (w *Watcher) replaceForwarded(now time.Time, read ForwardedReads) {
	log.Info().Int64("version", read.Version).Int64("known", w.listVersion.Load()).Int("workers", len(read.Changes)).Msg("whole list of workers comes from the leader")
	w.replaceList(now, read.Changes, read.Version, w.registrar.ReplaceForwarded, "worker is missing from the leader's list")
	w.listBase.Store(max(w.listBase.Load(), read.Version))
}
