package server

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/claimer"
	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// nodeService handles the calls of other nodes to a Server.
type nodeService struct {
	nodewire.UnimplementedNodeServer
	server *Server
}

// Ask implements nodewire.NodeServer.
func (n *nodeService) Ask(ctx context.Context, request *nodewire.AskRequest) (*nodewire.AskReply, error) {
	return n.server.leader.Ask(ctx, request), nil
}

// Pull implements nodewire.NodeServer.
func (n *nodeService) Pull(_ context.Context, request *nodewire.PullRequest) (*nodewire.PullReply, error) {
	return n.server.leader.Pull(request), nil
}

// Hold implements nodewire.NodeServer.
func (n *nodeService) Hold(_ context.Context, request *nodewire.HoldRequest) (*nodewire.HoldReply, error) {
	return n.server.leader.Hold(request), nil
}

// Collect implements nodewire.NodeServer.
func (n *nodeService) Collect(context.Context, *nodewire.CollectRequest) (*nodewire.CollectReply, error) {
	return n.server.leader.Collect(), nil
}

// Resign implements nodewire.NodeServer.
func (n *nodeService) Resign(_ context.Context, request *nodewire.ResignRequest) (*nodewire.ResignReply, error) {
	return n.server.leader.Resign(request), nil
}

// Invite implements nodewire.NodeServer.
func (n *nodeService) Invite(_ context.Context, request *nodewire.InviteRequest) (*nodewire.InviteReply, error) {
	return n.server.leader.Invite(request), nil
}

// Suspect implements nodewire.NodeServer. Only a leader returns verdicts.
func (n *nodeService) Suspect(_ context.Context, request *nodewire.SuspectRequest) (*nodewire.SuspectReply, error) {
	if _, leading := n.server.leader.Leading(); !leading {
		return &nodewire.SuspectReply{}, nil
	}
	return &nodewire.SuspectReply{Leading: true, Verdicts: n.server.crashReporter.HandleReport(request)}, nil
}

// Changes implements nodewire.NodeServer. It returns the complete configuration when the requested changes are no longer in memory.
func (n *nodeService) Changes(_ context.Context, request *nodewire.ChangesRequest) (*nodewire.ChangesReply, error) {
	changes, snapshot := n.server.follower.ChangesSince(request.GetAfter())
	reply := &nodewire.ChangesReply{}
	if snapshot != nil {
		reply.Snapshot = string(snapshot.Configuration().Text())
		reply.SnapshotVersion = snapshot.Version()
	}
	for _, change := range changes {
		body, err := json.Marshal(change)
		if err != nil {
			return nil, fmt.Errorf("encode change %d: %w", change.Version, err)
		}
		reply.Changes = append(reply.Changes, &nodewire.Change{Version: change.Version, Body: string(body)})
	}
	return reply, nil
}

// applyChanges applies a peer's reply to the configuration in force.
func applyChanges(configFollower *configfollower.Follower, reply *nodewire.ChangesReply) error {
	if reply.GetSnapshot() != "" {
		return configFollower.ApplySnapshot(reply.GetSnapshotVersion(), []byte(reply.GetSnapshot()))
	}
	for _, encoded := range reply.GetChanges() {
		var change configfollower.Change
		if err := json.Unmarshal([]byte(encoded.GetBody()), &change); err != nil {
			return fmt.Errorf("decode change %d of the configuration from a peer: %w", encoded.GetVersion(), err)
		}
		if err := configFollower.ApplyChange(change); err != nil {
			return err
		}
	}
	return nil
}

// sweepPeriod is the time in which one leader would sweep all shards of claims once. The
// leaders of n zones, which sweep concurrently, take an nth of it.
const sweepPeriod = time.Hour

// sweepClaims deletes expired claims while this node leads its zone. The zones
// divide the shards by their position in the deployment's list.
func (s *Server) sweepClaims() {
	claims := do.MustInvoke[*claimer.Claimer](s.injector)
	for shard := 0; ; shard = (shard + 1) % claimer.ShardCount {
		if !s.ownsShard(shard) {
			continue
		}
		select {
		case <-s.poller.stopped:
			return
		case <-time.After(sweepPeriod / claimer.ShardCount):
		}
		if _, leading := s.leader.Leading(); !leading {
			continue
		}
		if swept, err := claims.Sweep(shard, time.Now()); err != nil || swept > 0 {
			log.Info().Str("zone", s.settings.Zone()).Int("shard", shard).Int("swept", swept).Err(err).Msg("sweep of expired claims ended")
		}
	}
}

// ownsShard reports whether this node's zone sweeps a shard.
func (s *Server) ownsShard(shard int) bool {
	configuration := s.follower.Current().Configuration()
	if configuration == nil {
		return true
	}
	deployment, _ := configuration.Deployment()
	zones := deployment.Zones()
	return len(zones) == 0 || shard%len(zones) == max(lo.IndexOf(zones, s.settings.Zone()), 0)
}
