// Package timekeeper tells the time that leases are counted by.
//
// Go's monotonic clock stands still while a machine is suspended, so a lease
// counted by it would still hold after another node has taken over. The boot
// clock goes on.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, suspensions included, as a time without a
// wall-clock meaning. Only differences between two of them have one.
func Now() time.Time {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		// Every kernel that Go supports has the clock; without it the process must not hold leases.
		panic("CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Unix(spec.Unix())
}
