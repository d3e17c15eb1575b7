package watcher

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// confirmPause is the pause between two calls to the store by Confirm.
const confirmPause = 200 * time.Millisecond

// confirmation records the reads of the list that Confirm made.
type confirmation struct {
	// mu guards sentAt, and is held during a read: calls that come meanwhile use its result.
	mu sync.Mutex
	// sentAt is when the last successful read was sent; zero before the first.
	sentAt time.Time
}

// Confirm reports whether the list of workers was as it is in the store at some time after since,
// and reads what has changed if that is not known yet. Forwarded reads and responses to earlier
// calls do not count: while this node stood still or was cut off, they waited too.
func (w *Watcher) Confirm(deadline, since time.Time) bool {
	w.confirmation.mu.Lock()
	defer w.confirmation.mu.Unlock()
	if w.confirmation.sentAt.After(since) {
		return true
	}
	time.Sleep(time.Until(w.confirmation.sentAt.Add(confirmPause)))
	sentAt := time.Now()
	if !w.listed.Load() || !sentAt.Before(deadline) {
		return false
	}
	changes, version, err := w.source.FeedWorkers(deadline, w.listVersion.Load(), 1)
	w.calls.Add(1)
	if err != nil {
		w.failures.Add(1)
		log.Warn().Err(err).Int64("version", w.listVersion.Load()).Msg("list of workers not confirmed")
		return false
	}
	w.attester.RecordAnswer()
	w.applyChanges(sentAt, changes)
	w.raiseListVersion(version)
	w.confirmation.sentAt = sentAt
	if len(changes) > 0 {
		w.changed()
	}
	return true
}
