// Package clock reads a clock that also counts the time in which the VM was
// suspended, so that a lease which ran out meanwhile is seen to be over.
//
// # Usage
//
//	now := clock.Since()
//	elapsed := now()
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stopwatch returns a function that tells the time since this call. Where the
// kernel has no such clock, it is the monotonic one.
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
