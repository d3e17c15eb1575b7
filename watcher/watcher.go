// Package watcher follows the platform's store: it keeps the configuration in
// force and the list of workers up to date, and notices when the store is away.
package watcher

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// Times of the feeds.
const (
	// catalogWaitMS is how long one call waits for a change of the configuration, in milliseconds. A silent
	// connection delays a change by at most this and callSlack, less if a peer has it.
	catalogWaitMS = 2500
	// workersPause is the least time between two calls for heartbeats; the newest are that much late.
	workersPause = 600 * time.Millisecond // The platform gives nodes 2 s to hear that a worker leaves; a lost leader takes 1.2 s of it.
	// workersWaitMS bounds a call for heartbeats that finds none, in milliseconds.
	workersWaitMS = 600
	// callSlack is the time that the store has beyond its wait.
	callSlack = 700 * time.Millisecond
	// retryPause is the pause after a call that failed, longestRetry the one after several in a row; refused calls are paid for too.
	retryPause   = 250 * time.Millisecond
	longestRetry = 1 * time.Second // Half of the time in which lapsed entries come back after an outage.
	// awayAfter is how long calls must have failed before the store counts as away.
	awayAfter = 1 * time.Second
	// relistAfter is the age at which a list is read whole again, since a feed may have lost changes.
	relistAfter = 15 * time.Second
)

// Document is what the store said about the configuration.
type Document struct {
	// Catalog is nil when there was no change.
	Catalog *cataloger.Catalog
	// After is the version to go on from.
	After int64
}

// Source is the set of reads that a watcher needs. Every call returns by its deadline.
type Source struct {
	// ListCatalog reads the configuration whole.
	ListCatalog func(deadline time.Time) (Document, error)
	// FeedCatalog waits for a change after a version, at most waitMS milliseconds.
	FeedCatalog func(deadline time.Time, after, waitMS int64) (Document, error)
	// ListWorkers reads all heartbeats and the version to go on from.
	ListWorkers func(deadline time.Time) ([]registrar.Change, int64, error)
	// FeedWorkers waits for heartbeats after a version, at most waitMS milliseconds.
	FeedWorkers func(deadline time.Time, after, waitMS int64) ([]registrar.Change, int64, error)
}

// CompactedError says that the store no longer has the changes after a version.
type CompactedError struct {
	// table is what was read, after the version asked for.
	table string
	after int64
}

// NewCompactedError returns the error of a feed whose history is gone.
func NewCompactedError(table string, after int64) error {
	return &CompactedError{table: table, after: after}
}

// Error names the table and the version.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes of table %q after version %d are no longer kept", e.table, e.after)
}

// Watcher is safe for use by several goroutines.
type Watcher struct {
	source    Source
	registrar *registrar.Registrar
	// changed is called after each change of configuration or workers.
	changed func()
	catalog atomic.Pointer[cataloger.Catalog]
	// listed is set once the list of workers was read whole.
	listed  atomic.Bool
	stopped chan struct{}
	// fetching is set while the configuration is read because a peer has a newer one, and for a pause after that failed.
	fetching atomic.Bool
	// fetchFailing is set while such reads fail; only the reader that set fetching uses it.
	fetchFailing bool
	// answered is when the store last answered; never nil while running.
	answered atomic.Pointer[time.Time]
	// relay is what the own zone's leader tells of the list of workers.
	relay relay
	// listVersion is the version up to which all changes of the list are known, or -1; it never falls.
	listVersion atomic.Int64
	// listBase is the version from which on all changes are known, or -1.
	listBase atomic.Int64
	// readAt is when a read of the list by this node was last answered, or nil.
	readAt atomic.Pointer[time.Time]
	// calls and failures count the calls to the store.
	calls, failures atomic.Int64
}

// New returns a watcher that does not read yet. Changed must not block.
func New(source Source, list *registrar.Registrar, changed func()) *Watcher {
	w := &Watcher{source: source, registrar: list, changed: changed, stopped: make(chan struct{})}
	w.listVersion.Store(unlisted)
	w.listBase.Store(unlisted)
	w.relay.ended = make(chan struct{})
	return w
}

// unlisted stands for a version while no list was read.
const unlisted = -1

// Catalog returns the configuration in force, or nil before the first was read.
func (w *Watcher) Catalog() *cataloger.Catalog { return w.catalog.Load() }

// Ready reports whether configuration and workers are known.
func (w *Watcher) Ready() bool { return w.Catalog() != nil && w.listed.Load() }

// Calls returns how many calls were made to the store and how many of them failed.
func (w *Watcher) Calls() (made, failed int64) { return w.calls.Load(), w.failures.Load() }

// Away reports whether the store has not answered for a while.
func (w *Watcher) Away(now time.Time) bool {
	answered := w.answered.Load()
	return answered != nil && now.Sub(*answered) > awayAfter+workersPause+workersWaitMS*time.Millisecond
}

// Run starts to read.
func (w *Watcher) Run() {
	w.markAnswered()
	go w.followCatalog()
	go w.followWorkers()
}

// Stop ends the reads.
func (w *Watcher) Stop() { close(w.stopped) }

// Hear takes in that a peer has a version of the configuration in force. A newer
// one is read at once, since the own feed may have gone silent.
func (w *Watcher) Hear(version int64) {
	if catalog := w.Catalog(); catalog != nil && catalog.Version() >= version || !w.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer w.fetching.Store(false)
		document, err := w.source.ListCatalog(time.Now().Add(callSlack))
		w.called(err, "configuration that a peer has", &w.fetchFailing)
		if err != nil {
			w.sleep(retryPause)
			return
		}
		w.take(document.Catalog)
	}()
}

// sleep waits and reports whether to go on.
func (w *Watcher) sleep(pause time.Duration) bool {
	select {
	case <-w.stopped:
		return false
	case <-time.After(pause):
		return true
	}
}

func (w *Watcher) markAnswered() {
	now := time.Now()
	w.answered.Store(&now)
}

// called takes in the outcome of a call.
func (w *Watcher) called(err error, what string, failing *bool) {
	w.calls.Add(1)
	var compacted *CompactedError
	if err == nil || errors.As(err, &compacted) {
		w.markAnswered()
		if *failing {
			log.Info().Str("dependency", "store").Str("read", what).Msg("dependency regained")
		}
		*failing = false
		return
	}
	w.failures.Add(1)
	w.registrar.Disturbed(time.Now())
	if !*failing {
		log.Warn().Str("dependency", "store").Str("read", what).Err(err).Msg("dependency lost")
	}
	*failing = true
}

// followCatalog keeps the configuration up to date until Stop.
func (w *Watcher) followCatalog() {
	known, failing := false, false
	pause := retryPause
	after := int64(0)
	relistAt := time.Now()
	for {
		if waited, goOn := w.awaitUnrelayed(); !goOn {
			return
		} else if waited {
			known = false // Changes may have come meanwhile.
		}
		var document Document
		var err error
		if !known || time.Now().After(relistAt) {
			document, err = w.source.ListCatalog(time.Now().Add(callSlack))
			relistAt = time.Now().Add(relistAfter)
		} else {
			document, err = w.source.FeedCatalog(time.Now().Add(catalogWaitMS*time.Millisecond+callSlack), after, catalogWaitMS)
		}
		w.called(err, "configuration", &failing)
		if err == nil {
			known = true
			after = max(after, document.After)
			w.take(document.Catalog)
		}
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			log.Info().Err(err).Msg("configuration is read whole")
			known = false
			continue
		}
		if err != nil {
			known = false
			if !w.sleep(pause) {
				return
			}
			pause = min(2*pause, longestRetry)
			continue
		}
		pause = retryPause
		if !w.sleep(0) {
			return
		}
	}
}

// take puts a configuration in force if it is newer.
func (w *Watcher) take(catalog *cataloger.Catalog) {
	if catalog == nil {
		return
	}
	for {
		current := w.catalog.Load()
		if current != nil && catalog.Version() <= current.Version() {
			return
		}
		if w.catalog.CompareAndSwap(current, catalog) {
			log.Info().Int64("version", catalog.Version()).Msg("configuration in force")
			w.changed()
			return
		}
	}
}

// followWorkers keeps the list of workers up to date until Stop.
func (w *Watcher) followWorkers() {
	known, failing := false, false
	retry := retryPause
	relistAt := time.Now()
	for {
		if waited, goOn := w.awaitUnrelayed(); !goOn {
			return
		} else if waited {
			known = false
		}
		startedAt := time.Now()
		var err error
		if !known || startedAt.After(relistAt) {
			if err = w.listWorkers(&failing); err == nil {
				relistAt = startedAt.Add(relistAfter)
			}
		} else {
			err = w.feedWorkers(&failing)
		}
		known = err == nil
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			continue
		}
		w.expire()
		pause := time.Until(startedAt.Add(workersPause))
		if known {
			retry = retryPause
		} else {
			pause = retry
			retry = min(2*retry, longestRetry)
		}
		if !w.sleep(pause) {
			return
		}
	}
}

// expire drops the workers whose entries did not come back after an outage.
func (w *Watcher) expire() {
	for _, id := range w.registrar.Expire(time.Now()) {
		log.Info().Str("worker", id).Msg("worker gone: its entry did not come back after the store's outage")
	}
}

func (w *Watcher) listWorkers(failing *bool) error {
	sentAt := time.Now()
	changes, version, err := w.source.ListWorkers(sentAt.Add(callSlack))
	w.called(err, "workers", failing)
	if err != nil {
		return err
	}
	workers := make([]registrar.Worker, len(changes))
	for i := range changes {
		workers[i] = changes[i].Worker
	}
	for _, id := range w.registrar.Replace(time.Now(), workers, version) {
		log.Info().Str("worker", id).Int64("version", version).Msg("worker missing from the list")
	}
	w.listBase.CompareAndSwap(unlisted, version)
	w.listed.Store(true)
	w.tookList(sentAt, version)
	return nil
}

func (w *Watcher) feedWorkers(failing *bool) error {
	changes, version, err := w.source.FeedWorkers(time.Now().Add(workersWaitMS*time.Millisecond+callSlack), w.listVersion.Load(), workersWaitMS)
	w.called(err, "workers", failing)
	if err != nil {
		return err
	}
	w.logChanges(changes)
	w.registrar.Apply(time.Now(), changes)
	w.tookList(time.Now(), version)
	return nil
}

// tookList takes in that all changes up to a version are known.
func (w *Watcher) tookList(at time.Time, version int64) {
	w.raiseList(version)
	w.readAt.Store(&at)
	w.changed()
}

func (w *Watcher) raiseList(version int64) {
	for known := w.listVersion.Load(); known < version; known = w.listVersion.Load() {
		if w.listVersion.CompareAndSwap(known, version) {
			return
		}
	}
}

// logChanges logs workers that come, leave or go.
func (w *Watcher) logChanges(changes []registrar.Change) {
	fleet := w.registrar.Fleet()
	for i := range changes {
		entry := &changes[i].Worker
		known, found := fleet.Worker(entry.ID)
		switch {
		case changes[i].Removed:
			if found {
				log.Info().Str("worker", entry.ID).Int64("version", entry.RowVersion).Msg("worker's entry removed")
			}
		case !found:
			log.Info().Str("worker", entry.ID).Str("service", entry.Service).Str("zone", entry.Zone).Int64("version", entry.RowVersion).Msg("worker in")
		case entry.Leaving && !known.Leaving:
			log.Info().Str("worker", entry.ID).Int64("version", entry.RowVersion).Msg("worker leaving")
		case entry.Born != known.Born:
			log.Info().Str("worker", entry.ID).Int64("born", entry.Born).Int64("version", entry.RowVersion).Msg("worker restarted")
		}
	}
}
