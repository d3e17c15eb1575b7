// Package connlimiter bounds what callers can make a node hold: connections, heads of requests, bodies, and responses that callers do not read. It
// counts the bytes of each connection before a server parses them, so the limits hold for any HTTP/1 server that reads from its connections.
package connlimiter

import (
	"cmp"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

// Defaults of what the configuration and the settings do not name.
const (
	// defaultHeadBytes, defaultHeadTimeout and defaultIdleTimeout apply without the configuration's limits.
	defaultHeadBytes   = 64 << 10
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 120 * time.Second
	// defaultMemory and defaultDescriptors stand for those of a host that are not known.
	defaultMemory      = 4 << 30
	defaultDescriptors = 65536
)

// Shares of the host. What callers hold at most with them, and the program, is well below the memory, since the garbage collector lets the heap grow
// between its runs; docs/design/callers.md has the sum.
const (
	// programBytes is the memory of a host that the program itself takes, which is no part of its heap.
	programBytes = 24 << 20
	headsDivisor = 12
	// bodiesDivisor gives the bodies' part of what the program leaves.
	bodiesDivisor = 8
	// minBodies is the least size of the account of bodies, which holds the largest body that a node accepts by default.
	minBodies = 12 << 20
	// heapNumerator and heapDivisor give the part of what the program leaves from which on the garbage collector runs more often.
	heapNumerator, heapDivisor = 8, 10
	// callersNumerator and callersDivisor give the callers' part of the descriptors; each of their requests may need another one for its worker.
	callersNumerator, callersDivisor = 2, 5
	// connectionsDivisor gives the part of what the program leaves for the connections of callers, connectionBytes what one costs at most beside the
	// accounts: the server's buffers, its goroutine, and the free parts of a head, a body and a response.
	connectionsDivisor, connectionBytes = 6, 24 << 10
	lingerersDivisor, maxLingerers      = 16, 1024
	nodesDivisor, minNodes              = 6, 64
	othersDivisor, minOthers            = 32, 16
)

// Spare returns what the program leaves of a host's memory in bytes, 0 for 0.
func Spare(memory int64) int64 { return max(memory-programBytes, memory/4) }

// HeadLimits are the limits of requests' heads and of connections without a request; 0 stands for a default.
type HeadLimits struct {
	// Bytes is the largest size of a request's line and headers.
	Bytes int
	// HeadMS is the longest time in which a head must arrive, IdleMS the longest time between two requests, both in milliseconds.
	HeadMS, IdleMS int64
}

// Host is what the host has; 0 stands for not known.
type Host struct {
	// Memory is in bytes.
	Memory      int64
	Descriptors int
}

// Limiter holds the limits of a node and what its callers have of them. It is safe for concurrent use.
type Limiter struct {
	host Host
	// limits returns the limits in force.
	limits func() HeadLimits
	// count counts an event by its name.
	count  func(name string)
	heads  *Account
	bodies *Account
	// refusals numbers the refusals for log lines.
	refusals atomic.Int64
	// mu guards listeners, those that Listen has returned.
	mu        sync.Mutex
	listeners []*Listener
}

// New returns a limiter for a host. Limits returns the limits in force at each head, count counts an event by its name.
func New(host Host, limits func() HeadLimits, count func(name string)) *Limiter {
	host = Host{Memory: cmp.Or(host.Memory, defaultMemory), Descriptors: cmp.Or(host.Descriptors, defaultDescriptors)}
	return &Limiter{
		host: host, limits: limits, count: count,
		heads: newAccount("heads", host.Memory/headsDivisor, count), bodies: newAccount("bodies", max(Spare(host.Memory)/bodiesDivisor, minBodies), count),
	}
}

// Bodies returns the account of the bodies of all requests.
func (l *Limiter) Bodies() *Account { return l.bodies }

// Heads returns the account of the heads of all requests.
func (l *Limiter) Heads() *Account { return l.heads }

// Gauges returns what callers hold now, by the names of metrics: the bytes of heads and bodies, and the open connections of each port.
func (l *Limiter) Gauges() map[string]int64 {
	gauges := map[string]int64{"callers heads bytes": l.heads.Taken(), "callers bodies bytes": l.bodies.Taken()}
	l.mu.Lock()
	listeners := slices.Clone(l.listeners)
	l.mu.Unlock()
	for _, listener := range listeners {
		gauges["callers connections "+listener.port.Name] += int64(listener.Open())
	}
	return gauges
}

// MaxCallers returns how many connections callers may have.
func (l *Limiter) MaxCallers() int {
	return min(l.host.Descriptors*callersNumerator/callersDivisor, int(Spare(l.host.Memory)/connectionsDivisor/connectionBytes))
}

// MaxLingerers returns how many closed connections of callers may wait for their callers.
func (l *Limiter) MaxLingerers() int { return min(l.host.Descriptors/lingerersDivisor, maxLingerers) }

// MaxNodes returns how many connections other nodes may have.
func (l *Limiter) MaxNodes() int { return max(l.host.Descriptors/nodesDivisor, minNodes) }

// MaxOthers returns how many connections each address for operators and readiness checks may have.
func (l *Limiter) MaxOthers() int { return max(l.host.Descriptors/othersDivisor, minOthers) }

// headLimits returns the limits in force, with defaults.
func (l *Limiter) headLimits() (bytes int, head, idle time.Duration) {
	limits := l.limits()
	bytes, head, idle = cmp.Or(limits.Bytes, defaultHeadBytes), defaultHeadTimeout, defaultIdleTimeout
	if limits.HeadMS > 0 {
		head = time.Duration(limits.HeadMS) * time.Millisecond
	}
	if limits.IdleMS > 0 {
		idle = time.Duration(limits.IdleMS) * time.Millisecond
	}
	return bytes, head, idle
}

// report counts and logs a connection or request that a limit has ended. The log is rate limited.
func (l *Limiter) report(port, cause, caller string) {
	l.count("callers ended " + port + " " + cause)
	logger.Warn("caller met a limit").Str("port", port).Str("cause", cause).Str("caller", caller).Int64("number", l.refusals.Add(1)).
		Int64("head_bytes", l.heads.Taken()).Int64("body_bytes", l.bodies.Taken()).Msg("caller met a limit")
}

// LimitHeap makes the garbage collector run more often when the heap nears a host's memory in bytes; it does nothing if that is 0 or the environment
// sets the limit.
func LimitHeap(memory int64) {
	if memory <= 0 || os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	limit := Spare(memory) * heapNumerator / heapDivisor
	debug.SetMemoryLimit(limit)
	log.Info().Int64("memory", memory).Int64("heap_limit", limit).Msg("memory limited")
}
