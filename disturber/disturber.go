// Package disturber is a loopback proxy that harms the connections through it:
// it delays, cuts one way, silences or resets them.
package disturber

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// Mode is what happens to bytes.
type Mode int32

// The modes.
const (
	// ModePass lets all bytes through.
	ModePass Mode = iota
	// ModeDelay holds every piece for delayTime.
	ModeDelay
	// ModeOneWay loses what comes back from the target.
	ModeOneWay
	// ModeSilent loses everything, also of new connections.
	ModeSilent
)

// delayTime is how long a piece is held; several add up over an exchange.
const delayTime = 80 * time.Millisecond

// Proxy is safe for use by several goroutines.
type Proxy struct {
	listener net.Listener
	mode     atomic.Int32
	// mu guards target and open.
	mu     sync.Mutex
	target string
	// open holds both ends of every connection.
	open map[net.Conn]bool
}

// New returns a proxy to a target that listens at an address of its own.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy to %s: %w", target, err)
	}
	p := &Proxy{listener: listener, target: target, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes what happens to bytes from now on.
func (p *Proxy) SetMode(mode Mode) { p.mode.Store(int32(mode)) }

// SetTarget makes new connections go elsewhere.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Reset breaks every open connection off.
func (p *Proxy) Reset() {
	p.mu.Lock()
	open := make([]net.Conn, 0, len(p.open))
	for conn := range p.open {
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

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close() // Nobody is left to tell.
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // Closed.
		}
		go p.join(conn)
	}
}

// join connects an accepted connection with the target.
func (p *Proxy) join(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.Dial("tcp", target)
	if err != nil {
		log.Debug().Str("target", target).Err(err).Msg("target not reached")
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = near.Close()
		return
	}
	p.mu.Lock()
	p.open[near], p.open[far] = true, true
	p.mu.Unlock()
	go p.pump(far, near, false)
	p.pump(near, far, true)
}

const pieceBytes = 16 << 10

// pump carries bytes one way until either end closes.
func (p *Proxy) pump(to, from net.Conn, back bool) {
	defer p.close(to)
	defer p.close(from)
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		mode := Mode(p.mode.Load())
		if mode == ModeDelay {
			time.Sleep(delayTime)
		}
		lost := mode == ModeSilent || mode == ModeOneWay && back
		if n > 0 && !lost {
			if _, err := to.Write(piece[:n]); err != nil {
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
	delete(p.open, conn)
	p.mu.Unlock()
	_ = conn.Close() // Closed twice when both ways end.
}
