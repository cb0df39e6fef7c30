package placement

import (
	"math"
	"sync"
	"time"
)

// Crossing decides when a call of one service leaves the data centre, and how many do. A call
// leaves if that makes a late answer less probable by more than what its bytes cost; both are
// shares of the value of an answer. If many calls that look in the own data centre first have
// to leave, a part of the later ones looks elsewhere first. That part follows what the entry
// has just found, so that it grows with the load and is gone soon after it. It is safe for
// concurrent use.
type Crossing struct {
	mu sync.Mutex
	// leaving is the share of the latest calls that looked in the own data centre first and had
	// better leave it.
	leaving float64
	// remoteRisk is the mean probability of a late answer at the best servers found elsewhere.
	remoteRisk float64
	at         time.Time // of the latest call that looked in the own data centre first
}

const (
	// crossingWeight is the weight of the latest call in the moving averages: load shifts
	// within some ten calls of one entry.
	crossingWeight = 0.1
	// crossingHalfLife is the time after which an old share counts half where calls are rare.
	crossingHalfLife = 2 * time.Second
	// minLeavingShare is the share of leaving calls from which others look elsewhere first. A
	// few that leave are chance.
	minLeavingShare = 0.15
	// maxRemoteFirst keeps some calls looking in the own data centre first, since only they tell
	// when it has room again.
	maxRemoteFirst = 0.8
	// dearTraffic is the cost of a call's traffic from which it is dear.
	dearTraffic = 0.5
	// initialRemoteRisk is assumed of servers elsewhere until some were asked.
	initialRemoteRisk = 0.02
)

// NewCrossing returns the state of a service from which no call has left.
func NewCrossing() *Crossing { return &Crossing{remoteRisk: initialRemoteRisk} }

// RemoteFirst reports whether a call looks in other data centres first; draw is a random number
// from 0 to 1. A call whose traffic is dear leaves only if it finds no room here.
func (x *Crossing) RemoteFirst(d Demand, draw float64, now time.Time) bool {
	return d.TrafficCost < dearTraffic && draw < x.Share(now)
}

// Share returns the share of calls that look in other data centres first.
func (x *Crossing) Share(now time.Time) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	share := x.leavingAt(now)
	if share < minLeavingShare {
		return 0
	}
	return min(share, maxRemoteFirst)
}

// leavingAt returns the share of leaving calls as of now.
func (x *Crossing) leavingAt(now time.Time) float64 {
	if x.at.IsZero() {
		return 0
	}
	return x.leaving * math.Exp2(-now.Sub(x.at).Seconds()/crossingHalfLife.Seconds())
}

// Observe records what a search in the own data centre has found: whether the call had better
// leave it, also if no check of servers elsewhere is left to it.
func (x *Crossing) Observe(left bool, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	value := 0.0
	if left {
		value = 1
	}
	share := x.leavingAt(now)
	x.leaving, x.at = share+crossingWeight*(value-share), now
}

// ObserveRemote records the best server found in other data centres.
func (x *Crossing) ObserveRemote(c Candidate, d Demand) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.remoteRisk += crossingWeight * (c.LateRisk(d) - x.remoteRisk)
}

// Pays reports whether looking in other data centres pays for a call whose best server in the
// own one is given.
func (x *Crossing) Pays(best Candidate, d Demand) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return best.LateRisk(d)-x.remoteRisk > d.TrafficCost
}

// minRiskSpread is the least standard deviation of a run time as a share of the expected one:
// the speed of a server may change while a call runs.
const minRiskSpread = 0.2

// LateRisk returns the probability that the answer comes after the objective, 0 to 1. That the
// server fails calls does not count: another one of the data centre can be asked.
func (c Candidate) LateRisk(d Demand) float64 {
	switch {
	case c.HasFreeSlot():
		expected := float64(c.ExpectedLatency(d))
		deviation := expected * max(d.Spread, minRiskSpread)
		return 0.5 * math.Erfc((float64(d.Objective)-expected)/(deviation*math.Sqrt2))
	case d.MayWait:
		return fullRisk
	default:
		return 1
	}
}

// fullRisk is the probability of a late answer for a call that finds the best server full and
// can wait: a slot may become free while it does.
const fullRisk = 0.5

// TrafficCost returns what sending a call and its answer to another data centre costs, as a
// share of the value of an answer, given their bytes and the cost of a kilobyte.
func TrafficCost(bytes, perKB float64) float64 { return min(bytes/1000*perKB, maxTrafficCost) }

// maxTrafficCost is the highest cost of a call's traffic: a call that would certainly be late
// goes to another data centre whatever it costs.
const maxTrafficCost = 0.9
