// Package dispatch handles a caller's request from ticket check and admission to
// the choice of a server, retries and hedges, and returns one answer.
package dispatch

import (
	"context"
	"time"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/policy/ticket"
)

// defaultRetryAfter is the retry delay sent with a refusal when no better estimate
// is known.
const defaultRetryAfter = time.Second

// Admission decides whether a call may run now.
type Admission interface {
	// Admit returns a function that must be called when the call has ended, or a
	// refusal.
	Admit(ctx context.Context, req *call.Request) (release func(), refusal *call.Answer)
}

// Runner runs admitted calls at the servers.
type Runner interface {
	// Run returns the call's answer. Failures are answers too.
	Run(ctx context.Context, req *call.Request) call.Answer
}

// Dispatcher answers calls. It is safe for concurrent use.
type Dispatcher struct {
	admission Admission
	runner    Runner
	tickets   *Tickets
}

// New returns a dispatcher that admits calls with a, runs them with r and handles
// those with a ticket through t.
func New(a Admission, r Runner, t *Tickets) *Dispatcher {
	return &Dispatcher{admission: a, runner: r, tickets: t}
}

// Call handles one call and returns its answer. Context cancellation means that the
// caller has disconnected.
func (d *Dispatcher) Call(ctx context.Context, req *call.Request) call.Answer {
	if req.Ticket != "" {
		return d.tickets.call(ctx, req, d.admitAndRun)
	}
	return d.admitAndRun(ctx, req)
}

// CallOwned handles a call that another entry forwarded because this entry owns its
// ticket. The call is never forwarded again.
func (d *Dispatcher) CallOwned(ctx context.Context, req *call.Request) call.Answer {
	return d.tickets.callOwned(ctx, req, d.admitAndRun)
}

// RefuseOwned refuses a call that another entry forwarded. The outcome is not-run
// only if no call ran under the ticket and none can: an unspent ticket becomes void.
func (d *Dispatcher) RefuseOwned(ctx context.Context, req *call.Request, reason string) call.Answer {
	return d.tickets.refuse(ctx, req, ticket.Reason(reason))
}

// admitAndRun admits a call and runs it. A call that is not idempotent runs at most
// once.
func (d *Dispatcher) admitAndRun(ctx context.Context, req *call.Request) call.Answer {
	release, refusal := d.admission.Admit(ctx, req)
	if refusal != nil {
		return *refusal
	}
	defer release()
	return d.runner.Run(ctx, req)
}
