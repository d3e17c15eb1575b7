package server

import (
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/acaciaproxy/acaciaproxy/limiter"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
)

// tellPause is how long a node collects what became of slots before it tells the leaders.
const tellPause = 10 * time.Millisecond

// tellLater calls a function after tellPause, as limiter.Reservations describes.
func tellLater(tell func(now time.Time)) {
	time.AfterFunc(tellPause, func() { tell(time.Now()) })
}

// reserveSlots tells the leader of a zone about slots of brittle workers, as limiter.Reservations describes.
func (f *FleetNode) reserveSlots(deadline time.Time, zone string, uses []limiter.SlotUse) (granted bool, retryAt time.Time, err error) {
	now := time.Now()
	if granted, retryAt, leading := f.applySlotUses(now, f.settings.Name(), zone, uses); leading {
		return granted, retryAt, nil
	}
	holder, _, known := f.leaseholder.Holder(zone)
	if !known || holder.Node == f.settings.Name() {
		return false, time.Time{}, &noLeaderError{zone: zone}
	}
	client, err := f.peers.FleetClient(holder.Address)
	if err != nil {
		return false, time.Time{}, err
	}
	ctx, cancel := peerclient.WithDeadline(deadline)
	defer cancel()
	message := &nodewire.ReserveRequest{Node: f.settings.Name(), Zone: zone, Uses: lo.Map(uses, func(use limiter.SlotUse, _ int) *nodewire.SlotUse { return newSlotUseMessage(now, use) })}
	reply, err := client.Reserve(ctx, message)
	if status.Code(err) == codes.Unimplemented {
		return false, time.Time{}, limiter.NewEarlierLeaderError(zone)
	}
	if err != nil {
		return false, time.Time{}, err
	}
	if !reply.GetLeading() {
		return false, time.Time{}, &noLeaderError{zone: zone}
	}
	return reply.GetGranted(), time.Now().Add(time.Duration(reply.GetRetryMs()) * time.Millisecond), nil
}

// applySlotUses applies what a node tells of slots if this node leads the zone, and returns whether the slot that it wants is granted.
func (f *FleetNode) applySlotUses(now time.Time, node, zone string, uses []limiter.SlotUse) (granted bool, retryAt time.Time, leading bool) {
	epoch, leading := f.leaseholder.Leading()
	if !leading || zone != f.settings.Zone() {
		return false, time.Time{}, false
	}
	for _, use := range uses {
		running := 0
		if announcement := f.fleetTracker.Announcement(use.Worker); announcement != nil && announcement.Incarnation == use.Incarnation {
			running = announcement.Running
		}
		grantedUse, useRetryAt := f.slotGranter.Apply(now, epoch, node, use, running)
		if use.Wanted {
			granted, retryAt = grantedUse, useRetryAt
		}
	}
	return granted, retryAt, true
}

// newSlotUse decodes a use that another node sent.
func newSlotUse(now time.Time, use *nodewire.SlotUse) limiter.SlotUse {
	return limiter.SlotUse{
		Worker: use.GetWorker(), Incarnation: use.GetBorn(), Slots: int(use.GetSlots()), PerSecond: use.GetPerSecond(), Wanted: use.GetWanted(),
		EndsAt:   now.Add(time.Duration(use.GetLastsMs()) * time.Millisecond),
		Accepted: int(use.GetAccepted()), Rejected: int(use.GetRejected()), Ended: int(use.GetEnded()),
	}
}

// newSlotUseMessage encodes a use for another node.
func newSlotUseMessage(now time.Time, use limiter.SlotUse) *nodewire.SlotUse {
	return &nodewire.SlotUse{
		Worker: use.Worker, Born: use.Incarnation, Slots: int32(use.Slots), PerSecond: use.PerSecond, Wanted: use.Wanted, LastsMs: use.EndsAt.Sub(now).Milliseconds(),
		Accepted: int32(use.Accepted), Rejected: int32(use.Rejected), Ended: int32(use.Ended),
	}
}

// brittleSince returns the news of brittle services that this node knows, or only what workers told it, with numbers from first on, and the number from
// which to continue.
func (f *FleetNode) brittleSince(first int64, ownOnly bool) (services []*nodewire.BrittleService, next int64) {
	now := time.Now()
	news, next := f.limiter.BrittleSince(now, first, ownOnly)
	return lo.Map(news, func(b limiter.Brittle, _ int) *nodewire.BrittleService {
		return &nodewire.BrittleService{Service: b.Service, PerSecond: b.PerSecond, AgeMs: now.Sub(b.ObservedAt).Milliseconds()}
	}), next
}

// learnBrittle applies the news of a brittle service that another node sent.
func (f *FleetNode) learnBrittle(service *nodewire.BrittleService) {
	now := time.Now()
	f.limiter.LearnBrittle(now, limiter.Brittle{Service: service.GetService(), PerSecond: service.GetPerSecond(), ObservedAt: now.Add(-time.Duration(max(service.GetAgeMs(), 0)) * time.Millisecond)})
}
