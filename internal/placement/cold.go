package placement

import (
	"math"
	"time"
)

// ColdRule bounds the requests that a cold server gets in any second, summed over all
// gateways. A cold server has started or been idle a short time ago: it is slow, and crashes
// if it gets requests at much more than Rate.
type ColdRule struct {
	// Rate is the number of requests per second that a cold server tolerates.
	Rate float64
	// Overage and Slack set the bound: Rate times Overage, plus Slack, in a second.
	Overage, Slack float64
}

// Limited reports whether there is a bound.
func (r ColdRule) Limited() bool { return r.Rate > 0 && r.bound() > 0 }

func (r ColdRule) bound() float64 { return r.Rate*r.Overage + r.Slack }

const (
	// coldBoundShare is the share of the bound that all gateways together are given. Turns
	// begin at random and each may be used at any moment of its length, so in some seconds
	// two to three times as many are used as on average.
	coldBoundShare = 0.25
	// localColdShare is the share of the requests at a cold server that the gateways of its own
	// data centre send. They have most of the requests for it; the others need a part for
	// services that have cold servers only.
	localColdShare = 0.8
	// coldTurnLength is how long a turn may be used. It is shorter than the second of the bound,
	// so that turns that no request has used don't add up.
	coldTurnLength = 500 * time.Millisecond
	// minTurnGapShare is the least time between two requests in turns, as a share of the time
	// between turns. It matters when the time of day jumps.
	minTurnGapShare = 0.5
)

// ColdSharers is the number of gateways that share a cold server's requests.
type ColdSharers struct {
	// Local says that this gateway is in the server's data centre.
	Local bool
	// Gateways is the number of gateways that are in the server's data centre if Local is set,
	// of those in others if it is not.
	Gateways int
}

// ColdTurns gives one gateway its turns to send a request to one cold server. Each gateway has
// a turn of coldTurnLength in each period, for one request. The period grows with the number of
// gateways, and each has a phase of its own, so that the bound holds without messages between
// them: also for gateways that have sent nothing for long, and those that learn of a cold server
// at the same moment. The zero value has used no turn. It is not safe for concurrent use.
type ColdTurns struct {
	// Phase is the begin of the turn as a share of the period, from 0 to 1. It differs between
	// gateways and between servers.
	Phase float64

	lastTurn int64
	lastAt   time.Time
}

// Open reports whether the gateway may send a request now.
func (t *ColdTurns) Open(r ColdRule, s ColdSharers, now time.Time) bool {
	_, ok := t.turn(r, s, now)
	return ok
}

// Take reports whether the gateway may send a request now, and uses the turn if so.
func (t *ColdTurns) Take(r ColdRule, s ColdSharers, now time.Time) bool {
	turn, ok := t.turn(r, s, now)
	if ok {
		t.lastTurn, t.lastAt = turn, now
	}
	return ok
}

// turn returns the number of the present turn; ok is false if there is none or it is used.
func (t *ColdTurns) turn(r ColdRule, s ColdSharers, now time.Time) (turn int64, ok bool) {
	period := r.period(s)
	whole, part := math.Modf(float64(now.UnixNano())/float64(period) + t.Phase)
	turn = int64(whole)
	switch {
	case part*float64(period) >= float64(coldTurnLength):
		return turn, false
	case t.lastAt.IsZero():
		return turn, true
	default:
		return turn, turn != t.lastTurn && now.Sub(t.lastAt) >= time.Duration(minTurnGapShare*float64(period))
	}
}

// period returns the time between the turns of one gateway.
func (r ColdRule) period(s ColdSharers) time.Duration {
	share := localColdShare
	if !s.Local {
		share = 1 - localColdShare
	}
	perSecond := share * min(r.Rate, coldBoundShare*r.bound()) / float64(max(s.Gateways, 1))
	return time.Duration(float64(time.Second) / perSecond)
}
