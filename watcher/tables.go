package watcher

import (
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// tableReader reads a table of the store whose changes are followed by waiting for them.
type tableReader struct {
	// name is what the table holds, for logs.
	name string
	// list reads and applies the whole table, and returns the version to pass to feed. feed waits at most waitMS milliseconds for changes after a
	// version, applies them and returns the next version.
	list func(deadline time.Time) (int64, error)
	feed func(deadline time.Time, after, waitMS int64) (int64, error)
	// waitMS is how long one call of feed waits, marginMS the time after that in which its response must have arrived, both in milliseconds.
	waitMS, marginMS int64
	// proves is set if the reads prove that the configuration is the newest.
	proves bool
}

const (
	// settleTime is how long a started node waits for a leader that forwards its reads before it waits for changes itself.
	settleTime = 300 * time.Millisecond
	// maxTablePause bounds the pause after a failed read of a table; it ends with the next response to a read of the list of
	// workers, so that one read at a time finds out whether the store is back.
	maxTablePause = 5 * time.Second
)

// responseSignal tells those who wait that the store has responded.
type responseSignal struct {
	// mu guards next, which is closed and replaced by signal.
	mu   sync.Mutex
	next chan struct{}
}

func (s *responseSignal) signal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.next)
	s.next = make(chan struct{})
}

// channel returns a channel that the next signal closes.
func (s *responseSignal) channel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// awaitSignal waits for retryPause, and then until a channel is closed or a time has come. It returns false when the watcher is stopped.
func (w *Watcher) awaitSignal(signal <-chan struct{}, until time.Time) bool {
	if !w.sleep(retryPause) {
		return false
	}
	select {
	case <-w.stopped:
		return false
	case <-signal:
	case <-time.After(time.Until(until)):
	}
	return true
}

// followTable keeps what this node knows of a table up to date until Stop, except while the leader forwards its reads.
func (w *Watcher) followTable(table tableReader) {
	known, failing, settled := false, false, false
	after := int64(0)
	relistAt := time.Now()
	for {
		if waited, running := w.waitWhileForwarded(table.proves); !running {
			return
		} else if waited {
			known = false // There may have been changes meanwhile.
		}
		var next int64
		var err error
		if !known || time.Now().After(relistAt) {
			next, err = table.list(time.Now().Add(maxReadTime))
			relistAt = time.Now().Add(relistInterval)
		} else {
			next, err = table.feed(time.Now().Add(time.Duration(table.waitMS+table.marginMS)*time.Millisecond), after, table.waitMS)
			next = max(after, next)
		}
		w.recordCall(err, table.name, &failing)
		if err == nil {
			known, after = true, next
		}
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			log.Info().Err(err).Str("read", table.name).Msg("the whole table is read again")
			known = false
			continue
		}
		if err != nil {
			hung := known && table.proves // The whole read uses another connection.
			known = false
			if hung && w.sleep(retryPause) {
				continue
			}
			pause := maxTablePause
			if table.proves && w.isForwarded(time.Now()) {
				pause = maxRetryPause // No response to a read of the list of workers comes meanwhile.
			}
			if !w.awaitSignal(w.responded.channel(), time.Now().Add(pause)) {
				return
			}
			continue
		}
		pause := time.Duration(0)
		if !settled {
			settled, pause = true, settleTime
		}
		if !w.sleep(pause) {
			return
		}
	}
}

// listCatalog reads the whole configuration and puts it in force.
func (w *Watcher) listCatalog(deadline time.Time) (int64, error) {
	configuration, err := w.readCatalog(deadline)
	return configuration.After, err
}

// feedCatalog waits for a change of the configuration and puts it in force.
func (w *Watcher) feedCatalog(deadline time.Time, after, waitMS int64) (int64, error) {
	sentAt := w.beginRead()
	configuration, err := w.source.FeedCatalog(deadline, after, waitMS)
	if err == nil {
		w.applyCatalog(configuration.Catalog)
		w.fresh.Complete(sentAt, versionOf(configuration.Catalog), false)
	}
	return configuration.After, err
}

// listCrashes reads all crashes.
func (w *Watcher) listCrashes(deadline time.Time) (int64, error) {
	after, err := w.source.ListCrashes(deadline)
	if err == nil {
		w.crashesListed.Store(true)
	}
	return after, err
}

// maxCrashesDelay bounds how long a node that reads the store otherwise waits for the crashes.
const maxCrashesDelay = 2 * time.Second

// CrashesKnown reports whether the crashes have been read, or could not be read for maxCrashesDelay.
func (w *Watcher) CrashesKnown() bool {
	due := w.crashesDue.Load()
	return w.crashesListed.Load() || due != nil && time.Now().After(*due)
}
