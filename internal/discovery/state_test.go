package discovery

import (
	"fmt"
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

// textDecoder decodes the value of "config" as a version, and that of "s/ID" as "up" or
// "leaving", which a sequence and a start time may follow, or an invalid record.
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

func (textDecoder) Evacuation(item Item) (string, bool, error) {
	dataCentre, ok := strings.CutPrefix(item.Key, "evacuate/")
	if ok && dataCentre == "" {
		return "", true, errors.New("no data centre")
	}
	return dataCentre, ok, nil
}

func (textDecoder) Server(item Item) (Server, bool, error) {
	id, ok := strings.CutPrefix(item.Key, "s/")
	if !ok {
		return Server{}, false, nil
	}
	var state string
	server := Server{ID: id}
	_, _ = fmt.Sscan(string(item.Value), &state, &server.Sequence, &server.StartedMs) // the numbers may be left out
	switch state {
	case "up":
		return server, true, nil
	case "leaving":
		server.Leaving = true
		return server, true, nil
	default:
		return Server{}, true, errors.Errorf("invalid record %q of server %q", item.Value, id)
	}
}

// at returns a revision of a store that has not come back from a copy.
func at(number uint64) Revision { return Revision{Number: number} }

func put(key, value string, revision uint64) Item {
	return Item{Key: key, Value: []byte(value), Revision: at(revision)}
}

// serverIDs returns the sorted ids of a state's servers, those that are leaving with an
// exclamation mark.
func serverIDs(s *State) string {
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

var startTime = time.Unix(1000, 0)

// newListedState returns a state at revision 10 with version 3 and servers a and b.
func newListedState(t *testing.T) *State {
	t.Helper()
	s := NewState(textDecoder{})
	s.Apply(Batch{Full: true, Revision: at(10), Items: []Item{put("config", "3", 2), put("s/a", "up", 4), put("s/b", "up", 5)}}, startTime)
	assert.Assert(t, s.Known())
	return s
}

func TestChangesAreAppliedInOrderOfTheirRevision(t *testing.T) {
	s := newListedState(t)
	changed := s.Apply(Batch{Revision: at(13), Items: []Item{put("s/a", "leaving", 12), put("s/a", "up", 11), put("s/c", "up", 13)}}, startTime)
	assert.Equal(t, len(changed), 2)
	assert.Equal(t, serverIDs(s), "a! b c")
	s.Apply(Batch{Revision: at(14), Items: []Item{{Key: "s/b", Revision: at(14), Deleted: true}}}, startTime)
	assert.Equal(t, serverIDs(s), "a! c")
	assert.Equal(t, s.Revision(), at(14))
}

func TestOlderFullBatchIsIgnored(t *testing.T) {
	s := newListedState(t)
	s.Apply(Batch{Revision: at(20), Items: []Item{put("s/c", "up", 20)}}, startTime)
	assert.Equal(t, len(s.Apply(Batch{Full: true, Revision: at(15), Items: []Item{put("s/a", "up", 4)}}, startTime)), 0)
	assert.Equal(t, serverIDs(s), "a b c")
}

func TestServerMissingFromAFullBatchIsRemoved(t *testing.T) {
	s := newListedState(t)
	changed := s.Apply(Batch{Full: true, Revision: at(30), Items: []Item{put("config", "3", 2), put("s/b", "up", 5)}}, startTime)
	assert.Equal(t, serverIDs(s), "b")
	assert.DeepEqual(t, changed, []Item{{Key: "s/a", Revision: at(30), Deleted: true}})
}

func TestServerThatExpiredInAnOutageIsKeptForRecoveryGrace(t *testing.T) {
	s := newListedState(t)
	s.StoreRecovered(startTime)
	s.Apply(Batch{Revision: at(12), Items: []Item{{Key: "s/a", Revision: at(11), Deleted: true}, {Key: "s/b", Revision: at(12), Deleted: true}}}, startTime)
	assert.Equal(t, serverIDs(s), "a b")
	s.Apply(Batch{Revision: at(13), Items: []Item{put("s/b", "up", 13)}}, startTime.Add(time.Second))
	assert.Equal(t, len(s.Expire(startTime.Add(time.Second))), 0)
	changed := s.Expire(startTime.Add(recoveryGrace))
	assert.Equal(t, serverIDs(s), "b")
	assert.Equal(t, len(changed), 1)
}

func TestLeavingServerIsNotKeptAfterAnOutage(t *testing.T) {
	s := newListedState(t)
	s.Apply(Batch{Revision: at(11), Items: []Item{put("s/a", "leaving", 11)}}, startTime)
	s.StoreRecovered(startTime)
	s.Apply(Batch{Revision: at(12), Items: []Item{{Key: "s/a", Revision: at(12), Deleted: true}}}, startTime)
	assert.Equal(t, serverIDs(s), "b")
}

func TestInvalidRecordIsNoServer(t *testing.T) {
	s := newListedState(t)
	s.Apply(Batch{Revision: at(11), Items: []Item{put("s/a", "junk", 11), put("other", "x", 11)}}, startTime)
	assert.Equal(t, serverIDs(s), "b")
}

func TestInvalidConfigurationLeavesThePreviousOneInForce(t *testing.T) {
	s := newListedState(t)
	s.Apply(Batch{Revision: at(11), Items: []Item{put("config", "four", 11)}}, startTime)
	assert.Equal(t, s.Table().Version, uint64(3))
	s.Apply(Batch{Revision: at(12), Items: []Item{put("config", "5", 12)}}, startTime)
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
				Full: rapid.Bool().Draw(t, "full"), Revision: at(revision),
				Items: []Item{put("config", strconv.FormatUint(version, 10), revision)},
			}, startTime)
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

// A watch from the state's revision would not report the deletion of retained servers.
// RetainsUnlisted must hold until followers know of their removal, or a follower could
// resume the watch from that revision and keep them.
func TestRetainsUnlistedUntilRemovalsReachFollowers(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState(textDecoder{})
	s.Apply(Batch{Full: true, Revision: at(5), Items: []Item{put("config", "1", 1), put("s/a", "up", 2)}}, now)
	assert.Assert(t, !s.RetainsUnlisted(now))
	s.StoreRecovered(now)
	s.Apply(Batch{Revision: at(6), Items: []Item{{Key: "s/a", Revision: at(6), Deleted: true}}}, now)
	assert.Equal(t, serverIDs(s), "a")
	assert.Assert(t, s.RetainsUnlisted(now))

	end := now.Add(recoveryGrace)
	assert.Equal(t, len(s.Expire(end)), 1)
	assert.Equal(t, serverIDs(s), "")
	assert.Assert(t, s.RetainsUnlisted(end), "followers may not know yet")
	assert.Assert(t, !s.RetainsUnlisted(end.Add(removalPropagation)))

	s.Apply(Batch{RetainsUnlisted: true}, end)
	assert.Assert(t, s.RetainsUnlisted(end.Add(removalPropagation)), "the source retains servers")
}

// Guards against an evacuation that ends or begins without the operator's word: by an older
// list, by an entry that can't be read, or unnoticed when the watch was lost.
func TestEvacuationHoldsUntilItsKeyIsGone(t *testing.T) {
	s := newListedState(t)
	changed := s.Apply(Batch{Revision: at(13), Items: []Item{put("evacuate/x", "{}", 12), put("evacuate/", "{}", 13)}}, startTime)
	assert.Equal(t, len(changed), 2)
	assert.DeepEqual(t, s.Evacuated(), map[string]bool{"x": true})
	assert.Equal(t, serverIDs(s), "a b", "servers stay listed")
	s.Apply(Batch{Full: true, Revision: at(11), Items: []Item{put("config", "3", 2)}}, startTime)
	assert.DeepEqual(t, s.Evacuated(), map[string]bool{"x": true}) // the list was older
	s.StoreRecovered(startTime)
	s.Apply(Batch{Full: true, Revision: at(20), Items: []Item{put("config", "3", 2), put("s/a", "up", 4), put("s/b", "up", 5), put("evacuate/y", "{}", 18)}}, startTime)
	assert.DeepEqual(t, s.Evacuated(), map[string]bool{"y": true}) // x was taken back while the watch was lost
	s.Apply(Batch{Revision: at(21), Items: []Item{{Key: "evacuate/y", Revision: at(21), Deleted: true}}}, startTime)
	assert.Equal(t, len(s.Evacuated()), 0)
	assert.Equal(t, serverIDs(s), "a b")
}
