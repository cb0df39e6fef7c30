package share

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The search walks every interleaving of a small fleet up to a depth, with the
// real buckets: takes, requests, duplicated requests, grants, replies that come
// late or never, and restarts. An entry that does nothing while time passes is
// a frozen one.
const (
	tick      = TransferTimeout / 2
	fleetSize = 2
	epsilon   = 1e-9
)

// meter is the reference that the whole fleet must never overdraw: it admits
// any sequence with at most burst + rate*w takes in each window w.
type meter struct{ rate, burst, tokens float64 }

func (m *meter) advance(d time.Duration) { m.tokens = min(m.tokens+m.rate*d.Seconds(), m.burst) }

type message struct {
	from, to int
	sent     time.Duration
	granted  float64
	replied  bool
	// ended says that the borrower waits for the reply no more; the request may
	// still reach the lender.
	ended bool
	ask   RequestID
}

type world struct {
	now      time.Duration
	plan     RateLimit
	entries  [fleetSize]Bucket
	messages []message
	meter    meter
	asks     uint64
}

func newWorld(p RateLimit) world {
	w := world{now: time.Hour, plan: p, meter: meter{rate: p.Rate * fleetSize, burst: p.Burst * fleetSize}}
	w.meter.tokens = w.meter.burst
	for i := range w.entries {
		w.entries[i] = NewBucket(p, 0, w.now)
	}
	return w
}

func (w world) clone() world {
	for i := range w.entries {
		w.entries[i].holds = slices.Clone(w.entries[i].holds)
	}
	w.messages = slices.Clone(w.messages)
	return w
}

// key identifies a state with times relative to now.
func (w world) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.6f", w.meter.tokens)
	for _, e := range w.entries {
		fmt.Fprintf(&b, "|%.6f %d", e.Tokens(w.now), max(e.at-w.now, 0))
		for _, h := range e.holds {
			fmt.Fprintf(&b, " %.6f/%d/%d", h.amount, h.until-w.now, w.asks-h.ask.Number)
		}
	}
	for _, m := range w.messages {
		fmt.Fprintf(&b, "|%d>%d %d %.6f %t", m.from, m.to, min(w.now-m.sent, 4*tick), m.granted, m.replied)
		fmt.Fprintf(&b, " %t %d", m.ended, w.asks-m.ask.Number)
	}
	return b.String()
}

// overdraw returns by how much the tokens that can still be taken exceed what
// the meter allows.
func (w world) overdraw() float64 {
	sum := 0.0
	for i := range w.entries {
		sum += w.entries[i].Tokens(w.now)
	}
	for _, m := range w.messages {
		if m.replied && !m.ended && w.now-m.sent < TransferTimeout {
			sum += m.granted
		}
	}
	return sum - w.meter.tokens
}

// waits reports whether an entry waits for a reply.
func (w world) waits(entry int) bool {
	return slices.ContainsFunc(w.messages, func(m message) bool { return m.from == entry && !m.ended })
}

// next returns every state that one step leads to.
func (w world) next() []world {
	var out []world
	step := func(f func(*world)) {
		n := w.clone()
		f(&n)
		out = append(out, n)
	}
	step(func(n *world) { n.now += tick; n.meter.advance(tick) })
	for i := range w.entries {
		step(func(n *world) {
			n.entries[i].demand = demand{}
			if n.entries[i].Take(n.now, n.plan) {
				n.meter.tokens--
			}
			n.entries[i].demand = demand{}
		})
		step(func(n *world) { n.entries[i] = NewBucket(n.plan, n.now, n.now) })
		if len(w.messages) < 2 && !w.waits(i) {
			step(func(n *world) {
				n.asks++
				n.messages = append(n.messages, message{from: i, to: 1 - i, sent: n.now, ask: RequestID{Borrower: uint64(i), Number: n.asks}})
			})
		}
	}
	for i, m := range w.messages {
		step(func(n *world) {
			granted := n.entries[m.to].Lend(n.now, m.ask, 1, n.plan)
			// A duplicate's reply reaches no one.
			if !m.replied && !m.ended {
				n.messages[i].granted, n.messages[i].replied = granted, true
			}
		})
		step(func(n *world) { n.messages = slices.Delete(n.messages, i, i+1) })
		if !m.ended {
			step(func(n *world) {
				if m.replied {
					n.entries[m.from].Receive(n.now, m.sent, m.granted, n.plan)
				}
				n.messages[i].ended = true
			})
		}
	}
	return out
}

func TestNoInterleavingExceedsTheAllowance(t *testing.T) {
	depth := 9
	if testing.Short() {
		depth = 7
	}
	for _, p := range []RateLimit{{Rate: 10, Burst: 1}, {Rate: 10, Burst: 2}, {Rate: 5, Burst: 1}} {
		seen := map[string]bool{}
		frontier := []world{newWorld(p)}
		for range depth {
			var reached []world
			for _, w := range frontier {
				for _, n := range w.next() {
					key := n.key()
					if seen[key] {
						continue
					}
					seen[key] = true
					assert.Assert(t, n.overdraw() <= epsilon, "exceeded by %g: %s", n.overdraw(), key)
					reached = append(reached, n)
				}
			}
			frontier = reached
		}
		t.Logf("plan %+v: %d states to depth %d", p, len(seen), depth)
	}
}
