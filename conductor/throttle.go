package conductor

import (
	"math"
	"time"
)

// Bounds of the loads from the weight store at once, over all zones.
const (
	// firstAtOnce is the limit until a load has ended; the users' store is at full speed with one to four at once.
	firstAtOnce = 3
	mostAtOnce  = 8
	// slowLoad is how many times as long as configured a load takes when too many are under way, fastLoad when more could be.
	slowLoad = 1.15
	fastLoad = 1.1
)

// throttle bounds the loads from the weight store at once. The store has a speed
// that the configuration does not tell: beyond it each load takes longer, and no more
// end in a second. The conductor's lock guards it.
type throttle struct {
	// limit is at least 1.
	limit int
}

// ended takes in how long a load took that should have taken a time, and how many were under way when it began.
func (t *throttle) ended(took, expected time.Duration, underWay int) {
	if expected <= 0 {
		return
	}
	slowness := float64(took) / float64(expected)
	switch {
	case slowness > slowLoad:
		t.limit = max(min(t.limit, int(math.Round(float64(underWay)/slowness))), 1)
	case slowness < fastLoad && underWay >= t.limit:
		t.limit = min(t.limit+1, mostAtOnce)
	}
}
