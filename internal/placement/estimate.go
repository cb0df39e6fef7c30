// Package placement decides to which server a call goes, when it waits, when it is
// hedged and when it is refused. It uses neither network nor clock: observations and
// the time are arguments. Only RetryAfter draws random numbers.
//
// # What operators see
//
// A call goes to the server that is expected to answer first, by the load that a
// few servers reported just before. A call that finds all of them full waits in the
// entry, and is refused at once if it can't be answered in time.
package placement

import "time"

// Candidate is the latest known state of a server.
type Candidate struct {
	// Running and Waiting count the calls of all entries at the server. Slots is the
	// number of calls that it runs at once.
	Running, Waiting, Slots int
	// Slowness is the ratio of the server's current service time to its usual one.
	Slowness float64
	// Unreported is 1 if this entry has just sent a call that the reported load may not
	// include yet, otherwise 0.
	Unreported int
	// FailureRate is the share of recent calls that the server failed, 0 to 1.
	FailureRate float64
	// Remote says that the server is in another data centre.
	Remote bool
}

const (
	// crowdedShare is the share of slots in use above which a server counts as nearly
	// full. It may then slow down, because its calls compete for one processor.
	crowdedShare = 0.8
	// failureCostShare is the cost of one failure as a share of the objective: the time
	// of a second attempt.
	failureCostShare = 1.0
	// maxFailureRate keeps the cost finite for a server that failed all its calls.
	maxFailureRate = 0.95
)

// Demand is the service time and the time limits of a call.
type Demand struct {
	// ServiceTime is how long the call runs at a server of usual speed.
	ServiceTime time.Duration
	// CrowdedFactor is the ratio of the run time at a nearly full server to the service
	// time.
	CrowdedFactor float64
	// Spread is the standard deviation of the run time as a share of the service time.
	Spread float64
	// TrafficCost is what the bytes of the call and its answer cost if it goes to another data
	// centre, as a share of the value of an answer.
	TrafficCost float64
	// MayWait says that the call can wait for a slot and still be in time.
	MayWait bool
	// Objective is the time until the latency target, TimeLeft the time until the
	// deadline, after which the caller no longer waits. Both count from now.
	Objective, TimeLeft time.Duration
}

// MissesObjective reports whether even an idle server is not expected to answer well
// within the objective.
func (d Demand) MissesObjective() bool {
	return float64(d.ServiceTime) > usableObjectiveShare*float64(d.Objective)
}

// HasFreeSlot reports whether a call would start at once.
func (c Candidate) HasFreeSlot() bool { return c.callsAhead() < c.Slots && c.Waiting == 0 }

func (c Candidate) callsAhead() int { return c.Running + c.Waiting + c.Unreported }

// Crowded reports whether the server would be nearly full with one more call.
func (c Candidate) Crowded() bool {
	return float64(c.callsAhead()+1) > crowdedShare*float64(max(c.Slots, 1))
}

// ExpectedLatency returns the expected time until the answer, queueing included.
func (c Candidate) ExpectedLatency(d Demand) time.Duration {
	slots := max(c.Slots, 1)
	run := float64(d.ServiceTime) * max(c.Slowness, minSlowness)
	if c.Crowded() {
		run *= max(d.CrowdedFactor, 1)
	}
	queue := max(c.callsAhead()+1-slots, 0)
	return time.Duration(run * (1 + float64(queue)/float64(slots)))
}

// minSlowness is the lower limit of a slowness, which servers report themselves and may
// report wrongly.
const minSlowness = 0.3

// Cost returns the expected latency plus penalties for failures and distance, as time.
func (c Candidate) Cost(d Demand) time.Duration {
	cost := float64(c.ExpectedLatency(d))
	f := min(c.FailureRate, maxFailureRate)
	cost += f / (1 - f) * failureCostShare * float64(d.Objective)
	if c.Remote {
		cost += d.TrafficCost * float64(d.Objective)
	}
	return time.Duration(cost)
}

// Best returns the index of the candidate with the least cost, the first of equals, or
// -1 without candidates.
func Best(candidates []Candidate, d Demand) int {
	best, least := -1, time.Duration(0)
	for i, c := range candidates {
		if cost := c.Cost(d); best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

const (
	// goodLatencyFactor limits the expected latency at a good server, as a multiple of the
	// service time.
	goodLatencyFactor = 1.6
	// goodFailureRate is the failure rate below which a server is good.
	goodFailureRate = 0.2
	// usableObjectiveShare is the share of the objective that the expected latency may
	// use, since half of the calls take longer than expected.
	usableObjectiveShare = 0.75
)

// NearServiceTime reports whether a call would start at once and take little longer than
// its service time.
func (c Candidate) NearServiceTime(d Demand) bool {
	return c.HasFreeSlot() && c.ExpectedLatency(d) <= time.Duration(goodLatencyFactor*float64(d.ServiceTime))
}

// Good reports whether the server can be chosen without asking more servers.
func (c Candidate) Good(d Demand) bool {
	return c.NearServiceTime(d) && c.FailureRate < goodFailureRate
}

// MeetsObjective reports whether the answer is expected well within the objective.
func (c Candidate) MeetsObjective(d Demand) bool {
	return float64(c.ExpectedLatency(d)) <= usableObjectiveShare*float64(d.Objective)
}

// MeetsDeadline reports whether the answer is expected before the caller stops waiting.
func (c Candidate) MeetsDeadline(d Demand) bool { return c.ExpectedLatency(d) < d.TimeLeft }

// Rank is the order in which servers are asked for their health.
type Rank int

// Ranks, the best first.
const (
	// RankGood: the server was good according to its recent load.
	RankGood Rank = iota
	// RankUnknown: no recent load is known.
	RankUnknown
	// RankPoor: the server was recently slow, full or failing.
	RankPoor

	rankCount = iota
)

// CheckOrder returns the position of a server in the order of health checks, lowest
// first. A server to which a connection is idle goes before others that are as promising
// or of unknown load, so that an entry with few calls keeps to few connections. An entry
// that finds these servers slow or full goes on to others.
func CheckOrder(rank Rank, idle bool) int {
	order := int(rank)
	if !idle {
		order += rankCount
	}
	if rank == RankPoor {
		order += 2 * rankCount
	}
	return order
}

// loadValidFor is how long a reported load is used to rank a server, since load shifts
// within a few hundred milliseconds.
const loadValidFor = 200 * time.Millisecond

// RankServer ranks a server by a load of the given age.
func RankServer(c Candidate, age time.Duration, d Demand) Rank {
	switch {
	case c.FailureRate >= goodFailureRate:
		return RankPoor
	case age > loadValidFor:
		return RankUnknown
	case c.Good(d):
		return RankGood
	default:
		return RankPoor
	}
}
