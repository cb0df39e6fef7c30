package dispatch

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/policy/admit"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/supervisor/shares"
	"github.com/baobabstack/baobabstack/internal/view"
)

// AdmissionController is the Admission that holds customers to their allowances and services
// to what their servers can run. It is safe for concurrent use.
type AdmissionController struct {
	holder *view.Holder
	clock  clock.Clock
	book   *shares.Book
	queues queues
	// most is the calls of all services that the entry takes.
	most int
}

// NewAdmissionController returns an admission that reads the lists from the holder and this
// entry's shares from the book. The entry takes at most so many calls at a time.
func NewAdmissionController(holder *view.Holder, clk clock.Clock, book *shares.Book, maxInFlight int) *AdmissionController {
	return &AdmissionController{holder: holder, clock: clk, book: book, queues: queues{clock: clk}, most: maxInFlight}
}

// Admit takes the call's share of its allowance and a place at the service's
// servers, for which it may wait. A refusal is always not-run.
func (l *AdmissionController) Admit(ctx context.Context, req *call.Request) (func(), *call.Answer) {
	snapshot := l.holder.Load()
	if snapshot.Allowances == nil {
		return nil, refuse(http.StatusServiceUnavailable, "not-ready", retryAfter)
	}
	allowance, ok := snapshot.Allowances.Plans[req.Customer.Plan][req.Service]
	if !ok {
		return nil, refuse(http.StatusForbidden, "service-not-in-plan", 0)
	}
	key := shares.Key{Customer: req.Customer.Name, Service: req.Service}
	pass, refusal := l.book.Admit(key, shares.LimitOf(allowance, snapshot.Allowances.Entries))
	if refusal.Reason != "" {
		return nil, refuse(shareStatus(refusal.Reason), string(refusal.Reason), refusal.RetryAfter)
	}
	bounds := l.boundsOf(snapshot, req.Service)
	widen := func(running int) admit.Bounds {
		return bounds.WithFreeSlots(running, l.freeSlots(snapshot, req.Service), l.most)
	}
	leave, answer := l.queues.enter(ctx, req, allowance.Priority, bounds, widen)
	if answer != nil {
		pass.Refund()
		return nil, answer
	}
	return func() {
		leave()
		pass.Release()
	}, nil
}

func shareStatus(r shares.Reason) int {
	if r == shares.Memory {
		return http.StatusServiceUnavailable
	}
	return http.StatusTooManyRequests
}

// overcommit is how many times the slots of a service all entries together may
// have in flight by their parts. What is beyond the slots waits at the servers,
// where no fair queue orders it.
const overcommit = 2

// boundsOf returns the calls of a service that this entry takes.
func (l *AdmissionController) boundsOf(snapshot *view.Snapshot, service string) admit.Bounds {
	if defect.On("no-service-bound") {
		return admit.Bounds{Running: math.MaxInt, Waiting: math.MaxInt}
	}
	slots := snapshot.Allowances.Services[service].Slots
	entries := len(snapshot.Peers) + 1
	places := (overcommit*slots*len(snapshot.Services[service]) + entries - 1) / entries
	return admit.BoundsOf(max(places, slots), l.most)
}

// freeSlots returns the slots of a service that its servers' latest reports leave
// free.
func (l *AdmissionController) freeSlots(snapshot *view.Snapshot, service string) int {
	slots := snapshot.Allowances.Services[service].Slots
	now := l.clock.Now()
	free := 0.0
	for _, s := range snapshot.Services[service] {
		if c, ok := s.Candidate(now, slots); ok {
			free += max(float64(slots)-c.OthersInFlight-float64(c.InFlight), 0)
		}
	}
	return int(free)
}

// refuse returns a refusal that says not-run, and counts it.
func refuse(status int, reason string, retryAfter time.Duration) *call.Answer {
	metrics.GetOrCreateCounter(`baobab_refused_total{reason="` + reason + `"}`).Inc()
	a := call.Refusal(outcome.NotRun, status, reason, retryAfter)
	return &a
}
