package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// request is one request of a caller on its way.
type request struct {
	id       string
	route    *routing.Route
	service  *service
	version  uint64
	call     upstream.Call
	received time.Time
	deadline time.Time
	// onTimeUntil is until when an answer is within the route's objective, which
	// counts from the caller's first call.
	onTimeUntil time.Time
	trace       *trace
}

// answer is what the caller gets.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration
	reason     string
}

// dispatcher sends requests to servers.
type dispatcher struct {
	options *Options
	metrics *counters

	mu     sync.Mutex
	routes map[string]*routeState
}

// run answers a request.
func (d *dispatcher) run(ctx context.Context, r *request) answer {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.service.state.budget.CountCall(r.received)
	s := sending{request: r, tried: make(map[*upstream.Server]bool)}
	for {
		o, refused := d.place(ctx, &s)
		if o == nil {
			return s.giveUp(refused)
		}
		if s.sends > 0 && !r.service.state.budget.Take(d.slack(), time.Now()) {
			o.release()
			return s.giveUp("retry-budget")
		}
		result := d.send(ctx, &s, o)
		if a, done := s.judge(ctx, result); done {
			return a
		}
	}
}

// slack is this gateway's part of the retries that a window allows whatever the
// requests.
func (d *dispatcher) slack() float64 {
	return slackShare * d.options.Settings.Budgets.RetrySlack / float64(max(d.options.Members.Live(time.Now()), d.options.minFleet()))
}

// slackShare of the slack is given out, since gateways count each other only
// roughly.
const slackShare = 0.5

// sending is the state of one request's sends.
type sending struct {
	*request
	tried map[*upstream.Server]bool
	sends int
	// ran says that a server may have run the request.
	ran bool
	// last is the latest answer of a server that failed the request.
	last *upstream.Result
}

// judge says what follows from the end of a send: the caller's answer, or
// another send.
func (s *sending) judge(ctx context.Context, r upstream.Result) (answer, bool) {
	if good(&r) {
		return s.deliver(&r), true
	}
	s.note(&r)
	again := s.sends < s.route.Attempts && ctx.Err() == nil
	if again && (s.route.Idempotent || r.Outcome == upstream.NotRun || defect.On("gateway-resend-unsafe")) {
		return answer{}, false
	}
	return s.giveUp("attempts"), true
}

// note keeps what a send that failed says of the request.
func (s *sending) note(r *upstream.Result) {
	s.ran = s.ran || r.Outcome != upstream.NotRun
	if r.Outcome == upstream.Answered {
		s.last = r
	}
}

func (s *sending) deliver(r *upstream.Result) answer {
	return answer{status: r.Status, header: r.Header, body: r.Body, reason: "server"}
}

// giveUp answers a request for which no server is left. An answer that a server
// made comes first; a request that may have run is never said not to have.
func (s *sending) giveUp(reason string) answer {
	switch {
	case s.last != nil:
		return s.deliver(s.last)
	case s.ran && defect.On("gateway-refuse-unknown"):
		return answer{status: http.StatusServiceUnavailable, reason: reason}
	case s.ran && !time.Now().Before(s.deadline):
		return answer{status: http.StatusGatewayTimeout, reason: "timeout"}
	case s.ran:
		return answer{status: http.StatusBadGateway, reason: reason}
	default:
		return answer{status: http.StatusServiceUnavailable, reason: reason, retryAfter: placement.RetryAfter(time.Until(s.deadline))}
	}
}

// send sends a request to one server and waits for its end; a request that may
// run more than once is looked after.
func (d *dispatcher) send(ctx context.Context, s *sending, o *offer) upstream.Result {
	if s.route.Idempotent {
		return d.watched(ctx, s, o)
	}
	index := s.begin(o)
	result := d.exchange(ctx, s.request, o)
	s.trace.ended(index, result)
	return result
}

// begin counts a send and returns its index in the trace.
func (s *sending) begin(o *offer) int {
	now := time.Now()
	s.sends++
	s.tried[o.target.server] = true
	o.target.health.sent(now)
	return s.trace.sent(o, now)
}

// exchange sends a request and waits for its end. It is safe to run beside other
// sends of the request.
func (d *dispatcher) exchange(ctx context.Context, r *request, o *offer) upstream.Result {
	d.metrics.sends.Inc()
	begin := time.Now()
	call := r.call
	call.Deadline = r.deadline
	result := o.lease.Send(ctx, &call)
	d.learn(ctx, r, o, &result, time.Since(begin))
	d.passOn(r.service, o, &result)
	return result
}

// passOn gives a server at which a call has just ended to a request that waits, if
// it has a free slot and is not slow.
func (d *dispatcher) passOn(svc *service, o *offer, r *upstream.Result) {
	now := time.Now()
	next := &offer{target: o.target, lease: o.lease, candidate: o.target.candidate(now), answeredAt: now}
	if r.HasLoad && o.lease.Usable() && next.candidate.HasFreeSlot() && next.candidate.Slowness < passOnSlowness {
		svc.state.hand(next)
		return
	}
	o.lease.Release()
}

// passOnSlowness is the slowness from which a server is not worth waiting for.
const passOnSlowness = 2.0

// learn keeps what the end of a send says of its server.
func (d *dispatcher) learn(ctx context.Context, s *request, o *offer, r *upstream.Result, took time.Duration) {
	now := time.Now()
	h := o.target.health
	h.answered(r.Load, r.HasLoad)
	switch {
	case r.WrongServer:
		h.unanswered(now)
	case r.Outcome == upstream.Answered && r.Status < http.StatusInternalServerError:
		h.called(false, took, now)
		if o.candidate.HasFreeSlot() {
			d.work(s.route).Observe(took, o.candidate)
		}
	case ctx.Err() == nil || r.Outcome == upstream.Answered:
		h.called(true, took, now)
	}
}
