// Package storm measures how attempts multiply when calls are several levels
// deep and a part of the servers fails fast.
package storm

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/baobabstack/baobabstack/bench/report"
	"github.com/baobabstack/baobabstack/internal/policy/pick"
	"github.com/baobabstack/baobabstack/internal/policy/retry"
)

// Measure is the benchmark of retries.
var Measure = report.Measure{Name: "storm", Run: measure}

const (
	levels      = 7
	entries     = 17
	servers     = 15
	slots       = 6
	failing     = servers / 3
	maxAttempts = 3
	callGap     = 200 * time.Microsecond
	maxRatio    = 1.2
	shortCalls  = 20_000
	fullCalls   = 200_000
)

// level is one service on the path of a call.
type level struct {
	states  [entries][servers]pick.State
	retries [entries]retry.Budget
}

// chain is the path of calls through all levels.
type chain struct {
	levels          [levels]level
	now             time.Duration
	rng             *rand.Rand
	blind           bool
	calls, attempts int
}

// end says how a call at a level ended.
type end int

const (
	answered end = iota
	rejected     // by the server, which did not start the call
	lost         // by a failure further down
)

func measure(ctx context.Context, o report.Options) ([]report.Line, error) {
	calls := fullCalls
	if o.Short {
		calls = shortCalls
	}
	product, good := ratio(calls, o.Seed, false)
	blind, blindGood := ratio(calls, o.Seed, true)
	return []report.Line{
		report.AtMost("storm/attempts", product, "per-call", maxRatio),
		report.Info("storm/goodput", good, "share"),
		report.Info("storm/blind-attempts", blind, "per-call"),
		report.Info("storm/blind-goodput", blindGood, "share"),
	}, ctx.Err()
}

// ratio returns the attempts at all levels for each call that is placed at a
// level when nothing is repeated, and the share of calls answered. Blind makes
// random choices and repeats whatever fails at every level.
func ratio(calls int, seed uint64, blind bool) (attempts, goodput float64) {
	c := &chain{rng: rand.New(rand.NewPCG(seed, 3)), blind: blind}
	for l := range c.levels {
		for e := range entries {
			c.levels[l].retries[e] = retry.NewRetryBudget()
			for s := range servers {
				c.levels[l].states[e][s] = pick.NewState(0)
			}
		}
	}
	good := 0
	for range calls {
		c.now += callGap
		if c.call(0) == answered {
			good++
		}
	}
	placed := float64(calls * levels)
	if !blind {
		placed = float64(c.calls)
	}
	return float64(c.attempts) / placed, float64(good) / float64(calls)
}

// call places a call at a level through one of its entries.
func (c *chain) call(depth int) end {
	c.calls++
	e := c.rng.IntN(entries)
	c.levels[depth].retries[e].RecordCall()
	var tried uint64
	result := rejected
	for n := range maxAttempts {
		if n > 0 && !c.again(depth, e, result) {
			break
		}
		s := c.choose(depth, e, tried)
		tried |= 1 << s
		if result = c.attempt(depth, e, s); result == answered {
			break
		}
	}
	return result
}

// again reports whether an attempt may follow one that failed.
func (c *chain) again(depth, e int, last end) bool {
	if c.blind {
		return true
	}
	return last == rejected && c.levels[depth].retries[e].Take()
}

func (c *chain) attempt(depth, e, s int) end {
	c.attempts++
	state := &c.levels[depth].states[e][s]
	if s < failing {
		state.Observe(c.now, pick.Rejected)
		return rejected
	}
	if depth+1 < levels && c.call(depth+1) != answered {
		state.Observe(c.now, pick.Failed)
		return lost
	}
	state.Observe(c.now, pick.Succeeded)
	return answered
}

func (c *chain) choose(depth, e int, tried uint64) int {
	if c.blind {
		return c.rng.IntN(servers)
	}
	return pick.Choose(known{&c.levels[depth].states[e], c.now, tried}, c.rng)
}

// known is what one entry knows of the servers of a level.
type known struct {
	states *[servers]pick.State
	now    time.Duration
	tried  uint64
}

// Len returns the number of servers.
func (known) Len() int { return servers }

// Candidate returns the state of a server that was not tried.
func (k known) Candidate(i int) (pick.Candidate, bool) {
	c, ok := k.states[i].Candidate(k.now, slots)
	return c, ok && k.tried>>i&1 == 0
}
