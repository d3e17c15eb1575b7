package forwarder

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// minTrialTime is the time that a request must have left to be sent on trial, or half of its route's timeout if that is shorter: a trial that
	// ends at its deadline shows nothing.
	minTrialTime = 1 * time.Second
	// registrationTimeout bounds the registration of a trial in the store, unavailableTimeout that while the store does not respond.
	registrationTimeout = 700 * time.Millisecond
	unavailableTimeout  = 100 * time.Millisecond
	// registrationPause is the time after a trial that was not registered until the next may begin at this node.
	registrationPause = 200 * time.Millisecond
	// clearedRetry applies when a trial may clear a request: it is about the time that a trial takes. Callers come back over clearedSpread, so
	// that not all of them need the first workers that have the model loaded.
	clearedRetry  = 1500 * time.Millisecond
	clearedSpread = 1 * time.Second
)

// clearingCalls are the calls of this node that wait to be sent on trial though their fingerprints are blamed. One of them waits for each
// fingerprint, also for its model; the others are refused meanwhile.
type clearingCalls struct {
	// mu guards waiting, which holds the calls by fingerprint.
	mu      sync.Mutex
	waiting map[string]*call
}

// take makes a call the candidate for all of the blamed fingerprints and no others, and reports whether it is; else it is none for any.
func (a *clearingCalls) take(c *call, blamed []string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(c)
	if lo.SomeBy(blamed, func(fingerprint string) bool { return a.waiting[fingerprint] != nil }) {
		return false
	}
	if a.waiting == nil {
		a.waiting = map[string]*call{}
	}
	for _, fingerprint := range blamed {
		a.waiting[fingerprint] = c
	}
	c.candidateFor = blamed
	return true
}

// release lets other calls become candidates in place of a call.
func (a *clearingCalls) release(c *call) {
	if c.candidateFor == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(c)
}

// drop is release for callers that hold mu.
func (a *clearingCalls) drop(c *call) {
	for _, fingerprint := range c.candidateFor {
		delete(a.waiting, fingerprint)
	}
	c.candidateFor = nil
}

// mayClear reports whether a call that its crashVerdict refuses goes on, to be sent on trial. An answer clears its fingerprints at all nodes.
func (f *Forwarder) mayClear(now time.Time, c *call) bool {
	if c.permission != nil {
		return true
	}
	if !c.isTrialDue(now) || !c.showsCause() || c.deadline.Sub(now) < min(minTrialTime, c.route.Timeout()/2) {
		f.clearing.release(c)
		return false
	}
	return f.clearing.take(c, c.crashVerdict.Blamed)
}

// isTrialDue reports whether one request like a refused one may be sent on trial.
func (c *call) isTrialDue(now time.Time) bool {
	at := c.crashVerdict.TrialAt
	return !at.IsZero() && !now.Before(at)
}

// showsCause reports whether the outcome of another send of a call tells anything of the blamed fingerprints that its earlier sends have not told.
func (c *call) showsCause() bool {
	return c.ledger.MayHaveRun() == 0 || c.partsAnswered && !lo.Contains(c.crashVerdict.Blamed, c.fingerprint)
}

// awaitsClearing reports whether a stream that has begun waits until a trial clears the fingerprints that it is refused for, since it would be
// lost otherwise.
func (c *call) awaitsClearing() bool {
	verdict := &c.crashVerdict
	return verdict.Refused && !c.lastEventAt.IsZero() && (!verdict.TrialAt.IsZero() || time.Now().Before(verdict.PendingUntil))
}

// register registers the trial of a call whose turn it is, and reports whether it may be sent.
func (f *Forwarder) register(c *call, storeAvailable bool) bool {
	now := time.Now()
	deadline := now.Add(lo.Ternary(storeAvailable, registrationTimeout, unavailableTimeout))
	permission, err := f.dependencies.Crashes.RegisterTrial(now, deadline, c.ID, c.crashVerdict.Blamed, !storeAvailable)
	if permission == nil {
		logger.Info("trial not registered").Str("request", c.ID).Strs("blamed", c.crashVerdict.Blamed).Err(err).Msg("trial not registered")
		return false
	}
	c.permission = permission
	return true
}

// useTrial records that a call is being sent by its permission, if it has one.
func (f *Forwarder) useTrial(c *call) {
	f.clearing.release(c)
	c.permission, c.usedPermission = nil, c.permission
}

// endClearing ends what a call has taken to be sent on trial.
func (f *Forwarder) endClearing(c *call) {
	f.clearing.release(c)
	if c.permission != nil {
		f.dependencies.Crashes.Withdraw(time.Now(), c.permission)
	}
}

// clearedIn returns after which time a caller whose request is refused for crashes may come again: when a trial has cleared it or, if no
// trial is left, when the crashes count no more.
func (c *call) clearedIn(now time.Time) time.Duration {
	verdict, trialEnds := &c.crashVerdict, clearedRetry+time.Duration(hashFraction(c.ID)*float64(clearedSpread))
	switch {
	case !verdict.TrialAt.IsZero():
		return max(verdict.TrialAt.Sub(now), 0) + trialEnds
	case now.Before(verdict.PendingUntil):
		return trialEnds
	}
	return crashkeeper.Lifetime
}
