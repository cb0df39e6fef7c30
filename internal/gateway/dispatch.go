package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/memory"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/routing"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// request is a caller's request while the gateway handles it.
type request struct {
	id       string
	route    *routing.Route
	service  *service
	version  uint64
	call     upstream.Call
	received time.Time
	deadline time.Time
	// objectiveEnd is when the route's latency objective ends. It counts from the
	// caller's first attempt, which may have been sent to another gateway.
	objectiveEnd time.Time
	// cameBack says that the caller may have had an attempt before this one. Callers open a new
	// connection for each retry, so a request on a kept one is a first attempt.
	cameBack bool
	trace    *trace
	answers  *answerBodies
}

// answer is the response to the caller. The reason is only logged.
type answer struct {
	status     int
	header     http.Header
	body       *memory.Body
	retryAfter time.Duration
	reason     string
}

// dispatcher chooses servers for requests, sends the requests and retries them. It is
// safe for concurrent use.
type dispatcher struct {
	options *Options
	metrics *counters
	stop    stopState

	mu     sync.Mutex
	routes map[string]*routeState
}

// dispatch sends a request until a server gives a usable answer or no further send is
// allowed, and returns the answer to the caller.
func (d *dispatcher) dispatch(ctx context.Context, r *request) answer {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.service.state.retryBudget.CountCall(r.received)
	s := dispatchState{request: r, tried: make(map[*upstream.Server]bool)}
	for {
		ls, refused := d.acquireServer(ctx, &s)
		if ls == nil {
			return d.failureAnswer(&s, refused)
		}
		if !ls.target.claim(time.Now()) {
			ls.release()
			continue
		}
		if s.sends > 0 && !d.takeExtraSend(r) {
			ls.release()
			return d.failureAnswer(&s, "retry-budget")
		}
		result := d.send(ctx, &s, ls)
		if a, done := d.handleResult(ctx, &s, result); done {
			return a
		}
	}
}

// takeExtraSend reports whether the retry budget allows one more send of a request, and
// counts it if so.
func (d *dispatcher) takeExtraSend(r *request) bool {
	now := time.Now()
	budget, size := r.service.state.retryBudget, d.options.fleetSize(now)
	slack := d.retrySlack(size)
	granted := budget.Take(slack, r.cameBack, now)
	spent, allowed := budget.Usage(slack, now)
	r.trace.setRetryBudget(spent, allowed, size)
	countExtraSend(r.service.name, granted)
	return granted
}

// retrySlack returns this gateway's share of the retries and hedges that are allowed in
// each window regardless of the number of requests. There is none while the gateway may
// know only a part of the fleet: all parts together could use it many times over.
func (d *dispatcher) retrySlack(size fleet.Size) float64 {
	if !size.Known {
		return 0
	}
	return retrySlackShare * d.options.Settings.Budgets.RetrySlack / float64(size.Gateways)
}

// retrySlackShare is the share of the retry slack that is used. The rest is a margin,
// because a gateway knows only approximately how many gateways share the slack.
const retrySlackShare = 0.7

// dispatchState is the state of a request across its sends.
type dispatchState struct {
	*request
	tried map[*upstream.Server]bool
	sends int
	// mayHaveRun says that a server may have executed the request.
	mayHaveRun bool
	// retryAfter is when the caller may come back, from now; 0 leaves that to placement.
	retryAfter time.Duration
	// lastAnswer is the latest error response of a server.
	lastAnswer *upstream.Result
}

// handleResult returns the answer to the caller and true, or false if the request is to
// be sent again.
func (d *dispatcher) handleResult(ctx context.Context, s *dispatchState, r upstream.Result) (answer, bool) {
	if usableByCaller(&r) {
		return s.serverAnswer(&r), true
	}
	s.recordFailure(&r)
	if errors.Is(r.Err, upstream.ErrLeftAlone) {
		s.sends-- // nothing was sent
	}
	again := s.sends < s.route.Attempts && ctx.Err() == nil
	if again && (s.route.Idempotent || r.Outcome == upstream.NotRun || defect.On("gateway-resend-unsafe")) {
		return answer{}, false
	}
	return d.failureAnswer(s, "attempts"), true
}

// recordFailure records whether a failed send may have executed the request, and the
// server's error response.
func (s *dispatchState) recordFailure(r *upstream.Result) {
	s.mayHaveRun = s.mayHaveRun || r.Outcome != upstream.NotRun
	if r.Outcome == upstream.Answered {
		s.lastAnswer = r
	}
}

func (s *dispatchState) serverAnswer(r *upstream.Result) answer {
	return answer{status: r.Status, header: r.Header, body: r.Body, reason: "server"}
}

// failureAnswer returns the answer to a request that is not sent again. A server's own
// error response takes precedence. 503 is used only if no server can have executed the
// request.
func (d *dispatcher) failureAnswer(s *dispatchState, reason string) answer {
	switch {
	case s.lastAnswer != nil:
		return s.serverAnswer(s.lastAnswer)
	case s.mayHaveRun && defect.On("gateway-refuse-unknown"):
		return answer{status: http.StatusServiceUnavailable, reason: reason}
	case s.mayHaveRun && !time.Now().Before(s.deadline):
		return answer{status: http.StatusGatewayTimeout, reason: "timeout"}
	case s.mayHaveRun:
		return answer{status: http.StatusBadGateway, reason: reason}
	case reason == reasonStopping: // another gateway can take it at once
		return answer{status: http.StatusServiceUnavailable, reason: reason}
	default:
		return answer{status: http.StatusServiceUnavailable, reason: reason, retryAfter: cmp.Or(s.retryAfter, placement.RetryAfter(s.refusal(), d.demand(s.request)))}
	}
}

// refusal returns why the request is refused, for the time after which its caller comes back.
func (s *dispatchState) refusal() placement.Refusal {
	if s.sends > 0 {
		return placement.TurnedAway
	}
	return placement.NoRoom
}

// send sends a request to one server and waits for the result. An idempotent request
// that is overdue is also sent to a second server.
func (d *dispatcher) send(ctx context.Context, s *dispatchState, ls *leasedServer) upstream.Result {
	if s.route.Idempotent {
		return d.sendWithHedge(ctx, s, ls)
	}
	index := s.startSend(ls)
	result := d.exchange(ctx, s.request, ls)
	s.trace.endSend(index, result)
	return result
}

// startSend counts a send and returns its index in the trace.
func (s *dispatchState) startSend(ls *leasedServer) int {
	now := time.Now()
	s.sends++
	s.service.state.sends.Add(1)
	s.tried[ls.target.server] = true
	ls.target.health.recordSend(now)
	if ls.because != "" {
		countRemoteSend(s.service.name, ls.because)
	}
	return s.trace.addSend(ls, now)
}

// exchange sends a request and waits for the result. It may run concurrently with other
// sends of the request.
func (d *dispatcher) exchange(ctx context.Context, r *request, ls *leasedServer) upstream.Result {
	d.metrics.sends.Inc()
	begin := time.Now()
	call := r.call
	call.Deadline = r.deadline
	result := ls.lease.Send(ctx, &call)
	r.answers.add(result.Body)
	if result.Outcome == upstream.Answered {
		d.routeStateOf(r.route).observeBytes(call.BodyBytes() + result.Body.Len())
	}
	d.metrics.countGivenUp(&result)
	d.recordResult(ctx, r, ls, &result, time.Since(begin))
	d.offerToQueue(r.service, ls, &result)
	return result
}

// offerToQueue hands the server of a finished send to the first queued request if the
// server reports a free slot and is not slow; otherwise it releases the connection.
func (d *dispatcher) offerToQueue(svc *service, ls *leasedServer, r *upstream.Result) {
	now := time.Now()
	next := &leasedServer{target: ls.target, lease: ls.lease, candidate: ls.target.candidate(now), answeredAt: now}
	if r.HasLoad && ls.lease.Usable() && ls.target.available(now) && !ls.target.health.leftOut() && next.candidate.HasFreeSlot() && next.candidate.Slowness < maxHandoffSlowness {
		svc.state.handToFirst(next)
		return
	}
	ls.lease.Release()
}

// maxHandoffSlowness is the slowness from which a server is not handed to queued
// requests.
const maxHandoffSlowness = 2.0

// outlasted reports whether a call without an answer ended at its deadline although the
// server had more time than calls take.
func (d *dispatcher) outlasted(ctx context.Context, r *request, ls *leasedServer, took time.Duration) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && took > placement.LostAfter(ls.candidate, d.demand(r))
}

// recordResult updates the health of the server, and the estimate of the route's service
// time, with the result of a send.
func (d *dispatcher) recordResult(ctx context.Context, req *request, ls *leasedServer, r *upstream.Result, took time.Duration) {
	now := time.Now()
	h := ls.target.health
	h.recordLoad(r.Load, r.HasLoad)
	if d.recordRefusals(req, ls, r, now) || errors.Is(r.Err, upstream.ErrLeftAlone) {
		return
	}
	switch {
	case r.WrongServer:
		h.recordFailedCheck(now)
	case r.Outcome == upstream.Answered && r.Status < http.StatusInternalServerError:
		h.recordCall(false, took, now)
		if ls.candidate.HasFreeSlot() {
			d.serviceTimes(req.route).Observe(took, ls.candidate)
		}
	case ctx.Err() == nil || r.Outcome == upstream.Answered || d.outlasted(ctx, req, ls, took):
		h.recordCall(true, took, now)
	}
}
