package quotakeeper

import "time"

const (
	// CallTimeout bounds one call to a leader.
	CallTimeout = 100 * time.Millisecond
	// patience is how long requests wait for the call in flight to a leader before the others are asked.
	patience = 40 * time.Millisecond
	// minAskPause and maxAskPause bound the time after which a leader that granted too little is asked again.
	minAskPause = 10 * time.Millisecond
	maxAskPause = 50 * time.Millisecond
	// prepayPause is the least time between two calls in advance of requests.
	prepayPause = 100 * time.Millisecond
	// minDownTime and maxDownTime bound the time for which a leader is not called after calls to it failed; it doubles with each.
	minDownTime = 50 * time.Millisecond
	maxDownTime = 400 * time.Millisecond
	// returnPart is the part of a token's lifetime before its expiry in which it is returned.
	returnPart = 4
	// waitTick and stockTick are the times until the next Plan while requests wait, and while there are tokens that may have to be returned.
	waitTick  = 5 * time.Millisecond
	stockTick = 50 * time.Millisecond
)

// Call is a call to the leader of a zone. It is immutable.
type Call struct {
	// leader is the index of the zone.
	leader   int
	zone     string
	requests []Request
	// sentAt is when it was planned, which is before it is sent; the lifetime of the tokens counts from then.
	sentAt time.Time
}

// Zone returns the zone whose leader is called.
func (c *Call) Zone() string { return c.zone }

// Requests returns what is asked; the caller must not change it.
func (c *Call) Requests() []Request { return c.requests }

// leaderCalls are a node's calls to one leader.
type leaderCalls struct {
	// inFlight is the call without an answer, or nil.
	inFlight *Call
	// failures counts the calls that failed since the last answer; the leader is not called before downUntil.
	failures  int
	downUntil time.Time
}

// Plan returns the calls to be sent now, one for each leader at most, and when to call it again; next is zero if only a request that waits needs
// that. Each call must be ended by Apply or Fail.
func (k *Keeper) Plan(now time.Time) (calls []*Call, next time.Time) {
	k.callsMu.Lock()
	defer k.callsMu.Unlock()
	planned := make([]*Call, len(k.zones))
	for _, t := range k.active(now) {
		waits, stocked := t.plan(now, planned)
		switch at := now.Add(stockTick); {
		case waits:
			next = now.Add(waitTick)
		case stocked && next.IsZero():
			next = at
		}
	}
	for i, call := range planned {
		if call != nil {
			k.calls[i].inFlight = call
			k.count("allowance calls", 1)
			calls = append(calls, call)
		}
	}
	return calls, next
}

// plan adds what the node asks for a tenant to the planned calls, and reports whether requests wait and whether there are tokens or a demand to
// prepay for. The caller holds callsMu.
func (t *tenant) plan(now time.Time, planned []*Call) (waits, stocked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.sources {
		if down := t.keeper.calls[i].downUntil; down.After(t.sources[i].downUntil) {
			t.sources[i].downUntil = down
		}
	}
	t.settle(now)
	requests := make([]Request, len(planned))
	t.planReturns(now, requests)
	t.planNeeded(now, requests)
	t.planExpected(now, requests)
	for i := range requests {
		request := requests[i]
		if request == (Request{}) {
			continue
		}
		if planned[i] == nil {
			planned[i] = &Call{leader: i, zone: t.keeper.zones[i], sentAt: now}
		}
		request.Tenant = t.name
		planned[i].requests = append(planned[i].requests, request)
		t.sources[i].asked, t.sources[i].expected, t.sources[i].askedAt = request.Needed, request.Expected, now
	}
	return len(t.queue) > 0, len(t.batches) > 0 || t.demand.expected(now) > 0
}

// callable reports whether a leader may be called now.
func (t *tenant) callable(now time.Time, leader int) bool {
	calls := &t.keeper.calls[leader]
	return calls.inFlight == nil && !now.Before(calls.downUntil)
}

// missing returns the tokens that the requests that wait lack, without those that a call in flight may bring soon.
func (t *tenant) missing(now time.Time) int64 {
	missing := -t.stock()
	for _, ticket := range t.queue {
		missing += ticket.cost
	}
	for i := range t.sources {
		if now.Sub(t.sources[i].askedAt) < patience {
			missing -= t.sources[i].asked
		}
	}
	return missing
}

// planNeeded asks the node's own leader for what requests lack or, if that one has too little, does not answer or is not known, the others in turn.
// One leader is asked for all that is missing, since parts of what a request costs would be granted and not used.
func (t *tenant) planNeeded(now time.Time, requests []Request) {
	missing := t.missing(now)
	if len(t.queue) == 0 || missing <= 0 {
		return
	}
	home := &t.sources[0]
	if t.callable(now, 0) && !now.Before(home.askAt) {
		requests[0].Needed = missing
		return
	}
	if call := t.keeper.calls[0].inFlight; call != nil && now.Sub(call.sentAt) < patience && !now.Before(home.askAt) {
		return
	}
	for n := range len(requests) - 1 {
		if i := 1 + (t.turn+n)%(len(requests)-1); t.callable(now, i) && !now.Before(t.sources[i].askAt) {
			requests[i].Needed = missing
			t.turn = i
			return
		}
	}
}

// planExpected asks the node's own leader for what requests will need, once half of it is gone.
func (t *tenant) planExpected(now time.Time, requests []Request) {
	expected := t.demand.expected(now)
	if expected == 0 || !t.callable(now, 0) || now.Before(t.sources[0].askAt) || now.Before(t.sources[0].prepayAt) {
		return
	}
	if held := max(-t.missing(now), 0); held < expected/2 {
		requests[0].Expected = expected - held
	}
}

// planReturns gives back tokens that are about to expire, and those beyond the expected demand that requests which were refused have left.
func (t *tenant) planReturns(now time.Time, requests []Request) {
	if len(t.queue) > 0 {
		return
	}
	soon := now.Add(t.keeper.bounds.Lifetime() / returnPart)
	surplus := int64(0)
	if t.returnAll {
		surplus = t.stock() - t.demand.expected(now)
		t.returnAll = false
	}
	kept := t.batches[:0]
	for _, held := range t.batches {
		if (surplus > 0 || !held.expiresAt.After(soon)) && t.callable(now, held.leader) {
			requests[held.leader].Returned += held.tokens
			t.keeper.count("tokens returned", held.tokens)
			surplus -= held.tokens
			continue
		}
		kept = append(kept, held)
	}
	t.batches = kept
}

// Apply records the answer to a call.
func (k *Keeper) Apply(now time.Time, call *Call, grants []Grant) {
	k.callsMu.Lock()
	defer k.callsMu.Unlock()
	k.calls[call.leader] = leaderCalls{}
	byTenant := make(map[string]Grant, len(grants))
	for _, grant := range grants {
		byTenant[grant.Tenant] = grant
	}
	for _, request := range call.requests {
		grant, known := byTenant[request.Tenant]
		k.ask(request.Tenant, func(t *tenant) { t.apply(now, call, request, grant, known) })
	}
}

// ask calls a function with a tenant's lock held, if the node still knows the tenant.
func (k *Keeper) ask(name string, change func(t *tenant)) {
	k.tenantsMu.RLock()
	t := k.tenants[name]
	k.tenantsMu.RUnlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

// apply records a leader's answer for one tenant. The tokens expire by the time at which they were asked for, not by that of the answer.
func (t *tenant) apply(now time.Time, call *Call, request Request, grant Grant, known bool) {
	s := &t.sources[call.leader]
	*s = source{answeredAt: now, prepayAt: s.prepayAt}
	if request.Expected > 0 {
		s.prepayAt = now.Add(prepayPause)
	}
	expiresAt := call.sentAt.Add(t.keeper.bounds.Lifetime())
	switch {
	case !known: // The leader's configuration does not have the tenant yet.
		*s = source{askAt: now.Add(maxAskPause), downUntil: now.Add(maxAskPause)}
	case grant.Unlimited:
		t.unlimitedUntil = expiresAt
	case grant.Granted > 0:
		t.keeper.count("tokens granted", grant.Granted)
		t.add(batch{leader: call.leader, tokens: grant.Granted, expiresAt: expiresAt})
	}
	if short := request.Needed - grant.Granted; known && !grant.Unlimited && short > 0 {
		retry := time.Duration(max(grant.RetryMS, 1)) * time.Millisecond
		s.askAt = now.Add(min(max(retry, minAskPause), maxAskPause))
		s.refillPerS = float64(short) / retry.Seconds()
	}
	t.settle(now)
}

// Fail records that a call got no answer, or that of a node that does not lead the zone. It returns until when the leader is not called.
func (k *Keeper) Fail(now time.Time, call *Call) (downUntil time.Time) {
	k.callsMu.Lock()
	defer k.callsMu.Unlock()
	calls := &k.calls[call.leader]
	calls.inFlight = nil
	calls.downUntil = now.Add(min(minDownTime<<min(calls.failures, 8), maxDownTime))
	calls.failures++
	k.count("allowance calls failed", 1)
	for _, t := range k.active(now) {
		t.mu.Lock()
		t.sources[call.leader] = source{answeredAt: t.sources[call.leader].answeredAt, downUntil: calls.downUntil}
		t.settle(now)
		t.mu.Unlock()
	}
	return calls.downUntil
}
