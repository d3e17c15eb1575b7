package forwarder

import (
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
	"github.com/acaciaproxy/acaciaproxy/streamkeeper"
)

// Question asks where a request would go if it came now.
type Question struct {
	// Request is the request without a key and body.
	Request *Request
	// Route names the route of a request without host and path; else it is empty.
	Route string
	// Tenant names the tenant that the request's key would belong to; empty for none.
	Tenant string
	// Software is the software version at which the stream began that the request takes up; empty if it takes up none.
	Software string
}

// Whereabouts is the answer to a Question. Times are in milliseconds from now.
type Whereabouts struct {
	// Version is that of the configuration in force, 0 without one. Route is empty if none was found.
	Version int64  `json:"version"`
	Route   string `json:"route,omitempty"`
	// Priority is the rank of the route, TenantPriority that of the tenant; 0 is the highest. Key is the result of the check of the key.
	Priority       int    `json:"priority"`
	Tenant         string `json:"tenant,omitempty"`
	TenantPriority int    `json:"tenant_priority,omitempty"`
	Key            string `json:"key,omitempty"`
	// Refusal is set if the node would refuse the request before it chooses a service.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Services are those of the route that get requests.
	Services []Destination `json:"services,omitempty"`
}

// Refusal is the response with which a request would end at once.
type Refusal struct {
	Status  int    `json:"status"`
	Code    string `json:"code"`
	Message string `json:"message"`
	RetryMS int64  `json:"retry_ms"`
}

// Destination is what would happen to a request that is for one service.
type Destination struct {
	Service string `json:"service"`
	// Share is the part of the route's requests that the service gets.
	Share float64 `json:"share"`
	// Urgency is sent to the workers, from 0 to 9; -1 if none is.
	Urgency int      `json:"urgency"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Waits are the things that the request would wait for, in order.
	Waits []Wait `json:"waits,omitempty"`
	// PassedOn is set if another node would be asked to serve the request.
	PassedOn bool `json:"passed_on,omitempty"`
	// Workers are those of the service, in the order of their IDs.
	Workers []Option `json:"workers"`
}

// Wait is one thing that a request would wait for.
type Wait struct {
	// For is "tokens", "turn", "place", "model" or "leader".
	For string `json:"for"`
	// ExpectedMS is the expected time until the end of the wait, -1 if that is not known. LatestMS is when the request would be refused.
	ExpectedMS int64 `json:"expected_ms"`
	LatestMS   int64 `json:"latest_ms"`
	// Before is the number of requests that wait for the same and come first.
	Before int `json:"before,omitempty"`
}

// Option is a worker of the service.
type Option struct {
	Worker string `json:"worker"`
	Zone   string `json:"zone"`
	// Chance is the probability that the worker is chosen; Reason says why it is not if that is 0.
	Chance float64 `json:"chance"`
	Reason string  `json:"reason,omitempty"`
	// UntilMS is when the reason ends, 0 if that is not known.
	UntilMS int64 `json:"until_ms,omitempty"`
	// Load is the number of requests by which the worker is rated, Slots how many it runs at the same time. Cost is the rating without the random
	// term, in requests for services without models and in milliseconds else. They are set only if the worker may be sent the request.
	Load  int     `json:"load,omitempty"`
	Slots int     `json:"slots,omitempty"`
	Cost  float64 `json:"cost,omitempty"`
}

// newRefusal returns the response for the error with which a call ends.
func newRefusal(err error) *Refusal {
	failure := asFailure(err).withoutFalsePromise()
	return &Refusal{Status: failure.status, Code: failure.code, Message: failure.message, RetryMS: failure.retryMS}
}

// Where returns where a request would go if it came now. It sends nothing, takes no permit, token, place or trial, and changes no state.
func (f *Forwarder) Where(now time.Time, q Question) Whereabouts {
	c := f.newInquiry(now, q)
	w := Whereabouts{}
	if c.catalog != nil {
		w.Version = c.catalog.Version()
	}
	if err := f.findRoute(c, q.Route); err != nil {
		w.Refusal = newRefusal(err)
		return w
	}
	w.Route, w.Priority = c.route.Name, c.route.Priority
	verdict := f.judgeTenant(c, q.Tenant)
	w.Key = string(verdict)
	if err := f.keyError(c, verdict); err != nil {
		w.Refusal = newRefusal(err)
		return w
	}
	if tenant, found := c.catalog.TenantByName(c.Tenant); found {
		w.Tenant, w.TenantPriority = tenant.Name, tenant.Priority
	}
	for _, share := range sharesOf(c.route) {
		w.Services = append(w.Services, f.destination(now, c, q, share))
	}
	return w
}

// newInquiry returns a call that is never sent.
func (f *Forwarder) newInquiry(now time.Time, q Question) *call {
	request := *q.Request
	return &call{Request: &request, catalog: f.dependencies.Catalog(), arrived: now, avoidUntil: map[string]time.Time{}}
}

// judgeTenant returns the result of the check of a key of a tenant, and sets the call's tenant if it is accepted.
func (f *Forwarder) judgeTenant(c *call, name string) keyVerdict {
	catalog, verdict := f.judgeRoute(c)
	if verdict != "" {
		return verdict
	}
	if name == "" {
		return keyMissing
	}
	tenant, found := catalog.TenantByName(name)
	if !found || len(tenant.Keys) == 0 {
		return keyUnknown
	}
	c.Tenant = name
	return keyAccepted
}

// sharesOf returns the services that get requests of a route, with weights that add up to 1.
func sharesOf(route *cataloger.Route) []cataloger.Share {
	total := lo.SumBy(route.Shares, func(share cataloger.Share) float64 { return share.Weight })
	if total <= 0 {
		return []cataloger.Share{{Service: route.Service(0), Weight: 1}}
	}
	shares := lo.Filter(route.Shares, func(share cataloger.Share, _ int) bool { return share.Weight > 0 })
	return lo.Map(shares, func(share cataloger.Share, _ int) cataloger.Share {
		return cataloger.Share{Service: share.Service, Weight: share.Weight / total}
	})
}

// destination returns what would happen to a call for one service of its route.
func (f *Forwarder) destination(now time.Time, admitted *call, q Question, share cataloger.Share) Destination {
	c := f.newInquiry(now, q)
	c.catalog, c.route, c.deadline, c.Tenant = admitted.catalog, admitted.route, admitted.deadline, admitted.Tenant
	d := Destination{Service: share.Service, Share: share.Weight, Urgency: -1, Workers: []Option{}}
	if err := c.findService(share.Service); err != nil {
		d.Refusal = newRefusal(err)
		return d
	}
	if q.Software != "" {
		c.origin = &origin{version: streamkeeper.Origin{Service: c.service.Name, Software: q.Software}}
	}
	if err := f.lookAhead(now, c, &d); err != nil {
		d.Refusal = newRefusal(err)
	}
	var err error
	if c.service.RunsModels() && c.Model != "" {
		d.Urgency = f.urgency(c)
		err = f.lookAtHolders(now, c, &d)
	} else {
		err = f.lookAtPlain(now, c, &d)
	}
	if err != nil && d.Refusal == nil {
		d.Refusal = newRefusal(err)
	}
	return d
}

// lookAhead returns the error with which a call would end before a worker is chosen, and records what it would wait for until then.
func (f *Forwarder) lookAhead(now time.Time, c *call, d *Destination) error {
	if drain := f.drain.Load(); drain != nil {
		if accepted, _ := drain.accepts(now, c); !accepted {
			return newStopping(c)
		}
	}
	c.setFingerprints()
	c.crashVerdict = f.dependencies.Crashes.Look(now, c.fingerprints[1:]) // The first is that of the body, which is not known.
	if err := c.refuseCrashes(); err != nil && !c.isTrialDue(now) {
		return err
	}
	tenant, cost, latest := c.tokensNeeded(now)
	if tenant != nil && f.dependencies.Allowances.Look != nil {
		result, retryAt := f.dependencies.Allowances.Look(tenant, cost, latest)
		switch result {
		case quotakeeper.Granted:
		case quotakeeper.Waiting:
			d.wait(now, "tokens", time.Time{}, latest, 0)
		default:
			return f.refuseAllowance(c, result, retryAt)
		}
	}
	if len(c.crashVerdict.OnTrial()) > 0 {
		d.wait(now, "turn", time.Time{}, f.latestTrial(c), 0)
	}
	return nil
}

// latestTrial returns until when a call would wait for its trial.
func (f *Forwarder) latestTrial(c *call) time.Time {
	if c.service.RunsModels() && c.Model != "" {
		return f.latestStart(c)
	}
	return c.arrived.Add(maxPlainTrialWait)
}

// wait records one thing that the request would wait for; the expected end is zero if it is not known.
func (d *Destination) wait(now time.Time, what string, expected, latest time.Time, before int) {
	wait := Wait{For: what, ExpectedMS: -1, LatestMS: latest.Sub(now).Milliseconds(), Before: before}
	if !expected.IsZero() {
		wait.ExpectedMS = max(expected.Sub(now).Milliseconds(), 0)
	}
	d.Waits = append(d.Waits, wait)
}

// String returns the choice in words.
func (d *Destination) String() string {
	switch {
	case d.Refusal != nil:
		return "refused: " + d.Refusal.Code
	case d.PassedOn:
		return "passed to another node"
	}
	chosen := lo.Filter(d.Workers, func(option Option, _ int) bool { return option.Chance > 0 })
	names := lo.Map(chosen, func(option Option, _ int) string { return option.Worker })
	switch len(names) {
	case 0:
		return "no worker now"
	case 1:
		return "to " + names[0]
	}
	return "at random to " + strings.Join(names, ", ")
}
