package discovery

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
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
	store.changes <- Batch{Full: true, Revision: Revision{2, 4}, Items: []Item{putIn(2, 2, "config", "3"), putIn(2, 4, "s/c", "up")}}
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
	assert.Equal(t, serverIDs(follower), "a c", "a is one of the leader's, which keeps it")
	assert.Equal(t, (<-changes).Revision.Era, uint64(2))
}

// Guards against requests to servers that have left, because the store's copy has a record from
// before that.
func TestServerThatLeftIsNotRevivedByACopy(t *testing.T) {
	for _, test := range []struct {
		name string
		// before are the records of server a in the first era, "" for its removal.
		before []string
		copied string
		// during is what holds then, and after what holds if nothing is written again.
		during, after string
	}{
		{"leaving", []string{"up 4 100", "leaving 5 100"}, "up 4 100", "a!", "a"},
		{"leaving, with the same sequence", []string{"leaving 4 100"}, "up 4 100", "a!", "a"},
		{"gone", []string{"up 4 100", ""}, "up 4 100", "", "a"},
		{"left and gone", []string{"up 4 100", "leaving 5 100", ""}, "up 4 100", "", "a"},
		{"gone, and an earlier run in the copy", []string{"up 1 200", ""}, "up 9 100", "", "a"},
		{"gone, and a later run in the copy", []string{"up 4 100", ""}, "up 1 200", "a", "a"},
		{"an earlier run in the copy", []string{"leaving 1 200"}, "up 9 100", "a!", "a"},
		{"listed again before the copy", []string{"up 4 100", "", "up 5 100"}, "up 5 100", "a", "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewState(textDecoder{})
			s.Apply(Batch{Full: true, Revision: Revision{1, 10}, Items: []Item{putIn(1, 2, "config", "3")}}, startTime)
			for n, value := range test.before {
				at := Revision{1, uint64(11 + n)} //nolint:gosec // small
				s.Apply(Batch{Revision: at, Items: []Item{{Key: "s/a", Value: []byte(value), Revision: at, Deleted: value == ""}}}, startTime)
			}
			listing := Batch{Full: true, Revision: Revision{2, 9}, Items: []Item{putIn(2, 2, "config", "3"), putIn(2, 9, "s/a", test.copied)}}
			s.Apply(listing, startTime)
			assert.Equal(t, serverIDs(s), test.during)
			s.Apply(listing, startTime) // the gateway lists once more
			assert.Equal(t, serverIDs(s), test.during)
			assert.Equal(t, s.RetainsUnlisted(startTime), test.during != test.after)
			s.Expire(startTime.Add(rewriteGrace - time.Millisecond))
			assert.Equal(t, serverIDs(s), test.during)

			again := *s
			again.withheld, again.servers, again.items = maps.Clone(s.withheld), maps.Clone(s.servers), maps.Clone(s.items)
			again.Apply(Batch{Revision: Revision{2, 10}, Items: []Item{putIn(2, 10, "s/a", test.copied)}}, startTime)
			assert.Equal(t, serverIDs(&again), "a", "a write of the new era holds at once")

			s.Expire(startTime.Add(rewriteGrace))
			assert.Equal(t, serverIDs(s), test.after, "what is still there is alive")
			assert.Equal(t, s.RetainsUnlisted(startTime.Add(rewriteGrace+removalPropagation)), false)
		})
	}
}

// Guards against a server that is used again at the end of the time although the store has removed
// its record meanwhile.
func TestWithheldRecordThatIsRemovedStaysOut(t *testing.T) {
	for name, removal := range map[string]Batch{
		"watched": {Revision: Revision{2, 10}, Items: []Item{{Key: "s/b", Revision: Revision{2, 10}, Deleted: true}}},
		"listed":  {Full: true, Revision: Revision{2, 10}, Items: []Item{putIn(2, 2, "config", "3")}},
	} {
		s := newStateInEra(t)
		s.Apply(Batch{Revision: Revision{1, 21}, Items: []Item{{Key: "s/b", Revision: Revision{1, 21}, Deleted: true}}}, startTime)
		s.Apply(Batch{Full: true, Revision: Revision{2, 9}, Items: []Item{putIn(2, 2, "config", "3"), putIn(2, 9, "s/b", "up")}}, startTime)
		s.Apply(removal, startTime)
		s.Expire(startTime.Add(rewriteGrace))
		assert.Equal(t, serverIDs(s) == "b" || serverIDs(s) == "a b", false, name)
	}
}

// Guards against a data centre that gets nothing although its evacuation was taken back, because
// the store's copy is from before that, and against a new evacuation that is taken for the old one.
func TestEvacuationTakenBackIsNotRevivedByACopy(t *testing.T) {
	taken := func() *State {
		s := newStateInEra(t)
		s.Apply(Batch{Revision: Revision{1, 22}, Items: []Item{{Key: "evacuate/x", Revision: Revision{1, 22}, Deleted: true}}}, startTime)
		assert.Equal(t, len(s.Evacuated()), 0)
		return s
	}
	s := taken()
	s.Apply(Batch{Full: true, Revision: Revision{2, 21}, Items: []Item{putIn(2, 20, "evacuate/x", "{}")}}, startTime)
	assert.Equal(t, len(s.Evacuated()), 0)
	s.Apply(Batch{Full: true, Revision: Revision{3, 21}, Items: []Item{putIn(3, 20, "evacuate/x", "{}")}}, startTime.Add(time.Second))
	s.Expire(startTime.Add(rewriteGrace))
	assert.Equal(t, len(s.Evacuated()), 0, "a second copy")
	s.Expire(startTime.Add(time.Second + rewriteGrace))
	assert.Equal(t, len(s.Evacuated()), 1, "the operator has not taken it back again")

	s = taken()
	s.Apply(Batch{Full: true, Revision: Revision{2, 23}, Items: []Item{putIn(2, 23, "evacuate/x", "{}")}}, startTime)
	assert.Equal(t, len(s.Evacuated()), 1, "it is a new one: its number is higher")
	s = taken()
	s.Apply(Batch{Full: true, Revision: Revision{2, 15}}, startTime)
	s.Apply(Batch{Revision: Revision{2, 16}, Items: []Item{putIn(2, 16, "evacuate/x", "{}")}}, startTime)
	assert.Equal(t, len(s.Evacuated()), 1, "it is a new one: it was written in the new era")
}

// modelStore is what the store holds in TestStatesAgreeWithTheStoreInTheEnd.
type modelStore struct {
	at    Revision
	items map[string]Item
	log   []Item
}

func (m *modelStore) write(key, value string) {
	m.at.Number++
	item := Item{Key: key, Value: []byte(value), Revision: m.at, Deleted: value == ""}
	m.log = append(m.log, item)
	if item.Deleted {
		delete(m.items, key)
	} else {
		m.items[key] = item
	}
}

// copied returns a copy of the store in an era.
func (m *modelStore) copied(era uint64) *modelStore {
	out := &modelStore{at: Revision{era, m.at.Number}, items: make(map[string]Item)}
	for key, item := range m.items {
		item.Revision.Era = era
		out.items[key] = item
	}
	return out
}

func (m *modelStore) full() Batch {
	return Batch{Full: true, Items: slices.Collect(maps.Values(m.items)), Revision: m.at}
}

// since returns the changes after a revision, or everything if it is of another era or the copy
// has no history from there.
func (m *modelStore) since(known Revision) Batch {
	if known.Era != m.at.Era || len(m.log) == 0 || m.log[0].Revision.Number > known.Number+1 {
		return m.full()
	}
	return Batch{Items: slices.DeleteFunc(slices.Clone(m.log), func(i Item) bool { return !known.Before(i.Revision) }), Revision: m.at}
}

// Guards against anything that is kept or left out for ever after copies, at a gateway that reads the
// store and at one that follows it and sometimes reads the store itself: whatever was written,
// removed and lost, both hold in the end what the store holds, and versions never go back.
func TestStatesAgreeWithTheStoreInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{at: Revision{1, 1}, items: make(map[string]Item)}
		version, sequence := 1, 1
		store.write("config", "1")
		kept := store.copied(2)
		reader, follower := NewState(textDecoder{}), NewState(textDecoder{})
		now, highest := startTime, uint64(0)
		read := func(s *State) (Batch, bool) {
			before := s.Revision()
			batch := store.full()
			if s.Known() && !s.RetainsUnlisted(now) {
				batch = store.since(s.Revision())
			}
			changed := s.Apply(batch, now)
			return Batch{Items: changed, Revision: s.Revision()}, batch.Full && before.Before(s.Revision())
		}
		follow := func(changes Batch, whole bool) {
			if whole || !follower.Known() {
				changes = reader.Full()
			}
			follower.Apply(changes, now)
		}
		follow(read(reader))
		steps := map[string]func(){
			"server": func() {
				sequence++
				store.write("s/"+rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), fmt.Sprintf("up %d", sequence))
			},
			"leaving":  func() { sequence++; store.write("s/a", fmt.Sprintf("leaving %d", sequence)) },
			"gone":     func() { store.write("s/"+rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), "") },
			"evacuate": func() { store.write("evacuate/x", "{}") },
			"back":     func() { store.write("evacuate/x", "") },
			"config":   func() { version++; store.write("config", strconv.Itoa(version)) },
			"copy":     func() { kept = store.copied(store.at.Era + 1) },
			"return": func() {
				kept.at.Era = store.at.Era + 1
				store = kept.copied(kept.at.Era)
				kept = store.copied(store.at.Era + 1)
			},
			"outage":   func() { reader.StoreRecovered(now) },
			"read":     func() { follow(read(reader)) },
			"own read": func() { read(follower) },
			"rejoin":   func() { follow(Batch{}, true) },
			"time": func() {
				now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
				follower.Apply(Batch{Items: reader.Expire(now), Revision: reader.Revision()}, now)
				follower.Expire(now)
			},
		}
		names := slices.Sorted(maps.Keys(steps))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			steps[rapid.SampledFrom(names).Draw(t, "step")]()
			for _, s := range []*State{reader, follower} {
				if s == reader && s.Table().Version < highest {
					t.Fatalf("version %d after %d", s.Table().Version, highest)
				}
			}
			highest = reader.Table().Version
		}
		version = max(version, int(highest)) + 1 //nolint:gosec // small
		store.write("config", strconv.Itoa(version))
		for range 3 {
			follow(read(reader))
			now = now.Add(2 * rewriteGrace)
			follower.Apply(Batch{Items: reader.Expire(now), Revision: reader.Revision()}, now)
			follower.Expire(now)
		}
		for name, s := range map[string]*State{"reader": reader, "follower": follower} {
			held := make(map[string]string)
			for _, item := range s.Full().Items {
				held[item.Key] = string(item.Value)
			}
			want := make(map[string]string)
			for key, item := range store.items {
				want[key] = string(item.Value)
			}
			if !maps.Equal(held, want) {
				t.Fatalf("%s: %v, the store: %v", name, held, want)
			}
		}
	})
}
