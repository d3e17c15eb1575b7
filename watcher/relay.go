package watcher

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// relayAge is the age of the leader's last read of the store above which a node reads by itself.
const relayAge = 1500 * time.Millisecond // Two of the leader's reads and the longest pause between its messages.

// Relay is what the own zone's leader read from the store.
type Relay struct {
	// Version is that of the store up to which all changes are known after this one.
	Version int64
	// ReadAt is when the store last answered the leader.
	ReadAt time.Time
	// Changes are those that this node did not know when it last told the leader its version.
	Changes []registrar.Change
}

// relay says whether the own zone's leader reads the list for this node.
type relay struct {
	// mu guards everything below.
	mu sync.Mutex
	// until is until when the leader's reads are recent enough.
	until time.Time
	// ended is closed and replaced when this node must read by itself.
	ended chan struct{}
}

// TakeRelay takes in what the own zone's leader read. This node reads by itself
// again when the relay grows old or EndRelay is called.
func (w *Watcher) TakeRelay(now time.Time, news Relay) {
	if len(news.Changes) > 0 {
		w.logChanges(news.Changes)
		w.registrar.Apply(now, news.Changes)
	}
	w.raiseList(news.Version)
	w.expire()
	until := news.ReadAt.Add(relayAge)
	w.relay.mu.Lock()
	began := !now.Before(w.relay.until) && now.Before(until)
	w.relay.until = until
	w.relay.mu.Unlock()
	if now.Before(until) {
		w.answered.Store(&news.ReadAt)
	}
	if began {
		log.Info().Int64("version", news.Version).Int64("age_ms", now.Sub(news.ReadAt).Milliseconds()).Msg("list of workers comes from the leader")
	}
	if began || len(news.Changes) > 0 {
		w.changed()
	}
}

// EndRelay makes this node read the store by itself at once.
func (w *Watcher) EndRelay() {
	w.relay.mu.Lock()
	defer w.relay.mu.Unlock()
	if w.relay.until.IsZero() {
		return
	}
	w.relay.until = time.Time{}
	close(w.relay.ended)
	w.relay.ended = make(chan struct{})
	log.Info().Int64("version", w.listVersion.Load()).Msg("list of workers is read from the store again")
}

// awaitUnrelayed returns once this node must read by itself. It reports whether
// it waited, and whether to go on.
func (w *Watcher) awaitUnrelayed() (waited, goOn bool) {
	for {
		w.relay.mu.Lock()
		left, ended := time.Until(w.relay.until), w.relay.ended
		w.relay.mu.Unlock()
		if left <= 0 {
			return waited, true
		}
		waited = true
		select {
		case <-w.stopped:
			return true, false
		case <-ended:
		case <-time.After(left):
		}
	}
}

// ListVersion returns the version up to which all changes of the list of workers are known, or -1.
func (w *Watcher) ListVersion() int64 { return w.listVersion.Load() }

// ListBase returns the version from which on all changes of the list are known, or -1.
func (w *Watcher) ListBase() int64 { return w.listBase.Load() }

// ReadAt returns when a read of the list by this node was last answered; zero while it does not read by itself.
func (w *Watcher) ReadAt(now time.Time) time.Time {
	w.relay.mu.Lock()
	relayed := now.Before(w.relay.until)
	w.relay.mu.Unlock()
	readAt := w.readAt.Load()
	if relayed || readAt == nil {
		return time.Time{}
	}
	return *readAt
}
