package servers

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
	"github.com/baobabstack/baobabstack/internal/policy/pick"
)

// Result is how one attempt at a server ended.
type Result struct {
	// Outcome says whether the server ran the call.
	Outcome outcome.Outcome
	// Rejected says that the server itself refused the call without starting it.
	Rejected bool
	// Answer is the server's answer; set if Outcome is Answered.
	Answer call.Answer
	// Err says why there is no answer.
	Err error
}

// freshFor is how recently an idle connection must have carried an answer to
// carry a call that is not idempotent.
const freshFor = 500 * time.Millisecond

var errLate = errors.New("the deadline has passed")

// Do runs one attempt of a call at the server. The attempt ends at the call's
// deadline or when the context does; its connection is closed then, so that a
// late answer has no one to go to.
func (s *Server) Do(ctx context.Context, clk clock.Clock, req *call.Request) Result {
	s.sent()
	limited, cancel := context.WithTimeout(ctx, req.Deadline-clk.Now())
	defer cancel()
	fresh := idleTimeout
	if !req.Idempotent && !defect.On("stale-connection-for-bookings") {
		fresh = freshFor
	}
	c, err := s.pool.get(limited, fresh)
	if err != nil {
		s.notSent(limited, err)
		return Result{Outcome: outcome.NotRun, Err: err}
	}
	result, end := s.send(limited, clk, req, c)
	if ctx.Err() != nil && end == pick.Failed {
		end = pick.Cancelled
	}
	s.done(end)
	return result
}

// notSent notes an attempt that got no connection.
func (s *Server) notSent(ctx context.Context, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.done(pick.Cancelled)
		s.refused()
	case ctx.Err() != nil || errors.Is(err, errPoolClosed):
		s.done(pick.Cancelled)
	default:
		s.done(pick.Failed)
	}
}

// send writes the request unless it is too late, and waits for the answer.
func (s *Server) send(ctx context.Context, clk clock.Clock, req *call.Request, c *conn) (Result, pick.Result) {
	left := req.Deadline - clk.Now()
	if (left <= 0 || ctx.Err() != nil) && !defect.On("attempt-deadline") {
		s.pool.put(c)
		return Result{Outcome: outcome.NotRun, Err: errors.WithStack(errLate)}, pick.Cancelled
	}
	sentAt := time.Now()
	r := c.exchange(ctx, newHTTPRequest(req, s.Info.Address, left), func() { s.pool.suspect(sentAt) })
	if r.err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.pool.suspect(sentAt)
	}
	if r.err != nil {
		if defect.On("connection-reuse") {
			_ = c.raw.SetDeadline(time.Time{})
			s.pool.put(c)
			return Result{Outcome: outcome.Unknown, Err: r.err}, pick.Failed
		}
		s.pool.discard(c)
		if defect.On("lost-is-not-run") {
			return Result{Outcome: outcome.NotRun, Err: r.err}, pick.Failed
		}
		return Result{Outcome: outcome.Unknown, Err: r.err}, pick.Failed
	}
	s.learn(r.header)
	s.pool.put(c)
	if r.header.Get(call.HeaderNotStarted) == "true" {
		return Result{Outcome: outcome.NotRun, Rejected: true, Err: errors.Errorf("server %s rejected the call", s.Info.ID)}, pick.Rejected
	}
	end := pick.Succeeded
	if r.status >= http.StatusInternalServerError {
		end = pick.Failed
	}
	return Result{Outcome: outcome.Answered, Answer: s.answer(r)}, end
}

func (s *Server) answer(r reply) call.Answer {
	header := r.header
	call.RemoveHopHeaders(header)
	return call.Answer{Outcome: outcome.Answered, Status: r.status, Header: header, Body: r.body, Server: s.Info.ID}
}

func newHTTPRequest(req *call.Request, address string, left time.Duration) *http.Request {
	header := req.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(call.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	header.Set(call.HeaderDepth, strconv.Itoa(req.Depth+1))
	if req.TraceParent != "" {
		header.Set("Traceparent", req.TraceParent)
	}
	target, err := url.ParseRequestURI(req.Target)
	if err != nil {
		target = &url.URL{Path: "/"}
	}
	target.Scheme = "http"
	target.Host = address
	return &http.Request{
		Method: req.Method, URL: target, Host: address, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(req.Body)), ContentLength: int64(len(req.Body)),
	}
}
