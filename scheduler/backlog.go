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

// rate returns how many places a second the queue gets, and whether that is known. It errs on the high side by one place, since a request that is
// refused in error costs more than one that waits in vain.
func (q *Queue) rate(now time.Time) (perSecond float64, known bool) {
	window := min(now.Sub(q.contendedAt), rateWindow)
	if q.Len() == 0 || window < minRateTime {
		return 0, false
	}
	served := lo.CountBy(q.servedAt, func(at time.Time) bool { return now.Sub(at) <= window })
	return float64(served+1) / window.Seconds(), true
}

// ahead returns how many of the waiting requests are expected to get a place before a ticket.
func (q *Queue) ahead(ticket *Ticket) int {
	own := &ticket.request
	ownFlow := flow{own.Tenant, own.Route}
	moreUrgent, ownBefore := 0, 0
	others := map[flow]int{}
	for _, other := range q.waiting {
		if other == ticket {
			continue
		}
		key := flow{other.request.Tenant, other.request.Route}
		switch {
		case other.request.Rank.compare(own.Rank) < 0:
			moreUrgent++
		case other.request.Rank != own.Rank:
		case key == ownFlow && !other.request.DueAt.After(own.DueAt):
			ownBefore++
		case key != ownFlow:
			others[key]++
		}
	}
	fair := ownBefore
	for _, count := range others {
		fair += min(count, ownBefore+1)
	}
	// A turn by fair share comes once a round however many are more urgent.
	return min(moreUrgent+fair, shareTurn*(fair+1)-1)
}

// Late reports whether a waiting request certainly gets no place before its latest start, and when it should be retried then. MoreAt is when
// further workers will have the model; it is zero if none is loading it. Draw is a random number in [0, 1).
func (q *Queue) Late(now time.Time, ticket *Ticket, moreAt time.Time, draw float64) (retryAt time.Time, late bool) {
	latest := ticket.request.LatestStart
	if !now.Before(latest) {
		return q.RetryAt(now, moreAt, draw), true
	}
	perSecond, known := q.rate(now)
	ahead := q.ahead(ticket)
	if !known || ahead == 0 || !moreAt.IsZero() && !moreAt.After(latest) {
		return time.Time{}, false // The first in turn may get a place at any moment.
	}
	if startAt := now.Add(seconds(float64(ahead) / perSecond)); !startAt.After(latest) {
		return time.Time{}, false
	}
	return q.RetryAt(now, moreAt, draw), true
}

// RetryAt returns when a request that is refused now should be retried: when those that wait have got places, or further workers have the model.
func (q *Queue) RetryAt(now time.Time, moreAt time.Time, draw float64) time.Time {
	delay := minRetry
	if perSecond, known := q.rate(now); known {
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
