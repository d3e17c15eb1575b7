package faultinjector

import (
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Silence makes new connections hang, as those to a host behind a partition do, and drops all bytes of
// the open ones. Accept, SetMode and Reset end it.
func (p *Proxy) Silence() error {
	p.SetMode(ModeDropAll)
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close() // Fails only if it is closed already.
	listener, err := ListenSilently(p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	return nil
}

// queueProbeTimeout is how long a connection to a listener with a full queue is waited for.
const queueProbeTimeout = 200 * time.Millisecond

// silentListener is a socket whose queue of new connections is full.
type silentListener struct {
	net.Listener
	// queued are the connections that fill the queue.
	queued []net.Conn
}

// Close closes the socket and the connections in its queue.
func (l *silentListener) Close() error {
	for _, conn := range l.queued {
		_ = conn.Close() // The other end is never accepted.
	}
	return l.Listener.Close()
}

// ListenSilently returns a listener at a loopback address, given as "IP:port", at which new connections are neither
// accepted nor refused, because its queue is full.
func ListenSilently(address string) (net.Listener, error) {
	wanted, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen silently at %q: %w", address, err)
	}
	inner, err := listenWithoutQueue(wanted)
	if err != nil {
		return nil, fmt.Errorf("listen silently at %s: %w", address, err)
	}
	listener := &silentListener{Listener: inner}
	for range 8 {
		conn, err := net.DialTimeout("tcp", inner.Addr().String(), queueProbeTimeout)
		if err != nil {
			return listener, nil
		}
		listener.queued = append(listener.queued, conn)
	}
	_ = listener.Close() // It is not used.
	return nil, fmt.Errorf("listen silently at %s: all connections are accepted", address)
}

// listenWithoutQueue listens with the shortest queue of new connections, which package net cannot set.
func listenWithoutQueue(address *net.TCPAddr) (net.Listener, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	file := os.NewFile(uintptr(socket), "listener")
	defer file.Close() // FileListener duplicates the descriptor.
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return nil, os.NewSyscallError("setsockopt", err)
	}
	bound := unix.SockaddrInet4{Port: address.Port}
	copy(bound.Addr[:], address.IP.To4())
	if err := unix.Bind(socket, &bound); err != nil {
		return nil, os.NewSyscallError("bind", err)
	}
	if err := unix.Listen(socket, 0); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	return net.FileListener(file)
}
