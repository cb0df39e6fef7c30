// Package clock reads a monotonic clock that also advances while the machine is
// suspended, so that deadlines and leases expire during a suspend too.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads monotonic time.
type Clock interface {
	// Now returns the time since a fixed but arbitrary point. Times of different
	// machines can't be compared.
	Now() time.Duration
}

// Boot reads the Linux clock CLOCK_BOOTTIME.
type Boot struct{}

// Now returns the time since boot, including time suspended. It panics if the clock
// is not available.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Manual is a clock for tests that returns a set time. It is not safe for concurrent
// use.
type Manual struct {
	// T is the time that Now returns.
	T time.Duration
}

// Now returns T.
func (m *Manual) Now() time.Duration { return m.T }
