// Package quotakeeper keeps the requests of tenants within their rate limits over
// all nodes. The leader of each zone grants tokens out of a bucket for each tenant
// (Granter), and nodes spend only tokens that they were granted before (Keeper).
//
// The package reads no clock and does no I/O. All times are those of a clock that
// keeps counting while the machine is suspended; clocks of different nodes are
// never compared.
package quotakeeper

import "time"

const (
	// minLifetime is the least lifetime of tokens; a call to a leader of another zone takes some milliseconds. Below it, the bound is
	// exceeded by the rate times the difference.
	minLifetime = 50 * time.Millisecond
	// capacityPart, creditPart and ratePart are the parts of the tolerance (overshoot of the burst, and slack) by which buckets are larger than
	// the burst, which returned tokens may use, and which buckets gain in addition in each window and lifetime, so that tokens that expire at
	// nodes are not missing to callers. The rest covers the clock rates of nodes.
	capacityPart = 0.25
	creditPart   = 0.25
	ratePart     = 0.375
)

// Allowance is the rate limit of a tenant over all nodes; there is no limit if RatePerS is 0.
type Allowance struct{ RatePerS, Burst float64 }

// Limited reports whether there is a limit.
func (a Allowance) Limited() bool { return a.RatePerS > 0 }

// Bounds are the settings of a deployment by which allowances are checked. They are immutable.
type Bounds struct {
	// zones is the number of leaders among which allowances are divided; at least 1.
	zones int
	// windowS, overshoot and slack are as in the settings quotawindow, quotaovershoot and quotaslack.
	windowS, overshoot, slack float64
}

// NewBounds returns bounds. Without zones, allowances are not divided.
func NewBounds(zones int, windowS, overshoot, slack float64) Bounds {
	return Bounds{zones: max(zones, 1), windowS: windowS, overshoot: overshoot, slack: slack}
}

// Window returns the length of the window in which allowances are checked.
func (b Bounds) Window() time.Duration { return time.Duration(b.windowS * float64(time.Second)) }

// Lifetime returns how long tokens may be spent, counted from when the node sent its request for them.
func (b Bounds) Lifetime() time.Duration {
	return max(time.Duration(b.windowS*b.overshoot*float64(time.Second)), minLifetime)
}

// Allowed returns the most that an allowance permits in a window.
func (b Bounds) Allowed(a Allowance) float64 {
	return (a.RatePerS*b.windowS+a.Burst)*(1+b.overshoot) + b.slack
}

// tolerance returns how much Allowed exceeds rate x (window + lifetime) + burst.
func (b Bounds) tolerance(a Allowance) float64 { return a.Burst*b.overshoot + b.slack }

// capacity returns the capacity of one zone's bucket. It is more than the zone's part of the burst, so that a request that the whole burst
// covers seldom needs all leaders, but never more than the larger of burst and rate.
func (b Bounds) capacity(a Allowance) float64 {
	return min((a.Burst+capacityPart*b.tolerance(a))/float64(b.zones), max(a.Burst, a.RatePerS))
}

// rate returns how many tokens one zone's bucket gains in a second.
func (b Bounds) rate(a Allowance) float64 {
	return (a.RatePerS + ratePart*b.tolerance(a)/(b.Window()+b.Lifetime()).Seconds()) / float64(b.zones)
}

// credit returns how many returned tokens one zone's leaders may put back in any time of a window and a lifetime.
func (b Bounds) credit(a Allowance) float64 { return creditPart * b.tolerance(a) / float64(b.zones) }

// Largest returns the largest cost that a request may have which waits for some time: what all buckets hold and gain until then, or until
// the first of its tokens expire.
func (b Bounds) Largest(a Allowance, wait time.Duration) int64 {
	return int64(float64(b.zones)*b.capacity(a) + a.RatePerS*max(min(wait, b.Lifetime()), 0).Seconds())
}

// Request is what a node asks a leader for one tenant.
type Request struct {
	Tenant string
	// Needed are tokens for requests that wait, Expected those that the node expects to need soon.
	Needed, Expected int64
	// Returned are unexpired tokens of the same leader that the node gives back; it has deducted them already.
	Returned int64
}

// Grant is a leader's answer to a Request.
type Grant struct {
	Tenant string
	// Granted may be spent until the lifetime has passed since the node sent its request.
	Granted int64
	// RetryMS is the time in milliseconds after which the part of Needed that was not granted should be there; 0 if all was granted.
	RetryMS int64
	// Unlimited is set if the tenant has no limit by the leader's configuration.
	Unlimited bool
}
