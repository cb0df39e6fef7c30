package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/policy/pick"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
	"github.com/baobabstack/baobabstack/internal/tracing"
	"github.com/baobabstack/baobabstack/internal/view"
)

// maxAttempts bounds the attempts of one call.
const maxAttempts = 3

// Attempts is the Runner that tries servers one after the other.
type Attempts struct {
	holder *view.Holder
	clock  clock.Clock
}

// NewAttempts returns a runner that reads snapshots from the holder.
func NewAttempts(holder *view.Holder, clk clock.Clock) *Attempts {
	return &Attempts{holder: holder, clock: clk}
}

// Run answers an admitted call.
func (a *Attempts) Run(ctx context.Context, req *call.Request) call.Answer {
	snapshot := a.holder.Load()
	slots := snapshot.Allowances.Services[req.Service].Slots
	list := snapshot.Services[req.Service]
	lost := false
	tried := make(map[*servers.Server]bool, maxAttempts)
	for range maxAttempts {
		s := choose(list, slots, tried)
		if s == nil {
			break
		}
		tried[s] = true
		result := a.attempt(ctx, req, s)
		if result.Outcome == outcome.Answered {
			return result.Answer
		}
		lost = (lost && !defect.On("forget-lost-attempt")) || result.Outcome == outcome.Unknown
		if lost && !req.Idempotent {
			return call.Refusal(outcome.Unknown, http.StatusBadGateway, "server-lost", 0)
		}
		if a.clock.Now() >= req.Deadline || ctx.Err() != nil {
			break
		}
	}
	return a.giveUp(req, lost, len(tried) > 0)
}

func (a *Attempts) attempt(ctx context.Context, req *call.Request, s *servers.Server) servers.Result {
	ctx, span := tracing.StartAttempt(ctx, s.Info.ID)
	attempt := *req
	attempt.TraceParent = tracing.TraceParent(ctx)
	result := s.Do(ctx, a.clock, &attempt)
	tracing.EndAttempt(span, result.Outcome, result.Err)
	return result
}

// giveUp answers a call that no server answered. If any attempt was lost the
// call may have run, whatever came of the others.
func (a *Attempts) giveUp(req *call.Request, lost, tried bool) call.Answer {
	switch {
	case !tried:
		return call.Refusal(outcome.NotRun, http.StatusServiceUnavailable, "no-server", retryAfter)
	case lost:
		return call.Refusal(outcome.Unknown, http.StatusBadGateway, "server-lost", 0)
	case a.clock.Now() >= req.Deadline:
		return call.Refusal(outcome.NotRun, http.StatusGatewayTimeout, "deadline", retryAfter)
	default:
		return call.Refusal(outcome.NotRun, http.StatusServiceUnavailable, "rejected", retryAfter)
	}
}

// choose returns the best server that takes work and was not tried, or nil.
func choose(list []*servers.Server, slots int, tried map[*servers.Server]bool) *servers.Server {
	candidates := make([]pick.Candidate, 0, len(list))
	eligible := make([]*servers.Server, 0, len(list))
	for _, s := range list {
		if !s.TakesWork() || tried[s] {
			continue
		}
		candidates = append(candidates, s.Candidate(slots))
		eligible = append(eligible, s)
	}
	i := pick.Least(candidates, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if i < 0 {
		return nil
	}
	return eligible[i]
}
