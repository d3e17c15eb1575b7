package claimer

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// write is one conditional write that waits for a group commit.
type write struct {
	key, value string
	// version is what the row must have; 0 means that it must not exist.
	version int64
	// remove deletes the row instead of writing the value.
	remove   bool
	deadline time.Time
	// verdict receives the outcome; it has room for one.
	verdict chan verdict
}

type verdict struct {
	// version is the row's new version.
	version int64
	// conflict is the row as it is when the condition did not hold.
	conflict *platformclient.Row
	err      error
}

// Limits of group commits.
const (
	maxGroup    = 64
	commitTime  = 1 * time.Second
	commitPause = 50 * time.Millisecond
)

// DeadlineError says that a write could not be resolved by its deadline.
type DeadlineError struct {
	// key is the row that was to be written.
	key string
	// cause is the last failure, or nil.
	cause error
}

// Error names the row and the last failure.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("write of %q not resolved in time: %v", e.key, e.cause)
}

// Unwrap returns the last failure.
func (e *DeadlineError) Unwrap() error { return e.cause }

// submit hands a write to the next group commit and waits for its outcome.
func (c *Claimer) submit(key, value string, version int64, remove bool, deadline time.Time) (int64, *platformclient.Row, error) {
	w := &write{key: key, value: value, version: version, remove: remove, deadline: deadline, verdict: make(chan verdict, 1)}
	c.mu.Lock()
	c.waiting = append(c.waiting, w)
	start := !c.committing
	c.committing = true
	c.mu.Unlock()
	if start {
		go c.commitAll()
	}
	select {
	case v := <-w.verdict:
		return v.version, v.conflict, v.err
	case <-time.After(time.Until(deadline)):
		return 0, nil, &DeadlineError{key: key}
	}
}

// commitAll runs group commits until nothing waits.
func (c *Claimer) commitAll() {
	for {
		c.mu.Lock()
		if len(c.waiting) == 0 {
			c.committing = false
			c.mu.Unlock()
			return
		}
		group := c.nextGroup()
		c.mu.Unlock()
		c.commit(group)
	}
}

// nextGroup takes writes to different rows from the waiting ones; the caller holds mu.
func (c *Claimer) nextGroup() []*write {
	taken := map[string]bool{}
	var group, left []*write
	for _, w := range c.waiting {
		if len(group) < maxGroup && !taken[w.key] {
			taken[w.key] = true
			group = append(group, w)
			continue
		}
		left = append(left, w)
	}
	c.waiting = left
	return group
}

// commit writes a group in one transaction. Writes whose condition fails get
// their conflict and the rest is tried again; so is a group whose answer was
// lost, because a write that took effect shows as a conflict with itself.
func (c *Claimer) commit(group []*write) {
	var lastErr error
	for len(group) > 0 {
		group = expire(group, lastErr)
		if len(group) == 0 {
			return
		}
		answer, err := c.platform.Write(time.Now().Add(commitTime), transactionOf(group))
		if err != nil {
			lastErr = err
			time.Sleep(commitPause)
			continue
		}
		if answer.Done {
			for _, w := range group {
				w.verdict <- verdict{version: answer.Versions[w.key]}
			}
			return
		}
		group = refuseConflicts(group, answer.Conflicts)
	}
}

// expire answers the writes whose deadline is over and returns the rest.
func expire(group []*write, cause error) []*write {
	now := time.Now()
	return lo.Filter(group, func(w *write, _ int) bool {
		if now.Before(w.deadline) {
			return true
		}
		w.verdict <- verdict{err: &DeadlineError{key: w.key, cause: cause}}
		return false
	})
}

func transactionOf(group []*write) platformclient.Transaction {
	var transaction platformclient.Transaction
	for _, w := range group {
		transaction.Checks = append(transaction.Checks, platformclient.Check{Key: w.key, Version: w.version})
		if w.remove {
			transaction.Deletes = append(transaction.Deletes, w.key)
			continue
		}
		transaction.Puts = append(transaction.Puts, platformclient.Row{Key: w.key, Value: w.value})
	}
	return transaction
}

// refuseConflicts answers the writes whose condition failed and returns the rest.
func refuseConflicts(group []*write, conflicts []platformclient.Row) []*write {
	rows := lo.KeyBy(conflicts, func(row platformclient.Row) string { return row.Key })
	return lo.Filter(group, func(w *write, _ int) bool {
		row, conflicting := rows[w.key]
		if conflicting {
			w.verdict <- verdict{conflict: &row}
		}
		return !conflicting
	})
}
