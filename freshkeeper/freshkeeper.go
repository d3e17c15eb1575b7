// Package freshkeeper decides until when a node may accept keys: as long as it can show that its configuration was the newest in the store not long
// ago.
//
// It has no network and no clock. All times of a Keeper are those of one node's boot clock.
package freshkeeper

import (
	"sync"
	"time"
)

const (
	// maxGuard is the part of the bound that is held back: the store's feed may be silent for 1 s while changes are made, the rest covers clock rates
	// and the time from a check to the send.
	maxGuard = 1300 * time.Millisecond
	// guardFraction is the largest part of the bound that the guard takes, as a divisor.
	guardFraction = 3
	// renewNumerator and renewDenominator are the part of a proof's time after which a node whose leader proves nothing reads the store itself.
	// Proofs by way of a leader are renewed after about three fifths.
	renewNumerator, renewDenominator = 4, 5
	// maxPending bounds the proofs that wait for a newer configuration.
	maxPending = 16
)

// Read is a read of the configuration that has succeeded.
type Read struct {
	// SentAt is when it was sent; zero for none.
	SentAt time.Time
	// Version is at least the one that the store held at SentAt: the newest that the reader had or had heard of afterwards.
	Version int64
}

// proof shows that the store held no configuration newer than version before provenAt.
type proof struct {
	provenAt time.Time
	version  int64
}

// Keeper holds the proofs of one node. It is safe for concurrent use.
type Keeper struct {
	// bound is how long a key may be accepted after a proof; 0 if there is no bound.
	bound time.Duration
	// mu guards everything below.
	mu sync.Mutex
	// own is the version of this node's configuration, heard the highest that another node has named, first at heardAt.
	own, heard int64
	heardAt    time.Time
	// provenAt is the time of the latest proof for own, zero without one.
	provenAt time.Time
	// pending are proofs for versions that this node has not got yet, in the order of their times.
	pending []proof
	// begunAt is when the last read was sent, read the last one that has succeeded.
	begunAt time.Time
	read    Read
}

// New returns a keeper without proofs for the staleness bound revoke; with 0, keys are always accepted.
func New(revoke time.Duration) *Keeper {
	return &Keeper{bound: revoke - min(maxGuard, revoke/guardFraction)}
}

// Bounded reports whether keys are accepted only with proofs.
func (k *Keeper) Bounded() bool { return k.bound > 0 }

// Begin records that this node is about to send a read of the configuration.
func (k *Keeper) Begin(sentAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if sentAt.After(k.begunAt) {
		k.begunAt = sentAt
	}
}

// Complete records that a read that was sent at sentAt has succeeded, and that what it returned is in force if it is newer. Whole is set for a read
// of the whole configuration, which returned a version, or 0 if the store holds none; a read of changes may return none.
func (k *Keeper) Complete(sentAt time.Time, version int64, whole bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if whole && version < k.heard && k.own < k.heard && k.heardAt.Before(sentAt) {
		// The store has come back from an older copy, so that earlier reads proved nothing about the configuration that other nodes have.
		k.provenAt, k.pending, k.read = time.Time{}, nil, Read{}
		return
	}
	version = max(version, k.own, k.heard)
	if sentAt.After(k.read.SentAt) {
		k.read = Read{SentAt: sentAt, Version: version}
	}
	k.prove(sentAt, version)
}

// Learn records a proof by a leader: the store held no newer configuration than version when this node sent its stamp at stampedAt. A stamp of the
// future is of another process and ignored.
func (k *Keeper) Learn(now, stampedAt time.Time, version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !stampedAt.After(now) {
		k.prove(stampedAt, version)
	}
}

// prove applies a proof, or keeps it until this node has the version of the proof and all versions that others have; the caller holds mu.
func (k *Keeper) prove(provenAt time.Time, version int64) {
	if len(k.pending) == maxPending {
		k.pending = k.pending[:maxPending-1] // The first ones are the first that can be applied.
	}
	k.pending = append(k.pending, proof{provenAt: provenAt, version: max(version, k.heard)})
	k.applyPending()
}

// applyPending applies the proofs for the versions that this node has; the caller holds mu.
func (k *Keeper) applyPending() {
	kept := k.pending[:0]
	for _, p := range k.pending {
		if p.version > k.own {
			kept = append(kept, p)
		} else if p.provenAt.After(k.provenAt) {
			k.provenAt = p.provenAt
		}
	}
	k.pending = kept
}

// Apply records the version of the configuration that this node has from now on.
func (k *Keeper) Apply(version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own = max(k.own, version)
	k.applyPending()
}

// Hear records a version of the configuration that another node has.
func (k *Keeper) Hear(now time.Time, version int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version > k.heard {
		k.heard, k.heardAt = version, now
	}
}

// Fresh reports whether keys of this node's configuration may be accepted.
func (k *Keeper) Fresh(now time.Time) bool {
	if !k.Bounded() {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.provenAt.IsZero() && now.Before(k.provenAt.Add(k.bound))
}

// Behind reports whether another node is known to have a newer configuration.
func (k *Keeper) Behind() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.own < k.heard
}

// Age returns the time since the latest proof, and whether there is one.
func (k *Keeper) Age(now time.Time) (age time.Duration, proven bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.provenAt.IsZero() {
		return 0, false
	}
	return now.Sub(k.provenAt), true
}

// RenewAt returns when this node should read the store itself unless a leader has proved more; zero without a proof.
func (k *Keeper) RenewAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.provenAt.IsZero() {
		return time.Time{}
	}
	return k.provenAt.Add(k.bound * renewNumerator / renewDenominator)
}

// Reads returns when this node's last read was sent, and the last one that has succeeded.
func (k *Keeper) Reads() (begunAt time.Time, completed Read) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.begunAt, k.read
}
