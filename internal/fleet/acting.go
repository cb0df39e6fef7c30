package fleet

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/fleetwire"
)

const (
	// actingPeriod is how long a gateway leads its data centre in place of the first in rank. It
	// is long enough for most cuts to end.
	actingPeriod = 10 * time.Second
	// actingOverlap is the time within which several gateways may begin to act because they have
	// not heard of each other yet. One that begins later replaces those before it.
	actingOverlap = 300 * time.Millisecond
)

// ActAsLeader makes this gateway the leader of its data centre for actingPeriod, in place of
// the first in rank or of one that acts already. It does nothing and returns false if another
// has just begun to.
func (m *Members) ActAsLeader(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.known {
		if k.wire.Zone == m.self.Zone && k.live(now) && now.Sub(k.actingSince) < actingOverlap {
			return false
		}
	}
	m.terms++
	m.self.ActingTerm, m.actingSince = m.terms, now
	m.log.With("term", m.terms).Infof("acts as leader of its data centre: the store has answered this gateway while the leader's data were old")
	metrics.GetOrCreateCounter("baobabstack_fleet_acting_terms_total").Inc()
	return true
}

// expireActing ends this gateway's term as acting leader.
func (m *Members) expireActing(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.ActingTerm > 0 && !isActing(m.actingSince, now) {
		m.self.ActingTerm = 0
	}
}

// isActing reports whether a gateway that began to act as leader at a time still does.
func isActing(since, now time.Time) bool { return !since.IsZero() && now.Sub(since) < actingPeriod }

// leader returns the leader of this gateway's data centre and since when it acts as such, the
// zero time if it is the first in rank. Of those that act, the latest leads, and the first in rank
// of several that began at once. The list is sorted by rank and contains this gateway.
func (m *Members) leader(ranked []*fleetwire.Member, now time.Time) (leader *fleetwire.Member, actingSince time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range ranked {
		if w.Zone != m.self.Zone {
			continue
		}
		since := m.actingSince
		if k, ok := m.known[w.Id]; ok {
			since = k.actingSince
		}
		if leader == nil || isActing(since, now) && since.Sub(actingSince) >= actingOverlap {
			leader, actingSince = w, since
		}
	}
	if !isActing(actingSince, now) {
		actingSince = time.Time{}
	}
	return leader, actingSince
}

// turn returns Roles.Turn and Roles.Turns, given the gateways by rank.
func (m *Members) turn(ranked []*fleetwire.Member, leader *fleetwire.Member) (turn, turns int) {
	for _, w := range ranked {
		switch {
		case w.Zone != m.self.Zone || w.Id == leader.Id:
			continue
		case w.Id == m.self.Id:
			turn = turns
		}
		turns++
	}
	return turn, turns
}
