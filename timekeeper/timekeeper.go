// Package timekeeper reads the clock that lease terms are measured with.
//
// Go's monotonic clock stops while a machine is suspended, so that a lease timed
// by it would still seem valid after another node has taken it. The boot clock
// keeps counting.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspensions, as a time.Time. It is no
// wall-clock time: only the difference between two results is meaningful.
func Now() time.Time {
	var bootTime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime); err != nil {
		// All Linux kernels that Go supports have this clock; without it the process must not hold leases.
		panic("reading CLOCK_BOOTTIME, which lease terms need, failed: " + err.Error())
	}
	return time.Unix(bootTime.Unix())
}
