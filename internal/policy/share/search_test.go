package share

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The search explores every interleaving of a small fleet up to a depth, with the
// real buckets: takes, requests, duplicated requests, grants, replies that are
// late or lost, and restarts. An entry without steps while time passes is frozen.
const (
	tick      = TransferTimeout / 2
	fleetSize = 2
	epsilon   = 1e-9
)

// referenceBucket is the limit for the takes of the whole fleet: it allows
// any sequence with at most burst + rate*w takes in each window w.
type referenceBucket struct{ rate, burst, tokens float64 }

func (m *referenceBucket) advance(d time.Duration) {
	m.tokens = min(m.tokens+m.rate*d.Seconds(), m.burst)
}

type message struct {
	from, to int
	sent     time.Duration
	granted  float64
	replied  bool
	// ended says that the borrower no longer waits for the reply; the request may
	// still reach the lender.
	ended   bool
	request RequestID
}

type systemState struct {
	now       time.Duration
	limit     RateLimit
	entries   [fleetSize]Bucket
	messages  []message
	reference referenceBucket
	requests  uint64
}

func newSystemState(p RateLimit) systemState {
	w := systemState{now: time.Hour, limit: p, reference: referenceBucket{rate: p.Rate * fleetSize, burst: p.Burst * fleetSize}}
	w.reference.tokens = w.reference.burst
	for i := range w.entries {
		w.entries[i] = NewBucket(p, 0, w.now)
	}
	return w
}

func (w systemState) clone() systemState {
	for i := range w.entries {
		w.entries[i].holds = slices.Clone(w.entries[i].holds)
	}
	w.messages = slices.Clone(w.messages)
	return w
}

// key identifies a state independently of absolute time.
func (w systemState) key() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.6f", w.reference.tokens)
	for _, e := range w.entries {
		fmt.Fprintf(&b, "|%.6f %d", e.Tokens(w.now), max(e.accruedTo-w.now, 0))
		for _, h := range e.holds {
			fmt.Fprintf(&b, " %.6f/%d/%d", h.amount, h.until-w.now, w.requests-h.request.Number)
		}
	}
	for _, m := range w.messages {
		fmt.Fprintf(&b, "|%d>%d %d %.6f %t", m.from, m.to, min(w.now-m.sent, 4*tick), m.granted, m.replied)
		fmt.Fprintf(&b, " %t %d", m.ended, w.requests-m.request.Number)
	}
	return b.String()
}

// excess returns by how much the tokens that can still be taken exceed those of
// the reference bucket.
func (w systemState) excess() float64 {
	sum := 0.0
	for i := range w.entries {
		sum += w.entries[i].Tokens(w.now)
	}
	for _, m := range w.messages {
		if m.replied && !m.ended && w.now-m.sent < TransferTimeout {
			sum += m.granted
		}
	}
	return sum - w.reference.tokens
}

// awaitsReply reports whether an entry waits for a reply.
func (w systemState) awaitsReply(entry int) bool {
	return slices.ContainsFunc(w.messages, func(m message) bool { return m.from == entry && !m.ended })
}

// successors returns every state that is one step away.
func (w systemState) successors() []systemState {
	var out []systemState
	step := func(f func(*systemState)) {
		n := w.clone()
		f(&n)
		out = append(out, n)
	}
	step(func(n *systemState) { n.now += tick; n.reference.advance(tick) })
	for i := range w.entries {
		step(func(n *systemState) {
			n.entries[i].demand = demand{}
			if n.entries[i].Take(n.now, n.limit) {
				n.reference.tokens--
			}
			n.entries[i].demand = demand{}
		})
		step(func(n *systemState) { n.entries[i] = NewBucket(n.limit, n.now, n.now) })
		if len(w.messages) < 2 && !w.awaitsReply(i) {
			step(func(n *systemState) {
				n.requests++
				n.messages = append(n.messages, message{from: i, to: 1 - i, sent: n.now, request: RequestID{Borrower: uint64(i), Number: n.requests}})
			})
		}
	}
	for i, m := range w.messages {
		step(func(n *systemState) {
			granted := n.entries[m.to].Lend(n.now, m.request, 1, n.limit)
			// The reply to a duplicated request is discarded.
			if !m.replied && !m.ended {
				n.messages[i].granted, n.messages[i].replied = granted, true
			}
		})
		step(func(n *systemState) { n.messages = slices.Delete(n.messages, i, i+1) })
		if !m.ended {
			step(func(n *systemState) {
				if m.replied {
					n.entries[m.from].Receive(n.now, m.sent, m.granted, n.limit)
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
		frontier := []systemState{newSystemState(p)}
		for range depth {
			var reached []systemState
			for _, w := range frontier {
				for _, n := range w.successors() {
					key := n.key()
					if seen[key] {
						continue
					}
					seen[key] = true
					assert.Assert(t, n.excess() <= epsilon, "exceeded by %g: %s", n.excess(), key)
					reached = append(reached, n)
				}
			}
			frontier = reached
		}
		t.Logf("limit %+v: %d states to depth %d", p, len(seen), depth)
	}
}
