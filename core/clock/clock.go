// Package clock reads the time that leases and timeouts are measured with.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the host's monotonic time. Steps of the wall clock do not change it, and it goes on while the process is
// stopped and while the host is suspended (CLOCK_BOOTTIME).
type Clock struct{}

// New returns a Clock.
func New() Clock { return Clock{} }

// Now returns the time since the host started.
func (Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel supports CLOCK_BOOTTIME since 2.6.39; without a monotonic clock no lease can be kept.
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(ts.Nano())
}
