package placement

import "time"

const (
	// overdueFactor times the expected time, a call is overdue: three in a hundred
	// take that long at a server that stays as it was. It is overdue from
	// soonFactor times if a second send could still answer within the objective,
	// for which it needs rescueTime times the usual work.
	overdueFactor = 1.8
	soonFactor    = 1.3
	rescueTime    = 1.4
	// lookAgainShare of a call's usual work is the pause before servers are asked
	// again for an overdue call, and looks bounds how often.
	lookAgainShare = 0.5
	looks          = 4
)

// HedgeDelay returns when a call sent to the candidate is overdue: its server has
// turned slow, hangs, or has lost the answer.
func HedgeDelay(c Candidate, d Demand) time.Duration {
	expected := float64(c.ExpectedLatency(d))
	if d.MissesObjective() {
		return time.Duration(overdueFactor * expected)
	}
	last := float64(d.Objective) - rescueTime*float64(d.ServiceTime)
	return time.Duration(max(soonFactor*expected, min(overdueFactor*expected, last)))
}

// HedgeRetryDelay returns the pause before the next look for a second server, and false
// after the last look.
func HedgeRetryDelay(look int, d Demand) (time.Duration, bool) {
	return time.Duration(lookAgainShare * float64(d.ServiceTime)), look < looks
}

// ShouldHedge reports whether an overdue call should be sent to another server as well:
// only if that has room, so that no other call waits for it, and is expected to
// answer in time.
func ShouldHedge(other Candidate, d Demand) bool {
	return other.Good(d) && other.ExpectedLatency(d) < d.TimeLeft
}
