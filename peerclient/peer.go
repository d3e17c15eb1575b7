// Package peerclient speaks with the other nodes.
package peerclient

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

// Times after which a silent connection to a node is dropped.
const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	longestBackoff   = 1 * time.Second
	connectTimeout   = 1 * time.Second
)

// Pool holds one connection for each node. It is safe for use by several goroutines.
type Pool struct {
	// Node returns the client of the node at an address; it is a seam for tests.
	Node func(address string) (nodewire.NodeClient, error)
	// mu guards connections.
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	p := &Pool{connections: map[string]*grpc.ClientConn{}}
	p.Node = p.connect
	return p
}

func (p *Pool) connect(address string) (nodewire.NodeClient, error) {
	connection, err := p.connection(address)
	if err != nil {
		return nil, err
	}
	return nodewire.NewNodeClient(connection), nil
}

// Fleet returns the client of the fleet service of the node at an address.
func (p *Pool) Fleet(address string) (nodewire.FleetClient, error) {
	connection, err := p.connection(address)
	if err != nil {
		return nil, err
	}
	return nodewire.NewFleetClient(connection), nil
}

// Drop closes the connection to a node, for instance because it went silent.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection, open := p.connections[address]; open {
		_ = connection.Close() // Nothing is sent over it any more.
		delete(p.connections, address)
	}
}

// connection returns the connection to a node, opening it if need be.
func (p *Pool) connection(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection, open := p.connections[address]; open {
		return connection, nil
	}
	connection, err := grpc.NewClient(address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: longestBackoff / 10, Multiplier: 1.6, MaxDelay: longestBackoff},
			MinConnectTimeout: connectTimeout,
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("connect to node %s: %w", address, err)
	}
	p.connections[address] = connection
	return connection, nil
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range p.connections {
		_ = connection.Close()
	}
	p.connections = map[string]*grpc.ClientConn{}
}

// Until returns a context that ends at a deadline.
func Until(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), deadline)
}
