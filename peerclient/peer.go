// Package peerclient holds the gRPC connections to the other nodes.
package peerclient

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// Times of a connection to a node.
const (
	// keepaliveTime is the time without traffic during a call after which a ping is sent; the connection is closed if
	// the ping is not acknowledged within keepaliveTimeout.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// maxBackoff is the longest pause between two attempts to connect.
	maxBackoff = 1 * time.Second
	// connectTimeout is the least time that an attempt to connect has before it fails.
	connectTimeout = 1 * time.Second
)

// Pool holds one connection to each node. It is safe for concurrent use.
type Pool struct {
	// NodeClient returns the client of the Node service of the node at an address (host:port). Tests replace it to
	// connect nodes without a network.
	NodeClient func(address string) (nodewire.NodeClient, error)
	// mu guards connections.
	mu sync.Mutex
	// connections maps addresses to connections.
	connections map[string]*grpc.ClientConn
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	p := &Pool{connections: map[string]*grpc.ClientConn{}}
	p.NodeClient = p.connect
	return p
}

func (p *Pool) connect(address string) (nodewire.NodeClient, error) {
	connection, err := p.connection(address)
	if err != nil {
		return nil, err
	}
	return nodewire.NewNodeClient(connection), nil
}

// FleetClient returns the client of the Fleet service of the node at an address (host:port).
func (p *Pool) FleetClient(address string) (nodewire.FleetClient, error) {
	connection, err := p.connection(address)
	if err != nil {
		return nil, err
	}
	return nodewire.NewFleetClient(connection), nil
}

// AwaitReady reports whether there is a connection to a node by the deadline, and opens it if need be. A call that is made then fails without having been sent
// only if the connection breaks in between.
func (p *Pool) AwaitReady(deadline time.Time, address string) bool {
	connection, err := p.connection(address)
	if err != nil {
		return false // The address is not valid; the caller tries another node.
	}
	ctx, cancel := WithDeadline(deadline)
	defer cancel()
	connection.Connect()
	for state := connection.GetState(); state != connectivity.Ready; state = connection.GetState() {
		if state == connectivity.TransientFailure || state == connectivity.Shutdown || !connection.WaitForStateChange(ctx, state) {
			return false
		}
	}
	return true
}

// Drop closes the connection to a node, for instance because the node no longer
// replies; the next use of its address opens a new one.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection, found := p.connections[address]; found {
		_ = connection.Close() // The connection is not used again.
		delete(p.connections, address)
	}
}

// connection returns the connection to a node and creates it if there is none.
func (p *Pool) connection(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection, found := p.connections[address]; found {
		return connection, nil
	}
	connection, err := grpc.NewClient(address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: maxBackoff / 10, Multiplier: 1.6, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("create gRPC client for the node at %q: %w", address, err)
	}
	p.connections[address] = connection
	return connection, nil
}

// Close closes every connection. The pool may be used again.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range p.connections {
		_ = connection.Close()
	}
	p.connections = map[string]*grpc.ClientConn{}
}

// WithDeadline returns a context that ends at a deadline, with its cancel function.
func WithDeadline(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), deadline)
}
