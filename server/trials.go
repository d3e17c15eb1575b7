package server

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/trier"
)

// maxArbiters is the number of leaders that a node asks for a trial before it counts as reaching none.
const maxArbiters = 3

// arbitrations returns the zones whose leaders decide on trials, in the order in which every node asks them: by name, those that were heard lately.
func (f *FleetNode) arbitrations() []string {
	now := time.Now()
	zones := lo.Filter(lo.Uniq(append(f.workerZones(), f.leaseholder.Zones()...)), func(zone string, _ int) bool {
		return f.fleetTracker.IsLeaderLive(now, zone) || zone == f.settings.Zone() && f.isLeading()
	})
	slices.Sort(zones)
	return zones[:min(len(zones), maxArbiters)]
}

// beginTrial asks the first leader that replies, as trier.Arbitration describes.
func (f *FleetNode) beginTrial(deadline time.Time, trial trier.Trial) (granted bool, err error) {
	err = &noLeaderError{zone: "any"}
	timeout := time.Until(deadline) // Of each leader.
	for _, zone := range f.arbitrations() {
		if granted, err = f.askTrial(time.Now().Add(timeout), zone, newTryRequest(trial)); err == nil {
			return granted, nil
		}
	}
	return false, err
}

// endTrial reports the end of a trial to the first leader that replies.
func (f *FleetNode) endTrial(deadline time.Time, trial trier.Trial, freeAt time.Time) error {
	request := newTryRequest(trial)
	request.Ended, request.FreeMs = true, max(time.Until(freeAt).Milliseconds(), 0)
	var failed error = &noLeaderError{zone: "any"}
	timeout := time.Until(deadline)
	for _, zone := range f.arbitrations() {
		if _, failed = f.askTrial(time.Now().Add(timeout), zone, request); failed == nil {
			return nil
		}
	}
	return failed
}

func newTryRequest(trial trier.Trial) *nodewire.TryRequest {
	return &nodewire.TryRequest{Node: trial.Node, Request: trial.Request, Fingerprints: trial.Fingerprints, LastsMs: time.Until(trial.Until).Milliseconds()}
}

// askTrial sends a request about a trial to the leader of a zone, which may be this node.
func (f *FleetNode) askTrial(deadline time.Time, zone string, request *nodewire.TryRequest) (granted bool, err error) {
	if zone == f.settings.Zone() {
		if reply := f.try(request); reply.GetLeading() {
			return reply.GetGranted(), nil
		}
	}
	holder, _, known := f.leaseholder.Holder(zone)
	if !known || holder.Node == f.settings.Name() {
		return false, &noLeaderError{zone: zone}
	}
	client, err := f.peers.FleetClient(holder.Address)
	if err != nil {
		return false, err
	}
	ctx, cancel := peerclient.WithDeadline(deadline)
	defer cancel()
	reply, err := client.Try(ctx, request)
	if err != nil {
		return false, err
	}
	if !reply.GetLeading() {
		return false, &noLeaderError{zone: zone}
	}
	return reply.GetGranted(), nil
}

// try decides on a trial, or ends one, if this node leads its zone.
func (f *FleetNode) try(request *nodewire.TryRequest) *nodewire.TryReply {
	epoch, leading := f.leaseholder.Leading()
	if !leading {
		return &nodewire.TryReply{}
	}
	now := time.Now()
	trial := trier.Trial{Request: request.GetRequest(), Node: request.GetNode(), Fingerprints: request.GetFingerprints(), Until: now.Add(time.Duration(request.GetLastsMs()) * time.Millisecond)}
	if request.GetEnded() {
		f.arbiter.End(now, trial, now.Add(time.Duration(request.GetFreeMs())*time.Millisecond))
		return &nodewire.TryReply{Leading: true}
	}
	return &nodewire.TryReply{Leading: true, Granted: f.arbiter.Begin(now, epoch, trial)}
}
