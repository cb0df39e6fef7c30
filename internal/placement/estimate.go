// Package placement decides where calls go, when they wait, when they are sent
// once more and when they are refused. It has no network and no clock: what is
// observed, the time and random numbers are arguments.
//
// # What operators see
//
// A call goes to the server that is expected to answer first, by the load that a
// few servers have told a moment before. A call that finds all of them full waits
// in the entry, and is refused at once when its answer can't be in time.
package placement

import "time"

// Candidate is a server as it was a moment ago.
type Candidate struct {
	// Running and Waiting count all calls at the server; Slots of them run.
	Running, Waiting, Slots int
	// Slowness is how many times longer than usual work takes.
	Slowness float64
	// Unreported counts this entry's calls that the load does not show yet.
	Unreported int
	// FailureRate is the share of recent calls that the server failed, 0 to 1.
	FailureRate float64
	// Remote says that the server is in another data centre.
	Remote bool
}

const (
	// crowdedShare is the share of slots in use above which a server may slow
	// down, as those that share a processor do.
	crowdedShare = 0.8
	// farShare of a call's objective is what leaving the data centre may cost: a
	// kilobyte costs a few hundredths of a call's worth.
	farShare = 0.1
	// failedShare of the objective is lost with each failure, for a second try.
	failedShare = 1.0
	// maxFailing keeps a server that failed all its calls comparable.
	maxFailing = 0.95
)

// Demand is what a call needs.
type Demand struct {
	// ServiceTime is how long the call usually runs.
	ServiceTime time.Duration
	// CrowdedFactor is how many times longer it runs at a server that is nearly full.
	CrowdedFactor float64
	// Objective is the time in which an answer is worth most, TimeLeft the time in
	// which it is worth anything, both from now on.
	Objective, TimeLeft time.Duration
}

// MissesObjective reports whether not even an idle server is expected to answer well within the
// objective.
func (d Demand) MissesObjective() bool { return float64(d.ServiceTime) > fitShare*float64(d.Objective) }

// HasFreeSlot reports whether a call would start at once.
func (c Candidate) HasFreeSlot() bool { return c.ahead() < c.Slots && c.Waiting == 0 }

func (c Candidate) ahead() int { return c.Running + c.Waiting + c.Unreported }

// Crowded reports whether the server is nearly full with one more call.
func (c Candidate) Crowded() bool {
	return float64(c.ahead()+1) > crowdedShare*float64(max(c.Slots, 1))
}

// ExpectedLatency returns the time until an answer is expected.
func (c Candidate) ExpectedLatency(d Demand) time.Duration {
	slots := max(c.Slots, 1)
	run := float64(d.ServiceTime) * max(c.Slowness, minSlowness)
	if c.Crowded() {
		run *= max(d.CrowdedFactor, 1)
	}
	queue := max(c.ahead()+1-slots, 0)
	return time.Duration(run * (1 + float64(queue)/float64(slots)))
}

// minSlowness bounds what a server may claim of itself.
const minSlowness = 0.3

// Cost is Finish with what else counts against a server, as time.
func (c Candidate) Cost(d Demand) time.Duration {
	cost := float64(c.ExpectedLatency(d))
	f := min(c.FailureRate, maxFailing)
	cost += f / (1 - f) * failedShare * float64(d.Objective)
	if c.Remote {
		cost += farShare * float64(d.Objective)
	}
	return time.Duration(cost)
}

// Best returns the index of the candidate with the least cost, or -1 without
// candidates. Equal costs go to the first.
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
	// goodFactor is how much longer than usual a call may take at a server that
	// needs no comparison with others.
	goodFactor = 1.6
	// goodFailing is the share of failed calls below which a server is good.
	goodFailing = 0.2
	// fitShare is the share of the objective that the expected time may use,
	// since half of the calls take longer than expected.
	fitShare = 0.75
)

// Quick reports whether a call would start at once and run about as long as usual.
func (c Candidate) Quick(d Demand) bool {
	return c.HasFreeSlot() && c.ExpectedLatency(d) <= time.Duration(goodFactor*float64(d.ServiceTime))
}

// Good reports whether the server need not be compared with more of them.
func (c Candidate) Good(d Demand) bool { return c.Quick(d) && c.FailureRate < goodFailing }

// MeetsObjective reports whether an answer is expected well within the objective.
func (c Candidate) MeetsObjective(d Demand) bool {
	return float64(c.ExpectedLatency(d)) <= fitShare*float64(d.Objective)
}

// MeetsDeadline reports whether an answer is expected before the caller stops waiting.
func (c Candidate) MeetsDeadline(d Demand) bool { return c.ExpectedLatency(d) < d.TimeLeft }

// Rank ranks servers before they are asked.
type Rank int

// Ranks, the best first.
const (
	// RankGood: the server was good a moment ago.
	RankGood Rank = iota
	// RankUnknown: nothing recent is known.
	RankUnknown
	// RankPoor: the server was slow, full or failing a moment ago.
	RankPoor
)

// rememberFor is how long a load says something about a server: load shifts within
// a few hundred milliseconds.
const rememberFor = 200 * time.Millisecond

// RankServer ranks a server by a load of the given age.
func RankServer(c Candidate, age time.Duration, d Demand) Rank {
	switch {
	case c.FailureRate >= goodFailing:
		return RankPoor
	case age > rememberFor:
		return RankUnknown
	case c.Good(d):
		return RankGood
	default:
		return RankPoor
	}
}
