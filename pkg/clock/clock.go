// Package clock reads the clock that goes on while a machine is suspended. Go's
// own monotonic clock stops then, so it must not bound how old knowledge is.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is a time since the machine's start, with all suspensions.
type BootTime time.Duration

// BootNow returns the present time of the clock.
func BootNow() BootTime {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39; there is nothing to fall back to.
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return BootTime(time.Duration(ts.Nano()))
}

// Since returns the time that has passed since b.
func Since(b BootTime) time.Duration { return time.Duration(BootNow() - b) }
