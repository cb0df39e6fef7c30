package placement

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connectionSimulation simulates many entries with few calls each and the servers of one
// service in their data centre. An entry checks the servers of its group two at a time, on
// a connection each, and sends the call on one of them. Idle connections lapse.
type connectionSimulation struct {
	rng     *rand.Rand
	servers []*connectionServer
	entries []*connectionEntry
	events  events
	now     time.Duration
	// idleFirst makes entries check servers with an idle connection first.
	idleFirst bool

	calls, opened, inObjective int
}

type connectionServer struct {
	running  int
	slowness float64
	sent     int
}

type connectionEntry struct {
	group []int
	idle  map[int][]time.Duration // by server: since when its connections are idle
}

const (
	simGroupSize   = 6
	simSlots       = 3
	simIdleTimeout = 9500 * time.Millisecond
	simService     = 110 * time.Millisecond
	simObjective   = 300 * time.Millisecond
)

func newConnectionSimulation(entries, servers int, idleFirst bool) *connectionSimulation {
	w := &connectionSimulation{rng: rand.New(rand.NewPCG(9, 1)), idleFirst: idleFirst}
	for range servers {
		w.servers = append(w.servers, &connectionServer{slowness: 1})
	}
	for range entries {
		w.entries = append(w.entries, &connectionEntry{group: w.rng.Perm(servers)[:min(simGroupSize, servers)], idle: make(map[int][]time.Duration)})
	}
	return w
}

func (w *connectionSimulation) schedule(d time.Duration, action func()) {
	heap.Push(&w.events, event{w.now + d, action})
}

// run simulates calls at a rate for all entries together. A quarter of the servers is seven
// times slower, drawn again every half second.
func (w *connectionSimulation) run(perSecond float64, length time.Duration) {
	var draw, arrive func()
	draw = func() {
		for _, s := range w.servers {
			s.slowness = 1
			if w.rng.Float64() < 0.25 {
				s.slowness = 7
			}
		}
		w.schedule(500*time.Millisecond, draw)
	}
	arrive = func() {
		w.call(w.entries[w.rng.IntN(len(w.entries))])
		w.schedule(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	draw()
	arrive()
	for w.events[0].at < length {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.action()
	}
}

func (w *connectionSimulation) call(e *connectionEntry) {
	w.calls++
	d := Demand{ServiceTime: simService, CrowdedFactor: 1.5, Objective: simObjective, TimeLeft: time.Second}
	order := slices.Clone(e.group)
	w.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if w.idleFirst {
		slices.SortStableFunc(order, func(a, b int) int {
			return CheckOrder(RankUnknown, w.hasIdle(e, a)) - CheckOrder(RankUnknown, w.hasIdle(e, b))
		})
	}
	var checked []int
	var candidates []Candidate
	for _, i := range order {
		w.connect(e, i)
		checked = append(checked, i)
		candidates = append(candidates, Candidate{Running: w.servers[i].running, Slots: simSlots, Slowness: w.servers[i].slowness})
		if len(checked)%2 == 0 && candidates[Best(candidates, d)].Good(d) {
			break
		}
	}
	best := checked[Best(candidates, d)]
	for _, i := range checked {
		if i != best {
			e.idle[i] = append(e.idle[i], w.now)
		}
	}
	w.serve(e, best)
}

func (w *connectionSimulation) serve(e *connectionEntry, i int) {
	s := w.servers[i]
	s.running++
	s.sent++
	took := time.Duration(float64(simService) * s.slowness * (0.7 + 0.6*w.rng.Float64()) * max(1, float64(s.running)/simSlots))
	if took <= simObjective {
		w.inObjective++
	}
	w.schedule(took, func() {
		s.running--
		e.idle[i] = append(e.idle[i], w.now)
	})
}

func (w *connectionSimulation) hasIdle(e *connectionEntry, i int) bool {
	e.idle[i] = slices.DeleteFunc(e.idle[i], func(since time.Duration) bool { return w.now-since > simIdleTimeout })
	return len(e.idle[i]) > 0
}

func (w *connectionSimulation) connect(e *connectionEntry, i int) {
	if w.hasIdle(e, i) {
		e.idle[i] = e.idle[i][:len(e.idle[i])-1]
		return
	}
	w.opened++
}

// busiest returns how many times the mean the busiest server was sent.
func (w *connectionSimulation) busiest() float64 {
	most, sum := 0, 0
	for _, s := range w.servers {
		most, sum = max(most, s.sent), sum+s.sent
	}
	return float64(most) * float64(len(w.servers)) / float64(sum)
}

// Each of many entries sees a few calls a second, so most of its connections lapse or are
// in use when a server is checked. Opening one for most calls costs servers a handshake.
func TestEntriesWithFewCallsKeepFewConnections(t *testing.T) {
	const length = 40 * time.Second
	for _, size := range []struct{ entries, servers int }{{5, 4}, {28, 16}, {94, 96}, {350, 350}} {
		perSecond := 4 * float64(size.entries)
		before, after := newConnectionSimulation(size.entries, size.servers, false), newConnectionSimulation(size.entries, size.servers, true)
		before.run(perSecond, length)
		after.run(perSecond, length)
		share := func(n, of int) float64 { return float64(n) / float64(of) }
		t.Logf("%d entries, %d servers: opened a call %.3f, idle first %.3f; in the objective %.3f, %.3f; busiest server %.2f, %.2f",
			size.entries, size.servers, share(before.opened, before.calls), share(after.opened, after.calls),
			share(before.inObjective, before.calls), share(after.inObjective, after.calls), before.busiest(), after.busiest())
		assert.Assert(t, share(after.opened, after.calls) <= 0.1, "more than one connection for ten calls")
		assert.Assert(t, share(after.inObjective, after.calls) >= share(before.inObjective, before.calls)-0.01)
	}
}
