package quotakeeper

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of a node's estimate of a tenant's demand.
	demandTime = time.Second
	// demandHorizon is the time for which a node prepays: less than half of a token's usual lifetime, so that few expire.
	demandHorizon = 300 * time.Millisecond
	// minExpectedRequests is the number of requests to expect within demandHorizon from which on a node prepays; with fewer, most tokens
	// would expire unspent at a fleet's many nodes.
	minExpectedRequests = 1.0
	// maxCostRatio bounds the weight of a single request in the estimate, as a multiple of the usual cost.
	maxCostRatio = 4.0
	// costWeight is the weight of the newest request in the usual cost.
	costWeight = 0.1
)

// demand estimates the demand of a tenant at one node. The zero value has none.
type demand struct {
	// requestsPerS is the rate as of at, cost the usual cost of a request.
	requestsPerS, cost float64
	at                 time.Time
}

// observe counts a request.
func (d *demand) observe(now time.Time, cost int64) {
	d.requestsPerS = d.rate(now) + 1/demandTime.Seconds()
	d.at = now
	if d.cost == 0 {
		d.cost = float64(cost)
		return
	}
	d.cost += costWeight * (min(float64(cost), maxCostRatio*d.cost) - d.cost)
}

// rate returns the requests per second as of now.
func (d *demand) rate(now time.Time) float64 {
	return d.requestsPerS * math.Exp(-max(now.Sub(d.at), 0).Seconds()/demandTime.Seconds())
}

// expected returns the tokens that requests will need within demandHorizon, or 0 if these are too few requests to prepay for.
func (d *demand) expected(now time.Time) int64 {
	requests := d.rate(now) * demandHorizon.Seconds()
	if requests < minExpectedRequests {
		return 0
	}
	return int64(requests * d.cost)
}
