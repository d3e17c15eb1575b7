package scheduler

import "time"

// pauseDecay is the factor by which the pause between two sends changes with each request that a worker takes; below leastPause there is none.
const (
	pauseDecay = 0.8
	leastPause = 10 * time.Millisecond
)

// MaySend reports whether a request may be sent to a worker by its figures. After rejections it may do so only from time to time, since all nodes
// see the same free places; a place that an ended request of this node leaves to the next one is not subject to that.
func (q *Queue) MaySend(now time.Time) bool { return q.pause == 0 || !now.Before(q.sendAt) }

// MaySendFull reports whether a request may be sent to a worker that seems full: the figures are old, and places that got free may not be known.
func (q *Queue) MaySendFull(now time.Time) bool {
	return q.MaySend(now) && !now.Before(q.fullAt)
}

// Sent records a send that the two allowed. Draw is a random number in [0, 1).
func (q *Queue) Sent(now time.Time, draw float64) {
	q.sendAt, q.fullAt = now.Add(spread(q.pause, draw)), now.Add(spread(max(q.pause, minPause), draw))
}

// Answered records whether a worker took a request or rejected it.
func (q *Queue) Answered(accepted bool) {
	if !accepted {
		q.pause = min(max(2*q.pause, minPause), maxPause)
		return
	}
	if q.pause = time.Duration(pauseDecay * float64(q.pause)); q.pause < leastPause {
		q.pause = 0
	}
}
