package placement

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// world is a discrete-event simulation of one service: servers whose speed is drawn
// again every redraw interval, and calls that arrive at random. It has no network, and
// health checks take no time.
type world struct {
	rng     *rand.Rand
	servers []*simServer
	events  events
	now     time.Duration

	slots            int
	work             time.Duration
	knee             float64 // times longer when nearly full
	slowShare        float64
	slowFactor       float64
	redraw           time.Duration
	objective, limit time.Duration
	// comeBack says that refused callers retry once; known says that the entry knows when
	// they sent their first call.
	comeBack, known bool
	// checks is the allowed number of health checks a second, 0 without limit; asks is their
	// bucket. Sparing says that calls that wait leave health checks to those not sent yet.
	checks  float64
	asks    TokenBucket
	sparing bool
	result  tally
}

type simServer struct {
	running int
	queue   []*simCall
	slow    float64
}

type simCall struct {
	first   time.Duration // when the caller first asked
	arrived time.Duration
	server  *simServer
}

type tally struct{ asked, inAim, late, refused int }

func (t tally) share() float64 { return float64(t.inAim) / float64(t.asked) }

type event struct {
	at time.Duration
	do func()
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

func newWorld(seed uint64) *world {
	const servers = 8
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), slots: 3, work: 60 * time.Millisecond, knee: 1.7,
		slowShare: 0.33, slowFactor: 7, redraw: 500 * time.Millisecond,
		objective: 200 * time.Millisecond, limit: 500 * time.Millisecond,
	}
	for range servers {
		w.servers = append(w.servers, &simServer{slow: 1})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.events, event{w.now + d, do}) }

// run simulates calls that arrive at a rate for the given time; choose places each of
// them.
func (w *world) run(perSecond float64, length time.Duration, choose func(*simCall)) tally {
	var draw, arrive func()
	draw = func() {
		for _, s := range w.servers {
			s.slow = 1
			if w.rng.Float64() < w.slowShare {
				s.slow = w.slowFactor
			}
		}
		w.after(w.redraw, draw)
	}
	arrive = func() {
		w.result.asked++
		choose(&simCall{first: w.now, arrived: w.now})
		w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	draw()
	arrive()
	for w.events[0].at < length {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return w.result
}

// send gives a call to a server, which runs it at once or queues it.
func (w *world) send(c *simCall, s *simServer) {
	c.server = s
	if s.running >= w.slots {
		s.queue = append(s.queue, c)
		return
	}
	w.start(c, s)
}

func (w *world) start(c *simCall, s *simServer) {
	s.running++
	took := float64(w.work) * s.slow * (0.7 + 0.6*w.rng.Float64())
	if float64(s.running) > crowdedShare*float64(w.slots) {
		took *= w.knee
	}
	w.after(time.Duration(took), func() { w.end(c, s) })
}

func (w *world) end(c *simCall, s *simServer) {
	s.running--
	switch took := w.now - c.first; {
	case took <= w.objective:
		w.result.inAim++
	case took <= w.limit:
		w.result.late++
	}
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		w.start(next, s)
	}
}

func (w *world) candidate(s *simServer) Candidate {
	return Candidate{Running: s.running, Waiting: len(s.queue), Slots: w.slots, Slowness: s.slow}
}

func (w *world) demand(c *simCall) Demand {
	waited := w.now - c.arrived
	if w.known {
		waited = w.now - c.first
	}
	return Demand{ServiceTime: w.work, CrowdedFactor: w.knee, Objective: max(w.objective-waited, time.Millisecond), TimeLeft: w.limit - (w.now - c.first)}
}

// refuse refuses a call, or lets its caller retry once.
func (w *world) refuse(c *simCall) {
	if !w.comeBack || c.arrived > c.first {
		w.result.refused++
		return
	}
	w.after(RetryAfter(w.limit-(w.now-c.first)), func() {
		c.arrived = w.now
		w.policy(c)
	})
}

// twoChoices is the baseline: it picks the server with fewer calls of two at random,
// without regard to speed, and refuses nothing.
func (w *world) twoChoices(c *simCall) {
	a, b := w.servers[w.rng.IntN(len(w.servers))], w.servers[w.rng.IntN(len(w.servers))]
	if b.running+len(b.queue) < a.running+len(a.queue) {
		a = b
	}
	w.send(c, a)
}

// allowed returns how many servers a call may ask.
func (w *world) allowed(c *simCall) int {
	const all, few = 8, 2
	now := time.Unix(1000, 0).Add(w.now)
	waits := w.now > c.arrived && w.now-c.arrived < MaxQueueTime(w.objective)
	switch {
	case !w.sparing:
		return all
	case waits && !w.asks.HasSpare(w.checks, now):
		return 0
	case waits, w.asks.RunningLow(w.checks, now):
		return few
	default:
		return all
	}
}

// policy asks servers two at a time until one is good, and applies Decide.
func (w *world) policy(c *simCall) {
	demand := w.demand(c)
	var candidates []Candidate
	var asked []*simServer
	for _, i := range w.rng.Perm(len(w.servers))[:min(w.allowed(c), len(w.servers))] {
		if w.checks > 0 && !w.asks.Take(1, w.checks, time.Unix(1000, 0).Add(w.now)) {
			break
		}
		asked = append(asked, w.servers[i])
		candidates = append(candidates, w.candidate(w.servers[i]))
		if len(asked)%2 == 0 && candidates[Best(candidates, demand)].Good(demand) {
			break
		}
	}
	decision, best := Wait, Best(candidates, demand)
	switch {
	case best >= 0:
		decision = Decide(&candidates[best], demand, w.now-c.arrived, w.objective)
	case w.allowed(c) > 0: // without health checks the choice is blind
		w.send(c, w.servers[w.rng.IntN(len(w.servers))])
		return
	}
	switch decision {
	case Send:
		w.send(c, asked[best])
	case Wait:
		w.after(8*time.Millisecond, func() { w.policy(c) })
	default:
		w.refuse(c)
	}
}
