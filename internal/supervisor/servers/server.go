package servers

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/pick"
)

// Server is one backend server as this entry sees it. Its counters are safe for
// concurrent use.
type Server struct {
	// Info is the server's line in the platform's list.
	Info lists.Server

	pool     *pool
	inFlight atomic.Int64
	others   atomic.Uint64 // math.Float64bits of other entries' calls
	success  atomic.Uint64 // math.Float64bits of the share of successes
	signal   atomic.Bool   // the server said that it is leaving
}

const successWeight = 0.1

func newServer(info lists.Server, p *pool) *Server {
	s := &Server{Info: info, pool: p}
	s.success.Store(math.Float64bits(1))
	return s
}

// Candidate returns the server's state for a pick. Slots come from the
// allowances list.
func (s *Server) Candidate(slots int) pick.Candidate {
	return pick.Candidate{
		InFlight: int(s.inFlight.Load()),
		Others:   math.Float64frombits(s.others.Load()),
		Slots:    slots,
		Success:  math.Float64frombits(s.success.Load()),
		Ramp:     1,
	}
}

// TakesWork reports whether new calls may go to the server.
func (s *Server) TakesWork() bool {
	return s.Info.State == lists.Live && !s.signal.Load()
}

// InFlight returns this entry's own calls at the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// report notes a load report that came with an answer. The count of calls in
// flight at the server includes those of this entry.
func (s *Server) report(load int) {
	others := max(float64(load)-float64(s.inFlight.Load()), 0)
	s.others.Store(math.Float64bits(others))
}

// observe notes whether a call succeeded.
func (s *Server) observe(ok bool) {
	sample := 0.0
	if ok {
		sample = 1
	}
	old := math.Float64frombits(s.success.Load())
	s.success.Store(math.Float64bits(old + successWeight*(sample-old)))
}

// Close closes the server's idle connections; those in use close after their
// call.
func (s *Server) Close() { s.pool.close() }

// idleTimeout is how long an unused connection stays open.
const idleTimeout = 30 * time.Second
