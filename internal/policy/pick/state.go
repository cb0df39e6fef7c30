package pick

import (
	"math"
	"time"
)

// Result says how an attempt at a server ended.
type Result int

// Ends of an attempt.
const (
	// Succeeded is an answer without a server error.
	Succeeded Result = iota
	// Failed is a server error, a lost connection or a timeout.
	Failed
	// Rejected is a refusal of a call that the server did not start.
	Rejected
	// Cancelled is an attempt that this entry gave up for reasons of its own.
	Cancelled
)

const (
	failedWeight    = 0.3
	rejectedWeight  = 0.1
	succeededWeight = 0.1
	ejectBelow      = 0.3
	refusedSuccess  = 0.1
	ejectFirst      = 2 * time.Second
	ejectLongest    = 60 * time.Second
	rampTime        = 5 * time.Second
	rampFirst       = 0.1
	// reportTrust is the trust in a report that just came, and reportFade the
	// time in which it falls by a factor of e.
	reportTrust = 0.8
	reportFade  = 10 * time.Millisecond
)

// State is what an entry has learned of one server. It is not safe for
// concurrent use. Times are readings of one monotonic clock.
type State struct {
	inFlight   int
	others     float64
	reported   bool
	reportedAt time.Duration
	success    float64
	leaving    bool
	ejected    bool
	until      time.Duration
	pause      time.Duration
	ramping    bool
	rampStart  time.Duration
}

// NewState returns the state of a server that was first seen now.
func NewState(now time.Duration) State {
	return State{success: 1, ramping: true, rampStart: now}
}

// Sent notes an attempt.
func (s *State) Sent() { s.inFlight++ }

// InFlight returns the attempts that have not ended.
func (s *State) InFlight() int { return s.inFlight }

// Report notes the calls in flight that the server reported, with this entry's
// own among them. Call it before Done of the attempt that brought the report.
func (s *State) Report(now time.Duration, load int) {
	s.others = max(float64(load-s.inFlight), 0)
	s.reported, s.reportedAt = true, now
}

// ReportAge returns the age of the latest report, and false if there is none.
func (s *State) ReportAge(now time.Duration) (time.Duration, bool) {
	return now - s.reportedAt, s.reported
}

// SetLeaving notes the server's own signal, and reports whether it changed. A
// server that comes back starts slowly.
func (s *State) SetLeaving(now time.Duration, leaving bool) bool {
	changed := s.leaving != leaving
	if changed && !leaving {
		s.startRamp(now)
	}
	s.leaving = leaving
	return changed
}

// Leaving reports whether the server said that it is leaving.
func (s *State) Leaving() bool { return s.leaving }

// Ejected reports whether the server is left out because it failed.
func (s *State) Ejected() bool { return s.ejected }

// Done notes the end of an attempt, and reports whether it ejected the server.
func (s *State) Done(now time.Duration, end Result) bool {
	s.inFlight--
	return s.Observe(now, end)
}

// Observe notes the end of an attempt that Sent did not count, such as a
// connect, and reports whether it ejected the server.
func (s *State) Observe(now time.Duration, end Result) bool {
	switch end {
	case Succeeded:
		s.success += succeededWeight * (1 - s.success)
		s.readmit(now)
		return false
	case Failed:
		s.success -= failedWeight * s.success
	case Rejected:
		s.success -= rejectedWeight * s.success
	case Cancelled:
		return false
	}
	return s.eject(now)
}

// eject leaves out a server whose success rate is too low, longer each time.
func (s *State) eject(now time.Duration) bool {
	if s.success >= ejectBelow || (s.ejected && now < s.until) {
		return false
	}
	s.pause = min(max(2*s.pause, ejectFirst), ejectLongest)
	s.ejected, s.until = true, now+s.pause
	return true
}

// readmit ends an ejection after a call that succeeded.
func (s *State) readmit(now time.Duration) {
	if !s.ejected {
		if s.success > 0.99 {
			s.pause = 0
		}
		return
	}
	s.ejected = false
	s.success = 1
	s.startRamp(now)
}

func (s *State) startRamp(now time.Duration) { s.ramping, s.rampStart = true, now }

func (s *State) ramp(now time.Duration) float64 {
	if !s.ramping {
		return 1
	}
	share := float64(now-s.rampStart) / float64(rampTime)
	if share >= 1 {
		s.ramping = false
		return 1
	}
	return rampFirst + (1-rampFirst)*share
}

// Candidate returns the state for a choice, and false if the server takes no
// call. Slots come from the allowances list.
func (s *State) Candidate(now time.Duration, slots int) (Candidate, bool) {
	if s.leaving {
		return Candidate{}, false
	}
	trust := 0.0
	if s.reported {
		trust = reportTrust * math.Exp(-float64(now-s.reportedAt)/float64(reportFade))
	}
	over := s.ejected && now >= s.until
	return Candidate{
		InFlight: s.inFlight, OthersInFlight: s.others, ReportWeight: trust, Slots: slots, SuccessRate: s.success, SlowStartWeight: s.ramp(now),
		Ejected: s.ejected, Trial: over && s.inFlight == 0,
	}, true
}

// ConnectionRefused notes a refused connect, and reports whether it ejected the server,
// which it does at once.
func (s *State) ConnectionRefused(now time.Duration) bool {
	s.success = min(s.success, refusedSuccess)
	return s.eject(now)
}
