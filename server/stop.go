package server

import (
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
)

const (
	// fleetBalancerDelay is how long the load balancer may take to stop sending connections: two checks, a second apart, and a reserve.
	fleetBalancerDelay = 2500 * time.Millisecond
	// killReserve is the time from the end of draining to the drain limit, at which the platform kills the process.
	killReserve = 900 * time.Millisecond
	// lingerTimeout bounds the wait of a stopping node for callers that are still sending requests that it has answered.
	lingerTimeout = 300 * time.Millisecond
	// succeedTimeout bounds the call that asks the successor to take the lease.
	succeedTimeout = 300 * time.Millisecond
)

// stop drains the node: the readiness check fails, the lease is handed over,
// the requests in flight end, and then the listeners close.
func (f *FleetNode) stop() {
	began := time.Now()
	log.Info().Str("node", f.settings.Name()).Int64("in_flight", f.forwarder.InFlight()).Msg("node stops")
	go f.handOver()
	f.forwarder.Drain(began.Add(fleetBalancerDelay), began.Add(f.settings.DrainTimeout()-killReserve))
	log.Info().Str("node", f.settings.Name()).Int64("in_flight", f.forwarder.InFlight()).Int64("after_ms", time.Since(began).Milliseconds()).Msg("node stopped")
	f.forwarder.Close()
	f.callers.Wait(time.Now().Add(lingerTimeout))
	f.subscriber.Stop()
	f.allowances.stop()
	f.fleetLeader.Stop()
	f.leaseholder.Stop()
	f.watcher.Stop()
	f.crashKeeper.Stop()
	f.archiver.Stop()
	f.grpc.Stop()
	_ = f.metrics.Stop() // The process is about to exit, so a failure has no effect.
	f.peers.Close()
	f.workers.Close()
}

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
