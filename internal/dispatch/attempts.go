package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
	"github.com/baobabstack/baobabstack/internal/tracing"
	"github.com/baobabstack/baobabstack/internal/view"
)

// RetryingRunner is the Runner that tries servers until one answers. Only calls that
// did not run are repeated, and idempotent ones; both within a budget that calls
// fill. An answer is never repeated, also if it is an error: whoever made it has
// had the chance to repeat the call that failed.
type RetryingRunner struct {
	holder *view.Holder
	clock  clock.Clock

	services sync.Map // *budgets by service name
}

// NewRetryingRunner returns a runner that reads snapshots from the holder.
func NewRetryingRunner(holder *view.Holder, clk clock.Clock) *RetryingRunner {
	return &RetryingRunner{holder: holder, clock: clk}
}

// Run answers an admitted call.
func (a *RetryingRunner) Run(ctx context.Context, req *call.Request) call.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := a.newRun(req)
	hedge := time.NewTimer(r.budgets.call())
	defer hedge.Stop()
	r.launch(ctx)
	for r.open > 0 {
		select {
		case result := <-r.results:
			r.open--
			if r.settles(result) {
				return r.answer(result)
			}
			r.repeat(ctx, result)
		case <-hedge.C:
			r.hedge(ctx)
			hedge.Reset(resendAfter)
		}
	}
	return r.giveUp()
}

// resendAfter is the time from one hedge to the next. It is longer than the time
// after which the servers package stops to trust the connections beside one
// without an answer, so that the next attempt goes over a connection that works.
const resendAfter = servers.OverdueAfter + 100*time.Millisecond

// run is the state of one call's attempts.
type run struct {
	*RetryingRunner
	req     *call.Request
	budgets *budgets
	choice  choice
	start   time.Duration
	tried   [maxAttempts]*servers.Server
	count   int // attempts made
	open    int // attempts without a result
	results chan servers.Result
	unknown bool // an attempt may have run
}

func (a *RetryingRunner) newRun(req *call.Request) *run {
	snapshot := a.holder.Load()
	service := snapshot.Allowances.Services[req.Service]
	stored, ok := a.services.Load(req.Service)
	if !ok {
		stored, _ = a.services.LoadOrStore(req.Service, newBudgets())
	}
	r := &run{
		RetryingRunner: a, req: req, budgets: stored.(*budgets), start: a.clock.Now(),
		results: make(chan servers.Result, maxAttempts),
	}
	r.choice = choice{
		list: snapshot.Services[req.Service], slots: service.Slots, tried: &r.tried,
		trials: req.Idempotent || !service.HasIdempotent(),
	}
	return r
}

// launch starts an attempt, and reports false if there is no server for it.
func (r *run) launch(ctx context.Context) bool {
	if r.count == maxAttempts {
		return false
	}
	r.choice.now = r.clock.Now()
	s := r.choice.next()
	if s == nil {
		return false
	}
	r.tried[r.count] = s
	r.count++
	r.open++
	go func() { r.results <- r.attempt(ctx, s) }()
	return true
}

func (r *run) attempt(ctx context.Context, s *servers.Server) servers.Result {
	ctx, span := tracing.StartAttempt(ctx, s.Info.ID)
	attempt := *r.req
	attempt.TraceParent = tracing.TraceParent(ctx)
	result := s.Do(ctx, r.clock, &attempt)
	tracing.EndAttempt(span, result.Outcome, result.Err)
	return result
}

// settles reports whether a result ends the call.
func (r *run) settles(result servers.Result) bool {
	if result.Outcome == outcome.Unknown {
		r.unknown = !defect.On("forget-lost-attempt")
		return !r.req.Idempotent && !defect.On("repeat-lost-booking")
	}
	return result.Outcome == outcome.Answered
}

func (r *run) answer(result servers.Result) call.Answer {
	if result.Outcome != outcome.Answered {
		return r.lost()
	}
	r.budgets.answered(r.clock.Now() - r.start)
	return result.Answer
}

// repeat makes another attempt after one that failed, if no other is open. An
// attempt that never reached a server costs no budget.
func (r *run) repeat(ctx context.Context, last servers.Result) {
	if r.open > 0 || r.late(ctx) {
		return
	}
	reached := last.Rejected || last.Outcome == outcome.Unknown
	if reached && !r.budgets.takeRetry() {
		extraRefused.Inc()
		return
	}
	if r.launch(ctx) {
		retries.Inc()
	}
}

// hedge makes another attempt beside slow ones: at another server, or over
// another connection if all were tried. A call that is overdue may use the budget
// of retries too, since its connection may have gone silent.
func (r *run) hedge(ctx context.Context) {
	if !r.req.Idempotent && !defect.On("hedge-of-bookings") {
		return
	}
	if r.count == maxAttempts || r.late(ctx) {
		return
	}
	overdue := r.clock.Now()-r.start >= servers.OverdueAfter
	if !r.budgets.takeHedge() && (!overdue || !r.budgets.takeRetry()) {
		extraRefused.Inc()
		return
	}
	if r.launch(ctx) {
		hedges.Inc()
		return
	}
	r.tried = [maxAttempts]*servers.Server{}
	if r.launch(ctx) {
		hedges.Inc()
	}
}

func (r *run) late(ctx context.Context) bool {
	return r.clock.Now() >= r.req.Deadline || ctx.Err() != nil
}

// giveUp answers a call that no server answered.
func (r *run) giveUp() call.Answer {
	switch {
	case r.unknown:
		return r.lost()
	case r.count == 0:
		return call.Refusal(outcome.NotRun, http.StatusServiceUnavailable, "no-server", retryAfter)
	case r.clock.Now() >= r.req.Deadline:
		return call.Refusal(outcome.NotRun, http.StatusGatewayTimeout, "deadline", retryAfter)
	default:
		return call.Refusal(outcome.NotRun, http.StatusServiceUnavailable, "rejected", retryAfter)
	}
}

// lost answers a call that may have run.
func (r *run) lost() call.Answer {
	if r.clock.Now() >= r.req.Deadline {
		return call.Refusal(outcome.Unknown, http.StatusGatewayTimeout, "deadline", 0)
	}
	return call.Refusal(outcome.Unknown, http.StatusBadGateway, "server-lost", 0)
}
