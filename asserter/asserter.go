// Package asserter checks invariants at run time.
//
// A breach of an invariant is counted in the expvar map "invariants" and logged.
// In strict mode, which is meant for tests, a breach also panics, so that a
// randomised run stops at it.
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

// BreachError is the error for an invariant that does not hold.
type BreachError struct {
	// invariant is the short name under which expvar counts the breach. It is never empty.
	invariant string
	// detail describes the values that breach the invariant.
	detail string
}

// Error returns a message with the name of the invariant and the values that breach it.
func (e *BreachError) Error() string {
	return fmt.Sprintf("invariant %q does not hold: %s", e.invariant, e.detail)
}

// Invariant returns the name of the breached invariant.
func (e *BreachError) Invariant() string { return e.invariant }

// SetStrict turns strict mode on or off, in which a breach panics with a *BreachError.
func SetStrict(on bool) { strict.Store(on) }

// Check returns nil if ok is true. Otherwise it counts and logs a breach of the named invariant,
// with a detail formatted from format and args, and returns a *BreachError. The calling code
// must then not perform the operation that the check guards.
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

// Breaches returns the number of breaches of an invariant since the start of the process.
func Breaches(invariant string) int64 {
	count, ok := breaches.Get(invariant).(*expvar.Int)
	if !ok {
		return 0
	}
	return count.Value()
}
