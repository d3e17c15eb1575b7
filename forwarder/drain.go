package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// streamReserve and plainReserve are the minimum time until the end of the drain for a request
	// to be accepted.
	streamReserve = 3500 * time.Millisecond
	plainReserve  = 1200 * time.Millisecond
	// lateAfter is the time since the drain began after which a request is accepted only if it ends
	// before the drain in any case. Operators allow a stopping node to cut off a request that it
	// was sent within 3 s, no later one.
	lateAfter = 2800 * time.Millisecond
	// drainPollInterval is how often Drain checks whether requests are in flight.
	drainPollInterval = 20 * time.Millisecond
)

// drain is a planned stop in progress. It is immutable.
type drain struct {
	beganAt, endsAt time.Time
}

// Drain fails the readiness check, sleeps until balancerUpdatedAt, when the load balancer should
// have noticed, and returns once no request is in flight or at the deadline. Requests that are in
// flight then are ended.
func (f *Forwarder) Drain(balancerUpdatedAt, deadline time.Time) {
	f.drain.Store(&drain{beganAt: time.Now(), endsAt: deadline})
	f.drainOnce.Do(func() { close(f.draining) })
	time.Sleep(time.Until(balancerUpdatedAt))
	for f.inFlight.Load() > 0 {
		if !time.Now().Before(deadline) {
			f.endLife()
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// withEnd returns a context for a call that ends with the caller's connection, at the call's
// deadline, or with the drain.
func (f *Forwarder) withEnd(r *http.Request, c *call) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	stop := context.AfterFunc(f.life, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// checkDrain returns the refusal of a request that the drain may cut off. Another node's request is
// accepted only if it certainly ends in time: that node does not stop, and could not tell its
// caller that the request has not run.
func (f *Forwarder) checkDrain(now time.Time, c *call) error {
	d := f.drain.Load()
	if d == nil {
		return nil
	}
	accepted, late := d.accepts(now, c)
	remaining := d.endsAt.Sub(now)
	logger.Info("request during drain").Str("request", c.ID).Str("route", c.route.Name).Bool("accepted", accepted).Bool("late", late).
		Int64("left_ms", c.deadline.Sub(now).Milliseconds()).Int64("drain_left_ms", remaining.Milliseconds()).
		Bool("for_other", c.isCarried).Msg("request during drain")
	if !accepted {
		return newStopping(c)
	}
	return nil
}

// accepts reports whether a call is accepted during the drain, and whether it comes so late that it must certainly end in time.
func (d *drain) accepts(now time.Time, c *call) (accepted, late bool) {
	reserve := plainReserve
	if c.route.Kind == cataloger.KindStream {
		reserve = streamReserve
	}
	late = now.Sub(d.beganAt) > lateAfter || c.isCarried
	endsInTime := !c.deadline.After(d.endsAt)
	return d.endsAt.Sub(now) >= reserve && (!late || endsInTime), late
}

// newStopping returns the refusal of a request that this node cannot answer before it stops.
func newStopping(c *call) *FailureError {
	return c.refuse("stopping", "this node stops before the request could be answered", drainRetry)
}

// writeHead writes the head of a response. While this node drains it asks the caller to close the connection.
func (f *Forwarder) writeHead(w http.ResponseWriter, status int) {
	if f.drain.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// endWait returns the error with which a call ends that was waiting when its context was canceled: this node stops, or the caller has left.
func (f *Forwarder) endWait(c *call) error {
	if f.life.Err() != nil {
		return newStopping(c)
	}
	return c.refuse("caller_left", "the caller left while its request waited", busyRetry)
}
