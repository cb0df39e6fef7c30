package pick

import (
	"math"
	"time"
)

// Result says how an attempt at a server ended.
type Result int

// Results of an attempt.
const (
	// Succeeded is a response without a server error.
	Succeeded Result = iota
	// Failed is a server error, a lost connection or a timeout.
	Failed
	// Rejected is a call that the server rejected before starting it.
	Rejected
	// Cancelled is an attempt that this entry cancelled; it says nothing about
	// the server.
	Cancelled
)

const (
	// Weights of one result in the moving average of the success rate.
	failedWeight    = 0.3
	rejectedWeight  = 0.1
	succeededWeight = 0.1
	// ejectionThreshold is the success rate below which a server is ejected.
	ejectionThreshold = 0.3
	// refusedSuccessRate is the most that the success rate can be after a refused
	// connection; it is below ejectionThreshold.
	refusedSuccessRate = 0.1
	// An ejection lasts from minEjection to maxEjection.
	minEjection = 2 * time.Second
	maxEjection = 60 * time.Second
	// slowStartTime is the time in which the slow-start weight rises from
	// minSlowStartWeight to 1.
	slowStartTime      = 5 * time.Second
	minSlowStartWeight = 0.1
	// freshReportWeight is the weight of a report that just arrived, and
	// reportDecay the time in which the weight falls by a factor of e.
	freshReportWeight = 0.8
	reportDecay       = 10 * time.Millisecond
)

// State is what an entry has learned about one server. It is not safe for
// concurrent use. Times are readings of one monotonic clock.
type State struct {
	inFlight       int
	othersInFlight float64
	reported       bool
	reportedAt     time.Duration
	successRate    float64
	leaving        bool
	ejected        bool
	ejectedUntil   time.Duration
	ejectionTime   time.Duration
	slowStarting   bool
	slowStartedAt  time.Duration
}

// NewState returns the state of a newly discovered server, in slow start.
func NewState(now time.Duration) State {
	return State{successRate: 1, slowStarting: true, slowStartedAt: now}
}

// Sent counts an attempt as in flight.
func (s *State) Sent() { s.inFlight++ }

// InFlight returns the number of attempts in flight.
func (s *State) InFlight() int { return s.inFlight }

// Report records the number of calls in flight that the server reported, which
// includes this entry's own. Call it before Done for the attempt that carried
// the report.
func (s *State) Report(now time.Duration, load int) {
	s.othersInFlight = max(float64(load-s.inFlight), 0)
	s.reported, s.reportedAt = true, now
}

// ReportAge returns the age of the latest report, or false if there is none.
func (s *State) ReportAge(now time.Duration) (time.Duration, bool) {
	return now - s.reportedAt, s.reported
}

// SetLeaving records whether the server announced that it is leaving, and
// reports whether that changed. A server that returns begins slow start.
func (s *State) SetLeaving(now time.Duration, leaving bool) bool {
	changed := s.leaving != leaving
	if changed && !leaving {
		s.beginSlowStart(now)
	}
	s.leaving = leaving
	return changed
}

// Leaving reports whether the server announced that it is leaving.
func (s *State) Leaving() bool { return s.leaving }

// Ejected reports whether the server is ejected for a low success rate.
func (s *State) Ejected() bool { return s.ejected }

// Done records the result of an attempt that Sent counted, and reports whether
// it ejected the server.
func (s *State) Done(now time.Duration, result Result) bool {
	s.inFlight--
	return s.Observe(now, result)
}

// Observe records the result of an attempt that Sent did not count, such as a
// connection attempt, and reports whether it ejected the server.
func (s *State) Observe(now time.Duration, result Result) bool {
	switch result {
	case Succeeded:
		s.successRate += succeededWeight * (1 - s.successRate)
		s.endEjection(now)
		return false
	case Failed:
		s.successRate -= failedWeight * s.successRate
	case Rejected:
		s.successRate -= rejectedWeight * s.successRate
	case Cancelled:
		return false
	}
	return s.eject(now)
}

// eject ejects a server with too low a success rate, each time for twice as
// long up to maxEjection.
func (s *State) eject(now time.Duration) bool {
	if s.successRate >= ejectionThreshold || (s.ejected && now < s.ejectedUntil) {
		return false
	}
	s.ejectionTime = min(max(2*s.ejectionTime, minEjection), maxEjection)
	s.ejected, s.ejectedUntil = true, now+s.ejectionTime
	return true
}

// endEjection ends an ejection after a successful call and begins slow start.
func (s *State) endEjection(now time.Duration) {
	if !s.ejected {
		if s.successRate > 0.99 {
			s.ejectionTime = 0
		}
		return
	}
	s.ejected = false
	s.successRate = 1
	s.beginSlowStart(now)
}

func (s *State) beginSlowStart(now time.Duration) { s.slowStarting, s.slowStartedAt = true, now }

func (s *State) slowStartWeight(now time.Duration) float64 {
	if !s.slowStarting {
		return 1
	}
	share := float64(now-s.slowStartedAt) / float64(slowStartTime)
	if share >= 1 {
		s.slowStarting = false
		return 1
	}
	return minSlowStartWeight + (1-minSlowStartWeight)*share
}

// Candidate returns the server's state for Choose, or false if the server is
// leaving. Slots is the number from the allowances list.
func (s *State) Candidate(now time.Duration, slots int) (Candidate, bool) {
	if s.leaving {
		return Candidate{}, false
	}
	reportWeight := 0.0
	if s.reported {
		reportWeight = freshReportWeight * math.Exp(-float64(now-s.reportedAt)/float64(reportDecay))
	}
	ejectionOver := s.ejected && now >= s.ejectedUntil
	return Candidate{
		InFlight: s.inFlight, OthersInFlight: s.othersInFlight, ReportWeight: reportWeight, Slots: slots, SuccessRate: s.successRate, SlowStartWeight: s.slowStartWeight(now),
		Ejected: s.ejected, Trial: ejectionOver && s.inFlight == 0,
	}, true
}

// ConnectionRefused records a refused connection, which ejects the server at
// once, and reports whether this call ejected it.
func (s *State) ConnectionRefused(now time.Duration) bool {
	s.successRate = min(s.successRate, refusedSuccessRate)
	return s.eject(now)
}
