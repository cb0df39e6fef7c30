package placement

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const day = 20 * time.Second

// Load: a third of the servers run seven times slower, drawn again every half second.
func TestThirdOfTheServersSlowForHalfASecond(t *testing.T) {
	before := newWorld(1)
	before.result = before.run(60, day, before.twoChoices)
	after := newWorld(1)
	after.result = after.run(60, day, after.policy)
	t.Logf("in aim: two choices %.3f, asking first %.3f", before.result.share(), after.result.share())
	assert.Assert(t, after.result.share() > 0.97)
	assert.Assert(t, before.result.share() < 0.85)
}

// Load: a burst of 1.7 times what servers with three slots can do.
func TestBurstOnServersWithThreeSlots(t *testing.T) {
	before := newWorld(2)
	before.result = before.run(350, 5*time.Second, before.twoChoices)
	after := newWorld(2)
	after.result = after.run(350, 5*time.Second, after.policy)
	t.Logf("in aim: two choices %.3f, with refusals %.3f (%d of %d refused)", before.result.share(), after.result.share(), after.result.refused, after.result.asked)
	assert.Assert(t, after.result.share() > 2*before.result.share())
	assert.Assert(t, after.result.late < after.result.asked/10, "servers must not be busy with late answers")
}

// Load: a burst with refused callers that retry when the objective can no longer be
// met.
func TestCallersThatCameBackLeaveSlotsToThoseStillInTime(t *testing.T) {
	play := func(known bool) (sum tally) {
		for seed := range uint64(5) {
			w := newWorld(10 + seed)
			w.comeBack, w.known = true, known
			r := w.run(220, day, w.policy)
			sum = tally{sum.asked + r.asked, sum.inAim + r.inAim, sum.late + r.late, sum.refused + r.refused}
		}
		return sum
	}
	before, after := play(false), play(true)
	t.Logf("in aim: own time only %.3f (%d late, %d refused), with the time waited before %.3f (%d late, %d refused)",
		before.share(), before.late, before.refused, after.share(), after.late, after.refused)
	assert.Assert(t, after.share() > before.share()+0.05)
	assert.Assert(t, after.refused < before.asked*4/10)
}

// Load: a burst in which calls that wait would use up the health checks, so that those
// behind them are sent blindly.
func TestWaitingCallsLeaveHealthChecksToOthers(t *testing.T) {
	play := func(sparing bool) tally {
		w := newWorld(3)
		w.checks, w.sparing = 42*float64(len(w.servers)), sparing
		return w.run(160, day, w.policy)
	}
	before, after := play(false), play(true)
	t.Logf("in aim: asking while there are health checks %.3f (%d late, %d refused), sparing them %.3f (%d late, %d refused)",
		before.share(), before.late, before.refused, after.share(), after.late, after.refused)
	assert.Assert(t, after.share() > before.share()+0.2)
}

// Load: callers with two usual times, of whom some come back with what is left.
func TestTimeWaitedBeforeIsInferred(t *testing.T) {
	c := NewWaitEstimator()
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for i := range 200 {
		assert.Equal(t, c.Observe(ms(500-i%4)), time.Duration(0), "first calls, some on a new connection")
		assert.Equal(t, c.Observe(ms(1200)), time.Duration(0), "of another kind of caller")
		if i%3 == 0 {
			c.Observe(ms(280 + (i*37)%120))
		}
	}
	near := func(got, want time.Duration) { t.Helper(); assert.Assert(t, (got-want).Abs() < ms(50), "%s", got) }
	near(c.Observe(ms(350)), ms(150))
	near(c.Observe(ms(900)), ms(300))
	assert.Equal(t, c.Observe(ms(5000)), time.Duration(0), "more than is usual")
	assert.Equal(t, c.Observe(0), time.Duration(0))
	assert.Equal(t, NewWaitEstimator().Observe(ms(350)), time.Duration(0), "nothing is known yet")
}

// Load: a new configuration after which callers wait less long.
func TestUsualTimesAreForgotten(t *testing.T) {
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

// Load: all servers of the near data centre are full while a far one is idle.
func TestFarDataCentreIdleWhileTheNearOneIsFull(t *testing.T) {
	d := Demand{ServiceTime: 100 * time.Millisecond, CrowdedFactor: 1, Objective: 400 * time.Millisecond, TimeLeft: time.Second}
	full := Candidate{Running: 6, Waiting: 3, Slots: 6, Slowness: 1}
	far := Candidate{Slots: 6, Slowness: 1, Remote: true}
	assert.Equal(t, Best([]Candidate{full, far}, d), 1)
	near := Candidate{Running: 3, Slots: 6, Slowness: 1.2}
	assert.Equal(t, Best([]Candidate{near, far}, d), 0, "bytes between data centres are not worth 20 ms")
}

// Load: servers are added that are cold, and others fail a part of their calls.
func TestColdAndFailingServersComeLast(t *testing.T) {
	d := Demand{ServiceTime: 100 * time.Millisecond, CrowdedFactor: 1, Objective: 400 * time.Millisecond, TimeLeft: time.Second}
	warm := Candidate{Running: 4, Slots: 6, Slowness: 1}
	cold := Candidate{Slots: 6, Slowness: 2}
	failing := Candidate{Slots: 6, Slowness: 1, FailureRate: 0.4}
	assert.Equal(t, Best([]Candidate{cold, failing, warm}, d), 2)
	assert.Assert(t, !failing.Good(d))
}

// Load: full and slow servers.
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
	behind := d
	behind.Objective = 50 * time.Millisecond
	assert.Equal(t, Decide(&Candidate{Slots: 3, Slowness: 1, FailureRate: 0.5}, behind, 0, 300*time.Millisecond), Send, "waiting makes a late call no better")
	assert.Equal(t, Decide(&Candidate{Running: 3, Slots: 3, Slowness: 1}, behind, 0, 300*time.Millisecond), Wait, "a late call leaves queues to others")
	late := d
	late.TimeLeft = 500 * time.Millisecond
	assert.Equal(t, Decide(&slow, late, 200*time.Millisecond, 300*time.Millisecond), Refuse, "an answer after the deadline helps no one")
}

// Load: clients that were refused together.
func TestRefusedCallersDoNotComeBackTogether(t *testing.T) {
	var delays []time.Duration
	for range 200 {
		delays = append(delays, RetryAfter(time.Second))
	}
	slices.Sort(delays)
	assert.Assert(t, delays[180]-delays[20] > 100*time.Millisecond)
	assert.Assert(t, delays[199] <= time.Second/3, "callers wait a third of their time at most")
	assert.Equal(t, RetryAfter(-time.Second), time.Duration(0))
}

func waiter(priority int, until time.Time) *Waiter {
	return &Waiter{Priority: priority, LatestStart: until, Turn: make(chan struct{}, 1)}
}

// Load: calls of two priorities wait for one service, and some are already late.
func TestShortageServesTheUrgentAndTheTimelyFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var q Queue
	late, casual, urgent, sooner := waiter(1, in(-1)), waiter(2, in(10)), waiter(1, in(90)), waiter(1, in(50))
	for _, w := range []*Waiter{late, casual, urgent, sooner} {
		q.Add(w, now)
	}
	for _, want := range []*Waiter{sooner, urgent, casual, late} {
		assert.Assert(t, q.Pop() == want)
		assert.Assert(t, !want.Queued())
	}
	assert.Assert(t, q.Pop() == nil)
}

func TestFirstInTheQueueGetsItsTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	var q Queue
	a, b := waiter(1, now.Add(time.Second)), waiter(1, now.Add(2*time.Second))
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

// Load: retries and rejected sends of all kinds, at any pace.
func TestRetriesStayWithinTheRatioInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, slack = 10 * time.Second, 3.0
		b := NewRetryBudget(0.2, window)
		now := time.Unix(1000, 0)
		type at struct {
			when  time.Time
			extra bool
		}
		var log []at
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			b.CountCall(now)
			log = append(log, at{now, false})
			for rapid.Bool().Draw(t, "again") && b.Take(slack, now) {
				log = append(log, at{now, true})
			}
		}
		for i := range log {
			calls, extra := 0, 0
			for _, e := range log[:i+1] {
				switch age := log[i].when.Sub(e.when); {
				case age >= window+window/5:
				case !e.extra:
					calls++
				case age < window:
					extra++
				}
			}
			if float64(extra) > 0.2*float64(calls)+slack {
				t.Fatalf("%d extra sends beside %d calls", extra, calls)
			}
		}
	})
}

// Load: more calls than health checks allow.
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

// Load: one server hangs in the middle of a call.
func TestOverdueCallIsSentOnWhileItCanBeInTime(t *testing.T) {
	d := Demand{ServiceTime: 60 * time.Millisecond, CrowdedFactor: 1.7, Objective: 200 * time.Millisecond, TimeLeft: 500 * time.Millisecond}
	c := Candidate{Slots: 3, Slowness: 1}
	assert.Assert(t, HedgeDelay(c, d)+d.ServiceTime <= d.Objective)
	assert.Assert(t, HedgeDelay(c, d) > time.Duration(minHedgeFactor*float64(d.ServiceTime)))
	assert.Assert(t, ShouldHedge(Candidate{Running: 1, Slots: 3, Slowness: 1}, d))
	assert.Assert(t, !ShouldHedge(Candidate{Running: 3, Slots: 3, Slowness: 1}, d), "others need the slots")
	assert.Assert(t, !ShouldHedge(Candidate{Slots: 3, Slowness: 7}, d), "slow as well")
}

func TestWorkLearnsHowLongCallsRun(t *testing.T) {
	w := NewServiceTimeEstimator(400 * time.Millisecond)
	for range 200 {
		w.Observe(60*time.Millisecond, Candidate{Slots: 3, Slowness: 1})
		w.Observe(420*time.Millisecond, Candidate{Running: 1, Slots: 3, Slowness: 7})
		w.Observe(100*time.Millisecond, Candidate{Running: 2, Slots: 3, Slowness: 1})
	}
	usual, crowding := w.Estimate()
	assert.Assert(t, usual > 57*time.Millisecond && usual < 63*time.Millisecond, "%s", usual)
	assert.Assert(t, crowding > 1.5 && crowding < 1.8, "%f", crowding)
}

func TestServersAreAskedByWhatWasSeenLately(t *testing.T) {
	d := Demand{ServiceTime: 60 * time.Millisecond, CrowdedFactor: 1, Objective: 200 * time.Millisecond, TimeLeft: 500 * time.Millisecond}
	good, slow := Candidate{Slots: 3, Slowness: 1}, Candidate{Slots: 3, Slowness: 7}
	assert.Equal(t, RankServer(good, time.Millisecond, d), RankGood)
	assert.Equal(t, RankServer(slow, time.Millisecond, d), RankPoor)
	assert.Equal(t, RankServer(slow, time.Second, d), RankUnknown)
	assert.Equal(t, RankServer(Candidate{Slots: 3, Slowness: 1, FailureRate: 0.5}, time.Second, d), RankPoor)
}
