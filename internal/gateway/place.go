package gateway

import (
	"context"
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
	defer func() { state.leave(w) }()
	var handed *offer
	for {
		demand := d.demand(s.request)
		switch {
		case demand.TimeLeft <= 0 || ctx.Err() != nil:
			handed.release()
			return nil, "deadline"
		case len(s.service.near)+len(s.service.far) == 0:
			return nil, "no-server"
		}
		if handed != nil && !s.tried[handed.target.server] {
			return handed, ""
		}
		handed.release()
		if w != nil || state.waiting() == 0 {
			o := d.search(ctx, s, demand, w != nil)
			decision := d.decide(s, o, demand)
			if decision == placement.Send {
				return o, ""
			}
			o.release()
			if decision == placement.Refuse {
				return nil, "full"
			}
		}
		if !state.queued(w) {
			w = state.join(s.route, time.Now().Add(demand.Objective-demand.ServiceTime))
			s.trace.waited()
		}
		var ok bool
		if handed, ok = w.await(ctx, time.Until(s.received.Add(placement.MaxQueueTime(s.route.Objective)))); !ok {
			return nil, "deadline"
		}
	}
}

// search returns the best server that it finds. A request that waits looks at a few
// servers until its patience ends.
func (d *dispatcher) search(ctx context.Context, s *sending, demand placement.Demand, waits bool) *offer {
	if waits && time.Since(s.received) < placement.MaxQueueTime(s.route.Objective) {
		return d.look(ctx, s.service, demand, s.tried)
	}
	return d.find(ctx, s.service, demand, s.tried)
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
	usual, crowding := d.work(r.route).Estimate()
	return placement.Demand{
		ServiceTime: usual, CrowdedFactor: crowding,
		Objective: max(r.onTimeUntil.Sub(now), time.Millisecond),
		TimeLeft:  r.deadline.Sub(now),
	}
}

// wait is a request's place in its service's queue.
type wait struct {
	placement.Waiter
	first bool
	// handoff brings a server at which a call has just ended.
	handoff chan *offer
}

// await waits until the request may ask servers again: when it is the first, with
// a pause, or when its patience ends. It returns a server that has come free
// meanwhile, and false if the context ends before.
func (w *wait) await(ctx context.Context, patience time.Duration) (*offer, bool) {
	limit := time.NewTimer(max(patience, 0))
	defer limit.Stop()
	if !w.first {
		select {
		case <-w.Turn:
			w.first = true
		case o := <-w.handoff:
			return o, true
		case <-limit.C:
			return nil, true
		case <-ctx.Done():
			return nil, false
		}
	}
	pause := time.NewTimer(askAgainAfter)
	defer pause.Stop()
	select {
	case <-pause.C:
	case o := <-w.handoff:
		return o, true
	case <-ctx.Done():
		return nil, false
	}
	return nil, true
}

func (s *serviceState) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// queued reports whether the wait stands in the queue.
func (s *serviceState) queued(w *wait) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w != nil && w.Queued()
}

func (s *serviceState) join(r *routing.Route, onTimeUntil time.Time) *wait {
	w := &wait{
		Waiter:  placement.Waiter{Priority: r.Priority, LatestStart: onTimeUntil, Turn: make(chan struct{}, 1)},
		handoff: make(chan *offer, 1),
	}
	w.Owner = w
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Add(&w.Waiter, time.Now())
	return w
}

// leave ends a wait. A server handed over too late goes to the next in the queue.
func (s *serviceState) leave(w *wait) {
	if w == nil {
		return
	}
	s.mu.Lock()
	s.queue.Remove(&w.Waiter, time.Now())
	s.mu.Unlock()
	select {
	case o := <-w.handoff:
		s.hand(o)
	default:
	}
}

// hand gives a server at which a call has just ended to the first request that
// waits, or releases it.
func (s *serviceState) hand(o *offer) {
	s.mu.Lock()
	first := s.queue.Pop()
	s.mu.Unlock()
	if first == nil {
		o.release()
		return
	}
	first.Owner.(*wait).handoff <- o
}

// routeState is what is learned of a route's calls and callers.
type routeState struct {
	work    *placement.ServiceTimeEstimator
	callers *placement.WaitEstimator
}

func (d *dispatcher) learned(r *routing.Route) *routeState {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.routes[r.Name]
	if !ok {
		s = &routeState{work: placement.NewServiceTimeEstimator(r.Objective), callers: placement.NewWaitEstimator()}
		d.routes[r.Name] = s
	}
	return s
}

// work returns the estimate of a route's work.
func (d *dispatcher) work(r *routing.Route) *placement.ServiceTimeEstimator { return d.learned(r).work }

// callers returns what is known of a route's callers.
func (d *dispatcher) callers(r *routing.Route) *placement.WaitEstimator { return d.learned(r).callers }
