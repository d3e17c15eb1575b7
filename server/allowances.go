package server

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
	"github.com/acaciaproxy/acaciaproxy/timekeeper"
)

// allowanceGrace is how much longer than planned a request waits for the decision on its tokens, which the loop of calls makes.
const allowanceGrace = 50 * time.Millisecond

// allowances are a node's side of the rate limits of tenants: it asks the leaders for tokens and, while it leads its zone, grants them. Nothing is
// sent and no timer runs without requests of limited tenants. It is safe for concurrent use.
type allowances struct {
	node *FleetNode
	// zones are those whose leaders grant tokens.
	zones   []string
	keeper  *quotakeeper.Keeper
	granter *quotakeeper.Granter
	// wake makes the loop plan calls at once.
	wake    chan struct{}
	stopped chan struct{}
}

// newAllowances returns the allowances of a node. Where the settings name no zones, the node's own zone has all of each allowance.
func newAllowances(node *FleetNode) *allowances {
	settings := node.settings
	zones := settings.Zones()
	if len(zones) == 0 {
		zones = []string{settings.Zone()}
	}
	bounds := quotakeeper.NewBounds(len(zones), settings.QuotaWindow(), settings.QuotaOvershoot(), settings.QuotaSlack())
	return &allowances{
		node: node, zones: zones,
		keeper: quotakeeper.New(bounds, settings.Zone(), zones, node.recorder.Add), granter: quotakeeper.NewGranter(bounds, rand.Float64),
		wake: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
}

// run starts the loop of calls in the background; stop ends it and must be called once.
func (a *allowances) run() { go a.callLoop() }

func (a *allowances) stop() { close(a.stopped) }

func (a *allowances) callLoop() {
	for {
		calls, next := a.keeper.Plan(timekeeper.Now())
		for _, call := range calls {
			go a.send(call)
		}
		var due <-chan time.Time
		if !next.IsZero() {
			due = time.After(next.Sub(timekeeper.Now()))
		}
		select {
		case <-a.stopped:
			return
		case <-a.wake:
		case <-due:
		}
	}
}

// planNow makes the loop plan calls at once.
func (a *allowances) planNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// send makes one call and records its answer.
func (a *allowances) send(call *quotakeeper.Call) {
	grants, err := a.ask(call)
	now := timekeeper.Now()
	if err == nil {
		a.keeper.Apply(now, call, grants)
	} else {
		downUntil := a.keeper.Fail(now, call)
		logger.Info("no allowance from a leader").Str("zone", call.Zone()).Int("tenants", len(call.Requests())).
			Int64("pause_ms", downUntil.Sub(now).Milliseconds()).Err(err).Msg("no allowance from a leader")
	}
	a.planNow()
}

// ask asks the leader of a zone for tokens.
func (a *allowances) ask(call *quotakeeper.Call) ([]quotakeeper.Grant, error) {
	f := a.node
	if grants, leading := a.grant(f.settings.Name(), call.Zone(), call.Requests()); leading {
		return grants, nil
	}
	holder, _, known := f.leaseholder.Holder(call.Zone())
	if !known || holder.Node == f.settings.Name() {
		return nil, &noLeaderError{zone: call.Zone()}
	}
	client, err := f.peers.FleetClient(holder.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := peerclient.WithDeadline(time.Now().Add(quotakeeper.CallTimeout))
	defer cancel()
	tenants := lo.Map(call.Requests(), func(request quotakeeper.Request, _ int) *nodewire.TokenRequest {
		return &nodewire.TokenRequest{Tenant: request.Tenant, Needed: request.Needed, Expected: request.Expected, Returned: request.Returned}
	})
	reply, err := client.TakeTokens(ctx, &nodewire.TakeTokensRequest{Node: f.settings.Name(), Zone: call.Zone(), Tenants: tenants})
	if err != nil {
		return nil, err
	}
	if !reply.GetLeading() {
		return nil, &noLeaderError{zone: call.Zone()}
	}
	return lo.Map(reply.GetTenants(), func(grant *nodewire.TokenGrant, _ int) quotakeeper.Grant {
		return quotakeeper.Grant{Tenant: grant.GetTenant(), Granted: grant.GetGranted(), RetryMS: grant.GetRetryMs(), Unlimited: grant.GetUnlimited()}
	}), nil
}

// grant answers a node's requests if this node leads the zone, is one of the zones that grant tokens, and has a configuration.
func (a *allowances) grant(node, zone string, requests []quotakeeper.Request) (grants []quotakeeper.Grant, leading bool) {
	catalog := a.node.watcher.Catalog()
	if zone != a.node.settings.Zone() || !slices.Contains(a.zones, zone) || catalog == nil {
		return nil, false
	}
	now, epoch, leading := a.leadingAt()
	if !leading {
		return nil, false
	}
	return a.granter.Take(now, epoch, node, func(name string) (quotakeeper.Allowance, bool) {
		tenant, known := catalog.TenantByName(name)
		if !known {
			return quotakeeper.Allowance{}, false
		}
		return allowanceOf(tenant), true
	}, requests), true
}

// leadingAt returns a time at which this node held its zone's lease, and its epoch: the lease was held before and after the clock was read, so that
// what is granted counts as of a time within the lease also if the process is frozen in between.
func (a *allowances) leadingAt() (now time.Time, epoch int64, leading bool) {
	before, led := a.node.leaseholder.Leading()
	now = timekeeper.Now()
	epoch, leading = a.node.leaseholder.Leading()
	return now, epoch, led && leading && before == epoch
}

// beginLeadership makes the buckets gain tokens from now on if this node leads its zone.
func (a *allowances) beginLeadership() {
	if now, epoch, leading := a.leadingAt(); leading {
		a.granter.Begin(now, epoch)
	}
}

// take spends tokens of a tenant's allowance, as forwarder.Allowances describes.
func (a *allowances) take(ctx context.Context, tenant *cataloger.Tenant, cost int64, latest time.Time) (
	*quotakeeper.Ticket, quotakeeper.Result, time.Time,
) {
	now := timekeeper.Now()
	ticket := a.keeper.Admit(now, tenant.Name, allowanceOf(tenant), cost, now.Add(time.Until(latest)))
	select {
	case <-ticket.Done():
	default:
		a.planNow()
		ctx, cancel := context.WithDeadline(ctx, latest.Add(allowanceGrace))
		defer cancel()
		select {
		case <-ticket.Done():
		case <-ctx.Done():
			a.keeper.Cancel(timekeeper.Now(), ticket)
		}
	}
	result, retryAt := ticket.Result()
	return ticket, result, time.Now().Add(retryAt.Sub(timekeeper.Now()))
}

// look returns what take would by what this node knows, as forwarder.Allowances describes.
func (a *allowances) look(tenant *cataloger.Tenant, cost int64, latest time.Time) (quotakeeper.Result, time.Time) {
	now := timekeeper.Now()
	result, retryAt := a.keeper.Look(now, tenant.Name, allowanceOf(tenant), cost, now.Add(time.Until(latest)))
	return result, time.Now().Add(retryAt.Sub(now))
}

// refund takes back tokens of a request that has not run.
func (a *allowances) refund(ticket *quotakeeper.Ticket) { a.keeper.Refund(timekeeper.Now(), ticket) }

func allowanceOf(tenant *cataloger.Tenant) quotakeeper.Allowance {
	return quotakeeper.Allowance{RatePerS: tenant.RatePerS, Burst: tenant.Burst}
}

func newTokenRequests(requests []*nodewire.TokenRequest) []quotakeeper.Request {
	return lo.Map(requests, func(request *nodewire.TokenRequest, _ int) quotakeeper.Request {
		return quotakeeper.Request{
			Tenant: request.GetTenant(), Needed: request.GetNeeded(), Expected: request.GetExpected(), Returned: request.GetReturned(),
		}
	})
}

func newTokenGrants(grants []quotakeeper.Grant) []*nodewire.TokenGrant {
	return lo.Map(grants, func(grant quotakeeper.Grant, _ int) *nodewire.TokenGrant {
		return &nodewire.TokenGrant{Tenant: grant.Tenant, Granted: grant.Granted, RetryMs: grant.RetryMS, Unlimited: grant.Unlimited}
	})
}
