package conductor

import (
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// unrelayed marks a follower whose knowledge of the list of workers is not known yet.
const unrelayed = -1

// relay returns what a follower of this zone does not know yet of the list of
// workers, so that it need not read the store. That this node's own reads fail is
// not told: the store may be there for others, and who reads by itself finds out. The caller holds mu.
func (c *Conductor) relay(now time.Time, f *follower) *nodewire.Relay {
	node := c.demand.nodes[f.node]
	if node == nil || node.zone != c.parts.Zone || node.leads || f.relayed == unrelayed {
		return nil
	}
	freshness := c.parts.Fresh(now)
	if freshness.ReadAt.IsZero() || f.relayed < freshness.Base {
		return nil // The node reads by itself.
	}
	changes := c.parts.List.Since(f.relayed)
	message := &nodewire.Relay{
		Version: freshness.Version, AgeMs: now.Sub(freshness.ReadAt).Milliseconds(),
		Changes: lo.Map(changes, func(change registrar.Change, _ int) *nodewire.Heartbeat { return heartbeatOf(&change) }),
	}
	f.relayed = max(f.relayed, freshness.Version)
	return message
}

// Freshness is how well this node knows the list of workers by its own reads.
type Freshness struct {
	// Base and Version are those of the store between which all changes are known.
	Base, Version int64
	// ReadAt is when the store last answered; zero when this node does not read by itself.
	ReadAt time.Time
}

func heartbeatOf(change *registrar.Change) *nodewire.Heartbeat {
	w := &change.Worker
	message := &nodewire.Heartbeat{Worker: w.ID, Removed: change.Removed, RowVersion: w.RowVersion}
	if change.Removed {
		return message
	}
	message.Service, message.Zone, message.Address, message.Slots = w.Service, w.Zone, w.Address, int32(w.Slots)
	message.Leaving, message.Born = w.Leaving, w.Born
	for model, adapters := range w.Held {
		message.Units = append(message.Units, &nodewire.UnitView{Model: model, Adapters: adapters})
	}
	return message
}
