package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabstack/baobabstack/internal/policy/pick"
	"github.com/baobabstack/baobabstack/internal/policy/probe"
	"github.com/baobabstack/baobabstack/internal/policy/retry"
)

// event is something that happens at a time; seq orders equal times.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// entry is what one entry knows.
type entry struct {
	states          []pick.State
	probes          []probe.Schedule
	pool            []probeReply
	next            int
	retries, hedges retry.Budget
	delay           retry.HedgeDelay
}

// result is what a run measured.
type result struct {
	latency                                     *hdrhistogram.Histogram // microseconds
	calls, answered, rejected, attempts, probes int
	hedges, toFirst                             int // toFirst counts attempts at server 0
}

// world is one run of a policy.
type world struct {
	*scenario
	result
	policy  policy
	rng     *rand.Rand
	now     time.Duration
	events  events
	seq     int
	entries []*entry
	servers []*server
	shared  []*attempt // the omniscient queue
}

const (
	maxAttempts = 3
	probeTick   = 100 * time.Millisecond
)

func run(sc *scenario, p policy) result {
	w := &world{scenario: sc, policy: p, rng: rand.New(rand.NewPCG(sc.seed, 7))}
	w.latency = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range sc.speeds {
		w.servers = append(w.servers, &server{world: w, index: i})
	}
	for range entryCount {
		e := &entry{
			states: make([]pick.State, len(w.servers)), probes: make([]probe.Schedule, len(w.servers)),
			retries: retry.NewRetryBudget(), hedges: retry.NewHedgeBudget(), delay: retry.NewHedgeDelay(),
		}
		for i := range e.states {
			e.states[i] = pick.NewState(0)
		}
		w.entries = append(w.entries, e)
	}
	w.after(0, func() { w.arrive(0) })
	w.after(0, w.probeStale)
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	return w.result
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, do: do})
}

// call is one call; open counts its attempts without an answer.
type call struct {
	id       int
	entry    *entry
	at       time.Duration
	attempts []*attempt
	tried    uint64 // bit set of servers
	open     int
	counted  bool
	done     bool
}

// attempt is one attempt of a call; over once answered or given up.
type attempt struct {
	call                     *call
	server                   *server
	work, sent, received     time.Duration
	over, running, cancelled bool
	load                     int // at the server when it came
}

// arrive starts call i and schedules the next one.
func (w *world) arrive(i int) {
	if i+1 < len(w.arrivals) {
		w.after(w.arrivals[i+1]-w.now, func() { w.arrive(i + 1) })
	}
	e := w.entries[rand.New(rand.NewPCG(w.seed, uint64(i))).IntN(entryCount)]
	c := &call{id: i, entry: e, at: w.now, counted: float64(i) >= warmUpShare*float64(len(w.arrivals))}
	w.count(c, &w.calls)
	e.retries.RecordCall()
	e.hedges.RecordCall()
	if !w.send(c) {
		w.count(c, &w.rejected)
		return
	}
	if w.policy.hedge && w.kind != booking {
		w.after(e.delay.Estimate(), func() {
			if !c.done && e.hedges.Take() && w.send(c) {
				w.hedges++
			}
		})
	}
}

func (w *world) count(c *call, counter *int) {
	if c.counted {
		*counter++
	}
}

// send makes the next attempt of a call at the server that the policy picks.
func (w *world) send(c *call) bool {
	a := &attempt{call: c, work: w.work(c.id, len(c.attempts)), sent: w.now}
	receive := func() { w.share(a) }
	if !w.policy.omniscient {
		i := w.policy.choose(w, c)
		if i < 0 {
			return false
		}
		a.server = w.servers[i]
		c.tried |= 1 << i
		c.entry.states[i].Sent()
		receive = func() { a.server.receive(a) }
		if i == 0 {
			w.toFirst++
		}
	}
	w.count(c, &w.attempts)
	c.attempts, c.open = append(c.attempts, a), c.open+1
	w.after(w.delay, receive)
	return true
}

// answer takes a server's answer at the entry.
func (w *world) answer(a *attempt, end pick.Result, load int, leaving bool) {
	if a.over {
		return
	}
	a.over = true
	c := a.call
	c.open--
	state := &c.entry.states[a.server.index]
	state.Report(w.now, load)
	state.SetLeaving(w.now, leaving)
	state.Done(w.now, end)
	if c.done || (end == pick.Rejected && (c.open > 0 || w.again(c))) {
		return
	}
	c.done = true
	for _, other := range c.attempts {
		if !other.over {
			w.cancel(other)
		}
	}
	if end != pick.Succeeded {
		w.count(c, &w.rejected)
		return
	}
	c.entry.delay.Observe(w.now - c.attempts[0].sent)
	if c.counted {
		w.answered++
		_ = w.latency.RecordValue(int64((w.now - c.at) / time.Microsecond))
	}
}

// again makes another attempt after a rejection.
func (w *world) again(c *call) bool {
	return len(c.attempts) < maxAttempts && (!w.policy.budget || c.entry.retries.Take()) && w.send(c)
}

func (w *world) cancel(a *attempt) {
	a.over = true
	a.call.open--
	a.call.entry.states[a.server.index].Done(w.now, pick.Cancelled)
	w.after(w.delay, func() { a.server.cancel(a) })
}

// probeStale probes servers without a fresh signal, within the budget.
func (w *world) probeStale() {
	for _, e := range w.entries {
		for i := range e.states {
			if !w.policy.probes || !probe.Stale(e.states[i].ReportAge(w.now)) ||
				!e.probes[i].Take(w.now, probe.Rate(probeBudget, entryCount), w.rng.Float64()) {
				continue
			}
			w.probes++
			w.after(2*w.delay, func() { e.states[i].Report(w.now, w.servers[i].load()+e.states[i].InFlight()) })
		}
	}
	if w.now < w.horizon && w.policy.probes {
		w.after(probeTick, w.probeStale)
	}
}
