package upstream

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/httpwire"
	"github.com/baobabstack/baobabstack/internal/memory"
)

// Options configures a Server.
type Options struct {
	// ID is sent with each call, so that no other server runs it.
	ID string
	// Address is the IP address and port.
	Address string
	// HealthPath is the path of health checks, which the server answers at once with its
	// load.
	HealthPath string
	// MaxBodyBytes limits the body of an answer.
	MaxBodyBytes int
	// Dialect names the headers that the server reads and writes.
	Dialect *Dialect
	// Memory counts the bytes of answers; nil counts nothing.
	Memory *memory.FairBudget
	// Standing is what this run of the server has asked for before; nil for nothing.
	Standing *Standing
}

// Server is a client of one backend server. It is safe for concurrent use.
type Server struct {
	options      Options
	pool         pool
	inFlight     atomic.Int64
	probes       atomic.Int64
	checkRequest []byte // encoded health check
}

// NewServer returns a client that has no connections yet.
func NewServer(o Options) *Server {
	if o.Standing == nil {
		o.Standing = NewStanding(func(Notice) {})
	}
	return &Server{
		options: o, pool: pool{address: o.Address},
		checkRequest: []byte("GET " + o.HealthPath + " HTTP/1.1\r\nHost: " + o.Address + "\r\n\r\n"),
	}
}

// Close closes idle connections. Connections in use are closed when they are released.
func (s *Server) Close() { s.pool.close() }

// SetConnectionLimit limits the open connections; 0 means unlimited.
func (s *Server) SetConnectionLimit(limit int) { s.pool.setLimit(limit) }

// ConnectionLimit returns the limit of the open connections; 0 means unlimited.
func (s *Server) ConnectionLimit() int { return s.pool.getLimit() }

// Standing returns what the server has asked for.
func (s *Server) Standing() *Standing { return s.options.Standing }

// observe takes what the head of an answer asks for, unless the answer is another server's.
func (s *Server) observe(status int, h http.Header) {
	d := s.options.Dialect
	id := h.Get(d.ServerID)
	if status == http.StatusMisdirectedRequest || (id != "" && id != s.options.ID) {
		return
	}
	s.options.Standing.observe(d, status, h, h.Get(d.CallID), time.Now())
}

// HasIdle reports whether a connection is idle.
func (s *Server) HasIdle() bool { return s.pool.hasIdle(time.Now()) }

// InFlight returns the number of calls of this process at the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Counts returns how many connections were opened, failed attempts included, and how many
// health checks were sent.
func (s *Server) Counts() (opened, probes int) {
	_, opened = s.pool.counts()
	return opened, int(s.probes.Load())
}

// Health is the result of a health check.
type Health struct {
	// OK says that the server accepts calls.
	OK bool
	// WrongServer says that another server has the address.
	WrongServer bool
	// Load is the load that the server reported; HasLoad is false without a valid one.
	Load    Load
	HasLoad bool
	// WarmupLeft is how long the server says that it stays cold; HasWarmupLeft is false if it
	// does not say so, and UnreadableWarmup is what it says if that can't be used.
	WarmupLeft       time.Duration
	HasWarmupLeft    bool
	UnreadableWarmup string
}

// Lease is the exclusive use of a connection. It carries one call at a time until it is
// released or no longer usable.
type Lease struct {
	server *Server
	conn   *conn
}

// Probe sends a health check. The lease allows a call on the same connection; it is nil
// if that connection can't be reused. If the health check fails on an idle connection, it
// is sent once more on a new one, unless the answer was malformed. It fails with ErrLeftAlone
// if the server wants no requests.
func (s *Server) Probe(ctx context.Context, timeout time.Duration) (Health, *Lease, error) {
	if !s.options.Standing.Available(time.Now()) {
		return Health{}, nil, errors.WithStack(ErrLeftAlone)
	}
	deadline := time.Now().Add(timeout)
	c, err := s.pool.get(ctx, timeout, false)
	if err != nil {
		return Health{}, nil, err
	}
	reused := !c.fresh
	h, err := s.healthCheck(ctx, c, deadline)
	if err != nil && !httpwire.IsMalformed(err) && reused && ctx.Err() == nil && time.Now().Before(deadline) && s.options.Standing.Available(time.Now()) {
		// The server closed an idle connection, and may have closed the others as well.
		s.pool.closeIdleBefore(time.Now())
		if c, err = s.pool.get(ctx, time.Until(deadline), true); err != nil {
			return Health{}, nil, err
		}
		h, err = s.healthCheck(ctx, c, deadline)
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

// healthCheck sends a health check on a connection, and discards it on failure.
func (s *Server) healthCheck(ctx context.Context, c *conn, deadline time.Time) (Health, error) {
	end, err := c.begin(ctx, deadline)
	if err != nil {
		s.pool.put(c)
		return Health{}, err
	}
	s.probes.Add(1)
	m, err := s.exchangeCheck(ctx, c)
	if !end() && err == nil {
		// The context ended, and the callback has set an expired deadline or is about to,
		// so the connection can't be reused.
		err = errors.WithStack(ctx.Err())
	}
	if err != nil {
		s.pool.discard(c)
		return Health{}, err
	}
	d := s.options.Dialect
	id := m.header.Get(d.ServerID)
	health := Health{OK: m.status == http.StatusOK, WrongServer: id != "" && id != s.options.ID}
	health.Load, health.HasLoad = s.parseLoad(m.header)
	if value := m.header.Get(d.WarmupLeft); value != "" && d.ParseWarmupLeft != nil {
		if health.WarmupLeft, health.HasWarmupLeft = d.ParseWarmupLeft(value); !health.HasWarmupLeft {
			health.UnreadableWarmup = value
		}
	}
	return health, nil
}

func (s *Server) exchangeCheck(ctx context.Context, c *conn) (response, error) {
	if !s.options.Standing.Available(time.Now()) { // it may have asked while the connection was opened
		return response{}, errors.WithStack(ErrLeftAlone)
	}
	if _, err := c.write(s.checkRequest); err != nil {
		return response{}, err
	}
	m, err := c.read(ctx, http.MethodGet, answerLimits{bodyBytes: maxCheckBodyBytes, memory: s.options.Memory, discard: true, observe: s.observe}, func(_ int, h http.Header) bool {
		return h.Get(s.options.Dialect.CallID) == ""
	})
	m.body.Release()
	return m, err
}

func (s *Server) parseLoad(h http.Header) (Load, bool) {
	value := h.Get(s.options.Dialect.Load)
	if value == "" {
		return Load{}, false
	}
	load, ok := s.options.Dialect.ParseLoad(value)
	load.ReceivedAt = time.Now()
	return load, ok
}

// expiredDeadline makes pending reads and writes fail at once.
var expiredDeadline = time.Unix(1, 0)

// Open returns a lease without a health check. Its connection is new, or was last used
// no longer ago than recent.
func (s *Server) Open(ctx context.Context, timeout, recent time.Duration) (*Lease, error) {
	c, err := s.pool.get(ctx, timeout, false)
	if err == nil && !c.fresh && time.Since(c.usedAt) > recent {
		s.pool.discard(c)
		c, err = s.pool.get(ctx, timeout, true)
	}
	if err != nil {
		return nil, err
	}
	return &Lease{server: s, conn: c}, nil
}

// Release returns the connection to the pool. It may be called on nil and more than
// once.
func (l *Lease) Release() {
	if l != nil && l.conn != nil {
		l.server.pool.put(l.conn)
		l.conn = nil
	}
}

// Outcome says whether a server ran a call.
type Outcome int

// Values of Outcome.
const (
	// Unknown: the server may have run the call.
	Unknown Outcome = iota
	// NotRun: the server has not run the call and will not.
	NotRun
	// Answered: the answer is complete and comes from the server's application.
	Answered
)

// String returns the text of the outcome in logs.
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

// Result is the result of a call at a server.
type Result struct {
	Outcome Outcome
	// Status, Header and Body are the server's answer, if there is one. The body is to be
	// released.
	Status int
	Header http.Header
	Body   *memory.Body
	// WrongServer says that another server has the address.
	WrongServer bool
	// Load is the load reported with the answer; HasLoad is false without a valid one.
	Load    Load
	HasLoad bool
	// Err says why there is no answer.
	Err error
}

// Call is a request to a server.
type Call struct {
	// ID is the id of the caller's attempt, which the server echoes; it may be
	// empty.
	ID string
	// Method and Target go into the request line unchanged.
	Method, Target string
	// Head holds the end-to-end header lines, each ended by CRLF.
	Head []byte
	// Body is the body in pieces. It must not change until Send returns.
	Body [][]byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

var (
	errUnsigned        = errors.New("the answer does not come from the server's application")
	errNoCallID        = errors.New("the answer does not name the call that it belongs to")
	errFalsePromise    = errors.New("the status promises that the call has not run, but the server does not say so")
	errRepeatedRefusal = errors.New("the refusal may be an earlier one that the server has sent again")
	errContentCoding   = errors.New("the answer has a Content-Encoding, which was not requested")
)

// Send sends a call and reads the whole answer, until the call's deadline or the end of
// the context. It sends nothing, with ErrLeftAlone, if the server wants no requests, and
// nothing if the context has ended. Without an answer it closes the connection, which tells
// the server that the caller no longer waits. Usable reports whether the lease may carry
// another call.
func (l *Lease) Send(ctx context.Context, call *Call) Result {
	s := l.server
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	end, err := l.conn.begin(ctx, call.Deadline)
	if err != nil {
		return Result{Outcome: NotRun, Err: err}
	}
	r := l.exchange(ctx, call)
	// If end returns false, the callback has set an expired deadline or is about to.
	if !end() || !l.conn.keep {
		s.pool.discard(l.conn)
		l.conn = nil
	}
	return r
}

// Usable reports whether the lease may carry another call.
func (l *Lease) Usable() bool { return l.conn != nil }

func (l *Lease) exchange(ctx context.Context, call *Call) Result {
	s := l.server
	if !s.options.Standing.Available(time.Now()) {
		return Result{Outcome: NotRun, Err: errors.WithStack(ErrLeftAlone)}
	}
	if n, err := s.sendRequest(l.conn, call); err != nil {
		if n == 0 {
			return Result{Outcome: NotRun, Err: err}
		}
		return Result{Err: err}
	}
	d := s.options.Dialect
	m, err := l.conn.read(ctx, call.Method, answerLimits{bodyBytes: s.options.MaxBodyBytes, memory: s.options.Memory, observe: s.observe}, func(_ int, h http.Header) bool {
		id := h.Get(d.CallID)
		return id == "" || id == call.ID
	})
	if err != nil {
		return Result{Err: err}
	}
	r := l.judge(call, m)
	if r.Body == nil {
		m.body.Release()
	}
	return r
}

// judge returns the result for the answer to a call.
func (l *Lease) judge(call *Call, m response) Result {
	s := l.server
	if call.ID != "" && m.header.Get(s.options.Dialect.CallID) == "" {
		l.conn.keep = false // what is still to come can't be told from the answer to the next call
		return Result{Err: errors.Wrapf(errNoCallID, "status %d", m.status)}
	}
	r := s.classify(m)
	if r.Outcome == NotRun && !l.conn.noteRefusal(call.ID) {
		return Result{Status: r.Status, Err: errors.Wrapf(errRepeatedRefusal, "status %d", r.Status)}
	}
	return r
}

// classify returns the result for an answer: NotRun for a rejection, Unknown for an answer
// with a content coding, for a success without a signature and for a status that callers
// take as a rejection although the server has not rejected the call, otherwise Answered.
func (s *Server) classify(m response) Result {
	d := s.options.Dialect
	r := Result{Outcome: Answered, Status: m.status, Header: m.header, Body: m.body}
	r.Load, r.HasLoad = s.parseLoad(m.header)
	if d.LoadCountsCall && m.header.Get(d.NotRun) == "" {
		r.Load.Running = max(r.Load.Running-1, 0)
	}
	success := m.status >= http.StatusOK && m.status < http.StatusMultipleChoices
	switch {
	case m.status == http.StatusMisdirectedRequest:
		return Result{Outcome: NotRun, Status: m.status, WrongServer: true, Err: errors.New("another server has the address")}
	case m.header.Get(d.NotRun) != "" && !success:
		return Result{Outcome: NotRun, Status: m.status, Load: r.Load, HasLoad: r.HasLoad, Err: errors.Errorf("the server rejected the call with status %d", m.status)}
	case promisesNotRun(m.status):
		return Result{Load: r.Load, HasLoad: r.HasLoad, Err: errors.Wrapf(errFalsePromise, "status %d", m.status)}
	case m.header.Get("Content-Encoding") != "":
		return Result{Err: errors.WithStack(errContentCoding)}
	case success && m.header.Get(d.Signature) == "":
		return Result{Err: errors.WithStack(errUnsigned)}
	default:
		return r
	}
}

// promisesNotRun reports whether callers conclude from a status that the call has not run
// and send it again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// joinedBytes is the most of a body that is written together with the head.
const joinedBytes = 4 << 10

// sendRequest writes a request and returns the number of bytes written.
func (s *Server) sendRequest(c *conn, call *Call) (int, error) {
	out := s.encodeHead(call)
	rest := call.Body
	if len(rest) > 0 && len(rest[0]) <= joinedBytes {
		out, rest = append(out, rest[0]...), rest[1:]
	}
	written, err := c.write(out)
	for _, piece := range rest {
		if err != nil {
			break
		}
		var n int
		n, err = c.write(piece)
		written += n
	}
	return written, err
}

// BodyBytes returns the number of bytes of the body.
func (c *Call) BodyBytes() int {
	n := 0
	for _, piece := range c.Body {
		n += len(piece)
	}
	return n
}

// encodeHead returns the head of the request in wire format.
func (s *Server) encodeHead(call *Call) []byte {
	d := s.options.Dialect
	left := max(time.Until(call.Deadline).Milliseconds(), 1)
	bodyBytes := call.BodyBytes()
	out := make([]byte, 0, len(call.Head)+len(call.Target)+min(bodyBytes, joinedBytes)+256)
	out = append(out, call.Method...)
	out = append(out, ' ')
	out = append(out, call.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = append(out, call.Head...)
	out = append(out, d.Deadline+": "...)
	out = strconv.AppendInt(out, left, 10)
	out = append(out, "\r\n"+d.ExpectServer+": "+s.options.ID+"\r\n"...)
	if bodyBytes > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(bodyBytes), 10)
		out = append(out, "\r\n"...)
	}
	return append(out, "\r\n"...)
}
