package placement

import (
	"math/rand/v2"
	"time"
)

// Decision says whether a call is sent, queued or refused.
type Decision int

// Decisions.
const (
	// Send sends the call to the server.
	Send Decision = iota
	// Wait queues the call in the entry, which checks servers again later.
	Wait
	// Refuse refuses the call at once.
	Refuse
)

// queueShare is the share of the objective for which a call waits in the entry for a
// server that can meet the objective. After that it goes to a server that meets only the
// deadline, or is refused.
const queueShare = 0.25

// MaxQueueTime returns how long a call waits in the entry before it accepts a server
// that meets only the deadline.
func MaxQueueTime(objective time.Duration) time.Duration {
	return time.Duration(queueShare * float64(objective))
}

// Decide returns the decision for a call whose best server is c, or nil if no server
// takes calls. Held is the time since the entry received the call; objective is that of
// the route, while d.Objective is what is left of it.
func Decide(c *Candidate, d Demand, held, objective time.Duration) Decision {
	mayWait := held < MaxQueueTime(objective)
	// An estimate above the route's objective may come from a few long calls. No call is sent
	// to correct it if it decides that none can be answered before its deadline.
	atMost := d
	atMost.ServiceTime = min(d.ServiceTime, objective)
	switch {
	case c != nil && c.MeetsObjective(d):
		return Send
	case c != nil && d.MissesObjective() && c.NearServiceTime(d) && c.MeetsDeadline(atMost):
		return Send
	case mayWait:
		return Wait
	case c != nil && c.HasFreeSlot() && c.MeetsDeadline(atMost):
		return Send
	default:
		return Refuse
	}
}

// Refusal says why a call is refused.
type Refusal int

// Reasons of refusals.
const (
	// NoRoom: no server has room for the call in time.
	NoRoom Refusal = iota
	// TurnedAway: servers have refused the call although they reported room, so that it may be
	// accepted as well the next moment.
	TurnedAway
)

const (
	// retryAfterShare is the longest delay as a share of the caller's time left. Callers
	// wait for at most a third of their time left, whatever delay they are told.
	retryAfterShare = 0.3
	// maxRetryAfter limits the delay; within that time the load will have changed.
	maxRetryAfter = 300 * time.Millisecond
	// noRoomReturnShare and turnedAwayReturnShare are the longest delays of callers that can
	// still be answered within their objective, as shares of the time that they can spare. A
	// caller that finds no room leaves time for calls to end, and keeps some to wait and to be
	// sent. One that was turned away gains nothing by waiting.
	noRoomReturnShare     = 0.6
	turnedAwayReturnShare = 0.15
	// minSpareTime is the least time to spare with which a caller can come back in time: a
	// round trip to it.
	minSpareTime = 10 * time.Millisecond
)

// RetryAfter returns the delay after which a refused caller should retry. A caller that can
// still be answered within its objective comes back while it can; the others come back later,
// since their answers are late in any case and their calls would take room from calls in time.
// The delay is random, so that callers refused together do not retry together.
func RetryAfter(why Refusal, d Demand) time.Duration {
	limit := min(time.Duration(retryAfterShare*float64(d.TimeLeft)), maxRetryAfter)
	if spare := d.Objective - d.ServiceTime; spare >= minSpareTime {
		share := noRoomReturnShare
		if why == TurnedAway {
			share = turnedAwayReturnShare
		}
		limit = min(limit, time.Duration(share*float64(spare)))
	}
	return time.Duration(float64(max(limit, 0)) * (0.4 + 0.6*rand.Float64()))
}
