package gateway

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/routing"
)

// recheckInterval is how long the request at the head of the queue waits between two
// checks of servers, about a tenth of the duration of a short call.
const recheckInterval = 8 * time.Millisecond

// acquireServer finds a server for the request, and queues the request if all servers
// are full. If the request must be refused it returns nil and the reason.
func (d *dispatcher) acquireServer(ctx context.Context, s *dispatchState) (*leasedServer, string) {
	state := s.service.state
	var w *queuedRequest
	defer func() { state.dequeue(w) }()
	var handed *leasedServer
	for {
		demand, now := d.demand(s.request), time.Now()
		if reason := s.cannotBeSent(ctx, demand, now, &d.stop); reason != "" {
			handed.release()
			return nil, reason
		}
		if handed != nil && !s.tried[handed.target.server] && handed.target.available(now) {
			return handed, ""
		}
		handed.release()
		// A new request doesn't overtake the queued ones.
		if w != nil || state.queueLen() == 0 {
			switch ls, decision := d.searchAndDecide(ctx, s, demand, w != nil); decision {
			case placement.Send:
				return ls, ""
			case placement.Refuse:
				return nil, "full"
			}
		}
		if handed = state.takeHandoff(w); handed != nil {
			continue
		}
		if w == nil || w.received {
			w = state.enqueue(s.route, time.Now().Add(demand.Objective-demand.ServiceTime))
			s.trace.markQueued()
		}
		var ok bool
		if handed, ok = w.awaitTurn(ctx, time.Until(s.received.Add(placement.MaxQueueTime(s.route.Objective)))); !ok {
			return nil, "deadline"
		}
	}
}

// cannotBeSent returns the reason to refuse a request at once, or "". If all servers have
// asked for pauses, the caller is told when the first of them ends.
func (s *dispatchState) cannotBeSent(ctx context.Context, demand placement.Demand, now time.Time, stop *stopState) string {
	switch {
	case demand.TimeLeft <= 0 || ctx.Err() != nil:
		return "deadline"
	case len(s.service.local)+len(s.service.remote) == 0 && s.service.evacuated > 0:
		return "all-evacuated"
	case len(s.service.local)+len(s.service.remote) == 0:
		return "no-server"
	case stop.endsBefore(s.request, demand, now):
		return reasonStopping
	}
	until, closed := s.service.closedUntil(now)
	switch {
	case !closed:
		return ""
	case until.IsZero():
		return "all-leaving"
	default:
		s.retryAfter = until.Sub(now)
		return "all-paused"
	}
}

// searchAndDecide searches for a server and returns whether to send the request there, to
// queue it or to refuse it. The server is nil unless the request is to be sent.
func (d *dispatcher) searchAndDecide(ctx context.Context, s *dispatchState, demand placement.Demand, queued bool) (*leasedServer, placement.Decision) {
	ls := d.search(ctx, s, demand, queued)
	decision := d.decide(s, ls, demand)
	if decision != placement.Send {
		ls.release()
		return nil, decision
	}
	return ls, decision
}

// search returns the best server found, or nil. A queued request checks only a few
// servers until MaxQueueTime after it was received.
func (d *dispatcher) search(ctx context.Context, s *dispatchState, demand placement.Demand, queued bool) *leasedServer {
	if queued && time.Since(s.received) < placement.MaxQueueTime(s.route.Objective) {
		return d.findForQueued(ctx, s.service, demand, s.tried)
	}
	return d.findServer(ctx, s.service, demand, s.tried)
}

// decide returns whether to send the request to the server, to queue it or to refuse it.
func (d *dispatcher) decide(s *dispatchState, ls *leasedServer, demand placement.Demand) placement.Decision {
	held := time.Since(s.received)
	if ls == nil {
		return placement.Decide(nil, demand, held, s.route.Objective)
	}
	return placement.Decide(&ls.candidate, demand, held, s.route.Objective)
}

// demand returns the request's expected work and remaining time, as of now.
func (d *dispatcher) demand(r *request) placement.Demand {
	now := time.Now()
	estimator := d.serviceTimes(r.route)
	serviceTime, crowdedFactor := estimator.Estimate()
	return placement.Demand{
		ServiceTime: serviceTime, CrowdedFactor: crowdedFactor, Spread: estimator.Spread(),
		TrafficCost: d.routeStateOf(r.route).trafficCost(d.options.Settings.Placement.RemoteKBCost),
		MayWait:     now.Sub(r.received) < placement.MaxQueueTime(r.route.Objective),
		Objective:   max(r.objectiveEnd.Sub(now), time.Millisecond),
		TimeLeft:    r.deadline.Sub(now),
	}
}

// queuedRequest is a request in the queue of its service.
type queuedRequest struct {
	placement.Waiter
	atHead bool
	// handoff receives a server at which a call has just ended, exactly once if the request
	// is taken out of the queue by another goroutine. received says that it has been read.
	handoff  chan *leasedServer
	received bool
}

// awaitTurn waits until the request may check servers again: recheckInterval after it is
// or becomes the first in the queue, or after maxWait if it does not become the first. It
// returns earlier with a server that is handed to the request, and false if the context
// ends first.
func (w *queuedRequest) awaitTurn(ctx context.Context, maxWait time.Duration) (*leasedServer, bool) {
	limit := time.NewTimer(max(maxWait, 0))
	defer limit.Stop()
	if !w.atHead {
		select {
		case <-w.Turn:
			w.atHead = true
		case ls := <-w.handoff:
			w.received = true
			return ls, true
		case <-limit.C:
			return nil, true
		case <-ctx.Done():
			return nil, false
		}
	}
	pause := time.NewTimer(recheckInterval)
	defer pause.Stop()
	select {
	case <-pause.C:
	case ls := <-w.handoff:
		w.received = true
		return ls, true
	case <-ctx.Done():
		return nil, false
	}
	return nil, true
}

// takeHandoff returns the server that was handed to the request while it was not waiting, or
// nil if there is none; a nil request has none.
func (s *serviceState) takeHandoff(w *queuedRequest) *leasedServer {
	if w == nil || w.received {
		return nil
	}
	s.mu.Lock()
	queued := w.Queued()
	s.mu.Unlock()
	if queued {
		return nil
	}
	w.received = true
	return <-w.handoff
}

func (s *serviceState) queueLen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Len()
}

// enqueue adds a request to the queue. A request that is sent after latestStart is not
// expected to be answered within its objective.
func (s *serviceState) enqueue(r *routing.Route, latestStart time.Time) *queuedRequest {
	w := &queuedRequest{
		Waiter:  placement.Waiter{Priority: r.Priority, LatestStart: latestStart, Turn: make(chan struct{}, 1)},
		handoff: make(chan *leasedServer, 1),
	}
	w.Owner = w
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Add(&w.Waiter, time.Now())
	return w
}

// dequeue removes a request from the queue; nil is allowed. A server that was handed to
// the request in the meantime goes to the next one in the queue.
func (s *serviceState) dequeue(w *queuedRequest) {
	if w == nil {
		return
	}
	s.mu.Lock()
	handed := !w.Queued() && !w.received
	s.queue.Remove(&w.Waiter, time.Now())
	s.mu.Unlock()
	if handed {
		s.handToFirst(<-w.handoff)
	}
}

// handToFirst gives a server at which a call has just ended to the first request in the
// queue, or releases it if the queue is empty.
func (s *serviceState) handToFirst(ls *leasedServer) {
	s.mu.Lock()
	first := s.queue.Pop()
	s.mu.Unlock()
	if first == nil {
		ls.release()
		return
	}
	first.Owner.(*queuedRequest).handoff <- ls
}

// routeState holds the estimates for a route: the service time of its calls, and how
// long its callers have waited before an attempt.
type routeState struct {
	serviceTimes *placement.ServiceTimeEstimator
	callerWaits  *placement.WaitEstimator
	// meanBytes is the mean size of a call and its answer.
	meanBytes atomic.Uint64
}

const (
	// initialBytes is assumed of a route's calls until the first has ended.
	initialBytes = 5000
	// bytesWeight is the weight of the latest call in the mean size, as a divisor.
	bytesWeight = 16
	// headBytes is about what the heads of a call and its answer take, with the health checks
	// before it.
	headBytes = 1000
	// defaultRemoteKBCost is the default of the setting placement.remote_kb_cost.
	defaultRemoteKBCost = 0.02
)

// observeBytes records the bytes of the bodies of a call and its answer. A lost race between
// two calls loses one of them.
func (s *routeState) observeBytes(bodies int) {
	mean, latest := s.meanBytes.Load(), uint64(headBytes+bodies) //nolint:gosec // a length
	s.meanBytes.Store(mean - mean/bytesWeight + latest/bytesWeight)
}

// trafficCost returns what a call to another data centre costs, given the cost of a kilobyte.
func (s *routeState) trafficCost(perKB float64) float64 {
	return placement.TrafficCost(float64(s.meanBytes.Load()), cmp.Or(perKB, defaultRemoteKBCost))
}

// routeStateOf returns the route's estimates, which are kept by name across changes of
// the configuration.
func (d *dispatcher) routeStateOf(r *routing.Route) *routeState {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.routes[r.Name]
	if !ok {
		s = &routeState{serviceTimes: placement.NewServiceTimeEstimator(r.Objective), callerWaits: placement.NewWaitEstimator()}
		s.meanBytes.Store(initialBytes)
		d.routes[r.Name] = s
	}
	return s
}

// serviceTimes returns the estimator of how long the route's calls run at a server.
func (d *dispatcher) serviceTimes(r *routing.Route) *placement.ServiceTimeEstimator {
	return d.routeStateOf(r).serviceTimes
}

// callerWaits returns the estimator of how long the route's callers have waited before
// an attempt.
func (d *dispatcher) callerWaits(r *routing.Route) *placement.WaitEstimator {
	return d.routeStateOf(r).callerWaits
}
