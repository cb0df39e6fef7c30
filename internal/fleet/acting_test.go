package fleet

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/fleetwire"
)

// Guards against a term as acting leader that never ends, or that gossip makes look more recent
// than the store's answer it began with: followers would not ask the store themselves.
func TestActingLeaderLeadsForItsTermOnly(t *testing.T) {
	first, acting := testMember("a", "x", 30), testMember("c", "x", 10)
	m := newTestMembers(testMember("b", "x", 20), first, acting, testMember("d", "y", 40))
	assert.Equal(t, m.Roles(now).Sources[0].Id, "a")
	hear := func(beat uint64, term uint32, at time.Time) {
		heard := proto.CloneOf(acting)
		heard.Beat, heard.ActingTerm = beat, term
		m.Merge([]*fleetwire.Member{heard, {Id: "a", Address: "a:1", Zone: "x", Incarnation: 1, Beat: beat, Capacity: 30}}, at)
	}
	hear(2, 1, now)
	assert.Equal(t, m.Roles(now).Sources[0].Id, "c")
	assert.Equal(t, m.Roles(now).LeaderConfirmedAt, now)
	hear(3, 1, now.Add(actingPeriod/2))
	assert.Equal(t, m.Roles(now.Add(actingPeriod/2)).LeaderConfirmedAt, now, "the same term, heard again")
	end := now.Add(actingPeriod)
	hear(4, 1, end)
	assert.Equal(t, m.Roles(end).Sources[0].Id, "a")
	assert.Assert(t, m.Roles(end).LeaderConfirmedAt.IsZero())
	hear(5, 2, end)
	assert.Equal(t, m.Roles(end).Sources[0].Id, "c", "another term")
	hear(6, 0, end)
	assert.Equal(t, m.Roles(end).Sources[0].Id, "a", "it no longer acts")
}

// Guards against several gateways of a data centre that lead it, and against one that leads
// another data centre.
func TestOneGatewayActsAsLeader(t *testing.T) {
	a, b, c := testMember("a", "x", 30), testMember("b", "x", 20), testMember("c", "x", 10)
	elsewhere := testMember("d", "y", 5)
	elsewhere.ActingTerm = 1
	m := newTestMembers(proto.CloneOf(b), a, c, elsewhere)
	assert.Equal(t, m.Roles(now).Sources[0].Id, "a", "the one that acts is in another data centre")
	assert.Assert(t, m.ActAsLeader(now))
	assert.Assert(t, m.Roles(now).Leader)
	assert.Equal(t, m.Heartbeat().ActingTerm, uint32(1))

	others := newTestMembers(proto.CloneOf(c), a, m.Heartbeat())
	assert.Assert(t, !others.ActAsLeader(now), "another acts already")
	assert.Equal(t, others.Roles(now).Sources[0].Id, "b")
	old := newTestMembers(proto.CloneOf(a), c, m.Heartbeat())
	assert.Assert(t, !old.Roles(now).Leader)
	assert.Equal(t, old.Roles(now).Sources[0].Id, "b", "the first in rank follows the one that acts")

	end := now.Add(actingPeriod)
	m.Merge([]*fleetwire.Member{{Id: "a", Address: "a:1", Zone: "x", Incarnation: 1, Beat: 9, Capacity: 30}}, end)
	assert.Assert(t, !m.Roles(end).Leader)
	assert.Equal(t, m.Heartbeat().ActingTerm, uint32(0))
	assert.Assert(t, m.ActAsLeader(end))
	assert.Equal(t, m.Heartbeat().ActingTerm, uint32(2))
}

// Guards against gateways that stay behind an acting leader which has been cut off in its turn,
// and against two that lead because they began at once.
func TestLaterTermReplacesAnActingLeader(t *testing.T) {
	acting, next := testMember("b", "x", 20), testMember("c", "x", 10)
	acting.ActingTerm = 1
	m := newTestMembers(proto.CloneOf(next), testMember("a", "x", 30), acting)
	assert.Assert(t, !m.ActAsLeader(now.Add(actingOverlap/2)))
	later := now.Add(2 * time.Second)
	assert.Assert(t, m.ActAsLeader(later))
	assert.Assert(t, m.Roles(later).Leader)

	for name, test := range map[string]struct {
		pause time.Duration
		want  string
	}{"at once": {actingOverlap / 2, "b"}, "later": {2 * time.Second, "c"}} {
		other := newTestMembers(testMember("d", "x", 5), testMember("a", "x", 30), acting)
		other.Merge([]*fleetwire.Member{m.Heartbeat()}, now.Add(test.pause))
		assert.Equal(t, other.Roles(now.Add(test.pause)).Sources[0].Id, test.want, name)
	}
}

// Guards against calls to the store that grow with the fleet, or that come all at once: each
// gateway of a data centre has a turn of its own, but for the one that leads.
func TestGatewaysOfADataCentreAskInTurn(t *testing.T) {
	all := []*fleetwire.Member{testMember("a", "x", 40), testMember("b", "x", 30), testMember("c", "x", 20), testMember("d", "x", 10), testMember("e", "y", 25)}
	for id, want := range map[string]int{"b": 0, "c": 1, "d": 2} {
		for _, self := range all {
			if self.Id == id {
				r := newTestMembers(proto.CloneOf(self), all...).Roles(now)
				assert.Equal(t, r.Turn, want, id)
				assert.Equal(t, r.Turns, 3, id)
			}
		}
	}
}
