package policy

import (
	"slices"
	"time"

	"github.com/baobabstack/baobabstack/internal/policy/pick"
)

// server is a queue with slots.
type server struct {
	world   *world
	index   int
	running int
	queue   []*attempt
	latency [1 << 7]time.Duration // smoothed, by the load when a call came
}

func (s *server) load() int { return s.running + len(s.queue) }

// expect returns the latency of calls that came at the load of now or the
// nearest one below that was seen.
func (s *server) expect() time.Duration {
	for load := min(s.load(), len(s.latency)-1); load >= 0; load-- {
		if s.latency[load] > 0 {
			return s.latency[load]
		}
	}
	return 0
}

// leftFor returns how long ago the server said that it is leaving, in shares of
// the run; negative if it did not.
func (s *server) leftFor() float64 {
	if s.world.condition != draining || s.index != 0 {
		return -1
	}
	return float64(s.world.now)/float64(s.world.horizon) - 0.3
}

// receive runs, queues or refuses an attempt.
func (s *server) receive(a *attempt) {
	w := s.world
	a.received, a.load = w.now, s.load()
	switch {
	case a.cancelled:
	case w.condition == failFast && s.index == 0:
		s.reply(a, pick.Failed)
	case s.leftFor() > 0.2 || len(s.queue) >= queuePerSlot*w.slots:
		s.reply(a, pick.Rejected)
	case s.running < w.slots:
		s.start(a)
	default:
		s.queue = append(s.queue, a)
	}
}

func (s *server) start(a *attempt) {
	w, from := s.world, s.world.now
	s.running++
	a.running, a.server = true, s
	w.after(w.end(s.index, from, a.work)-from, func() {
		if a.cancelled {
			return
		}
		a.running = false
		smoothed := &s.latency[a.load]
		*smoothed += (w.now - a.received - *smoothed) / 8
		s.reply(a, pick.Succeeded)
		s.next()
	})
}

// next gives a free slot to the next attempt.
func (s *server) next() {
	s.running--
	queue := &s.queue
	if len(*queue) == 0 {
		queue = &s.world.shared
	}
	if len(*queue) > 0 {
		a := (*queue)[0]
		*queue = (*queue)[1:]
		s.start(a)
	}
}

// reply sends an answer with the load, this attempt included.
func (s *server) reply(a *attempt, end pick.Result) {
	load, leaving := s.load(), s.leftFor() >= 0
	s.world.after(s.world.delay, func() { s.world.answer(a, end, load, leaving) })
}

// cancel frees the place of an attempt that its entry gave up.
func (s *server) cancel(a *attempt) {
	if a.running {
		s.next()
	}
	a.cancelled = true
	s.queue = slices.DeleteFunc(s.queue, func(other *attempt) bool { return other == a })
}

// share starts an attempt at the server with the most free slots, or queues it
// for the server that is free first.
func (w *world) share(a *attempt) {
	var best *server
	for _, s := range w.servers {
		if s.leftFor() >= 0 || (w.condition == failFast && s.index == 0) {
			continue
		}
		if best == nil || s.running < best.running {
			best = s
		}
	}
	if best.running >= w.slots {
		w.shared = append(w.shared, a)
		return
	}
	best.start(a)
}
