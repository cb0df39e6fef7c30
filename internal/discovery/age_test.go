package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a configuration that is old for a reason which the logs don't tell: what is done
// about old data is reported once each time that it changes, and their end.
func TestWhatIsDoneAboutOldDataIsReported(t *testing.T) {
	store, peer := newFakeSource("store", true), newFakeSource("peer", false)
	f := NewFollower(Options{Decoder: textDecoder{}, Store: store, SetStoreReachable: func(bool, time.Time) {}, Publish: func(View) {}})
	f.apply(peer.full, time.Now())
	for _, test := range []struct {
		name    string
		session *session
		age     time.Duration
		want    plan
	}{
		{"recent data", &session{source: peer, answered: true}, 0, ""},
		{"the source answers, its data are old", &session{source: peer, answered: true}, DefaultChangeBound, planFollowPeer},
		{"the source is lost", nil, DefaultChangeBound, planNone},
		{"another gateway is tried", &session{source: peer}, DefaultChangeBound, planTryPeer},
		{"the store is asked", &session{source: store}, DefaultChangeBound, planAskStore},
		{"the store has answered", &session{source: store, answered: true}, 0, ""},
	} {
		f.session = test.session
		f.confirmedAt.Store(int64(f.clock.Now() - test.age))
		f.reportAge(time.Now())
		assert.Equal(t, f.plan, test.want, test.name)
	}
}
