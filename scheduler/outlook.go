package scheduler

import (
	"maps"
	"slices"
	"time"
)

// middleDraw stands for the random numbers in an Outlook.
const middleDraw = 0.5

// Outlook is what would happen to a request if it were put into a queue.
type Outlook struct {
	// Before is the number of waiting requests whose turn comes before.
	Before int
	// MaySend and MaySendFull are the results of the queue's functions of these names.
	MaySend, MaySendFull bool
	// Late and RetryAt are the results of Late. StartAt is when the request should get a place; zero if that is not known.
	Late             bool
	RetryAt, StartAt time.Time
}

// Foresee returns what would happen to a request that came now, and changes nothing. MoreAt is as in Late.
func (q *Queue) Foresee(now time.Time, request Request, moreAt time.Time) Outlook {
	trial := *q
	trial.waiting, trial.used, trial.served = slices.Clone(q.waiting), maps.Clone(q.used), slices.Clone(q.served)
	ticket := trial.Add(now, request, middleDraw)
	outlook := Outlook{Before: slices.Index(trial.order(), ticket), MaySend: trial.MaySend(now), MaySendFull: trial.MaySendFull(now)}
	outlook.RetryAt, outlook.Late = trial.Late(now, ticket, moreAt, middleDraw)
	if startAt, known := trial.startAt(now, ticket); known {
		outlook.StartAt = startAt
	}
	return outlook
}
