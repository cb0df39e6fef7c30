// Package probe decides when an entry probes a server for its load. It reads no
// clock and draws no random values: callers pass them in.
package probe

import (
	"math"
	"time"
)

// StaleAfter is the age of a load report from which on it is stale, so that the
// server may be probed.
const StaleAfter = time.Second

// Schedule limits the rate of probes from one entry to one server. Probes are at
// least 1/rate apart. A random delay is added to each interval, so that entries
// that start together don't probe together. Unused probes don't accumulate, so
// that no burst can follow. The zero value is ready for use. A Schedule is not safe
// for concurrent use.
type Schedule struct {
	next    time.Duration // earliest time of the next probe
	started bool
}

// Take reports whether a probe may be sent now, and counts it as sent. Rate is the
// limit in probes per second; 0 stops the schedule. The first call starts the
// schedule and returns false. Random is uniform in [0,1).
func (s *Schedule) Take(now time.Duration, rate, random float64) bool {
	if rate <= 0 {
		s.started = false
		return false
	}
	due := s.started && now >= s.next
	if due || !s.started {
		gap := (1 + random) / rate * float64(time.Second)
		s.next = now + time.Duration(min(gap, math.MaxInt64/4))
		s.started = true
	}
	return due
}

// Rate returns the limit of one entry for one server, in probes per second, given
// the limit of all entries together. The number of entries is that of the
// allowances list and not that of the entries seen, so that a partition or an
// outdated list can't raise the sum above the limit.
func Rate(probesPerSecond float64, entries int) float64 {
	return probesPerSecond / float64(max(entries, 1))
}

// Stale reports whether a load report of this age is too old to describe a server.
// Known is false if the server has sent no report, which counts as stale.
func Stale(age time.Duration, known bool) bool { return !known || age >= StaleAfter }
