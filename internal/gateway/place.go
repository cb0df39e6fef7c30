package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/routing"
)

// askAgainAfter is the pause before full servers are asked again, about a tenth of
// a short call.
const askAgainAfter = 8 * time.Millisecond

// place finds a server for the request, and waits for one if all are full. It
// returns the reason if the request must be given up.
func (d *dispatcher) place(ctx context.Context, s *sending) (*offer, string) {
	state := s.service.state
	var w *wait
	defer func() { w.end(state) }()
	for {
		demand := d.demand(s.request)
		switch {
		case demand.Left <= 0 || ctx.Err() != nil:
			return nil, "deadline"
		case len(s.service.near)+len(s.service.far) == 0:
			return nil, "no-server"
		}
		if w != nil || state.waiting() == 0 {
			o := d.find(ctx, s.service, demand, s.tried)
			decision := d.decide(s, o, demand)
			if decision == placement.Send {
				return o, ""
			}
			o.release()
			if decision == placement.Refuse {
				return nil, "full"
			}
		}
		if w == nil {
			w = &wait{Waiter: state.join(s.route, time.Now().Add(demand.Objective-demand.Work))}
			s.trace.waited()
		}
		if !w.await(ctx, time.Until(s.received.Add(placement.Patience(s.route.Objective)))) {
			return nil, "deadline"
		}
	}
}

// decide applies placement's rule to the best server found.
func (d *dispatcher) decide(s *sending, o *offer, demand placement.Demand) placement.Decision {
	held := time.Since(s.received)
	if o == nil {
		return placement.Decide(nil, demand, held, s.route.Objective)
	}
	return placement.Decide(&o.candidate, demand, held, s.route.Objective)
}

// demand returns what the request needs from now on.
func (d *dispatcher) demand(r *request) placement.Demand {
	now := time.Now()
	return placement.Demand{
		Work:      d.work(r.route).usual(),
		Objective: max(r.received.Add(r.route.Objective).Sub(now), time.Millisecond),
		Left:      r.deadline.Sub(now),
	}
}

// wait is a request's place in its service's queue.
type wait struct {
	*placement.Waiter
	first bool
}

// await waits until the request may ask servers again: when it is the first, with
// a pause, or when its patience ends. It reports false if the context ends before.
func (w *wait) await(ctx context.Context, patience time.Duration) bool {
	limit := time.NewTimer(max(patience, 0))
	defer limit.Stop()
	if !w.first {
		select {
		case <-w.Turn:
			w.first = true
		case <-limit.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	pause := time.NewTimer(askAgainAfter)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *wait) end(state *serviceState) {
	if w != nil {
		state.leave(w.Waiter)
	}
}

func (s *serviceState) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

func (s *serviceState) join(r *routing.Route, onTimeUntil time.Time) *placement.Waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &placement.Waiter{Priority: r.Priority, OnTimeUntil: onTimeUntil, Turn: make(chan struct{}, 1)}
	s.queue.Add(w, time.Now())
	return w
}

func (s *serviceState) leave(w *placement.Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(w, time.Now())
}

// workEstimate is how long the calls of a route run at a server that is as fast
// as usual.
type workEstimate struct {
	mu      sync.Mutex
	seconds float64
	samples int
	initial time.Duration
}

const (
	// initialShare of the objective is taken for a route's work until calls have
	// ended.
	initialShare = 0.4
	// workWeight is the weight of the latest call in the estimate.
	workWeight = 0.05
)

func (d *dispatcher) work(r *routing.Route) *workEstimate {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.works[r.Name]
	if !ok {
		w = &workEstimate{initial: time.Duration(initialShare * float64(r.Objective))}
		d.works[r.Name] = w
	}
	return w
}

func (w *workEstimate) add(took time.Duration, slowness float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	weight := max(workWeight, 1/float64(w.samples+1))
	if w.samples == 1 {
		w.seconds = w.initial.Seconds()
	}
	w.seconds += weight * (took.Seconds()/slowness - w.seconds)
}

func (w *workEstimate) usual() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.samples == 0 {
		return w.initial
	}
	return time.Duration(w.seconds * float64(time.Second))
}
