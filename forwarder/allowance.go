package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
)

// Allowances are the rate limits of tenants. Without Take, there are none.
type Allowances struct {
	// Take spends the tokens that a request of a limited tenant costs, and waits for them until latest at most. RetryAt is when the tokens should be
	// there if the result is quotakeeper.Over.
	Take func(ctx context.Context, tenant *cataloger.Tenant, cost int64, latest time.Time) (
		charge *quotakeeper.Ticket, result quotakeeper.Result, retryAt time.Time,
	)
	// Look returns what Take would by what this node knows, and spends nothing; quotakeeper.Waiting stands for a question to the leaders.
	Look func(tenant *cataloger.Tenant, cost int64, latest time.Time) (result quotakeeper.Result, retryAt time.Time)
	// Refund takes back the tokens of a send that certainly has not run.
	Refund func(charge *quotakeeper.Ticket)
}

const (
	// allowancePart is the part of a route's target latency that a request may wait for its tokens, minAllowanceWait the least time that it may.
	allowancePart    = 4
	minAllowanceWait = 20 * time.Millisecond
	// allowanceRetry applies while no leader answers; one that ended is replaced within two or three seconds, and other nodes may reach one.
	allowanceRetry = 300 * time.Millisecond
)

// charge spends the tokens that a call costs of its tenant's allowance. The error is the one with which the call ends. A request that another node
// passed on is charged there.
func (f *Forwarder) charge(ctx context.Context, c *call) error {
	if c.isCarried {
		return nil
	}
	return f.takeTokens(ctx, c)
}

// chargeRepeat spends the tokens of one more send of a call, an earlier send of which may have run. The error is the one with which the call ends.
func (f *Forwarder) chargeRepeat(ctx context.Context, c *call) error { return f.takeTokens(ctx, c) }

func (f *Forwarder) takeTokens(ctx context.Context, c *call) error {
	now := time.Now()
	tenant, cost, latest := c.tokensNeeded(now)
	if tenant == nil || f.dependencies.Allowances.Take == nil {
		return nil
	}
	charge, result, retryAt := f.dependencies.Allowances.Take(ctx, tenant, cost, latest)
	if result == quotakeeper.Granted {
		c.charges = append(c.charges, charge)
		return nil
	}
	failure := f.refuseAllowance(c, result, retryAt)
	logger.Info("tenant over its allowance").Str("request", c.ID).Str("tenant", tenant.Name).Int64("cost", cost).Str("result", result.String()).
		Int64("waited_ms", time.Since(now).Milliseconds()).Int64("retry_ms", failure.retryMS).Int("runs", c.ledger.MayHaveRun()).
		Msg("tenant over its allowance")
	return failure
}

// tokensNeeded returns what a call costs of the allowance of its tenant and until when it may wait for that; tenant is nil if there is no limit.
func (c *call) tokensNeeded(now time.Time) (tenant *cataloger.Tenant, cost int64, latest time.Time) {
	tenant, found := c.catalog.TenantByName(c.Tenant)
	if c.Tenant == "" || !found || !tenant.Limited() {
		return nil, 0, time.Time{}
	}
	latest = now.Add(max(c.route.TargetLatency()/allowancePart, minAllowanceWait))
	if last := c.eventDeadline().Add(-minResendTime - returnReserve); last.Before(latest) { // A send must follow.
		latest = last
	}
	return tenant, tenant.Cost(c.PromptTokens, c.MaxResponseTokens, c.TokensCounted), latest
}

// refuseAllowance returns the refusal of a call whose tokens were not granted.
func (f *Forwarder) refuseAllowance(c *call, result quotakeeper.Result, retryAt time.Time) *FailureError {
	if f.life.Err() != nil {
		return newStopping(c)
	}
	if result == quotakeeper.Unknown {
		return c.refuse("allowance_unknown", "no leader says whether the tenant's allowance covers the request; another node may know", allowanceRetry)
	}
	failure := c.refuse("over_allowance", "the request exceeds the tenant's allowance", time.Until(retryAt))
	if failure.promise.Given() {
		failure.status = http.StatusTooManyRequests
	}
	if result == quotakeeper.TooLarge {
		failure.message, failure.retryMS = "the request alone exceeds the tenant's allowance", 0 // No retry succeeds.
	}
	return failure
}

// refundUnrun takes back the charges of a call that has ended, but for one for each send that may have run; the node that passed the call on holds
// the first.
func (f *Forwarder) refundUnrun(c *call) {
	ran := c.ledger.MayHaveRun()
	if c.isCarried {
		ran--
	}
	for len(c.charges) > max(ran, 0) {
		last := len(c.charges) - 1
		f.dependencies.Allowances.Refund(c.charges[last])
		c.charges = c.charges[:last]
	}
}
