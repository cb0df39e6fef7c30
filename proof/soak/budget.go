package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/platform/fake"
)

// retryBudget is that of the gateways' settings.
var retryBudget = standin.RetryBudget{Ratio: 0.2, Slack: retrySlack, Window: 10 * time.Second}

// checkRetryBudget checks that no service gets more requests again in any window than the
// budget allows, whatever happens to gateways and servers. It returns the largest use of a
// budget, as a share.
func (s *Soak) checkRetryBudget() (worst float64) {
	servers := make(map[string][]*fake.Server)
	for _, n := range s.serverList() {
		servers[n.service] = append(servers[n.service], n.server)
	}
	for service, list := range servers {
		var requests []time.Time
		claimed := make(map[string]bool)
		for _, c := range s.claims {
			if c.service() == service {
				requests = append(requests, c.sent)
				claimed[c.id] = true
			}
		}
		first, again := fake.Arrivals(list...)
		for id, at := range first {
			if !claimed[id] { // a check of the soak itself, or sent behind a closing answer
				requests = append(requests, at)
			}
		}
		used, text := retryBudget.Worst(requests, again)
		if used > 1 {
			s.violation("", "retry budget of %s exceeded: %s", service, text)
		}
		worst = max(worst, used)
	}
	return worst
}

// refusalFaults are services that refuse all requests while they report room.
var refusalFaults = []fault{
	{"all gateways restart while a service refuses", func(s *Soak, rng *rand.Rand) func() { s.restartWhileRefusing(rng); return nil }},
}

// restartWhileRefusing kills all gateways after a service has begun to refuse. It does so once
// in a window at most, so that gateways come to have calls that allow retries.
func (s *Soak) restartWhileRefusing(rng *rand.Rand) {
	before := time.Duration(rng.Int64N(int64(refusalTime)))
	if !s.restarting.TryLock() {
		return
	}
	accept := s.refuseAll(rng)
	s.later(func() {
		defer s.restarting.Unlock()
		time.Sleep(before)
		for _, g := range s.gateways {
			g.signal(syscall.SIGKILL)
		}
		time.Sleep(refusalTime)
		accept()
		time.Sleep(retryBudget.Window - refusalTime)
	})
}

// refusalTime is how long a service goes on refusing after a restart, and at most before it.
const refusalTime = 4 * time.Second

// refuseAll lets all servers of a service refuse, and returns what lets them accept again.
func (s *Soak) refuseAll(rng *rand.Rand) (accept func()) {
	service := []string{"look", "book"}[rng.IntN(2)]
	var refusing []*serverNode
	for _, n := range s.serverList() {
		if n.service == service {
			n.server.Refuse("")
			refusing = append(refusing, n)
		}
	}
	return func() {
		for _, n := range refusing {
			n.server.Accept()
		}
	}
}
