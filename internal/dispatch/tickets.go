package dispatch

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/policy/ticket"
	"github.com/baobabstack/baobabstack/internal/view"
)

// Forwarder forwards calls to the entries that own their tickets.
type Forwarder interface {
	// Forward returns the owner's answer, or one with the outcome Unknown if the
	// owner does not answer.
	Forward(ctx context.Context, owner lists.VM, req *call.Request) call.Answer
}

// Configuration of the tickets of one process; see ticket.Config.
const (
	ticketLifetime = 10 * time.Minute
	// ticketWindow is the number of most recent tickets whose state is stored.
	ticketWindow = 1 << 18
	// ticketAnswerBytes is the maximum total size of the kept answers.
	ticketAnswerBytes = 32 << 20
	// ticketKeyBytes is the length of the HMAC key.
	ticketKeyBytes = 32
	// answerOverheadBytes is the memory counted for a kept answer in addition to
	// its body and headers.
	answerOverheadBytes = 512
)

// runFunc admits and runs a call.
type runFunc func(ctx context.Context, req *call.Request) call.Answer

// Tickets mints tickets and runs each call that carries one at most once. It is
// safe for concurrent use.
type Tickets struct {
	vm        string
	holder    *view.Holder
	clock     clock.Clock
	forwarder Forwarder

	mu      sync.Mutex
	owner   *ticket.Owner[call.Answer]
	running map[uint64]chan struct{} // by ticket sequence; closed when the call has ended
}

// NewTickets returns the tickets of a process that has just started on the VM with
// the given id. At most maxRunning calls with tickets run at a time.
func NewTickets(vm string, maxRunning int, holder *view.Holder, clk clock.Clock, f Forwarder) *Tickets {
	config := ticket.Config{
		VM: vm, Key: make([]byte, ticketKeyBytes), Lifetime: ticketLifetime, Window: ticketWindow,
		MaxRunning: maxRunning, MaxAnswerBytes: ticketAnswerBytes,
	}
	_, _ = rand.Read(config.Key)
	_, _ = rand.Read(config.Incarnation[:])
	return &Tickets{
		vm: vm, holder: holder, clock: clk, forwarder: f,
		owner: ticket.NewOwner[call.Answer](config), running: make(map[uint64]chan struct{}),
	}
}

// Mint returns the text of a new ticket for a customer, or "" if this entry is
// shutting down.
func (t *Tickets) Mint(customer string) string {
	if t.holder.Load().Leaving {
		return ""
	}
	ticketsMinted.Inc()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owner.Mint(customer, t.clock.Now())
}

// Busy returns the number of running calls with tickets of this entry.
func (t *Tickets) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}

// call handles a call that carries a ticket. If another entry owns the ticket, the
// call is forwarded to that entry's address in the VM list. A ticket holds no
// address, so a forged one can't direct a call to an arbitrary host.
func (t *Tickets) call(ctx context.Context, req *call.Request, run runFunc) call.Answer {
	id, err := ticket.Parse(req.Ticket)
	if err != nil {
		return ticketRefusal(outcome.Unknown, ticket.Invalid)
	}
	if id.Owner == t.vm {
		return t.callOwned(ctx, req, run)
	}
	for _, vm := range t.holder.Load().Peers {
		if vm.ID == id.Owner {
			return t.forwarder.Forward(ctx, vm, req)
		}
	}
	return ticketRefusal(outcome.Unknown, ticket.OwnerGone)
}

// callOwned handles a call whose ticket names this VM.
func (t *Tickets) callOwned(ctx context.Context, req *call.Request, run runFunc) call.Answer {
	if ctx.Err() != nil {
		return call.Refusal(outcome.Unknown, ticketStatus(ticket.OwnerGone), "caller-gone", 0)
	}
	d, done := t.decide(req)
	countDecision(d.Action, d.Reason)
	switch d.Action {
	case ticket.Run:
		return t.run(ctx, req, d.Sequence, run)
	case ticket.Join:
		return t.join(ctx, req, done)
	case ticket.Replay:
		return d.Answer
	default:
		return ticketRefusal(d.Outcome, d.Reason)
	}
}

// decide returns the owner's decision and, if the call starts now or is running, the
// channel that is closed when it ends.
func (t *Tickets) decide(req *call.Request) (ticket.Decision[call.Answer], chan struct{}) {
	f := fingerprint(req)
	leaving := t.holder.Load().Leaving
	t.mu.Lock()
	defer t.mu.Unlock()
	if leaving {
		d := t.owner.Refuse(req.Ticket, req.Customer.Name, f, ticket.Leaving)
		return d, t.running[d.Sequence]
	}
	d := t.owner.Spend(req.Ticket, req.Customer.Name, f, t.clock.Now())
	if d.Action == ticket.Run {
		t.running[d.Sequence] = make(chan struct{})
	}
	return d, t.running[d.Sequence]
}

// refuse refuses a call that was forwarded to this entry, and makes an unspent ticket
// void. If the ticket was spent on the same call, the caller gets that call's answer
// while it is kept.
func (t *Tickets) refuse(ctx context.Context, req *call.Request, reason ticket.Reason) call.Answer {
	t.mu.Lock()
	d := t.owner.Refuse(req.Ticket, req.Customer.Name, fingerprint(req), reason)
	done := t.running[d.Sequence]
	t.mu.Unlock()
	countDecision(d.Action, d.Reason)
	switch d.Action {
	case ticket.Join:
		return t.join(ctx, req, done)
	case ticket.Replay:
		return d.Answer
	default:
		return ticketRefusal(d.Outcome, d.Reason)
	}
}

// run runs a call to its end even if the caller disconnects, so that the answer is
// available when the caller sends the call again. If the call panics, its outcome is
// unknown.
func (t *Tickets) run(ctx context.Context, req *call.Request, sequence uint64, run runFunc) call.Answer {
	answer := call.Refusal(outcome.Unknown, ticketStatus(ticket.OwnerGone), "failed", 0)
	defer func() { t.finish(sequence, answer) }()
	answer = run(context.WithoutCancel(ctx), req)
	return answer
}

// finish stores the answer of a call and then wakes the calls that joined it. It must
// end before the caller gets the answer.
func (t *Tickets) finish(sequence uint64, answer call.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.owner.Finish(sequence, answer.Outcome, answer, answerBytes(answer))
	close(t.running[sequence])
	delete(t.running, sequence)
}

// join waits for a call that is already running under the same ticket, until that
// call ends, the deadline of req passes or the context ends.
func (t *Tickets) join(ctx context.Context, req *call.Request, done chan struct{}) call.Answer {
	timer := time.NewTimer(req.Deadline - t.clock.Now())
	defer timer.Stop()
	select {
	case <-done:
		d, _ := t.decide(req)
		if d.Action == ticket.Replay {
			return d.Answer
		}
		return ticketRefusal(d.Outcome, d.Reason)
	case <-timer.C:
	case <-ctx.Done():
	}
	return call.Refusal(outcome.Unknown, ticketStatus(reasonStillRunning), string(reasonStillRunning), defaultRetryAfter)
}

// reasonStillRunning is the reason of a refusal when the call that the ticket was
// spent on has not ended.
const reasonStillRunning ticket.Reason = "still-running"

// fingerprint identifies the request that a ticket is spent on.
func fingerprint(req *call.Request) ticket.Fingerprint {
	return ticket.FingerprintOf([]byte(req.Service), []byte(req.Operation), []byte(req.Method), []byte(req.Target), req.Body)
}

// answerBytes returns the memory counted for a kept answer, in bytes.
func answerBytes(a call.Answer) int {
	n := answerOverheadBytes + len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}
