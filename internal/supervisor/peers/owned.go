package peers

import (
	"context"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/tracing"
	"github.com/baobabstack/baobabstack/internal/view"
)

// OwnedCaller answers calls that other entries forward because this one owns
// their tickets.
type OwnedCaller interface {
	// CallOwned answers a call; it never fails.
	CallOwned(ctx context.Context, req *call.Request) call.Answer
	// RefuseOwned answers a call that this entry's lists do not allow.
	RefuseOwned(ctx context.Context, req *call.Request, reason string) call.Answer
}

// Owned takes the calls that other entries forward.
type Owned struct {
	holder *view.Holder
	clock  clock.Clock
	next   OwnedCaller
}

// NewOwned returns the receiving side of forwards.
func NewOwned(holder *view.Holder, clk clock.Clock, next OwnedCaller) *Owned {
	return &Owned{holder: holder, clock: clk, next: next}
}

// Forward answers a call that another entry has forwarded.
func (s *Service) Forward(ctx context.Context, in *peerwire.ForwardRequest) (*peerwire.ForwardReply, error) {
	return s.owned.forward(ctx, in), nil
}

func (o *Owned) forward(ctx context.Context, in *peerwire.ForwardRequest) *peerwire.ForwardReply {
	header := headerOf(in.GetHeaders())
	ctx, span, _ := tracing.StartCall(ctx, header, in.GetService(), in.GetOperation())
	req, refusal := o.request(in)
	req.Header = header
	var answer call.Answer
	if refusal == "" {
		answer = o.next.CallOwned(ctx, req)
	} else {
		answer = o.next.RefuseOwned(ctx, req, refusal)
	}
	tracing.EndAttempt(span, answer.Outcome, nil)
	return replyOf(answer)
}

// request builds the call as this entry's lists see it. The reason is not empty
// if they do not allow the call.
func (o *Owned) request(in *peerwire.ForwardRequest) (req *call.Request, reason string) {
	remaining := time.Duration(in.GetRemainingUs()) * time.Microsecond
	req = &call.Request{
		Service: in.GetService(), Operation: in.GetOperation(), Method: in.GetMethod(), Target: in.GetTarget(),
		Body: in.GetBody(), Depth: int(in.GetDepth()), Ticket: in.GetTicket(), Deadline: o.clock.Now() + remaining,
	}
	snapshot := o.holder.Load()
	if snapshot.Plans == nil || snapshot.Allowances == nil {
		return req, "not-ready"
	}
	var hash lists.KeyHash
	if n, err := hex.Decode(hash[:], []byte(in.GetCustomer())); err != nil || n != len(hash) {
		return req, "unknown-key"
	}
	customer, ok := snapshot.Plans.Customers[hash]
	if !ok {
		return req, "unknown-key"
	}
	req.Customer = customer
	allowance, ok := snapshot.Allowances.Plans[customer.Plan][in.GetService()]
	if !ok {
		return req, "service-not-in-plan"
	}
	op, ok := snapshot.Allowances.Services[in.GetService()].Operations[in.GetOperation()]
	if !ok || op.Method != in.GetMethod() {
		return req, "unknown-operation"
	}
	req.Idempotent = op.Idempotent
	req.Deadline = o.clock.Now() + min(remaining, allowance.Deadline)
	if remaining <= 0 {
		return req, "deadline"
	}
	return req, ""
}

func replyOf(a call.Answer) *peerwire.ForwardReply {
	reply := &peerwire.ForwardReply{
		Outcome: uint32(a.Outcome), Status: int32(a.Status), //nolint:gosec // an HTTP status
		Headers: wireHeaders(a.Header), Body: a.Body, Server: a.Server, Reason: a.Reason,
	}
	if a.RetryAfter > 0 {
		seconds := strconv.Itoa(int((a.RetryAfter + time.Second - 1) / time.Second))
		reply.Headers = append(reply.Headers, &peerwire.Header{Name: "Retry-After", Value: []byte(seconds)})
	}
	return reply
}
