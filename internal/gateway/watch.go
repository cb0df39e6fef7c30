package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// sendResult is the end of one of the concurrent sends of a request.
type sendResult struct {
	index  int // in the request's trace
	result upstream.Result
}

// sendWithHedge sends a request, and also sends it to a second server if the answer is
// overdue and another server has room. It returns the first usable answer and cancels
// the other send.
func (d *dispatcher) sendWithHedge(ctx context.Context, s *dispatchState, ls *leasedServer) upstream.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	demand := d.demand(s.request)
	begin := time.Now()
	ended := make(chan sendResult, 2)
	first := d.startAsync(ctx, s, ls, ended)
	timer := time.NewTimer(placement.HedgeDelay(ls.candidate, demand))
	defer timer.Stop()
	for running, searches := 1, 1; ; {
		select {
		case end := <-ended:
			running--
			s.trace.endSend(end.index, end.result)
			if usableByCaller(&end.result) && end.index != first {
				ls.target.health.recordCall(true, time.Since(begin), time.Now())
			}
			if running == 0 || usableByCaller(&end.result) {
				return end.result
			}
			s.recordFailure(&end.result)
		case <-timer.C:
			if s.sends >= s.route.Attempts || ctx.Err() != nil {
				continue
			}
			if second := d.findHedge(ctx, s); second != nil {
				d.metrics.hedges.Inc()
				d.startAsync(ctx, s, second, ended)
				s.trace.markHedge()
				running++
			} else if pause, again := placement.HedgeRetryDelay(searches, demand); again {
				searches++
				timer.Reset(pause)
			}
		}
	}
}

// startAsync sends a request in a new goroutine, which reports its end on the channel,
// and returns the index of the send in the trace.
func (d *dispatcher) startAsync(ctx context.Context, s *dispatchState, ls *leasedServer, ended chan<- sendResult) int {
	index := s.startSend(ls)
	go func() { ended <- sendResult{index: index, result: d.exchange(ctx, s.request, ls)} }()
	return index
}

// usableByCaller reports whether a result is a server's answer with a status below 500.
func usableByCaller(r *upstream.Result) bool {
	return r.Outcome == upstream.Answered && r.Status < http.StatusInternalServerError
}

// findHedge returns a second server for an overdue request, or nil if none has room, a
// request is queued, a budget is used up or no time is left.
func (d *dispatcher) findHedge(ctx context.Context, s *dispatchState) *leasedServer {
	demand := d.demand(s.request)
	state := s.service.state
	if demand.TimeLeft <= 0 || state.queueLen() > 0 || !state.checkBudget.HasSpare(d.checkRate(s.service), time.Now()) {
		return nil
	}
	second := d.findServer(ctx, s.service, demand, s.tried)
	if second == nil || !placement.ShouldHedge(second.candidate, demand) || !second.target.claim(time.Now()) || !d.takeExtraSend(s.request) {
		second.release()
		return nil
	}
	return second
}
