package upstream

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Options configures a Server.
type Options struct {
	// ID is sent with each call, so that no other server runs it.
	ID string
	// Address is the IP address and port.
	Address string
	// HealthPath answers with the server's load at once.
	HealthPath string
	// MaxBodyBytes bounds an answer's body.
	MaxBodyBytes int
	// Dialect names the headers.
	Dialect *Dialect
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	options  Options
	pool     pool
	inFlight atomic.Int64
	probes   atomic.Int64
	check    []byte // the health check's request
}

// NewServer returns a server without connections.
func NewServer(o Options) *Server {
	return &Server{
		options: o, pool: pool{address: o.Address},
		check: []byte("GET " + o.HealthPath + " HTTP/1.1\r\nHost: " + o.Address + "\r\n\r\n"),
	}
}

// Close closes idle connections; those in use close after their call.
func (s *Server) Close() { s.pool.close() }

// SetConnectionLimit bounds the open connections; 0 sets no bound.
func (s *Server) SetConnectionLimit(limit int) { s.pool.setLimit(limit) }

// InFlight returns this process's calls at the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Counts returns the connections opened and the health checks sent so far.
func (s *Server) Counts() (opened, probes int) {
	_, opened = s.pool.counts()
	return opened, int(s.probes.Load())
}

// Health is the answer to a health check.
type Health struct {
	// OK says that the server takes calls.
	OK bool
	// WrongServer says that another server has the address.
	WrongServer bool
	// Load is what the server told; Known is false if it told nothing.
	Load    Load
	HasLoad bool
}

// Lease is a connection on which the server has just answered. It carries one
// call, or is released.
type Lease struct {
	server *Server
	conn   *conn
}

// Probe asks for the server's health and load. The lease is for a call to
// follow on the same connection; it is nil if the server answers no more there.
func (s *Server) Probe(ctx context.Context, timeout time.Duration) (Health, *Lease, error) {
	deadline := time.Now().Add(timeout)
	c, err := s.pool.take(ctx, timeout, false)
	if err != nil {
		return Health{}, nil, err
	}
	reused := !c.fresh
	h, err := s.ask(ctx, c, deadline)
	if err != nil && reused && ctx.Err() == nil && time.Now().Before(deadline) {
		// The server closed an idle connection; the others may be closed as well.
		s.pool.drop(time.Now())
		if c, err = s.pool.take(ctx, time.Until(deadline), true); err != nil {
			return Health{}, nil, err
		}
		h, err = s.ask(ctx, c, deadline)
	}
	if err != nil {
		return Health{}, nil, err
	}
	if !c.keep {
		s.pool.put(c)
		return h, nil, nil
	}
	return h, &Lease{server: s, conn: c}, nil
}

// ask sends a health check on a connection, which it discards on failure.
func (s *Server) ask(ctx context.Context, c *conn, deadline time.Time) (Health, error) {
	s.probes.Add(1)
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(past) })
	m, err := s.exchangeCheck(c, deadline)
	if !stop() && err == nil {
		err = errors.WithStack(ctx.Err()) // the deadline is moved, or will be
	}
	if err != nil {
		s.pool.discard(c)
		return Health{}, err
	}
	d := s.options.Dialect
	id := m.header.Get(d.ServerID)
	health := Health{OK: m.status == http.StatusOK, WrongServer: id != "" && id != s.options.ID}
	health.Load, health.HasLoad = s.load(m.header)
	return health, nil
}

func (s *Server) exchangeCheck(c *conn, deadline time.Time) (message, error) {
	if _, err := c.write(s.check, deadline); err != nil {
		return message{}, err
	}
	return c.read(http.MethodGet, s.options.MaxBodyBytes, func(_ int, h http.Header) bool {
		return h.Get(s.options.Dialect.CallID) == ""
	})
}

func (s *Server) load(h http.Header) (Load, bool) {
	value := h.Get(s.options.Dialect.Load)
	if value == "" {
		return Load{}, false
	}
	load, ok := s.options.Dialect.ParseLoad(value)
	load.ReceivedAt = time.Now()
	return load, ok
}

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// Open returns a lease without asking the server first. Its connection is new, or
// carried an answer within recent.
func (s *Server) Open(ctx context.Context, timeout, recent time.Duration) (*Lease, error) {
	c, err := s.pool.take(ctx, timeout, false)
	if err == nil && !c.fresh && time.Since(c.usedAt) > recent {
		s.pool.discard(c)
		c, err = s.pool.take(ctx, timeout, true)
	}
	if err != nil {
		return nil, err
	}
	return &Lease{server: s, conn: c}, nil
}

// Release gives the connection back unused.
func (l *Lease) Release() {
	if l != nil && l.conn != nil {
		l.server.pool.put(l.conn)
		l.conn = nil
	}
}

// Outcome says what is known of a call at a server.
type Outcome int

// Values of Certainty.
const (
	// Unknown: the server may have run the call.
	Unknown Outcome = iota
	// NotRun: the server has not run the call and will not.
	NotRun
	// Answered: the answer is whole and the server's own.
	Answered
)

// String names the certainty in logs.
func (c Outcome) String() string {
	switch c {
	case NotRun:
		return "not run"
	case Answered:
		return "answered"
	default:
		return "unknown"
	}
}

// Result is how a call at a server ended.
type Result struct {
	Outcome Outcome
	// Status, Header and Body are the server's answer, if there is one.
	Status int
	Header http.Header
	Body   []byte
	// WrongServer says that another server has the address.
	WrongServer bool
	// Load is what the server told with its answer; Known is false without.
	Load    Load
	HasLoad bool
	// Err says why there is no answer.
	Err error
}

// Call is a request to be sent.
type Call struct {
	// ID is the id of the caller's attempt, which the server echoes; it may be
	// empty.
	ID string
	// Method and Target are sent as they are.
	Method, Target string
	// Head holds the end-to-end header lines, each with its line end.
	Head []byte
	Body []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

var (
	errForeign = errors.New("the answer does not come from the server's application")
	errCoding  = errors.New("the answer has a content coding that no one asked for")
)

// Send sends a call and waits for the whole answer until the call's deadline or
// the end of the context. The connection is closed if there is no answer, which
// tells the server that no one waits; else the lease may carry another call.
func (l *Lease) Send(ctx context.Context, call *Call) Result {
	s := l.server
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	raw := l.conn.raw
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(past) })
	r := l.exchange(call)
	if !stop() || !l.conn.keep {
		s.pool.discard(l.conn)
		l.conn = nil
	}
	return r
}

// Usable reports whether the lease may carry another call.
func (l *Lease) Usable() bool { return l.conn != nil }

func (l *Lease) exchange(call *Call) Result {
	s := l.server
	if n, err := l.conn.write(s.encode(call), call.Deadline); err != nil {
		if n == 0 {
			return Result{Outcome: NotRun, Err: err}
		}
		return Result{Err: err}
	}
	d := s.options.Dialect
	m, err := l.conn.read(call.Method, s.options.MaxBodyBytes, func(_ int, h http.Header) bool {
		id := h.Get(d.CallID)
		return id == "" || id == call.ID
	})
	if err != nil {
		return Result{Err: err}
	}
	return s.judge(m)
}

// judge tells a server's own answer from a rejection and from what can't be
// trusted.
func (s *Server) judge(m message) Result {
	d := s.options.Dialect
	r := Result{Outcome: Answered, Status: m.status, Header: m.header, Body: m.body}
	r.Load, r.HasLoad = s.load(m.header)
	if d.LoadCountsCall && m.header.Get(d.NotRun) == "" {
		r.Load.Running = max(r.Load.Running-1, 0)
	}
	success := m.status >= http.StatusOK && m.status < http.StatusMultipleChoices
	switch {
	case m.status == http.StatusMisdirectedRequest:
		return Result{Outcome: NotRun, Status: m.status, WrongServer: true, Err: errors.New("another server has the address")}
	case m.header.Get(d.NotRun) != "" && !success:
		return Result{Outcome: NotRun, Status: m.status, Load: r.Load, HasLoad: r.HasLoad, Err: errors.Errorf("the server rejected the call with status %d", m.status)}
	case m.header.Get("Content-Encoding") != "":
		return Result{Err: errors.WithStack(errCoding)}
	case success && m.header.Get(d.Signature) == "":
		return Result{Err: errors.WithStack(errForeign)}
	default:
		return r
	}
}

// encode returns the request as sent.
func (s *Server) encode(call *Call) []byte {
	d := s.options.Dialect
	left := max(time.Until(call.Deadline).Milliseconds(), 1)
	out := make([]byte, 0, len(call.Head)+len(call.Body)+len(call.Target)+256)
	out = append(out, call.Method...)
	out = append(out, ' ')
	out = append(out, call.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = append(out, call.Head...)
	out = append(out, d.Deadline+": "...)
	out = strconv.AppendInt(out, left, 10)
	out = append(out, "\r\n"+d.ExpectServer+": "+s.options.ID+"\r\n"...)
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(call.Body)), 10)
		out = append(out, "\r\n"...)
	}
	out = append(out, "\r\n"...)
	return append(out, call.Body...)
}
