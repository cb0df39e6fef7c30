// Package probe decides when a server is probed for its load. Its decisions are
// pure: time and randomness are arguments.
package probe

import (
	"math"
	"time"
)

// StaleAfter is the age of a signal after which a server may be probed.
const StaleAfter = time.Second

// Schedule spaces the probes that one entry may send to one server. Moments are
// at least 1/rate apart and their phase is random, so that entries that started
// together don't probe together. A moment that is not used is lost, so that
// nothing is saved up for a burst. It is not safe for concurrent use.
type Schedule struct {
	next time.Duration
	set  bool
}

// Take reports whether a probe may be sent now, at rate probes a second at most.
// The first call starts the schedule and returns false. Random is uniform in
// [0,1).
func (s *Schedule) Take(now time.Duration, rate, random float64) bool {
	if rate <= 0 {
		s.set = false
		return false
	}
	due := s.set && now >= s.next
	if due || !s.set {
		gap := (1 + random) / rate * float64(time.Second)
		s.next = now + time.Duration(min(gap, math.MaxInt64/4))
		s.set = true
	}
	return due
}

// Rate returns one entry's part of a server's probes a second. The divisor is
// the number of entries of the allowances list and not of the entries seen, so
// that a partition or a lagging list can't raise the sum.
func Rate(probesPerSecond float64, entries int) float64 {
	return probesPerSecond / float64(max(entries, 1))
}

// Stale reports whether a signal of this age no longer says anything of a
// server; known is false if there never was one.
func Stale(age time.Duration, known bool) bool { return !known || age >= StaleAfter }
