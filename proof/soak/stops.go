package soak

import (
	"net/http"
	"slices"
	"time"
)

const (
	// stopGrace is the time that gateways have to stop, and stopSlack what the platform
	// gives beyond it.
	stopGrace = 6 * time.Second
	stopSlack = time.Second
	// lossSlack is the time after a request's last byte within which its connection may end
	// unless a server has got it.
	lossSlack = 200 * time.Millisecond
	// lateWork is the part of the grace period at whose end servers may still be at work on
	// requests that were sent within lateSend.
	lateWork = stopGrace / 6
	lateSend = 3 * time.Second
	// limitSlack is how much before the deadline a gateway may give up.
	limitSlack = 50 * time.Millisecond
)

// span is a time in which something was wrong. To is zero as long as it is.
type span struct {
	from, to time.Time
	link     bool // requests may be lost on the way
}

// overlaps reports whether the span, with contact after it, overlaps a time.
func (p span) overlaps(from, to time.Time) bool {
	return p.from.Before(to) && (p.to.IsZero() || p.to.Add(contact).After(from))
}

// stop is a SIGTERM that a process got first.
type stop struct {
	process time.Time // when the process started
	at      time.Time
}

// visit is a request at a server. Began is zero if the server turned it away.
type visit struct {
	server     *serverNode
	at         time.Time // of its arrival
	began, end time.Time // of its work
	left       bool      // the gateway had left by the end
}

// atWork reports whether the server would have worked on the request at a moment if the
// gateway had not left.
func (v visit) atWork(at time.Time) bool {
	return !v.began.IsZero() && v.began.Before(at) && (v.end.IsZero() || v.left || v.end.After(at))
}

// visits returns what reached servers, by request.
func (s *Soak) visits() map[string][]visit {
	all := make(map[string][]visit)
	for _, n := range s.serverList() {
		runs := make(map[string]int)
		list := n.server.Runs()
		for i, r := range list {
			runs[r.CallID] = i + 1
		}
		for _, a := range n.server.Arrivals() {
			v := visit{server: n, at: a.At}
			if i := runs[a.CallID]; i > 0 {
				v.began, v.end, v.left = list[i-1].At, list[i-1].End, list[i-1].Left
			}
			all[a.CallID] = append(all[a.CallID], v)
		}
	}
	return all
}

// checkLost checks that callers lost no answers at gateways without a disturbance: neither
// around planned stops nor at other times.
func (s *Soak) checkLost() {
	visits := s.visits()
	for _, c := range s.claims {
		if c.gateway.disturbedBetween(c.sent.Add(-contact), c.ended) || c.ended.Sub(c.sent) > c.limit-limitSlack {
			continue
		}
		v, at := visits[c.id], c.gateway.stopAround(&c)
		text := takenBy(&c, v)
		if text == "" || s.serverTroubled(&c, v) {
			continue
		}
		if at.IsZero() {
			s.checkCalmLoss(&c, v, text)
			continue
		}
		if late(&c, v, at) {
			continue
		}
		s.lostBy[c.kind]++
		s.violation(c.id, "%s %s, %s after its SIGTERM; unsafe %t, %s, sent %s after the SIGTERM, whole %s, visits %d", c.gateway.id, text,
			since(at, c.ended), c.unsafe, c.kind, since(at, c.sent), since(at, c.whole), len(v))
	}
}

// checkCalmLoss checks a request whose answer was taken while its gateway did not stop. Only
// a request that was passed on counts, and an answer of the gateway's own does not.
func (s *Soak) checkCalmLoss(c *claim, visits []visit, text string) {
	if c.lost && len(visits) > 0 {
		s.violation(c.id, "%s %s, though it did not stop; unsafe %t, %s, after %s", c.gateway.id, text, c.unsafe, c.kind, c.ended.Sub(c.sent).Round(time.Millisecond))
	}
}

func since(at, moment time.Time) string {
	if moment.IsZero() {
		return "never"
	}
	return moment.Sub(at).Round(time.Millisecond).String()
}

// takenBy tells how a gateway took the answer from a caller; it is empty if it did not.
func takenBy(c *claim, visits []visit) string {
	passed := len(visits) > 0
	whole := !c.whole.IsZero() && c.ended.Sub(c.whole) > lossSlack && c.ended.Sub(c.there) > lossSlack
	switch {
	case c.lost && passed:
		return "passed the request on and ended the connection without its answer"
	case c.lost && whole && !c.behind:
		return "read the request and ended the connection without an answer"
	case !c.signed && (c.status == http.StatusBadGateway || c.status == http.StatusGatewayTimeout):
		if slices.ContainsFunc(visits, func(v visit) bool { return v.atWork(c.ended) }) {
			return "answered in place of a server at work"
		}
	}
	return ""
}

// late reports whether a request was sent whole soon after the SIGTERM, and its server was at
// work until near the end of the grace period, when the gateway gave it up.
func late(c *claim, visits []visit, at time.Time) bool {
	end := at.Add(stopGrace - lateWork)
	return c.whole.Sub(at) <= lateSend && c.ended.After(end) && slices.ContainsFunc(visits, func(v visit) bool {
		return !v.began.IsZero() && (v.end.IsZero() || v.end.After(end))
	})
}

// serverTroubled reports whether a fault at a server excuses what became of a request: at one
// that got it, or that it may have been lost on the way to.
func (s *Soak) serverTroubled(c *claim, visits []visit) bool {
	for _, v := range visits {
		if v.server.troubled(v.at, c.ended, false) {
			return true
		}
	}
	if len(visits) > 0 {
		return false
	}
	return slices.ContainsFunc(s.serverList(), func(n *serverNode) bool {
		return n.service == c.service() && n.troubled(c.sent, c.ended, true)
	})
}

// troubled reports whether there was trouble at the server in a time.
func (n *serverNode) troubled(from, to time.Time, linkOnly bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.troubles, func(p span) bool { return (p.link || !linkOnly) && p.overlaps(from, to) })
}

// trouble notes the begin of trouble at the server and returns its end.
func (n *serverNode) trouble(link bool) func() {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.troubles)
	n.troubles = append(n.troubles, span{from: time.Now(), link: link})
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.troubles[i].to = time.Now()
	}
}

// stopAround returns when the process that got a request was told to stop, if the request
// ended after that and before the platform's patience; zero otherwise.
func (g *gatewayNode) stopAround(c *claim) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.stops {
		if !c.process.After(p.process) && c.ended.After(p.at) && c.ended.Before(p.at.Add(stopGrace+stopSlack)) {
			return p.at
		}
	}
	return time.Time{}
}
