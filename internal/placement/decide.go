package placement

import (
	"math/rand/v2"
	"time"
)

// Decision is what becomes of a call for now.
type Decision int

// Decisions.
const (
	// Send: the call goes to the server.
	Send Decision = iota
	// Wait: the call waits in the entry, and servers are asked again.
	Wait
	// Refuse: the call is refused now.
	Refuse
)

// holdShare of the objective is how long a call waits in the entry for a server
// that can answer within the objective, before it takes one that can answer late
// or is refused.
const holdShare = 0.25

// MaxQueueTime returns how long a call waits in the entry at most.
func MaxQueueTime(objective time.Duration) time.Duration {
	return time.Duration(holdShare * float64(objective))
}

// Decide says what becomes of a call whose best server is c, nil if none takes
// calls. Held is how long the entry has the call, objective the route's.
func Decide(c *Candidate, d Demand, held, objective time.Duration) Decision {
	patient := held < MaxQueueTime(objective)
	switch {
	case c != nil && c.MeetsObjective(d):
		return Send
	case c != nil && d.MissesObjective() && c.Quick(d) && c.MeetsDeadline(d):
		return Send
	case patient:
		return Wait
	case c != nil && c.HasFreeSlot() && c.MeetsDeadline(d):
		return Send
	default:
		return Refuse
	}
}

const (
	// retryAfterShare of a caller's time left is when it should come back: callers
	// wait at most a third.
	retryAfterShare = 0.3
	// maxRetryAfter bounds the advice; load has changed by then.
	maxRetryAfter = 300 * time.Millisecond
)

// RetryAfter returns when a refused caller should come back, spread so that
// callers refused together do not return together.
func RetryAfter(left time.Duration) time.Duration {
	most := min(time.Duration(retryAfterShare*float64(left)), maxRetryAfter)
	return time.Duration(float64(max(most, 0)) * (0.4 + 0.6*rand.Float64()))
}
