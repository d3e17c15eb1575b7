// Package asserter checks invariants while the program runs.
//
// A breach is counted in expvar under "invariants" and logged. In tests the
// strict mode makes a breach panic, so that a randomised run stops there.
package asserter

import (
	"expvar"
	"fmt"
	"sync/atomic"

	"github.com/phuslu/log"
)

var (
	breaches = expvar.NewMap("invariants")
	strict   atomic.Bool
)

// BreachError describes an invariant that did not hold.
type BreachError struct {
	// invariant is the short name counted in expvar, never empty.
	invariant string
	// detail says which values broke the invariant.
	detail string
}

// Error returns the invariant and the values that broke it.
func (e *BreachError) Error() string {
	return fmt.Sprintf("invariant %q does not hold: %s", e.invariant, e.detail)
}

// Invariant returns the name of the broken invariant.
func (e *BreachError) Invariant() string { return e.invariant }

// SetStrict makes every later breach panic with a *BreachError.
func SetStrict(on bool) { strict.Store(on) }

// Check returns nil when ok holds. Otherwise it counts and logs the breach and
// returns a *BreachError; the calling code must then refuse the act it guards.
func Check(ok bool, invariant, format string, args ...any) error {
	if ok {
		return nil
	}
	breach := &BreachError{invariant: invariant, detail: fmt.Sprintf(format, args...)}
	breaches.Add(invariant, 1)
	log.Error().Str("invariant", invariant).Str("detail", breach.detail).Msg("invariant breached")
	if strict.Load() {
		panic(breach)
	}
	return breach
}

// Breaches returns how often an invariant was breached since the start.
func Breaches(invariant string) int64 {
	count, ok := breaches.Get(invariant).(*expvar.Int)
	if !ok {
		return 0
	}
	return count.Value()
}
