package placement

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulation is a discrete-event simulation of one service: servers whose speed is drawn
// again every redrawInterval, and calls that arrive at random. It has no network, and
// health checks take no time.
type simulation struct {
	rng     *rand.Rand
	servers []*simServer
	events  events
	now     time.Duration

	slots              int
	serviceTime        time.Duration
	crowdedFactor      float64 // ratio of the run time at a nearly full server to serviceTime
	slowShare          float64
	slowFactor         float64
	redrawInterval     time.Duration
	objective, timeout time.Duration
	// retryRefused makes refused callers retry once. firstSentKnown says that the entry knows
	// when callers sent their first attempt.
	retryRefused, firstSentKnown bool
	// checksPerSecond limits the health checks, 0 means no limit; checkTokens is their
	// bucket. reserveChecks makes waiting calls leave health checks to new calls.
	checksPerSecond float64
	checkTokens     TokenBucket
	reserveChecks   bool
	result          tally
}

type simServer struct {
	running  int
	queue    []*simCall
	slowness float64
}

type simCall struct {
	firstSent time.Duration // when the caller sent its first attempt
	arrived   time.Duration
	server    *simServer
}

type tally struct{ calls, inObjective, late, refused int }

func (t tally) objectiveShare() float64 { return float64(t.inObjective) / float64(t.calls) }

type event struct {
	at     time.Duration
	action func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSimulation(seed uint64) *simulation {
	const servers = 8
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), slots: 3, serviceTime: 60 * time.Millisecond, crowdedFactor: 1.7,
		slowShare: 0.33, slowFactor: 7, redrawInterval: 500 * time.Millisecond,
		objective: 200 * time.Millisecond, timeout: 500 * time.Millisecond,
	}
	for range servers {
		w.servers = append(w.servers, &simServer{slowness: 1})
	}
	return w
}

func (w *simulation) schedule(d time.Duration, action func()) {
	heap.Push(&w.events, event{w.now + d, action})
}

// run simulates calls that arrive at a rate for the given time. It calls choose for each
// of them, which sends, queues or refuses it.
func (w *simulation) run(perSecond float64, length time.Duration, choose func(*simCall)) tally {
	var draw, arrive func()
	draw = func() {
		for _, s := range w.servers {
			s.slowness = 1
			if w.rng.Float64() < w.slowShare {
				s.slowness = w.slowFactor
			}
		}
		w.schedule(w.redrawInterval, draw)
	}
	arrive = func() {
		w.result.calls++
		choose(&simCall{firstSent: w.now, arrived: w.now})
		w.schedule(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	draw()
	arrive()
	for w.events[0].at < length {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.action()
	}
	return w.result
}

// send gives a call to a server, which runs it at once or queues it.
func (w *simulation) send(c *simCall, s *simServer) {
	c.server = s
	if s.running >= w.slots {
		s.queue = append(s.queue, c)
		return
	}
	w.start(c, s)
}

func (w *simulation) start(c *simCall, s *simServer) {
	s.running++
	took := float64(w.serviceTime) * s.slowness * (0.7 + 0.6*w.rng.Float64())
	if float64(s.running) > crowdedShare*float64(w.slots) {
		took *= w.crowdedFactor
	}
	w.schedule(time.Duration(took), func() { w.end(c, s) })
}

func (w *simulation) end(c *simCall, s *simServer) {
	s.running--
	switch took := w.now - c.firstSent; {
	case took <= w.objective:
		w.result.inObjective++
	case took <= w.timeout:
		w.result.late++
	}
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		w.start(next, s)
	}
}

func (w *simulation) candidate(s *simServer) Candidate {
	return Candidate{Running: s.running, Waiting: len(s.queue), Slots: w.slots, Slowness: s.slowness}
}

func (w *simulation) demand(c *simCall) Demand {
	waited := w.now - c.arrived
	if w.firstSentKnown {
		waited = w.now - c.firstSent
	}
	return Demand{ServiceTime: w.serviceTime, CrowdedFactor: w.crowdedFactor, Objective: max(w.objective-waited, time.Millisecond), TimeLeft: w.timeout - (w.now - c.firstSent)}
}

// refuse refuses a call, or lets its caller retry once.
func (w *simulation) refuse(c *simCall) {
	if !w.retryRefused || c.arrived > c.firstSent {
		w.result.refused++
		return
	}
	w.schedule(RetryAfter(NoRoom, w.demand(c)), func() {
		c.arrived = w.now
		w.placeByHealth(c)
	})
}

// twoChoices is the baseline, the power of two choices: of two random servers it picks
// the one with fewer calls. It ignores their speed and refuses nothing.
func (w *simulation) twoChoices(c *simCall) {
	a, b := w.servers[w.rng.IntN(len(w.servers))], w.servers[w.rng.IntN(len(w.servers))]
	if b.running+len(b.queue) < a.running+len(a.queue) {
		a = b
	}
	w.send(c, a)
}

// checksAllowed returns how many health checks a call may send at once.
func (w *simulation) checksAllowed(c *simCall) int {
	const all, few = 8, 2
	now := time.Unix(1000, 0).Add(w.now)
	waits := w.now > c.arrived && w.now-c.arrived < MaxQueueTime(w.objective)
	switch {
	case !w.reserveChecks:
		return all
	case waits && !w.checkTokens.HasSpare(w.checksPerSecond, now):
		return 0
	case waits, w.checkTokens.RunningLow(w.checksPerSecond, now):
		return few
	default:
		return all
	}
}

// placeByHealth checks the health of servers two at a time until one is good, and applies
// Decide.
func (w *simulation) placeByHealth(c *simCall) {
	demand := w.demand(c)
	var candidates []Candidate
	var checked []*simServer
	for _, i := range w.rng.Perm(len(w.servers))[:min(w.checksAllowed(c), len(w.servers))] {
		if w.checksPerSecond > 0 && !w.checkTokens.Take(1, w.checksPerSecond, time.Unix(1000, 0).Add(w.now)) {
			break
		}
		checked = append(checked, w.servers[i])
		candidates = append(candidates, w.candidate(w.servers[i]))
		if len(checked)%2 == 0 && candidates[Best(candidates, demand)].Good(demand) {
			break
		}
	}
	decision, best := Wait, Best(candidates, demand)
	switch {
	case best >= 0:
		decision = Decide(&candidates[best], demand, w.now-c.arrived, w.objective)
	case w.checksAllowed(c) > 0: // no tokens left for health checks: choose at random
		w.send(c, w.servers[w.rng.IntN(len(w.servers))])
		return
	}
	switch decision {
	case Send:
		w.send(c, checked[best])
	case Wait:
		w.schedule(8*time.Millisecond, func() { w.placeByHealth(c) })
	default:
		w.refuse(c)
	}
}
