package servers

import (
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/clock"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/policy/pick"
	"github.com/baobabstack/baobabstack/internal/policy/probe"
)

// Server is a backend server as seen by this entry. It is safe for concurrent use.
type Server struct {
	// Info is the server's record in the platform's list.
	Info lists.Server

	*serverState
}

// serverState is what an entry knows about a server. It is kept when the server's
// record in the list changes but its id, address and service do not.
type serverState struct {
	clock clock.Clock
	pool  *pool

	mu       sync.Mutex
	state    pick.State
	schedule probe.Schedule
}

func newServer(info lists.Server, clk clock.Clock, p *pool) *Server {
	return &Server{Info: info, serverState: &serverState{clock: clk, pool: p, state: pick.NewState(clk.Now())}}
}

// Candidate returns the server's state for a choice, or false if it accepts no
// calls. Slots is the server's number of slots in the allowances list.
func (s *Server) Candidate(now time.Duration, slots int) (pick.Candidate, bool) {
	if s.Info.State != lists.Live {
		return pick.Candidate{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Candidate(now, slots)
}

// TakesWork reports whether new calls may go to the server.
func (s *Server) TakesWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Info.State == lists.Live && !s.state.Leaving() && !s.state.Ejected()
}

// InFlight returns the number of this entry's own calls at the server.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.InFlight()
}

// Close closes the server's idle connections now, and those in use after their call.
// Calls that wait for a connection fail.
func (s *Server) Close() { s.pool.close() }

// idleTimeout is how long an unused connection stays open.
const idleTimeout = 30 * time.Second
