package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crossingWorld is a service whose servers are in two data centres, as an entry in the first one
// sees it. The simulation's servers from local on are in the other one.
type crossingWorld struct {
	*simulation
	local       int
	crossing    *Crossing
	trafficCost float64
	// cautious decides without a Crossing, as if traffic had no cost: it looks elsewhere only if
	// all servers asked in the own data centre are full or too slow.
	cautious bool
	// limit is the number of health checks of a call.
	limit        int
	left, checks int
}

func newCrossingWorld(seed uint64, trafficCost float64) *crossingWorld {
	w := newSimulation(seed)
	w.serviceTime, w.objective, w.timeout = 140*time.Millisecond, 400*time.Millisecond, 1500*time.Millisecond
	w.slots = 4
	w.servers = nil
	for range 83 {
		w.servers = append(w.servers, &simServer{slowness: 1})
	}
	return &crossingWorld{simulation: w, local: 19, limit: 8, crossing: NewCrossing(), trafficCost: trafficCost}
}

func (w *crossingWorld) demandOf(c *simCall) Demand {
	d := w.demand(c)
	d.TrafficCost, d.Spread, d.MayWait = w.trafficCost, 0.3, w.now-c.arrived < MaxQueueTime(w.objective)
	return d
}

// ask returns the best of some servers, asked two at a time until one is good.
func (w *crossingWorld) ask(from, to, number int, best Candidate, server *simServer, d Demand) (Candidate, *simServer) {
	for i, at := range w.rng.Perm(to - from)[:min(number, to-from)] {
		s := w.servers[from+at]
		c := w.candidate(s)
		c.Remote = from+at >= w.local
		w.checks++
		if server == nil || c.Cost(d) < best.Cost(d) {
			best, server = c, s
		}
		if i%2 == 1 && best.Good(d) {
			break
		}
	}
	return best, server
}

func (w *crossingWorld) place(c *simCall) {
	d, now := w.demandOf(c), time.Unix(1000, 0).Add(w.now)
	var best Candidate
	var server *simServer
	remoteFirst := !w.cautious && w.crossing.RemoteFirst(d, w.rng.Float64(), now)
	if remoteFirst {
		if best, server = w.ask(w.local, len(w.servers), 2, best, server, d); !best.Good(d) {
			best, server = w.ask(0, w.local, w.limit-2, best, server, d)
		}
	} else {
		best, server = w.ask(0, w.local, min(w.limit, 6), best, server, d)
		leaves := w.crossing.Pays(best, d)
		if w.cautious {
			leaves = !best.HasFreeSlot() || !best.MeetsObjective(d)
		}
		if !best.Good(d) && leaves {
			best, server = w.ask(w.local, len(w.servers), max(w.limit-6, 0), best, server, d)
		}
		w.crossing.Observe(leaves, now)
	}
	switch Decide(&best, d, w.now-c.arrived, w.objective) {
	case Send:
		if best.Remote {
			w.left++
		}
		w.send(c, server)
	case Wait:
		w.schedule(8*time.Millisecond, func() { w.place(c) })
	default:
		w.refuse(c)
	}
}

// The load: the data centre has 0.44 of the callers and 19 of 83 servers, with two thirds of
// what they can do by themselves, and a third of all servers is slow for half a second. Guards
// against callers that are served late beside idle servers elsewhere, and against checks of
// servers that are known to be full.
func TestDataCentreWithFewServersSendsAPartElsewhere(t *testing.T) {
	var cautious, crossing tally
	var checks, cautiousChecks int
	for seed := range uint64(3) {
		w := newCrossingWorld(seed, 0.1)
		w.cautious = true
		r := w.run(260, simulatedTime, w.place)
		cautious, cautiousChecks = cautious.plus(r), cautiousChecks+w.checks
		w = newCrossingWorld(seed, 0.1)
		r = w.run(260, simulatedTime, w.place)
		crossing, checks = crossing.plus(r), checks+w.checks
		assert.Assert(t, w.left > r.calls/20 && w.left < r.calls*3/4, "%d of %d left", w.left, r.calls)
	}
	t.Logf("within the objective: full servers only %.4f (%d checks), crossing %.4f (%d checks)", cautious.objectiveShare(), cautiousChecks, crossing.objectiveShare(), checks)
	assert.Assert(t, crossing.objectiveShare() >= cautious.objectiveShare())
	assert.Assert(t, checks < cautiousChecks)
}

func (t tally) plus(o tally) tally {
	return tally{t.calls + o.calls, t.inObjective + o.inObjective, t.late + o.late, t.refused + o.refused}
}

// The load: as above, but what a call's bytes cost differs. Guards against large answers that
// leave although that costs more than a late answer.
func TestFewerCallsLeaveIfTheirBytesAreDear(t *testing.T) {
	left := func(cost float64) int {
		w := newCrossingWorld(5, cost)
		w.run(260, simulatedTime, w.place)
		return w.left
	}
	cheap, dear := left(TrafficCost(1000, 0.02)), left(TrafficCost(90_000, 0.02))
	t.Logf("%d and %d calls left", cheap, dear)
	assert.Assert(t, dear < cheap/4)
}

// The load: as above with a burst, and only two health checks for each call are left. Guards
// against calls that wait and are refused in a full data centre beside idle servers elsewhere,
// because the few checks are spent on servers that are known to be full.
func TestFewHealthChecksAreNotSpentOnAFullDataCentre(t *testing.T) {
	play := func(cautious bool) tally {
		w := newCrossingWorld(9, 0.1)
		w.limit, w.cautious = 2, cautious
		return w.run(420, simulatedTime, w.place)
	}
	before, after := play(true), play(false)
	t.Logf("within the objective: own data centre only %.3f (%d refused), crossing %.3f (%d refused)", before.objectiveShare(), before.refused, after.objectiveShare(), after.refused)
	assert.Assert(t, after.objectiveShare() > before.objectiveShare()+0.1)
	assert.Assert(t, after.refused < before.refused/2)
}

// The load: demand rises by half within seconds and falls again, and there is room in the own
// data centre before and after. Guards against a share that stays when the load is gone, and
// against one that comes too late.
func TestShareThatLeavesFollowsTheDemand(t *testing.T) {
	w := newCrossingWorld(8, 0.05)
	share := map[string]float64{}
	note := func(at time.Duration, name string) {
		w.schedule(at, func() { share[name] = w.crossing.Share(time.Unix(1000, 0).Add(w.now)) })
	}
	note(5*time.Second, "calm")
	for i := range 1500 { // 300 a second more from 6 s to 11 s
		w.schedule(6*time.Second+time.Duration(i)*time.Second/300, func() { w.place(&simCall{firstSent: w.now, arrived: w.now}) })
	}
	note(7*time.Second, "a second into the rise")
	note(15*time.Second, "four seconds after it")
	w.run(80, simulatedTime, w.place)
	t.Logf("%v", share)
	assert.Equal(t, share["calm"], 0.0)
	assert.Assert(t, share["a second into the rise"] > 0)
	assert.Equal(t, share["four seconds after it"], 0.0)
}

// Guards against a part that is decided by what was found long ago, or by one call.
func TestShareThatLeavesIsForgotten(t *testing.T) {
	x := NewCrossing()
	now := time.Unix(1000, 0)
	x.Observe(true, now)
	assert.Equal(t, x.Share(now), 0.0, "one call is chance")
	for range 100 {
		x.Observe(true, now)
	}
	assert.Equal(t, x.Share(now), maxRemoteFirst, "some calls still look in the own data centre")
	assert.Equal(t, x.Share(now.Add(10*crossingHalfLife)), 0.0)
	rng := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a seed for tests
	first := 0
	for range 1000 {
		if x.RemoteFirst(Demand{}, rng.Float64(), now) {
			first++
		}
	}
	assert.Assert(t, first > 750 && first < 850, "%d", first)
}

// Guards against servers elsewhere that are just as busy: calls would swap places for nothing.
func TestCallsStayIfServersElsewhereAreNoBetter(t *testing.T) {
	d := Demand{ServiceTime: 140 * time.Millisecond, CrowdedFactor: 1, Spread: 0.3, TrafficCost: 0.05, Objective: 400 * time.Millisecond, TimeLeft: time.Second}
	slow := Candidate{Slots: 4, Slowness: 2.4}
	x := NewCrossing()
	assert.Assert(t, x.Pays(slow, d))
	for range 100 {
		x.ObserveRemote(slow, d)
	}
	assert.Assert(t, !x.Pays(slow, d))
}
