package watcher

import (
	"errors"
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
	// patient is set if a failed call is always followed by maxRetryPause.
	patient bool
}

// followTable keeps what this node knows of a table up to date until Stop, except while the leader forwards its reads.
func (w *Watcher) followTable(table tableReader) {
	known, failing := false, false
	pause := retryPause
	after := int64(0)
	relistAt := time.Now()
	for {
		if waited, running := w.waitWhileForwarded(); !running {
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
			next, err = table.feed(time.Now().Add(catalogWaitMS*time.Millisecond+maxReadTime), after, catalogWaitMS)
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
			known = false
			if table.patient {
				pause = maxRetryPause
			}
			if !w.sleep(pause) {
				return
			}
			pause = min(2*pause, maxRetryPause)
			continue
		}
		pause = retryPause
		if !w.sleep(0) {
			return
		}
	}
}

// listCatalog reads the whole configuration and puts it in force.
func (w *Watcher) listCatalog(deadline time.Time) (int64, error) {
	configuration, err := w.source.ListCatalog(deadline)
	if err == nil {
		w.applyCatalog(configuration.Catalog)
	}
	return configuration.After, err
}

// feedCatalog waits for a change of the configuration and puts it in force.
func (w *Watcher) feedCatalog(deadline time.Time, after, waitMS int64) (int64, error) {
	configuration, err := w.source.FeedCatalog(deadline, after, waitMS)
	if err == nil {
		w.applyCatalog(configuration.Catalog)
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
