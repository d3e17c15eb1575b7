package quotakeeper

import "time"

// Result is the decision on a request.
type Result int

// Results of a ticket.
const (
	// Waiting means that there is no decision yet.
	Waiting Result = iota
	// Granted means that the request's tokens are spent.
	Granted
	// Over means that the tenant's allowance does not cover the request now.
	Over
	// TooLarge means that the allowance never covers the request while its caller waits.
	TooLarge
	// Unknown means that no leader answered.
	Unknown
)

// String returns the result as in log lines.
func (r Result) String() string {
	return [...]string{"waiting", "granted", "over allowance", "too large", "unknown"}[r]
}

// batch are tokens that expire at the same time.
type batch struct {
	// leader is the index of the leader that granted them.
	leader    int
	tokens    int64
	expiresAt time.Time
}

// Ticket is the wait of one request for its tokens. Its fields are guarded by the tenant's lock until done is closed, and do not change after.
type Ticket struct {
	tenant *tenant
	cost   int64
	// arrivedAt is when the request arrived, latest until when it waits.
	arrivedAt, latest time.Time
	// passed are the tokens that later requests, or cheaper ones, got while this one had too few.
	passed int64
	// favored is set for a large request of a crowded tenant that may wait all the same.
	favored bool
	result  Result
	// retryAt is when the bucket should have refilled for the request, if the result is Over.
	retryAt time.Time
	// spent are the tokens of a granted request; none if the tenant had no limit.
	spent []batch
	done  chan struct{}
}

// Done returns a channel that is closed with the decision.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Result returns the decision, and when to retry if that is Over. It must be called after Done.
func (t *Ticket) Result() (result Result, retryAt time.Time) { return t.result, t.retryAt }

// decided reports whether there is a decision.
func (t *Ticket) decided() bool { return t.result != Waiting }

// decide ends the wait.
func (t *Ticket) decide(result Result) {
	t.result = result
	close(t.done)
}
