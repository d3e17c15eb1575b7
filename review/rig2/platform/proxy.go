package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// proxy forwards TCP connections to a target and can make them silent: no byte passes any more, and nothing is closed.
type proxy struct {
	target, address string
	listener        net.Listener
	mu              sync.Mutex
	open            []*joined
	// deaf makes new connections silent too.
	deaf bool
	// fillers hold the backlog full after clog.
	fillers []net.Conn
	clogged bool
}

type joined struct {
	mu     sync.Mutex
	silent bool
	// usedAt is when bytes last arrived.
	usedAt time.Time
}

func (j *joined) use() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.usedAt = time.Now()
}

func (j *joined) isSilent() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.silent
}

// backlog is that of the proxy's listener: small, so that clog can fill it.
const backlog = 16

// listenSmall listens with a small backlog.
func listenSmall(ip string) net.Listener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		fail("socket: %v", err)
	}
	var address syscall.SockaddrInet4
	copy(address.Addr[:], net.ParseIP(ip).To4())
	if err = syscall.Bind(fd, &address); err == nil {
		err = syscall.Listen(fd, backlog)
	}
	if err != nil {
		fail("listen at %s: %v", ip, err)
	}
	_ = syscall.SetNonblock(fd, true)
	file := newFile(fd)
	listener, err := net.FileListener(file)
	if err != nil {
		fail("listener: %v", err)
	}
	_ = file.Close()
	// net.FileListener calls no listen, so that the backlog stays.
	return listener
}

func newProxy(ip, target string) *proxy {
	p := &proxy{target: target, listener: listenSmall(ip)}
	p.address = p.listener.Addr().String()
	go func() {
		for {
			p.mu.Lock()
			clogged := p.clogged
			p.mu.Unlock()
			if clogged {
				time.Sleep(5 * time.Millisecond)
				continue
			}
			_ = p.listener.(*net.TCPListener).SetDeadline(time.Now().Add(50 * time.Millisecond))
			accepted, err := p.listener.Accept()
			if err != nil {
				continue
			}
			p.join(accepted)
		}
	}()
	return p
}

func (p *proxy) join(accepted net.Conn) {
	j := &joined{usedAt: time.Now()}
	p.mu.Lock()
	j.silent = p.deaf
	p.open = append(p.open, j)
	p.mu.Unlock()
	onward, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = accepted.Close()
		return
	}
	pipe := func(from, to net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			j.use()
			if j.isSilent() {
				if err != nil {
					return // The other side learns nothing.
				}
				continue
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					_ = from.Close()
					return
				}
			}
			if err != nil {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
		}
	}
	go pipe(accepted, onward)
	go pipe(onward, accepted)
}

// silence makes all connections that are open silent; with deaf also those to come.
func (p *proxy) silence(deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaf = deaf
	for _, j := range p.open {
		j.mu.Lock()
		j.silent = true
		j.mu.Unlock()
	}
}

// silenceIdle makes the open connections silent over which nothing has passed for some time, and returns how many these are.
func (p *proxy) silenceIdle(idle time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, j := range p.open {
		j.mu.Lock()
		if time.Since(j.usedAt) >= idle {
			j.silent = true
			count++
		}
		j.mu.Unlock()
	}
	return count
}

// hear ends the silence of connections to come.
func (p *proxy) hear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaf = false
}

// cut makes the path silent: open connections carry nothing, and new ones get no answer to their first packet.
func (p *proxy) cut() {
	p.silence(true)
	p.mu.Lock()
	p.clogged = true
	p.mu.Unlock()
	time.Sleep(60 * time.Millisecond)
	for range backlog + 8 {
		connection, err := net.DialTimeout("tcp", p.address, 20*time.Millisecond)
		if err == nil {
			p.fillers = append(p.fillers, connection)
		}
	}
}

// heal ends a cut: new connections pass again.
func (p *proxy) heal() {
	p.hear()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, filler := range p.fillers {
		_ = filler.Close()
	}
	p.fillers, p.clogged = nil, false
}
