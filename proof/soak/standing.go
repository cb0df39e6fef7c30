package soak

import (
	"net/http"
	"time"
)

const (
	// pauseReaction is the time that a gateway has to leave a server alone once the server
	// has asked for a pause; pauseArrivals requests may reach it after that.
	pauseReaction = 500 * time.Millisecond
	pauseArrivals = 2
)

// leavingAnswer identifies the answers of a server that says that it leaves, as passed on by
// one process of a gateway.
type leavingAnswer struct {
	gateway *gatewayNode
	started time.Time // of the process
	server  string
}

// heardLeaving notes that a gateway has passed on an answer of a server that leaves.
func (s *Soak) heardLeaving(g *gatewayNode, server string) {
	started, _ := g.since()
	key := leavingAnswer{g, started, server}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leaving[key]; !ok {
		s.leaving[key] = time.Now()
	}
}

// checkStanding checks that servers are left alone by each gateway that they have asked:
// for good once they say that they leave, and for the time of a pause. A restart or a freeze
// of the gateway in between excuses it.
func (s *Soak) checkStanding() {
	sent := make(map[string]claim, len(s.claims))
	for _, c := range s.claims {
		sent[c.id] = c
	}
	for _, n := range s.serverList() {
		paused := make(map[*gatewayNode]pause)
		for _, a := range n.server.Arrivals() {
			c, ok := sent[a.CallID]
			if !ok {
				continue // a check of the soak itself
			}
			s.checkLeaving(n.server.ID(), c, a.At)
			p := paused[c.gateway]
			s.checkPause(n.server.ID(), c, a.At, &p)
			if a.Refused && a.RetryAfter != "" && !c.gaveUp() {
				p.extend(a.At, a.RetryAfter)
			}
			paused[c.gateway] = p
		}
	}
}

// checkLeaving checks a request that reached a server against what its gateway had passed on.
func (s *Soak) checkLeaving(server string, c claim, at time.Time) {
	heard, leaves := s.leaving[leavingAnswer{c.gateway, c.process, server}]
	if since := c.sent.Sub(heard); leaves && since > drainBound && !c.gateway.touchedBetween(heard, at) {
		s.violation(c.id, "%s sent it to %s, which had said that it leaves %s before", c.gateway.id, server, since.Round(time.Millisecond))
	}
}

// checkPause counts a request that reached a server in a pause.
func (s *Soak) checkPause(server string, c claim, at time.Time, p *pause) {
	if !p.covers(at) || c.gateway.touchedBetween(p.from, at) {
		return
	}
	if p.arrived++; p.arrived == pauseArrivals+1 {
		s.violation(c.id, "%s sent %d requests to %s, which had asked for a pause %s before", c.gateway.id, p.arrived, server, at.Sub(p.from).Round(time.Millisecond))
	}
}

// gaveUp reports whether the gateway gave the request up at its deadline, maybe before the
// answer of its server came, or the caller knows of no answer.
func (c *claim) gaveUp() bool {
	return c.status == 0 || c.status == http.StatusGatewayTimeout && !c.signed
}

// pause is a time in which a server wants no requests from a gateway.
type pause struct {
	from, until time.Time
	arrived     int
}

func (p *pause) covers(at time.Time) bool {
	return at.Sub(p.from) > pauseReaction && at.Before(p.until)
}

// extend takes a refusal that asks for a pause, in seconds.
func (p *pause) extend(at time.Time, seconds string) {
	length, err := time.ParseDuration(seconds + "s")
	if err != nil || !at.Add(length).After(p.until) {
		return
	}
	if at.After(p.until) {
		p.arrived = 0
		p.from = at
	}
	p.until = at.Add(length)
}
