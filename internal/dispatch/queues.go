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

// queues holds one admission queue per service. It is safe for concurrent use.
type queues struct {
	clock    clock.Clock
	services sync.Map // service name to *queue
}

// queue is the admission queue of one service. It is safe for concurrent use.
type queue struct {
	clock  clock.Clock
	mu     sync.Mutex
	policy *admit.Queue // guarded by mu
}

var queueWaitSeconds = metrics.NewHistogram("baobab_queue_wait_seconds")

// forService returns the service's queue, and creates it with the bounds if there is
// none.
func (qs *queues) forService(service string, bounds admit.Bounds) *queue {
	if q, ok := qs.services.Load(service); ok {
		return q.(*queue)
	}
	q, _ := qs.services.LoadOrStore(service, &queue{clock: qs.clock, policy: admit.NewQueue(bounds)})
	return q.(*queue)
}

// enter returns a refusal or, if needed after a wait in the service's queue, lets the
// call run and returns a function that must be called when the call has ended. When
// the limit of running calls is reached, enter takes the bounds from widen, which
// raises them by the servers' free slots.
func (qs *queues) enter(ctx context.Context, req *call.Request, priority int, bounds admit.Bounds, widen func(running int) admit.Bounds) (func(), *call.Answer) {
	q := qs.forService(req.Service, bounds)
	if running := q.running(); running >= bounds.Running {
		bounds = widen(running)
	}
	waiter, verdict, wait := q.arrive(req, priority, bounds)
	switch verdict {
	case admit.Run:
		return q.startCall(), nil
	case admit.Reject:
		return nil, refuse(http.StatusServiceUnavailable, "overloaded", max(wait, minRetryAfter))
	}
	arrived := qs.clock.Now()
	admitted := q.wait(ctx, waiter)
	queueWaitSeconds.Update((qs.clock.Now() - arrived).Seconds())
	if !admitted {
		return nil, refuse(http.StatusServiceUnavailable, "queue-timeout", max(wait, minRetryAfter))
	}
	return q.startCall(), nil
}

// minRetryAfter is the shortest retry delay sent with a refusal for overload.
const minRetryAfter = 50 * time.Millisecond

func (q *queue) running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.policy.Running()
}

// arrive sets the queue's bounds and lets the queue decide on the call. The results
// are those of admit.Queue.Admit.
func (q *queue) arrive(req *call.Request, priority int, bounds admit.Bounds) (*admit.Waiter, admit.Decision, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	if q.policy.Bounds() != bounds {
		q.policy.SetBounds(now, bounds)
	}
	return q.policy.Admit(now, req.Customer.Name, priority, req.Deadline)
}

// wait waits until the queue admits or refuses the call, its latest start time has
// passed or the context has ended. It reports whether the call may run.
func (q *queue) wait(ctx context.Context, waiter *admit.Waiter) bool {
	timer := time.NewTimer(waiter.StartDeadline() - q.clock.Now())
	defer timer.Stop()
	select {
	case admitted := <-waiter.Decided():
		return admitted
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	cancelled := q.policy.Cancel(waiter)
	q.mu.Unlock()
	return !cancelled && <-waiter.Decided()
}

// startCall records the start time of an admitted call and returns the function that
// ends it.
func (q *queue) startCall() func() {
	started := q.clock.Now()
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		now := q.clock.Now()
		q.policy.Done(now, now-started)
	}
}
