package gateway

import "time"

const (
	// drainPollInterval is how often Drain checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// drainRetryDelay is the retry delay sent to callers by a node that stops; other nodes accept
	// the request immediately.
	drainRetryDelay = 20 * time.Millisecond
)

// drain is a planned stop in progress. It is immutable.
type drain struct {
	// refusesFrom is when new connections no longer come: later requests come on open ones, and
	// their callers may reach other nodes.
	refusesFrom, endsAt time.Time
}

// mayCutOff reports whether a request that arrives now could be cut off at the end of the drain. A
// nil drain cuts nothing off.
func (d *drain) mayCutOff(now, deadline time.Time) bool {
	return d != nil && !now.Before(d.refusesFrom) && deadline.After(d.endsAt)
}

// Drain fails the readiness check, sleeps until balancerUpdatedAt, when the load
// balancer has stopped sending requests, and returns once no request is in flight
// or at the deadline.
func (g *Gateway) Drain(balancerUpdatedAt, deadline time.Time) {
	g.drain.Store(&drain{refusesFrom: balancerUpdatedAt, endsAt: deadline})
	time.Sleep(time.Until(balancerUpdatedAt))
	for g.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}
