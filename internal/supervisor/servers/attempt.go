package servers

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

// Result is how one attempt at a server ended.
type Result struct {
	// Outcome says whether the server ran the call.
	Outcome outcome.Outcome
	// Answer is the server's answer; set if Outcome is Answered.
	Answer call.Answer
	// Err says why there is no answer.
	Err error
}

// freshFor is how recently an idle connection must have carried an answer to
// carry a call that is not idempotent.
const freshFor = 2 * time.Second

var errLate = errors.New("the deadline has passed")

// Do runs one attempt of a call at the server. The attempt ends at the call's
// deadline or when the context does.
func (s *Server) Do(ctx context.Context, clk clock.Clock, req *call.Request) Result {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, req.Deadline-clk.Now())
	defer cancel()
	fresh := idleTimeout
	if !req.Idempotent {
		fresh = freshFor
	}
	c, err := s.pool.get(ctx, fresh)
	if err != nil {
		s.observe(errors.Is(err, errPoolFull))
		return Result{Outcome: outcome.NotRun, Err: err}
	}
	return s.send(ctx, clk, req, c)
}

// send writes the request unless it is too late, and waits for the answer.
func (s *Server) send(ctx context.Context, clk clock.Clock, req *call.Request, c *conn) Result {
	left := req.Deadline - clk.Now()
	if (left <= 0 || ctx.Err() != nil) && !defect.On("attempt-deadline") {
		s.pool.put(c)
		return Result{Outcome: outcome.NotRun, Err: errors.WithStack(errLate)}
	}
	r := c.exchange(ctx, newHTTPRequest(req, s.Info.Address, left))
	if r.err != nil {
		if defect.On("connection-reuse") {
			_ = c.raw.SetDeadline(time.Time{})
			s.pool.put(c)
			return Result{Outcome: outcome.Unknown, Err: r.err}
		}
		s.pool.discard(c)
		s.observe(false)
		if defect.On("lost-is-not-run") {
			return Result{Outcome: outcome.NotRun, Err: r.err}
		}
		return Result{Outcome: outcome.Unknown, Err: r.err}
	}
	s.pool.put(c)
	s.learn(r.header)
	if r.header.Get(call.HeaderNotStarted) == "true" {
		s.observe(false)
		return Result{Outcome: outcome.NotRun, Err: errors.Errorf("server %s rejected the call", s.Info.ID)}
	}
	s.observe(r.status < http.StatusInternalServerError)
	return Result{Outcome: outcome.Answered, Answer: s.answer(r)}
}

func (s *Server) answer(r reply) call.Answer {
	header := r.header
	call.RemoveHopHeaders(header)
	return call.Answer{Outcome: outcome.Answered, Status: r.status, Header: header, Body: r.body, Server: s.Info.ID}
}

// learn reads the signals that ride on an answer.
func (s *Server) learn(h http.Header) {
	if load, err := strconv.Atoi(h.Get(call.HeaderLoad)); err == nil && load >= 0 {
		s.report(load)
	}
	if h.Get(call.HeaderState) == "leaving" {
		s.signal.Store(true)
	}
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
