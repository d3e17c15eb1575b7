package scheduler

import (
	"time"

	"github.com/samber/lo"
)

const (
	// rateWindow is the time over which the rate is measured at which a queue gets places; it is known once the queue was not empty for minRateTime.
	rateWindow  = 2 * time.Second
	minRateTime = 300 * time.Millisecond
	// minRetry is the least delay of a retry: a caller that comes back sooner meets the same requests.
	minRetry = 100 * time.Millisecond
	// runTime is the assumed time until a place gets free while the rate is not known; short responses take about as long.
	runTime = 400 * time.Millisecond
	// retrySpread is the part of a retry's delay that is added at random, so that those who were refused together do not come back together.
	retrySpread = 0.5
)

// rate returns how many places a second the requests get that counts selects, and whether that is known. It errs on the high side by one place,
// since a request that is refused in error costs more than one that waits in vain.
func (q *Queue) rate(now time.Time, counts func(flow) bool) (perSecond float64, known bool) {
	window := min(now.Sub(q.contendedAt), rateWindow)
	if q.Len() == 0 || window < minRateTime {
		return 0, false
	}
	served := lo.CountBy(q.served, func(s service) bool { return now.Sub(s.at) <= window && counts(s.flow) })
	return float64(served+1) / window.Seconds(), true
}

// all selects all flows.
func all(flow) bool { return true }

// ahead returns how many of the waiting requests are expected to get a place before a ticket, and how many of these are of its flow.
func (q *Queue) ahead(ticket *Ticket) (ahead, ofFlow int) {
	own := &ticket.request
	moreUrgent := 0
	others := map[flow]int{}
	for _, other := range q.waiting {
		order := other.request.Rank.compare(own.Rank)
		switch {
		case other == ticket:
		case other.request.flow() == own.flow():
			ofFlow += lo.Ternary(other.request.DueAt.After(own.DueAt), 0, 1)
		case order < 0:
			moreUrgent++
		case order == 0:
			others[other.request.flow()]++
		}
	}
	fair := ofFlow
	for _, count := range others {
		fair += min(count, ofFlow+1)
	}
	// A turn by fair share comes once a round however many are more urgent.
	return min(moreUrgent+fair, shareTurn*(fair+1)-1), ofFlow
}

// Late reports whether a waiting request certainly gets no place before its latest start, and when it should be retried then. MoreAt is when
// further workers will have the model; it is zero if none is loading it. Draw is a random number in [0, 1).
func (q *Queue) Late(now time.Time, ticket *Ticket, moreAt time.Time, draw float64) (retryAt time.Time, late bool) {
	latest := ticket.request.LatestStart
	if !now.Before(latest) {
		return q.RetryAt(now, moreAt, draw), true
	}
	startAt, known := q.startAt(now, ticket)
	if !known || !moreAt.IsZero() && !moreAt.After(latest) || !startAt.After(latest) {
		return time.Time{}, false
	}
	return q.RetryAt(now, moreAt, draw), true
}

// startAt returns the earliest time at which a waiting request is expected to get a place, and whether that is known.
func (q *Queue) startAt(now time.Time, ticket *Ticket) (at time.Time, known bool) {
	perSecond, known := q.rate(now, all)
	if !known {
		return time.Time{}, false
	}
	// The first in turn may get a place at any moment. Requests that are yet to come go before others too: the rate of the flow has that.
	ahead, ofFlow := q.ahead(ticket)
	ofFlowPerSecond, _ := q.rate(now, func(f flow) bool { return f == ticket.request.flow() })
	return now.Add(seconds(max(float64(ahead)/perSecond, float64(ofFlow)/ofFlowPerSecond))), true
}

// RetryAt returns when a request that is refused now should be retried: when those that wait have got places, or further workers have the model.
func (q *Queue) RetryAt(now time.Time, moreAt time.Time, draw float64) time.Time {
	delay := minRetry
	if perSecond, known := q.rate(now, all); known {
		delay = max(delay, seconds(float64(q.Len()+1)/perSecond))
	} else {
		delay = runTime
	}
	if !moreAt.IsZero() {
		delay = max(min(delay, moreAt.Sub(now)), minRetry)
	}
	return now.Add(delay + time.Duration(retrySpread*draw*float64(delay)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
