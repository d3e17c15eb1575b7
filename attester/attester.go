// Package attester keeps the evidence that the store was available: when it last answered, and since when it has
// answered without a long gap, this node or another one that says so.
//
// Calls of one node that fail say nothing about the store, since the node may have lost its own path to it.
// The package does no I/O.
package attester

import (
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// ReturnTime is the time after an outage of the store in which workers write the entries again that lapsed meanwhile.
	ReturnTime = 2 * time.Second
	// MaxGap is the longest time between two answers in which no entry can have lapsed: the platform waits for three heartbeats of 1.2 s, and the
	// last one before an outage may be older than their interval.
	MaxGap = 1750 * time.Millisecond
	// maxSpans bounds the spans that are kept, and maxAge the age of the start of one that other nodes are told.
	maxSpans = 4
	maxAge   = time.Minute
)

// span is a time in which the store answered without a gap longer than MaxGap.
type span struct{ from, to time.Time }

// Attester holds the evidence of one node. It is safe for concurrent use.
type Attester struct {
	// now is a clock that goes on while the machine is suspended.
	now func() time.Time
	// mu guards everything below.
	mu sync.Mutex
	// spans is in ascending order. Each span begins more than MaxGap after the end of the one before; there are one to maxSpans.
	spans []span
	// answered is closed and set to nil at the next answer to this node; nil while nobody waits.
	answered chan struct{}
}

// New returns an attester that reads the time from a clock which goes on while the machine is suspended. A process
// that starts has listed no worker whose entry may be missing, so the store counts as available before.
func New(now func() time.Time) *Attester {
	at := now()
	return &Attester{now: now, spans: []span{{from: at.Add(-ReturnTime), to: at}}}
}

// RecordAnswer records that the store answered a call of this node.
func (a *Attester) RecordAnswer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.add(span{from: now, to: now})
	if a.answered != nil {
		close(a.answered)
		a.answered = nil
	}
}

// Answered returns a channel that is closed at the next answer to this node.
func (a *Attester) Answered() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answered == nil {
		a.answered = make(chan struct{})
	}
	return a.answered
}

// Learn records the evidence of another node: the times since the first and the last answer of a span. It reports
// whether Remaining has become 0 by it.
func (a *Attester) Learn(sinceFirst, sinceLast time.Duration) (settled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if sinceLast < 0 || sinceFirst < sinceLast {
		return false
	}
	now := a.now()
	before := a.remaining(now)
	a.add(span{from: now.Add(-sinceFirst), to: now.Add(-sinceLast)})
	return before > 0 && a.remaining(now) == 0
}

// Evidence returns what Learn takes at another node: the times since the first and the last answer of the last span.
func (a *Attester) Evidence() (sinceFirst, sinceLast time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, last := a.now(), a.spans[len(a.spans)-1]
	sinceLast = max(now.Sub(last.to), 0)
	return max(min(now.Sub(last.from), maxAge), sinceLast), sinceLast
}

// Remaining returns how much longer an entry that is missing may be one that has lapsed in an outage of the store and is
// not written again yet: 0 once the store has answered for ReturnTime, ReturnTime while it does not answer, and a
// moment if it has not answered since ReturnTime was over.
func (a *Attester) Remaining() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.remaining(a.now())
}

// remaining is Remaining for callers that hold mu.
func (a *Attester) remaining(now time.Time) time.Duration {
	last := a.spans[len(a.spans)-1]
	switch {
	case now.Sub(last.to) > MaxGap:
		return ReturnTime
	case last.to.Sub(last.from) >= ReturnTime:
		return 0
	}
	return max(ReturnTime-now.Sub(last.from), moment)
}

// moment is the shortest time that Remaining returns but for 0.
const moment = time.Millisecond

// add merges a span with those that overlap it or are at most MaxGap away. The caller holds mu.
func (a *Attester) add(added span) {
	if gap := added.from.Sub(a.spans[len(a.spans)-1].to); gap > MaxGap {
		log.Info().Int64("gap_ms", gap.Milliseconds()).Msg("store answers again")
	}
	kept := a.spans[:0:0]
	for _, known := range a.spans {
		if known.to.Add(MaxGap).Before(added.from) || added.to.Add(MaxGap).Before(known.from) {
			kept = append(kept, known)
			continue
		}
		if known.from.Before(added.from) {
			added.from = known.from
		}
		if known.to.After(added.to) {
			added.to = known.to
		}
	}
	kept = append(kept, added)
	slices.SortFunc(kept, func(x, y span) int { return x.from.Compare(y.from) })
	a.spans = kept[max(0, len(kept)-maxSpans):]
}
