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

// maxIdleNonIdempotent is the maximum time since a connection's last answer at which
// it may carry a call that is not idempotent. The server may have closed a connection
// that was idle for longer.
const maxIdleNonIdempotent = 500 * time.Millisecond

var errDeadlinePassed = errors.New("the deadline has passed")

// Do runs one attempt of a call at the server. The attempt ends at the call's
// deadline or with the context; its connection is then closed, so that a late
// answer can't reach another call.
func (s *Server) Do(ctx context.Context, clk clock.Clock, req *call.Request) Result {
	s.noteSent()
	limited, cancel := context.WithTimeout(ctx, req.Deadline-clk.Now())
	defer cancel()
	maxIdle := idleTimeout
	if !req.Idempotent && !defect.On("stale-connection-for-bookings") {
		maxIdle = maxIdleNonIdempotent
	}
	c, err := s.pool.get(limited, maxIdle)
	if err != nil {
		s.noteConnectFailure(limited, err)
		return Result{Outcome: outcome.NotRun, Err: err}
	}
	result, end := s.send(limited, clk, req, c)
	if ctx.Err() != nil && end == pick.Failed {
		end = pick.Cancelled
	}
	s.noteEnd(end)
	return result
}

// noteConnectFailure records an attempt that got no connection.
func (s *Server) noteConnectFailure(ctx context.Context, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.noteEnd(pick.Cancelled)
		s.noteRefusedConnect()
	case ctx.Err() != nil || errors.Is(err, errPoolClosed):
		s.noteEnd(pick.Cancelled)
	default:
		s.noteEnd(pick.Failed)
	}
}

// send sends the request, unless the deadline has passed, and waits for the answer.
func (s *Server) send(ctx context.Context, clk clock.Clock, req *call.Request, c *conn) (Result, pick.Result) {
	left := req.Deadline - clk.Now()
	if (left <= 0 || ctx.Err() != nil) && !defect.On("attempt-deadline") {
		s.pool.put(c)
		return Result{Outcome: outcome.NotRun, Err: errors.WithStack(errDeadlinePassed)}, pick.Cancelled
	}
	sentAt := time.Now()
	r := c.exchange(ctx, newHTTPRequest(req, s.Info.Address, left), func() { s.pool.dropUnansweredSince(sentAt) })
	if r.err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.pool.dropUnansweredSince(sentAt)
	}
	if r.err != nil {
		s.logMalformed("call", r.err)
		if defect.On("connection-reuse") {
			_ = c.tcp.SetDeadline(time.Time{})
			s.pool.put(c)
			return Result{Outcome: outcome.Unknown, Err: r.err}, pick.Failed
		}
		s.pool.discard(c)
		if defect.On("lost-is-not-run") {
			return Result{Outcome: outcome.NotRun, Err: r.err}, pick.Failed
		}
		return Result{Outcome: outcome.Unknown, Err: r.err}, pick.Failed
	}
	s.learnFromCall(r.header)
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

func (s *Server) answer(r response) call.Answer {
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
