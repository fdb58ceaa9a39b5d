// Package boottime reads the clock that counts the time for which the host is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted, including the time for which it was
// suspended. Where the clock cannot be read, it returns the monotonic time of the process.
func Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
