package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// checkTenants returns the breaches of the guarantees on keys and rate limits. The caller holds mu.
func (c *callers) checkTenants() []string {
	if c.environment.tenants == nil {
		return nil
	}
	record := c.environment.record
	attempts := slices.Concat(c.attempts, c.short)
	breaches := checkDeliveries(record, attempts)
	for _, a := range attempts {
		if breach := a.keyBreach(record.RunsAt(a.id)); breach != "" {
			breaches = append(breaches, fmt.Sprintf("%s (attempt %s at node %s)", breach, a.id, a.node.name))
		}
	}
	for _, a := range c.short {
		if breach := shortBreach(a, record.Runs(a.id)); breach != "" {
			breaches = append(breaches, fmt.Sprintf("%s (attempt %s at node %s, without the end of its body)", breach, a.id, a.node.name))
		}
	}
	for _, tenant := range soakTenants {
		breaches = append(breaches, checkQuota(tenant, runsOf(tenant.Name, record, attempts))...)
	}
	return breaches
}

// shortBreach returns the guarantee that was breached for an attempt without the end of its body, or an empty string.
func shortBreach(a *attempt, runs []string) string {
	if a.result.Status == http.StatusOK {
		return "MIXED: status 200 though the request was not whole"
	}
	return promiseBreach(a.kind, a.result.Status, runs)
}

// checkDeliveries returns the breaches of the guarantees on what workers get: no key, and the tenant of the caller's key
// where the route needs one. Requests that are not among the attempts were sent without keys on public routes.
func checkDeliveries(record *fleetstandin.Record, attempts []*attempt) []string {
	tenants := lo.SliceToMap(attempts, func(a *attempt) (string, string) { return a.id, a.credential.tenant() })
	var breaches []string
	for _, d := range record.Deliveries() {
		if d.Keyed {
			breaches = append(breaches, fmt.Sprintf("KEY: attempt %s reached worker %s with a key", d.Attempt, d.Worker))
		}
		if expected := lo.Compact([]string{tenants[d.Attempt]}); !slices.Equal(d.Tenants, expected) {
			breach := fmt.Sprintf("TENANT: attempt %s reached worker %s with the tenants %q instead of %q", d.Attempt, d.Worker, d.Tenants, expected)
			breaches = append(breaches, breach)
		}
	}
	return breaches
}

// keyBreach returns the guarantee on keys that was breached for an attempt that ran at some times, or an empty string.
func (a *attempt) keyBreach(runs []time.Time) string {
	key, refused := a.credential.key, a.result.Status == http.StatusUnauthorized
	switch {
	case !a.credential.keyed && refused:
		return "DENIED: status 401 on a public route"
	case !a.credential.keyed:
	case key == nil && len(runs) > 0:
		return "KEY: it ran without a key of a tenant"
	case key == nil:
	case len(runs) > 0 && !key.withdrawnAt.IsZero() && a.sentAt.Sub(key.withdrawnAt) > revoke:
		return fmt.Sprintf("REVOKED: it ran though it was sent %s after its key was taken away", a.sentAt.Sub(key.withdrawnAt).Round(time.Millisecond))
	case refused && key.validThroughout(a.sentAt, a.endedAt):
		return fmt.Sprintf("DENIED: status 401 though its key was valid, given out %s before", a.sentAt.Sub(key.givenAt).Round(time.Millisecond))
	}
	return ""
}

// tenantRun is one run of a request of a tenant.
type tenantRun struct {
	sentAt, ranAt time.Time
	tokens        int
}

// runsOf returns the runs of a tenant's requests.
func runsOf(tenant string, record *fleetstandin.Record, attempts []*attempt) []tenantRun {
	var runs []tenantRun
	for _, a := range attempts {
		if a.credential.tenant() != tenant {
			continue
		}
		for _, at := range record.RunsAt(a.id) {
			tokens := lo.CoalesceOrEmpty(a.credential.tokens, fleetstandin.PlainTokens)
			runs = append(runs, tenantRun{sentAt: a.sentAt, ranAt: at, tokens: tokens})
		}
	}
	return runs
}

// mostTokens returns the most tokens of runs that lie in one window, from when from says to when to says.
func mostTokens(runs []tenantRun, from, to func(tenantRun) time.Time) int {
	return lo.Max(lo.Map(runs, func(first tenantRun, _ int) int {
		start := from(first)
		return lo.SumBy(runs, func(r tenantRun) int {
			return lo.Ternary(from(r).Before(start) || to(r).After(start.Add(quotaWindow)), 0, r.tokens)
		})
	}))
}

func (r tenantRun) sent() time.Time { return r.sentAt }
func (r tenantRun) ran() time.Time  { return r.ranAt }

// allowedTokens returns how many tokens a tenant may use in a window.
func allowedTokens(tenant fleetstandin.Tenant) int {
	return int((tenant.RatePerS*quotaWindow.Seconds()+tenant.Burst)*(1+quotaOvershoot) + quotaSlack)
}

// checkQuota returns the breach of a tenant's rate limit. A run counts in the windows that hold both its send and its start
// at the worker: its tokens were taken between them.
func checkQuota(tenant fleetstandin.Tenant, runs []tenantRun) []string {
	used, allowed := mostTokens(runs, tenantRun.sent, tenantRun.ran), allowedTokens(tenant)
	if tenant.RatePerS == 0 || used <= allowed {
		return nil
	}
	return []string{fmt.Sprintf("QUOTA: tenant %s used %d tokens in a window of %s; %d allowed", tenant.Name, used, quotaWindow, allowed)}
}

// tenantNotes returns a note on each tenant with a rate limit: the part of it that was used in the worst window, by both
// times and by each alone, and the requests that were refused for it.
func (c *callers) tenantNotes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.environment.tenants == nil {
		return nil
	}
	return lo.FilterMap(soakTenants, func(tenant fleetstandin.Tenant, _ int) (string, bool) {
		runs, allowed := runsOf(tenant.Name, c.environment.record, c.attempts), float64(allowedTokens(tenant))
		part := func(from, to func(tenantRun) time.Time) float64 { return float64(mostTokens(runs, from, to)) / allowed }
		sent := lo.Filter(c.attempts, func(a *attempt, _ int) bool { return a.credential.tenant() == tenant.Name })
		refused := lo.CountBy(sent, func(a *attempt) bool { return a.result.Status == http.StatusTooManyRequests })
		note := fmt.Sprintf("tenant %s used %.2f of its limit (%.2f by send times, %.2f by run times), 429 to %d of %d", tenant.Name,
			part(tenantRun.sent, tenantRun.ran), part(tenantRun.sent, tenantRun.sent), part(tenantRun.ran, tenantRun.ran), refused, len(sent))
		return note, tenant.RatePerS > 0
	})
}
