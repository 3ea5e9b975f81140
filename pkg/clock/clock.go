// Package clock reads the boot-time clock, which includes suspensions of the machine. Go's
// monotonic clock stops during a suspension, so it must not limit the age of data.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is the time since the machine started, including suspensions.
type BootTime time.Duration

// BootNow returns the current time of the boot-time clock.
func BootNow() BootTime {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39, and there is no fallback.
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return BootTime(time.Duration(ts.Nano()))
}

// Since returns the time elapsed since b.
func Since(b BootTime) time.Duration { return time.Duration(BootNow() - b) }
