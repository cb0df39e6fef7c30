package peers

import (
	"context"
	"encoding/hex"
	"math"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/fault"
	"github.com/baobabstack/baobabstack/internal/httpwire"
	"github.com/baobabstack/baobabstack/internal/journal"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/logs"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/tracing"
)

const (
	// checkEvery is how long a forward waits for its answer before the link is
	// checked, and between checks.
	checkEvery = 500 * time.Millisecond
	// checkTimeout is how long the peer may take to answer a check.
	checkTimeout = time.Second
	// maxForwards bounds the calls that wait for other entries' answers.
	maxForwards = 1024
)

// Reasons of answers to calls that could not be forwarded.
const (
	reasonUnreachable = "owner-unreachable"
	reasonDeadline    = "deadline"
	reasonTooMany     = "too-many-forwards"
)

var errSilentLink = fault.New(fault.Peer, "", "the link gave no sign of life", "look for a cut between the entries; the next call opens a new connection")

// Forwarder sends calls to the entries that own their tickets. It is safe for
// concurrent use.
type Forwarder struct {
	links    *Links
	clock    clock.Clock
	maxBytes int
	slots    chan struct{}
	log      logs.Logger
}

// NewForwarder returns a forwarder over the links. Answers have bodies of at most
// maxBodyBytes.
func NewForwarder(links *Links, clk clock.Clock, maxBodyBytes int) *Forwarder {
	return &Forwarder{
		links: links, clock: clk, maxBytes: messageBytes(maxBodyBytes),
		slots: make(chan struct{}, maxForwards), log: logs.For("peers"),
	}
}

// headerBytes bounds a forwarded message beside its body.
const headerBytes = 256 << 10

func messageBytes(maxBodyBytes int) int { return maxBodyBytes + headerBytes }

// Forward returns the owner's answer. If none comes the outcome is Unknown,
// because the owner may have run the call, now or for an earlier sending.
func (f *Forwarder) Forward(ctx context.Context, owner lists.VM, req *call.Request) call.Answer {
	select {
	case f.slots <- struct{}{}:
		defer func() { <-f.slots }()
	default:
		return call.Refusal(outcome.Unknown, http.StatusServiceUnavailable, reasonTooMany, time.Second)
	}
	ctx, span := tracing.StartAttempt(ctx, owner.ID)
	reply, err := f.send(ctx, owner.Address, f.wire(ctx, req), req.Deadline)
	var answer call.Answer
	if err == nil {
		answer, err = answerOf(reply)
	}
	switch {
	case err == nil:
	case f.clock.Now() >= req.Deadline:
		answer = call.Refusal(outcome.Unknown, http.StatusGatewayTimeout, reasonDeadline, 0)
	default:
		answer = call.Refusal(outcome.Unknown, http.StatusBadGateway, reasonUnreachable, 0)
		f.log.Warnf("forward to %s at %s: %v", owner.ID, owner.Address, err)
	}
	tracing.EndAttempt(span, answer.Outcome, err)
	metrics.GetOrCreateCounter(`baobab_forwards_total{outcome="` + answer.Outcome.String() + `"}`).Inc()
	return answer
}

// send sends a request and checks the link while the answer is awaited.
func (f *Forwarder) send(ctx context.Context, address string, in *peerwire.ForwardRequest, deadline time.Duration) (*peerwire.ForwardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline-f.clock.Now())
	defer cancel()
	conn, err := f.links.Conn(address)
	if err != nil {
		return nil, err
	}
	type result struct {
		reply *peerwire.ForwardReply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply, err := peerwire.NewPeersClient(conn).Forward(ctx, in, grpc.MaxCallRecvMsgSize(f.maxBytes))
		done <- result{reply, errors.WithStack(err)}
	}()
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case r := <-done:
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				go f.check(ctx, address, conn)
			}
			return r.reply, r.err
		case <-ticker.C:
			if !f.check(ctx, address, conn) {
				return nil, errSilentLink
			}
		}
	}
}

// check reports whether the peer answers a small request over the connection,
// and drops the connection if not.
func (f *Forwarder) check(ctx context.Context, address string, conn *grpc.ClientConn) bool {
	checkCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
	defer cancel()
	_, err := peerwire.NewPeersClient(conn).Pull(checkCtx, &peerwire.PullRequest{NewerThan: math.MaxUint64})
	if err == nil {
		return true
	}
	if f.links.Drop(address, conn) {
		journal.Note("peers", "link-dropped", address, "the link gave no sign of life")
	}
	return false
}

// wire returns the message for a call.
func (f *Forwarder) wire(ctx context.Context, req *call.Request) *peerwire.ForwardRequest {
	header := req.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set("Traceparent", tracing.TraceParent(ctx))
	return &peerwire.ForwardRequest{
		Ticket: req.Ticket, Customer: hex.EncodeToString(req.Customer.KeyHash[:]),
		Service: req.Service, Operation: req.Operation, Method: req.Method, Target: req.Target,
		Headers: wireHeaders(header), Body: req.Body,
		RemainingUs: (req.Deadline - f.clock.Now()).Microseconds(), Depth: uint32(req.Depth), //nolint:gosec // at most call.MaxDepth
	}
}

func wireHeaders(h http.Header) []*peerwire.Header {
	var lines []*peerwire.Header
	for name, values := range h {
		for _, value := range values {
			lines = append(lines, &peerwire.Header{Name: name, Value: []byte(value)})
		}
	}
	return lines
}

func headerOf(lines []*peerwire.Header) http.Header {
	h := make(http.Header, len(lines))
	for _, line := range lines {
		h.Add(line.GetName(), string(line.GetValue()))
	}
	return h
}

// answerOf returns the owner's answer, or an error if it can't be that of a server or an entry. An
// outcome that this version does not know is Unknown.
func answerOf(reply *peerwire.ForwardReply) (call.Answer, error) {
	a := call.Answer{
		Status: int(reply.GetStatus()), Header: headerOf(reply.GetHeaders()), Body: reply.GetBody(),
		Server: reply.GetServer(), Reason: reply.GetReason(),
	}
	switch o := outcome.Outcome(reply.GetOutcome()); o {
	case outcome.Answered, outcome.NotRun:
		a.Outcome = o
	default:
		a.Outcome = outcome.Unknown
	}
	return a, httpwire.CheckFinal(a.Status, a.Header)
}
