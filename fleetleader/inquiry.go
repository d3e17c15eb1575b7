package fleetleader

import (
	"slices"
	"time"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/placer"
)

// Pauses between repetitions of an order whose end is awaited.
const (
	// minInquiryPause is the shortest pause.
	minInquiryPause = 25 * time.Millisecond
	// inquiryGrowth is the pause as a share of the time since the order was accepted, if nothing is known of its end; so
	// the number of repetitions grows with the logarithm of that time. overdueGrowth is the same for the time since the
	// expected end, where the worker's news or another known end are likely to come first.
	inquiryGrowth = 0.25
	overdueGrowth = 1
	// endMargin is added to each known end, since the worker's timer and the response to the order may be late. A repetition that comes too early is
	// followed by one after minInquiryPause if the end was the first one, and else only at the next end, which may be seconds later: so the margin of
	// the ends of shared loads is larger.
	endMargin       = 2 * time.Millisecond
	sharedEndMargin = 15 * time.Millisecond
	// idleUnloadTime is about how long a worker takes to unload a model for which no request runs; no order can be accepted before.
	idleUnloadTime = 50 * time.Millisecond
	// lateAfter is the time after the first known end from which on the order counts as late.
	lateAfter = 150 * time.Millisecond
	// conflictReportPause is how long an order is repeated after conflicts before a report is read, which distinguishes
	// a busy worker from one whose order count differs; the pause between two reports is not shorter.
	conflictReportPause = 400 * time.Millisecond
)

// inquiry decides when an order is repeated to learn whether the worker has executed it, or the order before it.
type inquiry struct {
	// acceptedAt is when the awaited order was accepted.
	acceptedAt time.Time
	// ends are the times at which the order may end, in ascending order; empty if none is known. The first passed of them
	// have passed.
	ends   []time.Time
	passed int
	// fromStore is set for a load from the weight store, whose later ends are announced.
	fromStore bool
	// deadline is when repetitions end, reportAt when the next report is read, readAt when the last one was, or zero.
	deadline, reportAt, readAt time.Time
	// busy is set once a report has shown the worker busy with the expected order count.
	busy bool
}

// newInquiry returns an inquiry for an order that was accepted at a time and ends at one of several times, if these are known.
func newInquiry(acceptedAt, deadline time.Time, ends []time.Time) *inquiry {
	return &inquiry{acceptedAt: acceptedAt, ends: ends, deadline: deadline, reportAt: time.Now().Add(conflictReportPause)}
}

// newStoreInquiry returns an inquiry for a load from the weight store that takes a time if it is alone.
func newStoreInquiry(acceptedAt time.Time, alone time.Duration, ends []time.Time) *inquiry {
	asking := newInquiry(acceptedAt, acceptedAt.Add(storeLoadFactor*alone), ends)
	asking.fromStore = true
	return asking
}

// reportBy makes a report be read at a time, unless one has been read since or will be before.
func (q *inquiry) reportBy(at time.Time) {
	if q.readAt.Before(at) && at.Before(q.reportAt) {
		q.reportAt = at
	}
}

// nextAt returns when to repeat the order after a repetition that found it unfinished: at the next known end, and in
// pauses that grow after the first one or without any.
func (q *inquiry) nextAt(now time.Time) time.Time {
	for q.passed < len(q.ends) && !q.ends[q.passed].After(now) {
		q.passed++
	}
	next := now.Add(growingPause(now.Sub(q.acceptedAt), inquiryGrowth))
	if q.passed > 0 {
		next = now.Add(growingPause(now.Sub(q.ends[0]), overdueGrowth))
	}
	if q.passed < len(q.ends) && (q.passed != 1 || q.ends[q.passed].Before(next)) {
		next = q.ends[q.passed]
	}
	if q.deadline.After(now) && q.deadline.Before(next) {
		return q.deadline
	}
	return next
}

// laterEnd returns when the order is likely to end that was not at its last known end, and whether anything can be said. Just
// after the first end, nothing can: the order may only be a little late.
func (q *inquiry) laterEnd(now time.Time) (end time.Time, known bool) {
	if len(q.ends) == 0 || now.Sub(q.ends[0]) < lateAfter {
		return time.Time{}, false
	}
	earliest := now.Add(time.Duration(float64(now.Sub(q.acceptedAt)) * inquiryGrowth))
	for _, end := range q.ends {
		if !end.Before(earliest) {
			return end, true
		}
	}
	return earliest, true
}

// growingPause returns a pause that is a share of the time passed.
func growingPause(passed time.Duration, share float64) time.Duration {
	return max(time.Duration(float64(passed)*share), minInquiryPause)
}

// storeShares are the numbers of loads that the weight store may serve at full speed for which loadEnds foresees ends.
var storeShares = []int{1, 2, 3, 4}

// loadEnds returns when a load that was accepted at a time may end, in ascending order: after the time of its tier, of
// a farther tier if the worker's copy is gone, or of a weight store that is shared with other loads. The store's time is
// fixed at the start of a load: n loads at once take n/c times as long if c are served at full speed.
func loadEnds(acceptedAt time.Time, model cataloger.Model, tier placer.Tier) []time.Time {
	var ends []time.Time
	add := func(ms float64, margin time.Duration) {
		ends = append(ends, acceptedAt.Add(time.Duration(ms*float64(time.Millisecond))+margin))
	}
	times := loadTimesMS(model)
	for _, farther := range []placer.Tier{placer.TierMemory, placer.TierDisk, placer.TierStore} {
		if farther >= tier {
			add(times[farther], endMargin)
		}
	}
	for _, share := range storeShares {
		for loads := share + 1; loads <= share*storeLoadFactor; loads++ {
			add(model.StoreMS*float64(loads)/float64(share), sharedEndMargin)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	return slices.CompactFunc(ends, func(next, kept time.Time) bool { return next.Sub(kept) < minInquiryPause })
}

// expectNews makes the worker's news tell that an order may have been executed; the zero value ends that.
func (l *Leader) expectNews(state *workerState, order Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state.awaited = order
	select {
	case <-state.news: // of another order
	default:
	}
}

// awaitNews waits until a time, or until the worker's news tell that the awaited order may have been executed.
func (l *Leader) awaitNews(state *workerState, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-state.news:
	case <-timer.C:
	}
}

// signalNews signals news; the caller holds the Leader's mu.
func (s *workerState) signalNews() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}
