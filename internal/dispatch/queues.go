package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/policy/admit"
)

// queues holds a queue for each service. It is safe for concurrent use.
type queues struct {
	clock    clock.Clock
	services sync.Map // service name to *queue
}

// queue is one service's queue and the lock that guards it.
type queue struct {
	clock  clock.Clock
	mu     sync.Mutex
	policy *admit.Queue
}

var queueWait = metrics.NewHistogram("baobab_queue_wait_seconds")

func (s *queues) of(service string, bounds admit.Bounds) *queue {
	if q, ok := s.services.Load(service); ok {
		return q.(*queue)
	}
	q, _ := s.services.LoadOrStore(service, &queue{clock: s.clock, policy: admit.NewQueue(bounds)})
	return q.(*queue)
}

// enter takes a place at the service, for which the call may wait, and returns
// the function that leaves it, or a refusal. When all places are taken, widen
// returns the bounds by what the servers report.
func (s *queues) enter(ctx context.Context, req *call.Request, priority int, bounds admit.Bounds, widen func(running int) admit.Bounds) (func(), *call.Answer) {
	q := s.of(req.Service, bounds)
	if running := q.running(); running >= bounds.Running {
		bounds = widen(running)
	}
	waiter, verdict, wait := q.arrive(req, priority, bounds)
	switch verdict {
	case admit.Run:
		return q.leaver(), nil
	case admit.Reject:
		return nil, refuse(http.StatusServiceUnavailable, "overloaded", max(wait, minRetryAfter))
	}
	arrived := s.clock.Now()
	admitted := q.wait(ctx, waiter)
	queueWait.Update((s.clock.Now() - arrived).Seconds())
	if !admitted {
		return nil, refuse(http.StatusServiceUnavailable, "queue-timeout", max(wait, minRetryAfter))
	}
	return q.leaver(), nil
}

// minRetryAfter is the least advice given with a refusal for load.
const minRetryAfter = 50 * time.Millisecond

func (q *queue) running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.policy.Running()
}

func (q *queue) arrive(req *call.Request, priority int, bounds admit.Bounds) (*admit.Waiter, admit.Decision, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if q.policy.Bounds() != bounds {
		q.policy.SetBounds(now, bounds)
	}
	return q.policy.Admit(now, req.Customer.Name, priority, req.Deadline)
}

// wait reports whether the waiter's call may run. It ends at the waiter's latest
// start or when the caller leaves.
func (q *queue) wait(ctx context.Context, t *admit.Waiter) bool {
	timer := time.NewTimer(t.StartDeadline() - q.clock.Now())
	defer timer.Stop()
	select {
	case admitted := <-t.Decided():
		return admitted
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	cancelled := q.policy.Cancel(t)
	q.mu.Unlock()
	return !cancelled && <-t.Decided()
}

// leaver returns the function that ends a call which starts now.
func (q *queue) leaver() func() {
	started := q.clock.Now()
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		now := q.clock.Now()
		q.policy.Done(now, now-started)
	}
}
