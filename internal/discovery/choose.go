package discovery

import (
	"context"
	"time"
)

// chooseSource starts a session with another source if there is no session, or if the
// next source should replace the present one.
func (f *Follower) chooseSource(ctx context.Context, now time.Time) {
	roles := f.options.Roles(now)
	if roles.LeaderConfirmedAt.After(f.roles.LeaderConfirmedAt) {
		f.peerFailures, f.peerFailedAt = 0, time.Time{} // those of other leaders
	}
	f.roles, f.leader = roles, roles.Leader || roles.ReadsStore
	next := f.nextSource(now, roles)
	s := f.session
	switch {
	case next == nil, s != nil && s.source.Name() == next.Name():
		return
	case s != nil && !f.shouldSwitch(s, next, roles, now):
		return
	}
	forLeader := next.Direct() && !f.leader && f.leaderAnswers(roles)
	f.startSession(ctx, next, now)
	f.session.forLeader = forLeader
}

// nextSource returns the source to follow now, or nil if none may be tried yet.
func (f *Follower) nextSource(now time.Time, roles Roles) Source {
	storeReady := now.Sub(f.storeFailedAt) >= f.storeRetryDelay(roles)
	switch {
	case storeReady && (roles.ReadsStore || f.stale(roles) && !f.leaderConfirmed(roles, now)):
		return f.options.Store
	case len(roles.Sources) > 0 && now.Sub(f.peerFailedAt) >= f.peerRetryDelay(len(roles.Sources)):
		return roles.Sources[f.peerFailures%len(roles.Sources)]
	default:
		return nil
	}
}

// storeRetryDelay returns the least time between a failure of the store and the start of
// the next session with it.
func (f *Follower) storeRetryDelay(roles Roles) time.Duration {
	t := f.options.Timing
	switch {
	case roles.ReadsStore:
		return f.storeBackoff
	case roles.Leader:
		return t.LeaderRetry
	case f.leaderAnswers(roles):
		return max(t.FollowerRetry, time.Duration(roles.Members)*storeRetryInterval)
	default:
		return t.FollowerRetry
	}
}

// leaderAnswers reports whether the gateway can count on its first source: no gateway has
// failed as a source since one answered, and none but the first is followed. Otherwise the
// gateway may follow one that has lost its source too.
func (f *Follower) leaderAnswers(roles Roles) bool {
	if len(roles.Sources) == 0 || f.peerFailures > 0 {
		return false
	}
	s := f.session
	return s == nil || s.source.Direct() || s.source.Name() == roles.Sources[0].Name()
}

// peerRetryDelay returns the pause after the latest failure of another gateway.
func (f *Follower) peerRetryDelay(sources int) time.Duration {
	rounds := min(f.peerFailures/sources, 4) // peerBackoffMax is reached by then
	return min(peerBackoff<<rounds, peerBackoffMax)
}

// leaderConfirmed reports whether the gateway follows, or can follow, a leader that the store
// answered a short time ago.
func (f *Follower) leaderConfirmed(roles Roles, now time.Time) bool {
	return !roles.Leader && now.Sub(roles.LeaderConfirmedAt) < f.options.Timing.FollowerStaleAge
}

// stale reports whether the store's last confirmation of the state is too old.
func (f *Follower) stale(roles Roles) bool {
	return f.state.Known() && f.age() > f.staleLimit(roles)
}

// staleLimit returns the age from which the state is too old. It is the shortest for a leader,
// because other gateways follow it. The others ask in turn, so that their calls don't grow with
// the fleet while their leader answers: they hear from the first that the store answers.
func (f *Follower) staleLimit(roles Roles) time.Duration {
	t := f.options.Timing
	if roles.Leader {
		return t.LeaderStaleAge
	}
	spread := t.StaleSpread
	if f.leaderAnswers(roles) {
		spread = max(spread, time.Duration(roles.Members)*storeTryInterval)
	}
	share := (float64(roles.Turn) + f.staleJitter) / float64(max(roles.Turns, 1))
	return t.FollowerStaleAge + time.Duration(share*float64(spread))
}

// shouldSwitch reports whether session s should be replaced by one with source next.
func (f *Follower) shouldSwitch(s *session, next Source, roles Roles, now time.Time) bool {
	switch {
	case next.Direct():
		return roles.ReadsStore || f.stale(roles)
	case s.source.Direct() && !s.answered:
		return f.leaderConfirmed(roles, now)
	case s.source.Direct():
		minTime := minStoreTime
		if now.Sub(f.peerLostAt) < minStoreTimePeersDown {
			minTime = minStoreTimePeersDown
		}
		return !roles.ReadsStore && now.Sub(s.startedAt) > minTime
	case s.answered:
		return now.Sub(s.startedAt) > minPeerTime || f.age() > f.options.Timing.LeaderStaleAge && f.leaderConfirmed(roles, now)
	default:
		return now.Sub(s.startedAt) > minUnansweredTime
	}
}
