package retry

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestBudgetNeverExceedsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perCall := rapid.Float64Range(0, 0.5).Draw(t, "perCall")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		b := NewBudget(perCall, burst, burst)
		calls, taken := 0, 0
		for _, call := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "events") {
			if call {
				calls++
				b.RecordCall()
				continue
			}
			if b.Take() {
				taken++
			}
		}
		assert.Assert(t, float64(taken) <= burst+perCall*float64(calls)+1e-6)
	})
}

func TestDelayFindsTheQuantile(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	d := NewHedgeDelay()
	var sum float64
	const n = 20_000
	for i := range 2 * n {
		d.Observe(time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond)))
		if i >= n {
			sum += float64(d.Estimate())
		}
	}
	want := -math.Log(1-hedgeQuantile) * float64(10*time.Millisecond)
	got := sum / n
	assert.Assert(t, math.Abs(got-want) < 0.15*want, "%v instead of %v", time.Duration(got), time.Duration(want))
}
