// Package clock reads a monotonic clock that also advances while the machine is
// suspended, so that a process that wakes up late sees the whole pause.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads monotonic time.
type Clock interface {
	// Now returns the time since an arbitrary fixed point of this machine.
	Now() time.Duration
}

// Boot is the machine's CLOCK_BOOTTIME.
type Boot struct{}

// Now returns the time since boot, suspends included.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Manual is a clock that tests move by hand. It is not safe for concurrent use.
type Manual struct {
	// T is the current time.
	T time.Duration
}

// Now returns T.
func (m *Manual) Now() time.Duration { return m.T }
