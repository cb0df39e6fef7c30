package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabstack/baobabstack/internal/policy/pick"
)

// policy is one way to choose servers.
type policy struct {
	name string
	// choose returns a server that the call has not tried and that did not say
	// that it is leaving, or -1.
	choose func(w *world, c *call) int
	// hedge, budget and probes switch on hedges of idempotent calls, the budget
	// of retries, and probes of servers without a signal.
	hedge, budget, probes bool
	omniscient            bool
}

var policies = []policy{
	{name: "random", choose: random},
	{name: "round-robin", choose: roundRobin},
	{name: "least-local", choose: leastLocal},
	{name: "two-choices", choose: twoChoices},
	{name: "probe-pool", choose: probePool},
	{name: "omniscient", omniscient: true},
	{name: "product", choose: product, budget: true},
	{name: "product-hedged", choose: product, budget: true, hedge: true, probes: true},
}

func (c *call) eligible(i int) bool { return c.tried>>i&1 == 0 && !c.entry.states[i].Leaving() }

func random(w *world, c *call) int {
	start := w.rng.IntN(len(w.servers))
	for k := range w.servers {
		if i := (start + k) % len(w.servers); c.eligible(i) {
			return i
		}
	}
	return -1
}

func roundRobin(w *world, c *call) int {
	for range w.servers {
		c.entry.next = (c.entry.next + 1) % len(w.servers)
		if c.eligible(c.entry.next) {
			return c.entry.next
		}
	}
	return -1
}

func leastLocal(w *world, c *call) int {
	best := random(w, c)
	for i := range w.servers {
		if c.eligible(i) && c.entry.states[i].InFlight() < c.entry.states[best].InFlight() {
			best = i
		}
	}
	return best
}

func twoChoices(w *world, c *call) int {
	i, j := random(w, c), random(w, c)
	if i >= 0 && c.entry.states[j].InFlight() < c.entry.states[i].InFlight() {
		return j
	}
	return i
}

// product is the choice that the product makes.
func product(w *world, c *call) int { return pick.Choose(known{w, c}, w.rng) }

type known struct {
	w *world
	c *call
}

// Len returns the number of servers.
func (k known) Len() int { return len(k.w.servers) }

// Candidate returns what the entry knows of a server.
func (k known) Candidate(i int) (pick.Candidate, bool) {
	c, ok := k.c.entry.states[i].Candidate(k.w.now, k.w.slots)
	return c, ok && k.c.eligible(i)
}

// probeReply is an answer to a probe in an entry's pool.
type probeReply struct {
	server, load, uses int
	latency, at        time.Duration
}

// Parameters of the probe pool.
const (
	poolSize     = 16
	poolAge      = time.Second
	poolUses     = 2
	probesACall  = 3
	hotThreshold = 0.84 // quantile of load above which a server is hot
)

// probePool follows the rule of Wydrowski et al., "Load is not what you should
// balance: Introducing Prequal" (NSDI 2024): asynchronous probes of random
// servers at each call; of the replies kept, the cold one with the lowest
// latency, or else the one with the least load.
func probePool(w *world, c *call) int {
	e := c.entry
	for range probesACall {
		s := w.servers[w.rng.IntN(len(w.servers))]
		w.count(c, &w.probes)
		w.after(w.delay, func() {
			reply := probeReply{server: s.index, load: s.load(), latency: s.expect()}
			w.after(w.delay, func() {
				reply.at = w.now
				e.pool = append(e.pool[max(len(e.pool)-poolSize+1, 0):], reply)
			})
		})
	}
	e.pool = slices.DeleteFunc(e.pool, func(r probeReply) bool { return r.uses >= poolUses || w.now-r.at > poolAge })
	best, limit := -1, hotLimit(e.pool)
	for i, r := range e.pool {
		if c.eligible(r.server) && (best < 0 || rank(r, e.pool[best], limit) < 0) {
			best = i
		}
	}
	if best < 0 {
		return random(w, c)
	}
	e.pool[best].load++
	e.pool[best].uses++
	return e.pool[best].server
}

func rank(a, b probeReply, limit int) int {
	hotA, hotB := a.load > limit, b.load > limit
	switch {
	case hotA && hotB:
		return cmp.Compare(a.load, b.load)
	case !hotA && !hotB:
		return cmp.Compare(a.latency, b.latency)
	case hotA:
		return 1
	}
	return -1
}

func hotLimit(pool []probeReply) int {
	if len(pool) == 0 {
		return 0
	}
	loads := make([]int, len(pool))
	for i, r := range pool {
		loads[i] = r.load
	}
	slices.Sort(loads)
	return loads[int(hotThreshold*float64(len(loads)-1))]
}
