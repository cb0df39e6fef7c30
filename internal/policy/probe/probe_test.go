package probe

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Two probes must be at least 1/rate apart however often an entry calls Take, and a
// new schedule must not allow a probe at once: restarts would exceed the rate.
func TestScheduleStaysWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.001, 100).Draw(t, "rate")
		gap := time.Duration(float64(time.Second) / rate)
		var s Schedule
		now := time.Duration(0)
		last := now
		for _, wait := range rapid.SliceOfN(rapid.Int64Range(0, int64(gap)), 1, 200).Draw(t, "waits") {
			now += time.Duration(wait)
			if s.Take(now, rate, rapid.Float64Range(0, 0.999).Draw(t, "random")) {
				assert.Assert(t, now-last >= gap-1)
				last = now
			}
		}
	})
}

// All entries start at the same time and call Take continuously. In each span in
// which one entry may send one probe, all together must stay within the budget.
func TestFleetStaysWithinTheBudget(t *testing.T) {
	const entries, budget = 17, 0.5
	rng := rand.New(rand.NewPCG(1, 2))
	var schedules [entries]Schedule
	rate := Rate(budget, entries)
	span := time.Duration(float64(time.Second) / rate)
	sent := make(map[time.Duration]int)
	for now := time.Duration(0); now < 50*span; now += 100 * time.Millisecond {
		for e := range schedules {
			if schedules[e].Take(now, rate, rng.Float64()) {
				sent[now/span]++
			}
		}
	}
	for i, n := range sent {
		assert.Assert(t, n <= entries, "span %d has %d probes", i, n)
	}
}

func TestNoBudgetNoProbe(t *testing.T) {
	var s Schedule
	for now := time.Duration(0); now < time.Hour; now += time.Second {
		assert.Assert(t, !s.Take(now, 0, 0))
	}
}
