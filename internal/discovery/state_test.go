package discovery

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabstack/baobabstack/internal/routing"
)

// textDecoder reads "config" as a version and "s/ID" as "up", "leaving" or an
// unusable entry.
type textDecoder struct{}

func (textDecoder) Table(item Item) (*routing.Table, bool, error) {
	if item.Key != "config" {
		return nil, false, nil
	}
	version, err := strconv.ParseUint(string(item.Value), 10, 64)
	if err != nil {
		return nil, true, err
	}
	table, err := routing.NewTable(version, nil, nil, routing.Limits{})
	return table, true, err
}

func (textDecoder) Server(item Item) (Server, bool, error) {
	id, ok := strings.CutPrefix(item.Key, "s/")
	if !ok {
		return Server{}, false, nil
	}
	switch string(item.Value) {
	case "up":
		return Server{ID: id}, true, nil
	case "leaving":
		return Server{ID: id, Leaving: true}, true, nil
	default:
		return Server{}, true, errors.Errorf("entry %q of server %q", item.Value, id)
	}
}

func put(key, value string, revision uint64) Item {
	return Item{Key: key, Value: []byte(value), Revision: revision}
}

func ids(s *State) string {
	var out []string
	list := s.Servers()
	slices.SortFunc(list, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	for _, server := range list {
		name := server.ID
		if server.Leaving {
			name += "!"
		}
		out = append(out, name)
	}
	return strings.Join(out, " ")
}

var start = time.Unix(1000, 0)

func listed(t *testing.T) *State {
	t.Helper()
	s := NewState(textDecoder{})
	s.Apply(Batch{Full: true, Revision: 10, Items: []Item{put("config", "3", 2), put("s/a", "up", 4), put("s/b", "up", 5)}}, start)
	assert.Assert(t, s.Known())
	return s
}

func TestChangesAreAppliedInOrderOfTheirRevision(t *testing.T) {
	s := listed(t)
	changed := s.Apply(Batch{Revision: 13, Items: []Item{put("s/a", "leaving", 12), put("s/a", "up", 11), put("s/c", "up", 13)}}, start)
	assert.Equal(t, len(changed), 2)
	assert.Equal(t, ids(s), "a! b c")
	s.Apply(Batch{Revision: 14, Items: []Item{{Key: "s/b", Revision: 14, Deleted: true}}}, start)
	assert.Equal(t, ids(s), "a! c")
	assert.Equal(t, s.Revision(), uint64(14))
}

func TestOlderSnapshotChangesNothing(t *testing.T) {
	s := listed(t)
	s.Apply(Batch{Revision: 20, Items: []Item{put("s/c", "up", 20)}}, start)
	assert.Equal(t, len(s.Apply(Batch{Full: true, Revision: 15, Items: []Item{put("s/a", "up", 4)}}, start)), 0)
	assert.Equal(t, ids(s), "a b c")
}

func TestServerMissingFromASnapshotIsGone(t *testing.T) {
	s := listed(t)
	changed := s.Apply(Batch{Full: true, Revision: 30, Items: []Item{put("config", "3", 2), put("s/b", "up", 5)}}, start)
	assert.Equal(t, ids(s), "b")
	assert.DeepEqual(t, changed, []Item{{Key: "s/a", Revision: 30, Deleted: true}})
}

func TestServerThatLapsedInAnOutageIsKeptForAMoment(t *testing.T) {
	s := listed(t)
	s.StoreRecovered(start)
	s.Apply(Batch{Revision: 12, Items: []Item{{Key: "s/a", Revision: 11, Deleted: true}, {Key: "s/b", Revision: 12, Deleted: true}}}, start)
	assert.Equal(t, ids(s), "a b")
	s.Apply(Batch{Revision: 13, Items: []Item{put("s/b", "up", 13)}}, start.Add(time.Second))
	assert.Equal(t, len(s.Expire(start.Add(time.Second))), 0)
	changed := s.Expire(start.Add(recoveryGrace))
	assert.Equal(t, ids(s), "b")
	assert.Equal(t, len(changed), 1)
}

func TestLeavingServerIsNotKeptAfterAnOutage(t *testing.T) {
	s := listed(t)
	s.Apply(Batch{Revision: 11, Items: []Item{put("s/a", "leaving", 11)}}, start)
	s.StoreRecovered(start)
	s.Apply(Batch{Revision: 12, Items: []Item{{Key: "s/a", Revision: 12, Deleted: true}}}, start)
	assert.Equal(t, ids(s), "b")
}

func TestEntryOfAnotherWriterNamesNoServer(t *testing.T) {
	s := listed(t)
	s.Apply(Batch{Revision: 11, Items: []Item{put("s/a", "junk", 11), put("other", "x", 11)}}, start)
	assert.Equal(t, ids(s), "b")
}

func TestBadConfigurationLeavesTheLastGoodOneInForce(t *testing.T) {
	s := listed(t)
	s.Apply(Batch{Revision: 11, Items: []Item{put("config", "four", 11)}}, start)
	assert.Equal(t, s.Table().Version, uint64(3))
	s.Apply(Batch{Revision: 12, Items: []Item{put("config", "5", 12)}}, start)
	assert.Equal(t, s.Table().Version, uint64(5))
}

func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(textDecoder{})
		highest := uint64(0)
		for range rapid.IntRange(1, 50).Draw(t, "batches") {
			version := rapid.Uint64Range(1, 20).Draw(t, "version")
			revision := rapid.Uint64Range(1, 40).Draw(t, "revision")
			s.Apply(Batch{
				Full: rapid.Bool().Draw(t, "full"), Revision: revision,
				Items: []Item{put("config", strconv.FormatUint(version, 10), revision)},
			}, start)
			if s.Table() == nil {
				continue
			}
			if s.Table().Version < highest {
				t.Fatalf("version %d after %d", s.Table().Version, highest)
			}
			highest = s.Table().Version
		}
	})
}

// A watch from the state's revision would not tell that such servers are gone.
func TestStateWithholdsServersUntilTheirEndIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState(textDecoder{})
	s.Apply(Batch{Full: true, Revision: 5, Items: []Item{put("config", "1", 1), put("s/a", "up", 2)}}, now)
	assert.Assert(t, !s.RetainsUnlisted(now))
	s.StoreRecovered(now)
	s.Apply(Batch{Revision: 6, Items: []Item{{Key: "s/a", Revision: 6, Deleted: true}}}, now)
	assert.Equal(t, ids(s), "a")
	assert.Assert(t, s.RetainsUnlisted(now))

	end := now.Add(recoveryGrace)
	assert.Equal(t, len(s.Expire(end)), 1)
	assert.Equal(t, ids(s), "")
	assert.Assert(t, s.RetainsUnlisted(end), "followers may not know yet")
	assert.Assert(t, !s.RetainsUnlisted(end.Add(removalPropagation)))

	s.Apply(Batch{RetainsUnlisted: true}, end)
	assert.Assert(t, s.RetainsUnlisted(end.Add(removalPropagation)), "the source withholds")
}
