package watcher

import (
	"errors"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/attester"
)

// confirmTimeout limits the read by which missing entries are looked for once more.
const confirmTimeout = 500 * time.Millisecond

// IsUnsure reports whether this node cannot tell by itself whether a worker whose entry is missing has left: the store, or the
// leader that forwards its reads, has not answered lately, or only for a short time.
func (w *Watcher) IsUnsure(now time.Time) bool {
	return w.IsUnanswered(now) || w.attester.Remaining() > 0
}

// IsUnanswered reports whether the store has answered neither this node nor the leader that forwards its reads lately.
func (w *Watcher) IsUnanswered(now time.Time) bool { return now.Sub(w.LastResponseAt()) > unsureAfter }

// LearnAvailability records that the store answered another node without a long gap, as attester.Learn describes it. Source names
// the node that says so.
func (w *Watcher) LearnAvailability(sinceFirst, sinceLast time.Duration, source string) {
	if !w.attester.Learn(sinceFirst, sinceLast) {
		return
	}
	log.Info().Str("source", source).Int64("first_ms", sinceFirst.Milliseconds()).Int64("last_ms", sinceLast.Milliseconds()).Msg("store was available to others")
	w.expireWorkers()
}

// ObserveEra records that the store was in the era of a version at a time already, and applies what that says about missing and ignored entries.
func (w *Watcher) ObserveEra(at time.Time, version int64) {
	if w.registrar.ObserveEra(time.Now(), at, version) {
		w.expireWorkers()
		w.changed()
	}
}

// expectLapsed tells the registrar until when missing entries may be written again.
func (w *Watcher) expectLapsed() {
	until := time.Time{} // Whatever is missing has been removed.
	if remaining := w.attester.Remaining(); remaining > 0 {
		until = time.Now().Add(remaining)
	}
	w.registrar.ExpectLapsed(until)
}

// trackMissing runs a change of the list, logs which workers stay listed although their entries are missing since then, with the evidence for that, and
// schedules their removal.
func (w *Watcher) trackMissing(change func()) {
	w.expectLapsed()
	before := w.registrar.Missing()
	change()
	added, _ := lo.Difference(w.registrar.Missing(), before)
	sinceFirst, sinceLast := w.attester.Evidence()
	restored := max(time.Until(w.registrar.RestoredUntil()), 0)
	for _, id := range added {
		log.Info().Str("worker", id).Int64("version", w.listVersion.Load()).Int64("first_ms", sinceFirst.Milliseconds()).Int64("last_ms", sinceLast.Milliseconds()).
			Int64("remaining_ms", w.attester.Remaining().Milliseconds()).Int64("restored_ms", restored.Milliseconds()).Msg("removed worker is kept: its entry may be written again")
	}
	w.scheduleExpiry()
}

// scheduleExpiry makes the watcher look for missing entries once more when they cannot be written again any more, and then remove their workers.
func (w *Watcher) scheduleExpiry() {
	if at, missing := w.registrar.NextExpiry(); missing {
		w.expireAfter(time.Until(at))
	}
}

// expireAfter calls confirmMissing after a pause, unless such a call is due already.
func (w *Watcher) expireAfter(pause time.Duration) {
	if w.expiryScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(pause, w.confirmMissing)
	}
}

// confirmPauseAfterFailure is the pause after a read by confirmMissing that failed.
const confirmPauseAfterFailure = 500 * time.Millisecond

// confirmMissing looks for missing entries once more, and removes the workers whose entries are still missing.
func (w *Watcher) confirmMissing() {
	w.expiryScheduled.Store(false)
	if w.attester.Remaining() < attester.ReturnTime && !w.readMissing() && !w.isForwarded(time.Now()) {
		w.expireAfter(confirmPauseAfterFailure)
		return
	}
	w.expireWorkers()
}

// readMissing reads all changes of the list since the first of the missing entries went missing: one may have been written again in the last moment, or
// unseen by the leader that forwards its reads. It reports whether the read succeeded.
func (w *Watcher) readMissing() bool {
	after, missing := w.registrar.MissingSince()
	if !missing {
		return true
	}
	changes, version, err := w.source.FeedWorkers(time.Now().Add(confirmTimeout), after, 1)
	var compacted *CompactedError
	if errors.As(err, &compacted) {
		failing := false
		return w.listWorkers(&failing) == nil
	}
	w.calls.Add(1)
	if err != nil {
		w.failures.Add(1)
		log.Warn().Err(err).Int64("version", after).Msg("missing entries not looked for again")
		return false
	}
	w.attester.RecordAnswer()
	w.applyChanges(time.Now(), changes)
	w.raiseListVersion(version)
	return true
}

// expireWorkers removes the workers whose entries are missing and cannot be written again any more.
func (w *Watcher) expireWorkers() {
	w.expectLapsed()
	removed := w.registrar.RemoveExpired(time.Now())
	sinceFirst, sinceLast := w.attester.Evidence()
	for _, id := range removed {
		log.Info().Str("worker", id).Int64("first_ms", sinceFirst.Milliseconds()).Int64("last_ms", sinceLast.Milliseconds()).Msg("worker removed: its entry is missing though the store is available")
	}
	if len(removed) > 0 {
		w.changed()
	}
	w.scheduleExpiry()
}
