// Package dispatch takes a caller's request through tickets, admission, the
// choice of a server and the attempts, to one answer.
package dispatch

import (
	"context"
	"time"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/policy/ticket"
)

// retryAfter is the advice given with a refusal.
const retryAfter = time.Second

// Admission decides whether a call may run now.
type Admission interface {
	// Admit returns a function that ends the admission, or a refusal.
	Admit(ctx context.Context, req *call.Request) (release func(), refusal *call.Answer)
}

// Runner runs an admitted call at the servers.
type Runner interface {
	// Run returns the call's answer; it never fails.
	Run(ctx context.Context, req *call.Request) call.Answer
}

// Dispatcher answers calls. It is safe for concurrent use.
type Dispatcher struct {
	admission Admission
	runner    Runner
	tickets   *Tickets
}

// New returns a dispatcher.
func New(a Admission, r Runner, t *Tickets) *Dispatcher {
	return &Dispatcher{admission: a, runner: r, tickets: t}
}

// Call answers one call. Context cancellation means that the caller has left.
func (d *Dispatcher) Call(ctx context.Context, req *call.Request) call.Answer {
	if req.Ticket != "" {
		return d.tickets.call(ctx, req, d.plain)
	}
	return d.plain(ctx, req)
}

// CallOwned answers a call that another entry has forwarded because this one
// owns its ticket. It is never forwarded again.
func (d *Dispatcher) CallOwned(ctx context.Context, req *call.Request) call.Answer {
	return d.tickets.own(ctx, req, d.plain)
}

// RefuseOwned refuses a call that another entry has forwarded. It says not-run
// only if the ticket was not spent, and makes the ticket void.
func (d *Dispatcher) RefuseOwned(ctx context.Context, req *call.Request, reason string) call.Answer {
	return d.tickets.refuse(ctx, req, ticket.Reason(reason))
}

// plain admits and runs a call, each at most once unless it is idempotent.
func (d *Dispatcher) plain(ctx context.Context, req *call.Request) call.Answer {
	release, refusal := d.admission.Admit(ctx, req)
	if refusal != nil {
		return *refusal
	}
	defer release()
	return d.runner.Run(ctx, req)
}
