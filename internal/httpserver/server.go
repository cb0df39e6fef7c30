// Package httpserver runs HTTP listeners on nbhttp. A guard in front of the
// library's parser refuses requests that two recipients could read in two ways,
// and bounds what a connection may hold.
package httpserver

import (
	"cmp"
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/memory"
)

func init() { logging.SetLevel(logging.LevelNone) }

// Options configures a listener.
type Options struct {
	// Name names the listener in metrics.
	Name string
	// Address is the IP address and port.
	Address string
	// MaxBodyBytes bounds a request's body, and an answer's beside its head.
	MaxBodyBytes int
	// MemoryBytes bounds what the requests of all connections hold, an eighth more for small
	// ones; 0 sets no bound. A request with the largest body needs MaxHeadMemory beside it.
	MemoryBytes int
	// SharedMemory also counts what requests hold, beside what others count; nil for none.
	SharedMemory *memory.Budget
	// MaxConnections bounds the open connections. At the bound, a new one takes the place of
	// one whose caller is silent. The default is 32,768.
	MaxConnections int
	// RequestTimeout bounds the time from a request's first byte to its last, for a body that
	// arrives more slowly than MinBodyRate.
	RequestTimeout time.Duration
	// MinBodyRate is the rate in bytes per second at which a body may take longer than
	// RequestTimeout. The default is 16 KiB per second.
	MinBodyRate int
	// IDHeader names the header by which logs tell a request; empty for none.
	IDHeader string
	// WriteTimeout bounds the time that a caller takes to read an answer.
	WriteTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
	// Limits returns tighter bounds that hold at the moment; nil if there are none.
	Limits func() Limits
	// TLS enables TLS.
	TLS *tls.Config
	// Handler answers requests, each in a goroutine of its own. The context of
	// a request ends when its connection does.
	Handler http.Handler
}

const (
	// DefaultRequestTimeout is the default of Options.RequestTimeout.
	DefaultRequestTimeout = 10 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	// answerTimeout bounds the time that a handler takes.
	answerTimeout = time.Hour
	// lingerTimeout is how long a connection whose last answer is sent may be silent before
	// it is closed; lingerInterval is the time between two checks.
	lingerTimeout  = 2 * time.Second
	lingerInterval = lingerTimeout / 8
	acceptPause    = 50 * time.Millisecond
	// stopTimeout bounds the wait for the engine, which comes after the end of a process's
	// drain and must fit into what is left of its grace period.
	stopTimeout = 200 * time.Millisecond

	// MaxHeadBytes is the largest head of a request.
	MaxHeadBytes = 32 << 10
	maxHeaders   = 100
	maxPipelined = 32
	// defaultMaxConnections is the default of Options.MaxConnections.
	defaultMaxConnections = 32 << 10
	// defaultMinBodyRate is the default of Options.MinBodyRate: about a hundredth of a link of
	// 10 Mbit/s.
	defaultMinBodyRate = 16 << 10
	// spareConnections is the number of connections beyond the bound, as its share, that are
	// open while others are being closed.
	spareConnections = 0.125
	// roomScan is the number of connections among which one is chosen to make room.
	roomScan = 256
	// frameBytes bounds what TLS and the head add to an answer's body.
	frameBytes = 256 << 10
)

// Server is a running listener.
type Server struct {
	options  Options
	engine   *nbhttp.Engine
	listener net.Listener
	budget   *memory.Intake // of the requests of all connections
	counters counters
	draining atomic.Bool
	open     atomic.Int64
	busy     atomic.Int64
	accepted sync.WaitGroup
	barrier  *pollerBarrier
	conns    sync.Map // of *conn, the open connections
}

// Start listens and serves until Stop.
func Start(o Options) (*Server, error) {
	s := &Server{options: withDefaults(o), counters: newCounters(o.Name)}
	s.budget = memory.NewIntake(cmp.Or(o.MemoryBytes, math.MaxInt), o.SharedMemory)
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: o.Name, Handler: http.HandlerFunc(serve),
		MaxHTTPBodySize: o.MaxBodyBytes, ReadLimit: o.MaxBodyBytes + MaxHeadBytes,
		MaxWriteBufferSize: o.MaxBodyBytes + frameBytes,
		ServerExecutor:     func(f func()) { go f() },
		NPoller:            1, // see pollerBarrier
	})
	s.engine.OnWrittenSize(onWritten)
	s.engine.Engine.OnClose(s.onClose)
	// The address comes first: an engine that has just started may not stop.
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: listen on %s", o.Name, o.Address)
	}
	if err := s.engine.Start(); err != nil {
		_ = listener.Close()
		return nil, errors.Wrapf(err, "%s: start the engine", o.Name)
	}
	s.listener = listener
	s.barrier, err = newPollerBarrier(func(nbc *nbio.Conn) error {
		_, err := s.engine.AddConn(nbc)
		return err
	})
	if err != nil {
		s.Stop()
		return nil, errors.Wrap(err, o.Name)
	}
	s.accepted.Add(1)
	go s.accept()
	return s, nil
}

func withDefaults(o Options) Options {
	if o.RequestTimeout == 0 {
		o.RequestTimeout = DefaultRequestTimeout
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	o.MaxConnections = cmp.Or(o.MaxConnections, defaultMaxConnections)
	o.MinBodyRate = cmp.Or(o.MinBodyRate, defaultMinBodyRate)
	return o
}

// Address returns the address listened on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Drain makes each answer from now on the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle stops listening and closes the connections on which no request has
// begun. A request that crosses the close is not read.
func (s *Server) CloseIdle() {
	s.listener.Close()
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).closeIdle()
		return true
	})
}

// RefuseIncomplete answers each request that has begun and is not whole: it is not run.
func (s *Server) RefuseIncomplete() {
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).refuseIncomplete()
		return true
	})
}

// Interrupt ends the contexts of all requests with a cause. Their handlers still answer them.
func (s *Server) Interrupt(cause error) {
	s.conns.Range(func(key, _ any) bool {
		key.(*conn).interrupt(cause)
		return true
	})
}

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.open.Load()) }

// Busy returns the number of requests that are not answered in full.
func (s *Server) Busy() int { return int(s.busy.Load()) }

// Lingering returns the number of connections that take no more requests and that their
// callers have not closed yet.
func (s *Server) Lingering() int {
	n := 0
	s.conns.Range(func(key, _ any) bool {
		if key.(*conn).lingers() {
			n++
		}
		return true
	})
	return n
}

// Stop closes the listener and all connections. The library's poller sometimes
// misses its wake-up and keeps its stop waiting, so that wait is bounded.
func (s *Server) Stop() {
	s.listener.Close()
	s.accepted.Wait()
	if s.barrier != nil {
		s.barrier.close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.engine.Engine.Shutdown(ctx); err != nil {
		log.Warnf("%s: the engine did not stop in %s", s.options.Name, stopTimeout)
	}
}

func (s *Server) accept() {
	defer s.accepted.Done()
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		if !s.hasRoom() {
			s.counters.refused(refuseCrowded.reason)
			_ = raw.Close()
			continue
		}
		s.add(raw)
	}
}

// hasRoom reports whether another connection may be opened, and closes one for it at the bound.
func (s *Server) hasRoom() bool {
	open, bound := s.open.Load(), int64(s.options.MaxConnections)
	if open < bound {
		return true
	}
	now := time.Now()
	var victim *conn
	var least lessUseful
	seen := 0
	s.conns.Range(func(key, _ any) bool {
		c := key.(*conn)
		if use, ok := c.canMakeRoom(now); ok && (victim == nil || use.before(least)) {
			victim, least = c, use
		}
		seen++
		return seen < roomScan
	})
	if victim == nil || open >= bound+int64(spareConnections*float64(bound)) {
		return false
	}
	victim.makeRoom()
	return true
}

// HeldBytes returns the bytes that requests hold now, the most that they held, and the number
// of requests that were given up for others.
func (s *Server) HeldBytes() (now, peak, givenUp int) {
	return s.budget.Used(), s.budget.Peak(), s.budget.GivenUp()
}

// add hands a connection to the engine, with a guard in front of its parser.
func (s *Server) add(raw net.Conn) {
	nbc, err := nbio.NBConn(raw)
	if err != nil {
		_ = raw.Close()
		return
	}
	if err := s.barrier.wait(nbc.Hash()); err != nil {
		log.Warnf("%s: a connection from %s may be closed by an event of an earlier one: %v", s.options.Name, nbc.RemoteAddr(), err)
	}
	c := newConn(s, nbc)
	nbc.SetSession(c)
	nbc.OnData(s.onData)
	s.open.Add(1)
	s.conns.Store(c, nil)
	s.counters.connections.Inc()
	if _, err := s.engine.AddConn(nbc); err != nil {
		s.closed(c)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchIdle()
}

// onData passes on the bytes read from a connection. The engine hands a
// connection from the accepting goroutine to a poller through the kernel; the
// counter of open connections orders the two for Go's memory model.
func (s *Server) onData(nbc *nbio.Conn, data []byte) {
	s.open.Load()
	if s.options.TLS == nil {
		s.engine.DataHandler(nbc, data)
		return
	}
	s.engine.TLSDataHandler(nbc, data)
}

// onClose ends the calls of a connection at once, and cleans up after the
// running one.
func (s *Server) onClose(nbc *nbio.Conn, err error) {
	s.open.Load()
	c, ok := nbc.Session().(*conn)
	if !ok {
		return
	}
	c.endCalls()
	nbc.MustExecute(func() {
		c.CloseAndClean(err)
		s.closed(c)
	})
}

func (s *Server) closed(c *conn) {
	c.endCalls()
	if _, open := s.conns.LoadAndDelete(c); !open {
		return // AddConn has failed, and the engine has told as well
	}
	s.open.Add(-1)
	s.counters.connections.Dec()
}
