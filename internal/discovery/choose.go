package discovery

import (
	"context"
	"time"
)

// chooseSource starts a session with another source if there is no session, or if the
// next source should replace the present one.
func (f *Follower) chooseSource(ctx context.Context, now time.Time) {
	roles := f.options.Roles(now)
	f.leader = roles.Leader || roles.ReadsStore
	next := f.nextSource(now, roles)
	s := f.session
	switch {
	case next == nil, s != nil && s.source.Name() == next.Name():
		return
	case s != nil && !f.shouldSwitch(s, next, roles, now):
		return
	}
	f.startSession(ctx, next, now)
}

// nextSource returns the source to follow now, or nil if none may be tried yet.
func (f *Follower) nextSource(now time.Time, roles Roles) Source {
	storeReady := now.Sub(f.storeEndedAt) >= f.storeRetryDelay(roles)
	switch {
	case storeReady && (roles.ReadsStore || f.stale(roles)):
		return f.options.Store
	case len(roles.Sources) > 0 && now.Sub(f.peerFailedAt) >= f.peerRetryDelay(len(roles.Sources)):
		return roles.Sources[f.peerFailures%len(roles.Sources)]
	default:
		return nil
	}
}

// storeRetryDelay returns the least time between the end of a session with the store
// and the start of the next.
func (f *Follower) storeRetryDelay(roles Roles) time.Duration {
	switch {
	case roles.ReadsStore:
		return f.storeBackoff
	case roles.Leader:
		return leaderBackoff
	case f.hasPeers(roles):
		return max(nonLeaderBackoff, time.Duration(roles.Members)*storeRetryInterval)
	default:
		return nonLeaderBackoff
	}
}

// hasPeers reports whether other gateways are known of which not all have failed since
// one answered.
func (f *Follower) hasPeers(roles Roles) bool { return f.peerFailures < len(roles.Sources) }

// peerRetryDelay returns the pause after the latest failure of another gateway.
func (f *Follower) peerRetryDelay(sources int) time.Duration {
	rounds := min(f.peerFailures/sources, 4) // peerBackoffMax is reached by then
	return min(peerBackoff<<rounds, peerBackoffMax)
}

// stale reports whether the store's last confirmation of the state is too old. The
// limit is shorter for a leader, because other gateways follow it.
func (f *Follower) stale(roles Roles) bool {
	limit := staleAge
	if !roles.Leader {
		spread := maxStaleJitter
		if f.hasPeers(roles) {
			spread = max(spread, time.Duration(roles.Members)*storeTryInterval)
		}
		limit += nonLeaderDelay + time.Duration(f.staleJitter*float64(spread))
	}
	return f.state.Known() && f.clock.Now()-time.Duration(f.confirmedAt.Load()) > limit
}

// shouldSwitch reports whether session s should be replaced by one with source next.
func (f *Follower) shouldSwitch(s *session, next Source, roles Roles, now time.Time) bool {
	switch {
	case next.Direct():
		return roles.ReadsStore || f.stale(roles)
	case s.source.Direct():
		minTime := minStoreTime
		if now.Sub(f.peerLostAt) < minStoreTimePeersDown {
			minTime = minStoreTimePeersDown
		}
		return !roles.ReadsStore && s.answered && now.Sub(s.startedAt) > minTime
	case s.answered:
		return now.Sub(s.startedAt) > minPeerTime
	default:
		return now.Sub(s.startedAt) > minUnansweredTime
	}
}
