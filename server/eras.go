package server

import (
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// observeEra is called when the store names its era first, and when the era rises: then the store has come back from an older copy. The
// list of workers, the crashes and the lease are reconciled by the next reads; this makes them happen now.
func (f *FleetNode) observeEra(previous, current int64) {
	now := time.Now()
	if previous < 0 {
		log.Info().Str("node", f.settings.Name()).Int64("era", current).Msg("store's era known")
		return
	}
	readAge := int64(-1)
	if readAt := f.watcher.ReadAt(now); !readAt.IsZero() {
		readAge = now.Sub(readAt).Milliseconds()
	}
	log.Warn().Str("node", f.settings.Name()).Int64("era", current).Int64("previous", previous).Int64("list_version", f.watcher.ListVersion()).Int64("age_ms", readAge).
		Msg("store has come back from an older copy")
	f.recorder.Count("store restores")
	if version, valid := platformclient.NewVersion(current, 0); valid {
		f.watcher.ObserveEra(now, version)
	}
	f.crashKeeper.NotifyRestored()
	f.leaseholder.ReadNow()
}

// learnEra records for how long the store has been in an era, as a lease says that was written in it.
func (f *FleetNode) learnEra(era int64, age time.Duration) {
	if version, valid := platformclient.NewVersion(era, 0); valid {
		go f.watcher.ObserveEra(time.Now().Add(-age), version)
	}
}
