package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/baobabstack/baobabstack/internal/fleet"
	"github.com/baobabstack/baobabstack/internal/placement"
	"github.com/baobabstack/baobabstack/internal/routing"
)

// coldServer is what a gateway knows of the warm-up of one run of a server: it is cold for some
// time after its start, and may become cold again at any moment. It is safe for concurrent
// use.
type coldServer struct {
	local     bool // in this gateway's data centre
	fleetSize func(now time.Time) fleet.Size

	mu    sync.Mutex
	rule  placement.ColdRule
	until time.Time // when the server is warm
	// toldUntil is when the server is warm by its last answer to a health check.
	toldUntil time.Time
	turns     placement.ColdTurns
}

// newColdServer returns the state of a server that is warm. The order, which is random, sets
// the phase of the gateway's turns at it.
func newColdServer(order uint64, local bool, fleetSize func(now time.Time) fleet.Size) *coldServer {
	return &coldServer{local: local, fleetSize: fleetSize, turns: placement.ColdTurns{Phase: float64(order) / math.MaxUint64}}
}

func (c *coldServer) setRule(r placement.ColdRule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rule = r
}

// listed takes the warm-up that the server's record states. It doesn't shorten what the server
// itself has told, which may be newer.
func (c *coldServer) listed(left time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = now.Add(left)
	if c.toldUntil.After(c.until) {
		c.until = c.toldUntil
	}
}

// told takes the warm-up that the answer to a health check states.
func (c *coldServer) told(left time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = now.Add(left)
	c.toldUntil = c.until
}

// isCold reports whether the server is cold.
func (c *coldServer) isCold(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.until)
}

// isOpen reports whether a request may be sent to the server, as far as its warm-up goes.
func (c *coldServer) isOpen(now time.Time) bool { return c.allows(now, (*placement.ColdTurns).Open) }

// claim reports whether a request may be sent to the server, and uses this gateway's turn if
// the server is cold.
func (c *coldServer) claim(now time.Time) bool { return c.allows(now, (*placement.ColdTurns).Take) }

// allows applies a method of the gateway's turns if the server is cold. There are no turns
// while the gateway may know only a part of the fleet: all parts together could use more than
// the server tolerates.
func (c *coldServer) allows(now time.Time, method func(*placement.ColdTurns, placement.ColdRule, placement.ColdSharers, time.Time) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.until) || !c.rule.Limited() {
		return true
	}
	size := c.fleetSize(now)
	sharers := placement.ColdSharers{Local: c.local, Gateways: size.Local}
	if !c.local {
		sharers.Gateways = size.Gateways - size.Local
	}
	return size.Known && method(&c.turns, c.rule, sharers, now)
}

// coldRule returns the bound on requests at cold servers of a service.
func (r *registry) coldRule(s routing.Service) placement.ColdRule {
	b := r.options.Settings.Budgets
	return placement.ColdRule{Rate: s.WarmupRate, Overage: b.ColdOverage, Slack: b.ColdSlack}
}

// claim reports whether a request may be sent to the server now. It is called just before each
// send, since the server, its data centre or its warm-up may have changed since it was chosen.
func (t *target) claim(now time.Time) bool {
	if !t.available(now) {
		return false
	}
	if !t.cold.claim(now) {
		countWithheld(t.info.Service)
		return false
	}
	if t.cold.isCold(now) {
		countColdSend(t.info.Service)
	}
	return true
}
