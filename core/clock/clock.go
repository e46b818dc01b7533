// Package clock provides the clock for leases and timeouts.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the host's monotonic clock, CLOCK_BOOTTIME. Steps of the wall clock do not affect it, and it keeps
// running while the process is stopped or the host is suspended.
type Clock struct{}

// New returns a Clock.
func New() Clock { return Clock{} }

// Now returns the time since the host booted.
func (Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux supports CLOCK_BOOTTIME since 2.6.39; leases cannot be kept without a monotonic clock.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
