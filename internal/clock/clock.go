// Package clock reads a clock that includes the time in which the VM was suspended, so
// that a lease which expired during a suspension is recognized as expired.
//
// # Usage
//
//	now := clock.Stopwatch()
//	elapsed := now()
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stopwatch returns a function that returns the time since the call of Stopwatch. It falls
// back to the monotonic clock if the kernel has no CLOCK_BOOTTIME.
func Stopwatch() func() time.Duration {
	start, ok := bootTime()
	if !ok {
		t := time.Now()
		return func() time.Duration { return time.Since(t) }
	}
	return func() time.Duration {
		now, _ := bootTime()
		return now - start
	}
}

func bootTime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
