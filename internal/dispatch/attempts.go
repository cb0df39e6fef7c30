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

// RetryingRunner is the Runner that tries servers until one answers. It retries a
// call only if the call did not run or is idempotent, and within a retry budget
// that grows with the number of calls. It never retries after an answer, not even
// after an error status: if a call that the server itself made has failed, the server
// could have retried that one. It is safe for concurrent use.
type RetryingRunner struct {
	holder *view.Holder
	clock  clock.Clock

	services sync.Map // *budgets by service name
}

// NewRetryingRunner returns a runner that takes the lists of servers from the
// holder's snapshots.
func NewRetryingRunner(holder *view.Holder, clk clock.Clock) *RetryingRunner {
	return &RetryingRunner{holder: holder, clock: clk}
}

// Run runs an admitted call and returns its answer. When it returns, attempts that
// are still in flight are cancelled.
func (rr *RetryingRunner) Run(ctx context.Context, req *call.Request) call.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := rr.newRun(req)
	hedge := time.NewTimer(r.budgets.recordCall())
	defer hedge.Stop()
	r.startAttempt(ctx)
	for r.pending > 0 {
		select {
		case result := <-r.results:
			r.pending--
			if r.isFinal(result) {
				return r.answer(result)
			}
			r.retry(ctx, result)
		case <-hedge.C:
			r.hedge(ctx)
			hedge.Reset(hedgeInterval)
		}
	}
	return r.giveUp()
}

// hedgeInterval is the time between two hedges of a call. An answer is overdue after
// servers.OverdueAfter, and the servers package then closes the server's idle
// connections that may be broken. The interval is longer than that, so that the next
// attempt uses a working connection.
const hedgeInterval = servers.OverdueAfter + 100*time.Millisecond

// run holds the state of one call's attempts.
type run struct {
	*RetryingRunner
	req        *call.Request
	budgets    *budgets
	candidates candidates
	startedAt  time.Duration
	tried      [maxAttempts]*servers.Server
	attempts   int // attempts started
	pending    int // attempts in flight
	results    chan servers.Result
	mayHaveRun bool // an attempt ended with the outcome unknown
}

func (rr *RetryingRunner) newRun(req *call.Request) *run {
	snapshot := rr.holder.Load()
	service := snapshot.Allowances.Services[req.Service]
	stored, ok := rr.services.Load(req.Service)
	if !ok {
		stored, _ = rr.services.LoadOrStore(req.Service, newBudgets())
	}
	r := &run{
		RetryingRunner: rr, req: req, budgets: stored.(*budgets), startedAt: rr.clock.Now(),
		results: make(chan servers.Result, maxAttempts),
	}
	r.candidates = candidates{
		servers: snapshot.Services[req.Service], slots: service.Slots, tried: &r.tried,
		allowTrial: req.Idempotent || !service.HasIdempotent(),
	}
	return r
}

// startAttempt starts an attempt. It returns false if no untried server accepts calls
// or the call has had all its attempts.
func (r *run) startAttempt(ctx context.Context) bool {
	if r.attempts == maxAttempts {
		return false
	}
	r.candidates.now = r.clock.Now()
	s := r.candidates.choose()
	if s == nil {
		return false
	}
	r.tried[r.attempts] = s
	r.attempts++
	r.pending++
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

// isFinal reports whether a result ends the call, and sets mayHaveRun if the outcome
// is unknown. A call that is not idempotent ends with the first unknown outcome,
// since a retry could run it twice.
func (r *run) isFinal(result servers.Result) bool {
	if result.Outcome == outcome.Unknown {
		r.mayHaveRun = !defect.On("forget-lost-attempt")
		return !r.req.Idempotent && !defect.On("repeat-lost-booking")
	}
	return result.Outcome == outcome.Answered
}

func (r *run) answer(result servers.Result) call.Answer {
	if result.Outcome != outcome.Answered {
		return r.unknownAnswer()
	}
	r.budgets.observeLatency(r.clock.Now() - r.startedAt)
	return result.Answer
}

// retry starts another attempt after a failed one, unless other attempts are in
// flight or the call has expired. A retry is not charged to the budget if the failed
// attempt never reached a server.
func (r *run) retry(ctx context.Context, last servers.Result) {
	if r.pending > 0 || r.expired(ctx) {
		return
	}
	reached := last.Rejected || last.Outcome == outcome.Unknown
	if reached && !r.budgets.takeRetry() {
		extraAttemptsRefused.Inc()
		return
	}
	if r.startAttempt(ctx) {
		retries.Inc()
	}
}

// hedge starts another attempt of an idempotent call while earlier ones are in
// flight: at an untried server or, if none accepts calls, at a tried one over another
// connection. An overdue call may also use the retry budget, since its connection may
// be broken without a reset.
func (r *run) hedge(ctx context.Context) {
	if !r.req.Idempotent && !defect.On("hedge-of-bookings") {
		return
	}
	if r.attempts == maxAttempts || r.expired(ctx) {
		return
	}
	overdue := r.clock.Now()-r.startedAt >= servers.OverdueAfter
	if !r.budgets.takeHedge() && (!overdue || !r.budgets.takeRetry()) {
		extraAttemptsRefused.Inc()
		return
	}
	if r.startAttempt(ctx) {
		hedges.Inc()
		return
	}
	r.tried = [maxAttempts]*servers.Server{}
	if r.startAttempt(ctx) {
		hedges.Inc()
	}
}

// expired reports whether the deadline has passed or the context has ended.
func (r *run) expired(ctx context.Context) bool {
	return r.clock.Now() >= r.req.Deadline || ctx.Err() != nil
}

// giveUp returns the answer to a call that no server answered.
func (r *run) giveUp() call.Answer {
	switch {
	case r.mayHaveRun:
		return r.unknownAnswer()
	case r.attempts == 0:
		return call.Refusal(outcome.NotRun, http.StatusServiceUnavailable, "no-server", defaultRetryAfter)
	case r.clock.Now() >= r.req.Deadline:
		return call.Refusal(outcome.NotRun, http.StatusGatewayTimeout, "deadline", defaultRetryAfter)
	default:
		return call.Refusal(outcome.NotRun, http.StatusServiceUnavailable, "rejected", defaultRetryAfter)
	}
}

// unknownAnswer returns the answer to a call that may have run.
func (r *run) unknownAnswer() call.Answer {
	if r.clock.Now() >= r.req.Deadline {
		return call.Refusal(outcome.Unknown, http.StatusGatewayTimeout, "deadline", 0)
	}
	return call.Refusal(outcome.Unknown, http.StatusBadGateway, "server-lost", 0)
}
