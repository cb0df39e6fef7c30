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

// AdmissionController is the Admission that limits customers to their allowances
// and services to the capacity of their servers. It is safe for concurrent use.
type AdmissionController struct {
	holder   *view.Holder
	clock    clock.Clock
	accounts *shares.AccountTable
	queues   queues
	// maxInFlight is the maximum number of calls in flight at this entry, over all
	// services.
	maxInFlight int
}

// NewAdmissionController returns a controller that reads the lists from the holder
// and this entry's shares of the allowances from the account table. The entry
// accepts at most maxInFlight calls at a time, over all services.
func NewAdmissionController(holder *view.Holder, clk clock.Clock, accounts *shares.AccountTable, maxInFlight int) *AdmissionController {
	return &AdmissionController{holder: holder, clock: clk, accounts: accounts, queues: queues{clock: clk}, maxInFlight: maxInFlight}
}

// Admit counts the call against the customer's allowance and against the limit of
// calls in flight to the service. At that limit the call waits in a queue. The
// returned function must be called when the call has ended. The outcome of a
// refusal is always not-run.
func (a *AdmissionController) Admit(ctx context.Context, req *call.Request) (func(), *call.Answer) {
	snapshot := a.holder.Load()
	if snapshot.Allowances == nil {
		return nil, refuse(http.StatusServiceUnavailable, "not-ready", defaultRetryAfter)
	}
	allowance, ok := snapshot.Allowances.Plans[req.Customer.Plan][req.Service]
	if !ok {
		return nil, refuse(http.StatusForbidden, "service-not-in-plan", 0)
	}
	key := shares.Key{Customer: req.Customer.Name, Service: req.Service}
	reservation, refusal := a.accounts.Admit(key, shares.LimitOf(allowance, snapshot.Allowances.Entries))
	if refusal.Reason != "" {
		return nil, refuse(shareStatus(refusal.Reason), string(refusal.Reason), refusal.RetryAfter)
	}
	bounds := a.boundsOf(snapshot, req.Service)
	widen := func(running int) admit.Bounds {
		return bounds.WithFreeSlots(running, a.freeSlots(snapshot, req.Service), a.maxInFlight)
	}
	endCall, refused := a.queues.enter(ctx, req, allowance.Priority, bounds, widen)
	if refused != nil {
		reservation.Refund()
		return nil, refused
	}
	return func() {
		endCall()
		reservation.Release()
	}, nil
}

// shareStatus returns the HTTP status of a call that the customer's share refuses.
func shareStatus(r shares.Reason) int {
	if r == shares.Memory {
		return http.StatusServiceUnavailable
	}
	return http.StatusTooManyRequests
}

// overcommit is the sum of all entries' limits of calls in flight to a service,
// divided by the number of slots of its servers. Calls beyond the slots wait at the
// servers, where no fair queue orders them, so a larger ratio weakens fairness.
const overcommit = 2

// boundsOf returns this entry's limits of running and waiting calls for a service.
func (a *AdmissionController) boundsOf(snapshot *view.Snapshot, service string) admit.Bounds {
	if defect.On("no-service-bound") {
		return admit.Bounds{Running: math.MaxInt, Waiting: math.MaxInt}
	}
	slots := snapshot.Allowances.Services[service].Slots
	entries := len(snapshot.Peers) + 1
	perEntry := (overcommit*slots*len(snapshot.Services[service]) + entries - 1) / entries
	return admit.BoundsOf(max(perEntry, slots), a.maxInFlight)
}

// freeSlots returns the number of free slots at a service's servers, estimated from
// their latest load reports and this entry's own calls in flight.
func (a *AdmissionController) freeSlots(snapshot *view.Snapshot, service string) int {
	slots := snapshot.Allowances.Services[service].Slots
	now := a.clock.Now()
	free := 0.0
	for _, s := range snapshot.Services[service] {
		if c, ok := s.Candidate(now, slots); ok {
			free += max(float64(slots)-c.OthersInFlight-float64(c.InFlight), 0)
		}
	}
	return int(free)
}

// refuse returns a refusal with the outcome not-run and increments its counter.
func refuse(status int, reason string, retryAfter time.Duration) *call.Answer {
	metrics.GetOrCreateCounter(`baobab_refused_total{reason="` + reason + `"}`).Inc()
	a := call.Refusal(outcome.NotRun, status, reason, retryAfter)
	return &a
}
