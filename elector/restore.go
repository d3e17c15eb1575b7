package elector

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Exists reports whether the row exists.
func (r Row) Exists() bool { return platformclient.RowVersion(r.Version) != 0 }

// IsRestored reports whether the row has come back from an older copy of the store and was not written since. Its holder may have been
// replaced before, and that was lost.
func (r Row) IsRestored() bool { return r.Exists() && r.Lease.Era < platformclient.Era(r.Version) }

// epochsPerEra is the number of epochs of each era of the store.
const epochsPerEra = 1 << 20

// nextEpoch returns the epoch of the next holder.
func (r Row) nextEpoch() int64 {
	if r.Lease.Era < platformclient.Era(r.Version) {
		return max(r.Lease.Epoch+1, platformclient.Era(r.Version)*epochsPerEra)
	}
	return r.Lease.Epoch + 1
}

// reasserts reports whether this node, which leads, writes its lease again over a row that has come back from an older copy of the store, or is
// missing there. A lease that another node took since then has a higher epoch.
func (e *Elector) reasserts(now time.Time, row Row) bool {
	if !e.rowKnown || !e.isHolder() || !now.Before(e.ValidUntil()) || platformclient.Era(row.Version) == e.row.Lease.Era {
		return false
	}
	return (row.IsRestored() || !row.Exists()) && row.Lease.Epoch <= e.row.Lease.Epoch
}

// PredecessorUnknown reports whether the store has come back from an older copy and nobody has taken the lease since, so that the last
// known row, or its absence, may not name the last holder. A process that started after the store came back has never seen the row that is missing.
func (e *Elector) PredecessorUnknown() bool {
	return e.rowLost || e.row.IsRestored() || e.rowKnown && !e.row.Exists() && platformclient.Era(e.row.Version) > 0
}

// Settle records that an era of the store began so long ago that no holder of an earlier era can lead any more.
func (e *Elector) Settle(era int64) { e.settledEra = max(e.settledEra, era) }
