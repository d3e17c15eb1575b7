package fleetleader

import (
	"math"
	"time"
)

// Limits of the concurrent loads from the weight store, over all zones.
const (
	// initialLoadLimit applies until a load has ended; the users' weight store reaches its full throughput
	// with one to four concurrent loads.
	initialLoadLimit = 3
	maxLoadLimit     = 8
	// slowLoadFactor is the ratio of measured to configured load time above which the limit may fall, fastLoadFactor
	// the ratio below which it may rise.
	slowLoadFactor = 1.15
	fastLoadFactor = 1.1
)

// throttle adapts the limit of concurrent loads from the weight store. The
// configuration does not give the store's total throughput; once that is reached,
// more concurrent loads only make each load take longer.
// The Leader's mu guards it.
type throttle struct {
	// limit is the number of concurrent loads allowed, between 1 and maxLoadLimit.
	limit int
}

// recordLoad updates the limit after a load, given its measured and expected time and the number of loads in progress
// at its start, itself included.
func (t *throttle) recordLoad(took, expected time.Duration, running int) {
	if expected <= 0 {
		return
	}
	slowness := float64(took) / float64(expected)
	switch {
	case slowness > slowLoadFactor:
		t.limit = max(min(t.limit, int(math.Round(float64(running)/slowness))), 1)
	case slowness < fastLoadFactor && running >= t.limit:
		t.limit = min(t.limit+1, maxLoadLimit)
	}
}
