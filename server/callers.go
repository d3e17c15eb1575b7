package server

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/acaciaproxy/acaciaproxy/connlimiter"
	"github.com/acaciaproxy/acaciaproxy/lingerer"
)

// Limits of the calls of other nodes.
const (
	// maxMessageBytes bounds a message; the largest legal ones are the whole demand of a node, with its bound of 4,096 adapters less than 1 MB, and a
	// carried request of 256 KB.
	maxMessageBytes = 2 << 20
	// maxCallsPerNode bounds the calls of one connection at a time: a node carries at most 256 requests and has a few other calls.
	maxCallsPerNode = 512
	// maxCallHeaderBytes bounds the header of a call, which has no content of the caller's.
	maxCallHeaderBytes = 16 << 10
	// nodeConnectTime bounds the time until a new connection has said that it is one of a node.
	nodeConnectTime = 10 * time.Second
	// minPingTime is the least time between pings; nodes send one in 10 s.
	minPingTime = 3 * time.Second
	// silentTime is the time without traffic after which a connection is probed, silentTimeout that until it is closed then.
	silentTime    = 60 * time.Second
	silentTimeout = 20 * time.Second
)

// newNodeServer returns the server of the calls of other nodes, with limits that no node reaches.
func newNodeServer() *grpc.Server {
	return grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxCallsPerNode), grpc.MaxHeaderListSize(maxCallHeaderBytes),
		grpc.ConnectionTimeout(nodeConnectTime),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingTime, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: silentTime, Timeout: silentTimeout}),
	)
}

// lingerLimits returns the limits of callers' closed connections.
func lingerLimits(limiter *connlimiter.Limiter) lingerer.Limits {
	limits := lingerer.DefaultLimits()
	limits.Connections = limiter.MaxLingerers()
	return limits
}
