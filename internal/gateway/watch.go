package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/upstream"
)

// leg is one of the sends of a request that run side by side.
type leg struct {
	index  int // in the request's trace
	result upstream.Result
}

// watched sends a request, and sends it to a second server as well if the answer
// is overdue and another has room. It returns the first good answer and breaks the
// other send off.
func (d *dispatcher) watched(ctx context.Context, s *sending, o *offer) upstream.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	demand := d.demand(s.request)
	begin := time.Now()
	ended := make(chan leg, 2)
	first := d.launch(ctx, s, o, ended)
	timer := time.NewTimer(placement.HedgeDelay(o.candidate, demand))
	defer timer.Stop()
	for running, look := 1, 1; ; {
		select {
		case l := <-ended:
			running--
			s.trace.ended(l.index, l.result)
			if good(&l.result) && l.index != first {
				o.target.health.called(true, time.Since(begin), time.Now())
			}
			if running == 0 || good(&l.result) {
				return l.result
			}
			s.note(&l.result)
		case <-timer.C:
			if s.sends >= s.route.Attempts || ctx.Err() != nil {
				continue
			}
			if second := d.rescue(ctx, s); second != nil {
				d.metrics.hedges.Inc()
				d.launch(ctx, s, second, ended)
				s.trace.hedged()
				running++
			} else if pause, again := placement.HedgeRetryDelay(look, demand); again {
				look++
				timer.Reset(pause)
			}
		}
	}
}

// launch sends a request in a goroutine of its own and returns its index in the
// trace.
func (d *dispatcher) launch(ctx context.Context, s *sending, o *offer, ended chan<- leg) int {
	index := s.begin(o)
	go func() { ended <- leg{index: index, result: d.exchange(ctx, s.request, o)} }()
	return index
}

// good reports whether a result is an answer that the caller can use.
func good(r *upstream.Result) bool {
	return r.Outcome == upstream.Answered && r.Status < http.StatusInternalServerError
}

// rescue returns a second server for an overdue request, or nil.
func (d *dispatcher) rescue(ctx context.Context, s *sending) *offer {
	demand := d.demand(s.request)
	state := s.service.state
	if demand.TimeLeft <= 0 || state.waiting() > 0 || !state.asks.HasSpare(d.probeRate(s.service), time.Now()) {
		return nil
	}
	second := d.find(ctx, s.service, demand, s.tried)
	if second == nil || !placement.ShouldHedge(second.candidate, demand) || !state.budget.Take(d.slack(), time.Now()) {
		second.release()
		return nil
	}
	return second
}
