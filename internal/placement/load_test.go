package placement

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const simulatedTime = 20 * time.Second

// A third of the servers run seven times slower, and which ones changes every half second.
// Placement that doesn't know the current speed sends too many calls to slow servers.
func TestChangingThirdOfServersIsSlow(t *testing.T) {
	baseline := newSimulation(1)
	baseline.result = baseline.run(60, simulatedTime, baseline.twoChoices)
	byHealth := newSimulation(1)
	byHealth.result = byHealth.run(60, simulatedTime, byHealth.placeByHealth)
	t.Logf("within the objective: two choices %.3f, by health %.3f", baseline.result.objectiveShare(), byHealth.result.objectiveShare())
	assert.Assert(t, byHealth.result.objectiveShare() > 0.97)
	assert.Assert(t, baseline.result.objectiveShare() < 0.85)
}

// A burst is 1.7 times the capacity of the servers, which have three slots each. Without
// refusals the queues grow until almost every answer is late.
func TestBurstOnServersWithThreeSlots(t *testing.T) {
	baseline := newSimulation(2)
	baseline.result = baseline.run(350, 5*time.Second, baseline.twoChoices)
	byHealth := newSimulation(2)
	byHealth.result = byHealth.run(350, 5*time.Second, byHealth.placeByHealth)
	t.Logf("within the objective: two choices %.3f, with refusals %.3f (%d of %d refused)", baseline.result.objectiveShare(), byHealth.result.objectiveShare(), byHealth.result.refused, byHealth.result.calls)
	assert.Assert(t, byHealth.result.objectiveShare() > 2*baseline.result.objectiveShare())
	assert.Assert(t, byHealth.result.late < byHealth.result.calls/10, "late answers take slots from calls in time")
}

// In a burst, refused callers retry when the objective can no longer be met. An entry that
// counts only the time since the retry arrived lets such retries take slots from calls that
// can still meet their objective.
func TestRetryingCallersLeaveSlotsToCallsInTime(t *testing.T) {
	simulate := func(firstSentKnown bool) (sum tally) {
		for seed := range uint64(5) {
			w := newSimulation(10 + seed)
			w.retryRefused, w.firstSentKnown = true, firstSentKnown
			r := w.run(220, simulatedTime, w.placeByHealth)
			sum = tally{sum.calls + r.calls, sum.inObjective + r.inObjective, sum.late + r.late, sum.refused + r.refused}
		}
		return sum
	}
	without, with := simulate(false), simulate(true)
	t.Logf("within the objective: time since the last attempt only %.3f (%d late, %d refused), with the wait before it %.3f (%d late, %d refused)",
		without.objectiveShare(), without.late, without.refused, with.objectiveShare(), with.late, with.refused)
	assert.Assert(t, with.objectiveShare() > without.objectiveShare()+0.05)
	assert.Assert(t, with.refused < without.calls*4/10)
}

// In a burst, calls that wait can use up the health checks, so that the calls after them
// are sent to random servers.
func TestWaitingCallsLeaveHealthChecksToOthers(t *testing.T) {
	simulate := func(reserveChecks bool) tally {
		w := newSimulation(3)
		w.checksPerSecond, w.reserveChecks = 42*float64(len(w.servers)), reserveChecks
		return w.run(160, simulatedTime, w.placeByHealth)
	}
	without, with := simulate(false), simulate(true)
	t.Logf("within the objective: no health checks reserved %.3f (%d late, %d refused), some reserved %.3f (%d late, %d refused)",
		without.objectiveShare(), without.late, without.refused, with.objectiveShare(), with.late, with.refused)
	assert.Assert(t, with.objectiveShare() > without.objectiveShare()+0.2)
}

// Two kinds of callers have different timeouts, and some retry with the time that is left.
// A retry must not be taken for a first attempt, nor a first attempt for a retry.
func TestWaitBeforeRetryIsInferred(t *testing.T) {
	c := NewWaitEstimator()
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for i := range 200 {
		assert.Equal(t, c.Observe(ms(500-i%4)), time.Duration(0), "first attempts, some on a new connection")
		assert.Equal(t, c.Observe(ms(1200)), time.Duration(0), "first attempts of another kind of caller")
		if i%3 == 0 {
			c.Observe(ms(280 + (i*37)%120))
		}
	}
	assertNear := func(got, want time.Duration) { t.Helper(); assert.Assert(t, (got-want).Abs() < ms(50), "%s", got) }
	assertNear(c.Observe(ms(350)), ms(150))
	assertNear(c.Observe(ms(900)), ms(300))
	assert.Equal(t, c.Observe(ms(5000)), time.Duration(0), "longer than any typical time")
	assert.Equal(t, c.Observe(0), time.Duration(0))
	assert.Equal(t, NewWaitEstimator().Observe(ms(350)), time.Duration(0), "no samples yet")
}

// Callers get a shorter timeout by a new configuration. While the old one counts as
// typical, their first attempts are taken for retries.
func TestOldTypicalTimesAreForgotten(t *testing.T) {
	c := NewWaitEstimator()
	for range 1000 {
		c.Observe(time.Second)
	}
	assert.Assert(t, c.Observe(400*time.Millisecond) > 0)
	for range 1000 {
		c.Observe(400 * time.Millisecond)
	}
	assert.Equal(t, c.Observe(400*time.Millisecond), time.Duration(0))
	assert.Assert(t, len(c.counts) < 10)
}

// The servers of the local data centre are full while a remote one is idle: calls must go
// there, but not for a gain that is smaller than the cost of remote traffic.
func TestRemoteServerIsUsedWhenLocalOnesAreFull(t *testing.T) {
	d := Demand{ServiceTime: 100 * time.Millisecond, CrowdedFactor: 1, TrafficCost: 0.1, Objective: 400 * time.Millisecond, TimeLeft: time.Second}
	full := Candidate{Running: 6, Waiting: 3, Slots: 6, Slowness: 1}
	far := Candidate{Slots: 6, Slowness: 1, Remote: true}
	assert.Equal(t, Best([]Candidate{full, far}, d), 1)
	near := Candidate{Running: 3, Slots: 6, Slowness: 1.2}
	assert.Equal(t, Best([]Candidate{near, far}, d), 0, "20 ms are worth less than the remote traffic")
}

// New servers are slow at first, and some servers fail a part of their calls. Both are
// idle and must not attract calls because of that.
func TestColdAndFailingServersComeLast(t *testing.T) {
	d := Demand{ServiceTime: 100 * time.Millisecond, CrowdedFactor: 1, Objective: 400 * time.Millisecond, TimeLeft: time.Second}
	warm := Candidate{Running: 4, Slots: 6, Slowness: 1}
	cold := Candidate{Slots: 6, Slowness: 2}
	failing := Candidate{Slots: 6, Slowness: 1, FailureRate: 0.4}
	assert.Equal(t, Best([]Candidate{cold, failing, warm}, d), 2)
	assert.Assert(t, !failing.Good(d))
}

// Servers are full or slow: a call waits for a better server while that may help, and is
// refused if no server can answer before the deadline.
func TestDecide(t *testing.T) {
	d := Demand{ServiceTime: 100 * time.Millisecond, CrowdedFactor: 1.5, Objective: 300 * time.Millisecond, TimeLeft: 900 * time.Millisecond}
	slow := Candidate{Slots: 3, Slowness: 7}
	full := Candidate{Running: 3, Waiting: 6, Slots: 3, Slowness: 1}
	cases := []struct {
		name string
		c    *Candidate
		held time.Duration
		want Decision
	}{
		{"a free fast server", &Candidate{Slots: 3, Slowness: 1}, 0, Send},
		{"a short queue within the objective", &Candidate{Running: 3, Slots: 3, Slowness: 1}, 0, Send},
		{"a free slow server at first", &slow, 0, Wait},
		{"a free slow server after a while", &slow, 200 * time.Millisecond, Send},
		{"a full server at first", &full, 0, Wait},
		{"a full server after a while", &full, 200 * time.Millisecond, Refuse},
		{"no server at first", nil, 0, Wait},
		{"no server after a while", nil, 200 * time.Millisecond, Refuse},
	}
	for _, c := range cases {
		assert.Equal(t, Decide(c.c, d, c.held, 300*time.Millisecond), c.want, c.name)
	}
	missesObjective := d
	missesObjective.Objective = 50 * time.Millisecond
	assert.Equal(t, Decide(&Candidate{Slots: 3, Slowness: 1, FailureRate: 0.5}, missesObjective, 0, 300*time.Millisecond), Send, "a call that misses its objective gains nothing by waiting")
	assert.Equal(t, Decide(&Candidate{Running: 3, Slots: 3, Slowness: 1}, missesObjective, 0, 300*time.Millisecond), Wait, "a call that misses its objective leaves queue places to others")
	late := d
	late.TimeLeft = 500 * time.Millisecond
	assert.Equal(t, Decide(&slow, late, 200*time.Millisecond, 300*time.Millisecond), Refuse, "an answer after the deadline is worth nothing")
}

// Callers that were refused together would cause the next burst if they retried together.
func TestRefusedCallersDoNotRetryTogether(t *testing.T) {
	late := Demand{ServiceTime: 100 * time.Millisecond, Objective: time.Millisecond, TimeLeft: time.Second}
	var delays []time.Duration
	for range 200 {
		delays = append(delays, RetryAfter(NoRoom, late))
	}
	slices.Sort(delays)
	assert.Assert(t, delays[180]-delays[20] > 100*time.Millisecond)
	assert.Assert(t, delays[199] <= time.Second/3, "callers wait for a third of their time left at most")
	late.TimeLeft = -time.Second
	assert.Equal(t, RetryAfter(NoRoom, late), time.Duration(0))
}

// Guards against delays that are longer than what a caller can spare: one that could have been
// answered within its objective comes back when it can't. A caller that a server turned away
// by chance gains nothing by waiting.
func TestRefusedCallersComeBackWithinTheirObjective(t *testing.T) {
	d := Demand{ServiceTime: 60 * time.Millisecond, Objective: 150 * time.Millisecond, TimeLeft: 1400 * time.Millisecond}
	var full, turnedAway time.Duration
	for range 200 {
		delay := RetryAfter(NoRoom, d)
		assert.Assert(t, delay > 0 && delay < (d.Objective-d.ServiceTime)*2/3, "%s", delay)
		full, turnedAway = full+delay, turnedAway+RetryAfter(TurnedAway, d)
	}
	assert.Assert(t, turnedAway < full/2)
	d.Objective = d.ServiceTime
	assert.Assert(t, RetryAfter(TurnedAway, d) > 100*time.Millisecond, "its answer is late in any case; others go first")
}

// The load: servers turn away half of all calls by chance, and callers that are told so come
// back once. Guards against extra sends that are spent on first attempts, so that callers that
// have come back are refused for good.
func TestCallersThatCameBackHaveExtraSendsLeft(t *testing.T) {
	const refusedShare, perSecond = 0.55, 100
	now := time.Unix(1000, 0)
	b := NewRetryBudget(0.2, 10*time.Second, 1, now.Add(-time.Minute))
	rng := rand.New(rand.NewPCG(7, 1)) //nolint:gosec // a seed for tests
	attempt := func(cameBack bool) bool {
		b.CountCall(now)
		for rng.Float64() < refusedShare {
			if !b.Take(0, cameBack, now) {
				return false
			}
		}
		return true
	}
	calls, served, alone := 0, 0, 0
	for range 30 * perSecond {
		now = now.Add(time.Second / perSecond)
		calls++
		if rng.Float64() >= refusedShare*refusedShare { // two attempts without extra sends
			alone++
		}
		if attempt(false) || attempt(true) {
			served++
		}
	}
	t.Logf("served %d of %d, %d without extra sends", served, calls, alone)
	assert.Assert(t, served > calls*80/100)
}

// Guards against first attempts and retries that are confused when callers come back within a
// few per cent of their time.
func TestSoonRetryIsToldFromAFirstAttempt(t *testing.T) {
	c := NewWaitEstimator()
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for i := range 400 {
		first := 1500
		if i%3 == 0 {
			first -= 7 // on a new connection
		}
		assert.Equal(t, c.Observe(ms(first)), time.Duration(0))
		if i%2 == 0 {
			c.Observe(ms(1500 - 25 - (i*13)%40))
		}
	}
	assert.Equal(t, c.Observe(ms(1460)), ms(33), "since the nearest typical time")
}

func newWaiter(priority int, until time.Time) *Waiter {
	return &Waiter{Priority: priority, LatestStart: until, Turn: make(chan struct{}, 1)}
}

// Calls of two priorities wait for one service, and one can no longer meet its objective.
// It must not take a slot from those that can.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var q Queue
	late, lowPriority, laterStart, earlierStart := newWaiter(1, in(-1)), newWaiter(2, in(10)), newWaiter(1, in(90)), newWaiter(1, in(50))
	for _, w := range []*Waiter{late, lowPriority, laterStart, earlierStart} {
		q.Add(w, now)
	}
	for _, want := range []*Waiter{earlierStart, laterStart, lowPriority, late} {
		assert.Assert(t, q.Pop() == want)
		assert.Assert(t, !want.Queued())
	}
	assert.Assert(t, q.Pop() == nil)
}

// A call that becomes the first, by arrival or by removal of another, must be signalled,
// or it waits while a slot is free.
func TestFirstInTheQueueIsSignalled(t *testing.T) {
	now := time.Unix(1000, 0)
	var q Queue
	a, b := newWaiter(1, now.Add(time.Second)), newWaiter(1, now.Add(2*time.Second))
	q.Add(b, now)
	assert.Equal(t, len(b.Turn), 1)
	q.Add(a, now)
	assert.Equal(t, len(a.Turn), 1, "a more urgent call passes the first")
	<-b.Turn
	q.Remove(a, now)
	assert.Equal(t, len(b.Turn), 1)
	q.Remove(a, now) // no longer there
	assert.Equal(t, q.Len(), 1)
}

// Extra sends come at any rate, also at the bounds of steps, where an error in the window
// lets too many through.
func TestRetriesStayWithinTheRatioInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, slack = 10 * time.Second, 3.0
		b := NewRetryBudget(0.2, window, 1, time.Time{})
		now := time.Unix(1000, 0)
		type send struct {
			when  time.Time
			extra bool
		}
		var sends []send
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			b.CountCall(now)
			sends = append(sends, send{now, false})
			for rapid.Bool().Draw(t, "again") && b.Take(slack, true, now) {
				sends = append(sends, send{now, true})
			}
		}
		for i := range sends {
			calls, extra := 0, 0
			for _, e := range sends[:i+1] {
				switch age := sends[i].when.Sub(e.when); {
				case age >= window+window/5:
				case !e.extra:
					calls++
				case age < window:
					extra++
				}
			}
			if float64(extra) > 0.2*float64(calls)+slack {
				t.Fatalf("%d extra sends for %d calls exceed the budget", extra, calls)
			}
		}
	})
}

// Calls need four times as many health checks as the rate allows, over 100 s.
func TestHealthChecksStayWithinTheirRate(t *testing.T) {
	var r TokenBucket
	now, taken := time.Unix(1000, 0), 0
	for range 10_000 { // 100 s
		now = now.Add(10 * time.Millisecond)
		if r.Take(2, 50, now) {
			taken += 2
		}
	}
	assert.Assert(t, taken <= 50*100+50*initialSeconds, "%d", taken)
	assert.Assert(t, taken >= 50*99, "%d", taken)
	assert.Assert(t, !r.HasSpare(50, now))
	assert.Assert(t, r.RunningLow(50, now))
	assert.Assert(t, !r.RunningLow(50, now.Add(time.Second)))
	assert.Assert(t, r.HasSpare(50, now.Add(10*time.Second)))
}

// A server hangs during a call. The hedge must come early enough to meet the objective,
// and must not go to a server that is slow or full.
func TestOverdueCallIsHedgedWithinTheObjective(t *testing.T) {
	d := Demand{ServiceTime: 60 * time.Millisecond, CrowdedFactor: 1.7, Spread: 0.3, Objective: 200 * time.Millisecond, TimeLeft: 500 * time.Millisecond}
	c := Candidate{Slots: 3, Slowness: 1}
	assert.Assert(t, HedgeDelay(c, d)+d.ServiceTime <= d.Objective)
	assert.Assert(t, HedgeDelay(c, d) > time.Duration(1.3*float64(d.ServiceTime)))
	assert.Assert(t, ShouldHedge(Candidate{Running: 1, Slots: 3, Slowness: 1}, d))
	assert.Assert(t, !ShouldHedge(Candidate{Running: 3, Slots: 3, Slowness: 1}, d), "no free slot")
	assert.Assert(t, !ShouldHedge(Candidate{Slots: 3, Slowness: 7}, d), "slow server")
}

// Run times differ by a third although no server is in trouble. A hedge of a call that only
// takes longer than others ends a connection and gains nothing; a hung call must be hedged
// in time where the objective allows it.
func TestCallsThatOnlyTakeLongerAreNotHedged(t *testing.T) {
	const maxUseless = 0.03
	for _, route := range []struct {
		service, objective time.Duration
		hedgeInTime        bool
	}{
		{60 * time.Millisecond, 200 * time.Millisecond, true},
		{110 * time.Millisecond, 300 * time.Millisecond, true},
		{150 * time.Millisecond, 400 * time.Millisecond, true},
		{530 * time.Millisecond, 1200 * time.Millisecond, false},
		{1300 * time.Millisecond, 3000 * time.Millisecond, false},
	} {
		rng := rand.New(rand.NewPCG(4, uint64(route.service)))
		estimator := NewServiceTimeEstimator(route.objective)
		idle := Candidate{Slots: 6, Slowness: 1}
		hedged, inTime := 0, 0
		const calls = 4000
		for i := range calls + 100 {
			took := time.Duration(float64(route.service) * max(0.1, 1+0.3*rng.NormFloat64()))
			serviceTime, crowded := estimator.Estimate()
			d := Demand{ServiceTime: serviceTime, CrowdedFactor: crowded, Spread: estimator.Spread(), Objective: route.objective, TimeLeft: 3 * route.objective}
			delay := HedgeDelay(idle, d)
			estimator.Observe(took, idle)
			if i < 100 {
				continue // the estimates settle
			}
			if took > delay {
				hedged++
			}
			if delay+serviceTime <= route.objective {
				inTime++
			}
		}
		t.Logf("%s of %s: %.3f hedged", route.service, route.objective, float64(hedged)/calls)
		assert.Assert(t, float64(hedged)/calls <= maxUseless, "%s: %d of %d calls hedged", route.service, hedged, calls)
		assert.Equal(t, inTime > calls/2, route.hedgeInTime, route.service.String())
	}
}

// Slow and nearly full servers run calls for longer. Neither may change the estimate of the
// service time at a server of usual speed.
func TestServiceTimeExcludesSlowAndCrowdedServers(t *testing.T) {
	w := NewServiceTimeEstimator(400 * time.Millisecond)
	for range 200 {
		w.Observe(60*time.Millisecond, Candidate{Slots: 3, Slowness: 1})
		w.Observe(420*time.Millisecond, Candidate{Running: 1, Slots: 3, Slowness: 7})
		w.Observe(100*time.Millisecond, Candidate{Running: 2, Slots: 3, Slowness: 1})
	}
	serviceTime, crowdedFactor := w.Estimate()
	assert.Assert(t, serviceTime > 57*time.Millisecond && serviceTime < 63*time.Millisecond, "%s", serviceTime)
	assert.Assert(t, crowdedFactor > 1.5 && crowdedFactor < 1.8, "%f", crowdedFactor)
}

// A slow server must not be ranked by a load that is out of date, but a failing server is
// ranked last, however old its load is.
func TestServersAreRankedByRecentLoad(t *testing.T) {
	d := Demand{ServiceTime: 60 * time.Millisecond, CrowdedFactor: 1, Objective: 200 * time.Millisecond, TimeLeft: 500 * time.Millisecond}
	good, slow := Candidate{Slots: 3, Slowness: 1}, Candidate{Slots: 3, Slowness: 7}
	assert.Equal(t, RankServer(good, time.Millisecond, d), RankGood)
	assert.Equal(t, RankServer(slow, time.Millisecond, d), RankPoor)
	assert.Equal(t, RankServer(slow, time.Second, d), RankUnknown)
	assert.Equal(t, RankServer(Candidate{Slots: 3, Slowness: 1, FailureRate: 0.5}, time.Second, d), RankPoor)
}

// Each of several hundred entries sees a few calls a second and is allowed a handful of
// extra sends in a window. Rounded down in each of them, a large part of what the fleet may
// send is never used while servers reject half of the calls.
func TestFleetUsesItsRetryBudgetWhole(t *testing.T) {
	const (
		window           = 10 * time.Second
		ratio, slack     = 0.2, 630.0
		interval         = 861 * time.Microsecond // 1,161 calls a second
		minUsed, maxUsed = 0.98, 1.0
	)
	for _, entries := range []int{17, 124, 472, 1738} {
		rng := rand.New(rand.NewPCG(6, uint64(entries)))
		budgets := make([]*RetryBudget, entries)
		for i := range budgets {
			budgets[i] = NewRetryBudget(ratio, window, 1-rng.Float64(), time.Time{})
		}
		start := time.Unix(1000, 0)
		calls, extra := 0, 0
		for at := time.Duration(0); at < window; at += interval {
			b, now := budgets[rng.IntN(entries)], start.Add(at)
			b.CountCall(now)
			calls++
			for range 2 { // half of the calls are rejected, again and again
				if rng.IntN(2) == 0 && b.Take(slack/float64(entries), true, now) {
					extra++
				}
			}
		}
		for _, b := range budgets {
			for b.Take(slack/float64(entries), true, start.Add(window)) {
				extra++
			}
		}
		usable := usableRatioShare*ratio*float64(calls) + slack
		t.Logf("%d entries: %d extra sends of %.0f", entries, extra, usable)
		assert.Assert(t, float64(extra) >= minUsed*usable, "%d entries: %d extra sends of %.0f", entries, extra, usable)
		assert.Assert(t, float64(extra) <= maxUsed*(ratio*float64(calls)+slack), "%d entries: %d extra sends", entries, extra)
	}
}

// All servers of the own data centre fail some of their calls. A server elsewhere of which
// nothing bad is known looks better, but calls to it cost more than to check more local ones.
func TestFailingLocalServersDoNotSendCallsAway(t *testing.T) {
	d := Demand{ServiceTime: 100 * time.Millisecond, CrowdedFactor: 1, TrafficCost: 0.1, MayWait: true, Objective: 300 * time.Millisecond, TimeLeft: time.Second}
	x := NewCrossing()
	assert.Assert(t, !x.Pays(Candidate{Running: 2, Slots: 6, Slowness: 1, FailureRate: 0.5}, d))
	assert.Assert(t, !x.Pays(Candidate{Running: 2, Slots: 6, Slowness: 2}, d))
	assert.Assert(t, x.Pays(Candidate{Running: 2, Slots: 6, Slowness: 7}, d), "all local servers are slow")
	assert.Assert(t, x.Pays(Candidate{Running: 6, Waiting: 1, Slots: 6, Slowness: 1}, d))
}

// Servers of unknown load to which a connection is idle go before good ones without, and
// poor servers come last whatever the connections.
func TestIdleConnectionsDecideTheOrderOfChecks(t *testing.T) {
	order := []int{
		CheckOrder(RankGood, true), CheckOrder(RankUnknown, true), CheckOrder(RankGood, false),
		CheckOrder(RankUnknown, false), CheckOrder(RankPoor, true), CheckOrder(RankPoor, false),
	}
	assert.Assert(t, slices.IsSorted(order), "%v", order)
	assert.Equal(t, len(slices.Compact(order)), len(order))
}
