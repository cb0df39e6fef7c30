package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// coldSends returns when the gateways of a fleet send to one cold server over a time, if each
// always has requests for it. Half of them are in the server's data centre. Each gateway begins
// at the moment that starts returns.
func coldSends(r *rand.Rand, rule ColdRule, gateways int, length time.Duration, starts func(i int) time.Duration) []time.Duration {
	begin := time.Unix(1_700_000_000, r.Int64N(1e9))
	local := (gateways + 1) / 2
	turns := make([]ColdTurns, gateways)
	for i := range turns {
		turns[i].Phase = r.Float64()
	}
	var sends []time.Duration
	for at := time.Duration(0); at < length; at += 5 * time.Millisecond {
		for i := range turns {
			s := ColdSharers{Local: i < local, Gateways: local}
			if !s.Local {
				s.Gateways = gateways - local
			}
			if at >= starts(i) && turns[i].Take(rule, s, begin.Add(at)) {
				sends = append(sends, at)
			}
		}
	}
	return sends
}

// mostInASecond returns the largest number of sends in any second.
func mostInASecond(sends []time.Duration) int {
	most, first := 0, 0
	for i, at := range sends {
		for at-sends[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

var testColdRule = ColdRule{Rate: 7.4, Overage: 1.5, Slack: 8}

// The load: the servers of a data centre come back cold, and each gateway of the fleet has
// requests for one of them all the time. Guards against gateways that each keep to their part
// on average and together crash the server in a second in which many of them send: in any
// second the server may get 19 requests.
func TestFleetThatMeetsAColdServer(t *testing.T) {
	bound := int(testColdRule.bound())
	for _, gateways := range []int{1, 2, 5, 17, 93, 300} {
		for seed := range uint64(8) {
			r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a seed for tests
			sends := coldSends(r, testColdRule, gateways, 60*time.Second, func(int) time.Duration { return 0 })
			assert.Assert(t, mostInASecond(sends) <= bound, "%d gateways, seed %d: %d in a second, %d allowed", gateways, seed, mostInASecond(sends), bound)
		}
	}
}

// The load: gateways hear of the cold server one after the other, or all at the same moment
// after they have sent nothing for long. Guards against parts that are saved up.
func TestFleetThatHearsOfAColdServerAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 300).Draw(t, "gateways")
		at := rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "moment")
		apart := rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "apart")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)) //nolint:gosec // a seed for tests
		sends := coldSends(r, testColdRule, gateways, 30*time.Second, func(i int) time.Duration { return time.Duration(at + int64(i)*apart) })
		assert.Assert(t, mostInASecond(sends) <= int(testColdRule.bound()), "%d in a second", mostInASecond(sends))
	})
}

// Guards against a bound that leaves a cold server idle: of the rate that the gateways are
// given together they use nearly all if they have requests.
func TestColdServerGetsTheRequestsThatItMay(t *testing.T) {
	allowed := min(testColdRule.Rate, coldBoundShare*testColdRule.bound())
	for _, gateways := range []int{2, 20, 200} {
		r := rand.New(rand.NewPCG(2, 1)) //nolint:gosec // a seed for tests
		const length = 120 * time.Second
		rate := float64(len(coldSends(r, testColdRule, gateways, length, func(int) time.Duration { return 0 }))) / length.Seconds()
		assert.Assert(t, rate > 0.9*allowed && rate < 1.1*allowed, "%d gateways: %.2f a second of %.2f", gateways, rate, allowed)
	}
}

// Guards against a second request in the same turn after the time of day was set back.
func TestTurnIsNotUsedAgainAfterTheClockWasSetBack(t *testing.T) {
	sharers := ColdSharers{Local: true, Gateways: 50}
	period := testColdRule.period(sharers)
	turns := ColdTurns{}
	at := time.Unix(1_700_000_000, 0)
	for !turns.Take(testColdRule, sharers, at) {
		at = at.Add(10 * time.Millisecond)
	}
	assert.Assert(t, !turns.Open(testColdRule, sharers, at.Add(-3*period)))
	assert.Assert(t, !turns.Open(testColdRule, sharers, at.Add(50*time.Millisecond)))
	assert.Assert(t, turns.Open(testColdRule, sharers, at.Add(period)))
}

func TestServersWithoutABoundAreNotLimited(t *testing.T) {
	for _, rule := range []ColdRule{{}, {Rate: 7}, {Overage: 1.5, Slack: 8}} {
		assert.Assert(t, !rule.Limited(), fmt.Sprint(rule))
	}
	assert.Assert(t, testColdRule.Limited())
}
