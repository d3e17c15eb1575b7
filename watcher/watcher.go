// Package watcher follows the platform's store: it keeps the configuration in
// force and the list of workers up to date, and detects when the store is unavailable.
package watcher

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/attester"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/freshkeeper"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/timekeeper"
)

// Timing of the calls to the store.
const (
	// catalogWaitMS is how long one call waits for a change of the configuration, in milliseconds. A connection on
	// which no response arrives delays a change by at most this and the time after which the source gives it up, less if a peer has the change.
	catalogWaitMS = 2500
	// workersPollInterval is the shortest time between the starts of two calls for heartbeats, and the longest delay that
	// this adds to a heartbeat.
	workersPollInterval = 600 * time.Millisecond // The platform gives nodes 2 s to learn that a worker leaves; the loss of a leader takes 1.2 s of it.
	// workersWaitMS is how long one call waits for heartbeats, in milliseconds.
	workersWaitMS = 600
	// responseMargin is the time that the store has to send the changes of the list of workers, in addition to the wait of the call.
	responseMargin = 700 * time.Millisecond
	// maxReadTime bounds a read of a whole table or of a configuration while its bytes arrive: 8 MB take about that long over 10 Mbit/s. A connection that
	// falls silent is given up by the source.
	maxReadTime = 8 * time.Second
	// retryPause is the pause after a failed call. The time from one to the next doubles up to maxRetryPause while calls fail, since refused
	// calls cost as much as others.
	retryPause    = 250 * time.Millisecond
	maxRetryPause = 1 * time.Second // Half of the time in which entries that expired during an outage must reappear.
	// unsureAfter is the time without a response after which this node asks others whether the store was available.
	unsureAfter = attester.MaxGap
	// unavailableAfter is how long a response must be overdue before the store counts as unavailable.
	unavailableAfter = 1 * time.Second
	// relistInterval is the time after which everything is read again, since a feed may have lost changes.
	relistInterval = 15 * time.Second
)

// Configuration is the store's response to a read of the operator's configuration.
type Configuration struct {
	// Catalog is the configuration; nil when it has not changed.
	Catalog *cataloger.Catalog
	// After is the version to pass to the next FeedCatalog.
	After int64
}

// Source holds the calls for reading the store. Every call returns by its deadline, and sooner if nothing arrives any more: a call that does not wait, after less
// than a second. The feeds return
// a CompactedError when the store no longer has the changes.
type Source struct {
	// ListCatalog reads the whole configuration.
	ListCatalog func(deadline time.Time) (Configuration, error)
	// FeedCatalog waits at most waitMS milliseconds for a change of the configuration after a version.
	FeedCatalog func(deadline time.Time, after, waitMS int64) (Configuration, error)
	// ListWorkers reads all heartbeats, and the version to pass to the next FeedWorkers.
	ListWorkers func(deadline time.Time) ([]registrar.Change, int64, error)
	// FeedWorkers waits at most waitMS milliseconds for heartbeats after a version, and returns the next version too.
	FeedWorkers func(deadline time.Time, after, waitMS int64) ([]registrar.Change, int64, error)
	// ListCrashes reads and applies all crashes of workers, and returns the version to pass to the next FeedCrashes, which waits like FeedCatalog
	// for more of them and applies these.
	ListCrashes func(deadline time.Time) (int64, error)
	FeedCrashes func(deadline time.Time, after, waitMS int64) (int64, error)
}

// CompactedError is the error of a feed when the store no longer has the changes after a version.
type CompactedError struct {
	// table is the table of the store, after the version that the feed was to continue from.
	table string
	after int64
}

// NewCompactedError returns a CompactedError for a table and the version that the feed was to continue from.
func NewCompactedError(table string, after int64) error {
	return &CompactedError{table: table, after: after}
}

// Error returns a message with the table and the version.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes of table %q after version %d are no longer kept", e.table, e.after)
}

// Watcher reads the store for one node. It is safe for concurrent use.
type Watcher struct {
	source    Source
	registrar *registrar.Registrar
	// attester tells whether a missing entry may have lapsed in an outage of the store.
	attester *attester.Attester
	// expiryScheduled is set while a call of confirmMissing is due.
	expiryScheduled atomic.Bool
	// changed is called after each change of the configuration and each read or forwarded change of the list of workers.
	changed func()
	// catalog is the newest configuration that was read; nil before the first read. It is in force unless outdated says otherwise.
	catalog  atomic.Pointer[cataloger.Catalog]
	outdated outdatedState
	// fresh records what the reads of the configuration prove. provingWaitMS is how long a feed waits that proves it often enough; 0 without a
	// staleness bound.
	fresh         *freshkeeper.Keeper
	provingWaitMS int64
	// listed is set once the whole list of workers was read, crashesListed once the crashes were.
	listed, crashesListed atomic.Bool
	// crashesDue is when the node gets ready without the crashes: maxCrashesDelay after the first read of the configuration. It is nil before
	// that read.
	crashesDue atomic.Pointer[time.Time]
	// stopped is closed by Stop.
	stopped chan struct{}
	// fetchingNewer is set while the configuration is read because a peer has a newer one, and for retryPause after such a
	// read failed.
	fetchingNewer atomic.Bool
	// fetchNewerFailing is set while such reads fail; only the goroutine that set fetchingNewer uses it.
	fetchNewerFailing bool
	// lastResponseAt is when the store last responded to this node or to the leader that forwards its reads; never nil after
	// Run.
	lastResponseAt atomic.Pointer[time.Time]
	// forwarding is the state of the forwarding of the list of workers by the leader of the local zone.
	forwarding forwardingState
	// listVersion is the version up to which all changes of the list are known, or unknownVersion; it never decreases.
	listVersion atomic.Int64
	// listBase is the version from which on all changes of the list are known, or unknownVersion: that of the first whole list, or of the last one
	// before which entries may have been removed and written again unseen.
	listBase atomic.Int64
	// listKnownAt is when the list was last known to be complete, by a read of this node or of the leader; nil before.
	listKnownAt atomic.Pointer[time.Time]
	// readAt is the time of this node's last successful read of the list, or nil.
	readAt atomic.Pointer[time.Time]
	// confirmation is the state of Confirm.
	confirmation confirmation
	// responded is closed and replaced at each response to a read of the list of workers.
	responded responseSignal
	// calls counts the calls to the store, failures those that failed.
	calls, failures atomic.Int64
}

// New returns a watcher that reads nothing before Run. Changed must not block.
func New(source Source, list *registrar.Registrar, evidence *attester.Attester, changed func()) *Watcher {
	w := &Watcher{source: source, registrar: list, attester: evidence, changed: changed, stopped: make(chan struct{}), fresh: freshkeeper.New(0)}
	w.listVersion.Store(unknownVersion)
	w.listBase.Store(unknownVersion)
	w.forwarding.ended = make(chan struct{})
	w.responded.next = make(chan struct{})
	return w
}

// unknownVersion is the version of the list of workers before the first read.
const unknownVersion = -1

// Catalog returns the configuration in force, or nil before the first read and while a starting node has only an outdated one.
func (w *Watcher) Catalog() *cataloger.Catalog {
	catalog := w.catalog.Load()
	if catalog == nil || w.outdated.isOutdated(time.Now(), catalog.Version()) {
		return nil
	}
	return catalog
}

// Ready reports whether the configuration, the whole list of workers and the crashes have been read.
func (w *Watcher) Ready() bool { return w.Catalog() != nil && w.listed.Load() && w.CrashesKnown() }

// Calls returns how many calls were made to the store and how many of them failed.
func (w *Watcher) Calls() (made, failed int64) { return w.calls.Load(), w.failures.Load() }

// IsUnavailable reports whether the store is unavailable: whether its next response is overdue by unavailableAfter.
func (w *Watcher) IsUnavailable(now time.Time) bool {
	lastResponseAt := w.lastResponseAt.Load()
	return lastResponseAt != nil && now.Sub(*lastResponseAt) > unavailableAfter+workersPollInterval+workersWaitMS*time.Millisecond
}

// LastResponseAt returns when the store last responded to this node or to the leader that forwards its reads; zero before Run.
func (w *Watcher) LastResponseAt() time.Time {
	if at := w.lastResponseAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Run starts reading the store, and returns immediately.
func (w *Watcher) Run() {
	w.markResponse()
	go w.followTable(w.configurationTable())
	go w.followTable(tableReader{
		name: "crashes", list: w.listCrashes, feed: w.source.FeedCrashes, waitMS: catalogWaitMS, marginMS: maxReadTime.Milliseconds(),
	})
	go w.followWorkers()
}

// Stop ends the reads without waiting for them; it must be called once.
func (w *Watcher) Stop() { close(w.stopped) }

// NotifyVersion is called with the version of the configuration that a peer has in force, or 0 if it has none. A
// newer one is read immediately, since this node's own feed may be stalled.
func (w *Watcher) NotifyVersion(version int64) {
	known := int64(0)
	if catalog := w.catalog.Load(); catalog != nil {
		known = catalog.Version()
	}
	w.outdated.hear(time.Now(), version, known)
	w.fresh.Hear(timekeeper.Now(), version)
	if known >= version || !w.fetchingNewer.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer w.fetchingNewer.Store(false)
		configuration, err := w.readCatalog(time.Now().Add(maxReadTime))
		w.recordCall(err, "configuration that a peer has", &w.fetchNewerFailing)
		if err != nil {
			w.sleep(retryPause)
			return
		}
		if configuration.Catalog != nil {
			w.outdated.confirm(configuration.Catalog.Version())
		}
	}()
}

// sleep waits for a pause. It returns false immediately when the watcher is stopped.
func (w *Watcher) sleep(pause time.Duration) bool {
	select {
	case <-w.stopped:
		return false
	case <-time.After(pause):
		return true
	}
}

func (w *Watcher) markResponse() {
	now := time.Now()
	w.lastResponseAt.Store(&now)
}

// recordCall counts a call and its error, and logs when calls begin to fail or succeed again. A CompactedError is a
// response of the store, so the call did not fail.
func (w *Watcher) recordCall(err error, read string, failing *bool) {
	w.calls.Add(1)
	var compacted *CompactedError
	if err == nil || errors.As(err, &compacted) {
		w.markResponse()
		w.attester.RecordAnswer()
		if *failing {
			log.Info().Str("dependency", "store").Str("read", read).Msg("dependency regained")
		}
		*failing = false
		return
	}
	w.failures.Add(1)
	if !*failing {
		log.Warn().Str("dependency", "store").Str("read", read).Err(err).Msg("dependency lost")
	}
	*failing = true
}

// applyCatalog puts a configuration in force if it is newer than the one in force.
func (w *Watcher) applyCatalog(catalog *cataloger.Catalog) {
	if catalog == nil {
		return
	}
	for {
		current := w.catalog.Load()
		if current != nil && catalog.Version() <= current.Version() {
			return
		}
		if w.catalog.CompareAndSwap(current, catalog) {
			w.outdated.apply(time.Now(), catalog.Version())
			w.fresh.Apply(catalog.Version())
			due := time.Now().Add(maxCrashesDelay)
			w.crashesDue.CompareAndSwap(nil, &due)
			log.Info().Int64("version", catalog.Version()).Msg("configuration in force")
			w.changed()
			return
		}
	}
}

// followWorkers keeps the list of workers up to date until Stop, except while the leader forwards its reads.
func (w *Watcher) followWorkers() {
	known, failing := false, false
	pauseAfterFailure := retryPause
	relistAt := time.Now()
	for {
		if waited, running := w.waitWhileForwarded(false); !running {
			return
		} else if waited {
			known = false
		}
		startedAt := time.Now()
		var err error
		if !known || startedAt.After(relistAt) {
			if err = w.listWorkers(&failing); err == nil {
				relistAt = startedAt.Add(relistInterval)
			}
		} else {
			err = w.feedWorkers(&failing)
		}
		known = err == nil
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			continue
		}
		if known {
			pauseAfterFailure = retryPause
			if !w.sleep(time.Until(startedAt.Add(workersPollInterval))) {
				return
			}
			continue
		}
		if !w.awaitSignal(w.attester.Answered(), startedAt.Add(pauseAfterFailure)) {
			return
		}
		pauseAfterFailure = min(2*pauseAfterFailure, maxRetryPause)
	}
}

// listWorkers reads the whole list of workers.
func (w *Watcher) listWorkers(failing *bool) error {
	sentAt := time.Now()
	changes, version, err := w.source.ListWorkers(sentAt.Add(maxReadTime))
	w.recordCall(err, "workers", failing)
	if err != nil {
		return err
	}
	w.replaceList(time.Now(), changes, version, w.registrar.Replace, "worker is missing from the list read from the store")
	if knownAt := w.listKnownAt.Load(); knownAt == nil || time.Since(*knownAt) > attester.MaxGap {
		w.listBase.Store(version)
	}
	w.listed.Store(true)
	w.recordListRead(sentAt, version)
	return nil
}

// feedWorkers reads the changes of the list of workers since the last read.
func (w *Watcher) feedWorkers(failing *bool) error {
	changes, version, err := w.source.FeedWorkers(time.Now().Add(workersWaitMS*time.Millisecond+responseMargin), w.listVersion.Load(), workersWaitMS)
	w.recordCall(err, "workers", failing)
	if err != nil {
		return err
	}
	w.applyChanges(time.Now(), changes)
	w.recordListRead(time.Now(), version)
	return nil
}

// recordListRead records that this node has read all changes of the list up to a version.
func (w *Watcher) recordListRead(at time.Time, version int64) {
	w.raiseListVersion(version)
	w.readAt.Store(&at)
	w.listKnownAt.Store(&at)
	w.responded.signal()
	w.changed()
}

// raiseListVersion sets listVersion unless it is higher already.
func (w *Watcher) raiseListVersion(version int64) {
	for known := w.listVersion.Load(); known < version; known = w.listVersion.Load() {
		if w.listVersion.CompareAndSwap(known, version) {
			return
		}
	}
}
