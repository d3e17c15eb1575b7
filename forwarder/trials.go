package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// trialPollInterval is the time after which a request that waits for its trial checks again whether it may be sent.
	trialPollInterval = 50 * time.Millisecond
	// maxPlainTrialWait is how long a request for a plain service waits for its trial.
	maxPlainTrialWait = 500 * time.Millisecond
	// crashNewsTime is how long the news of a crash takes to reach all nodes, and a worker that rejected a suspected request is left in peace.
	crashNewsTime = 1 * time.Second
	// suspectedRetry applies when other requests that may crash workers come first.
	suspectedRetry = 1 * time.Second
)

// beginTrial reports whether a call may be sent now: it needs no trial, or it is its turn and, if it would be refused otherwise, the trial is
// registered. EndTrial must follow.
func (f *Forwarder) beginTrial(c *call) bool {
	verdict, storeAvailable := &c.crashVerdict, f.dependencies.StoreAvailable()
	trial, begun := f.dependencies.Trier.Begin(c.ID, verdict.OnTrial(), c.deadline, verdict.Refused && storeAvailable)
	c.trial = trial
	if !begun || !verdict.Refused || c.permission != nil {
		return begun
	}
	if !f.register(c, storeAvailable) {
		f.endTrial(c, time.Now().Add(registrationPause))
		return false
	}
	return true
}

// endTrial ends the call's trial, if it has one; others like it may be sent from freeAt on.
func (f *Forwarder) endTrial(c *call, freeAt time.Time) {
	f.dependencies.Trier.End(c.trial, freeAt)
	c.trial = nil
}

// awaitTrial waits for a moment before a call asks for its trial again. It returns the error with which the call ends if it has waited until latest or until
// its deadline.
func (f *Forwarder) awaitTrial(ctx context.Context, c *call, latest time.Time) error {
	refuse := func() error {
		return c.refuse("suspected", "requests like this one may crash workers and are sent one at a time", suspectedRetry)
	}
	if !time.Now().Before(latest) {
		return refuse()
	}
	if !c.suspected {
		c.suspected = true
		f.dependencies.Recorder.Count("held for trial " + c.route.Name)
		logger.Info("request waits for its trial").Str("request", c.ID).Strs("suspects", c.crashVerdict.Suspects).
			Strs("blamed", c.crashVerdict.Blamed).Int64("left_ms", time.Until(latest).Milliseconds()).Msg("request waits for its trial")
	}
	select {
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			return f.endWait(c)
		}
		return refuse()
	case <-time.After(trialPollInterval):
	}
	return nil
}
