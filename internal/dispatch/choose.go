package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/baobabstack/baobabstack/internal/policy/pick"
	"github.com/baobabstack/baobabstack/internal/supervisor/servers"
)

// maxAttempts bounds the attempts of one call.
const maxAttempts = 3

// choice is the state of a service's servers for the next attempt of a call.
type choice struct {
	list  []*servers.Server
	now   time.Duration
	slots int
	// tried holds the servers of the call's earlier attempts.
	tried *[maxAttempts]*servers.Server
	// trials says whether the call may go to a server whose ejection is over.
	trials bool
}

// Len returns the number of servers.
func (c choice) Len() int { return len(c.list) }

// Candidate returns the state of a server, and false if it takes no call or was
// tried.
func (c choice) Candidate(i int) (pick.Candidate, bool) {
	s := c.list[i]
	for _, t := range c.tried {
		if t == s {
			return pick.Candidate{}, false
		}
	}
	candidate, ok := s.Candidate(c.now, c.slots)
	candidate.Trial = candidate.Trial && c.trials
	return candidate, ok
}

// next returns the server for the next attempt, or nil.
func (c choice) next() *servers.Server {
	i := pick.Choose(c, random)
	if i < 0 {
		return nil
	}
	return c.list[i]
}

// source draws from the runtime's generator, which is safe for concurrent use.
type source struct{}

// Uint64 returns a random number.
func (source) Uint64() uint64 { return rand.Uint64() }

var random = rand.New(source{})
