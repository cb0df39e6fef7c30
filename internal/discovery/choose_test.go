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
		assert.Assert(t, timing.LeaderStaleAge < timing.FollowerStaleAge)
		assert.Assert(t, timing.WatchWait+timing.Heartbeat/2 < timing.LeaderStaleAge, "healthy data are not stale")
		assert.Assert(t, timing.Heartbeat < timing.UpdateTimeout)
	}
}
