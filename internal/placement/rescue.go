package placement

import "time"

const (
	// overdueSpreads is how many standard deviations above the expected latency a call is
	// overdue. Of calls whose server works as usual, 2 % take that long.
	overdueSpreads = 2.0
	// lostSpreads is how many standard deviations above the expected latency a call has
	// probably been lost: one in a thousand takes that long otherwise.
	lostSpreads = 3.0
	// hedgeTimeFactor is the time to allow for a hedge, as a multiple of the service time.
	hedgeTimeFactor = 1.4
	// retryDelayShare is the pause before the next search for a second server, as a share
	// of the service time.
	retryDelayShare = 0.5
	// maxSearches limits the searches for one call.
	maxSearches = 4
)

// HedgeDelay returns the time after which a call sent to the candidate is hedged: as soon
// as it is overdue if a hedge then leaves a good chance to meet the objective, at the
// latest when it has probably been lost. A hedge of a call that only takes longer than
// others occupies a second server for nothing, and ends a connection.
func HedgeDelay(c Candidate, d Demand) time.Duration {
	expected := float64(c.ExpectedLatency(d))
	overdue, lost := expected*(1+overdueSpreads*d.Spread), float64(LostAfter(c, d))
	if float64(d.Objective-d.ServiceTime) < overdue {
		return time.Duration(lost)
	}
	inTime := float64(d.Objective) - hedgeTimeFactor*float64(d.ServiceTime)
	return time.Duration(max(overdue, min(lost, inTime)))
}

// LostAfter returns the time after which a call sent to the candidate has probably been
// lost, or its server hangs.
func LostAfter(c Candidate, d Demand) time.Duration {
	return time.Duration(float64(c.ExpectedLatency(d)) * (1 + lostSpreads*d.Spread))
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
