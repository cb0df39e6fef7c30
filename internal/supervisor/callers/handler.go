// Package callers serves the HTTP listener towards callers.
package callers

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/memory"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/tracing"
	"github.com/baobabstack/baobabstack/internal/view"
)

// Caller answers a checked call.
type Caller interface {
	// Call returns the answer; it never fails.
	Call(ctx context.Context, req *call.Request) call.Answer
}

// Handler turns HTTP requests of the form /{service}/{operation}[/...] into
// calls.
type Handler struct {
	holder  *view.Holder
	clock   clock.Clock
	next    Caller
	slots   chan struct{}
	tickets *ticketOffice
	memory  *memoryGate
}

// NewHandler returns a handler that has at most maxInFlight calls in flight and
// whose bodies count against the budget.
func NewHandler(holder *view.Holder, clk clock.Clock, next Caller, maxInFlight int, tickets Minter, budget *memory.Budget) *Handler {
	return &Handler{
		holder: holder, clock: clk, next: next, slots: make(chan struct{}, maxInFlight),
		tickets: &ticketOffice{minter: tickets}, memory: newMemoryGate(budget),
	}
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service, operation := splitPath(r.URL.Path)
	ctx, span, traceID := tracing.StartCall(r.Context(), r.Header, service, operation)
	begin := h.clock.Now()
	callsInFlight.Inc()
	defer callsInFlight.Dec()
	answer := h.answer(ctx, r, service, operation)
	countCall(h.holder.Load(), service, answer, h.clock.Now()-begin)
	h.write(w, span, traceID, answer)
}

func (h *Handler) answer(ctx context.Context, r *http.Request, service, operation string) call.Answer {
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	default:
		return withoutClaim(r, call.Refusal(outcome.NotRun, http.StatusServiceUnavailable, "entry-full", time.Second))
	}
	if r.URL.Path == ticketPath && r.Method == http.MethodGet {
		return h.ticketAnswer(r)
	}
	leave, ok := h.memory.enter(r, service)
	if !ok {
		return withoutClaim(r, call.Refusal(outcome.NotRun, http.StatusServiceUnavailable, "memory", time.Second))
	}
	defer leave()
	req, refusal := h.check(r, service, operation)
	if refusal != nil {
		return withoutClaim(r, *refusal)
	}
	answer := h.next.Call(ctx, req)
	h.memory.observe(service, len(answer.Body))
	answer.Ticket = h.tickets.mint(req.Customer, h.holder.Load().Allowances)
	return answer
}

func (h *Handler) write(w http.ResponseWriter, span trace.Span, traceID string, a call.Answer) {
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	header.Set(call.HeaderOutcome, a.Outcome.String())
	header.Set(call.HeaderTrace, traceID)
	if a.Server != "" {
		header.Set(call.HeaderServer, a.Server)
	}
	if a.Ticket != "" {
		header.Set(call.HeaderTicket, a.Ticket)
	}
	if a.Reason != "" {
		header.Set(call.HeaderReason, a.Reason)
	}
	if a.RetryAfter > 0 {
		header.Set(call.HeaderRetryAfterMs, strconv.FormatInt(int64((a.RetryAfter+time.Millisecond-1)/time.Millisecond), 10))
		header.Set("Retry-After", strconv.Itoa(int((a.RetryAfter+time.Second-1)/time.Second)))
	}
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	tracing.EndAttempt(span, a.Outcome, nil)
}

// check authenticates a request and finds its operation. It returns a refusal
// if the request can't be a call.
func (h *Handler) check(r *http.Request, service, operation string) (*call.Request, *call.Answer) {
	snapshot := h.holder.Load()
	if !snapshot.Ready {
		return nil, refuse(http.StatusServiceUnavailable, "not-ready", time.Second)
	}
	customer, ok := authenticate(snapshot.Plans, r.Header.Get("Authorization"))
	if !ok {
		return nil, refuse(http.StatusUnauthorized, "unknown-key", 0)
	}
	allowance, ok := snapshot.Allowances.Plans[customer.Plan][service]
	if !ok {
		return nil, refuse(http.StatusForbidden, "service-not-in-plan", 0)
	}
	op, ok := snapshot.Allowances.Services[service].Operations[operation]
	if !ok {
		return nil, refuse(http.StatusNotFound, "unknown-operation", 0)
	}
	if op.Method != r.Method {
		return nil, refuse(http.StatusMethodNotAllowed, "method-not-declared", 0)
	}
	return h.build(r, customer, service, operation, op, allowance)
}

func (h *Handler) build(r *http.Request, customer lists.Customer, service, operation string, op lists.Operation, allowance lists.Allowance) (*call.Request, *call.Answer) {
	left, ok := deadlineOf(r.Header, allowance.Deadline)
	if !ok {
		return nil, refuse(http.StatusBadRequest, "bad-deadline", 0)
	}
	depth, ok := depthOf(r.Header)
	if !ok {
		return nil, refuse(http.StatusLoopDetected, "too-deep", 0)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "bad-body", 0)
	}
	req := &call.Request{
		Customer: customer, Service: service, Operation: operation, Idempotent: op.Idempotent,
		Method: r.Method, Target: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body,
		Deadline: h.clock.Now() + left, Depth: depth, Ticket: r.Header.Get(call.HeaderTicket),
	}
	call.RemoveHopHeaders(req.Header)
	req.Header.Del("Authorization")
	req.Header.Del("Host")
	return req, nil
}

func refuse(status int, reason string, retryAfter time.Duration) *call.Answer {
	a := call.Refusal(outcome.NotRun, status, reason, retryAfter)
	return &a
}

func splitPath(path string) (service, operation string) {
	parts := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	if len(parts) < 2 {
		return parts[0], ""
	}
	return parts[0], parts[1]
}

func authenticate(plans *lists.Plans, authorization string) (lists.Customer, bool) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok {
		return lists.Customer{}, false
	}
	customer, ok := plans.Customers[lists.HashKey(key)]
	return customer, ok
}

// deadlineOf returns the smaller of the plan's deadline and the caller's.
func deadlineOf(h http.Header, plan time.Duration) (time.Duration, bool) {
	text := h.Get(call.HeaderDeadline)
	if text == "" {
		return plan, true
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 1 {
		return 0, false
	}
	return min(plan, time.Duration(ms)*time.Millisecond), true
}

func depthOf(h http.Header) (int, bool) {
	text := h.Get(call.HeaderDepth)
	if text == "" {
		return 0, true
	}
	depth, err := strconv.Atoi(text)
	return depth, err == nil && depth >= 0 && depth < call.MaxDepth
}
