// Package faultinjector is a TCP proxy on a loopback address that impairs the connections through
// it: it delays bytes, drops them in one or both directions, or resets the connections.
package faultinjector

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// Mode is how the proxy treats the bytes that it receives.
type Mode int32

// Modes of a Proxy. A new one is in ModePass.
const (
	// ModePass forwards all bytes.
	ModePass Mode = iota
	// ModeDelay forwards every chunk after chunkDelay.
	ModeDelay
	// ModeDropResponses drops the bytes that the target sends.
	ModeDropResponses
	// ModeDropAll drops all bytes. New connections are still accepted, unless Silence was called.
	ModeDropAll
)

// chunkDelay is how long ModeDelay delays each chunk; an exchange of several chunks is delayed once for each.
const chunkDelay = 80 * time.Millisecond

// Proxy forwards connections to a target. It is safe for concurrent use.
type Proxy struct {
	// address is where the proxy listens unless it refuses connections.
	address string
	mode    atomic.Int32
	// mu guards the fields below.
	mu sync.Mutex
	// listener is closed while the proxy refuses connections and after Close.
	listener net.Listener
	target   string
	// conns holds the open connections: those from clients and those to the target.
	conns map[net.Conn]bool
}

// New returns a proxy that listens on a free loopback port and forwards to the target, given as "host:port". The target need
// not listen yet.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the proxy to %s: %w", target, err)
	}
	p := &Proxy{address: listener.Addr().String(), listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept(listener)
	return p, nil
}

// Address returns the address at which the proxy listens, as "host:port".
func (p *Proxy) Address() string { return p.address }

// Refuse closes the listener and resets all connections, so that the proxy's address refuses connections like that of a
// process that has ended.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	_ = p.listener.Close() // Fails only if it is closed already.
	p.mu.Unlock()
	p.Reset()
}

// Accept listens again after Refuse or Silence. It fails if the address is in use until the deadline.
func (p *Proxy) Accept(deadline time.Time) error {
	p.mu.Lock()
	_ = p.listener.Close() // Fails only if it is closed already.
	p.mu.Unlock()
	for {
		listener, err := net.Listen("tcp", p.address)
		if err == nil {
			p.mu.Lock()
			p.listener = listener
			p.mu.Unlock()
			go p.accept(listener)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("listen at %s again: %w", p.address, err)
		}
		time.Sleep(listenPause)
	}
}

// listenPause is the pause between two attempts to listen at an address that is in use.
const listenPause = 20 * time.Millisecond

// SetMode changes the mode for all bytes received from now on, those of open connections included.
func (p *Proxy) SetMode(mode Mode) { p.mode.Store(int32(mode)) }

// SetTarget changes the target of new connections; open ones keep theirs.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Reset closes every open connection with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	open := make([]net.Conn, 0, len(p.conns))
	for conn := range p.conns {
		open = append(open, conn)
	}
	p.mu.Unlock()
	for _, conn := range open {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		p.close(conn)
	}
}

// Close stops the proxy and resets its open connections.
func (p *Proxy) Close() { p.Refuse() }

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // The listener is closed.
		}
		go p.connect(conn)
	}
}

// connect forwards between an accepted connection and a new one to the target. If the target cannot be connected to, the
// client's connection is reset.
func (p *Proxy) connect(client net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		log.Debug().Str("target", target).Err(err).Msg("proxy cannot connect to its target; the client connection is reset")
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = true, true
	p.mu.Unlock()
	go p.forward(upstream, client, false)
	p.forward(client, upstream, true)
}

// chunkBytes is the size of the buffer for each direction of a connection.
const chunkBytes = 16 << 10

// forward copies bytes in one direction until either connection closes, and then closes both.
func (p *Proxy) forward(to, from net.Conn, fromTarget bool) {
	defer p.close(to)
	defer p.close(from)
	chunk := make([]byte, chunkBytes)
	for {
		n, err := from.Read(chunk)
		mode := Mode(p.mode.Load())
		if mode == ModeDelay {
			time.Sleep(chunkDelay)
		}
		drop := mode == ModeDropAll || mode == ModeDropResponses && fromTarget
		if n > 0 && !drop {
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) close(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close() // Fails if the other direction has closed it already.
}
