package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/baobabstack/baobabstack/internal/policy/pick"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
)

// maxAttempts is the maximum number of attempts of one call, hedges included.
const maxAttempts = 3

// candidates implements pick.Source with a service's servers for the next attempt of
// a call.
type candidates struct {
	servers []*servers.Server
	now     time.Duration
	slots   int
	// tried holds the servers of earlier attempts, which are not chosen again.
	tried *[maxAttempts]*servers.Server
	// allowTrial says whether the call may be the trial call of a server whose
	// ejection has ended.
	allowTrial bool
}

// Len returns the number of servers.
func (c candidates) Len() int { return len(c.servers) }

// Candidate returns the state of the server at index i, or false if the server
// accepts no calls or was tried before.
func (c candidates) Candidate(i int) (pick.Candidate, bool) {
	s := c.servers[i]
	for _, t := range c.tried {
		if t == s {
			return pick.Candidate{}, false
		}
	}
	candidate, ok := s.Candidate(c.now, c.slots)
	candidate.Trial = candidate.Trial && c.allowTrial
	return candidate, ok
}

// choose returns the server for the next attempt, or nil if none accepts it.
func (c candidates) choose() *servers.Server {
	i := pick.Choose(c, random)
	if i < 0 {
		return nil
	}
	return c.servers[i]
}

// runtimeSource is a rand.Source that uses the runtime's generator, which is safe
// for concurrent use.
type runtimeSource struct{}

// Uint64 returns a random number.
func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

var random = rand.New(runtimeSource{})
