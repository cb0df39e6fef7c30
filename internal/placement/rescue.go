package placement

import "time"

const (
	// maxHedgeFactor is the multiple of the expected latency after which a call is hedged:
	// three in a hundred take that long at a server that stays as it was. A call is hedged
	// from minHedgeFactor on if only an earlier hedge can still meet the objective; a hedge
	// takes hedgeTimeFactor times the usual service time.
	maxHedgeFactor  = 1.8
	minHedgeFactor  = 1.3
	hedgeTimeFactor = 1.4
	// retryDelayShare is the pause before the next search for a second server, as a share
	// of the service time. maxSearches limits the searches for one call.
	retryDelayShare = 0.5
	maxSearches     = 4
)

// HedgeDelay returns the time after which a call sent to the candidate is overdue. By
// then its server has probably turned slow, hangs, or has lost the answer.
func HedgeDelay(c Candidate, d Demand) time.Duration {
	expected := float64(c.ExpectedLatency(d))
	if d.MissesObjective() {
		return time.Duration(maxHedgeFactor * expected)
	}
	last := float64(d.Objective) - hedgeTimeFactor*float64(d.ServiceTime)
	return time.Duration(max(minHedgeFactor*expected, min(maxHedgeFactor*expected, last)))
}

// HedgeRetryDelay returns the pause after the given search for a second server, and
// false after the last search.
func HedgeRetryDelay(look int, d Demand) (time.Duration, bool) {
	return time.Duration(retryDelayShare * float64(d.ServiceTime)), look < maxSearches
}

// ShouldHedge reports whether an overdue call should also be sent to another server: only
// if that server has a free slot, so that no other call waits for it, and is expected to
// answer before the deadline.
func ShouldHedge(other Candidate, d Demand) bool {
	return other.Good(d) && other.ExpectedLatency(d) < d.TimeLeft
}
