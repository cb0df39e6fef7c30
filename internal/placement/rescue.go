package placement

import "time"

const (
	// maxHedgeFactor is the multiple of the expected latency after which a call is hedged:
	// 3 % of the calls take that long at a server whose load and speed do not change.
	maxHedgeFactor = 1.8
	// minHedgeFactor is the multiple of the expected latency from which a call is hedged if
	// a later hedge would miss the objective.
	minHedgeFactor = 1.3
	// hedgeTimeFactor is the expected time of a hedge as a multiple of the service time.
	hedgeTimeFactor = 1.4
	// retryDelayShare is the pause before the next search for a second server, as a share
	// of the service time.
	retryDelayShare = 0.5
	// maxSearches limits the searches for one call.
	maxSearches = 4
)

// HedgeDelay returns the time after which a call sent to the candidate is overdue. By
// then its server has probably turned slow, hangs, or has lost the answer.
func HedgeDelay(c Candidate, d Demand) time.Duration {
	expected := float64(c.ExpectedLatency(d))
	if d.MissesObjective() {
		return time.Duration(maxHedgeFactor * expected)
	}
	latestUseful := float64(d.Objective) - hedgeTimeFactor*float64(d.ServiceTime)
	return time.Duration(max(minHedgeFactor*expected, min(maxHedgeFactor*expected, latestUseful)))
}

// HedgeRetryDelay returns the pause before the next search for a second server, and
// false if the given number of searches is the maximum.
func HedgeRetryDelay(searches int, d Demand) (time.Duration, bool) {
	return time.Duration(retryDelayShare * float64(d.ServiceTime)), searches < maxSearches
}

// ShouldHedge reports whether an overdue call should also be sent to another server: only
// if that server has a free slot, so that no other call waits for it, and is expected to
// answer before the deadline.
func ShouldHedge(other Candidate, d Demand) bool {
	return other.Good(d) && other.ExpectedLatency(d) < d.TimeLeft
}
