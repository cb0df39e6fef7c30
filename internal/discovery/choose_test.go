package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against stale data behind a source that has lost its own: only the first source is
// sure to ask the store in time, so a gateway that follows another one asks it itself.
func TestGatewayBehindAFallbackSourceAsksTheStoreInTime(t *testing.T) {
	store, first, second := newFakeSource("store", true), newFakeSource("first", false), newFakeSource("second", false)
	f := NewFollower(Options{Decoder: textDecoder{}, Store: store, SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
	f.apply(first.full, time.Now())
	f.staleJitter = 1
	f.confirmedAt.Store(int64(f.clock.Now() - f.options.Timing.FollowerStaleAge - f.options.Timing.StaleSpread - time.Millisecond))
	roles := Roles{Sources: []Source{first, second}, Members: 1000}
	f.session = &session{source: first, answered: true}
	assert.Assert(t, !f.stale(roles), "the leader asks the store for all that follow it")
	f.session = &session{source: second, answered: true}
	assert.Assert(t, f.stale(roles))
	assert.Assert(t, f.nextSource(time.Now(), roles).Direct())
}

// Guards against a gateway that went back from the store to another gateway, lost that one
// too and was not allowed to ask the store again in time.
func TestStoreIsAskedAgainAfterAHealthySession(t *testing.T) {
	store, peer := newFakeSource("store", true), newFakeSource("peer", false)
	f := NewFollower(Options{Decoder: textDecoder{}, Store: store, SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
	f.apply(peer.full, time.Now())
	now := time.Now()
	f.session = &session{source: store, answered: true, cancel: func() {}}
	f.startSession(t.Context(), peer, now)
	f.sessionFailed(f.session, errDown, now)
	f.confirmedAt.Store(int64(f.clock.Now() - DefaultChangeBound))
	assert.Assert(t, f.nextSource(now, Roles{Sources: []Source{peer}, Members: 1000}).Direct())
}

// A change that the store acknowledges right after it has confirmed a reader's data must be
// known in time whatever is lost at that moment, with a tenth of the time left for calls.
func TestTimingKeepsEveryBound(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, DefaultChangeBound, 10 * time.Second} {
		timing, latest := NewTiming(bound), bound-bound/10
		assert.Assert(t, timing.WatchWait+timing.UpdateTimeout < latest, "a source is lost")
		assert.Assert(t, timing.FollowerStaleAge+timing.StaleSpread < latest, "a source is silent")
		assert.Assert(t, timing.WatchWait+timing.WatchMargin+timing.StaleSpread < latest, "the store is silent towards the reader")
		assert.Assert(t, timing.FollowerStaleAge+2*timing.StaleCheck+timing.FirstUpdateTimeout < latest, "a source answers with old data, another gateway takes its place")
		assert.Assert(t, timing.LeaderStaleAge < timing.FollowerStaleAge)
		assert.Assert(t, timing.WatchWait+timing.Heartbeat/2 < timing.LeaderStaleAge, "healthy data are not stale")
		assert.Assert(t, timing.Heartbeat < timing.UpdateTimeout)
	}
}

// Guards against a gateway that waits for the store, or goes on with old data, although one of its
// data centre has the store's answer: it follows that one at once, and asks the store again only if
// that one's data have grown old too.
func TestConfirmedLeaderIsFollowedAtOnce(t *testing.T) {
	store, old, acting := newFakeSource("store", true), newFakeSource("old", false), newFakeSource("acting", false)
	f := NewFollower(Options{Decoder: textDecoder{}, Store: store, SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
	f.apply(old.full, time.Now())
	now := time.Now()
	f.confirmedAt.Store(int64(f.clock.Now() - DefaultChangeBound))
	confirmed := Roles{Sources: []Source{acting, old}, LeaderConfirmedAt: now, Members: 10}
	for name, s := range map[string]*session{
		"the source answers":             {source: old, answered: true, startedAt: now},
		"the store has not answered yet": {source: store, startedAt: now},
	} {
		f.session = s
		next := f.nextSource(now, confirmed)
		assert.Equal(t, next.Name(), "acting", name)
		assert.Assert(t, f.shouldSwitch(s, next, confirmed, now), name)
	}
	later := now.Add(f.options.Timing.FollowerStaleAge)
	assert.Assert(t, f.nextSource(later, confirmed).Direct(), "its confirmation is too old")
	leads := Roles{Leader: true, Sources: []Source{old}, LeaderConfirmedAt: now}
	assert.Assert(t, f.nextSource(now, leads).Direct(), "the gateway leads itself")
}

// Guards against a fleet in which all that ask the store begin to lead: only a gateway that asked
// because its leader answers with old data does, and only once the store has answered it.
func TestGatewayActsAsLeaderOnlyForOneThatAnswers(t *testing.T) {
	store, leader := newFakeSource("store", true), newFakeSource("leader", false)
	for name, test := range map[string]struct {
		roles   Roles
		session *session
		want    int
	}{
		"its leader answers":  {Roles{Sources: []Source{leader}}, &session{source: leader, answered: true, cancel: func() {}}, 1},
		"its leader is lost":  {Roles{}, nil, 0},
		"it leads":            {Roles{Leader: true, Sources: []Source{leader}}, &session{source: leader, answered: true, cancel: func() {}}, 0},
		"it reads for others": {Roles{ReadsStore: true}, nil, 0},
	} {
		terms := 0
		f := NewFollower(Options{
			Decoder: textDecoder{}, Store: store, SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {},
			Roles: func(time.Time) Roles { return test.roles }, ActAsLeader: func(time.Time) { terms++ },
		})
		f.apply(leader.full, time.Now())
		f.confirmedAt.Store(int64(f.clock.Now() - DefaultChangeBound))
		f.session = test.session
		f.chooseSource(t.Context(), time.Now())
		assert.Assert(t, f.session.source.Direct(), name)
		assert.Equal(t, terms, 0, "%s: before the store has answered", name)
		for range 2 {
			f.handle(t.Context(), event{session: f.session.id, batch: Batch{}}, time.Now())
		}
		assert.Equal(t, terms, test.want, name)
		f.session.cancel()
	}
}

// Guards against a store that is not asked because it failed long ago: in an outage all gateways of
// a large fleet had failed to reach it, and when their leader was cut off some seconds later each
// waited for the end of a pause that grows with the fleet.
func TestFailureBeforeTheLatestConfirmationDelaysNoCall(t *testing.T) {
	store, leader := newFakeSource("store", true), newFakeSource("leader", false)
	f := NewFollower(Options{Decoder: textDecoder{}, Store: store, SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
	roles := Roles{Sources: []Source{leader}, Members: 124}
	f.apply(leader.full, time.Now())
	old := func() { f.confirmedAt.Store(int64(f.clock.Now() - DefaultChangeBound)) }
	old()
	now := time.Now()
	f.sessionFailed(&session{source: store, cancel: func() {}}, errDown, now)
	assert.Assert(t, !f.nextSource(now, roles).Direct(), "the store has just failed")

	f.session = &session{id: 1, source: leader, answered: true, cancel: func() {}}
	f.options.Roles = func(time.Time) Roles { return roles }
	f.handle(t.Context(), event{session: 1, batch: Batch{Age: time.Minute}}, now)
	old()
	assert.Assert(t, !f.nextSource(now, roles).Direct(), "its confirmation is older than the failure")
	f.handle(t.Context(), event{session: 1, batch: Batch{}}, now.Add(time.Second))
	old()
	assert.Assert(t, f.nextSource(now.Add(time.Second), roles).Direct(), "the store has confirmed the leader's data since")
}
