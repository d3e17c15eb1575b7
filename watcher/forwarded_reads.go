package watcher

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// maxForwardedAge is the age of the leader's last read of the store above which a node reads the store itself.
const maxForwardedAge = 1500 * time.Millisecond // The time of two of the leader's reads and the longest time between its messages.

// ForwardedReads is what the leader of the local zone read from the store.
type ForwardedReads struct {
	// Version is the version of the store up to which all changes are known once Changes are applied.
	Version int64
	// ReadAt is when the store last responded to the leader.
	ReadAt time.Time
	// Changes are those after the version that this node last sent to the leader; if Whole is set, they are all workers that the leader lists.
	Changes []registrar.Change
	Whole   bool
	// EraBegan is when the store was in the era of Version already, as far as the leader knows; zero if it says nothing of that.
	EraBegan time.Time
}

// forwardingState records whether the leader of the local zone reads the list for this node.
type forwardingState struct {
	// mu guards everything below.
	mu sync.Mutex
	// validUntil is when the leader's last read becomes too old; zero without forwarded reads.
	validUntil time.Time
	// ended is closed and replaced when the forwarding ends.
	ended chan struct{}
}

// ApplyForwardedReads applies what the leader of the local zone read. This node stops reading
// the store until the leader's last read is older than maxForwardedAge or EndForwardedReads is called.
func (w *Watcher) ApplyForwardedReads(now time.Time, read ForwardedReads) {
	if age := max(now.Sub(read.ReadAt), 0); w.attester.Learn(age, age) {
		w.expireWorkers()
	}
	eraBegan := read.EraBegan
	if eraBegan.IsZero() {
		eraBegan = now
	}
	w.ObserveEra(eraBegan, read.Version)
	if read.Whole {
		w.replaceForwarded(now, read)
	} else if len(read.Changes) > 0 {
		w.applyChanges(now, read.Changes)
	}
	w.raiseListVersion(read.Version)
	w.listKnownAt.Store(&read.ReadAt)
	validUntil := read.ReadAt.Add(maxForwardedAge)
	w.forwarding.mu.Lock()
	begins := !now.Before(w.forwarding.validUntil) && now.Before(validUntil)
	w.forwarding.validUntil = validUntil
	w.forwarding.mu.Unlock()
	if now.Before(validUntil) {
		w.lastResponseAt.Store(&read.ReadAt)
	}
	if begins {
		log.Info().Int64("version", read.Version).Int64("age_ms", now.Sub(read.ReadAt).Milliseconds()).Msg("list of workers comes from the leader")
	}
	if begins || read.Whole || len(read.Changes) > 0 {
		w.changed()
	}
}

// EndForwardedReads ends the use of forwarded reads, so that this node reads the store itself immediately.
func (w *Watcher) EndForwardedReads() {
	w.forwarding.mu.Lock()
	defer w.forwarding.mu.Unlock()
	if w.forwarding.validUntil.IsZero() {
		return
	}
	w.forwarding.validUntil = time.Time{}
	close(w.forwarding.ended)
	w.forwarding.ended = make(chan struct{})
	log.Info().Int64("version", w.listVersion.Load()).Msg("list of workers is read from the store again")
}

// waitWhileForwarded returns when this node must read the store itself, or the
// watcher is stopped. It reports whether it waited, and whether the watcher still runs. If proves is set,
// the node must read the store itself also when no leader has proved lately that the configuration is the newest.
func (w *Watcher) waitWhileForwarded(proves bool) (waited, running bool) {
	for {
		w.forwarding.mu.Lock()
		remaining, ended := time.Until(w.forwarding.validUntil), w.forwarding.ended
		w.forwarding.mu.Unlock()
		if proves {
			remaining = min(remaining, w.renewIn())
		}
		if remaining <= 0 {
			return waited, true
		}
		waited = true
		select {
		case <-w.stopped:
			return true, false
		case <-ended:
		case <-time.After(remaining):
		}
	}
}

// ListVersion returns the version up to which all changes of the list of workers are known, or -1 before the first.
func (w *Watcher) ListVersion() int64 { return w.listVersion.Load() }

// ListBase returns the version from which on this node knows all changes of the list of workers, or -1 before the first whole list.
func (w *Watcher) ListBase() int64 { return w.listBase.Load() }

// ReadAt returns the time of this node's last successful read of the list; zero before the first and while the leader forwards its reads.
func (w *Watcher) ReadAt(now time.Time) time.Time {
	readAt := w.readAt.Load()
	if w.isForwarded(now) || readAt == nil {
		return time.Time{}
	}
	return *readAt
}

// isForwarded reports whether the list comes from the leader of the local zone.
func (w *Watcher) isForwarded(now time.Time) bool {
	w.forwarding.mu.Lock()
	defer w.forwarding.mu.Unlock()
	return now.Before(w.forwarding.validUntil)
}
