package discovery

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// putIn returns an item that was written in an era.
func putIn(era, number uint64, key, value string) Item {
	return Item{Key: key, Value: []byte(value), Revision: Revision{era, number}}
}

// newStateInEra returns a state of era 1 with version 3, server a, server b that is leaving, and
// the evacuation of the data centre x.
func newStateInEra(t *testing.T) *State {
	t.Helper()
	s := NewState(textDecoder{})
	s.Apply(Batch{Full: true, Revision: Revision{1, 20}, Items: []Item{
		putIn(1, 17, "config", "3"), putIn(1, 18, "s/a", "up"), putIn(1, 19, "s/b", "leaving"), putIn(1, 20, "evacuate/x", "{}"),
	}}, startTime)
	assert.Equal(t, serverIDs(s), "a b!")
	return s
}

// configurationFor returns the version that a follower gets from a state.
func configurationFor(t *testing.T, s *State) uint64 {
	t.Helper()
	follower := NewState(textDecoder{})
	follower.Apply(s.Full(), startTime)
	assert.Assert(t, follower.Known())
	return follower.Table().Version
}

// Guards against the loss of what was acknowledged and will be written again: servers that were
// dropped, an evacuation that was forgotten, a gateway that starts with an old configuration.
func TestNewEraKeepsForATimeWhatTheCopyLacks(t *testing.T) {
	for name, config := range map[string][]Item{"older": {putIn(2, 2, "config", "2")}, "none": nil} {
		s := newStateInEra(t)
		s.Apply(Batch{Full: true, Revision: Revision{2, 4}, Items: config}, startTime)
		assert.Equal(t, s.Revision(), Revision{2, 4})
		assert.Equal(t, s.Table().Version, uint64(3), name)
		assert.Equal(t, configurationFor(t, s), uint64(3), name)
		assert.Equal(t, serverIDs(s), "a", "a server that was leaving is not kept")
		assert.DeepEqual(t, s.Evacuated(), map[string]bool{"x": true})
		assert.Assert(t, s.RetainsUnlisted(startTime))

		s.Expire(startTime.Add(recoveryGrace))
		assert.Equal(t, serverIDs(s), "")
		assert.DeepEqual(t, s.Evacuated(), map[string]bool{"x": true})
		s.Expire(startTime.Add(rewriteGrace))
		assert.Equal(t, len(s.Evacuated()), 0)
		assert.Equal(t, s.Table().Version, uint64(3), name)
		assert.Assert(t, !s.RetainsUnlisted(startTime.Add(rewriteGrace+removalPropagation)))
	}
}

// Guards against changes that are ignored because the copy's revisions are lower.
func TestNewEraTakesEachWrite(t *testing.T) {
	s := newStateInEra(t)
	s.Apply(Batch{Full: true, Revision: Revision{2, 4}, Items: []Item{putIn(2, 2, "config", "2")}}, startTime)
	s.Apply(Batch{Revision: Revision{2, 9}, Items: []Item{
		putIn(2, 5, "config", "3"), putIn(2, 6, "s/a", "leaving"), putIn(2, 7, "s/c", "up"), putIn(2, 8, "evacuate/x", "{}"), putIn(2, 9, "config", "4"),
	}}, startTime)
	assert.Equal(t, s.Table().Version, uint64(4))
	assert.Equal(t, configurationFor(t, s), uint64(4))
	assert.Equal(t, serverIDs(s), "a! c")
	s.Apply(Batch{Revision: Revision{2, 10}, Items: []Item{{Key: "evacuate/x", Revision: Revision{2, 10}, Deleted: true}}}, startTime)
	assert.Equal(t, len(s.Evacuated()), 0)
	assert.Equal(t, len(s.Expire(startTime.Add(rewriteGrace))), 0)
	assert.Equal(t, serverIDs(s), "a! c")
}

// Guards against an evacuation that goes on because a listing that lacks it is taken for the copy.
func TestEvacuationOfTheNewEraEndsWithItsKey(t *testing.T) {
	s := newStateInEra(t)
	s.Apply(Batch{Full: true, Revision: Revision{2, 4}, Items: []Item{putIn(2, 3, "evacuate/x", "{}")}}, startTime)
	s.Apply(Batch{Full: true, Revision: Revision{2, 9}}, startTime)
	assert.Equal(t, len(s.Evacuated()), 0)
}

// Guards against time limits of the first copy that end what the second one lost, and against
// items that are kept for ever because two copies lacked them.
func TestSecondCopyInARow(t *testing.T) {
	s := newStateInEra(t)
	s.Apply(Batch{Full: true, Revision: Revision{2, 4}, Items: []Item{putIn(2, 2, "config", "2")}}, startTime)
	s.Apply(Batch{Revision: Revision{2, 6}, Items: []Item{putIn(2, 5, "s/a", "up"), putIn(2, 6, "config", "4")}}, startTime)
	second := startTime.Add(rewriteGrace - time.Millisecond)
	s.Apply(Batch{Full: true, Revision: Revision{3, 4}, Items: []Item{putIn(3, 2, "config", "2")}}, second)
	s.Expire(second.Add(recoveryGrace - time.Millisecond))
	assert.Equal(t, serverIDs(s), "a")
	assert.DeepEqual(t, s.Evacuated(), map[string]bool{"x": true})
	assert.Equal(t, configurationFor(t, s), uint64(4))
	s.Expire(second.Add(recoveryGrace))
	s.Expire(second.Add(rewriteGrace))
	assert.Equal(t, serverIDs(s), "")
	assert.Equal(t, len(s.Evacuated()), 0)
	assert.Equal(t, s.Table().Version, uint64(4))
}

// Guards against followers that hold for ever what their leader never had, and that go on with
// numbers of the older era: a new era reaches them as a whole.
func TestNewEraReachesFollowersWhole(t *testing.T) {
	store := newFakeSource("store", true)
	store.full.Revision = Revision{1, 10}
	h := startFollower(t, store, Roles{ReadsStore: true, Leader: true})
	waitFor(t, "listed", func() bool { return h.servers() == 1 })
	_, changes, cancel := h.follower.Subscribe()
	defer cancel()
	store.changes <- Batch{Full: true, Revision: Revision{2, 4}, Items: []Item{putIn(2, 2, "config", "3"), putIn(2, 4, "s/b", "up")}}
	b := <-changes
	for !b.Full { // heartbeats of the older era
		assert.Equal(t, b.Revision, Revision{Era: 1})
		b = <-changes
	}
	follower := newStateInEra(t)
	follower.Apply(Batch{Revision: Revision{1, 30}, Items: []Item{putIn(1, 30, "s/lost", "up")}}, startTime)
	follower.Apply(b, startTime)
	assert.Equal(t, follower.Revision(), Revision{2, 4})
	follower.Expire(startTime.Add(recoveryGrace))
	assert.Equal(t, serverIDs(follower), "a b", "a is one of the leader's, which keeps it")
	assert.Equal(t, (<-changes).Revision.Era, uint64(2))
}
