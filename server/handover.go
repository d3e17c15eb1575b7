package server

import (
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
)

// succeedTimeout bounds the call that asks the successor to take the lease.
const succeedTimeout = 300 * time.Millisecond

// handOver releases the zone's lease, if this node holds it, and asks the successor to take it.
func (f *FleetNode) handOver() {
	address, found := f.fleetLeader.Successor()
	_, epoch, _ := f.leaseholder.Holder(f.settings.Zone())
	if !f.leaseholder.Resign() || !found {
		return
	}
	f.fleetLeader.Wake()
	client, err := f.peers.FleetClient(address)
	if err != nil {
		log.Warn().Str("successor", address).Err(err).Msg("successor not notified of the released lease; it will find out by its own reads")
		return
	}
	ctx, cancel := peerclient.WithDeadline(time.Now().Add(succeedTimeout))
	defer cancel()
	if _, err := client.Succeed(ctx, &nodewire.SucceedRequest{Zone: f.settings.Zone(), Epoch: epoch}); err != nil {
		log.Warn().Str("successor", address).Err(err).Msg("successor not notified of the released lease; it will find out by its own reads")
	}
}
