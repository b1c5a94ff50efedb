package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine booted. Unlike the monotonic clock it goes on while the
// machine is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // cannot fail: the clock exists on every supported kernel
	}
	return time.Duration(ts.Nano())
}
