package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// slackPerEntry and minSlack give a fleet's slack by its size.
	slackPerEntry = 1.35
	minSlack      = 60.0
)

// budgetFleet plays the retry budgets of a fleet whose servers refuse every call from a
// moment on, each time it is sent.
type budgetFleet struct {
	rng            *rand.Rand
	budgets        []*RetryBudget
	ratio, slack   float64
	window         time.Duration
	calls, extra   []time.Duration // when they were sent, since the start of the load
	started, clock time.Time
}

func newBudgetFleet(entries int, seed uint64) *budgetFleet {
	f := &budgetFleet{
		rng: rand.New(rand.NewPCG(seed, uint64(entries))), budgets: make([]*RetryBudget, entries),
		ratio: 0.2, slack: max(minSlack, slackPerEntry*float64(entries)), window: 10 * time.Second, started: time.Unix(1000, 0),
	}
	f.clock = f.started
	for i := range f.budgets {
		f.restart(i, f.started.Add(-time.Hour))
	}
	return f
}

// restart replaces an entry's process by one that started at the given time.
func (f *budgetFleet) restart(i int, at time.Time) {
	f.budgets[i] = NewRetryBudget(f.ratio, f.window, 1-f.rng.Float64(), at)
}

// play sends calls at random entries until a time since the start of the load.
func (f *budgetFleet) play(until, interval time.Duration, refusing bool) {
	const attempts, usedSlack = 3, 0.7
	share := usedSlack * f.slack / float64(len(f.budgets))
	for ; f.clock.Sub(f.started) < until; f.clock = f.clock.Add(interval) {
		b, at := f.budgets[f.rng.IntN(len(f.budgets))], f.clock.Sub(f.started)
		b.CountCall(f.clock)
		f.calls = append(f.calls, at)
		for sends := 1; refusing && sends < attempts && b.Take(share, true, f.clock); sends++ {
			f.extra = append(f.extra, at)
		}
	}
}

func countIn(times []time.Duration, from, to time.Duration) (n int) {
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// worst returns the largest use of what the fleet is allowed in any window, as a share. The
// calls of a window are its own, those of the window before it or those of the one half a
// window before it, whichever are most.
func (f *budgetFleet) worst() (used float64) {
	for from := time.Duration(0); from < f.clock.Sub(f.started); from += f.window / 50 {
		calls := 0
		for _, back := range []time.Duration{0, f.window / 2, f.window} {
			calls = max(calls, countIn(f.calls, from-back, from-back+f.window))
		}
		used = max(used, float64(countIn(f.extra, from, from+f.window))/(f.ratio*float64(calls)+f.slack))
	}
	return used
}

// Guards against processes that spend the extra sends of a window once more because they
// don't know what the processes before them have spent.
func TestRestartsOfAFleetDoNotAddToItsRetryBudget(t *testing.T) {
	const refusingFrom, end = 12 * time.Second, 40 * time.Second
	all := func(f *budgetFleet) {
		for i := range f.budgets {
			f.restart(i, f.clock)
		}
	}
	for _, test := range []struct {
		name     string
		restarts []time.Duration // when restart is called
		restart  func(f *budgetFleet)
	}{
		{"all at once, just after the servers began to refuse", []time.Duration{14 * time.Second}, all},
		{"all at once, later", []time.Duration{23 * time.Second}, all},
		{"all, again and again", []time.Duration{14 * time.Second, 16 * time.Second, 18 * time.Second, 20 * time.Second}, all},
		{"each second a tenth", []time.Duration{14 * time.Second, 15 * time.Second, 16 * time.Second, 17 * time.Second, 18 * time.Second, 19 * time.Second}, func(f *budgetFleet) {
			for range len(f.budgets) / 10 {
				f.restart(f.rng.IntN(len(f.budgets)), f.clock)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, entries := range []int{3, 17, 103, 472} {
				for _, interval := range []time.Duration{time.Millisecond, 12 * time.Millisecond} {
					f := newBudgetFleet(entries, 7)
					f.play(refusingFrom, interval, false)
					for _, at := range test.restarts {
						f.play(at, interval, true)
						test.restart(f)
					}
					f.play(end, interval, true)
					t.Logf("%d entries, a call each %s: %.2f of the budget", entries, interval, f.worst())
					assert.Assert(t, f.worst() <= 1, "%d entries, a call each %s: %.2f of the budget", entries, interval, f.worst())
				}
			}
		})
	}
}

// Guards against a limit on new processes that outlasts the window of those before them: a
// fleet that has run for longer spends all that it may.
func TestFleetThatHasRunForAWindowUsesItsRetryBudgetWhole(t *testing.T) {
	const minUsed = 0.98
	f := newBudgetFleet(103, 8)
	for i := range f.budgets {
		f.restart(i, f.started)
	}
	f.play(11*time.Second, time.Millisecond, false)
	f.play(22*time.Second, time.Millisecond, true)
	calls := countIn(f.calls, 11*time.Second, 21*time.Second)
	usable := usableRatioShare*f.ratio*float64(calls) + 0.7*f.slack
	spent := countIn(f.extra, 11*time.Second, 21*time.Second)
	assert.Assert(t, float64(spent) >= minUsed*usable, "%d extra sends of %.0f", spent, usable)
}

// Guards against parts of a limit that each follow the chance number of calls at one entry:
// what an entry has spent at the peak of its calls stays spent when they become fewer.
func TestLargeFleetKeepsItsRetryBudgetWhileCallsFluctuate(t *testing.T) {
	for _, entries := range []int{17, 103, 472, 1738} {
		for _, interval := range []time.Duration{time.Millisecond, 12 * time.Millisecond} {
			for seed := range uint64(3) {
				f := newBudgetFleet(entries, seed)
				f.play(12*time.Second, interval, false)
				f.play(60*time.Second, interval, true)
				t.Logf("%d entries, a call each %s: %.2f of the budget", entries, interval, f.worst())
				assert.Check(t, f.worst() <= 1, "%d entries, a call each %s: %.2f of the budget", entries, interval, f.worst())
			}
		}
	}
}

// Guards against health checks that an entry was allowed while it knew few of the others, and
// that it sends when it knows them all.
func TestHealthChecksOfAnEntryThatKnewFewOthersAreDropped(t *testing.T) {
	const atFirst, whole = 2500.0, 25.0 // a second
	var r TokenBucket
	now := time.Unix(1000, 0)
	assert.Assert(t, r.Take(2, atFirst, now))
	now = now.Add(time.Second)
	allowed := 0
	for r.Take(1, whole, now) {
		allowed++
	}
	assert.Assert(t, float64(allowed) <= whole*(initialSeconds+1), "%d", allowed)
	assert.Assert(t, float64(allowed) >= whole*initialSeconds, "%d", allowed)
}
