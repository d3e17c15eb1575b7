package fleetleader

import (
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// unknownListVersion marks a follower that has not sent its version of the list of workers yet.
const unknownListVersion = -1

// buildForwardedReads returns the changes of the list of workers that a follower of this
// zone lacks, so that it need not read the store, or the whole list if they are not all known
// and the follower cannot read it. It returns nil for leaders, for
// followers of other zones and for followers that must read the store themselves.
// Failed reads of this node are not reported: other nodes may still reach the
// store, and a node that reads the store notices its failures. The caller holds mu.
func (l *Leader) buildForwardedReads(now time.Time, f *follower) *nodewire.Relay {
	node := l.demand.nodes[f.node]
	if node == nil || node.zone != l.dependencies.Zone || node.leads || f.listVersion == unknownListVersion {
		return nil
	}
	freshness := l.dependencies.ListFreshness(now)
	whole := f.listVersion < freshness.BaseVersion
	if freshness.ReadAt.IsZero() || whole && !f.unanswered {
		return nil // The follower must read the store itself.
	}
	changes := l.dependencies.Workers.ChangesSince(f.listVersion)
	if whole {
		changes = l.dependencies.Workers.Entries()
		log.Info().Str("node", f.node).Int64("version", freshness.Version).Int64("base", freshness.BaseVersion).Int64("known", f.listVersion).Int("workers", len(changes)).
			Msg("whole list of workers forwarded")
	}
	message := &nodewire.Relay{
		Version: freshness.Version, AgeMs: now.Sub(freshness.ReadAt).Milliseconds(), Whole: whole,
		Changes: lo.Map(changes, func(change registrar.Change, _ int) *nodewire.Heartbeat { return heartbeatOf(&change) }),
	}
	if !freshness.EraBegan.IsZero() {
		message.EraMs = max(now.Sub(freshness.EraBegan).Milliseconds(), 1)
	}
	f.listVersion = max(f.listVersion, freshness.Version)
	return message
}

// Freshness is how up to date this node's own reads of the store keep the list of workers.
type Freshness struct {
	// BaseVersion and Version are versions of the store; all changes between them are known.
	BaseVersion, Version int64
	// ReadAt is when the store last responded; zero if this node does not read the store itself.
	ReadAt time.Time
	// EraBegan is when the store was in the era of Version already; zero in era 0.
	EraBegan time.Time
}

func heartbeatOf(change *registrar.Change) *nodewire.Heartbeat {
	w := &change.Worker
	message := &nodewire.Heartbeat{Worker: w.ID, Removed: change.Removed, RowVersion: w.RowVersion}
	if change.Removed {
		return message
	}
	message.Service, message.Zone, message.Address, message.Slots = w.Service, w.Zone, w.Address, int32(w.Slots)
	message.Leaving, message.Born, message.Software = w.Leaving, w.Incarnation, w.Software
	for model, adapters := range w.Loaded {
		message.Units = append(message.Units, &nodewire.UnitView{Model: model, Adapters: adapters})
	}
	return message
}
