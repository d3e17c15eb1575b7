package server

import (
	"context"
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/acaciaproxy/acaciaproxy/limiter"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// fleetService handles the calls of other nodes to a FleetNode.
type fleetService struct {
	nodewire.UnimplementedFleetServer
	node *FleetNode
}

// Follow implements nodewire.FleetServer: it streams the leader's view and receives the node's demand.
func (s *fleetService) Follow(stream nodewire.Fleet_FollowServer) error {
	subscription := s.node.fleetLeader.Subscribe()
	if subscription == nil {
		return status.Error(codes.FailedPrecondition, "this node does not lead its zone")
	}
	defer subscription.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			demand, err := stream.Recv()
			if err != nil {
				return // The node closed the stream or the connection failed; either ends the subscription.
			}
			subscription.ReceiveDemand(demand)
			for _, crash := range demand.GetSuspicions() {
				s.node.learnCrash(crash, demand.GetNode())
			}
			for _, limit := range demand.GetLimits() {
				s.node.learnLimit(limit, demand.GetNode())
			}
			for _, service := range demand.GetBrittle() {
				s.node.learnBrittle(service)
			}
			s.node.learnStreams(demand.GetZone(), demand.GetStreams())
			for _, departure := range demand.GetDepartures() {
				s.node.learnDeparture(departure, demand.GetNode())
			}
			s.node.watcher.NotifyVersion(demand.GetConfig())
		}
	}()
	for {
		view := subscription.Next(ended)
		if view == nil {
			return nil
		}
		if err := stream.Send(view); err != nil {
			return err
		}
	}
}

// Promise implements nodewire.FleetServer. It promises nothing to a leader of another zone.
func (s *fleetService) Promise(_ context.Context, request *nodewire.PromiseRequest) (*nodewire.PromiseReply, error) {
	reply := &nodewire.PromiseReply{Incarnation: s.node.leaseholder.Self().Incarnation}
	if request.GetZone() == s.node.settings.Zone() {
		reply.Promised = s.node.leaseholder.Promise(request.GetLeader(), request.GetEpoch(), time.Duration(request.GetHoldMs())*time.Millisecond)
	}
	return reply, nil
}

// Permit implements nodewire.FleetServer. It grants nothing unless this node leads the zone.
func (s *fleetService) Permit(_ context.Context, request *nodewire.PermitRequest) (*nodewire.PermitReply, error) {
	s.node.learnLimit(request.GetLimit(), request.GetNode())
	granted, retryAt, leading := s.node.grantPermits(request.GetNode(), request.GetZone(), newLimit(request.GetLimit()), int(request.GetWanted()))
	return &nodewire.PermitReply{Leading: leading, Granted: int32(granted), RetryMs: time.Until(retryAt).Milliseconds()}, nil
}

// Reserve implements nodewire.FleetServer. It grants nothing unless this node leads the zone.
func (s *fleetService) Reserve(_ context.Context, request *nodewire.ReserveRequest) (*nodewire.ReserveReply, error) {
	now := time.Now()
	uses := lo.Map(request.GetUses(), func(use *nodewire.SlotUse, _ int) limiter.SlotUse { return newSlotUse(now, use) })
	granted, retryAt, leading := s.node.applySlotUses(now, request.GetNode(), request.GetZone(), uses)
	return &nodewire.ReserveReply{Leading: leading, Granted: granted, RetryMs: max(retryAt.Sub(now).Milliseconds(), 0)}, nil
}

// Try implements nodewire.FleetServer. It grants nothing unless this node leads its zone.
func (s *fleetService) Try(_ context.Context, request *nodewire.TryRequest) (*nodewire.TryReply, error) {
	return s.node.try(request), nil
}

// TakeTokens implements nodewire.FleetServer. It grants nothing unless this node leads its zone.
func (s *fleetService) TakeTokens(_ context.Context, request *nodewire.TakeTokensRequest) (*nodewire.TakeTokensReply, error) {
	grants, leading := s.node.allowances.grant(request.GetNode(), request.GetZone(), newTokenRequests(request.GetTenants()))
	return &nodewire.TakeTokensReply{Leading: leading, Tenants: newTokenGrants(grants)}, nil
}

// Carry implements nodewire.FleetServer.
func (s *fleetService) Carry(request *nodewire.CarryRequest, stream nodewire.Fleet_CarryServer) error {
	return s.node.serveCarried(request, stream)
}

// FindStream implements nodewire.FleetServer.
func (s *fleetService) FindStream(_ context.Context, request *nodewire.FindStreamRequest) (*nodewire.FindStreamReply, error) {
	return s.node.findOwnStream(request.GetService(), request.GetAttempt()), nil
}

// Succeed implements nodewire.FleetServer: it makes this node read the lease that its zone's leader released.
func (s *fleetService) Succeed(_ context.Context, request *nodewire.SucceedRequest) (*nodewire.SucceedReply, error) {
	if request.GetZone() != s.node.settings.Zone() {
		return &nodewire.SucceedReply{}, nil
	}
	s.node.leaseholder.ReadNow()
	return &nodewire.SucceedReply{Accepted: true}, nil
}
