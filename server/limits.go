package server

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/limiter"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
)

// noLeaderError reports that a zone's leader is unknown or that the node asked does not lead it.
type noLeaderError struct {
	// zone is the zone's name.
	zone string
}

// Error names the zone.
func (e *noLeaderError) Error() string { return fmt.Sprintf("no leader of zone %q replies", e.zone) }

// askPermits asks the leader of a zone for permits for a worker, as limiter.Ask describes.
func (f *FleetNode) askPermits(deadline time.Time, zone string, limit limiter.Limit, wanted int) (granted int, retryAt time.Time, err error) {
	if granted, retryAt, leading := f.grantPermits(f.settings.Name(), zone, limit, wanted); leading {
		return granted, retryAt, nil
	}
	holder, _, known := f.leaseholder.Holder(zone)
	if !known || holder.Node == f.settings.Name() {
		return 0, time.Time{}, &noLeaderError{zone: zone}
	}
	client, err := f.peers.FleetClient(holder.Address)
	if err != nil {
		return 0, time.Time{}, err
	}
	ctx, cancel := peerclient.WithDeadline(deadline)
	defer cancel()
	reply, err := client.Permit(ctx, &nodewire.PermitRequest{Node: f.settings.Name(), Zone: zone, Limit: newWorkerLimit(limit), Wanted: int32(wanted)})
	if err != nil {
		return 0, time.Time{}, err
	}
	if !reply.GetLeading() {
		return 0, time.Time{}, &noLeaderError{zone: zone}
	}
	return int(reply.GetGranted()), time.Now().Add(time.Duration(reply.GetRetryMs()) * time.Millisecond), nil
}

// grantPermits grants permits for a worker of a zone if this node leads the zone.
func (f *FleetNode) grantPermits(node, zone string, limit limiter.Limit, wanted int) (granted int, retryAt time.Time, leading bool) {
	epoch, leading := f.leaseholder.Leading()
	if !leading || zone != f.settings.Zone() {
		return 0, time.Time{}, false
	}
	granted, retryAt = f.granter.Grant(time.Now(), epoch, node, limit, wanted)
	return granted, retryAt, true
}

// limitsSince returns the changes of workers' limits that this node knows, or only those that workers named to it, with numbers from first
// on, and the number from which to continue.
func (f *FleetNode) limitsSince(first int64, ownOnly bool) (limits []*nodewire.WorkerLimit, next int64) {
	known, next := f.limiter.Since(first, ownOnly)
	return lo.Map(known, func(limit limiter.Limit, _ int) *nodewire.WorkerLimit { return newWorkerLimit(limit) }), next
}

// learnLimit applies a limit that another node sent; source names that node.
func (f *FleetNode) learnLimit(limit *nodewire.WorkerLimit, source string) {
	f.limiter.Learn(time.Now(), newLimit(limit), source)
}

// isLimited reports whether a worker names a limit.
func (f *FleetNode) isLimited(worker string, incarnation int64) bool {
	_, limited := f.limiter.PerSecond(worker, incarnation)
	return limited
}

func newLimit(limit *nodewire.WorkerLimit) limiter.Limit {
	return limiter.Limit{Worker: limit.GetWorker(), Incarnation: limit.GetBorn(), PerSecond: limit.GetPerSecond(), Ended: limit.GetEnded(), Stamp: limit.GetStamp()}
}

func newWorkerLimit(limit limiter.Limit) *nodewire.WorkerLimit {
	return &nodewire.WorkerLimit{Worker: limit.Worker, Born: limit.Incarnation, PerSecond: limit.PerSecond, Ended: limit.Ended, Stamp: limit.Stamp}
}
