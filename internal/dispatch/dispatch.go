// Package dispatch takes a caller's request through tickets, admission, the
// choice of a server and the attempts, to one answer.
package dispatch

import (
	"context"
	"time"

	"github.com/baobabstack/baobabstack/internal/call"
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
}

// New returns a dispatcher.
func New(a Admission, r Runner) *Dispatcher {
	return &Dispatcher{admission: a, runner: r}
}

// Call answers one call. Context cancellation means that the caller has left.
func (d *Dispatcher) Call(ctx context.Context, req *call.Request) call.Answer {
	release, refusal := d.admission.Admit(ctx, req)
	if refusal != nil {
		return *refusal
	}
	defer release()
	return d.runner.Run(ctx, req)
}
