package server

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// fleetService answers the other nodes on a platform with a fleet.
type fleetService struct {
	nodewire.UnimplementedFleetServer
	fleet *Fleet
}

// Follow implements nodewire.FleetServer.
func (s *fleetService) Follow(stream nodewire.Fleet_FollowServer) error {
	subscription := s.fleet.conductor.Subscribe()
	if subscription == nil {
		return status.Error(codes.FailedPrecondition, "this node does not lead its zone")
	}
	defer subscription.End()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			demand, err := stream.Recv()
			if err != nil {
				return // The node left or the stream broke; both end it.
			}
			subscription.Take(demand)
			s.fleet.watcher.Hear(demand.GetConfig())
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

// Promise implements nodewire.FleetServer.
func (s *fleetService) Promise(_ context.Context, request *nodewire.PromiseRequest) (*nodewire.PromiseReply, error) {
	reply := &nodewire.PromiseReply{Incarnation: s.fleet.lease.Self().Incarnation}
	if request.GetZone() == s.fleet.settings.Zone() {
		reply.Promised = s.fleet.lease.Promise(request.GetLeader(), request.GetEpoch(), time.Duration(request.GetHoldMs())*time.Millisecond)
	}
	return reply, nil
}

// Succeed implements nodewire.FleetServer.
func (s *fleetService) Succeed(_ context.Context, request *nodewire.SucceedRequest) (*nodewire.SucceedReply, error) {
	if request.GetZone() != s.fleet.settings.Zone() {
		return &nodewire.SucceedReply{}, nil
	}
	s.fleet.lease.Wake()
	return &nodewire.SucceedReply{Accepted: true}, nil
}
