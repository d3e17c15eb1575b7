package claimer

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// write is one conditional write of a row, pending until a group commit includes it.
type write struct {
	key, value string
	// version is the table version that the row must have; 0 means that the row must not exist.
	version int64
	// deleteRow deletes the row instead of writing the value.
	deleteRow bool
	deadline  time.Time
	// result receives the outcome; it is buffered, so that sending it never blocks commit.
	result chan writeResult
}

// writeResult is the outcome of one write.
type writeResult struct {
	// version is the row's new table version when the write took effect.
	version int64
	// conflict is the stored row when the write's condition did not hold, else nil.
	conflict *platformclient.Row
	err      error
}

// Limits of group commits.
const (
	maxGroupWrites   = 64
	commitTimeout    = 1 * time.Second
	commitRetryDelay = 50 * time.Millisecond
)

// DeadlineError reports that the outcome of a write is unknown at its deadline.
type DeadlineError struct {
	// key is the table key of the row.
	key string
	// cause is the error of the last commit that failed, or nil.
	cause error
}

// Error names the row and the cause.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("write of %q not resolved in time: %v", e.key, e.cause)
}

// Unwrap returns the cause, or nil.
func (e *DeadlineError) Unwrap() error { return e.cause }

// submit queues a write for a group commit and waits for its outcome, at most
// until the deadline. It starts commitPending unless that is running.
func (c *Claimer) submit(key, value string, version int64, deleteRow bool, deadline time.Time) (int64, *platformclient.Row, error) {
	w := &write{key: key, value: value, version: version, deleteRow: deleteRow, deadline: deadline, result: make(chan writeResult, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, w)
	startCommitter := !c.committing
	c.committing = true
	c.mu.Unlock()
	if startCommitter {
		go c.commitPending()
	}
	select {
	case result := <-w.result:
		return result.version, result.conflict, result.err
	case <-time.After(time.Until(deadline)):
		return 0, nil, &DeadlineError{key: key}
	}
}

// commitPending runs group commits until no write is pending.
func (c *Claimer) commitPending() {
	for {
		c.mu.Lock()
		if len(c.pending) == 0 {
			c.committing = false
			c.mu.Unlock()
			return
		}
		group := c.nextGroup()
		c.mu.Unlock()
		c.commit(group)
	}
}

// nextGroup removes the next group from the pending writes, with at most one write
// for each row; the caller holds mu.
func (c *Claimer) nextGroup() []*write {
	grouped := map[string]bool{}
	var group, remaining []*write
	for _, w := range c.pending {
		if len(group) < maxGroupWrites && !grouped[w.key] {
			grouped[w.key] = true
			group = append(group, w)
			continue
		}
		remaining = append(remaining, w)
	}
	c.pending = remaining
	return group
}

// commit writes a group in one transaction. When the conditions of some writes do not
// hold, these get the conflicts as their results and the rest is retried. The whole
// group is also retried after a lost response: a write that had taken effect then
// conflicts with its own value, which Acquire and record recognise.
func (c *Claimer) commit(group []*write) {
	var lastErr error
	for len(group) > 0 {
		group = failExpired(group, lastErr)
		if len(group) == 0 {
			return
		}
		result, err := c.platform.Write(time.Now().Add(commitTimeout), transactionOf(group))
		if err != nil {
			lastErr = err
			time.Sleep(commitRetryDelay)
			continue
		}
		if result.Done {
			for _, w := range group {
				w.result <- writeResult{version: result.Versions[w.key]}
			}
			return
		}
		group = failConflicting(group, result.Conflicts)
	}
}

// failExpired fails the writes whose deadline has passed with a *DeadlineError and
// returns the other writes.
func failExpired(group []*write, cause error) []*write {
	now := time.Now()
	return lo.Filter(group, func(w *write, _ int) bool {
		if now.Before(w.deadline) {
			return true
		}
		w.result <- writeResult{err: &DeadlineError{key: w.key, cause: cause}}
		return false
	})
}

func transactionOf(group []*write) platformclient.Transaction {
	var transaction platformclient.Transaction
	for _, w := range group {
		transaction.Checks = append(transaction.Checks, platformclient.Check{Key: w.key, Version: w.version})
		if w.deleteRow {
			transaction.Deletes = append(transaction.Deletes, w.key)
			continue
		}
		transaction.Puts = append(transaction.Puts, platformclient.Row{Key: w.key, Value: w.value})
	}
	return transaction
}

// failConflicting ends the writes whose condition did not hold, with the stored row as
// their result, and returns the other writes.
func failConflicting(group []*write, conflicts []platformclient.Row) []*write {
	rows := lo.KeyBy(conflicts, func(row platformclient.Row) string { return row.Key })
	return lo.Filter(group, func(w *write, _ int) bool {
		row, conflicting := rows[w.key]
		if conflicting {
			w.result <- writeResult{conflict: &row}
		}
		return !conflicting
	})
}
